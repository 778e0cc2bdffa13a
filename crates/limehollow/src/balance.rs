//! Which endpoint a request goes to, by the time until its first result.
//!
//! For each endpoint a gateway keeps what it has there itself and what the other gateways said they
//! have. From that follows when a new request would see its first result: the prompts that stand before
//! it, at the pace that was measured, and the places that are taken. The endpoint that is soonest gets
//! the request; another zone, failures and recent refusals count as time (`docs/design/system.md`).

use crate::assignments::Assignments;
use crate::backpressure::Backpressure;
use crate::health::{Health, ZoneWays};
use crate::id::{EndpointKey, ServiceName, VmName, ZoneName};
use crate::job::{Job, RANKS};
use crate::load::AttemptOutcome;
use crate::pace::Pace;
use crate::roster::{Endpoint, Roster, holds};
use crate::verdict::Failure;
use serde::{Deserialize, Serialize};
use slotmap::SecondaryMap;
use smol_str::SmolStr;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use tokio::time::Instant;

/// Time to a first result of an endpoint at rest, in ms: the network there and back and one step.
const BASE_MS: f64 = 25.0;
/// How long a request is held on average, in ms, as long as nothing was measured.
const DEFAULT_HELD_MS: f64 = 500.0;
/// What another zone costs, in ms. Its bytes are priced at some hundredths of a request's worth, which
/// is what that much delay costs near the objective.
const ZONE_MS: f64 = 40.0;
/// What a full batch costs, in ms: tokens come slower and pauses get longer.
const CROWD_MS: f64 = 60.0;
/// The part of the bound on prompts that one prompt counts for at most. Without it 0.29 of the longest tenth of a kind
/// were served on a day on which 0.64 of all of that kind were.
const LONGEST_OWN_PART: f64 = 0.5;
/// What an endpoint that fails all it is sent costs, in ms: more than any objective.
const ERROR_MS: f64 = 3000.0;
/// How much longer a first result is expected to take at an endpoint that just refused, in ms: it has
/// no place left, whatever is known of it. It fades with this time constant.
const REFUSED_MS: f64 = 2500.0;
const REFUSED_MEMORY_S: f64 = 0.5;
/// The weight of a new sample in the time for which requests are held, which differs much between requests.
const HELD_SMOOTHING: f64 = 0.05;
/// The weight of a new sample in the smoothed figures.
const SMOOTHING: f64 = 0.2;
/// The time constant with which a measured slowness is forgotten while nothing is sent there.
const SLOW_MEMORY_S: f64 = 4.0;
const MAX_SLOWNESS: f64 = 20.0;
/// For how long the VMs of the zone are told that an endpoint can't be reached: some messages.
const UNREACHED_SAID_FOR: Duration = Duration::from_millis(400);
/// For how long what another gateway said counts.
pub const MESSAGE_LIFE: Duration = Duration::from_millis(1500);
/// Prompt beginnings that are remembered for an endpoint; the older half is dropped beyond.
const MAX_REMEMBERED: usize = 2048;

/// What a gateway has at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Taken {
    /// Requests.
    pub requests: f32,
    /// Tokens that they hold.
    pub tokens: f32,
    /// Work until all of them have their first result, in ms, by rank.
    pub ahead_ms: [f32; RANKS],
}

impl Taken {
    /// Adds what another has.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.tokens += other.tokens;
        for (a, b) in self.ahead_ms.iter_mut().zip(other.ahead_ms) {
            *a += b;
        }
    }

    /// Takes off what another has no more.
    fn subtract(&mut self, other: &Self) {
        self.requests = (self.requests - other.requests).max(0.0);
        self.tokens = (self.tokens - other.tokens).max(0.0);
        for (a, b) in self.ahead_ms.iter_mut().zip(other.ahead_ms) {
            *a = (*a - b).max(0.0);
        }
    }

    /// Gives the work that goes before a request of a rank.
    fn ahead(&self, level: usize) -> f64 {
        self.ahead_ms[..=level].iter().map(|a| f64::from(*a)).sum()
    }
}

