//! Chooses the endpoint for a request by the expected time to its first result.
//!
//! For each endpoint a gateway keeps its own requests there and those that the other gateways reported. From
//! both it estimates when a new request would receive its first result: after the prompts queued before it are
//! processed, at the measured rate, and after a slot is free. The endpoint with the shortest time is chosen;
//! another zone, failures and recent refusals are added as time (`docs/design/system.md`).

use crate::assignments::Assignments;
use crate::backpressure::Backpressure;
use crate::endpoint_capacity::{CapacityReport, EndpointCapacity, StreamPart};
use crate::health::{Health, ZoneReachability};
use crate::id::{EndpointKey, ServiceName, VmName, ZoneName};
use crate::job::{Job, RANKS};
use crate::load::AttemptOutcome;
use crate::own_delay::OwnDelay;
use crate::pace::Pace;
use crate::roster::{Endpoint, Roster, holds};
use crate::verdict::Failure;
use crate::wait_queue::Capacity;
use serde::{Deserialize, Serialize};
use slotmap::SecondaryMap;
use smol_str::SmolStr;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use tokio::time::Instant;

/// The time to a first result from an idle endpoint, in ms: a network round trip and one step.
const BASE_MS: f64 = 25.0;
/// The mean time for which a request is assumed to occupy a slot, in ms, before one has completed.
const DEFAULT_HELD_MS: f64 = 500.0;
/// The cost of using another zone, in ms. The price of the transferred bytes is some hundredths of the value of
/// a request, which equals the cost of that much delay near the objective.
const ZONE_MS: f64 = 40.0;
/// The cost of a full batch, in ms: tokens are generated more slowly and the pauses between them get longer.
const FULL_BATCH_MS: f64 = 60.0;
/// The largest part of the bound on prompt processing that one prompt is counted for. Without this limit, 0.29
/// of the longest tenth of a kind of requests were served on a day on which 0.64 of all requests of that kind
/// were.
const MAX_OWN_SHARE: f64 = 0.5;
/// The cost of an endpoint that fails all requests, in ms: more than any objective.
const ERROR_MS: f64 = 3000.0;
/// The time added to the expected first result at an endpoint that has just refused a request, in ms: it has no
/// free slot, whatever its load appears to be. It decays with the time constant [`REFUSED_MEMORY_S`].
const REFUSED_MS: f64 = 2500.0;
const REFUSED_MEMORY_S: f64 = 0.5;
/// The weight of a new sample in the time for which requests occupy a slot. The samples vary widely.
const HELD_SMOOTHING: f64 = 0.05;
/// The weight of a new sample in the other smoothed values.
const SMOOTHING: f64 = 0.2;
/// The time constant with which a measured slowdown decays while nothing is sent to the endpoint.
const SLOW_MEMORY_S: f64 = 4.0;
const MAX_SLOWNESS: f64 = 20.0;
/// The largest part of a measured time that this gateway itself may have caused: what is left of a larger one says little
/// about the endpoint.
const MAX_OWN_PART: f64 = 0.5;
/// The largest part of the time of a stream's events that this gateway itself may have caused. It is smaller than
/// [`MAX_OWN_PART`], since a pace that differs by a tenth already moves traffic.
const MAX_OWN_GAP_PART: f64 = 0.05;
/// The share of an endpoint's capacity that is withheld from a rank for each more urgent rank that the endpoint serves: other
/// models on the endpoint have other coordinators, so a burst of less urgent requests would take all of it before more
/// urgent ones are seen.
const WITHHELD_SHARE: f64 = 0.2;
/// The least share of an endpoint's capacity that every rank may use.
const MIN_SHARE: f64 = 0.4;
/// How long an endpoint counts as serving a rank after a request of that rank.
const RANK_MEMORY: Duration = Duration::from_secs(2);
/// The time after which other gateways know that a slot is free: their reports are sent at this interval.
const REPORT_DELAY_MS: f64 = 250.0;
/// The maximum number of requests beyond its slots that an endpoint is sent because some of the running ones have ended
/// unnoticed, as a share of the slots.
const MAX_UNNOTICED_SHARE: f64 = 0.4;
/// The share of an endpoint's capacity that the estimate of a model's starts assumes for the model: the endpoint holds other
/// models too.
const ASSUMED_SHARE: f64 = 0.5;
/// How long an unreachable endpoint is reported to the other VMs of the zone: long enough for several messages.
const UNREACHABLE_REPORT_TIME: Duration = Duration::from_millis(400);
/// How long a message from another gateway is counted.
pub const MESSAGE_LIFE: Duration = Duration::from_millis(1500);
/// The maximum number of prompt prefixes remembered for an endpoint; beyond it the older half is dropped.
const MAX_REMEMBERED: usize = 2048;

/// The load that one or more gateways have placed on an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Taken {
    /// The number of requests.
    pub requests: f32,
    /// The number of tokens that the requests hold in memory.
    pub tokens: f32,
    /// The work until all requests have their first result, in ms, by rank.
    pub ahead_ms: [f32; RANKS],
}

