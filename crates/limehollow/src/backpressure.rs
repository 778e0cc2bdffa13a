//! What endpoints say of what they want to be sent, and for how long it counts.
//!
//! An endpoint says three things in its answers: that it leaves, which is final for its start; how many requests a second it
//! takes of all VMs together, as long as it says so; that it wants nothing of this VM for some time. The first belongs to the
//! [`crate::roster`], the sum over all VMs to [`crate::quota`]; here is what one VM has heard of the other two
//! (`docs/design/backpressure.md`). Its entry on the list says one thing more: that it is cold, and for how long. Meanwhile it
//! bears a rate that the configuration names.
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

/// The longest rest that is granted at a word. An endpoint that wants more says so again at the request that comes then.
pub const MAX_BACKOFF: Duration = Duration::from_secs(3600);
/// The lowest rate at which an endpoint is asked, in requests a second: with none at all nobody would hear that its limit has
/// ended.
pub const LEAST_RATE: f64 = 0.1;
/// From which rate on a limit binds nobody, in requests a second: many times what a whole site is asked.
const UNLIMITED_FROM: f64 = 1e6;
/// When to look again at an endpoint whose rest is over and of which the first answer is awaited.
const TRIAL_AGAIN: Duration = Duration::from_millis(100);

/// What an answer says of the endpoint's rate.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RateSignal {
    /// It names no limit.
    #[default]
    Unnamed,
    /// It takes so many requests a second of all VMs together.
    Named(f64),
    /// It names a limit that can't be read, which neither sets a limit nor ends one.
    Unreadable,
}

/// What one answer says of what the endpoint wants.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Signals {
    /// Whether it leaves: this start wants no more requests.
    pub leaving: bool,
    /// How many requests it takes.
    pub rate: RateSignal,
    /// For how long it wants nothing of this VM.
    pub backoff: Option<Duration>,
    /// For how long it is cold.
    pub cold: Option<Duration>,
}

/// The rate that an endpoint named in one answer, and when it did.
///
/// Answers come on several connections, so the one that is heard last need not be the one that was written last. It was
/// written between the sending of its request and its hearing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateObservation {
    /// Requests a second of all VMs together; none if it named no limit.
    pub rate: Option<f64>,
    /// When the request was sent.
    pub sent_at: Instant,
    /// When the answer was heard.
    pub received_at: Instant,
}

impl RateObservation {
    /// Gives which of two words of an endpoint counts: the one that was certainly written later, and the stricter one where
    /// that can't be told.
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

/// What a word changed of an endpoint's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RateChange {
    /// Nothing.
    #[default]
    Unchanged,
    /// From now on it takes so many requests a second.
    Limited(f64),
    /// It has no limit any more.
    Ended,
}

/// What is new after an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SignalChange {
    /// What changed of its limit.
    pub rate: RateChange,
    /// The rest that was asked for.
    pub backoff: Option<Duration>,
}

#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: Instant,
    /// Whether a request is under way that shows whether the endpoint takes requests again.
    trial: bool,
}

/// How many requests an endpoint takes of all VMs together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointLimit {
    /// Requests a second.
    pub rate: f64,
    /// Whether it is cold: more than its rate is borne for a second only.
    pub is_cold: bool,
}

/// A time in which an endpoint is slow and falls over under its usual load.
#[derive(Clone, Copy, Debug)]
struct Cold {
    until: Instant,
    /// What it bears meanwhile, in requests a second of all VMs together.
    rate: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Row {
    word: Option<RateObservation>,
    /// When the other VMs had to be told anew: the word changed, or one of them still had a limit that has ended.
    is_news_since: Option<Instant>,
    backoff: Option<Backoff>,
    cold: Option<Cold>,
}

/// What one VM has heard of endpoints' wishes.
#[derive(Debug, Default)]
pub struct Backpressure {
    rows: SecondaryMap<EndpointKey, Row>,
}

/// Queries.
impl Backpressure {
    /// Gives the requests a second that an endpoint takes of all VMs together, where it names a limit or is cold.
    #[must_use]
    pub fn rate(&self, key: EndpointKey) -> Option<f64> {
        self.limit(key).map(|l| l.rate)
    }

    /// Gives what an endpoint takes of all VMs together, where it names a limit or is cold.
    #[must_use]
    pub fn limit(&self, key: EndpointKey) -> Option<EndpointLimit> {
        let row = self.rows.get(key)?;
        let named = row.word.and_then(|w| w.rate);
        let cold = row.cold.map(|c| c.rate);
        let rate = match (named, cold) {
            (Some(a), Some(b)) => a.min(b),
            (a, b) => a.or(b)?,
        };
        Some(EndpointLimit {
            rate,
            is_cold: cold.is_some(),
        })
    }

    /// Tells whether an endpoint is cold.
    #[must_use]
    pub fn is_cold(&self, key: EndpointKey) -> bool {
        self.rows.get(key).is_some_and(|r| r.cold.is_some())
    }

    /// Gives the endpoints that are cold.
    pub fn cold(&self) -> impl Iterator<Item = EndpointKey> {
        let rows = self.rows.iter();
        rows.filter(|(_, r)| r.cold.is_some()).map(|(k, _)| k)
    }

    /// Gives the rate that an endpoint named itself.
    fn named(&self, key: EndpointKey) -> Option<f64> {
        self.rows.get(key)?.word?.rate
    }

