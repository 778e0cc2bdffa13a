//! Decides which of a model's requests starts next, which waits, and which is refused.
//!
//! The coordinator of a model asks this queue for each request while the endpoints are short of capacity. Requests start by
//! rank, and within a rank by the latest start with which each meets its own objective. A workspace that takes more than
//! its share falls behind by what it took too much (`docs/design/load-scheduling.md`).
//!
//! ```
//! use limehollow::fingerprint::{Fingerprint, Identity};
//! use limehollow::wait_queue::{Capacity, Decision, Ticket, WaitQueue, Waiter};
//! use std::time::Duration;
//! use tokio::time::Instant;
//!
//! let now = Instant::now();
//! let identity = Identity { caller: "a", method: "POST", host: "portal.example", path: "/", body: b"" };
//! let waiter = Waiter {
//!     ticket: Ticket { vm: "vm-1".into(), number: 1 },
//!     rank: 0,
//!     tenant: "a".into(),
//!     weight: 1.0,
//!     request: Fingerprint::of(&identity),
//!     start_by: now + Duration::from_millis(400),
//!     serve_by: now + Duration::from_secs(10),
//! };
//! let mut queue = WaitQueue::new(now);
//! let full = Capacity { room: 0, unreserved_room: 0, starts_per_s: 20.0 };
//! assert!(matches!(queue.ask(now, &waiter, full), Decision::Wait { .. }));
//! let free = Capacity { room: 1, unreserved_room: 1, starts_per_s: 20.0 };
//! assert_eq!(queue.ask(now, &waiter, free), Decision::Start);
//! ```

use crate::fingerprint::Fingerprint;
use crate::job::RANKS;
use smol_str::SmolStr;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// The shortest and the longest time after which a waiting request asks again. At the shortest, a slot stays unused for a
/// negligible part of the time for which a request holds one.
const MIN_ASK_AGAIN: Duration = Duration::from_millis(20);
const MAX_ASK_AGAIN: Duration = Duration::from_millis(250);
/// The share of the expected wait after which a request asks again, since the estimate may be too long.
const ASK_AGAIN_SHARE: f64 = 0.5;
/// The time beyond the next expected query after which a waiting request is dropped: two lost queries.
const EXPIRY_MARGIN: Duration = Duration::from_millis(150);
/// How often expired requests are dropped.
const SWEEP_INTERVAL: Duration = Duration::from_millis(20);
/// The number of starts from which the rate of starts is measured, and the least time over which it is: reports between
/// VMs make room in steps of a quarter of a second.
const MEASURED_STARTS: usize = 32;
const MEASURED_TIME: Duration = Duration::from_secs(1);
/// The time for which the estimated rate of starts counts as much as the measured one, until enough starts are measured.
const ESTIMATE_WEIGHT_S: f64 = 0.25;
/// The lowest rate of starts that is assumed, per second.
const MIN_STARTS_PER_S: f64 = 0.1;
/// The time constant of the counts of arrivals and starts by rank. It is within the objectives of patient requests, which
/// should outwait bursts of urgent ones.
const COUNT_MEMORY_S: f64 = 4.0;
/// The share of the starts that more urgent arrivals are expected to take at most from a less urgent rank.
const MAX_URGENT_SHARE: f64 = 0.9;
/// A rank is starved if it is served less often than this share of what all ranks are served: above the quarter that
/// operators ask for.
const FLOOR: f64 = 0.3;
/// The number of recent arrivals from which on a rank can be starved.
const MIN_ARRIVALS: f64 = 2.0;
/// The share of the time until its latest start that a request may be expected to wait when it arrives. The expected wait
/// varies, and a request that is held and then refused is worse off than one that is refused immediately.
const ADMITTED_SHARE: f64 = 0.7;
/// The time that is kept for a wait in the queue of an endpoint: which endpoint has a free slot is known late.
const ENDPOINT_MARGIN: Duration = Duration::from_millis(150);
/// The lead from which on the requests of a workspace come after those of the others of all ranks. The order within a rank
/// keeps leads below it while all workspaces have requests of that rank; a workspace that goes on in a rank of which the others
/// have few would take the starts of their less urgent requests.
const EXCESS_LEAD: Duration = Duration::from_secs(1);
/// The maximum time by which the requests of a workspace above its share are put back.
const MAX_LEAD: Duration = Duration::from_secs(2);
/// The time without a waiting request after which the leads of workspaces end.
const SHORTAGE_OVER: Duration = Duration::from_secs(1);
/// How long a workspace counts as active after a request.
const ACTIVE_FOR: Duration = Duration::from_secs(2);
/// The share of the starts that may be reserved for callers who come back. They come back late, and each of them takes the
/// place of a request that would be in time.
const RESERVED_SHARE: f64 = 0.05;
/// The share of the time that a caller has left for which it follows a retry delay.
const FOLLOWED_SHARE: f64 = 1.0 / 3.0;
/// How long before and after its turn a caller may come back.
const TURN_TOLERANCE: Duration = Duration::from_millis(500);
/// The maximum number of reservations, and of workspaces whose shares are tracked.
const MAX_RESERVED: usize = 4096;
const MAX_TENANTS: usize = 1024;
/// The maximum number of waiting requests that a VM keeps the order of, for all models together.
const MAX_WAITING: usize = 10_000;
/// The time after which a queue that nobody asks is dropped: beyond the memory of its counts.
const IDLE_AFTER: Duration = Duration::from_secs(15);
/// How long the place of a started request is kept, in case that the endpoint rejects it. Rejections arrive within a round
/// trip.
const PLACE_KEPT_FOR: Duration = Duration::from_secs(1);
/// The maximum number of places that are kept for started requests.
const MAX_KEPT_PLACES: usize = 4096;
/// The shortest retry delay: a shorter one would pass in transit.
const MIN_RETRY: Duration = Duration::from_millis(100);

