//! Remembers at which version of a service's software each stream began.
//!
//! Endpoints of several versions may serve a service side by side, and what two versions write doesn't fit together. A
//! stream that is taken up may therefore go on only at the version that began it. Nothing in a request says which that
//! was, so the VM that passes on a stream's first event tells a few others ([`crate::peers::Peers::owners`]); a VM that
//! gets a request to take the stream up asks them. A version is never guessed (`docs/design/streams.md`).
//!
//! ```
//! use limehollow::stream_origin::{Known, StreamOrigin, StreamOrigins, StreamTag};
//! use std::time::Duration;
//! use tokio::time::Instant;
//!
//! let now = Instant::now();
//! let stream = StreamTag::of(None, "a request");
//! let origin = StreamOrigin { service: "chat".into(), software: "v1".into() };
//! let mut origins = StreamOrigins::default();
//! assert_eq!(origins.get(now, stream), Known::Nothing);
//! origins.record(now, stream, origin.clone(), now + Duration::from_secs(25));
//! assert_eq!(origins.get(now, stream), Known::Began { origin, recorded: now });
//! ```

use crate::fingerprint::first_bytes;
use crate::id::{ServiceName, SoftwareVersion};
use crate::peers::{Owner, Peers};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// The length of a tag in bytes.
const TAG_LEN: usize = 16;
/// The largest number of streams that a VM remembers: some minutes of what the VMs of the largest site tell one of them.
pub const MAX_STREAMS: usize = 65_536;
/// The longest time for which a stream is remembered, whatever deadline its caller states.
pub const MAX_LIFE: Duration = Duration::from_secs(300);
/// How often the owners are told again of a stream that is running. A VM doesn't see when VMs of other zones start
/// again; in its own zone it does, and tells them at once.
const TOLD_EVERY: Duration = Duration::from_secs(5);

/// Identifies a stream by the request that brought its first event.
///
/// The hash is cryptographic, so that no caller can construct a request that counts as another caller's stream.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamTag([u8; TAG_LEN]);

impl StreamTag {
    /// Returns the tag of a stream, given the workspace and the id of the request that brought its first event.
    #[must_use]
    pub fn of(workspace: Option<&str>, request: &str) -> Self {
        let workspace = workspace.unwrap_or("");
        let mut h = blake3::Hasher::new();
        h.update(&(workspace.len() as u64).to_le_bytes());
        h.update(workspace.as_bytes());
        h.update(request.as_bytes());
        Self(first_bytes(&h))
    }

    /// Returns the tag's bytes, by which its owners are chosen.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Display for StreamTag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl fmt::Debug for StreamTag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// What began a stream. Versions of two services can't be compared.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The service.
    pub service: ServiceName,
    /// The version of the endpoint's software.
    pub software: SoftwareVersion,
}

/// A stream's origin, as one VM tells it to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginRecord {
    /// The stream.
    pub stream: StreamTag,
    /// What began it.
    pub origin: StreamOrigin,
    /// How long it is to be remembered, in ms.
    pub left_ms: u32,
}

/// What a VM knows of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Known {
    /// Nothing.
    Nothing,
    /// Two origins were told, so that neither can be believed.
    Conflicting,
    /// What began it.
    Began {
        /// The service and the version.
        origin: StreamOrigin,
        /// When this VM recorded it.
        recorded: Instant,
    },
}

#[derive(Debug)]
struct Row {
    /// `None` after two different origins were told.
    origin: Option<StreamOrigin>,
    recorded: Instant,
    expires: Instant,
}

/// A stream that runs on this VM.
#[derive(Debug)]
struct Running {
    /// How many attempts of this VM relay it.
    attempts: u32,
    told: Vec<Owner>,
    told_at: Instant,
}

/// The origins that a VM remembers: of its own streams, and of those that other VMs told it.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    rows: HashMap<StreamTag, Row>,
    by_expiry: BTreeSet<(Instant, StreamTag)>,
    running: BTreeMap<StreamTag, Running>,
    /// The streams of which no other VM has been told.
    untold: Vec<StreamTag>,
    /// The VMs that may be owners, when the owners of the running streams were last determined.
    owners_digest: u64,
    dropped: u64,
}

/// Queries.
impl StreamOrigins {
    /// Returns what this VM knows of a stream.
    #[must_use]
    pub fn get(&self, now: Instant, stream: StreamTag) -> Known {
        let Some(row) = self.rows.get(&stream).filter(|r| now < r.expires) else {
            return Known::Nothing;
        };
        match &row.origin {
            Some(origin) => Known::Began {
                origin: origin.clone(),
                recorded: row.recorded,
            },
            None => Known::Conflicting,
        }
    }

