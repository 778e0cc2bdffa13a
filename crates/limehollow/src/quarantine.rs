//! Detects requests, and parts of prompts, that crash the endpoints that run them, jointly for all VMs of a site.
//!
//! A crash interrupts all requests of an endpoint, up to 64, and doesn't show which of them caused it. Each of them
//! becomes a *suspect*. The cause differs from the others in that it is sent again and crashes one start of an endpoint
//! after the other, early in its run each time, and never completes. Such a request is *quarantined*: every VM rejects
//! it for a term that doubles with each further crash.
//!
//! The requests that crash endpoints may share only a part of their prompts. Each part but the last of a request that was
//! interrupted early is therefore kept in a record of its own, with other rules for what proves it sound: a run with the
//! part that outlived its beginning, anywhere on the site. Popular parts prove themselves all the time.
//!
//! VMs exchange records, and merging them gives the same result in any order: the starts that crashed during a request
//! are a set, and a complete answer begins a new generation with an empty set (`docs/design/crashing-requests.md`).

use crate::crash_record::{CrashRecord, StartTag, Timing};
use crate::fingerprint::{CauseKind, Fingerprint, OriginTag};
use crate::recent_answers::{PartProofs, RecentAnswers};
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
/// The time for which a part of a prompt is remembered after its last crash. Unlike a whole request it is part of other
/// requests all the time, if at all.
const PART_SUSPECT_LIFE: Duration = Duration::from_mins(1);
/// How long before a crash a run with a part may have begun to prove that the part isn't its cause. A part that has been
/// sound and turns harmful is excused for this time.
const PROOF_BEFORE_CRASH: Duration = Duration::from_secs(2);
/// How long the evidence against a part has to stand on this VM before it is quarantined, so that other VMs' proofs arrive.
const PROOF_WAIT: Duration = Duration::from_millis(400);
/// The time for which a part that was sound lately isn't cleared a second time without a new proof.
const FORGIVEN_AGAIN_AFTER: Duration = Duration::from_secs(10);
/// How long after its last crash a quarantined part gets a trial, by the number of its crashes: a request that shares parts
/// with others may have been interrupted beside the cause. With more crashes it waits until the term is over.
const TRIAL_AFTER: [(usize, Duration); 3] = [
    (3, Duration::from_secs(3)),
    (4, Duration::from_secs(10)),
    (5, Duration::from_secs(60)),
];
/// The time within which a trial shows a result.
const TRIAL_TIME: Duration = Duration::from_secs(5);
/// The number of crashes from which on a proof against them is sent to other VMs. With fewer a record has no effect.
const CONTESTED_CRASHES: usize = 2;
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
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
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
    kind: CauseKind,
    /// When this VM had the evidence that it is the cause.
    cause_since: Option<Instant>,
    /// Until when a trial is under way on this VM.
    trial_until: Option<Instant>,
    /// When this VM learned that it was cleared.
    cleared_at: Option<Instant>,
    origin: OriginTag,
    generation: u32,
    crashes: BTreeMap<StartTag, Timing>,
    /// When the last crash happened, or the request was cleared.
    last: Instant,
}

impl Row {
    fn new(now: Instant, kind: CauseKind, origin: OriginTag) -> Self {
        Self {
            kind,
            cause_since: None,
            trial_until: None,
            cleared_at: None,
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
        if self.awaits_proof(now) {
            return Duration::ZERO;
        }
        (self.last + self.term()).saturating_duration_since(now)
    }

    /// Returns `true` if the term of the quarantine is over, or there is none.
    fn is_over(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last) >= self.term()
    }

    /// Returns `true` while other VMs may still prove that a part isn't the cause.
    fn awaits_proof(&self, now: Instant) -> bool {
        let is_recent = |t: Instant| now.saturating_duration_since(t) < PROOF_WAIT;
        self.kind == CauseKind::Part && self.cause_since.is_none_or(is_recent)
    }

    /// Returns `true` if a request with the part may be tried now.
    fn may_try(&self, now: Instant) -> bool {
        let after = TRIAL_AFTER.iter().find(|(n, _)| *n == self.crashes.len());
        let is_due =
            after.is_some_and(|(_, after)| now.saturating_duration_since(self.last) >= *after);
        let is_under_way = self.trial_until.is_some_and(|t| now < t);
        self.kind == CauseKind::Part && is_due && !is_under_way
    }

    /// Returns how the request or part has to be treated.
    fn standing(&self, now: Instant) -> Standing {
        let remaining = self.remaining(now);
        if !remaining.is_zero() {
            return Standing::Quarantined(remaining);
        }
        // A part is carried by many requests, so only one that is about to be quarantined is isolated.
        match self.kind {
            CauseKind::Part if !self.is_cause() => Standing::Clear,
            CauseKind::Part | CauseKind::Request => Standing::Suspect,
        }
    }