/// Identifies a waiting request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    /// The VM that holds the request.
    pub vm: SmolStr,
    /// The request's number at that VM.
    pub number: u64,
}

/// A request that asks to start.
#[derive(Clone, Debug, PartialEq)]
pub struct Waiter {
    /// The request.
    pub ticket: Ticket,
    /// Its rank; 0 is the most urgent.
    pub rank: u8,
    /// The workspace, or the caller where there are no workspaces.
    pub tenant: SmolStr,
    /// The workspace's weight among the others.
    pub weight: f64,
    /// The request's fingerprint, by which a caller who comes back is recognized.
    pub request: Fingerprint,
    /// The latest start with which the request meets its objective.
    pub start_by: Instant,
    /// The latest start with which the request can be served at all.
    pub serve_by: Instant,
}

/// The capacity of the endpoints that hold the model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// The number of requests that can start now.
    pub room: usize,
    /// The number of requests that could start now if nothing were withheld from the request's rank; a starved rank may use
    /// it.
    pub unreserved_room: usize,
    /// The estimated number of requests that can start per second, used until the rate is measured.
    pub starts_per_s: f64,
}

/// The decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request starts now.
    Start,
    /// The request waits, and asks again after this time.
    Wait {
        /// The time after which the request asks again.
        ask_again: Duration,
    },
    /// The request is refused.
    Refuse(Refusal),
}

/// Why a request is refused, and when its caller may come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The time after which the caller's turn comes; longer than the time that the caller has left if it can't be served.
    pub retry_after: Duration,
    /// Whether a turn is reserved for the caller.
    pub is_reserved: bool,
    /// The number of requests before this one.
    pub position: usize,
    /// The time after which the request would start.
    pub expected_wait: Duration,
}

/// The place of a request in the order of starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    /// Whether the request's workspace is far above its share.
    is_excess: bool,
    rank: u8,
    /// Whether no turn is reserved for the request: those with a turn come first.
    is_newcomer: bool,
    due: Instant,
    number: u64,
}

#[derive(Debug)]
struct Entry {
    place: Place,
    ticket: Ticket,
    since: Instant,
    expires: Instant,
}