impl Taken {
    /// Adds another gateway's load.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.tokens += other.tokens;
        for (a, b) in self.ahead_ms.iter_mut().zip(other.ahead_ms) {
            *a += b;
        }
    }

    /// Subtracts load that another gateway no longer has.
    fn subtract(&mut self, other: &Self) {
        self.requests = (self.requests - other.requests).max(0.0);
        self.tokens = (self.tokens - other.tokens).max(0.0);
        for (a, b) in self.ahead_ms.iter_mut().zip(other.ahead_ms) {
            *a = (*a - b).max(0.0);
        }
    }

    /// Returns the work that is done before a request of the given rank, in ms.
    fn ahead(&self, level: usize) -> f64 {
        self.ahead_ms[..=level].iter().map(|a| f64::from(*a)).sum()
    }
}

#[derive(Debug)]
struct Row {
    own: Taken,
    others: Taken,
    /// The factor by which first results take longer than expected, and when it was last measured.
    slowness: (f64, Instant),
    health: Health,
    refused_at: Option<Instant>,
    /// The requests that this gateway assigned to the endpoint for other gateways.
    assigned: Assignments,
    remembered: HashMap<u64, Instant>,
    /// When the endpoint last got a request of each rank.
    served_at: [Option<Instant>; RANKS],
}

impl Row {
    fn new(now: Instant) -> Self {
        Self {
            own: Taken::default(),
            others: Taken::default(),
            slowness: (1.0, now),
            health: Health::default(),
            refused_at: None,
            assigned: Assignments::default(),
            remembered: HashMap::new(),
            served_at: [None; RANKS],
        }
    }

    /// Returns the load of all gateways: the larger of what they reported and what was assigned. Assigned
    /// requests show in later reports, so the two aren't added.
    fn taken(&self, now: Instant) -> Taken {
        let mut taken = self.own;
        taken.add(&self.others);
        taken.requests = taken.requests.max(self.assigned.requests(now));
        let reported: f32 = taken.ahead_ms.iter().sum();
        taken.ahead_ms[0] += (self.assigned.ahead_ms(now) - reported).max(0.0);
        taken
    }

    fn slowness(&self, now: Instant) -> f64 {
        let age = now.duration_since(self.slowness.1).as_secs_f64();
        1.0 + (self.slowness.0 - 1.0) * (-age / SLOW_MEMORY_S).exp()
    }

    /// Returns the share of the endpoint's capacity that a rank may use.
    fn usable_share(&self, now: Instant, level: usize) -> f64 {
        let is_served = |t: &&Option<Instant>| t.is_some_and(|t| now < t + RANK_MEMORY);
        let more_urgent = self.served_at[..level].iter().filter(is_served).count();
        #[expect(clippy::cast_precision_loss, reason = "there are few ranks")]
        let withheld = more_urgent as f64 * WITHHELD_SHARE;
        (1.0 - withheld).max(MIN_SHARE)
    }

    fn refused_ms(&self, now: Instant) -> f64 {
        let fade = |t: Instant| {
            let age = now.duration_since(t).as_secs_f64();
            (-age / REFUSED_MEMORY_S).exp()
        };
        self.refused_at.map_or(0.0, |t| REFUSED_MS * fade(t))
    }

    /// Returns the number of prompt tokens that aren't in the endpoint's prefix cache.
    fn unread(&self, job: &Job) -> u32 {
        let known = job
            .beginnings
            .iter()
            .take_while(|(h, _)| self.remembered.contains_key(h));
        let cached: u32 = known.map(|(_, tokens)| tokens).sum();
        job.prompt_tokens.saturating_sub(cached)
    }

    fn remember(&mut self, now: Instant, job: &Job) {
        for (h, _) in &job.beginnings {
            self.remembered.insert(*h, now);
        }
        if self.remembered.len() > MAX_REMEMBERED {
            let mut times: Vec<Instant> = self.remembered.values().copied().collect();
            times.sort_unstable();
            let middle = times[times.len() / 2];
            self.remembered.retain(|_, at| *at > middle);
        }
    }
}

/// A request that was sent to an endpoint, to be passed to [`Balance::finish`].
#[derive(Debug)]
pub struct Sent {
    key: EndpointKey,
    at: Instant,
    /// The time by which this gateway's tasks had been late until then.
    late: Duration,
    level: usize,
    tokens: f32,
    work_ms: f64,
    unread: u32,
    alone: bool,
    expected_ms: f64,
    first: Option<Duration>,
    job_model: Option<SmolStr>,
    /// Whether the request tests if the endpoint's backoff has ended.
    trial: bool,
    max_output: u32,
    service: ServiceName,
    zone: ZoneName,
    slots: u32,
    gaps: Gaps,
}

/// What the recorded parts of a stream have shown.
#[derive(Clone, Copy, Debug, Default)]
struct Gaps {
    /// The time by which this gateway's tasks had been late at the end of the last part.
    late: Duration,
    parts: u32,
    /// Whether a gap was longer than the rule allows.
    is_late: bool,
    /// Whether this gateway was late itself in one of the parts.
    is_unreliable: bool,
}

impl Sent {
    /// Returns the endpoint's key.
    #[must_use]
    pub fn endpoint(&self) -> EndpointKey {
        self.key
    }

    /// Returns the time to the first result, if it has been received.
    #[must_use]
    pub fn first(&self) -> Option<Duration> {
        self.first
    }
}

