//! Rate limits, backoffs and cold periods of endpoints, as one VM knows them.
//!
//! An endpoint sends four signals in its answers: that it leaves, which is final for its start; a rate limit in
//! requests a second over all VMs together, in force as long as answers state it; a backoff, for which this VM must
//! not send it requests; and that it is brittle: it fails if it has to reject more than a stated number of requests in a
//! second. The [`crate::roster`] records the first, [`crate::quota`] enforces the rate limit over all VMs, and
//! [`crate::slot_ledger`] keeps requests without a free slot away from brittle endpoints; this module holds one VM's
//! knowledge of the signals (`docs/design/backpressure.md`). The endpoint's entry on
//! the list adds that it is cold, and for how long. While it is cold, a rate from the configuration applies.
//!
//! ```
//! use limehollow::backpressure::{Backpressure, RateSignal, Signals};
//! use limehollow::id::EndpointKey;
//! use slotmap::SlotMap;
//! use std::time::Duration;
//! use tokio::time::Instant;
//!
//! let mut keys: SlotMap<EndpointKey, ()> = SlotMap::with_key();
//! let (now, key) = (Instant::now(), keys.insert(()));
//! let mut b = Backpressure::default();
//! let s = Signals { rate: RateSignal::Named(2.5), backoff: Some(Duration::from_secs(3)), ..Signals::default() };
//! b.observe(now, key, now, s);
//! assert_eq!(b.rate(key), Some(2.5));
//! assert_eq!(b.opens_in(now, key), Some(Duration::from_secs(3)));
//! ```

use crate::id::EndpointKey;
use serde::{Deserialize, Serialize};
use slotmap::SecondaryMap;
use std::cmp::Ordering;
use std::time::Duration;
use tokio::time::Instant;

/// The longest backoff that one answer can set. An endpoint that needs more asks again at the next request.
pub const MAX_BACKOFF: Duration = Duration::from_secs(3600);
/// The lowest effective rate limit, in requests a second. Without any requests, no answer could show that the limit has
/// ended.
pub const LEAST_RATE: f64 = 0.1;
/// The rate from which on a limit is ignored, in requests a second: many times the load of a whole site.
const UNLIMITED_RATE: f64 = 1e6;
/// The time after which to check again an endpoint whose backoff is over while a trial request is in flight.
const TRIAL_RECHECK: Duration = Duration::from_millis(100);

/// How long an endpoint counts as brittle after its last answer that said so. An endpoint that answers nothing any more
/// must not keep its service's requests under a coordinator.
const BRITTLE_FOR: Duration = Duration::from_secs(10);

/// A limit in an answer, in events a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RateSignal {
    /// The answer states no limit.
    #[default]
    Unnamed,
    /// The endpoint bears this many events a second from all VMs together.
    Named(f64),
    /// The answer states a limit that can't be parsed; it neither sets nor ends a limit.
    Unreadable,
}

/// What a limit counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RateKind {
    /// The requests that reach the endpoint.
    Requests,
    /// The requests that the endpoint rejects for want of room; one that states this limit is brittle.
    Rejections,
}

/// The signals in one answer of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Signals {
    /// Whether the endpoint leaves: this start accepts no more requests.
    pub leaving: bool,
    /// The limit of requests a second.
    pub rate: RateSignal,
    /// The limit of rejections a second; only a brittle endpoint states one.
    pub brittle: RateSignal,
    /// The time for which this VM must not send requests.
    pub backoff: Option<Duration>,
    /// The remaining time for which the endpoint is cold.
    pub cold: Option<Duration>,
}

/// A limit that an endpoint stated in one answer, and the time range in which the answer was written.
///
/// Answers arrive on several connections, so the last one received need not be the last one written. An answer was
/// written between the sending of its request and its receipt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateObservation {
    /// The limit in events a second over all VMs together; `None` if the answer stated no limit.
    pub rate: Option<f64>,
    /// When the request was sent.
    pub sent_at: Instant,
    /// When the answer was received.
    pub received_at: Instant,
}