/// What a workspace got while requests waited.
#[derive(Clone, Copy, Debug)]
struct Tenant {
    /// The time up to which the workspace has used its share, by its requests of each rank and of more urgent ones: less
    /// urgent requests that it has started don't count against its urgent ones.
    clocks: [Instant; RANKS],
    last_seen: Instant,
    weight: f64,
    starts: u64,
}

impl Place {
    /// Returns the class of the request: its rank, and those of workspaces far above their share after the others.
    fn class(self) -> usize {
        let excess = if self.is_excess { RANKS } else { 0 };
        excess + level(self.rank)
    }
}

/// A request that has started, with its former place and what its start was counted for.
#[derive(Debug)]
struct Started {
    place: Place,
    at: Instant,
    /// By how much the start advanced the clock of its workspace.
    paid_for: Duration,
    /// Whether requests waited at that time.
    is_measured: bool,
}

/// The requests that left a queue without a start or a refusal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ended {
    /// Requests that were withdrawn.
    pub left: u64,
    /// Requests that didn't ask again in time.
    pub expired: u64,
}

/// A turn that was reserved for a caller.
#[derive(Clone, Copy, Debug)]
struct Turn {
    at: Instant,
}

/// A count that decays.
#[derive(Clone, Copy, Debug)]
struct Count {
    value: f64,
    at: Instant,
}

impl Count {
    fn at(self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.value * (-age / COUNT_MEMORY_S).exp()
    }

    fn add(&mut self, now: Instant) {
        self.value = self.at(now) + 1.0;
        self.at = now;
    }

    /// Takes back an addition that was made at `then`.
    fn take_back(&mut self, now: Instant, then: Instant) {
        let added = Self {
            value: 1.0,
            at: then,
        };
        self.value = (self.at(now) - added.at(now)).max(0.0);
        self.at = now;
    }
}

/// The requests of one class.
#[derive(Clone, Copy, Debug)]
struct ClassCounts {
    arrivals: Count,
    /// The arrivals that weren't refused immediately.
    admitted: Count,
    starts: Count,
}

/// The number of classes of requests.
const CLASSES: usize = 2 * RANKS;

/// The order of a request among the others.
#[derive(Clone, Copy, Debug)]
struct Standing {
    /// The number of requests before it.
    before: usize,
    /// The number of those of its own class.
    before_in_class: usize,
    /// Whether it goes first because its class is starved.
    is_preferred: bool,
}

/// What waits in a queue, by rank.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RankStatus {
    /// The number of waiting requests.
    pub waiting: usize,
    /// How long the first of them has waited.
    pub longest: Duration,
}

/// The waiting requests of one model, and the order in which they start.
#[derive(Debug)]
pub struct WaitQueue {
    /// In the order of starts.
    entries: Vec<Entry>,
    places: HashMap<Ticket, Place>,
    tenants: HashMap<SmolStr, Tenant>,
    /// Requests that started lately.
    started: HashMap<Ticket, Started>,
    ended: [Ended; RANKS],
    turns: HashMap<Fingerprint, Turn>,
    /// The earliest time of the next turn that is reserved.
    next_turn: Instant,
    /// The latest starts, as long as requests wait.
    starts: VecDeque<Instant>,
    /// Since when requests have waited, and when one last did.
    short_since: Option<Instant>,
    last_short: Instant,
    classes: [ClassCounts; CLASSES],
    swept_at: Instant,
    last_asked: Instant,
    next_number: u64,
}