/// The time that a request has taken at an endpoint and on the way.
#[derive(Clone, Copy, Debug)]
struct Took {
    time: Duration,
    /// Whether this gateway's own part was small enough to tell the rest.
    is_reliable: bool,
}

/// The result of choosing an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Choice {
    /// Send the request to this endpoint; the first result is expected after this many ms.
    To(EndpointKey, f64),
    /// Every endpoint that holds the model and adapter has so many prompts to process that its streams would
    /// pause; the first result would be expected after this many ms.
    Overloaded(f64),
    /// Every endpoint that holds the model and adapter requires this VM to back off; the first backoff ends
    /// after this time.
    BackingOff(Duration),
    /// No slot of a brittle endpoint that holds the model and adapter can be granted; one is expected after this time.
    NoSlot(Duration),
    /// The request waits in the model's queue, and asks again after this time.
    Queued(Duration),
    /// The request can't start in time; its turn would come after this time.
    NoTurn(Duration),
    /// No endpoint of the service accepts requests.
    NoEndpoint,
    /// No endpoint that accepts requests holds the model.
    NoModel,
    /// Some endpoints hold the model, but none of them holds the adapter.
    NoAdapter,
}

/// An endpoint for a job, and the capacity of all endpoints that can run it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Offer {
    /// The endpoint, or the reason why there is none.
    pub choice: Choice,
    /// The capacity for requests of the job's rank and size.
    pub capacity: Capacity,
}

/// The capacity limits of a service's endpoints.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// The number of tokens that fit in an endpoint's memory, if known.
    pub kv_tokens: Option<u32>,
    /// How long an endpoint may process prompts while its streams wait, in ms.
    pub reading_ms: f64,
    /// The longest allowed pause between the events of a stream, in ms. An endpoint whose streams have longer gaps of their
    /// own may process prompts for a shorter time.
    pub pause_ms: f64,
}

/// An endpoint that a request could be sent to.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    is_ejected: bool,
    is_overloaded: bool,
    /// Whether the endpoint has stated a rate limit; it is used only if no other endpoint has capacity.
    is_limited: bool,
    /// The number of requests that fail if the endpoint crashes, for isolated requests.
    ///
    /// With this rule a request that crashes endpoints took 6.5 streams along in three crashes instead of 10.1,
    /// with endpoints in two zones; where all endpoints are equally busy it makes no difference
    /// (`tests/isolation.rs`).
    affected_requests: f32,
    cost: f64,
    key: EndpointKey,
    expected_ms: f64,
}

impl Candidate {
    fn is_better(self, other: Self) -> bool {
        let rank = |c: Self| {
            (
                c.is_ejected,
                c.is_overloaded,
                c.is_limited,
                c.affected_requests,
                c.cost,
            )
        };
        rank(self) < rank(other)
    }
}

/// One gateway's view of the load of all endpoints.
#[derive(Debug)]
pub struct Balance {
    zone: ZoneName,
    rows: SecondaryMap<EndpointKey, Row>,
    reachability: ZoneReachability,
    messages: BTreeMap<VmName, (Instant, Vec<(EndpointKey, Taken)>)>,
    /// The measured processing times by model.
    service_times: BTreeMap<SmolStr, Pace>,
    /// The mean time for which a request occupies a slot, in ms, by service.
    held_ms: BTreeMap<ServiceName, f64>,
    /// The rate limits and backoffs that endpoints requested.
    pub backpressure: Backpressure,
    /// How late this gateway's own tasks get their turn.
    pub own_delay: OwnDelay,
    /// How much load each endpoint can take.
    pub capacity: EndpointCapacity,
}

/// Queries.
impl Balance {
    /// Creates the balance of a gateway in `zone`.
    #[must_use]
    pub fn new(zone: ZoneName) -> Self {
        Self {
            zone,
            rows: SecondaryMap::new(),
            reachability: ZoneReachability::default(),
            messages: BTreeMap::new(),
            service_times: BTreeMap::new(),
            held_ms: BTreeMap::new(),
            backpressure: Backpressure::default(),
            own_delay: OwnDelay::default(),
            capacity: EndpointCapacity::default(),
        }
    }

    /// Chooses an endpoint for a job, excluding those in `tried`.
    #[must_use]
    pub fn choose(
        &self,
        now: Instant,
        roster: &Roster,
        bounds: Bounds,
        job: &Job,
        tried: &[EndpointKey],
    ) -> Choice {
        let mut best: Option<Candidate> = None;
        let none = self.scan(now, roster, bounds, job, tried, |c, _| {
            if best.is_none_or(|b| c.is_better(b)) {
                best = Some(c);
            }
        });
        match best {
            Some(c) if c.is_overloaded => Choice::Overloaded(c.expected_ms),
            Some(c) => Choice::To(c.key, c.expected_ms),
            None => none,
        }
    }