    /// Returns the time for which the record is kept after its last change.
    fn lifetime(&self) -> Duration {
        if self.is_cause() {
            self.term() + REMEMBERED_FOR
        } else if self.kind == CauseKind::Part {
            PART_SUSPECT_LIFE
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
    /// When the last run with each part began that outlived its beginning.
    proofs: PartProofs,
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
        let row = self.rows.get(&request).filter(|r| !r.crashes.is_empty());
        row.map_or(Standing::Clear, |r| r.standing(now))
    }

    /// Returns which of several causes has the strictest standing, and that standing.
    pub fn strictest<I>(&self, now: Instant, causes: I) -> Option<(Fingerprint, Standing)>
    where
        I: IntoIterator<Item = Fingerprint>,
    {
        let all = causes.into_iter().map(|c| (c, self.standing(now, c)));
        all.max_by_key(|(_, s)| *s)
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
        let is_part = request.kind() == CauseKind::Part;
        if is_part && (timing == Timing::Late || self.is_excused(request, now)) {
            return Outcome::default();
        }
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

    /// Begins a trial of a quarantined part, if one is due: a single request with it may run. Only one VM of the site does so.
    pub fn begin_trial(&mut self, now: Instant, part: Fingerprint) -> bool {
        let Some(row) = self.rows.get_mut(&part).filter(|r| r.may_try(now)) else {
            return false;
        };
        row.trial_until = Some(now + TRIAL_TIME);
        true
    }

    /// Records that a run with a part of a prompt outlived its beginning, which was at `began`. Returns `true` if that
    /// proves the part sound, and others have to learn of it.
    pub fn record_proof(&mut self, now: Instant, part: Fingerprint, began: Instant) -> bool {
        self.proofs.record(now, part, began);
        let row = self.rows.get(&part);
        let is_contested = row.is_some_and(|r| {
            r.crashes.len() >= CONTESTED_CRASHES && began + PROOF_BEFORE_CRASH >= r.last
        });
        is_contested && self.clear(now, part)
    }

    /// Returns `true` if a run with a part began lately before a crash, or after it, and outlived its beginning.
    fn is_excused(&self, part: Fingerprint, crashed: Instant) -> bool {
        let began = self.proofs.last_began(part);
        began.is_some_and(|t| t + PROOF_BEFORE_CRASH >= crashed)
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
            .unwrap_or_else(|| Row::new(last, other.request.kind(), other.origin));
        if other.generation < row.generation {
            return Outcome::default();
        }
        let was_quarantined = row.is_cause() && !row.is_over(now);
        if other.generation > row.generation {
            row = Row {
                generation: other.generation,
                cleared_at: Some(now),
                ..Row::new(last, other.request.kind(), other.origin)
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
        if row.is_cause() {
            row.cause_since.get_or_insert(now);
        }
        let has_crashes = !row.crashes.is_empty();
        let is_proven = match row.kind {
            CauseKind::Request => has_crashes && self.answers.contains(now, other.request),
            CauseKind::Part => {
                row.crashes.len() >= CONTESTED_CRASHES && self.is_excused(other.request, row.last)
            }
        };
        let is_new = self.store(now, other.request, row.clone());
        if is_proven {
            self.clear(now, other.request);
            return Outcome {
                is_new,
                is_quarantined: false,
            };
        }
        if row.kind == CauseKind::Part && row.is_cause() {
            self.clear_doubtful_parts(now);
        }
        Outcome {
            is_new,
            is_quarantined: is_new && !was_quarantined && row.is_cause() && !row.is_over(now),
        }
    }

    /// Clears the parts that seem to be causes, of which this VM knows that they were sound within a minute, if other parts
    /// explain their crashes, or if they were never cleared lately.
    ///
    /// What shares requests with a cause is interrupted with it. The cause itself was never sound, unless it has just
    /// turned harmful; then it has to crash endpoints once more as often.
    fn clear_doubtful_parts(&mut self, now: Instant) {
        let causes = self.rows.iter();
        let causes = causes.filter(|(_, r)| r.kind == CauseKind::Part && r.is_cause());
        let (sound, unknown): (Vec<_>, Vec<_>) =
            causes.partition(|(part, _)| self.proofs.contains(now, **part));
        let explained: BTreeSet<StartTag> = unknown
            .iter()
            .flat_map(|(_, r)| r.crashes.keys().copied())
            .collect();
        let is_doubtful = |r: &Row| {
            let left = r.crashes.keys().filter(|s| !explained.contains(s)).count();
            let was_cleared = r
                .cleared_at
                .is_some_and(|t| now.saturating_duration_since(t) < FORGIVEN_AGAIN_AFTER);
            left < EARLY_CRASHES || !was_cleared
        };
        let doubtful = sound.into_iter().filter(|(_, r)| is_doubtful(r));
        let doubtful: Vec<Fingerprint> = doubtful.map(|(part, _)| *part).collect();
        for part in doubtful {
            self.clear(now, part);
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