/// Queries.
impl WaitQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        let zero = Count {
            value: 0.0,
            at: now,
        };
        let none = ClassCounts {
            arrivals: zero,
            admitted: zero,
            starts: zero,
        };
        Self {
            entries: Vec::new(),
            places: HashMap::new(),
            tenants: HashMap::new(),
            started: HashMap::new(),
            ended: [Ended::default(); RANKS],
            turns: HashMap::new(),
            next_turn: now,
            starts: VecDeque::new(),
            short_since: None,
            last_short: now,
            classes: [none; CLASSES],
            swept_at: now,
            last_asked: now,
            next_number: 0,
        }
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns `true` if no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns `true` if a request waits.
    #[must_use]
    pub fn holds(&self, ticket: &Ticket) -> bool {
        self.places.contains_key(ticket)
    }

    /// Returns `true` if nothing is lost by dropping the queue.
    fn is_idle(&self, now: Instant) -> bool {
        self.entries.is_empty() && self.turns.is_empty() && now >= self.last_asked + IDLE_AFTER
    }

    /// Returns what waits, by rank.
    #[must_use]
    pub fn status(&self, now: Instant) -> [RankStatus; RANKS] {
        let mut all = [RankStatus::default(); RANKS];
        for e in &self.entries {
            let s = &mut all[level(e.place.rank)];
            s.waiting += 1;
            s.longest = s.longest.max(now.saturating_duration_since(e.since));
        }
        all
    }

    /// Returns the number of starts that each workspace got while requests waited.
    pub fn shares(&self) -> impl Iterator<Item = (&SmolStr, u64)> {
        self.tenants.iter().map(|(name, t)| (name, t.starts))
    }

    /// Returns the rate of starts while requests wait, per second: the measured one, or the estimate as long as too
    /// little has been measured.
    #[must_use]
    pub fn starts_per_s(&self, now: Instant, estimate: f64) -> f64 {
        let Some(short_since) = self.short_since else {
            return estimate.max(MIN_STARTS_PER_S);
        };
        let since = |t: Instant| now.saturating_duration_since(t);
        let starts = count(self.starts.len());
        let measured = self.starts.front().map(|t| since(*t));
        let is_measured = |t: &Duration| *t >= MEASURED_TIME && starts >= count(MEASURED_STARTS);
        let rate = match measured.filter(is_measured) {
            // An estimate that stays in the rate distorts the shares of workspaces and the expected waits.
            Some(elapsed) => starts / elapsed.as_secs_f64(),
            None => {
                let elapsed = since(short_since).as_secs_f64();
                (starts + estimate * ESTIMATE_WEIGHT_S) / (elapsed + ESTIMATE_WEIGHT_S)
            }
        };
        rate.max(MIN_STARTS_PER_S)
    }

    /// Returns the rate of starts that a class can expect if requests before it go on arriving as they did.
    fn starts_for(&self, now: Instant, class: usize, rate: f64) -> f64 {
        let earlier = &self.classes[..class];
        let admitted: f64 = earlier.iter().map(|c| c.admitted.at(now)).sum();
        rate - (admitted / COUNT_MEMORY_S).min(rate * MAX_URGENT_SHARE)
    }

    /// Returns the ratio of starts to arrivals that a class shouldn't fall below. Workspaces far above their share are
    /// compared among themselves.
    fn floor(&self, now: Instant, class: usize) -> f64 {
        let group = &self.classes[group(class)];
        let sum =
            |f: fn(&ClassCounts) -> Count| -> f64 { group.iter().map(|c| f(c).at(now)).sum() };
        FLOOR * sum(|c| c.starts) / sum(|c| c.arrivals).max(f64::MIN_POSITIVE)
    }

    /// Returns `true` if a class is served much less often than all requests of its group.
    fn is_starved(&self, now: Instant, class: usize) -> bool {
        let own = &self.classes[class];
        let arrivals = own.arrivals.at(now);
        arrivals >= MIN_ARRIVALS && own.starts.at(now) / arrivals < self.floor(now, class)
    }

    fn position(&self, place: Place) -> usize {
        self.entries.partition_point(|e| e.place < place)
    }

    /// Returns the position of the first request of a class.
    fn first_of(&self, class: usize) -> usize {
        self.entries.partition_point(|e| e.place.class() < class)
    }

    /// Returns the number of starved classes after a place of which requests wait: the first of each goes first.
    fn starved_after(&self, now: Instant, place: Place) -> usize {
        let is_waiting = |class: &usize| {
            let first = self.entries.get(self.first_of(*class));
            first.is_some_and(|e| e.place.class() == *class)
        };
        let later = place.class() + 1..group(place.class()).end;
        later
            .filter(|c| is_waiting(c) && self.is_starved(now, *c))
            .count()
    }

    /// Returns the order of a request.
    fn standing(&self, now: Instant, place: Place) -> Standing {
        let class = place.class();
        let position = self.position(place);
        let before_in_class = position - self.first_of(class);
        let group_start = self.first_of(group(class).start);
        let is_preferred =
            position > group_start && before_in_class == 0 && self.is_starved(now, class);
        let before = if is_preferred {
            group_start
        } else {
            position + self.starved_after(now, place)
        };
        Standing {
            before,
            before_in_class,
            is_preferred,
        }
    }

    /// Returns the time after which a request is expected to start.
    fn expected_wait(
        &self,
        now: Instant,
        class: usize,
        s: Standing,
        room: usize,
        rate: f64,
    ) -> Duration {
        let ahead = count((s.before + 1).saturating_sub(room));
        let in_order = ahead / self.starts_for(now, class, rate);
        let arrivals_per_s = self.classes[class].arrivals.at(now) / COUNT_MEMORY_S;
        let floor_rate = (self.floor(now, class) * arrivals_per_s).max(f64::MIN_POSITIVE);
        // The next start goes to the first request of a starved class.
        let first = if self.is_starved(now, class) {
            1.0 / rate
        } else {
            1.0 / floor_rate
        };
        seconds(in_order.min(first + count(s.before_in_class) / floor_rate))
    }

    fn has_turn(&self, now: Instant, request: Fingerprint) -> bool {
        let turn = self.turns.get(&request);
        turn.is_some_and(|t| t.at <= now + TURN_TOLERANCE && now <= t.at + TURN_TOLERANCE)
    }
}

