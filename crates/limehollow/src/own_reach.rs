//! Decides whether it is this VM that reaches no endpoint.
//!
//! A connection that can't be opened shows nothing about the endpoint if the VM can open none at all: its own way to the
//! endpoints may be cut off while callers, the platform's store and the other VMs reach it
//! (`docs/design/cut-off-vms.md`).
//!
//! ```
//! use limehollow::own_reach::{Listed, OwnReach, Reach};
//! use slotmap::SlotMap;
//! use std::time::Duration;
//! use tokio::time::Instant;
//!
//! let mut keys = SlotMap::<limehollow::id::EndpointKey, ()>::with_key();
//! let (mut reach, now) = (OwnReach::default(), Instant::now());
//! let zones = ["a", "b", "a"].map(limehollow::id::ZoneName::from);
//! for zone in &zones {
//!     reach.record_failure(now, keys.insert(()), zone, Listed { endpoints: 3, zones: 2 });
//! }
//! assert_eq!(reach.state(now), Reach::None);
//! reach.record_success(now);
//! assert_eq!(reach.state(now), Reach::Sound);
//! ```

use crate::id::{EndpointKey, ZoneName};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

/// The bounds of the number of endpoints that can't be reached, without one that can, from which the VM is cut off; between
/// them it is half of the endpoints. Two may have crashed at once, and on a large site hundreds.
const MIN_FAILED: usize = 3;
const MAX_FAILED: usize = 8;
/// The time without a success until the VM can be cut off.
const SUCCESS_LIFE: Duration = Duration::from_millis(300);
/// The number of such endpoints from which it is in doubt whether they are at fault.
const MIN_DOUBTFUL: usize = 2;
/// How long a failure counts. A VM with little traffic opens a connection every few seconds.
const FAILURE_LIFE: Duration = Duration::from_secs(2);
/// The least time between two rounds of probes because of a doubt.
const DOUBT_EVERY: Duration = Duration::from_secs(1);
/// How long ago the last bytes of an endpoint may be for open connections to count as live: the longest usual pause of a
/// stream.
const HEARD_LIFE: Duration = Duration::from_millis(250);

/// What a VM knows of its own way to the endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// It reaches endpoints, as far as it knows.
    Sound,
    /// Several endpoints in a row can't be reached.
    Doubtful,
    /// It opens no connection to any endpoint.
    None,
}

/// The endpoints that accept work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listed {
    /// Their number.
    pub endpoints: usize,
    /// The number of zones in which they are.
    pub zones: usize,
}

impl Listed {
    /// Returns the number of them that can't be reached from which the VM is cut off.
    #[must_use]
    pub fn failures_needed(self) -> usize {
        (self.endpoints / 2).clamp(MIN_FAILED, MAX_FAILED)
    }
}

/// The attempts of this VM to open connections to endpoints.
#[derive(Clone, Debug, Default)]
pub struct OwnReach {
    /// The endpoints that couldn't be reached since the last success, with their zone and the time.
    failed: BTreeMap<EndpointKey, (ZoneName, Instant)>,
    /// Since when the VM has been cut off.
    cut_since: Option<Instant>,
    succeeded: Option<Instant>,
    heard: Option<Instant>,
    /// When the last doubt was to be resolved by probes.
    doubted: Option<Instant>,
}

/// Queries.
impl OwnReach {
    /// Returns the state of the way to the endpoints.
    #[must_use]
    pub fn state(&self, now: Instant) -> Reach {
        if self.is_cut() {
            Reach::None
        } else if self.recent(now).count() >= MIN_DOUBTFUL {
            Reach::Doubtful
        } else {
            Reach::Sound
        }
    }

    /// Returns `true` if this VM opens no connection to any endpoint.
    #[must_use]
    pub fn is_cut(&self) -> bool {
        self.cut_since.is_some()
    }

    /// Returns `true` if connections that are already open carry answers.
    #[must_use]
    pub fn hears(&self, now: Instant) -> bool {
        let recent = |t: Instant| now.saturating_duration_since(t) < HEARD_LIFE;
        self.heard.is_some_and(recent)
    }

    /// Returns `true` if an endpoint couldn't be reached since the last success.
    #[must_use]
    pub fn has_failed(&self, key: EndpointKey) -> bool {
        self.failed.contains_key(&key)
    }

    fn recent(&self, now: Instant) -> impl Iterator<Item = &ZoneName> {
        let recent = move |t: Instant| now.saturating_duration_since(t) < FAILURE_LIFE;
        let rows = self.failed.values().filter(move |(_, at)| recent(*at));
        rows.map(|(zone, _)| zone)
    }
}

/// Commands.
impl OwnReach {
    /// Records that no connection to an endpoint could be opened. Returns `true` if this newly shows that the VM is cut off.
    pub fn record_failure(
        &mut self,
        now: Instant,
        key: EndpointKey,
        zone: &ZoneName,
        listed: Listed,
    ) -> bool {
        self.failed
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < FAILURE_LIFE);
        self.failed.insert(key, (zone.clone(), now));
        let zones: BTreeSet<&ZoneName> = self.recent(now).collect();
        let recent = |t: Instant| now.saturating_duration_since(t) < SUCCESS_LIFE;
        let is_cut = self.failed.len() >= listed.failures_needed()
            && zones.len() >= listed.zones
            && !self.succeeded.is_some_and(recent);
        let is_new = is_cut && self.cut_since.is_none();
        if is_new {
            self.cut_since = Some(now);
        }
        is_new
    }

    /// Records that a connection to an endpoint was opened. Returns for how long the VM was cut off, if it was.
    pub fn record_success(&mut self, now: Instant) -> Option<Duration> {
        self.failed.clear();
        self.succeeded = Some(now);
        let since = self.cut_since.take()?;
        Some(now.saturating_duration_since(since))
    }

    /// Returns `true` if endpoints are to be probed now because it is in doubt whether any is reached.
    pub fn begin_probes(&mut self, now: Instant) -> bool {
        let recent = |t: Instant| now.saturating_duration_since(t) < DOUBT_EVERY;
        if self.state(now) != Reach::Doubtful || self.doubted.is_some_and(recent) {
            return false;
        }
        self.doubted = Some(now);
        true
    }

    /// Records that bytes of an endpoint arrived.
    pub fn record_heard(&mut self, now: Instant) {
        self.heard = Some(now);
    }
}
