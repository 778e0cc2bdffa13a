//! The budget for repeats that all gateways of a site share, over a sliding window.
//!
//! A service may get no more repeats in any window than a share of its requests and a fixed slack.
//! Gateways don't ask each other before a repeat: each spends from its own requests and from its
//! part of the slack.

use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// The part of the allowance that is spent; the rest is for counts that fall into another window at
/// the endpoints than here.
const SAFETY: f64 = 0.7;

/// What a site allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatAllowance {
    /// Repeats per request.
    pub ratio: f64,
    /// Repeats on top, over all gateways.
    pub slack: f64,
    /// The window's length.
    pub window: Duration,
}

/// What one gateway spent on one service.
#[derive(Debug, Default)]
pub struct RepeatWindow {
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

impl RepeatWindow {
    /// Notes a request of a caller.
    pub fn request(&mut self, now: Instant) {
        self.requests.push_back(now);
    }

    /// Takes one repeat from the budget, if it has one. `gateways` is how many share the slack.
    pub fn acquire(&mut self, now: Instant, rules: RepeatAllowance, gateways: usize) -> bool {
        let has = self.has_budget(now, rules, gateways);
        if has {
            self.repeats.push_back(now);
        }
        has
    }

    /// Tells whether the budget has a repeat left.
    pub fn has_budget(&mut self, now: Instant, rules: RepeatAllowance, gateways: usize) -> bool {
        self.forget(now, rules.window);
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

    fn forget(&mut self, now: Instant, window: Duration) {
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
