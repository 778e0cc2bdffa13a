//! What one VM makes of endpoints' words that overtake each other, come late, or contradict those of other VMs.

use limehollow::backpressure::{Backpressure, LEAST_RATE, MAX_BACKOFF, RateSignal, Signals};
use limehollow::backpressure::{RateChange, RateObservation, SignalChange};
use limehollow::id::EndpointKey;
use slotmap::SlotMap;
use std::time::Duration;
use tokio::time::Instant;

const TOLD_FOR: Duration = Duration::from_secs(1);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn named(rate: f64) -> Signals {
    Signals {
        rate: RateSignal::Named(rate),
        ..Signals::default()
    }
}

fn backoff(backoff: Duration) -> Signals {
    Signals {
        backoff: Some(backoff),
        ..Signals::default()
    }
}

struct Hearing {
    t: Instant,
    key: EndpointKey,
    b: Backpressure,
}

impl Hearing {
    fn new() -> Self {
        let mut keys: SlotMap<EndpointKey, ()> = SlotMap::with_key();
        Self {
            t: Instant::now(),
            key: keys.insert(()),
            b: Backpressure::default(),
        }
    }

    /// Hears an answer at so many ms to a request sent at so many.
    fn observe(&mut self, sent_at: u64, received_at: u64, s: Signals) -> SignalChange {
        let (sent_at, now) = (self.t + ms(sent_at), self.t + ms(received_at));
        self.b.observe(now, self.key, sent_at, s)
    }

    fn rate(&self) -> Option<f64> {
        self.b.rate(self.key)
    }

    fn mark_cold(&mut self, until: u64, rate: f64) {
        self.b.mark_cold(self.key, self.t + ms(until), rate);
    }

    fn is_cold_after(&mut self, at: u64) -> bool {
        self.b.end_cold_periods(self.t + ms(at));
        self.b.is_cold(self.key)
    }

    fn opens_in(&self, at: u64) -> Option<Duration> {
        self.b.opens_in(self.t + ms(at), self.key)
    }
}

#[test]
fn hear_limit_until_an_answer_without_one_that_was_sent_after() {
    let mut h = Hearing::new();
    assert_eq!(h.observe(0, 10, named(2.5)).rate, RateChange::Limited(2.5));
    assert_eq!(h.observe(20, 30, named(2.5)).rate, RateChange::Unchanged);
    // This answer may have been written before the one that named the limit.
    assert_eq!(
        h.observe(5, 40, Signals::default()).rate,
        RateChange::Unchanged
    );
    assert_eq!(h.rate(), Some(2.5));
    assert_eq!(
        h.observe(50, 60, Signals::default()).rate,
        RateChange::Ended
    );
    assert_eq!(h.rate(), None);
    // Late news of the limit that has ended.
    assert_eq!(h.observe(0, 70, named(2.5)).rate, RateChange::Limited(2.5));
}

#[test]
fn hear_answers_without_a_limit_that_overlap_all_the_time() {
    let mut h = Hearing::new();
    h.observe(0, 10, named(2.5));
    // Requests take 500 ms and follow on each other each 50 ms: some was sent after the limit was heard.
    for n in 0..5 {
        h.observe(n * 50, n * 50 + 500, Signals::default());
    }
    assert_eq!(h.rate(), None);
}

#[test]
fn hear_two_limits_in_an_order_that_cant_be_told() {
    let mut h = Hearing::new();
    h.observe(0, 100, named(3.0));
    h.observe(50, 150, named(2.0));
    assert_eq!(h.rate(), Some(2.0));
    h.observe(60, 160, named(3.0));
    assert_eq!(h.rate(), Some(2.0));
    h.observe(151, 200, named(3.0));
    assert_eq!(h.rate(), Some(3.0));
}

#[test]
fn hear_unreadable_limit_ends_none() {
    let mut h = Hearing::new();
    h.observe(0, 10, named(2.0));
    let s = Signals {
        rate: RateSignal::Unreadable,
        ..Signals::default()
    };
    assert_eq!(h.observe(20, 30, s), SignalChange::default());
    assert_eq!(h.rate(), Some(2.0));
}

#[test]
fn hear_extreme_limits() {
    let mut h = Hearing::new();
    // With nothing at all nobody would hear that the limit has ended.
    h.observe(0, 10, named(0.0));
    assert_eq!(h.rate(), Some(LEAST_RATE));
    h.observe(20, 30, named(1e300));
    assert_eq!(h.rate(), None);
}

#[test]
fn hear_rests_whichever_comes_first() {
    for order in [[3000, 1000], [1000, 3000]] {
        let mut h = Hearing::new();
        for r in order {
            h.observe(0, 0, backoff(ms(r)));
        }
        assert_eq!(h.opens_in(0), Some(ms(3000)));
        assert_eq!(h.opens_in(2999), Some(ms(1)));
        assert_eq!(h.opens_in(3000), None);
    }
}

#[test]
fn hear_longest_and_empty_rest() {
    let mut h = Hearing::new();
    assert_eq!(h.observe(0, 0, backoff(Duration::ZERO)).backoff, None);
    assert_eq!(h.opens_in(0), None);
    h.observe(0, 0, backoff(Duration::MAX));
    assert_eq!(h.opens_in(0), Some(MAX_BACKOFF));
}

#[test]
fn join_word_of_another_vm_older_than_the_end() {
    let mut h = Hearing::new();
    let word = |rate, sent_at, received_at| RateObservation {
        rate,
        sent_at: h.t + ms(sent_at),
        received_at: h.t + ms(received_at),
    };
    let (limit, end) = (word(Some(2.0), 0, 10), word(None, 1000, 1010));
    let later = h.t + ms(9000);
    h.b.merge(h.t + ms(1010), h.key, end);
    assert_eq!(h.b.recent_changes(later, TOLD_FOR).count(), 0);
    // Who still has the limit is told of its end.
    assert_eq!(h.b.merge(later, h.key, limit), RateChange::Unchanged);
    assert_eq!(h.rate(), None);
    assert_eq!(h.b.recent_changes(later, TOLD_FOR).count(), 1);
    assert_eq!(h.b.recent_changes(later + TOLD_FOR, TOLD_FOR).count(), 0);
}

#[test]
fn cold_until_the_latest_end_that_was_told() {
    let mut h = Hearing::new();
    h.mark_cold(3000, 19.0);
    assert_eq!(h.rate(), Some(19.0));
    // An entry that was written earlier and read late.
    h.mark_cold(1000, 19.0);
    assert!(h.is_cold_after(2999));
    assert!(!h.is_cold_after(3000));
    assert_eq!(h.rate(), None);
}

#[test]
fn cold_beside_a_limit_the_lower_one_counts() {
    for (named_rate, expected) in [(2.0, 2.0), (50.0, 19.0)] {
        let mut h = Hearing::new();
        h.observe(0, 10, named(named_rate));
        h.mark_cold(3000, 19.0);
        let limit = h.b.limit(h.key).expect("it is limited");
        assert_eq!((limit.rate, limit.is_cold), (expected, true));
        // An answer that names no limit says nothing of how cold the endpoint is.
        h.observe(100, 110, Signals::default());
        assert_eq!(h.rate(), Some(19.0));
        assert!(!h.is_cold_after(3000));
        assert_eq!(h.rate(), None);
    }
}
