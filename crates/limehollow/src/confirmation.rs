//! The time up to which this VM's configuration is known to have been the newest.
//!
//! A key that operators revoke must stop working within a bound on every VM, including one that is cut off, slow or was
//! suspended. A VM therefore accepts keys only if it can prove that its configuration was the newest less than that
//! bound ago. The proof is either a read by this VM, as of the time when the read began, or the answer of another VM to
//! a query, as of the time of the *query* minus the age stated in the answer. The time when an answer arrives proves
//! nothing: the answer may have waited for seconds at a VM that stood still (`docs/design/workspaces.md`).
//!
//! ```
//! use limehollow::confirmation::{Confirmation, KeyBound};
//! use std::time::Duration;
//! use tokio::time::Instant;
//!
//! let bound = KeyBound::new(Duration::from_secs(5));
//! let began = Instant::now();
//! let mut mine = Confirmation::default();
//! assert!(!mine.allows(began, bound));
//! mine.confirm(began);
//! assert!(mine.allows(began + Duration::from_secs(4), bound));
//! assert!(!mine.allows(began + Duration::from_secs(5), bound));
//! ```

use smol_str::SmolStr;
use std::time::Duration;
use tokio::time::Instant;

/// The time up to which this VM's configuration is known to have been the newest, and the VM that read it last.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Confirmation {
    at: Option<Instant>,
    reader: Option<(SmolStr, Instant)>,
}

impl Confirmation {
    /// Records that the configuration was the newest at a time.
    pub fn confirm(&mut self, at: Instant) {
        self.at = self.at.max(Some(at));
    }

    /// Records that another VM read the configuration in the platform's store at about this time.
    ///
    /// This confirms nothing, since it isn't known how long the message was in transit. It determines which VM to
    /// query.
    pub fn record_reader(&mut self, vm: &SmolStr, at: Instant) {
        if self.reader.as_ref().is_none_or(|(_, last)| at > *last) {
            self.reader = Some((vm.clone(), at));
        }
    }

    /// Returns the other VM that is known to have read the configuration last, and about when.
    #[must_use]
    pub fn reader(&self) -> Option<(&SmolStr, Instant)> {
        self.reader.as_ref().map(|(vm, at)| (vm, *at))
    }

    /// Returns the last time at which the configuration is known to have been the newest.
    #[must_use]
    pub fn at(&self) -> Option<Instant> {
        self.at
    }

    /// Returns the time since the last confirmation.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.at.map(|t| now.saturating_duration_since(t))
    }

    /// Returns `true` if keys may be accepted.
    #[must_use]
    pub fn allows(&self, now: Instant, bound: KeyBound) -> bool {
        self.age(now).is_some_and(|age| age < bound.use_within())
    }
}

/// The time within which a revoked key stops working, and the times of reads and queries as fractions of it.
///
/// Without failures the age of a copy is at most the sum of the reader's pause and its call (0.3), the pause between
/// queries (0.2) and the round trip of a query. At half of the bound a VM that got no answer reads the store itself,
/// and the time left is enough for two calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyBound(Duration);

/// The fraction of the bound for which a configuration is used. The rest allows for clocks that run at slightly
/// different rates and for the time from the check of the key until the request reaches the endpoint.
const USE_WITHIN: f64 = 0.9;
/// The fraction of the bound between two queries to other VMs.
const ASK_EVERY: f64 = 0.2;
/// The fraction of the bound after which a VM reads the store itself, and the spread of these reads, so that the first
/// VM to read can answer the others.
const READ_AFTER: f64 = 0.5;
const READ_SPREAD: f64 = 0.1;
/// The maximum fraction of the bound between two reads of the VM that reads for its zone.
const READ_EVERY: f64 = 0.27;

impl KeyBound {
    /// Creates a bound.
    #[must_use]
    pub fn new(bound: Duration) -> Self {
        Self(bound)
    }

    /// Returns the maximum age of a configuration whose keys are accepted.
    #[must_use]
    pub fn use_within(&self) -> Duration {
        self.0.mul_f64(USE_WITHIN)
    }

    /// Returns the time between two queries to other VMs.
    #[must_use]
    pub fn ask_every(&self) -> Duration {
        self.0.mul_f64(ASK_EVERY)
    }

    /// Returns the age at which a VM reads the store itself; `jitter` of 0 to 1 sets it within the spread.
    #[must_use]
    pub fn read_after(&self, jitter: f64) -> Duration {
        self.0.mul_f64(READ_AFTER + READ_SPREAD * jitter)
    }

    /// Returns the time between two reads of the VM that reads for its zone.
    #[must_use]
    pub fn read_every(&self) -> Duration {
        self.0.mul_f64(READ_EVERY)
    }
}
