//! Estimates when a refused caller's turn comes.
//!
//! Each refused caller is told a later time than the one before, as if they queued. If all were told the same time, all
//! would come back at once and all but the first would be refused again. The estimate only informs callers: whoever asks
//! while there is room is served.

use std::time::Duration;
use tokio::time::Instant;

/// The shortest wait; a shorter one would pass in transit.
const MIN_WAIT: Duration = Duration::from_millis(20);
/// The longest wait that a caller is told.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// The callers who were told to come back, of one resource.
#[derive(Clone, Copy, Debug)]
pub struct Backlog {
    /// The callers whose turn hasn't come.
    waiting: f64,
    at: Instant,
}

impl Backlog {
    /// Creates an empty backlog.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            waiting: 0.0,
            at: now,
        }
    }

    /// Adds a caller, and returns the time until its turn comes if so many are served a second.
    pub fn add(&mut self, now: Instant, served_per_s: f64) -> Duration {
        let s = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.waiting = (self.waiting - s * served_per_s).max(0.0) + 1.0;
        // What can't be promised within the longest wait isn't promised at all.
        self.waiting = self
            .waiting
            .min(served_per_s.max(1.0) * MAX_WAIT.as_secs_f64());
        let wait = Duration::try_from_secs_f64(self.waiting / served_per_s).unwrap_or(MAX_WAIT);
        wait.clamp(MIN_WAIT, MAX_WAIT)
    }
}
