//! Proves at which version a stream began of which nobody remembers the origin.
//!
//! If a service's endpoints have all been of one version for as long as a stream may live, a stream of the service began at
//! that version. The proof needs a list of endpoints that was complete all that time; a VM that has just started gets
//! the history from another one. Without proof the version is unknown (`docs/design/streams.md`).
//!
//! ```
//! use limehollow::version_history::{LONGEST_STREAM, VersionHistory};
//! use tokio::time::Instant;
//!
//! let now = Instant::now();
//! let mut history = VersionHistory::default();
//! history.record(now, &"chat".into(), Some(&"v1".into()));
//! assert_eq!(history.only_version(now, &"chat".into()), None);
//! let later = now + LONGEST_STREAM;
//! assert_eq!(history.only_version(later, &"chat".into()), Some("v1".into()));
//! ```

use crate::id::{ServiceName, SoftwareVersion};
use crate::roster::Roster;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

/// The longest time for which a caller waits for a stream, over all its tries.
pub const LONGEST_STREAM: Duration = Duration::from_secs(60);

/// The time in which a VM that has read its list gets the history of another one, if any has it.
const YOUNG: Duration = Duration::from_secs(2);

/// Since when a history names all versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Complete {
    /// No list has been read.
    Never,
    /// Since the site has been there.
    Always,
    /// Since this time.
    Since(Instant),
}

/// The versions of each service's software that the list has shown lately.
#[derive(Clone, Debug)]
pub struct VersionHistory {
    complete: Complete,
    /// Whether the versions from before the first list are known, or there were none.
    knows_earlier: bool,
    /// When each version was last listed; `None` stands for an unknown version.
    seen: BTreeMap<ServiceName, BTreeMap<Option<SoftwareVersion>, Instant>>,
}

impl Default for VersionHistory {
    fn default() -> Self {
        Self::new(false)
    }
}

/// A version of a service's software.
pub type ListedVersion = (ServiceName, SoftwareVersion);

/// A history, as one VM tells it to another. Times are ages in ms, since the clocks of VMs differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionsSeen {
    /// Since when it names all versions; `None` if it does since the site has been there.
    pub complete_ms: Option<u32>,
    /// How old the list is by which it was kept.
    pub list_age_ms: u32,
    /// The versions, with the time since each was last listed; `None` stands for an unknown version.
    pub seen: Vec<(ServiceName, Option<SoftwareVersion>, u32)>,
}

/// Queries.
impl VersionHistory {
    /// Creates the history of a VM that has read nothing. `is_first_start` is whether the site starts for the first time.
    #[must_use]
    pub fn new(is_first_start: bool) -> Self {
        Self {
            complete: Complete::Never,
            knows_earlier: is_first_start,
            seen: BTreeMap::new(),
        }
    }

    /// Returns `true` if the history names all versions at which a stream may have begun that is still alive.
    #[must_use]
    pub fn is_complete(&self, now: Instant) -> bool {
        match self.complete {
            Complete::Never => false,
            Complete::Always => true,
            Complete::Since(t) => now.saturating_duration_since(t) >= LONGEST_STREAM,
        }
    }

    /// Returns `true` if the VM has read its list so lately that other VMs may still say what was listed before.
    #[must_use]
    pub fn is_young(&self, now: Instant) -> bool {
        match self.complete {
            Complete::Never => true,
            Complete::Always => false,
            Complete::Since(t) => now.saturating_duration_since(t) < YOUNG,
        }
    }

    /// Returns the only version at which a stream of a service can have begun, or `None` if there may be several.
    #[must_use]
    pub fn only_version(&self, now: Instant, service: &ServiceName) -> Option<SoftwareVersion> {
        let seen = self.seen.get(service).filter(|_| self.is_complete(now))?;
        let mut recent = seen.iter().filter(|(_, at)| is_recent(now, **at));
        let (version, _) = recent.next()?;
        recent.next().is_none().then(|| version.clone())?
    }

    /// Returns the known versions at which a stream may have begun that is still alive.
    #[must_use]
    pub fn listed(&self, now: Instant) -> BTreeSet<ListedVersion> {
        let rows = self.seen.iter().flat_map(|(service, versions)| {
            let recent = versions.iter().filter(|(_, at)| is_recent(now, **at));
            recent.filter_map(|(v, _)| Some((service.clone(), v.clone()?)))
        });
        rows.collect()
    }