    /// Calls `f` with each endpoint that can run a job, excluding those in `tried`. Returns why there is none, if there is
    /// none.
    fn scan<F>(
        &self,
        now: Instant,
        roster: &Roster,
        bounds: Bounds,
        job: &Job,
        tried: &[EndpointKey],
        mut f: F,
    ) -> Choice
    where
        F: FnMut(Candidate, &Endpoint),
    {
        let mut found = Choice::NoEndpoint;
        let mut backoff: Option<Duration> = None;
        let open = roster.open(&job.service);
        for (key, e) in open.filter(|(_, e)| job.may_run_at(e)) {
            if let Some(wanted) = &job.model
                && !holds(&e.holdings, wanted)
            {
                let has_model = e.holdings.contains_key(&wanted.model);
                found = match (has_model, found) {
                    (true, _) | (_, Choice::NoAdapter) => Choice::NoAdapter,
                    _ => Choice::NoModel,
                };
                continue;
            }
            if let Some(wait) = self.backpressure.opens_in(now, key) {
                backoff = Some(backoff.map_or(wait, |r| r.min(wait)));
                continue;
            }
            if tried.contains(&key) {
                continue;
            }
            let expected_ms = self.expected_ms(now, key, e, bounds.kv_tokens, job);
            let c = Candidate {
                is_ejected: !self.accepts(now, key, e),
                is_overloaded: self.reading_ms(now, key, job, bounds.reading_ms)
                    > self.reading_bound_ms(key, bounds),
                is_limited: self.backpressure.rate(key).is_some(),
                affected_requests: if job.isolated {
                    self.requests(key)
                } else {
                    0.0
                },
                cost: expected_ms + self.extra_ms(now, key, e),
                key,
                expected_ms,
            };
            f(c, e);
        }
        backoff.map_or(found, Choice::BackingOff)
    }

    /// Returns the endpoint for a job together with the capacity of all endpoints that can run it, for the queue of its
    /// model.
    ///
    /// The choice is [`Choice::To`] an endpoint with room, or [`Choice::Overloaded`] if none has room.
    #[must_use]
    pub fn offer(
        &self,
        now: Instant,
        roster: &Roster,
        bounds: Bounds,
        job: &Job,
        tried: &[EndpointKey],
    ) -> Offer {
        let mut best: Option<Candidate> = None;
        let mut room = 0;
        let mut starts_per_s = 0.0;
        let none = self.scan(now, roster, bounds, job, tried, |c, e| {
            let own_room = if c.is_ejected {
                0
            } else {
                self.room(now, c.key, e, bounds, job)
            };
            room += own_room;
            starts_per_s += self.starts_per_s(now, c.key, e, job) * ASSUMED_SHARE;
            // Of two endpoints the one with room is chosen, whatever the other one's cost.
            let c = Candidate {
                is_overloaded: own_room == 0,
                ..c
            };
            if best.is_none_or(|b| c.is_better(b)) {
                best = Some(c);
            }
        });
        let choice = match best {
            // Ejected endpoints are tried if there is no other.
            Some(c) if c.is_ejected => {
                room = 1;
                Choice::To(c.key, c.expected_ms)
            }
            Some(c) if c.is_overloaded => Choice::Overloaded(c.expected_ms),
            Some(c) => Choice::To(c.key, c.expected_ms),
            None => none,
        };
        Offer {
            choice,
            capacity: Capacity { room, starts_per_s },
        }
    }