#[derive(Debug)]
struct Row {
    own: Taken,
    others: Taken,
    /// How much longer first results take than expected, and when that was last measured.
    slowness: (f64, Instant),
    health: Health,
    refused_at: Option<Instant>,
    /// What this gateway promised there to others.
    assigned: Assignments,
    remembered: HashMap<u64, Instant>,
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
        }
    }

    /// Gives what all gateways have there: as they said, or what was promised, where that is more. What was promised shows in
    /// what they say later on, so the two don't add up.
    fn taken(&self, now: Instant) -> Taken {
        let mut taken = self.own;
        taken.add(&self.others);
        taken.requests = taken.requests.max(self.assigned.requests(now));
        let said: f32 = taken.ahead_ms.iter().sum();
        taken.ahead_ms[0] += (self.assigned.ahead_ms(now) - said).max(0.0);
        taken
    }

    fn slowness(&self, now: Instant) -> f64 {
        let age = now.duration_since(self.slowness.1).as_secs_f64();
        1.0 + (self.slowness.0 - 1.0) * (-age / SLOW_MEMORY_S).exp()
    }

    fn refused_ms(&self, now: Instant) -> f64 {
        let fade = |t: Instant| {
            let age = now.duration_since(t).as_secs_f64();
            (-age / REFUSED_MEMORY_S).exp()
        };
        self.refused_at.map_or(0.0, |t| REFUSED_MS * fade(t))
    }

    /// Gives the tokens of a prompt that have to be read at this endpoint.
    fn unread(&self, job: &Job) -> u32 {
        let known = job
            .beginnings
            .iter()
            .take_while(|(h, _)| self.remembered.contains_key(h));
        let read: u32 = known.map(|(_, tokens)| tokens).sum();
        job.prompt_tokens.saturating_sub(read)
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

/// A request that was sent to an endpoint; give it back to [`Balance::finish`].
#[derive(Debug)]
pub struct Sent {
    key: EndpointKey,
    at: Instant,
    level: usize,
    tokens: f32,
    work_ms: f64,
    unread: u32,
    alone: bool,
    expected_ms: f64,
    first: Option<Duration>,
    job_model: Option<SmolStr>,
    /// Whether it shows if the endpoint's rest is over.
    trial: bool,
    max_output: u32,
    service: ServiceName,
    zone: ZoneName,
}

impl Sent {
    /// Gives the endpoint.
    #[must_use]
    pub fn endpoint(&self) -> EndpointKey {
        self.key
    }

    /// Gives the time to the first result, if it has come.
    #[must_use]
    pub fn first(&self) -> Option<Duration> {
        self.first
    }
}

/// What a choice found.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Choice {
    /// Send it there; the first result is expected after so many ms.
    To(EndpointKey, f64),
    /// All that hold what it needs have so many prompts to read that their streams would pause; the first
    /// result would be expected after so many ms.
    Overloaded(f64),
    /// All that hold what it needs want nothing of this VM now; the first of them does after so long.
    BackingOff(Duration),
    /// No endpoint of the service takes work.
    NoEndpoint,
    /// No endpoint that takes work holds the model.
    NoModel,
    /// Some hold the model, none of them the adapter.
    NoAdapter,
}

/// What endpoints of a service can bear.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Tokens that an endpoint's memory holds, where that is known.
    pub kv_tokens: Option<u32>,
    /// How long an endpoint may read prompts while its streams wait, in ms.
    pub reading_ms: f64,
}

/// An endpoint that a request could go to.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    is_ejected: bool,
    is_overloaded: bool,
    /// Whether it names a limit: it is left alone while others have room.
    is_limited: bool,
    /// Requests that end with the endpoint, where that matters. A request that crashed endpoints took 6.5 streams along in
    /// three crashes where it took 10.1, with endpoints in two zones; where all are as busy, as many (`tests/isolation.rs`).
    beside: f32,
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
                c.beside,
                c.cost,
            )
        };
        rank(self) < rank(other)
    }
}

/// What one gateway knows of the load of all endpoints.
#[derive(Debug)]
pub struct Balance {
    zone: ZoneName,
    rows: SecondaryMap<EndpointKey, Row>,
    ways: ZoneWays,
    messages: BTreeMap<VmName, (Instant, Vec<(EndpointKey, Taken)>)>,
    /// How fast the models are served.
    paces: BTreeMap<SmolStr, Pace>,
    /// Time that a request is held, in ms, by service.
    held_ms: BTreeMap<ServiceName, f64>,
    /// What endpoints said that they want to be sent.
    pub backpressure: Backpressure,
}