impl RateObservation {
    /// Returns which of two observations is in force: the one that was certainly written later, or the stricter one if
    /// their order is unknown.
    #[must_use]
    pub fn merge(self, other: Self) -> Self {
        if other.sent_at >= self.received_at {
            return other;
        }
        if self.sent_at >= other.received_at {
            return self;
        }
        let rate = |w: &Self| w.rate.unwrap_or(f64::INFINITY);
        match rate(&other).total_cmp(&rate(&self)) {
            Ordering::Less => other,
            Ordering::Equal if other.received_at > self.received_at => other,
            Ordering::Equal | Ordering::Greater => self,
        }
    }
}

/// A change of an endpoint's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RateChange {
    /// The limit is unchanged.
    #[default]
    Unchanged,
    /// From now on the endpoint accepts this many requests a second.
    Limited(f64),
    /// The limit has ended.
    Ended,
}

/// The changes that an answer caused.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SignalChange {
    /// The change of the limit of requests a second.
    pub rate: RateChange,
    /// The change of the limit of rejections a second.
    pub brittle: RateChange,
    /// The backoff that the answer asked for.
    pub backoff: Option<Duration>,
}

#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: Instant,
    /// Whether a trial request is in flight, which shows whether the endpoint accepts requests again.
    trial: bool,
}

/// The rate limit of an endpoint over all VMs together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointLimit {
    /// Requests a second.
    pub rate: f64,
    /// Whether it is cold: it tolerates more than its rate for only a second.
    pub is_cold: bool,
}

/// A period in which an endpoint is slow and would fail under its usual load.
#[derive(Clone, Copy, Debug)]
struct Cold {
    until: Instant,
    /// The limit meanwhile, in requests a second over all VMs together.
    rate: f64,
}

/// One VM's knowledge of one limit of an endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct StatedLimit {
    observation: Option<RateObservation>,
    /// When the observation last had to be sent to other VMs: it changed, or one of them still had a limit that has
    /// ended.
    changed_at: Option<Instant>,
}

impl StatedLimit {
    fn rate(&self) -> Option<f64> {
        self.observation?.rate
    }

    fn observe(&mut self, now: Instant, sent_at: Instant, s: RateSignal, least: f64) -> RateChange {
        let rate = match s {
            RateSignal::Unreadable => return RateChange::Unchanged,
            // An answer without a limit matters only if a limit is in force.
            RateSignal::Unnamed if self.rate().is_none() => return RateChange::Unchanged,
            RateSignal::Unnamed => None,
            RateSignal::Named(rate) => (rate < UNLIMITED_RATE).then_some(rate.max(least)),
        };
        let observation = RateObservation {
            rate,
            sent_at,
            received_at: now,
        };
        self.merge(now, observation)
    }

