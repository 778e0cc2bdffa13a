//! How busy each endpoint is, as one gateway knows it.
//!
//! A gateway knows its own outstanding requests at once; what an endpoint reports comes late and may
//! be wrong. Neither is trusted alone (`docs/design/routing.md`).

use crate::id::EndpointKey;
use crate::verdict::Failure;
use slotmap::SecondaryMap;
use std::time::Duration;
use tokio::time::Instant;

/// The concurrency limit that an endpoint starts with.
pub const INITIAL_LIMIT: f64 = 8.0;
/// The highest concurrency limit.
pub const MAX_LIMIT: f64 = 512.0;
/// After how long a report says nothing any more.
pub const REPORT_LIFE: Duration = Duration::from_secs(5);
/// After how many failures in a row an endpoint is ejected.
pub const EJECT_AFTER: u32 = 3;
const FIRST_EJECTION: Duration = Duration::from_secs(1);
const LONGEST_EJECTION: Duration = Duration::from_secs(30);
const LIMIT_CUT: f64 = 0.9;
/// A first answer that takes this many times the usual shortest one is a sign of overload.
const SLOW_FACTOR: f64 = 3.0;
const SMOOTHING: f64 = 0.2;
/// A first answer that is late by no more than this is no sign of overload, whatever the usual one
/// takes: engines batch, so a short queue inside them keeps them busy.
const SLACK: f64 = 0.25;
/// How many mean deviations above the mean an answer is expected to take at most.
const DEVIATIONS: f64 = 2.0;

/// What an endpoint says of its own load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait inside it.
    pub waiting: u32,
    /// How many it can work on at once.
    pub slots: u32,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The whole answer came; the time to its first byte and in all.
    Completed {
        /// The time to the first byte.
        first: Duration,
    },
    /// The caller left.
    Cancelled,
    /// The attempt failed.
    Failed(Failure),
}

#[derive(Debug)]
struct Load {
    outstanding: u32,
    report: Option<(Instant, LoadReport, u32)>,
    limit: f64,
    /// The usual shortest time to the first byte, in seconds.
    floor: Option<f64>,
    last_cut: Option<Instant>,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            outstanding: 0,
            report: None,
            limit: INITIAL_LIMIT,
            floor: None,
            last_cut: None,
            failures: 0,
            ejections: 0,
            ejected_until: None,
        }
    }
}

impl Load {
    /// Estimates the requests of others: what the report counted beyond our own at that time, fading
    /// with the report's age and never above what the endpoint can do at once, so that a wrong
    /// report can make it unattractive but not unusable.
    fn others(&self, now: Instant) -> f64 {
        let Some((at, r, own_then)) = self.report else {
            return 0.0;
        };
        let age = now.duration_since(at);
        let fresh = 1.0 - age.as_secs_f64() / REPORT_LIFE.as_secs_f64();
        if fresh <= 0.0 {
            return 0.0;
        }
        let total = r.running.saturating_add(r.waiting);
        let beyond = f64::from(total.saturating_sub(own_then));
        beyond.min(f64::from(r.slots.max(1))) * fresh
    }

    fn slots(&self, now: Instant) -> f64 {
        let known = self
            .report
            .filter(|(at, ..)| now.duration_since(*at) < REPORT_LIFE);
        let reported = known.map_or(MAX_LIMIT, |(_, r, _)| f64::from(r.slots.max(1)));
        self.limit.min(reported)
    }

    fn has_room(&self) -> bool {
        let with_one_more = f64::from(self.outstanding) + 1.0;
        // One request of our own always may go, or a lying report could shut an endpoint for good.
        // What others have there only steers the choice: gating on it as well leaves slots empty, since
        // every gateway steps back for the same late report (docs/design/routing.md).
        self.outstanding == 0 || with_one_more <= self.limit
    }

    fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|t| now < t)
    }

    /// After its time an ejected endpoint gets one request at a time until one succeeds.
    fn on_probation(&self) -> bool {
        self.ejected_until.is_some() && self.outstanding > 0
    }

    fn fail(&mut self, now: Instant) {
        self.failures += 1;
        if self.failures < EJECT_AFTER && self.ejected_until.is_none() {
            return;
        }
        let time = FIRST_EJECTION * 2_u32.saturating_pow(self.ejections.min(5));
        self.ejected_until = Some(now + time.min(LONGEST_EJECTION));
        self.ejections += 1;
        self.failures = 0;
    }

    fn succeed(&mut self, now: Instant, first: Duration) {
        self.failures = 0;
        self.ejections = 0;
        self.ejected_until = None;
        let secs = first.as_secs_f64();
        let floor = self.floor.map_or(secs, |f| {
            if secs < f {
                secs
            } else {
                f + (secs - f) * 0.01
            }
        });
        self.floor = Some(floor);
        if secs > floor * SLOW_FACTOR + SLACK {
            self.cut(now, first);
        } else if f64::from(self.outstanding) + 1.0 >= self.limit * 0.8 {
            self.limit = (self.limit + 1.0 / self.limit.max(1.0)).min(MAX_LIMIT);
        }
    }

    /// Lowers the limit, at most once in the time of one answer.
    fn cut(&mut self, now: Instant, pause: Duration) {
        if self.last_cut.is_some_and(|t| now.duration_since(t) < pause) {
            return;
        }
        self.last_cut = Some(now);
        self.limit = (self.limit * LIMIT_CUT).max(1.0);
    }
}

