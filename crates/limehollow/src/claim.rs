//! At most once for requests that come again with the same key, perhaps on another gateway.
//!
//! A gateway appends a claim to a stream of the platform's log before it dispatches such a request,
//! and dispatches only if its claim is the first that stands for the key. So the log's order decides
//! between gateways, also when one was paused (`docs/design/at-most-once.md`).

use crate::id::{Incarnation, LogTime, Offset, VmName};
use smol_str::SmolStr;
use std::collections::{BTreeMap, HashMap};

/// How long a claim is remembered, in milliseconds of the log's time.
pub const DEFAULT_RETENTION_MS: u64 = 600_000;

/// The hash of a caller's key with what it belongs to: caller, method and path.
pub type KeyHash = u128;

/// Hashes a key with what it belongs to, so that two callers' equal keys don't meet.
///
/// Each part is written with its length, so that no two lists of parts run together.
#[must_use]
pub fn key_hash(parts: &[&str]) -> KeyHash {
    let mut h = xxhash_rust::xxh3::Xxh3::new();
    for p in parts {
        h.update(&(p.len() as u64).to_le_bytes());
        h.update(p.as_bytes());
    }
    h.digest128()
}

/// Who claims: one life of a gateway and its own number for the request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Claimant {
    /// The entry VM of the gateway.
    pub vm: VmName,
    /// The incarnation of the gateway.
    pub incarnation: Incarnation,
    /// The gateway's own number for the request.
    pub number: u64,
    /// Where the gateway answers its peers, as `IP:PORT`, so that others can ask for the result.
    pub address: SmolStr,
}

/// What a gateway appends about a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimRecord {
    /// It wants to run the request.
    Claim(KeyHash, Claimant),
    /// It claimed, and the request surely did not run; the key is free again.
    Release(KeyHash, Claimant),
}

/// What stands for a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimState {
    /// Nobody has claimed it, or the claims were released.
    Free,
    /// This claimant may run it, and nobody else.
    Held(Claimant),
}

/// The place of a claim: the offset of its batch and its index in it.
type Position = (Offset, usize);

/// All claims that are remembered, folded from the stream.
#[derive(Debug, Default)]
pub struct Claims {
    /// The claim that stands for each key, with its position.
    held: HashMap<KeyHash, (Position, Claimant)>,
    by_age: BTreeMap<Position, (LogTime, KeyHash)>,
    next: Offset,
    memory_ms: Option<u64>,
}

impl Claims {
    /// Sets how long claims are remembered, in milliseconds of the log's time.
    #[must_use]
    pub fn with_retention(mut self, ms: u64) -> Self {
        self.memory_ms = Some(ms);
        self
    }

    /// Gives the offset to read next.
    #[must_use]
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// Gives how many keys are held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Tells whether no key is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Gives what stands for a key.
    #[must_use]
    pub fn state(&self, key: KeyHash) -> ClaimState {
        self.held
            .get(&key)
            .map_or(ClaimState::Free, |(_, c)| ClaimState::Held(c.clone()))
    }

    /// Takes the next batch of the stream; all its records share one offset.
    ///
    /// A claim on a held key changes nothing. Batches below the next offset are passed over, so an
    /// append that was read twice does no harm.
    pub fn apply(&mut self, offset: Offset, at: LogTime, batch: &[ClaimRecord]) {
        if offset < self.next {
            return;
        }
        self.next = offset.next();
        self.forget(at);
        for (i, record) in batch.iter().enumerate() {
            self.apply_one((offset, i), at, record);
        }
    }

    fn apply_one(&mut self, position: Position, at: LogTime, record: &ClaimRecord) {
        match record {
            ClaimRecord::Claim(key, who) => {
                if self.held.contains_key(key) {
                    return;
                }
                self.held.insert(*key, (position, who.clone()));
                self.by_age.insert(position, (at, *key));
            }
            ClaimRecord::Release(key, who) => {
                if self.held.get(key).is_some_and(|(_, c)| c == who) {
                    self.held.remove(key);
                }
            }
        }
    }

    /// Moves past records that the log doesn't have any more.
    pub fn skip_to(&mut self, offset: Offset) {
        self.next = self.next.max(offset);
    }

    /// Forgets claims that are past their time. A key that was released and claimed again stands
    /// twice in the list by age; only the entry of the claim that stands may free it.
    fn forget(&mut self, at: LogTime) {
        let memory = self.memory_ms.unwrap_or(DEFAULT_RETENTION_MS);
        while let Some(first) = self.by_age.first_entry() {
            let (old, key) = *first.get();
            if at.millis_since(old) < memory {
                break;
            }
            let position = *first.key();
            first.remove();
            if self.held.get(&key).is_some_and(|(p, _)| *p == position) {
                self.held.remove(&key);
            }
        }
    }
}
