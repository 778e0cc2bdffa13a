//! Rate limits, backoffs and cold periods of endpoints, as one VM knows them.
//!
//! An endpoint sends three signals in its answers: that it leaves, which is final for its start; a rate limit in
//! requests a second over all VMs together, in force as long as answers state it; and a backoff, for which this VM must
//! not send it requests. The [`crate::roster`] records the first, and [`crate::quota`] enforces the limit over all VMs;
//! this module holds one VM's knowledge of limits and backoffs (`docs/design/backpressure.md`). The endpoint's entry on
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

/// The rate limit in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RateSignal {
    /// The answer states no limit.
    #[default]
    Unnamed,
    /// The endpoint accepts this many requests a second from all VMs together.
    Named(f64),
    /// The answer states a limit that can't be parsed; it neither sets nor ends a limit.
    Unreadable,
}

/// The signals in one answer of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Signals {
    /// Whether the endpoint leaves: this start accepts no more requests.
    pub leaving: bool,
    /// The rate limit.
    pub rate: RateSignal,
    /// The time for which this VM must not send requests.
    pub backoff: Option<Duration>,
    /// The remaining time for which the endpoint is cold.
    pub cold: Option<Duration>,
}

/// The rate limit that an endpoint stated in one answer, and the time range in which the answer was written.
///
/// Answers arrive on several connections, so the last one received need not be the last one written. An answer was
/// written between the sending of its request and its receipt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateObservation {
    /// The limit in requests a second over all VMs together; `None` if the answer stated no limit.
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
    /// The change of the limit.
    pub rate: RateChange,
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

#[derive(Clone, Copy, Debug, Default)]
struct Row {
    observation: Option<RateObservation>,
    /// When the observation last had to be sent to other VMs: it changed, or one of them still had a limit that has
    /// ended.
    changed_at: Option<Instant>,
    backoff: Option<Backoff>,
    cold: Option<Cold>,
}

/// One VM's knowledge of the limits, backoffs and cold periods of endpoints.
#[derive(Debug, Default)]
pub struct Backpressure {
    rows: SecondaryMap<EndpointKey, Row>,
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
        let stated_rate = row.observation.and_then(|w| w.rate);
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

    /// Returns the rate limit that an endpoint stated itself.
    fn stated_rate(&self, key: EndpointKey) -> Option<f64> {
        self.rows.get(key)?.observation?.rate
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
    ) -> impl Iterator<Item = (EndpointKey, RateObservation)> {
        let recent = move |t: Instant| now.saturating_duration_since(t) < send_for;
        let rows = self.rows.iter();
        let rows = rows.filter(move |(_, r)| r.changed_at.is_some_and(recent));
        rows.filter_map(|(k, r)| Some((k, r.observation?)))
    }

    /// Returns the observations of all limits in force, from which a restarted VM learns them.
    pub fn active_limits(&self) -> impl Iterator<Item = (EndpointKey, RateObservation)> {
        let rows = self.rows.iter();
        let words = rows.filter_map(|(k, r)| Some((k, r.observation?)));
        words.filter(|(_, w)| w.rate.is_some())
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
        let rate = match s.rate {
            RateSignal::Unreadable => RateChange::Unchanged,
            RateSignal::Unnamed => self.end_limit(now, key, sent_at),
            RateSignal::Named(rate) => {
                let rate = (rate < UNLIMITED_RATE).then_some(rate.max(LEAST_RATE));
                let observation = RateObservation {
                    rate,
                    sent_at,
                    received_at: now,
                };
                self.merge(now, key, observation)
            }
        };
        SignalChange { rate, backoff }
    }

    /// Applies an answer without a limit, which matters only if a limit is in force.
    fn end_limit(&mut self, now: Instant, key: EndpointKey, sent_at: Instant) -> RateChange {
        if self.stated_rate(key).is_none() {
            return RateChange::Unchanged;
        }
        let observation = RateObservation {
            rate: None,
            sent_at,
            received_at: now,
        };
        self.merge(now, key, observation)
    }

    /// Merges an observation of this VM or of another one. Returns the change of the limit.
    pub fn merge(
        &mut self,
        now: Instant,
        key: EndpointKey,
        observation: RateObservation,
    ) -> RateChange {
        let Some(row) = self.rows.entry(key) else {
            return RateChange::Unchanged;
        };
        let row = row.or_default();
        let before = row.observation.and_then(|w| w.rate);
        let joined = row
            .observation
            .map_or(observation, |w| w.merge(observation));
        if joined.rate != before || joined.rate.is_none() && observation.rate.is_some() {
            row.changed_at = Some(now);
        }
        row.observation = Some(joined);
        match joined.rate {
            rate if rate == before => RateChange::Unchanged,
            Some(rate) => RateChange::Limited(rate),
            None => RateChange::Ended,
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