/// Commands.
impl WaitQueue {
    /// Decides on a request, which may already be waiting.
    pub fn ask(&mut self, now: Instant, w: &Waiter, c: Capacity) -> Decision {
        self.sweep(now);
        self.last_asked = now;
        let is_new = !self.holds(&w.ticket);
        let place = self.place(now, w);
        let class = place.class();
        let standing = self.standing(now, place);
        let room = if standing.is_preferred {
            c.unreserved_room.max(c.room)
        } else {
            c.room
        };
        let can_be_served = now <= w.serve_by;
        if can_be_served && standing.before < room {
            self.remove(&w.ticket);
            if is_new {
                self.classes[class].admitted.add(now);
            }
            self.record_start(now, w, place, c);
            return Decision::Start;
        }
        let rate = self.starts_per_s(now, c.starts_per_s);
        let expected = self.expected_wait(now, class, standing, room, rate);
        if can_be_served && expected <= longest_wait(now, w, place, is_new) {
            if is_new {
                self.classes[class].admitted.add(now);
            }
            let next_ask = if standing.is_preferred {
                MIN_ASK_AGAIN
            } else {
                expected.mul_f64(ASK_AGAIN_SHARE)
            };
            self.wait(now, w, place, next_ask)
        } else {
            self.remove(&w.ticket);
            Decision::Refuse(self.refuse(now, w, (standing.before, expected), rate))
        }
    }

    /// Removes a request that no longer waits. Returns whether it did.
    pub fn leave(&mut self, ticket: &Ticket) -> bool {
        let Some(place) = self.places.get(ticket) else {
            return false;
        };
        self.ended[level(place.rank)].left += 1;
        self.remove(ticket)
    }

    /// Returns the requests that ended without a decision since the last call, by rank.
    pub fn take_ended(&mut self) -> [Ended; RANKS] {
        std::mem::take(&mut self.ended)
    }

