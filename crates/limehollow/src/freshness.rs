//! How fresh a VM's copy of a feed is, and since when the platform's store has been sound.
//!
//! A VM acts on copies of what the store keeps. Without a bound on their age, an endpoint that leaves stayed in
//! use for up to 50 s where the VM that reads the list for its zone heard nothing (`docs/incidents/leaving-endpoints.md`).
//! So each copy says up to which moment it is complete, and [`ReadPace`] says when it has to be read again.
//!
//! ```
//! use limehollow::freshness::Freshness;
//! use std::time::Duration;
//! use tokio::time::Instant;
//!
//! let now = Instant::now();
//! let mine = Freshness::first(now);
//! let later = now + Duration::from_millis(300);
//! // Another VM, which has had answers for a second, read to the same position as this one.
//! let theirs = Freshness::new(later, now - Duration::from_secs(1));
//! let gap = Duration::from_secs(1);
//! assert_eq!(mine.merge(theirs, true, gap).age(later), Duration::ZERO);
//! ```

use std::time::Duration;
use tokio::time::Instant;

/// The moment up to which a copy is complete, and the span for which the store is known to have answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Freshness {
    complete_at: Instant,
    healthy_since: Instant,
    /// The end of that span: the copy may be older, where others have read further.
    healthy_until: Instant,
}

impl Freshness {
    /// Makes the freshness of a copy that is complete up to a moment, with answers from the store since another one.
    #[must_use]
    pub fn new(complete_at: Instant, healthy_since: Instant) -> Self {
        Self {
            complete_at,
            healthy_since,
            healthy_until: complete_at,
        }
    }

    /// Makes the freshness of a copy that was read for the first time, by a call that began at this moment.
    #[must_use]
    pub fn first(began: Instant) -> Self {
        Self::new(began, began)
    }

    /// Gives how long ago the copy was last known to be complete.
    #[must_use]
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.complete_at)
    }

    /// Gives the moment up to which the copy is complete.
    #[must_use]
    pub fn complete_at(&self) -> Instant {
        self.complete_at
    }

    /// Gives since when the store has answered somebody without a break.
    #[must_use]
    pub fn healthy_since(&self) -> Instant {
        self.healthy_since
    }

    /// Gives the freshness after a read of one's own that began at this moment. Where there was a break before, the
    /// store is known to be sound only from here on.
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

    /// Gives the freshness after another VM told its own; `has_all` says whether this copy holds all that the other
    /// has read.
    ///
    /// The spans for which two VMs know the store to be sound add up where they lie no further apart than
    /// `longest_gap`. That the other's begins a little later is no sign of an outage: a VM that has just started knows of
    /// no earlier answer. Taken for one, restarts of half of 63 VMs held removals back for up to 6.6 s in a played day.
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

/// When a copy is read again, as parts of the time in which a change has to be in force on all VMs.
///
/// One VM of a zone reads at an even pace and tells the others up to when its copy is complete; it doesn't wait to
/// be woken by the store, which may forget to. Who isn't told in time reads for itself. The parts add up to less
/// than the whole: an age of [`ReadPace::stale_after`] and the spread, one call that isn't answered, one that is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReadPace {
    bound: Duration,
    every: f64,
    stale: f64,
}

/// The spread of the moments at which VMs find the same copy stale, so that the first can tell the others.
const SPREAD: f64 = 0.1;
/// What a read takes beyond that where the store is sound.
const GAP_ROOM: f64 = 0.05;
/// How long a short call may take before it is given up and begun anew.
const ANSWER: f64 = 0.2;

impl ReadPace {
    /// Makes the pace for the list of endpoints: 7.5 calls a second over three zones where the bound is 2 s, beside 4.3 of
    /// readers that were woken at each change of a busy day. Worth of a site of 8 VMs against those, 20 paired runs each: -0.023
    /// +- 0.008 at 0.3 of the bound, -0.014 +- 0.010 at 0.2, -0.012 +- 0.008 at 0.1, where the calls cost 0.006 more.
    #[must_use]
    pub fn list(bound: Duration) -> Self {
        Self {
            bound,
            every: 0.2,
            stale: 0.45,
        }
    }

    /// Makes the pace for the configuration. Each VM waits for its changes as well, so this only catches what the
    /// store forgets to say, and may be slower.
    #[must_use]
    pub fn configuration(bound: Duration) -> Self {
        Self {
            bound,
            every: 0.45,
            stale: 0.6,
        }
    }

    /// Gives the time between two reads of the VM that reads for its zone.
    #[must_use]
    pub fn interval(&self) -> Duration {
        self.bound.mul_f64(self.every)
    }

    /// Gives the age at which a VM reads for itself; `luck` of 0 to 1 sets it within the spread.
    #[must_use]
    pub fn stale_after(&self, luck: f64) -> Duration {
        self.bound.mul_f64(self.stale + SPREAD * luck)
    }

    /// Gives how long a call that doesn't wait may take before it is given up.
    #[must_use]
    pub fn call_timeout(&self) -> Duration {
        self.bound.mul_f64(ANSWER)
    }

    /// Gives the longest gap between two answers over which the store is taken to have been sound: as old as a copy
    /// gets where all goes well, and one call. An outage that is shorter isn't noticed as one.
    #[must_use]
    pub fn longest_gap(&self) -> Duration {
        self.bound.mul_f64(self.stale + SPREAD + GAP_ROOM)
    }
}