/// Queries.
impl Balance {
    /// Makes the balance of a gateway in this zone.
    #[must_use]
    pub fn new(zone: ZoneName) -> Self {
        Self {
            zone,
            rows: SecondaryMap::new(),
            ways: ZoneWays::default(),
            messages: BTreeMap::new(),
            paces: BTreeMap::new(),
            held_ms: BTreeMap::new(),
            backpressure: Backpressure::default(),
        }
    }

    /// Chooses the endpoint for a job, other than those that were tried already.
    #[must_use]
    pub fn choose(
        &self,
        now: Instant,
        roster: &Roster,
        bounds: Bounds,
        job: &Job,
        tried: &[EndpointKey],
    ) -> Choice {
        let mut found = Choice::NoEndpoint;
        let mut rest: Option<Duration> = None;
        let mut best: Option<Candidate> = None;
        let open = roster.open(&job.service);
        for (key, e) in open.filter(|(_, e)| job.may_run_in(&e.zone)) {
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
                rest = Some(rest.map_or(wait, |r| r.min(wait)));
                continue;
            }
            if tried.contains(&key) {
                continue;
            }
            let expected_ms = self.expected_ms(now, key, e, bounds.kv_tokens, job);
            let c = Candidate {
                is_ejected: !self.accepts(now, key, e),
                is_overloaded: self.reading_ms(now, key, job, bounds.reading_ms)
                    > bounds.reading_ms,
                is_limited: self.backpressure.rate(key).is_some(),
                beside: if job.isolated {
                    self.requests(key)
                } else {
                    0.0
                },
                cost: expected_ms + self.extra_ms(now, key, e),
                key,
                expected_ms,
            };
            if best.is_none_or(|b| c.is_better(b)) {
                best = Some(c);
            }
        }
        match best {
            Some(c) if c.is_overloaded => Choice::Overloaded(c.expected_ms),
            Some(c) => Choice::To(c.key, c.expected_ms),
            None => rest.map_or(found, Choice::BackingOff),
        }
    }

    /// Estimates how long an endpoint would read prompts if it got this one as well, in ms; zero if it has
    /// none other, since then no smaller amount can be had.
    fn reading_ms(&self, now: Instant, key: EndpointKey, job: &Job, bound_ms: f64) -> f64 {
        let Some(row) = self.rows.get(key) else {
            return 0.0;
        };
        let ahead = row.taken(now).ahead(RANKS - 1);
        if ahead <= 0.0 {
            return 0.0;
        }
        // A long prompt counts for a part of the bound at most: it is read in pieces like those of others, and would
        // otherwise find no endpoint but one at rest.
        let own_ms = self.work_ms(key, job).min(bound_ms * LONGEST_OWN_PART);
        row.slowness(now) * (ahead + own_ms)
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
        let Some(row) = self.rows.get(key) else {
            return BASE_MS + own_ms;
        };
        let taken = row.taken(now);
        let read = row.slowness(now) * (BASE_MS + own_ms + taken.ahead(job.level()));
        read + row.refused_ms(now) + self.wait_ms(e, &taken, kv_tokens, job)
    }

    /// Estimates how long a job waits for a place at an endpoint whose places are taken, in ms.
    fn wait_ms(&self, e: &Endpoint, taken: &Taken, kv_tokens: Option<u32>, job: &Job) -> f64 {
        let slots = f64::from(e.slots.max(1));
        let places = (f64::from(taken.requests) + 1.0) / slots;
        let memory = kv_tokens.map_or(0.0, |kv| {
            (f64::from(taken.tokens) + job.tokens()) / f64::from(kv.max(1))
        });
        let over = (places.max(memory) - 1.0).max(0.0);
        let held = self.held_ms.get(&job.service);
        over * held.copied().unwrap_or(DEFAULT_HELD_MS)
    }

    /// Gives what counts against an endpoint beside the time to the first result, as ms.
    fn extra_ms(&self, now: Instant, key: EndpointKey, e: &Endpoint) -> f64 {
        let zone = if e.zone == self.zone { 0.0 } else { ZONE_MS };
        let Some(row) = self.rows.get(key) else {
            return zone;
        };
        let requests = f64::from(row.taken(now).requests);
        zone + row.health.errors(now) * ERROR_MS + requests / f64::from(e.slots.max(1)) * CROWD_MS
    }

    /// Counts the requests that an endpoint has, of all gateways.
    fn requests(&self, key: EndpointKey) -> f32 {
        let row = self.rows.get(key);
        row.map_or(0.0, |r| r.own.requests + r.others.requests)
    }

    /// Gives the work that a job is for an endpoint until its first result, in ms.
    fn work_ms(&self, key: EndpointKey, job: &Job) -> f64 {
        let unread = self
            .rows
            .get(key)
            .map_or(job.prompt_tokens, |r| r.unread(job));
        f64::from(unread) * self.token_ms(job)
    }

    fn token_ms(&self, job: &Job) -> f64 {
        let pace = job.model.as_ref().and_then(|m| self.paces.get(&m.model));
        pace.copied().unwrap_or_default().token_ms()
    }

    /// Gives how much of an endpoint a job takes, in ms of the whole endpoint: the unit in which demand is told.
    ///
    /// It is the larger of the time for which its prompt is read and of its part of the time for which it holds one
    /// of the endpoint's places. Streams hold places long after their prompts are read: with prompts alone a model
    /// stayed on endpoints at which 50 to 70 requests stood for 48 places.
    #[must_use]
    pub fn demand_ms(&self, job: &Job, places: u32) -> f64 {
        let prompt = f64::from(job.prompt_tokens) * self.token_ms(job);
        let pace = job.model.as_ref().and_then(|m| self.paces.get(&m.model));
        let held = pace.map_or(0.0, |p| p.held_ms(job.max_output));
        prompt.max(held / f64::from(places.max(1)))
    }

    /// Gives what a token of a prompt was measured to take, in microseconds, by model: for a log line.
    pub fn token_us(&self) -> impl Iterator<Item = (&SmolStr, f64)> {
        let rows = self.paces.iter();
        rows.map(|(m, p)| (m, (p.token_ms() * 1000.0).round()))
    }

    /// Tells whether an endpoint is ejected for its failures.
    #[must_use]
    pub fn is_ejected(&self, now: Instant, key: EndpointKey) -> bool {
        self.rows.get(key).is_some_and(|r| r.health.is_ejected(now))
    }

    /// Tells whether an endpoint has been out of reach for so long that its models have to be elsewhere.
    #[must_use]
    pub fn is_lost(&self, now: Instant, key: EndpointKey) -> bool {
        self.rows.get(key).is_some_and(|r| r.health.is_lost(now))
    }

    /// Gives the endpoints that could not be reached lately, for the VMs of the zone.
    pub fn unreached(&self, now: Instant) -> impl Iterator<Item = EndpointKey> {
        let fresh = move |t: Instant| now.duration_since(t) < UNREACHED_SAID_FOR;
        let rows = self.rows.iter();
        rows.filter(move |(_, r)| r.health.unreached().is_some_and(fresh))
            .map(|(k, _)| k)
    }

    /// Tells whether an endpoint may get a request now, as far as its failures and its zone go.
    #[must_use]
    pub fn accepts(&self, now: Instant, key: EndpointKey, e: &Endpoint) -> bool {
        let row = self.rows.get(key);
        let alone = row.is_none_or(|r| r.health.accepts(now, r.own.requests));
        alone && !self.ways.is_cut(now, &e.zone)
    }

    /// Gives what this gateway has at each endpoint, for the others.
    pub fn own(&self) -> impl Iterator<Item = (EndpointKey, Taken)> {
        let rows = self.rows.iter().filter(|(_, r)| r.own.requests > 0.0);
        rows.map(|(k, r)| (k, r.own))
    }
}