    /// Returns how many requests like a job an endpoint can start now, by its slots, its memory, and the prompts that it
    /// has to process.
    fn room(
        &self,
        now: Instant,
        key: EndpointKey,
        e: &Endpoint,
        bounds: Bounds,
        job: &Job,
    ) -> usize {
        let (taken, share) = self.rows.get(key).map_or_else(
            || (Taken::default(), 1.0),
            |r| (r.taken(now), r.usable_share(now, job.level())),
        );
        let slots = self.slots(key, e);
        let unnoticed = (REPORT_DELAY_MS / self.held_ms(job).max(1.0)).min(MAX_UNNOTICED_SHARE);
        let by_slots = slots * (share + unnoticed) - f64::from(taken.requests);
        let by_memory = bounds.kv_tokens.map_or(f64::INFINITY, |kv| {
            (f64::from(kv) * share - f64::from(taken.tokens)) / job.tokens().max(1.0)
        });
        let ahead = taken.ahead(RANKS - 1);
        let own_ms = self.work_ms(key, job);
        let bound_ms = self.reading_bound_ms(key, bounds);
        let left_ms = bound_ms * share / self.duration_factor(now, key) - ahead;
        // As in `reading_ms`, an idle endpoint takes a prompt of any length, and a long one is counted for a part of the
        // bound.
        let takes_one = ahead <= 0.0 || own_ms.min(bounds.reading_ms * MAX_OWN_SHARE) <= left_ms;
        let by_prompts = if takes_one {
            (left_ms / own_ms.max(1.0)).max(1.0)
        } else {
            0.0
        };
        let room = by_slots.min(by_memory).min(by_prompts).clamp(0.0, slots);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "it is between zero and the number of slots"
        )]
        let room = room as usize;
        room
    }

    /// Estimates how many requests like a job an endpoint can start per second if it runs no others.
    fn starts_per_s(&self, now: Instant, key: EndpointKey, e: &Endpoint, job: &Job) -> f64 {
        let by_slots = self.slots(key, e) / self.held_ms(job).max(1.0);
        let by_prompts = 1.0 / self.work_ms(key, job).max(1.0);
        by_slots.min(by_prompts) * 1000.0 / self.capacity.pace(now, key)
    }

    /// Returns the number of requests that an endpoint takes at once.
    fn slots(&self, key: EndpointKey, e: &Endpoint) -> f64 {
        self.capacity.limit(key, f64::from(e.slots.max(1)))
    }

    /// Returns the factor by which an endpoint is expected to take longer than usual: its pace, or the slowness of its last
    /// first results if they were slower than that.
    ///
    /// The slowness contains a pace above 1.0, so that a slow endpoint isn't counted twice; at a fast endpoint it is relative
    /// to the pace.
    fn duration_factor(&self, now: Instant, key: EndpointKey) -> f64 {
        let pace = self.capacity.pace(now, key);
        let slowness = self.rows.get(key).map_or(1.0, |r| r.slowness(now));
        pace * (slowness / pace.max(1.0)).max(1.0)
    }

    /// Returns how long an endpoint may process prompts while its streams wait, in ms.
    ///
    /// The pause that a prompt causes comes in addition to the endpoint's usual gap.
    fn reading_bound_ms(&self, key: EndpointKey, bounds: Bounds) -> f64 {
        let left_ms = bounds.pause_ms - self.capacity.gap_ms(key);
        bounds.reading_ms.min(left_ms.max(0.0))
    }

    /// Returns the mean time for which a request like a job occupies a slot, in ms.
    #[must_use]
    pub fn held_ms(&self, job: &Job) -> f64 {
        let by_model = self.pace(job).map(|p| p.held_ms(job.max_output));
        let by_service = self.held_ms.get(&job.service).copied();
        let by_model = by_model.filter(|ms| *ms > 0.0);
        by_model.or(by_service).unwrap_or(DEFAULT_HELD_MS)
    }

    fn pace(&self, job: &Job) -> Option<&Pace> {
        let model = job.model.as_ref()?;
        self.service_times.get(&model.model)
    }

    /// Estimates how long an endpoint would process prompts if this one were added, in ms.
    ///
    /// Returns zero if it has no other prompt, as no endpoint could have less.
    fn reading_ms(&self, now: Instant, key: EndpointKey, job: &Job, bound_ms: f64) -> f64 {
        let Some(row) = self.rows.get(key) else {
            return 0.0;
        };
        let ahead = row.taken(now).ahead(RANKS - 1);
        if ahead <= 0.0 {
            return 0.0;
        }
        // A long prompt is counted for at most a part of the bound: it is processed in chunks like others, and
        // would otherwise fit only on an idle endpoint.
        let own_ms = self.work_ms(key, job).min(bound_ms * MAX_OWN_SHARE);
        self.duration_factor(now, key) * (ahead + own_ms)
    }

    /// Estimates the time to a job's first result at an endpoint, in ms.
    fn expected_ms(
        &self,
        now: Instant,
        key: EndpointKey,
        e: &Endpoint,
        kv_tokens: Option<u32>,
        job: &Job,
    ) -> f64 {
        let own_ms = self.work_ms(key, job);
        let factor = self.duration_factor(now, key);
        let Some(row) = self.rows.get(key) else {
            return factor * (BASE_MS + own_ms);
        };
        let taken = row.taken(now);
        let processing = factor * (BASE_MS + own_ms + taken.ahead(job.level()));
        let wait_ms = self.wait_ms(self.slots(key, e), &taken, kv_tokens, job);
        processing + row.refused_ms(now) + wait_ms * self.capacity.pace(now, key)
    }

    /// Estimates how long a job waits for a slot at an endpoint whose slots are in use, in ms.
    fn wait_ms(&self, slots: f64, taken: &Taken, kv_tokens: Option<u32>, job: &Job) -> f64 {
        let places = (f64::from(taken.requests) + 1.0) / slots;
        let memory = kv_tokens.map_or(0.0, |kv| {
            (f64::from(taken.tokens) + job.tokens()) / f64::from(kv.max(1))
        });
        let over = (places.max(memory) - 1.0).max(0.0);
        let held = self.held_ms.get(&job.service);
        over * held.copied().unwrap_or(DEFAULT_HELD_MS)
    }

    /// Returns the costs of an endpoint beside the time to the first result, in ms.
    fn extra_ms(&self, now: Instant, key: EndpointKey, e: &Endpoint) -> f64 {
        let zone = if e.zone == self.zone { 0.0 } else { ZONE_MS };
        let Some(row) = self.rows.get(key) else {
            return zone;
        };
        let requests = f64::from(row.taken(now).requests);
        let batch = requests / self.slots(key, e) * FULL_BATCH_MS;
        zone + row.health.errors(now) * ERROR_MS + batch * self.capacity.pace(now, key)
    }

    /// Returns the number of requests at an endpoint that are this gateway's, and of those that the others reported.
    #[must_use]
    pub fn known_requests(&self, key: EndpointKey) -> (f32, f32) {
        let row = self.rows.get(key);
        row.map_or((0.0, 0.0), |r| (r.own.requests, r.others.requests))
    }

    /// Returns the factor by which first results from an endpoint are expected to take longer than usual.
    #[must_use]
    pub fn known_slowness(&self, now: Instant, key: EndpointKey) -> f64 {
        self.rows.get(key).map_or(1.0, |r| r.slowness(now))
    }

    /// Returns the number of requests of all gateways at an endpoint.
    fn requests(&self, key: EndpointKey) -> f32 {
        let row = self.rows.get(key);
        row.map_or(0.0, |r| r.own.requests + r.others.requests)
    }

    /// Returns the work of a job at an endpoint until its first result, in ms.
    fn work_ms(&self, key: EndpointKey, job: &Job) -> f64 {
        let unread = self
            .rows
            .get(key)
            .map_or(job.prompt_tokens, |r| r.unread(job));
        f64::from(unread) * self.token_ms(job)
    }

    fn token_ms(&self, job: &Job) -> f64 {
        self.pace(job).copied().unwrap_or_default().token_ms()
    }

    /// Returns the share of an endpoint that a job uses, in ms of the whole endpoint. Demand is reported in
    /// this unit.
    ///
    /// It is the larger of the time for which the prompt is processed and of the job's part of the time for
    /// which it occupies one of the endpoint's slots. Streams occupy slots long after their prompts are
    /// processed: with prompts alone, a model stayed on endpoints that had 50 to 70 requests for 48 slots.
    #[must_use]
    pub fn demand_ms(&self, job: &Job, places: u32) -> f64 {
        let prompt = f64::from(job.prompt_tokens) * self.token_ms(job);
        let held = self.pace(job).map_or(0.0, |p| p.held_ms(job.max_output));
        prompt.max(held / f64::from(places.max(1)))
    }

    /// Returns the measured processing time per prompt token, in microseconds, by model, for a log line.
    pub fn token_us(&self) -> impl Iterator<Item = (&SmolStr, f64)> {
        let rows = self.service_times.iter();
        rows.map(|(m, p)| (m, (p.token_ms() * 1000.0).round()))
    }

    /// Returns the time to a job's first result from an endpoint that runs nothing else, in ms.
    #[must_use]
    pub fn first_result_ms(&self, job: &Job) -> f64 {
        BASE_MS + f64::from(job.prompt_tokens) * self.token_ms(job)
    }

    /// Returns `true` if an endpoint is ejected because of failures.
    #[must_use]
    pub fn is_ejected(&self, now: Instant, key: EndpointKey) -> bool {
        self.rows.get(key).is_some_and(|r| r.health.is_ejected(now))
    }

    /// Returns `true` if an endpoint has been unreachable for so long that its models have to be loaded
    /// elsewhere.
    #[must_use]
    pub fn is_lost(&self, now: Instant, key: EndpointKey) -> bool {
        self.rows.get(key).is_some_and(|r| r.health.is_lost(now))
    }

    /// Returns the endpoints that were unreachable recently, to report them to the VMs of the zone.
    pub fn unreached(&self, now: Instant) -> impl Iterator<Item = EndpointKey> {
        let fresh = move |t: Instant| now.duration_since(t) < UNREACHABLE_REPORT_TIME;
        let rows = self.rows.iter();
        rows.filter(move |(_, r)| r.health.unreached().is_some_and(fresh))
            .map(|(k, _)| k)
    }

    /// Returns `true` if neither the endpoint's failures nor its zone's reachability prevent sending it a
    /// request.
    #[must_use]
    pub fn accepts(&self, now: Instant, key: EndpointKey, e: &Endpoint) -> bool {
        let row = self.rows.get(key);
        let alone = row.is_none_or(|r| r.health.accepts(now, r.own.requests));
        alone && !self.reachability.is_cut(now, &e.zone)
    }

    /// Returns the mean time for which a request to a service occupies a slot, once one has completed.
    #[must_use]
    pub fn held(&self, service: &ServiceName) -> Option<Duration> {
        let ms = self.held_ms.get(service)?;
        Duration::try_from_secs_f64(ms / 1000.0).ok()
    }

    /// Returns the load of this gateway at each endpoint, to report it to the other gateways.
    pub fn own(&self) -> impl Iterator<Item = (EndpointKey, Taken)> {
        let rows = self.rows.iter().filter(|(_, r)| r.own.requests > 0.0);
        rows.map(|(k, r)| (k, r.own))
    }
}

