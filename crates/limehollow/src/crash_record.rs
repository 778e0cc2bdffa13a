//! What VMs tell each other of a request under which endpoints crashed.

use crate::fingerprint::{Fingerprint, OriginTag};
use crate::instance::Instance;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::hash::Hasher;
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// How long after its first result a crash counts as early. A request that crashes what begins to run it does so in its first
/// steps, of some tens of ms each; streams go on for 1.4 s and more, so most that run beside it are past this.
pub const EARLY: Duration = Duration::from_millis(300);

/// When in its run an endpoint's end hit a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Timing {
    /// Before its first result, or up to [`EARLY`] after it.
    Early,
    /// Later.
    Late,
}

impl Timing {
    /// Gives the timing of a crash, by how long before it the first result came.
    #[must_use]
    pub fn of(since_first: Option<Duration>) -> Self {
        match since_first {
            Some(t) if t >= EARLY => Self::Late,
            _ => Self::Early,
        }
    }
}

/// Names one start of an endpoint, as far as crashes have to be told apart: two that have the same tag, one pair of 65,536, count
/// as one, and the request needs one crash more.
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

/// What VMs tell each other of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// The request.
    pub request: Fingerprint,
    /// Where it came from when an endpoint crashed under it; of several the least.
    pub origin: OriginTag,
    /// Rises when it is cleared; what was known of a lower one counts no more.
    pub generation: u32,
    /// The starts of endpoints that ended under it, each once, and when in its run.
    pub crashes: BTreeMap<StartTag, Timing>,
    /// How long ago the last of them ended or it was cleared, in ms.
    pub age_ms: u32,
}
