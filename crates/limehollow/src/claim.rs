//! At-most-once execution of requests that are repeated with the same key, possibly on another gateway.
//!
//! A gateway appends a claim to a stream of the platform's log before it dispatches such a request, and
//! dispatches only if its claim is the first valid one for the key. So the order of the log decides
//! between gateways, even if one of them was paused (`docs/design/at-most-once.md`).

use crate::id::{Incarnation, LogTime, Offset, VmName};
use smol_str::SmolStr;
use std::collections::{BTreeMap, HashMap};

/// The default for how long a claim is retained, in milliseconds of log time.
pub const DEFAULT_RETENTION_MS: u64 = 600_000;

/// The hash of a caller's key together with the caller, the method and the path.
pub type KeyHash = u128;

/// Hashes a key together with its scope, so that equal keys of two callers don't collide.
///
/// Each part is hashed with its length, so that different lists of parts never form the same input.
#[must_use]
pub fn key_hash(parts: &[&str]) -> KeyHash {
    let mut h = xxhash_rust::xxh3::Xxh3::new();
    for p in parts {
        h.update(&(p.len() as u64).to_le_bytes());
        h.update(p.as_bytes());
    }
    h.digest128()
}

/// The owner of a claim: one incarnation of a gateway, and its number for the request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Claimant {
    /// The entry VM of the gateway.
    pub vm: VmName,
    /// The incarnation of the gateway.
    pub incarnation: Incarnation,
    /// The number that the gateway assigned to the request.
    pub number: u64,
    /// The address on which the gateway answers its peers, as `IP:PORT`, so that they can request the result.
    pub address: SmolStr,
}

/// A record in the stream of claims.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimRecord {
    /// The gateway claims the right to run the request.
    Claim(KeyHash, Claimant),
    /// The gateway releases its claim, since the request is known not to have run. The key is free again.
    Release(KeyHash, Claimant),
}

/// Whether a key is claimed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimState {
    /// The key was never claimed, or its claim was released or has expired.
    Free,
    /// Only this claimant may run the request.
    Held(Claimant),
}

/// The position of a claim: the offset of its batch and the index within the batch.
type Position = (Offset, usize);

/// The retained claims, built by applying the stream's batches in order.
#[derive(Debug, Default)]
pub struct Claims {
    /// The valid claim for each key, with its position.
    held: HashMap<KeyHash, (Position, Claimant)>,
    by_age: BTreeMap<Position, (LogTime, KeyHash)>,
    next: Offset,
    retention_ms: Option<u64>,
}

impl Claims {
    /// Sets how long claims are retained, in milliseconds of log time.
    #[must_use]
    pub fn with_retention(mut self, ms: u64) -> Self {
        self.retention_ms = Some(ms);
        self
    }

    /// Returns the offset of the next batch to read.
    #[must_use]
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// Returns the number of claimed keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Returns `true` if no key is claimed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Returns whether a key is claimed, and by whom.
    #[must_use]
    pub fn state(&self, key: KeyHash) -> ClaimState {
        self.held
            .get(&key)
            .map_or(ClaimState::Free, |(_, c)| ClaimState::Held(c.clone()))
    }

    /// Applies the next batch of the stream; all its records share one offset.
    ///
    /// A claim on a claimed key changes nothing. Batches below the next offset are skipped, so reading an
    /// append twice has no effect.
    pub fn apply(&mut self, offset: Offset, at: LogTime, batch: &[ClaimRecord]) {
        if offset < self.next {
            return;
        }
        self.next = offset.next();
        self.evict_expired(at);
        for (i, record) in batch.iter().enumerate() {
            self.apply_record((offset, i), at, record);
        }
    }

    fn apply_record(&mut self, position: Position, at: LogTime, record: &ClaimRecord) {
        match record {
            ClaimRecord::Claim(key, claimant) => {
                if self.held.contains_key(key) {
                    return;
                }
                self.held.insert(*key, (position, claimant.clone()));
                self.by_age.insert(position, (at, *key));
            }
            ClaimRecord::Release(key, claimant) => {
                if self.held.get(key).is_some_and(|(_, c)| c == claimant) {
                    self.held.remove(key);
                }
            }
        }
    }

    /// Skips records that the log no longer retains.
    pub fn skip_to(&mut self, offset: Offset) {
        self.next = self.next.max(offset);
    }

    /// Evicts expired claims. A key that was released and claimed again has two entries in `by_age`; only
    /// the entry of the current claim may free the key.
    fn evict_expired(&mut self, at: LogTime) {
        let memory = self.retention_ms.unwrap_or(DEFAULT_RETENTION_MS);
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