/// The load of all endpoints that a gateway has used.
#[derive(Debug, Default)]
pub struct Loads {
    rows: SecondaryMap<EndpointKey, Load>,
}

/// Queries.
impl Loads {
    /// Gives the requests of this gateway that an endpoint works on.
    #[must_use]
    pub fn outstanding(&self, key: EndpointKey) -> u32 {
        self.rows.get(key).map_or(0, |l| l.outstanding)
    }

    /// Estimates all requests that an endpoint works on, ours and others'.
    #[must_use]
    pub fn estimate(&self, now: Instant, key: EndpointKey) -> f64 {
        self.rows
            .get(key)
            .map_or(0.0, |l| f64::from(l.outstanding) + l.others(now))
    }

    /// Gives how many requests at once this gateway may have at an endpoint.
    #[must_use]
    pub fn slots(&self, now: Instant, key: EndpointKey) -> f64 {
        self.rows.get(key).map_or(INITIAL_LIMIT, |l| l.slots(now))
    }

    /// Tells whether an endpoint can take one more request of this gateway now.
    #[must_use]
    pub fn has_room(&self, key: EndpointKey) -> bool {
        self.rows
            .get(key)
            .is_none_or(|l| l.has_room() && !l.on_probation())
    }

    /// Tells whether an endpoint is ejected for its failures.
    #[must_use]
    pub fn is_ejected(&self, now: Instant, key: EndpointKey) -> bool {
        self.rows.get(key).is_some_and(|l| l.is_ejected(now))
    }
}

/// Commands.
impl Loads {
    /// Notes a request that is sent to an endpoint.
    pub fn start(&mut self, key: EndpointKey) {
        self.row(key).outstanding += 1;
    }

    /// Notes how a request ended.
    pub fn finish(&mut self, now: Instant, key: EndpointKey, ending: AttemptOutcome) {
        let l = self.row(key);
        l.outstanding = l.outstanding.saturating_sub(1);
        match ending {
            AttemptOutcome::Completed { first } => l.succeed(now, first),
            AttemptOutcome::Cancelled => {}
            AttemptOutcome::Failed(Failure::Refused) => l.cut(now, FIRST_EJECTION / 10),
            // A deadline may be the caller's own haste, so it is no evidence against the endpoint.
            AttemptOutcome::Failed(Failure::Deadline) => l.cut(now, FIRST_EJECTION),
            AttemptOutcome::Failed(Failure::Connect | Failure::Broken | Failure::ServerError) => {
                l.fail(now);
            }
        }
    }

    /// Takes in a report. `taken` is when it was true, as far as is known.
    pub fn report(&mut self, taken: Instant, key: EndpointKey, report: LoadReport) {
        let l = self.row(key);
        let newer = l.report.is_none_or(|(at, ..)| at < taken);
        if newer {
            l.report = Some((taken, report, l.outstanding));
        }
    }

    /// Forgets the endpoints that a predicate doesn't name.
    pub fn retain<F>(&mut self, mut f: F)
    where
        F: FnMut(EndpointKey) -> bool,
    {
        self.rows.retain(|k, l| l.outstanding > 0 || f(k));
    }

    fn row(&mut self, key: EndpointKey) -> &mut Load {
        if !self.rows.contains_key(key) {
            self.rows.insert(key, Load::default());
        }
        &mut self.rows[key]
    }
}

/// The usual times of a model's or a service's answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceTime {
    first: Option<f64>,
    deviation: f64,
    per_token: Option<f64>,
}

impl ServiceTime {
    /// Takes in a whole answer: the time to its first byte, the time after that, and its tokens.
    pub fn observe(&mut self, first: Duration, rest: Duration, tokens: u32) {
        let sample = first.as_secs_f64();
        let off = (sample - self.first.unwrap_or(sample)).abs();
        self.deviation += (off - self.deviation) * SMOOTHING;
        smooth(&mut self.first, sample);
        if tokens > 1 {
            smooth(
                &mut self.per_token,
                rest.as_secs_f64() / f64::from(tokens - 1),
            );
        }
    }

    /// Estimates the time that most answers of this many tokens take at most; zero as long as nothing
    /// is known. By the mean alone, half of what is started last would be late.
    #[must_use]
    pub fn estimate(&self, tokens: u32) -> Duration {
        let rest = self.per_token.unwrap_or(0.0) * f64::from(tokens.saturating_sub(1));
        let first = self.first.unwrap_or(0.0) + DEVIATIONS * self.deviation;
        Duration::from_secs_f64(first + rest)
    }
}

fn smooth(value: &mut Option<f64>, sample: f64) {
    let v = value.map_or(sample, |v| v + (sample - v) * SMOOTHING);
    *value = Some(v);
}