    fn merge(&mut self, now: Instant, observation: RateObservation) -> RateChange {
        let before = self.rate();
        let joined = self
            .observation
            .map_or(observation, |w| w.merge(observation));
        if joined.rate != before || joined.rate.is_none() && observation.rate.is_some() {
            self.changed_at = Some(now);
        }
        self.observation = Some(joined);
        match joined.rate {
            rate if rate == before => RateChange::Unchanged,
            Some(rate) => RateChange::Limited(rate),
            None => RateChange::Ended,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Row {
    requests: StatedLimit,
    rejections: StatedLimit,
    backoff: Option<Backoff>,
    cold: Option<Cold>,
}

impl Row {
    fn stated(&self, kind: RateKind) -> &StatedLimit {
        match kind {
            RateKind::Requests => &self.requests,
            RateKind::Rejections => &self.rejections,
        }
    }

    fn stated_mut(&mut self, kind: RateKind) -> &mut StatedLimit {
        match kind {
            RateKind::Requests => &mut self.requests,
            RateKind::Rejections => &mut self.rejections,
        }
    }
}

/// One VM's knowledge of the limits, backoffs and cold periods of endpoints.
#[derive(Debug, Default)]
pub struct Backpressure {
    rows: SecondaryMap<EndpointKey, Row>,
    /// When an endpoint last said that it is brittle.
    brittle_at: Option<Instant>,
}

/// Queries.
impl Backpressure {
    /// Returns the rate limit of an endpoint in requests a second over all VMs, if it stated one or is cold.
    #[must_use]
    pub fn rate(&self, key: EndpointKey) -> Option<f64> {
        self.limit(key).map(|l| l.rate)
    }

    /// Returns the limit of an endpoint over all VMs, if it stated one or is cold.
    #[must_use]
    pub fn limit(&self, key: EndpointKey) -> Option<EndpointLimit> {
        let row = self.rows.get(key)?;
        let stated_rate = row.requests.rate();
        let cold = row.cold.map(|c| c.rate);
        let rate = match (stated_rate, cold) {
            (Some(a), Some(b)) => a.min(b),
            (a, b) => a.or(b)?,
        };
        Some(EndpointLimit {
            rate,
            is_cold: cold.is_some(),
        })
    }

    /// Returns `true` if an endpoint is cold.
    #[must_use]
    pub fn is_cold(&self, key: EndpointKey) -> bool {
        self.rows.get(key).is_some_and(|r| r.cold.is_some())
    }

    /// Returns the cold endpoints.
    pub fn cold(&self) -> impl Iterator<Item = EndpointKey> {
        let rows = self.rows.iter();
        rows.filter(|(_, r)| r.cold.is_some()).map(|(k, _)| k)
    }

    /// Returns `true` if some endpoint said lately that it is brittle.
    #[must_use]
    pub fn has_brittle(&self, now: Instant) -> bool {
        self.brittle_at
            .is_some_and(|t| now.saturating_duration_since(t) < BRITTLE_FOR)
    }

    /// Returns how many rejections a second an endpoint bears, if it said lately that it is brittle.
    #[must_use]
    pub fn bears(&self, now: Instant, key: EndpointKey) -> Option<f64> {
        let stated = self.rows.get(key)?.rejections.observation?;
        let is_recent = now.saturating_duration_since(stated.received_at) < BRITTLE_FOR;
        stated.rate.filter(|_| is_recent)
    }

    /// Returns the time until an endpoint in backoff accepts a request of this VM, or `None` if it does now.
    #[must_use]
    pub fn opens_in(&self, now: Instant, key: EndpointKey) -> Option<Duration> {
        let backoff = self.rows.get(key)?.backoff?;
        let left = backoff.until.saturating_duration_since(now);
        match (left.is_zero(), backoff.trial) {
            (false, _) => Some(left),
            (true, true) => Some(TRIAL_RECHECK),
            (true, false) => None,
        }
    }

    /// Returns `true` if an endpoint's backoff isn't over, so that not even a trial request may be sent.
    #[must_use]
    pub fn is_backing_off(&self, now: Instant, key: EndpointKey) -> bool {
        let backoff = self.rows.get(key).and_then(|r| r.backoff);
        backoff.is_some_and(|r| now < r.until)
    }

    /// Returns the endpoints to which this VM may not send requests now.
    pub fn closed(&self, now: Instant) -> impl Iterator<Item = EndpointKey> {
        let keys = self.rows.keys();
        keys.filter(move |k| self.opens_in(now, *k).is_some())
    }

    /// Returns the observations that have to be sent to other VMs: those that changed less than `send_for` ago.
    pub fn recent_changes(
        &self,
        now: Instant,
        send_for: Duration,
    ) -> impl Iterator<Item = (EndpointKey, RateKind, RateObservation)> {
        let recent = move |t: Instant| now.saturating_duration_since(t) < send_for;
        self.stated()
            .filter(move |(.., s)| s.changed_at.is_some_and(recent))
            .filter_map(|(k, kind, s)| Some((k, kind, s.observation?)))
    }

    /// Returns the observations of all limits in force, from which a restarted VM learns them.
    pub fn active_limits(&self) -> impl Iterator<Item = (EndpointKey, RateKind, RateObservation)> {
        let words = self
            .stated()
            .filter_map(|(k, kind, s)| Some((k, kind, s.observation?)));
        words.filter(|(.., w)| w.rate.is_some())
    }

    fn stated(&self) -> impl Iterator<Item = (EndpointKey, RateKind, &StatedLimit)> {
        let kinds = [RateKind::Requests, RateKind::Rejections];
        let rows = self.rows.iter();
        rows.flat_map(move |(k, r)| kinds.map(|kind| (k, kind, r.stated(kind))))
    }
}

/// Commands.
impl Backpressure {
    /// Applies the signals in the answer to a request that was sent at `sent_at`.
    pub fn observe(
        &mut self,
        now: Instant,
        key: EndpointKey,
        sent_at: Instant,
        s: Signals,
    ) -> SignalChange {
        let backoff = s
            .backoff
            .filter(|r| !r.is_zero())
            .map(|r| r.min(MAX_BACKOFF));
        if let Some(backoff) = backoff {
            self.backoff(now + backoff, key);
        }
        let Some(row) = self.rows.entry(key) else {
            return SignalChange::default();
        };
        let row = row.or_default();
        let rate = row.requests.observe(now, sent_at, s.rate, LEAST_RATE);
        let brittle = row.rejections.observe(now, sent_at, s.brittle, 0.0);
        self.note_brittle(now, key);
        SignalChange {
            rate,
            brittle,
            backoff,
        }
    }

    /// Merges an observation of this VM or of another one. Returns the change of the limit.
    pub fn merge(
        &mut self,
        now: Instant,
        key: EndpointKey,
        kind: RateKind,
        observation: RateObservation,
    ) -> RateChange {
        let Some(row) = self.rows.entry(key) else {
            return RateChange::Unchanged;
        };
        let change = row.or_default().stated_mut(kind).merge(now, observation);
        self.note_brittle(now, key);
        change
    }

    fn note_brittle(&mut self, now: Instant, key: EndpointKey) {
        if self.bears(now, key).is_some() {
            self.brittle_at = Some(now);
        }
    }

    /// Marks an endpoint as cold until `until`, with a limit of `rate` requests a second meanwhile.
    ///
    /// An entry that arrives late leads to a later end, and the latest end is in force. An endpoint that counts as cold
    /// for too long is only avoided while others have capacity; one that counts as warm too early fails.
    pub fn mark_cold(&mut self, key: EndpointKey, until: Instant, rate: f64) {
        let Some(row) = self.rows.entry(key) else {
            return;
        };
        let row = row.or_default();
        let until = row.cold.map_or(until, |c| c.until.max(until));
        row.cold = Some(Cold { until, rate });
    }

    /// Ends the cold periods that are over. Returns the endpoints that have become warm.
    pub fn end_cold_periods(&mut self, now: Instant) -> Vec<EndpointKey> {
        let is_over = |r: &Row| r.cold.is_some_and(|c| now >= c.until);
        let rows = self.rows.iter_mut().filter(|(_, r)| is_over(r));
        let warm = rows.map(|(k, r)| {
            r.cold = None;
            k
        });
        warm.collect()
    }

    /// Sets or extends a backoff. A backoff in a late answer is in force as well.
    fn backoff(&mut self, until: Instant, key: EndpointKey) {
        let Some(row) = self.rows.entry(key) else {
            return;
        };
        let row = row.or_default();
        let backoff = row.backoff.get_or_insert(Backoff {
            until,
            trial: false,
        });
        backoff.until = backoff.until.max(until);
    }

    /// Records that a request is sent to an endpoint. Returns `true` if it is the trial request after a backoff.
    pub(crate) fn start(&mut self, now: Instant, key: EndpointKey) -> bool {
        let backoff = self.rows.get_mut(key).and_then(|r| r.backoff.as_mut());
        let Some(backoff) = backoff.filter(|r| now >= r.until && !r.trial) else {
            return false;
        };
        backoff.trial = true;
        true
    }

    /// Ends a trial request; `answered` is whether the endpoint answered it.
    ///
    /// After a backoff one request at a time is sent until one is answered. Otherwise all VMs whose backoffs end at the
    /// same time would send their queued requests at once.
    pub(crate) fn end_trial(&mut self, now: Instant, key: EndpointKey, answered: bool) {
        let Some(row) = self.rows.get_mut(key) else {
            return;
        };
        if let Some(backoff) = &mut row.backoff {
            backoff.trial = false;
            if answered && now >= backoff.until {
                row.backoff = None;
            }
        }
    }

    /// Forgets an endpoint that is gone.
    pub(crate) fn forget(&mut self, key: EndpointKey) {
        self.rows.remove(key);
    }
}