    /// Gives in how long an endpoint that rests takes a request of this VM; none if it does now.
    #[must_use]
    pub fn opens_in(&self, now: Instant, key: EndpointKey) -> Option<Duration> {
        let backoff = self.rows.get(key)?.backoff?;
        let left = backoff.until.saturating_duration_since(now);
        match (left.is_zero(), backoff.trial) {
            (false, _) => Some(left),
            (true, true) => Some(TRIAL_AGAIN),
            (true, false) => None,
        }
    }

    /// Tells whether an endpoint wants nothing of this VM now, not even a request that shows whether its rest is over.
    #[must_use]
    pub fn is_backing_off(&self, now: Instant, key: EndpointKey) -> bool {
        let backoff = self.rows.get(key).and_then(|r| r.backoff);
        backoff.is_some_and(|r| now < r.until)
    }

    /// Gives the endpoints to which no request of this VM may be sent now.
    pub fn closed(&self, now: Instant) -> impl Iterator<Item = EndpointKey> {
        let keys = self.rows.keys();
        keys.filter(move |k| self.opens_in(now, *k).is_some())
    }

    /// Gives the words that the other VMs have to be told of, which is so for some time after a change.
    pub fn recent_changes(
        &self,
        now: Instant,
        told_for: Duration,
    ) -> impl Iterator<Item = (EndpointKey, RateObservation)> {
        let recent = move |t: Instant| now.saturating_duration_since(t) < told_for;
        let rows = self.rows.iter();
        let rows = rows.filter(move |(_, r)| r.is_news_since.is_some_and(recent));
        rows.filter_map(|(k, r)| Some((k, r.word?)))
    }

    /// Gives the words of all limits that stand. A VM that started again hears of them by these.
    pub fn active_limits(&self) -> impl Iterator<Item = (EndpointKey, RateObservation)> {
        let rows = self.rows.iter();
        let words = rows.filter_map(|(k, r)| Some((k, r.word?)));
        words.filter(|(_, w)| w.rate.is_some())
    }
}

/// Commands.
impl Backpressure {
    /// Takes in what an answer says to a request that was sent at `sent_at`.
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
                let rate = (rate < UNLIMITED_FROM).then_some(rate.max(LEAST_RATE));
                let word = RateObservation {
                    rate,
                    sent_at,
                    received_at: now,
                };
                self.merge(now, key, word)
            }
        };
        SignalChange { rate, backoff }
    }

    /// Takes in an answer without a limit, which is of matter only where one was heard.
    fn end_limit(&mut self, now: Instant, key: EndpointKey, sent_at: Instant) -> RateChange {
        if self.named(key).is_none() {
            return RateChange::Unchanged;
        }
        let word = RateObservation {
            rate: None,
            sent_at,
            received_at: now,
        };
        self.merge(now, key, word)
    }

    /// Takes in a word of an endpoint, heard here or by another VM. Gives what changed.
    pub fn merge(&mut self, now: Instant, key: EndpointKey, word: RateObservation) -> RateChange {
        let Some(row) = self.rows.entry(key) else {
            return RateChange::Unchanged;
        };
        let row = row.or_default();
        let before = row.word.and_then(|w| w.rate);
        let joined = row.word.map_or(word, |w| w.merge(word));
        if joined.rate != before || joined.rate.is_none() && word.rate.is_some() {
            row.is_news_since = Some(now);
        }
        row.word = Some(joined);
        match joined.rate {
            rate if rate == before => RateChange::Unchanged,
            Some(rate) => RateChange::Limited(rate),
            None => RateChange::Ended,
        }
    }

    /// Takes in that an endpoint is cold until then and bears so many requests a second meanwhile.
    ///
    /// What is told late names a later end. It is believed: an endpoint that is taken for cold for too long is only left alone
    /// while others have room, one that is taken for warm too early falls over.
    pub fn mark_cold(&mut self, key: EndpointKey, until: Instant, rate: f64) {
        let Some(row) = self.rows.entry(key) else {
            return;
        };
        let row = row.or_default();
        let until = row.cold.map_or(until, |c| c.until.max(until));
        row.cold = Some(Cold { until, rate });
    }

    /// Ends the cold times that are over. Gives the endpoints that are warm from now on.
    pub fn end_cold_periods(&mut self, now: Instant) -> Vec<EndpointKey> {
        let is_over = |r: &Row| r.cold.is_some_and(|c| now >= c.until);
        let rows = self.rows.iter_mut().filter(|(_, r)| is_over(r));
        let warm = rows.map(|(k, r)| {
            r.cold = None;
            k
        });
        warm.collect()
    }

    /// A rest that was asked for in an answer that comes late counts as well: each of them was meant.
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

    /// Notes that a request is sent to an endpoint. Gives whether it shows if a rest is over.
    pub(crate) fn start(&mut self, now: Instant, key: EndpointKey) -> bool {
        let backoff = self.rows.get_mut(key).and_then(|r| r.backoff.as_mut());
        let Some(backoff) = backoff.filter(|r| now >= r.until && !r.trial) else {
            return false;
        };
        backoff.trial = true;
        true
    }

    /// Notes that an endpoint whose rest was over has answered a request, or that the request came to nothing.
    ///
    /// One request at a time is sent until one is answered: all VMs whose rest ends at the same moment would else send at once
    /// what had gathered meanwhile.
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
