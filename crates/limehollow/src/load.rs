//! Estimates the load of each endpoint from the view of one gateway.
//!
//! A gateway knows its own outstanding requests immediately; the reports of endpoints arrive late and may be
//! wrong, so the estimate uses both (`docs/design/routing.md`).

use crate::id::EndpointKey;
use crate::verdict::Failure;
use slotmap::SecondaryMap;
use std::time::Duration;
use tokio::time::Instant;

/// The initial concurrency limit of an endpoint.
pub const INITIAL_LIMIT: f64 = 8.0;
/// The highest concurrency limit of an endpoint.
pub const MAX_LIMIT: f64 = 512.0;
/// The age from which a load report is ignored.
pub const REPORT_LIFE: Duration = Duration::from_secs(5);
/// The number of consecutive failures after which an endpoint is ejected.
pub const EJECT_AFTER: u32 = 3;
const FIRST_EJECTION: Duration = Duration::from_secs(1);
const LONGEST_EJECTION: Duration = Duration::from_secs(30);
const LIMIT_CUT: f64 = 0.9;
/// The factor above the usual shortest time to the first byte from which an answer indicates overload.
const SLOW_FACTOR: f64 = 3.0;
const SMOOTHING: f64 = 0.2;
/// The lateness, in seconds, up to which an answer doesn't indicate overload, whatever the usual time is:
/// engines batch requests, and a short queue inside them keeps them busy.
const SLACK: f64 = 0.25;
/// The number of mean deviations above the mean within which most answers are expected.
const DEVIATIONS: f64 = 2.0;

/// An endpoint's report of its own load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// The number of requests being processed.
    pub running: u32,
    /// The number of requests queued inside the endpoint.
    pub waiting: u32,
    /// The number of requests that the endpoint can process concurrently.
    pub slots: u32,
}

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The complete answer was received.
    Completed {
        /// The time to the first byte of the answer.
        first: Duration,
    },
    /// The caller disconnected.
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
    /// Estimates the requests of other gateways at the endpoint.
    ///
    /// The estimate is what the report counted beyond this gateway's requests at that time. It decays with the
    /// age of the report and is limited to the endpoint's slots, so a wrong report can make an endpoint
    /// unattractive but not unusable.
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
        // A gateway without outstanding requests may always send one; otherwise a wrong report could exclude an
        // endpoint permanently. The requests of other gateways affect only the choice between endpoints: if
        // they also counted here, slots would stay empty, since every gateway would hold back because of the
        // same late report (docs/design/routing.md).
        self.outstanding == 0 || with_one_more <= self.limit
    }

    fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|t| now < t)
    }

    /// Returns `true` while the endpoint processes its only request after an ejection: it gets one at a time
    /// until one succeeds.
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

    /// Lowers the limit, at most once within `pause`.
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
    /// Returns the number of this gateway's outstanding requests at an endpoint.
    #[must_use]
    pub fn outstanding(&self, key: EndpointKey) -> u32 {
        self.rows.get(key).map_or(0, |l| l.outstanding)
    }

    /// Estimates the outstanding requests of all gateways at an endpoint.
    #[must_use]
    pub fn estimate(&self, now: Instant, key: EndpointKey) -> f64 {
        self.rows
            .get(key)
            .map_or(0.0, |l| f64::from(l.outstanding) + l.others(now))
    }

    /// Returns the number of concurrent requests that this gateway may have at an endpoint.
    #[must_use]
    pub fn slots(&self, now: Instant, key: EndpointKey) -> f64 {
        self.rows.get(key).map_or(INITIAL_LIMIT, |l| l.slots(now))
    }

    /// Returns `true` if this gateway may send an endpoint one more request now.
    #[must_use]
    pub fn has_room(&self, key: EndpointKey) -> bool {
        self.rows
            .get(key)
            .is_none_or(|l| l.has_room() && !l.on_probation())
    }

    /// Returns `true` if an endpoint is ejected because of failures.
    #[must_use]
    pub fn is_ejected(&self, now: Instant, key: EndpointKey) -> bool {
        self.rows.get(key).is_some_and(|l| l.is_ejected(now))
    }
}

/// Commands.
impl Loads {
    /// Records that a request is sent to an endpoint.
    pub fn start(&mut self, key: EndpointKey) {
        self.row(key).outstanding += 1;
    }

    /// Records the outcome of a request.
    pub fn finish(&mut self, now: Instant, key: EndpointKey, ending: AttemptOutcome) {
        let l = self.row(key);
        l.outstanding = l.outstanding.saturating_sub(1);
        match ending {
            AttemptOutcome::Completed { first } => l.succeed(now, first),
            AttemptOutcome::Cancelled => {}
            AttemptOutcome::Failed(Failure::Refused) => l.cut(now, FIRST_EJECTION / 10),
            // The deadline may have been too short for any endpoint, so missing it doesn't count as a failure
            // of this one.
            AttemptOutcome::Failed(Failure::Deadline) => l.cut(now, FIRST_EJECTION),
            AttemptOutcome::Failed(Failure::Connect | Failure::Broken | Failure::ServerError) => {
                l.fail(now);
            }
        }
    }

    /// Applies a load report. `taken` is the time to which the report applies, as far as known.
    pub fn report(&mut self, taken: Instant, key: EndpointKey, report: LoadReport) {
        let l = self.row(key);
        let newer = l.report.is_none_or(|(at, ..)| at < taken);
        if newer {
            l.report = Some((taken, report, l.outstanding));
        }
    }

    /// Drops the endpoints that don't match a predicate and have no outstanding request.
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

/// The typical answer times of a model or service.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceTime {
    first: Option<f64>,
    deviation: f64,
    per_token: Option<f64>,
}

impl ServiceTime {
    /// Records a complete answer: the time to its first byte, the time after that, and its number of tokens.
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

    /// Estimates the time within which most answers with this many tokens are complete; zero if nothing was
    /// recorded.
    ///
    /// With the mean alone, half of the requests that start last before their deadline would miss it.
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
