//! How much a VM may say to others: a bound that all its datagrams share, whatever they are for.
//!
//! What VMs tell each other must not take the link from callers. It grows when things go wrong: more is waited for, more is
//! found gone, more is asked. So all of it comes out of one budget of bytes a second, the most urgent first. What finds
//! nothing left isn't queued: the next message says the same anew (`docs/design/overload.md`).
//!
//! ```
//! use limehollow::send_budget::{SendBudget, Urgency};
//! use tokio::time::Instant;
//!
//! let now = Instant::now();
//! let mut budget = SendBudget::new(now, 10_000.0);
//! assert!(budget.try_spend(now, 3_000, Urgency::Periodic));
//! assert!(!budget.try_spend(now, 3_000, Urgency::Periodic));
//! assert!(budget.try_spend(now, 1_500, Urgency::Answer));
//! ```

use std::time::Duration;
use tokio::time::Instant;

/// For how long what wasn't used can be saved: two messages of a large zone.
const SAVED_FOR: Duration = Duration::from_millis(500);

/// How much a datagram matters; the first goes as long as there is anything left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// A question, or the answer to one: a request waits for it.
    Answer,
    /// Something that has just changed.
    Change,
    /// What is said again and again.
    Periodic,
    /// What another VM said, for those that didn't hear it.
    Relayed,
}

impl Urgency {
    /// Gives the part of all savings that is left alone, for what is more urgent.
    fn reserve(self) -> f64 {
        match self {
            Self::Answer => 0.0,
            Self::Change => 0.2,
            Self::Periodic => 0.4,
            Self::Relayed => 0.6,
        }
    }
}

/// What a VM may send now, in bytes.
#[derive(Clone, Copy, Debug)]
pub struct SendBudget {
    bytes_per_s: f64,
    left: f64,
    at: Instant,
}

impl SendBudget {
    /// Makes the budget of a VM that hasn't sent anything.
    #[must_use]
    pub fn new(now: Instant, bytes_per_s: f64) -> Self {
        let mut budget = Self {
            bytes_per_s,
            left: 0.0,
            at: now,
        };
        budget.left = budget.most();
        budget
    }

    /// Sets how much is earned from now on.
    pub fn set_rate(&mut self, now: Instant, bytes_per_s: f64) {
        self.earn(now);
        self.bytes_per_s = bytes_per_s;
        self.left = self.left.min(self.most());
    }

    /// Takes what a datagram needs, if there is so much left for its urgency.
    pub fn try_spend(&mut self, now: Instant, bytes: usize, urgency: Urgency) -> bool {
        self.earn(now);
        #[expect(clippy::cast_precision_loss, reason = "a datagram is small")]
        let bytes = bytes as f64;
        let is_there = self.left - bytes >= self.most() * urgency.reserve();
        if is_there {
            self.left -= bytes;
        }
        is_there
    }

    fn earn(&mut self, now: Instant) {
        let time = now.saturating_duration_since(self.at).as_secs_f64();
        self.left = (self.left + time * self.bytes_per_s).min(self.most());
        self.at = self.at.max(now);
    }

    fn most(&self) -> f64 {
        self.bytes_per_s * SAVED_FOR.as_secs_f64()
    }
}
