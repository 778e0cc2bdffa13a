//! The records that VMs exchange about requests during which endpoints crashed.

use crate::fingerprint::{Fingerprint, OriginTag};
use crate::instance::Instance;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::hash::Hasher;
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// The time after a request's first result up to which a crash counts as early.
///
/// A request that crashes its endpoint does so in its first steps, of some tens of ms each. Streams take 1.4 s and
/// more, so most requests that run beside it are past this time.
pub const EARLY: Duration = Duration::from_millis(300);

/// The time after a request's first result from which on the run shows that its prompt doesn't crash endpoints: several
/// times [`EARLY`], as a slow endpoint takes longer for its first steps.
pub const OUTLIVED: Duration = Duration::from_millis(1000);

/// The phase of a request in which its endpoint crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Timing {
    /// Before its first result, or up to [`EARLY`] after it.
    Early,
    /// More than [`EARLY`] after its first result.
    Late,
}

impl Timing {
    /// Returns the timing of a crash, given the time from the first result to the crash, or `None` without a result.
    #[must_use]
    pub fn of(since_first: Option<Duration>) -> Self {
        match since_first {
            Some(t) if t >= EARLY => Self::Late,
            _ => Self::Early,
        }
    }
}

/// A short hash of one start of an endpoint, to count crashes of different starts.
///
/// Two starts have the same tag with a probability of one in 65,536. They then count as one, and it takes one more
/// crash to quarantine the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StartTag(u16);

impl StartTag {
    pub(crate) fn hash_into(self, h: &mut Xxh3) {
        h.write_u16(self.0);
    }
}

impl From<&Instance> for StartTag {
    fn from(i: &Instance) -> Self {
        let mut h = Xxh3::new();
        h.write(i.id.as_bytes());
        h.write_u64(i.born.unwrap_or(0));
        let [low, high, ..] = h.digest().to_le_bytes();
        Self(u16::from_le_bytes([low, high]))
    }
}

/// What a VM knows of the crashes during one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// The request.
    pub request: Fingerprint,
    /// Where it came from when an endpoint crashed during it; the lowest of several.
    pub origin: OriginTag,
    /// A generation that rises when the request is cleared; records of lower generations are ignored.
    pub generation: u32,
    /// The starts of endpoints that crashed during the request, and in which phase of it.
    pub crashes: BTreeMap<StartTag, Timing>,
    /// The time since the last of these crashes, or since the request was cleared, in ms.
    pub age_ms: u32,
}