    /// Drops the requests that didn't ask again in time. Returns their number.
    pub fn sweep(&mut self, now: Instant) -> usize {
        if now < self.swept_at + SWEEP_INTERVAL {
            return 0;
        }
        self.swept_at = now;
        let before = self.entries.len();
        let (places, ended) = (&mut self.places, &mut self.ended);
        self.entries.retain(|e| {
            let is_alive = now < e.expires;
            if !is_alive {
                places.remove(&e.ticket);
                ended[level(e.place.rank)].expired += 1;
            }
            is_alive
        });
        self.started.retain(|_, s| now < s.at + PLACE_KEPT_FOR);
        self.turns.retain(|_, t| now <= t.at + TURN_TOLERANCE);
        self.tenants
            .retain(|_, t| now < t.last_seen + ACTIVE_FOR || now < t.clocks[RANKS - 1]);
        if !self.entries.is_empty() {
            self.last_short = now;
        } else if now >= self.last_short + SHORTAGE_OVER {
            self.short_since = None;
            self.starts.clear();
            self.tenants.clear();
        }
        before - self.entries.len()
    }

    /// Drops the last request in the order, to make room for one before it. Returns `false` if the queue is empty or the
    /// last request comes before `w`.
    pub fn displace(&mut self, w: &Waiter) -> bool {
        let Some(last) = self.entries.last() else {
            return false;
        };
        let is_excess = self.places.get(&w.ticket).is_some_and(|p| p.is_excess);
        let own = (is_excess, w.rank, w.start_by);
        if (last.place.is_excess, last.place.rank, last.place.due) <= own {
            return false;
        }
        let ticket = last.ticket.clone();
        self.remove(&ticket)
    }

    /// Returns the place of a request: the one that it has, or the one that it gets.
    fn place(&mut self, now: Instant, w: &Waiter) -> Place {
        if let Some(place) = self.places.get(&w.ticket) {
            return *place;
        }
        if let Some(started) = self.started.remove(&w.ticket) {
            self.take_back_start(now, w, &started);
            return started.place;
        }
        let lead = self.see_tenant(now, w);
        let has_turn = self.has_turn(now, w.request);
        if has_turn {
            self.turns.remove(&w.request);
        }
        self.next_number += 1;
        let place = Place {
            is_excess: lead >= EXCESS_LEAD,
            rank: w.rank,
            is_newcomer: !has_turn,
            due: w.start_by + lead,
            number: self.next_number,
        };
        self.classes[place.class()].arrivals.add(now);
        place
    }

    /// Records a request of a workspace. Returns by how much the workspace is ahead of its share.
    fn see_tenant(&mut self, now: Instant, w: &Waiter) -> Duration {
        if self.tenants.len() >= MAX_TENANTS && !self.tenants.contains_key(&w.tenant) {
            return Duration::ZERO;
        }
        let t = self.tenants.entry(w.tenant.clone()).or_insert(Tenant {
            clocks: [now; RANKS],
            last_seen: now,
            weight: w.weight,
            starts: 0,
        });
        t.last_seen = now;
        t.weight = w.weight;
        let level = level(w.rank);
        let clock = t.clocks[level];
        // While all workspaces have more requests than their shares, their clocks pass the time together.
        let clocks = self.tenants.values().map(|t| t.clocks[level]);
        let least = clocks.min().map_or(now, |t| t.max(now));
        clock.saturating_duration_since(least).min(MAX_LEAD)
    }

    fn record_start(&mut self, now: Instant, w: &Waiter, place: Place, c: Capacity) {
        self.classes[place.class()].starts.add(now);
        let is_measured = self.short_since.is_some();
        let paid_for = if is_measured {
            self.measure_start(now, w, c)
        } else {
            Duration::ZERO
        };
        if self.started.len() < MAX_KEPT_PLACES {
            let started = Started {
                place,
                at: now,
                paid_for,
                is_measured,
            };
            self.started.insert(w.ticket.clone(), started);
        }
    }

