//! Limits repeated requests by a budget that all gateways of a site share, over a sliding window.
//!
//! Within any window a service may receive no more repeats than a fraction of its requests plus a fixed slack.
//! Gateways don't coordinate a repeat: each one uses the fraction of its own requests and its share of the
//! slack.

use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// The fraction of the allowance that is used. The rest covers requests that the endpoints count in another
/// window.
const SAFETY: f64 = 0.7;

/// The repeats that a site allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatAllowance {
    /// The number of repeats per request.
    pub ratio: f64,
    /// The number of additional repeats, over all gateways.
    pub slack: f64,
    /// The length of the window.
    pub window: Duration,
}

/// The requests and repeats of one gateway for one service.
#[derive(Debug, Default)]
pub struct RepeatWindow {
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

impl RepeatWindow {
    /// Records a request of a caller.
    pub fn request(&mut self, now: Instant) {
        self.requests.push_back(now);
    }

    /// Acquires one repeat from the budget; returns `false` if there is none. `gateways` is the number of
    /// gateways that share the slack.
    pub fn acquire(&mut self, now: Instant, rules: RepeatAllowance, gateways: usize) -> bool {
        let has = self.has_budget(now, rules, gateways);
        if has {
            self.repeats.push_back(now);
        }
        has
    }

    /// Returns `true` if the budget allows another repeat.
    pub fn has_budget(&mut self, now: Instant, rules: RepeatAllowance, gateways: usize) -> bool {
        self.drop_expired(now, rules.window);
        #[expect(
            clippy::cast_precision_loss,
            reason = "counts of some seconds are small"
        )]
        let (requests, repeats, gateways) = (
            self.requests.len() as f64,
            self.repeats.len() as f64,
            gateways.max(1) as f64,
        );
        let allowed = SAFETY * (rules.ratio * requests + rules.slack / gateways);
        repeats + 1.0 <= allowed
    }

    fn drop_expired(&mut self, now: Instant, window: Duration) {
        for times in [&mut self.requests, &mut self.repeats] {
            while times
                .front()
                .is_some_and(|t| now.duration_since(*t) > window)
            {
                times.pop_front();
            }
        }
    }
}