    /// Returns the number of streams that this VM remembers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns `true` if this VM remembers no stream.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}

/// Commands.
impl StreamOrigins {
    /// Records what began a stream, to be remembered until `expires`.
    pub fn record(
        &mut self,
        now: Instant,
        stream: StreamTag,
        origin: StreamOrigin,
        expires: Instant,
    ) {
        let expires = expires.min(now + MAX_LIFE);
        let mut row = Row {
            origin: Some(origin),
            recorded: now,
            expires,
        };
        if let Some(before) = self.rows.remove(&stream) {
            self.by_expiry.remove(&(before.expires, stream));
            if now < before.expires {
                row.recorded = before.recorded;
                row.expires = expires.max(before.expires);
                row.origin = row.origin.filter(|o| before.origin.as_ref() == Some(o));
            }
        }
        self.by_expiry.insert((row.expires, stream));
        self.rows.insert(stream, row);
        self.make_room();
    }

    /// Applies what another VM told.
    pub fn merge(&mut self, now: Instant, r: OriginRecord) {
        let left = Duration::from_millis(u64::from(r.left_ms));
        self.record(now, r.stream, r.origin, now + left.min(MAX_LIFE));
    }

    /// Records that the first event of a stream's attempt on this VM has arrived.
    pub fn begin(
        &mut self,
        now: Instant,
        stream: StreamTag,
        origin: StreamOrigin,
        expires: Instant,
    ) {
        self.record(now, stream, origin, expires);
        let running = self.running.entry(stream).or_insert_with(|| Running {
            attempts: 0,
            told: Vec::new(),
            told_at: now,
        });
        running.attempts += 1;
        self.untold.push(stream);
    }

    /// Records that an attempt of this VM no longer relays a stream.
    pub fn end(&mut self, stream: StreamTag) {
        let Some(running) = self.running.get_mut(&stream) else {
            return;
        };
        running.attempts -= 1;
        if running.attempts == 0 {
            self.running.remove(&stream);
        }
    }

    /// Forgets streams that no caller waits for any more.
    pub fn sweep(&mut self, now: Instant) {
        while let Some((expires, stream)) = self.by_expiry.first().copied() {
            if now < expires {
                return;
            }
            self.forget(expires, stream);
        }
    }

    /// Returns how many streams were forgotten before their time since the last call, because there were too many.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }

    /// Returns the records of streams that have begun since the last call, by the address of the VM to tell.
    pub fn take_new(&mut self, now: Instant, peers: &Peers) -> Batches {
        let mut batches = Batches::default();
        for stream in std::mem::take(&mut self.untold) {
            let owners = peers.owners(now, stream.as_bytes());
            self.add_to(&mut batches, now, stream, &owners);
            if let Some(r) = self.running.get_mut(&stream) {
                r.told = owners;
                r.told_at = now;
            }
        }
        batches
    }

    /// Returns the records of running streams whose owners have changed or were told long ago, by the address of the VM
    /// to tell.
    pub fn take_due(&mut self, now: Instant, peers: &Peers) -> Batches {
        let digest = peers.owners_digest(now);
        let has_changed = std::mem::replace(&mut self.owners_digest, digest) != digest;
        let is_late = |r: &Running| now.saturating_duration_since(r.told_at) >= TOLD_EVERY;
        let due = self
            .running
            .iter()
            .filter(|(_, r)| has_changed || is_late(r));
        let due: Vec<StreamTag> = due.map(|(stream, _)| *stream).collect();
        let mut batches = Batches::default();
        for stream in due {
            let owners = peers.owners(now, stream.as_bytes());
            let Some(r) = self.running.get_mut(&stream) else {
                continue;
            };
            if is_late(r) {
                r.told.clear();
                r.told_at = now;
            }
            let untold = owners.iter().filter(|o| !r.told.contains(o));
            let untold: Vec<Owner> = untold.copied().collect();
            r.told = owners;
            self.add_to(&mut batches, now, stream, &untold);
        }
        batches
    }

    fn add_to(&self, batches: &mut Batches, now: Instant, stream: StreamTag, owners: &[Owner]) {
        let Some(row) = self.rows.get(&stream).filter(|r| now < r.expires) else {
            return;
        };
        // Of a stream whose origin isn't clear here, the other VMs are to learn as little.
        let Some(origin) = &row.origin else { return };
        let left = row.expires.duration_since(now).as_millis();
        for owner in owners {
            batches
                .entry(owner.address)
                .or_default()
                .push(OriginRecord {
                    stream,
                    origin: origin.clone(),
                    left_ms: u32::try_from(left).unwrap_or(u32::MAX),
                });
        }
    }

    fn forget(&mut self, expires: Instant, stream: StreamTag) {
        self.by_expiry.remove(&(expires, stream));
        self.rows.remove(&stream);
        self.running.remove(&stream);
    }

    fn make_room(&mut self) {
        while self.rows.len() > MAX_STREAMS {
            let Some((expires, stream)) = self.by_expiry.first().copied() else {
                return;
            };
            self.forget(expires, stream);
            self.dropped += 1;
        }
    }
}

/// Records to tell, by the address of the VM that is told.
pub type Batches = BTreeMap<SocketAddr, Vec<OriginRecord>>;