/// Commands.
impl Balance {
    /// Notes that a job is sent to an endpoint.
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
            row.remember(now, job);
        }
        Sent {
            key,
            at: now,
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
        }
    }

    /// Notes that another gateway sends a job to an endpoint, or this one does, by this one's choice.
    pub fn record_assignment(&mut self, now: Instant, key: EndpointKey, job: &Job) {
        let ms = |ms: f64| Duration::try_from_secs_f64(ms / 1000.0).unwrap_or_default();
        let work_ms = self.work_ms(key, job);
        let pace = job.model.as_ref().and_then(|m| self.paces.get(&m.model));
        let held = self.held_ms.get(&job.service).copied();
        let held = pace.map(|p| p.held_ms(job.max_output)).or(held);
        if let Some(row) = self.row(now, key) {
            let work = ms(work_ms * row.slowness(now));
            row.assigned
                .add(now, work, ms(held.unwrap_or(DEFAULT_HELD_MS)));
            row.remember(now, job);
        }
    }

    /// Notes that a first result came.
    pub fn record_first_result(&mut self, now: Instant, sent: &mut Sent) {
        if sent.first.is_some() {
            return;
        }
        let took = now.duration_since(sent.at);
        sent.first = Some(took);
        self.read(sent);
        let took_ms = took.as_secs_f64() * 1000.0;
        if let (true, Some(model)) = (sent.alone, &sent.job_model) {
            let pace = self.paces.entry(model.clone()).or_default();
            pace.first(sent.unread, took_ms);
        }
        self.ways.answer(&sent.zone);
        if std::mem::take(&mut sent.trial) {
            self.backpressure.end_trial(now, sent.key, true);
        }
        if let Some(row) = self.rows.get_mut(sent.key) {
            row.health.answer(now);
            let sample = took_ms / sent.expected_ms.max(1.0);
            let before = row.slowness(now);
            // The estimate that was beaten or missed had the slowness in it already.
            let target = (before * sample).clamp(1.0, MAX_SLOWNESS);
            row.slowness = (before + (target - before) * SMOOTHING, now);
        }
    }

    /// Takes a request's prompt off what is ahead.
    fn read(&mut self, sent: &mut Sent) {
        if let Some(row) = self.rows.get_mut(sent.key) {
            #[expect(clippy::cast_possible_truncation, reason = "rounding is harmless")]
            let work = sent.work_ms as f32;
            let ahead = &mut row.own.ahead_ms[sent.level];
            *ahead = (*ahead - work).max(0.0);
        }
        sent.work_ms = 0.0;
    }

    /// Notes how a request ended.
    pub fn finish(&mut self, now: Instant, mut sent: Sent, ending: AttemptOutcome) {
        self.read(&mut sent);
        if sent.trial {
            self.backpressure.end_trial(now, sent.key, false);
        }
        if matches!(ending, AttemptOutcome::Completed { .. }) {
            let held = now.duration_since(sent.at).as_secs_f64() * 1000.0;
            let v = self.held_ms.entry(sent.service.clone()).or_insert(held);
            *v += (held - *v) * HELD_SMOOTHING;
            if let Some(model) = &sent.job_model {
                let pace = self.paces.entry(model.clone()).or_default();
                pace.whole(sent.max_output, held);
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
            AttemptOutcome::Failed(Failure::Refused) => {
                row.health.answer(now);
                row.refused_at = Some(now);
            }
            AttemptOutcome::Failed(Failure::Connect) => {
                row.health.fail(now, true);
                self.ways.fail(now, &sent.zone, sent.key);
            }
            AttemptOutcome::Failed(Failure::Broken | Failure::ServerError | Failure::Deadline) => {
                row.health.fail(now, false);
            }
        }
    }

    /// Takes in what another gateway has at the endpoints.
    ///
    /// The sums change by what the message changes: a VM hears hundreds of messages a second, and there are thousands of endpoints.
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

    /// Drops what other gateways said too long ago, and sums up anew what is left.
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

    /// Takes in that a VM of this zone can't reach an endpoint.
    pub fn report_unreachable(&mut self, now: Instant, key: EndpointKey) {
        if let Some(row) = self.row(now, key) {
            row.health.report_unreachable(now);
        }
    }

    /// Forgets an endpoint that is gone.
    pub fn forget(&mut self, key: EndpointKey) {
        self.rows.remove(key);
        self.backpressure.forget(key);
        for (_, taken) in self.messages.values_mut() {
            taken.retain(|(k, _)| *k != key);
        }
    }

    /// Gives the row of an endpoint; none if its key names one that is gone.
    fn row(&mut self, now: Instant, key: EndpointKey) -> Option<&mut Row> {
        let row = self.rows.entry(key)?;
        Some(row.or_insert_with(|| Row::new(now)))
    }
}
