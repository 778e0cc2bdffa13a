//! A rate limit for all datagrams that a VM sends to other VMs, by urgency.
//!
//! Traffic between VMs must not take the link from callers. It grows during failures: more VMs wait, more endpoints
//! disappear, more queries are sent. All datagrams therefore share one budget of bytes a second, and the most urgent
//! may use all of it. A datagram that doesn't fit isn't queued, since the next message holds the same state
//! (`docs/design/overload.md`).
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

/// The time for which unused bytes accumulate: two messages of a large zone.
const MAX_SAVINGS: Duration = Duration::from_millis(500);

/// The urgency of a datagram, the most urgent first. The first is sent as long as any bytes are left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// A query or its answer: a request waits for it.
    Answer,
    /// A recent change.
    Change,
    /// State that is sent periodically.
    Periodic,
    /// A message of another VM, relayed to VMs that didn't receive it.
    Relayed,
}

impl Urgency {
    /// Returns the fraction of the maximum savings that is reserved for more urgent datagrams.
    fn reserve(self) -> f64 {
        match self {
            Self::Answer => 0.0,
            Self::Change => 0.2,
            Self::Periodic => 0.4,
            Self::Relayed => 0.6,
        }
    }
}

/// The bytes that a VM may send now.
#[derive(Clone, Copy, Debug)]
pub struct SendBudget {
    bytes_per_s: f64,
    left: f64,
    at: Instant,
}

impl SendBudget {
    /// Creates the full budget of a VM that hasn't sent anything.
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

    /// Sets the rate from now on; savings above the new maximum are dropped.
    pub fn set_rate(&mut self, now: Instant, bytes_per_s: f64) {
        self.earn(now);
        self.bytes_per_s = bytes_per_s;
        self.left = self.left.min(self.most());
    }

    /// Spends `bytes` for a datagram and returns `true` if enough are left for its urgency.
    pub fn try_spend(&mut self, now: Instant, bytes: usize, urgency: Urgency) -> bool {
        self.earn(now);
        #[expect(clippy::cast_precision_loss, reason = "a datagram is small")]
        let bytes = bytes as f64;
        let is_enough = self.left - bytes >= self.most() * urgency.reserve();
        if is_enough {
            self.left -= bytes;
        }
        is_enough
    }

    fn earn(&mut self, now: Instant) {
        let time = now.saturating_duration_since(self.at).as_secs_f64();
        self.left = (self.left + time * self.bytes_per_s).min(self.most());
        self.at = self.at.max(now);
    }

    /// Returns the maximum savings.
    fn most(&self) -> f64 {
        self.bytes_per_s * MAX_SAVINGS.as_secs_f64()
    }
}
