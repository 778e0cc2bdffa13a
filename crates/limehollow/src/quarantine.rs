//! Detects requests that crash the endpoints that run them, jointly for all VMs of a site.
//!
//! A crash interrupts all requests of an endpoint, up to 64, and doesn't show which of them caused it. Each of them
//! becomes a *suspect*. The cause differs from the others in that it is sent again and crashes one start of an endpoint
//! after the other, early in its run each time, and never completes. Such a request is *quarantined*: every VM rejects
//! it for a term that doubles with each further crash.
//!
//! VMs exchange records, and merging them gives the same result in any order: the starts that crashed during a request
//! are a set, and a complete answer begins a new generation with an empty set (`docs/design/crashing-requests.md`).

use crate::crash_record::{CrashRecord, StartTag, Timing};
use crate::fingerprint::{Fingerprint, OriginTag};
use crate::recent_answers::RecentAnswers;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::Hasher;
use std::time::Duration;
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

/// The number of early crashes after which a request counts as the cause.
///
/// A stream that merely runs beside the cause is interrupted that early in one of six crashes, so three times in a row
/// in one of 200.
const EARLY_CRASHES: usize = 3;
/// The number of crashes of any timing after which a request counts as the cause.
///
/// This also stops a cause that takes longer than [`crate::crash_record::EARLY`]. The requests of callers who retry at
/// once are quarantined after five crashes in a row.
const ALL_CRASHES: usize = 5;
/// The term of the first quarantine. Callers give up on a request after half a minute at most, and a fix of a model or
/// a program is rolled out in minutes.
const FIRST_TERM: Duration = Duration::from_mins(10);
/// The time for which a suspect is remembered after its last crash: as long as the first term.
const SUSPECT_LIFE: Duration = FIRST_TERM;
/// The time for which a quarantined request is remembered after its term; until then it is a suspect.
const REMEMBERED_FOR: Duration = Duration::from_hours(24);
/// The maximum number of starts in a record; with it the term grows up to 32 times the first one.
const MAX_CRASHES: usize = 8;
/// The maximum number of records: all requests of 64 full endpoints. They take 0.7 MB in memory and 0.13 MB to send.
pub const MAX_RECORDS: usize = 4096;
/// The number of messages that carry a record after an early crash, since several datagrams in a row may be lost.
/// Records of late crashes, which are the majority, are sent once: a VM that misses one notices by the digest.
const EARLY_CRASH_SENDS: u32 = 3;
/// The number of remembered digests of contained states: those of a few seconds in a burst of crashes.
const MAX_CONTAINED: usize = 256;
/// The maximum number of records in one message, so that it fits in a few packets.
const MAX_BATCH: usize = 16;

/// The state of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// No crash is known.
    Clear,
    /// It may have crashed endpoints, and has to run where a crash interrupts the fewest other requests.
    Suspect,
    /// It is rejected, for this remaining time.
    Quarantined(Duration),
}

/// The result of a change to a request's record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Whether the record changed.
    pub is_new: bool,
    /// Whether the change put the request into quarantine.
    pub is_quarantined: bool,
}

#[derive(Clone, Debug)]
struct Row {
    origin: OriginTag,
    generation: u32,
    crashes: BTreeMap<StartTag, Timing>,
    /// When the last crash happened, or the request was cleared.
    last: Instant,
}

impl Row {
    fn new(now: Instant, origin: OriginTag) -> Self {
        Self {
            origin,
            generation: 0,
            crashes: BTreeMap::new(),
            last: now,
        }
    }

    /// Returns `true` if the crashes show the request to be the cause.
    fn is_cause(&self) -> bool {
        let early = self.crashes.values().filter(|t| **t == Timing::Early);
        early.count() >= EARLY_CRASHES || self.crashes.len() >= ALL_CRASHES
    }

    /// Returns the time for which the request is rejected after its last crash.
    fn term(&self) -> Duration {
        if !self.is_cause() {
            return Duration::ZERO;
        }
        let more = self.crashes.len().saturating_sub(EARLY_CRASHES);
        let doublings = u32::try_from(more).unwrap_or(u32::MAX);
        FIRST_TERM * 2_u32.saturating_pow(doublings)
    }

    /// Returns the remaining time of the quarantine.
    fn remaining(&self, now: Instant) -> Duration {
        (self.last + self.term()).saturating_duration_since(now)
    }