/// Commands.
impl Balance {
    /// Records that a job is sent to an endpoint.
    pub fn start(
        &mut self,
        now: Instant,
        (key, e): (EndpointKey, &Endpoint),
        job: &Job,
        expected_ms: f64,
    ) -> Sent {
        let work_ms = self.work_ms(key, job);
        let level = job.level();
        #[expect(clippy::cast_possible_truncation, reason = "rounding is harmless")]
        let (tokens, work) = (job.tokens() as f32, work_ms as f32);
        let (mut unread, mut alone) = (job.prompt_tokens, true);
        if let Some(row) = self.row(now, key) {
            unread = row.unread(job);
            let ahead = row.own.ahead(RANKS - 1) + row.others.ahead(RANKS - 1);
            alone = ahead < work_ms / 2.0;
            row.own.requests += 1.0;
            row.own.tokens += tokens;
            row.own.ahead_ms[level] += work;
            row.served_at[level] = Some(now);
            row.remember(now, job);
        }
        Sent {
            key,
            at: now,
            late: self.own_delay.late(now),
            level,
            tokens,
            work_ms,
            unread,
            alone,
            expected_ms,
            first: None,
            job_model: job.model.as_ref().map(|m| m.model.clone()),
            trial: self.backpressure.start(now, key),
            max_output: job.max_output,
            service: job.service.clone(),
            zone: e.zone.clone(),
            slots: e.slots.max(1),
            gaps: Gaps {
                late: self.own_delay.late(now),
                ..Gaps::default()
            },
        }
    }

