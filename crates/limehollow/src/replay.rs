//! Replays the log from any offset, across gaps left by the log's retention.
//!
//! The log drops old records, so processes append a snapshot of the state up to an offset X from time to
//! time. A reader that misses records before the first retained one waits for a snapshot that covers the
//! gap; the records between X and the snapshot still apply (`docs/design/log-order.md`).

use crate::error::Result;
use crate::fleet::{Effect, Fleet};
use crate::id::{LogTime, Offset};
use crate::record::{Content, Entry};

/// The least number of records between two snapshots that are due by count.
pub const SNAPSHOT_EVERY: u64 = 500;

/// The number of records per endpoint after which a snapshot is due. A snapshot takes about as many bytes
/// as this many records per endpoint, so snapshots never make up more than half of the log
/// (`docs/CAPACITY.md`).
pub const SNAPSHOT_RECORDS_PER_ENDPOINT: u64 = 5;

/// The maximum number of entries that a reader buffers while it waits for a snapshot.
const MAX_BUFFERED: usize = 65_536;

/// A [`Fleet`] that is kept up to date from the log.
#[derive(Debug, Default)]
pub struct Replay {
    fleet: Fleet,
    /// Entries after a gap, in order, until a snapshot covers the gap.
    buffered: Vec<Entry>,
    /// The first offset that the log's last snapshot doesn't include, and the log time of its append.
    last_snapshot: Option<(Offset, LogTime)>,
}

/// The offset of an applied entry and the result of applying it.
pub type Applied = (Offset, Result<Effect>);

impl Replay {
    /// Returns the state.
    #[must_use]
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the offset of the next entry to read.
    #[must_use]
    pub fn next_to_read(&self) -> Offset {
        self.buffered
            .last()
            .map_or_else(|| self.fleet.next_offset(), |e| e.offset.next())
    }

    /// Returns `true` if records are missing, so that the state is behind the entries that were read.
    #[must_use]
    pub fn has_gap(&self) -> bool {
        !self.buffered.is_empty()
    }

    /// Returns `true` if a snapshot should be appended now: enough records came since the last one, or
    /// the last one is older than a third of the log's retention.
    #[must_use]
    pub fn snapshot_is_due(&self, retention_ms: u64) -> bool {
        let next = self.fleet.next_offset();
        let (snapshot_next, at) = self.last_snapshot.unwrap_or_default();
        let endpoints = self.fleet.endpoints().count() as u64;
        let every = SNAPSHOT_EVERY.max(SNAPSHOT_RECORDS_PER_ENDPOINT * endpoints);
        let enough_records = next.0.saturating_sub(snapshot_next.0) >= every;
        let any_records = next.0 > snapshot_next.0 + 1;
        let is_old = self.fleet.at().millis_since(at) > retention_ms / 3;
        !self.has_gap() && (enough_records || any_records && is_old)
    }

    /// Replaces the state with a snapshot from a peer or from the log, if the snapshot is newer. An older
    /// snapshot changes nothing, so the state never goes backwards.
    ///
    /// Returns `true` if the state was replaced.
    pub fn install_snapshot(&mut self, next: Offset, fleet: Fleet) -> bool {
        let is_newer = next > self.fleet.next_offset() && fleet.next_offset() == next;
        if is_newer {
            self.fleet = fleet;
        }
        is_newer
    }

    /// Consumes the next entry of the log. Returns the results of this entry and of buffered entries, as far
    /// as they could be applied.
    pub fn push_entry(&mut self, entry: Entry) -> Vec<Applied> {
        if let Content::Snapshot { next, fleet } = &entry.content {
            self.last_snapshot = Some((*next, entry.at));
            let is_behind = entry.offset > self.fleet.next_offset() || self.has_gap();
            if is_behind && self.install_snapshot(*next, (**fleet).clone()) {
                return self.apply_buffered(entry);
            }
        }
        if self.has_gap() || entry.offset > self.fleet.next_offset() {
            self.buffer(entry);
            return Vec::new();
        }
        self.apply(&entry).into_iter().collect()
    }

    /// Installs a snapshot from a peer, and applies the buffered entries that follow it.
    pub fn install_snapshot_and_replay(&mut self, next: Offset, fleet: Fleet) -> Vec<Applied> {
        if !self.install_snapshot(next, fleet) {
            return Vec::new();
        }
        let buffered = std::mem::take(&mut self.buffered);
        buffered
            .into_iter()
            .flat_map(|e| self.push_entry(e))
            .collect()
    }

    fn apply_buffered(&mut self, last: Entry) -> Vec<Applied> {
        let mut buffered = std::mem::take(&mut self.buffered);
        buffered.push(last);
        let mut out = Vec::new();
        for e in buffered {
            if e.offset > self.fleet.next_offset() {
                self.buffer(e);
            } else {
                out.extend(self.apply(&e));
            }
        }
        out
    }

    fn buffer(&mut self, entry: Entry) {
        if self.buffered.len() >= MAX_BUFFERED {
            self.buffered.remove(0);
        }
        self.buffered.push(entry);
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
