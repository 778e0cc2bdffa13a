//! The freshness of a VM's copy of a feed, and the time since which the platform's store has been healthy.
//!
//! A VM acts on copies of what the store holds. Without a bound on their age, a leaving endpoint stayed in use for up
//! to 50 s when the VM that reads the list for its zone got no answers (`docs/incidents/leaving-endpoints.md`). Each
//! copy therefore has a time up to which it is complete, and [`ReadPace`] determines when it has to be read again.
//!
//! ```
//! use limehollow::freshness::Freshness;
//! use std::time::Duration;
//! use tokio::time::Instant;
//!
//! let now = Instant::now();
//! let mine = Freshness::first(now);
//! let later = now + Duration::from_millis(300);
//! // Another VM has had answers for a second and has read to the same position as this one.
//! let theirs = Freshness::new(later, now - Duration::from_secs(1));
//! let gap = Duration::from_secs(1);
//! assert_eq!(mine.merge(theirs, true, gap).age(later), Duration::ZERO);
//! ```

use std::time::Duration;
use tokio::time::Instant;

/// The time up to which a copy is complete, and the span for which the store is known to have answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Freshness {
    complete_at: Instant,
    healthy_since: Instant,
    /// The end of the healthy span. The copy may be older, if other VMs have read further.
    healthy_until: Instant,
}

impl Freshness {
    /// Creates the freshness of a copy that is complete up to `complete_at`, with answers from the store since
    /// `healthy_since`.
    #[must_use]
    pub fn new(complete_at: Instant, healthy_since: Instant) -> Self {
        Self {
            complete_at,
            healthy_since,
            healthy_until: complete_at,
        }
    }

    /// Creates the freshness of a copy that was read for the first time, by a call that began at `began`.
    #[must_use]
    pub fn first(began: Instant) -> Self {
        Self::new(began, began)
    }

    /// Returns the time since the copy was last known to be complete.
    #[must_use]
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.complete_at)
    }

    /// Returns the time up to which the copy is complete.
    #[must_use]
    pub fn complete_at(&self) -> Instant {
        self.complete_at
    }

    /// Returns the time since which the store has answered at least one VM without interruption.
    #[must_use]
    pub fn healthy_since(&self) -> Instant {
        self.healthy_since
    }

    /// Returns the freshness after a read by this VM that began at `began`. After an interruption the store is known to
    /// be healthy only from there on.
    #[must_use]
    pub fn after_read(self, began: Instant, was_broken: bool) -> Self {
        Self {
            complete_at: self.complete_at.max(began),
            healthy_since: if was_broken {
                began
            } else {
                self.healthy_since
            },
            healthy_until: self.healthy_until.max(began),
        }
    }

    /// Returns the freshness after another VM sent its own; `has_all` is whether this copy holds all that the other VM
    /// has read.
    ///
    /// The healthy spans of two VMs are joined if they lie no further apart than `longest_gap`. A span that begins a
    /// little later is no sign of an outage, since a VM that has just started knows of no earlier answer. When it was
    /// taken for one, restarts of half of 63 VMs delayed removals by up to 6.6 s in a simulated day.
    #[must_use]
    pub fn merge(self, other: Self, has_all: bool, longest_gap: Duration) -> Self {
        let is_later = other.healthy_since > self.healthy_until + longest_gap;
        let is_earlier = self.healthy_since > other.healthy_until + longest_gap;
        let healthy_since = if is_later || is_earlier {
            self.healthy_since.max(other.healthy_since)
        } else {
            self.healthy_since.min(other.healthy_since)
        };
        let complete_at = if has_all {
            self.complete_at.max(other.complete_at)
        } else {
            self.complete_at
        };
        Self {
            complete_at,
            healthy_since,
            healthy_until: self.healthy_until.max(other.healthy_until),
        }
    }
}

/// The times of reads, as fractions of the bound within which a change has to be in force on all VMs.
///
/// One VM of a zone reads periodically and tells the others up to when its copy is complete. It doesn't rely on the
/// store's notifications, which may be lost. A VM that isn't told in time reads for itself. The fractions add up to
/// less than the bound: an age of [`ReadPace::stale_after`] with the spread, one call that times out, one that is
/// answered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReadPace {
    bound: Duration,
    /// The time between two reads of the zone's reader, as a fraction of the bound.
    every: f64,
    /// The age at which a copy is stale, as a fraction of the bound.
    stale: f64,
}

/// The spread of the times at which VMs consider the same copy stale, so that the first can tell the others.
const SPREAD: f64 = 0.1;
/// The time that a read takes beyond the staleness and its spread while the store is healthy.
const GAP_MARGIN: f64 = 0.05;
/// The timeout of a call that doesn't wait for changes, after which it is retried.
const CALL_TIMEOUT: f64 = 0.2;

impl ReadPace {
    /// Creates the pace for the list of endpoints.
    ///
    /// The reader reads at an interval and doesn't wait at the store to be woken by a change. A longer interval costs
    /// callers more than the calls that it saves; a shorter one only costs more calls.
    #[must_use]
    pub fn list(bound: Duration) -> Self {
        Self {
            bound,
            every: 0.2,
            stale: 0.45,
        }
    }

    /// Creates the pace for the configuration. Each VM also waits for its changes, so these reads only catch lost
    /// notifications of the store, and may be less frequent.
    #[must_use]
    pub fn configuration(bound: Duration) -> Self {
        Self {
            bound,
            every: 0.45,
            stale: 0.6,
        }
    }

    /// Returns the time between two reads of the VM that reads for its zone.
    #[must_use]
    pub fn interval(&self) -> Duration {
        self.bound.mul_f64(self.every)
    }

    /// Returns the age at which a VM reads for itself; `jitter` of 0 to 1 sets it within the spread.
    #[must_use]
    pub fn stale_after(&self, jitter: f64) -> Duration {
        self.bound.mul_f64(self.stale + SPREAD * jitter)
    }

    /// Returns the timeout of a call that doesn't wait for changes.
    #[must_use]
    pub fn call_timeout(&self) -> Duration {
        self.bound.mul_f64(CALL_TIMEOUT)
    }

    /// Returns the longest gap between two answers over which the store counts as healthy: the maximum age of a copy
    /// without failures, and one call. A shorter outage goes unnoticed.
    #[must_use]
    pub fn longest_gap(&self) -> Duration {
        self.bound.mul_f64(self.stale + SPREAD + GAP_MARGIN)
    }
}