    /// Records that a job was assigned to an endpoint, to be sent by another gateway or by this one.
    pub fn record_assignment(&mut self, now: Instant, key: EndpointKey, job: &Job) {
        let ms = |ms: f64| Duration::try_from_secs_f64(ms / 1000.0).unwrap_or_default();
        let work_ms = self.work_ms(key, job);
        let held = self.held_ms(job);
        let level = job.level();
        let work = ms(work_ms * self.duration_factor(now, key));
        let held = held * self.capacity.pace(now, key);
        if let Some(row) = self.row(now, key) {
            row.served_at[level] = Some(now);
            row.assigned.add(now, work, ms(held));
            row.remember(now, job);
        }
    }

    /// Records the first result of a request.
    pub fn record_first_result(&mut self, now: Instant, sent: &mut Sent) {
        if sent.first.is_some() {
            return;
        }
        sent.first = Some(now.duration_since(sent.at));
        self.finish_prompt(sent);
        let took = self.took_elsewhere(now, sent);
        let took_ms = took.time.as_secs_f64() * 1000.0;
        let pace = self.capacity.pace(now, sent.key);
        if let (true, Some(model)) = (sent.alone && took.is_reliable, &sent.job_model) {
            let times = self.service_times.entry(model.clone()).or_default();
            times.record_first_result(sent.unread, took_ms / pace);
        }
        self.reachability.answer(&sent.zone);
        if std::mem::take(&mut sent.trial) {
            self.backpressure.end_trial(now, sent.key, true);
        }
        let factor = self.duration_factor(now, sent.key);
        if let Some(row) = self.rows.get_mut(sent.key) {
            row.health.answer(now);
            let sample = took_ms / sent.expected_ms.max(1.0);
            let before = row.slowness(now);
            // The expected time already included the factor, and the slowness is relative to a pace below 1.0.
            let target = (factor * sample / pace.min(1.0)).clamp(1.0, MAX_SLOWNESS);
            row.slowness = (before + (target - before) * SMOOTHING, now);
        }
    }

    /// Records a part of a request's stream: one at each second of the stream, and the rest before [`Balance::finish`].
    ///
    /// A part in which this gateway was late itself isn't learned from.
    pub fn record_part(&mut self, now: Instant, sent: &mut Sent, part: &StreamPart) {
        let late = self.own_delay.late(now);
        let own = late.saturating_sub(sent.gaps.late);
        sent.gaps.late = late;
        sent.gaps.parts = sent.gaps.parts.saturating_add(1);
        if own > part.streamed.mul_f64(MAX_OWN_GAP_PART) {
            sent.gaps.is_unreliable = true;
            return;
        }
        sent.gaps.is_late |= part.is_late();
        let model = sent.job_model.as_deref();
        let kind = model.unwrap_or(sent.service.as_str());
        self.capacity.record_part(now, sent.key, kind, part);
    }

    /// Records what a complete response shows about its endpoint's capacity.
    fn record_complete(&mut self, now: Instant, sent: &Sent, took: Took) {
        if sent.gaps.parts > 0 {
            if !sent.gaps.is_unreliable {
                let is_late = sent.gaps.is_late;
                self.capacity.record_end(now, sent.key, is_late);
            }
        } else if sent.job_model.is_none() && took.is_reliable {
            let service = sent.service.as_str();
            self.capacity
                .record_response(now, sent.key, service, took.time);
        }
        self.reconsider_limit(now, sent.key, sent.slots);
    }

    fn reconsider_limit(&mut self, now: Instant, key: EndpointKey, slots: u32) {
        let running = self.rows.get(key).map_or(0.0, |r| r.taken(now).requests);
        self.capacity
            .reconsider_limit(now, key, f64::from(running), f64::from(slots));
    }

    /// Applies another gateway's sums of what the endpoints' streams showed.
    pub fn receive_capacity(&mut self, now: Instant, roster: &Roster, report: &CapacityReport) {
        self.capacity.receive(now, report);
        for (key, _) in &report.endpoints {
            if let Some(e) = roster.get(*key) {
                self.reconsider_limit(now, *key, e.slots.max(1));
            }
        }
    }

    /// Returns how long a request has taken so far, without the time for which this gateway's own tasks were late.
    fn took_elsewhere(&self, now: Instant, sent: &Sent) -> Took {
        let all = now.duration_since(sent.at);
        let own = self.own_delay.late(now).saturating_sub(sent.late);
        Took {
            time: all.saturating_sub(own),
            is_reliable: own <= all.mul_f64(MAX_OWN_PART),
        }
    }