    /// Returns the time for which the record is kept after its last change.
    fn lifetime(&self) -> Duration {
        if self.is_cause() {
            self.term() + REMEMBERED_FOR
        } else {
            SUSPECT_LIFE
        }
    }

    /// Returns `true` if the record has expired.
    fn is_expired(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last) >= self.lifetime()
    }

    fn digest(&self, request: Fingerprint) -> u64 {
        let mut h = Xxh3::new();
        h.write(request.as_bytes());
        h.write_u32(self.generation);
        for (start, timing) in &self.crashes {
            start.hash_into(&mut h);
            h.write_u8(u8::from(*timing == Timing::Early));
        }
        h.digest()
    }

    fn record(&self, now: Instant, request: Fingerprint) -> CrashRecord {
        let age = now.saturating_duration_since(self.last).as_millis();
        CrashRecord {
            request,
            origin: self.origin,
            generation: self.generation,
            crashes: self.crashes.clone(),
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        }
    }
}

/// A record that is still to be sent to other VMs.
#[derive(Clone, Copy, Debug)]
struct PendingRecord {
    request: Fingerprint,
    /// The number of messages that still have to carry it.
    times: u32,
    /// Whether this VM recorded it itself, and so sends it to other zones as well.
    is_own: bool,
}

/// The records that go into the next messages.
#[derive(Clone, Debug, Default)]
pub struct RecordBatch {
    /// The records for the VMs of the own zone.
    pub own_zone: Vec<CrashRecord>,
    /// The records for other zones.
    pub other_zones: Vec<CrashRecord>,
}

/// One VM's records of requests that may crash endpoints.
#[derive(Debug, Default)]
pub struct Quarantine {
    rows: BTreeMap<Fingerprint, Row>,
    /// The digests of all rows, combined by XOR so that their order doesn't matter.
    digest: u64,
    /// The digests of states that this one contains, the latest first: former ones of its own, and those of VMs that
    /// sent all their records.
    contained: VecDeque<u64>,
    /// When the digest changed last.
    changed: Option<Instant>,
    /// The requests that completed recently.
    answers: RecentAnswers,
    /// The records that are still to be sent.
    pending: VecDeque<PendingRecord>,
    /// The requests whose quarantine or clearing isn't saved outside this process yet.
    unsaved: BTreeSet<Fingerprint>,
}

/// Queries.
impl Quarantine {
    /// Returns the state of a request.
    #[must_use]
    pub fn standing(&self, now: Instant, request: Fingerprint) -> Standing {
        let Some(row) = self.rows.get(&request).filter(|r| !r.crashes.is_empty()) else {
            return Standing::Clear;
        };
        let remaining = row.remaining(now);
        if remaining.is_zero() {
            Standing::Suspect
        } else {
            Standing::Quarantined(remaining)
        }
    }

    /// Returns the quarantined requests, with the remaining time and the number of crashes of each.
    pub fn quarantined(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (Fingerprint, Duration, usize)> {
        let rows = self.rows.iter().map(move |(f, r)| (f, r, r.remaining(now)));
        rows.filter(|(_, _, remaining)| !remaining.is_zero())
            .map(|(f, r, remaining)| (*f, remaining, r.crashes.len()))
    }

    /// Returns the number of requests during which endpoints crashed.
    #[must_use]
    pub fn suspects(&self) -> usize {
        let rows = self.rows.values();
        rows.filter(|r| !r.crashes.is_empty()).count()
    }

    /// Returns the digest of all records; it is the same on two VMs that have the same records.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns `true` if all records of a VM with this digest are known here.
    #[must_use]
    pub fn contains(&self, digest: u64) -> bool {
        digest == self.digest || self.contained.contains(&digest)
    }

    /// Returns the time since the last change, or `None` if nothing has changed yet.
    #[must_use]
    pub fn unchanged_for(&self, now: Instant) -> Option<Duration> {
        self.changed.map(|t| now.saturating_duration_since(t))
    }

    /// Returns all records, for a VM whose digest differs.
    #[must_use]
    pub fn records(&self, now: Instant) -> Vec<CrashRecord> {
        let rows = self.rows.iter();
        rows.map(|(f, r)| r.record(now, *f)).collect()
    }

    /// Returns the record of a request.
    #[must_use]
    pub fn record(&self, now: Instant, request: Fingerprint) -> Option<CrashRecord> {
        self.rows.get(&request).map(|r| r.record(now, request))
    }

    /// Returns a request whose quarantine or clearing isn't saved outside this process yet.
    #[must_use]
    pub fn unsaved(&self) -> Option<Fingerprint> {
        self.unsaved.first().copied()
    }
}

/// Commands.
impl Quarantine {
    /// Marks all quarantined requests as unsaved, because the platform's store has lost its latest writes.
    pub fn mark_all_unsaved(&mut self, now: Instant) {
        let all: Vec<Fingerprint> = self.quarantined(now).map(|(request, ..)| request).collect();
        for request in all {
            self.mark_unsaved(request);
        }
    }