    /// Returns the history for another VM, given the age of this VM's list. Returns `None` before the list has been read.
    #[must_use]
    pub fn to_seen(&self, now: Instant, list_age: Duration) -> Option<VersionsSeen> {
        let ago = |t: Instant| millis(now.saturating_duration_since(t));
        let rows = self.seen.iter().flat_map(|(service, versions)| {
            let recent = versions.iter().filter(|(_, at)| is_recent(now, **at));
            recent.map(|(v, at)| (service.clone(), v.clone(), ago(*at)))
        });
        Some(VersionsSeen {
            complete_ms: match self.complete {
                Complete::Never => return None,
                Complete::Always => None,
                Complete::Since(t) => Some(ago(t)),
            },
            list_age_ms: millis(list_age),
            seen: rows.collect(),
        })
    }
}

/// Commands.
impl VersionHistory {
    /// Records that the list shows an endpoint of this version now; `None` stands for an unknown version.
    pub fn record(
        &mut self,
        now: Instant,
        service: &ServiceName,
        version: Option<&SoftwareVersion>,
    ) {
        if self.complete == Complete::Never {
            self.complete = if self.knows_earlier {
                Complete::Always
            } else {
                Complete::Since(now)
            };
        }
        let versions = self.seen.entry(service.clone()).or_default();
        versions.insert(version.cloned(), now);
    }

    /// Records the versions of all listed endpoints, and forgets those that no stream can have begun at.
    pub fn record_listed(&mut self, now: Instant, roster: &Roster) {
        let listed = roster.iter().map(|(_, e)| (&e.service, &e.software));
        let listed: BTreeSet<_> = listed.collect();
        for (service, version) in listed {
            self.record(now, service, version.as_ref());
        }
        for versions in self.seen.values_mut() {
            versions.retain(|_, at| is_recent(now, *at));
        }
        self.seen.retain(|_, versions| !versions.is_empty());
    }

    /// Records that the list was read as a whole: versions that came and went since the read before are missing.
    pub fn restart(&mut self, now: Instant) {
        if self.complete != Complete::Never {
            self.complete = Complete::Since(now);
        }
    }

    /// Adds all versions from before the first list, which were read from the store now.
    pub fn add_earlier<I>(&mut self, now: Instant, earlier: I)
    where
        I: IntoIterator<Item = ListedVersion>,
    {
        for (service, version) in earlier {
            let versions = self.seen.entry(service).or_default();
            versions.insert(Some(version), now);
        }
        self.knows_earlier = true;
        if self.complete != Complete::Never {
            self.complete = Complete::Always;
        }
    }

    /// Adds what another VM has seen. `transit` is the longest time for which its answer may have been on the way.
    pub fn merge(&mut self, now: Instant, other: VersionsSeen, transit: Duration) {
        let before = |ms: u32| now.checked_sub(Duration::from_millis(u64::from(ms)));
        let Complete::Since(own) = self.complete else {
            return;
        };
        let other_until = before(other.list_age_ms.saturating_add(millis(transit)));
        if other_until.is_none_or(|t| t < own) {
            // What was listed between its list and the first one of this VM is unknown.
            return;
        }
        let complete = match other.complete_ms {
            None => Complete::Always,
            Some(ms) => Complete::Since(before(ms).map_or(own, |t| t.min(own))),
        };
        self.add(now, other);
        self.complete = complete;
    }

    /// Takes over what another VM has seen, with the list that it had then.
    pub fn adopt(&mut self, now: Instant, other: VersionsSeen) {
        let ago = |ms: u32| Duration::from_millis(u64::from(ms));
        self.complete = match other.complete_ms {
            None => Complete::Always,
            Some(ms) => Complete::Since(now.checked_sub(ago(ms)).unwrap_or(now)),
        };
        self.add(now, other);
    }

    fn add(&mut self, now: Instant, other: VersionsSeen) {
        for (service, version, ago) in other.seen {
            let ago = Duration::from_millis(u64::from(ago));
            let at = now.checked_sub(ago).unwrap_or(now);
            let known = self.seen.entry(service).or_default();
            let row = known.entry(version).or_insert(at);
            *row = at.max(*row);
        }
    }
}

fn is_recent(now: Instant, at: Instant) -> bool {
    now.saturating_duration_since(at) <= LONGEST_STREAM
}

fn millis(d: Duration) -> u32 {
    u32::try_from(d.as_millis()).unwrap_or(u32::MAX)
}