    /// Removes a request's prompt from the outstanding work.
    fn finish_prompt(&mut self, sent: &mut Sent) {
        if let Some(row) = self.rows.get_mut(sent.key) {
            #[expect(clippy::cast_possible_truncation, reason = "rounding is harmless")]
            let work = sent.work_ms as f32;
            let ahead = &mut row.own.ahead_ms[sent.level];
            *ahead = (*ahead - work).max(0.0);
        }
        sent.work_ms = 0.0;
    }

    /// Records the outcome of a request.
    pub fn finish(&mut self, now: Instant, mut sent: Sent, ending: AttemptOutcome) {
        self.finish_prompt(&mut sent);
        if sent.trial {
            self.backpressure.end_trial(now, sent.key, false);
        }
        let took = self.took_elsewhere(now, &sent);
        if matches!(ending, AttemptOutcome::Completed { .. }) {
            self.record_complete(now, &sent, took);
        }
        if matches!(ending, AttemptOutcome::Completed { .. }) && took.is_reliable {
            let held = took.time.as_secs_f64() * 1000.0;
            let v = self.held_ms.entry(sent.service.clone()).or_insert(held);
            *v += (held - *v) * HELD_SMOOTHING;
            if let Some(model) = &sent.job_model {
                let pace = self.capacity.pace(now, sent.key);
                let times = self.service_times.entry(model.clone()).or_default();
                times.record_completed(sent.max_output, held / pace);
            }
        }
        let Some(row) = self.rows.get_mut(sent.key) else {
            return;
        };
        row.own.requests = (row.own.requests - 1.0).max(0.0);
        row.own.tokens = (row.own.tokens - sent.tokens).max(0.0);
        match ending {
            AttemptOutcome::Completed { .. } => {
                row.health.answer(now);
                row.health.succeed();
            }
            AttemptOutcome::Cancelled => {}
            // The time passed while this gateway didn't get its turn.
            AttemptOutcome::Failed(Failure::Deadline) if !took.is_reliable => {}
            AttemptOutcome::Failed(Failure::Refused) => {
                row.health.answer(now);
                row.refused_at = Some(now);
            }
            AttemptOutcome::Failed(Failure::Connect) => {
                row.health.fail(now, true);
                self.reachability.fail(now, &sent.zone, sent.key);
            }
            AttemptOutcome::Failed(Failure::Broken | Failure::ServerError | Failure::Deadline) => {
                row.health.fail(now, false);
            }
        }
    }

    /// Applies another gateway's report of its load at the endpoints.
    ///
    /// Only the sums of the reported endpoints are updated: a VM receives hundreds of messages per second, and
    /// there are thousands of endpoints.
    pub fn receive(&mut self, now: Instant, from: VmName, taken: Vec<(EndpointKey, Taken)>) {
        let before = self.messages.remove(&from);
        for (key, t) in before.iter().flat_map(|(_, w)| w) {
            if let Some(row) = self.rows.get_mut(*key) {
                row.others.subtract(t);
            }
        }
        for (key, t) in &taken {
            if let Some(row) = self.row(now, *key) {
                row.others.add(t);
                for (served_at, ahead_ms) in row.served_at.iter_mut().zip(t.ahead_ms) {
                    if ahead_ms > 0.0 {
                        *served_at = Some(now);
                    }
                }
            }
        }
        self.messages.insert(from, (now, taken));
        let mut ages = self
            .messages
            .values()
            .map(|(at, _)| now.duration_since(*at));
        if ages.any(|age| age >= MESSAGE_LIFE) {
            self.refresh(now);
        }
    }

    /// Drops expired reports of other gateways, and recomputes the sums from the remaining ones.
    pub fn refresh(&mut self, now: Instant) {
        self.messages
            .retain(|_, (at, _)| now.duration_since(*at) < MESSAGE_LIFE);
        for row in self.rows.values_mut() {
            row.others = Taken::default();
        }
        let messages = std::mem::take(&mut self.messages);
        for (key, t) in messages.values().flat_map(|(_, w)| w) {
            if let Some(row) = self.row(now, *key) {
                row.others.add(t);
            }
        }
        self.messages = messages;
    }

    /// Applies the report of a VM of this zone that it can't reach an endpoint.
    pub fn report_unreachable(&mut self, now: Instant, key: EndpointKey) {
        if let Some(row) = self.row(now, key) {
            row.health.report_unreachable(now);
        }
    }

    /// Forgets which endpoints and zones couldn't be reached: it was this VM that reached none.
    pub fn forget_unreached(&mut self) {
        self.reachability = ZoneReachability::default();
        for row in self.rows.values_mut() {
            row.health.forget_unreached();
        }
    }

    /// Drops an endpoint that is gone.
    pub fn forget(&mut self, key: EndpointKey) {
        self.rows.remove(key);
        self.backpressure.forget(key);
        self.capacity.forget(key);
        for (_, taken) in self.messages.values_mut() {
            taken.retain(|(k, _)| *k != key);
        }
    }

    /// Returns the row of an endpoint, or `None` if its key belongs to an endpoint that is gone.
    fn row(&mut self, now: Instant, key: EndpointKey) -> Option<&mut Row> {
        let row = self.rows.entry(key)?;
        Some(row.or_insert_with(|| Row::new(now)))
    }
}