    /// Records that a start of an endpoint crashed during a request.
    pub fn record_crash(
        &mut self,
        now: Instant,
        (request, origin): (Fingerprint, OriginTag),
        start: StartTag,
        timing: Timing,
    ) -> Outcome {
        let known = self.rows.get(&request);
        let record = CrashRecord {
            request,
            origin,
            generation: known.map_or(0, |r| r.generation),
            crashes: BTreeMap::from([(start, timing)]),
            age_ms: 0,
        };
        let outcome = self.apply(now, &record);
        if outcome.is_new {
            let is_early = timing == Timing::Early;
            self.queue_own(request, if is_early { EARLY_CRASH_SENDS } else { 1 });
        }
        if outcome.is_quarantined {
            self.unsaved.insert(request);
        }
        outcome
    }

    /// Records that an endpoint completed a request, and clears it. Returns `true` if it was a suspect or in
    /// quarantine.
    pub fn record_answer(&mut self, now: Instant, request: Fingerprint) -> bool {
        self.answers.record(now, request);
        self.clear(now, request)
    }

    /// Clears a request, because an endpoint completed it or an operator asked for it. Returns `true` if it was a
    /// suspect or in quarantine.
    pub fn clear(&mut self, now: Instant, request: Fingerprint) -> bool {
        let Some(row) = self.rows.get(&request).filter(|r| !r.crashes.is_empty()) else {
            return false;
        };
        let was_cause = row.is_cause();
        let record = CrashRecord {
            request,
            origin: row.origin,
            generation: row.generation.saturating_add(1),
            crashes: BTreeMap::new(),
            age_ms: 0,
        };
        self.apply(now, &record);
        self.queue_own(request, EARLY_CRASH_SENDS);
        if was_cause {
            self.unsaved.insert(request);
        }
        true
    }

    /// Merges another VM's record of a request.
    pub fn merge(&mut self, now: Instant, other: &CrashRecord) -> Outcome {
        let outcome = self.apply(now, other);
        if outcome.is_quarantined {
            self.queue_relayed(other.request);
        }
        outcome
    }

    fn apply(&mut self, now: Instant, other: &CrashRecord) -> Outcome {
        let ago = Duration::from_millis(u64::from(other.age_ms));
        let last = now.checked_sub(ago).unwrap_or(now);
        let known = self.rows.get(&other.request);
        let mut row = known
            .cloned()
            .unwrap_or_else(|| Row::new(last, other.origin));
        if other.generation < row.generation {
            return Outcome::default();
        }
        let was_quarantined = !row.remaining(now).is_zero();
        if other.generation > row.generation {
            row = Row {
                generation: other.generation,
                ..Row::new(last, other.origin)
            };
        }
        row.origin = row.origin.min(other.origin);
        row.last = row.last.max(last);
        for (start, timing) in &other.crashes {
            // If two VMs report different timings for one start, the same one wins on every VM.
            let known_timing = row.crashes.entry(*start).or_insert(*timing);
            *known_timing = (*known_timing).min(*timing);
        }
        while row.crashes.len() > MAX_CRASHES {
            row.crashes.pop_last();
        }
        if row.is_expired(now) {
            return Outcome::default();
        }
        let has_crashes = !row.crashes.is_empty();
        let is_new = self.store(now, other.request, row.clone());
        if has_crashes && self.answers.contains(now, other.request) {
            self.clear(now, other.request);
            return Outcome {
                is_new,
                is_quarantined: false,
            };
        }
        Outcome {
            is_new,
            is_quarantined: is_new && !was_quarantined && !row.remaining(now).is_zero(),
        }
    }