    /// Records a start while requests wait. Returns by how much it advanced the clock of its workspace.
    fn measure_start(&mut self, now: Instant, w: &Waiter, c: Capacity) -> Duration {
        let rate = self.starts_per_s(now, c.starts_per_s);
        self.starts.push_back(now);
        let is_old = |t: Option<&Instant>| t.is_some_and(|t| now >= *t + MEASURED_TIME);
        while self.starts.len() > MEASURED_STARTS && is_old(self.starts.get(1)) {
            self.starts.pop_front();
        }
        let active = self.tenants.values();
        let weights: f64 = active.map(|t| t.weight).sum();
        let Some(t) = self.tenants.get_mut(&w.tenant) else {
            return Duration::ZERO;
        };
        let paid_for = seconds(weights / t.weight.max(f64::MIN_POSITIVE) / rate);
        for clock in &mut t.clocks[level(w.rank)..] {
            *clock = ((*clock).max(now) + paid_for).min(now + MAX_LEAD);
        }
        t.starts += 1;
        paid_for.min(MAX_LEAD)
    }

    /// Takes back the start of a request that asks again: it wasn't sent, or its endpoint rejected it.
    fn take_back_start(&mut self, now: Instant, w: &Waiter, s: &Started) {
        self.classes[s.place.class()].starts.take_back(now, s.at);
        if !s.is_measured {
            return;
        }
        if let Some(at) = self.starts.iter().rposition(|t| *t == s.at) {
            self.starts.remove(at);
        }
        if let Some(t) = self.tenants.get_mut(&w.tenant) {
            for clock in &mut t.clocks[level(w.rank)..] {
                *clock = clock.checked_sub(s.paid_for).unwrap_or(*clock);
            }
            t.starts = t.starts.saturating_sub(1);
        }
    }

    fn wait(&mut self, now: Instant, w: &Waiter, place: Place, next_ask: Duration) -> Decision {
        let ask_again = next_ask
            .clamp(MIN_ASK_AGAIN, MAX_ASK_AGAIN)
            .min(w.serve_by.saturating_duration_since(now));
        let expires = now + ask_again + EXPIRY_MARGIN;
        self.short_since.get_or_insert(now);
        self.last_short = now;
        let at = self.position(place);
        match self.entries.get_mut(at) {
            Some(e) if e.place == place => e.expires = expires,
            _ => {
                self.places.insert(w.ticket.clone(), place);
                let e = Entry {
                    place,
                    ticket: w.ticket.clone(),
                    since: now,
                    expires,
                };
                self.entries.insert(at, e);
            }
        }
        Decision::Wait { ask_again }
    }

    /// Reserves a turn for a refused caller if it can be served in the time that it has left.
    fn refuse(
        &mut self,
        now: Instant,
        w: &Waiter,
        (position, expected_wait): (usize, Duration),
        rate: f64,
    ) -> Refusal {
        let left = w.serve_by.saturating_duration_since(now);
        let turn = self.next_turn.max(now + expected_wait.max(MIN_RETRY));
        let comes_back_by = now + left.mul_f64(FOLLOWED_SHARE);
        let is_reserved = turn <= comes_back_by && self.turns.len() < MAX_RESERVED;
        let retry_after = if is_reserved {
            self.turns.insert(w.request, Turn { at: turn });
            self.next_turn = turn + seconds(1.0 / (rate * RESERVED_SHARE));
            turn.saturating_duration_since(now)
        } else {
            left + MIN_RETRY
        };
        Refusal {
            retry_after,
            is_reserved,
            position,
            expected_wait,
        }
    }

    fn remove(&mut self, ticket: &Ticket) -> bool {
        let Some(place) = self.places.remove(ticket) else {
            return false;
        };
        let at = self.position(place);
        if self.entries.get(at).is_some_and(|e| e.place == place) {
            self.entries.remove(at);
        }
        true
    }
}

/// The queues of the models that one VM coordinates, or for which it decides by itself.
#[derive(Debug, Default)]
pub struct WaitQueues {
    by_model: BTreeMap<SmolStr, WaitQueue>,
}

