//! Follows the log from any point, over gaps that the log's retention leaves.
//!
//! The log forgets old records, so from time to time somebody appends a snapshot "state up to offset
//! X". A reader that finds records missing before the first one that is kept waits for a snapshot
//! that covers the gap; the records between X and the snapshot still apply
//! (`docs/design/log-order.md`).

use crate::error::Result;
use crate::fleet::{Effect, Fleet};
use crate::id::{LogTime, Offset};
use crate::record::{Content, Entry};

/// After how many records a new snapshot is due, at least.
pub const SNAPSHOT_EVERY: u64 = 500;

/// After how many records for each endpoint a new snapshot is due. A snapshot takes about as many
/// bytes as this many records, so snapshots never make up more than half of the log
/// (`docs/CAPACITY.md`).
pub const SNAPSHOT_RECORDS_PER_ENDPOINT: u64 = 5;

/// The most records that a reader holds back while it waits for a snapshot.
const MAX_HELD: usize = 65_536;

/// A fleet that follows the log.
#[derive(Debug, Default)]
pub struct Replay {
    fleet: Fleet,
    /// Records after a gap, in order, until a snapshot covers it.
    held: Vec<Entry>,
    /// The offset that the last snapshot on the log reaches, and when it was appended.
    last_snapshot: Option<(Offset, LogTime)>,
}

/// What became of an entry that was applied.
pub type Applied = (Offset, Result<Effect>);

impl Replay {
    /// Gives the state.
    #[must_use]
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Gives the offset to read next.
    #[must_use]
    pub fn next_to_read(&self) -> Offset {
        self.held
            .last()
            .map_or_else(|| self.fleet.next_offset(), |e| e.offset.next())
    }

    /// Tells whether records are missing and the state must not be taken for the newest.
    #[must_use]
    pub fn has_gap(&self) -> bool {
        !self.held.is_empty()
    }

    /// Tells whether a snapshot should be appended now: so many records came since the last one, or
    /// it is older than a third of the log's retention.
    #[must_use]
    pub fn snapshot_is_due(&self, retention_ms: u64) -> bool {
        let next = self.fleet.next_offset();
        let (covered, at) = self.last_snapshot.unwrap_or_default();
        let endpoints = self.fleet.endpoints().count() as u64;
        let every = SNAPSHOT_EVERY.max(SNAPSHOT_RECORDS_PER_ENDPOINT * endpoints);
        let many = next.0.saturating_sub(covered.0) >= every;
        let some = next.0 > covered.0 + 1;
        let old = self.fleet.at().millis_since(at) > retention_ms / 3;
        !self.has_gap() && (many || some && old)
    }

    /// Takes a snapshot from anywhere, a peer or the log. One that isn't ahead changes nothing, so
    /// the state never goes backwards.
    ///
    /// Gives whether the state moved.
    pub fn install_snapshot(&mut self, next: Offset, fleet: Fleet) -> bool {
        let ahead = next > self.fleet.next_offset() && fleet.next_offset() == next;
        if ahead {
            self.fleet = fleet;
        }
        ahead
    }

    /// Takes the next entry of the log, and says what became of it and of those held back so far.
    pub fn push_entry(&mut self, entry: Entry) -> Vec<Applied> {
        if let Content::Snapshot { next, fleet } = &entry.content {
            self.last_snapshot = Some((*next, entry.at));
            let behind = entry.offset > self.fleet.next_offset() || self.has_gap();
            if behind && self.install_snapshot(*next, (**fleet).clone()) {
                return self.release(entry);
            }
        }
        if self.has_gap() || entry.offset > self.fleet.next_offset() {
            self.hold(entry);
            return Vec::new();
        }
        self.apply(&entry).into_iter().collect()
    }

    /// Takes a snapshot from a peer, and applies what was held back beyond it.
    pub fn install_snapshot_and_replay(&mut self, next: Offset, fleet: Fleet) -> Vec<Applied> {
        if !self.install_snapshot(next, fleet) {
            return Vec::new();
        }
        let held = std::mem::take(&mut self.held);
        held.into_iter().flat_map(|e| self.push_entry(e)).collect()
    }

    fn release(&mut self, last: Entry) -> Vec<Applied> {
        let mut held = std::mem::take(&mut self.held);
        held.push(last);
        let mut out = Vec::new();
        for e in held {
            if e.offset > self.fleet.next_offset() {
                self.hold(e);
            } else {
                out.extend(self.apply(&e));
            }
        }
        out
    }

    fn hold(&mut self, entry: Entry) {
        if self.held.len() >= MAX_HELD {
            self.held.remove(0);
        }
        self.held.push(entry);
    }

    fn apply(&mut self, e: &Entry) -> Option<Applied> {
        if e.offset < self.fleet.next_offset() {
            return None;
        }
        let res = match &e.content {
            Content::Record(r) => self.fleet.apply(e.offset, e.at, r),
            Content::Snapshot { .. } => self.fleet.skip_snapshot(e.offset, e.at),
            Content::Unknown => self.fleet.skip_unreadable(e.offset, e.at),
        };
        Some((e.offset, res))
    }
}