    /// Stores a row. Returns `true` if it changed the digest.
    fn store(&mut self, now: Instant, request: Fingerprint, row: Row) -> bool {
        if self.rows.len() >= MAX_RECORDS && !self.rows.contains_key(&request) {
            self.evict_one(now);
        }
        let digest = row.digest(request);
        let former = self.rows.insert(request, row);
        let former = former.map(|r| r.digest(request));
        if former == Some(digest) {
            return false;
        }
        self.set_digest(now, self.digest ^ digest ^ former.unwrap_or(0));
        true
    }

    /// Removes the oldest record of the origin that has the most records, quarantined ones last. A caller who sends
    /// ever new crashing requests thus evicts only records of their own.
    fn evict_one(&mut self, now: Instant) {
        let mut counts: BTreeMap<OriginTag, usize> = BTreeMap::new();
        for r in self.rows.values() {
            *counts.entry(r.origin).or_default() += 1;
        }
        let rank = |(_, r): &(&Fingerprint, &Row)| {
            let free = r.remaining(now).is_zero();
            let age = now.saturating_duration_since(r.last);
            (counts.get(&r.origin).copied(), free, age)
        };
        let oldest = self.rows.iter().max_by_key(rank).map(|(f, _)| *f);
        if let Some(f) = oldest {
            self.remove(now, f);
        }
    }

    fn remove(&mut self, now: Instant, request: Fingerprint) {
        if let Some(row) = self.rows.remove(&request) {
            self.set_digest(now, self.digest ^ row.digest(request));
        }
    }

    /// Sets the digest and remembers the former one as contained.
    fn set_digest(&mut self, now: Instant, digest: u64) {
        self.mark_contained(self.digest);
        self.digest = digest;
        self.changed = Some(now);
    }

    /// Records that all records of a VM with this digest are known here.
    pub fn mark_contained(&mut self, digest: u64) {
        self.contained.push_front(digest);
        self.contained.truncate(MAX_CONTAINED);
    }

    /// Queues a record of this VM for the next `times` messages.
    fn queue_own(&mut self, request: Fingerprint, times: u32) {
        self.pending.retain(|p| p.request != request);
        self.pending.push_back(PendingRecord {
            request,
            times,
            is_own: true,
        });
    }

    /// Queues a record of another VM for the next message to the VMs of the own zone.
    ///
    /// A VM sends a record once when it quarantines the request because of it. With two of three messages lost, it took
    /// up to 2.7 s until all of 71 VMs had quarantined a request, and 1.7 s with this.
    fn queue_relayed(&mut self, request: Fingerprint) {
        if self.pending.iter().all(|p| p.request != request) {
            self.pending.push_back(PendingRecord {
                request,
                times: 1,
                is_own: false,
            });
        }
    }

    /// Removes and returns the records for the next messages.
    pub fn take_batch(&mut self, now: Instant) -> RecordBatch {
        let due = self.pending.len().min(MAX_BATCH);
        let due: Vec<PendingRecord> = self.pending.drain(..due).collect();
        let mut batch = RecordBatch::default();
        for p in due {
            let Some(record) = self.record(now, p.request) else {
                continue;
            };
            if p.is_own {
                batch.other_zones.push(record.clone());
            }
            batch.own_zone.push(record);
            if p.times > 1 {
                self.pending.push_back(PendingRecord {
                    times: p.times - 1,
                    ..p
                });
            }
        }
        batch
    }

    /// Marks a request whose quarantine or clearing has to be saved outside this process.
    pub fn mark_unsaved(&mut self, request: Fingerprint) {
        self.unsaved.insert(request);
    }

    /// Marks a request as saved.
    pub fn mark_saved(&mut self, request: Fingerprint) {
        self.unsaved.remove(&request);
    }

    /// Removes expired records and returns those requests that were once quarantined.
    pub fn sweep(&mut self, now: Instant) -> Vec<Fingerprint> {
        let expired = self.rows.iter().filter(|(_, r)| r.is_expired(now));
        let expired: Vec<(Fingerprint, bool)> = expired.map(|(f, r)| (*f, r.is_cause())).collect();
        for (f, _) in &expired {
            self.remove(now, *f);
        }
        let causes = expired.into_iter().filter(|(_, is_cause)| *is_cause);
        causes.map(|(f, _)| f).collect()
    }
}
