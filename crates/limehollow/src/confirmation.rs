//! Until when this VM's configuration is known to have been the newest.
//!
//! A key that operators take away must not be of use for longer than a bound, on any VM: not on one that is cut off, slow or
//! was suspended either. So a VM uses keys only while it can show that its configuration was the newest so short a time ago.
//! What shows it is a read of its own, from the moment at which that began, or the answer of another VM to a question, from
//! the moment of the *question* back by the age that the other states. The moment at which an answer arrives proves nothing:
//! it may have waited for seconds before a VM that stood still (`docs/design/workspaces.md`).
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

/// The moment up to which this VM's configuration is known to have been the newest, and who can say more.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Confirmation {
    at: Option<Instant>,
    reader: Option<(SmolStr, Instant)>,
}

impl Confirmation {
    /// Notes that the configuration was the newest at a moment.
    pub fn confirm(&mut self, at: Instant) {
        self.at = self.at.max(Some(at));
    }

    /// Notes that another VM read the configuration in the platform's store, about at a moment. That confirms nothing: how
    /// long the word was on its way isn't known. It says whom to ask.
    pub fn record_reader(&mut self, vm: &SmolStr, at: Instant) {
        if self.reader.as_ref().is_none_or(|(_, last)| at > *last) {
            self.reader = Some((vm.clone(), at));
        }
    }

    /// Gives the other VM that read the configuration last, of all that were heard of, and about when.
    #[must_use]
    pub fn reader(&self) -> Option<(&SmolStr, Instant)> {
        self.reader.as_ref().map(|(vm, at)| (vm, *at))
    }

    /// Gives the last moment at which it is known to have been the newest.
    #[must_use]
    pub fn at(&self) -> Option<Instant> {
        self.at
    }

    /// Gives how long ago that was.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.at.map(|t| now.saturating_duration_since(t))
    }

    /// Tells whether keys may be used.
    #[must_use]
    pub fn allows(&self, now: Instant, bound: KeyBound) -> bool {
        self.age(now).is_some_and(|age| age < bound.use_within())
    }
}

/// The time after which a key that was taken away is of no use any more, and its parts.
///
/// Where all goes well a copy is as old as the parts add up to: the reader's pause and its call (0.3), the pause between
/// questions (0.2) and the way there and back. At half of the bound a VM that no other has answered reads the store itself,
/// for which as much time is left as two calls take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyBound(Duration);

/// The part of the bound for which a configuration is used; the rest is for clocks that run a little differently and for
/// what lies between the last look and the endpoint.
const USE: f64 = 0.9;
/// The part between two questions to other VMs.
const ASK_EVERY: f64 = 0.2;
/// The part after which a VM reads the store itself, and the spread of those that do, so that the first can answer the
/// others.
const READ_AFTER: f64 = 0.5;
const READ_SPREAD: f64 = 0.1;
/// The part that the VM which reads for its zone waits at most between two reads.
const READ_EVERY: f64 = 0.27;

impl KeyBound {
    /// Makes the bound.
    #[must_use]
    pub fn new(bound: Duration) -> Self {
        Self(bound)
    }

    /// Gives how old a configuration may be whose keys are used.
    #[must_use]
    pub fn use_within(&self) -> Duration {
        self.0.mul_f64(USE)
    }

    /// Gives the time between two questions to other VMs.
    #[must_use]
    pub fn ask_every(&self) -> Duration {
        self.0.mul_f64(ASK_EVERY)
    }

    /// Gives the age at which a VM reads the store itself; `luck` of 0 to 1 sets it within the spread.
    #[must_use]
    pub fn read_after(&self, luck: f64) -> Duration {
        self.0.mul_f64(READ_AFTER + READ_SPREAD * luck)
    }

    /// Gives the time between two reads of the VM that reads for its zone.
    #[must_use]
    pub fn read_every(&self) -> Duration {
        self.0.mul_f64(READ_EVERY)
    }
}