impl WaitQueues {
    /// Decides on a request for a model.
    ///
    /// If more requests than a VM may keep would wait, the last one of all models is dropped. It learns of it when it asks
    /// again.
    pub fn ask(&mut self, now: Instant, model: &SmolStr, w: &Waiter, c: Capacity) -> Decision {
        let queue = self
            .by_model
            .entry(model.clone())
            .or_insert_with(|| WaitQueue::new(now));
        let decision = queue.ask(now, w, c);
        let is_waiting = matches!(decision, Decision::Wait { .. });
        if !is_waiting || self.len() <= MAX_WAITING {
            return decision;
        }
        let is_displaced = self.last_queue().is_some_and(|q| q.displace(w));
        let Some(queue) = self.by_model.get_mut(model) else {
            return decision;
        };
        if is_displaced && queue.holds(&w.ticket) {
            return decision;
        }
        queue.leave(&w.ticket);
        let left = w.serve_by.saturating_duration_since(now);
        Decision::Refuse(Refusal {
            retry_after: left + MIN_RETRY,
            is_reserved: false,
            position: queue.len(),
            expected_wait: left,
        })
    }

    /// Returns the queue with the request that comes last of all.
    fn last_queue(&mut self) -> Option<&mut WaitQueue> {
        let queues = self.by_model.values_mut();
        queues.max_by_key(|q| {
            let last = q.entries.last().map(|e| e.place);
            last.map(|p| (p.is_excess, p.rank, p.due))
        })
    }

    /// Removes a request that no longer waits. Returns whether it did.
    pub fn leave(&mut self, model: &str, ticket: &Ticket) -> bool {
        let queue = self.by_model.get_mut(model);
        queue.is_some_and(|q| q.leave(ticket))
    }

    /// Drops the requests that didn't ask again in time, and the queues that aren't needed. Returns the number of requests.
    pub fn sweep(&mut self, now: Instant) -> usize {
        let expired = self.by_model.values_mut().map(|q| q.sweep(now)).sum();
        self.by_model.retain(|_, q| !q.is_idle(now));
        expired
    }

    /// Returns the requests of all models that ended without a decision since the last call, by rank.
    pub fn take_ended(&mut self) -> [Ended; RANKS] {
        let mut all = [Ended::default(); RANKS];
        for queue in self.by_model.values_mut() {
            for (sum, e) in all.iter_mut().zip(queue.take_ended()) {
                sum.left += e.left;
                sum.expired += e.expired;
            }
        }
        all
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_model.values().map(WaitQueue::len).sum()
    }

    /// Returns `true` if no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_model.values().all(WaitQueue::is_empty)
    }

    /// Returns the queues by model.
    pub fn iter(&self) -> impl Iterator<Item = (&SmolStr, &WaitQueue)> {
        self.by_model.iter()
    }
}

/// Returns the classes of the workspaces within their shares, or of those far above, to which a class belongs.
fn group(class: usize) -> std::ops::Range<usize> {
    if class < RANKS {
        0..RANKS
    } else {
        RANKS..CLASSES
    }
}

/// Returns how long a request may be expected to wait. One that is late, or that comes back in its turn, may wait as long as it
/// can be served.
fn longest_wait(now: Instant, w: &Waiter, place: Place, is_new: bool) -> Duration {
    let until_served = w.serve_by.saturating_duration_since(now);
    let is_late = w.start_by <= now || !place.is_newcomer;
    if is_late {
        return until_served;
    }
    let in_time = w.start_by.saturating_duration_since(now);
    if is_new {
        let planned = in_time.saturating_sub(ENDPOINT_MARGIN);
        return planned.mul_f64(ADMITTED_SHARE).min(until_served);
    }
    in_time.min(until_served)
}

fn level(rank: u8) -> usize {
    usize::from(rank).min(RANKS - 1)
}

fn count(n: usize) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "a queue is short")]
    let n = n as f64;
    n
}

/// Returns a duration of `s` seconds, at most an hour.
fn seconds(s: f64) -> Duration {
    const MAX_S: f64 = 3600.0;
    Duration::try_from_secs_f64(s.min(MAX_S)).unwrap_or(Duration::from_secs(3600))
}
