//! Which requests crash the endpoints that run them, as the VMs of a site find out together.
//!
//! A crash takes with it all that an endpoint ran, up to 64 requests, and doesn't say which of them caused it. Each of
//! them is a *suspect* then. What tells the cause from those beside it is that it comes again and crashes one start of
//! an endpoint after the other, early in its run each time, and never gets to its end. Such a request is *quarantined*: it
//! is refused, by every VM, for a term that doubles with each further crash.
//!
//! VMs tell each other records, which merge in any order to the same result: the starts that ended under a request are a
//! set, and a whole answer begins a new generation with an empty one (`docs/design/crashing-requests.md`).

use crate::crash_record::{CrashRecord, StartTag, Timing};
use crate::fingerprint::{Fingerprint, OriginTag};
use crate::recent_answers::RecentAnswers;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::Hasher;
use std::time::Duration;
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

/// Early crashes that show a request to be the cause. A stream that merely runs beside the cause is hit as early as that in one
/// of six crashes, so three times in a row in one of 200.
const EARLY_CRASHES: usize = 3;
/// Crashes of any kind that do: a cause that needs longer than [`crate::crash_record::EARLY`] is stopped by it, too. Callers who send a
/// request again at once lose it after five crashes in a row.
const ALL_CRASHES: usize = 5;
/// For how long a request is refused after the crash that showed it, the first time. Callers give a request up after half a
/// minute at most, and what fixes a model or a program is rolled out in minutes.
const FIRST_TERM: Duration = Duration::from_mins(10);
/// For how long a suspect is remembered after its last crash: as long as the first term.
const SUSPECT_LIFE: Duration = FIRST_TERM;
/// For how long a quarantined request is remembered after its term: one that comes back then has to prove itself.
const REMEMBERED_FOR: Duration = Duration::from_hours(24);
/// Starts of endpoints that a record names at most; the terms grow up to 32 times the first one with them.
const MAX_CRASHES: usize = 8;
/// Records that are kept at most: all that ran on 64 full endpoints; 0.7 MB in memory, 0.13 MB to tell another VM.
pub const MAX_RECORDS: usize = 4096;
/// How many messages carry a record after an early crash, since some datagrams in a row may be lost. Records of late ones, which
/// are most, go once: who misses them sees it by the digest.
const TOLD_TIMES: u32 = 3;
/// Digests that are remembered as part of what is known: those of some seconds in a burst of crashes.
const MAX_CONTAINED: usize = 256;
/// Records in one message at most, so that it fits in few packets.
const MAX_TOLD: usize = 16;

/// How a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nothing speaks against it.
    Clear,
    /// It may have crashed endpoints: it is to run where it takes the fewest others along.
    Suspect,
    /// It is refused, for so long from now on.
    Quarantined(Duration),
}

/// What a change made of a request's standing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Whether anything is new.
    pub is_new: bool,
    /// Whether the request is quarantined by it.
    pub is_quarantined: bool,
}

#[derive(Clone, Debug)]
struct Row {
    origin: OriginTag,
    generation: u32,
    crashes: BTreeMap<StartTag, Timing>,
    /// When the last of them ended, or it was cleared.
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

    fn is_convicted(&self) -> bool {
        let early = self.crashes.values().filter(|t| **t == Timing::Early);
        early.count() >= EARLY_CRASHES || self.crashes.len() >= ALL_CRASHES
    }

    /// Gives for how long it is refused after its last crash.
    fn term(&self) -> Duration {
        if !self.is_convicted() {
            return Duration::ZERO;
        }
        let more = self.crashes.len().saturating_sub(EARLY_CRASHES);
        let doublings = u32::try_from(more).unwrap_or(u32::MAX);
        FIRST_TERM * 2_u32.saturating_pow(doublings)
    }

    fn left(&self, now: Instant) -> Duration {
        (self.last + self.term()).saturating_duration_since(now)
    }

    fn life(&self) -> Duration {
        if self.is_convicted() {
            self.term() + REMEMBERED_FOR
        } else {
            SUSPECT_LIFE
        }
    }

    fn is_over(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last) >= self.life()
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

/// A record that is still to be told.
#[derive(Clone, Copy, Debug)]
struct PendingRecord {
    request: Fingerprint,
    /// How many more messages carry it.
    times: u32,
    /// Whether this VM noted it, and so tells the other zones as well.
    is_own: bool,
}

/// The records that go into the next messages.
#[derive(Clone, Debug, Default)]
pub struct RecordBatch {
    /// Into that for the VMs of the own zone.
    pub own_zone: Vec<CrashRecord>,
    /// Into that for other zones.
    pub other_zones: Vec<CrashRecord>,
}

/// What one VM knows of requests that may crash endpoints.
#[derive(Debug, Default)]
pub struct Quarantine {
    rows: BTreeMap<Fingerprint, Row>,
    /// The digests of all rows, combined so that their order doesn't matter.
    digest: u64,
    /// Digests of what is part of this, the latest first: former ones of its own, and those of VMs that told all they know.
    contained: VecDeque<u64>,
    /// When the digest changed last.
    changed: Option<Instant>,
    /// What ran to its end lately.
    answers: RecentAnswers,
    /// What is still to be told.
    untold: VecDeque<PendingRecord>,
    /// What was quarantined or cleared and isn't kept outside this process yet.
    unsaved: BTreeSet<Fingerprint>,
}

/// Queries.
impl Quarantine {
    /// Tells how a request stands.
    #[must_use]
    pub fn standing(&self, now: Instant, request: Fingerprint) -> Standing {
        let Some(row) = self.rows.get(&request).filter(|r| !r.crashes.is_empty()) else {
            return Standing::Clear;
        };
        let left = row.left(now);
        if left.is_zero() {
            Standing::Suspect
        } else {
            Standing::Quarantined(left)
        }
    }

    /// Gives the quarantined requests and for how long they stay so, with the crashes that showed them.
    pub fn quarantined(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (Fingerprint, Duration, usize)> {
        let rows = self.rows.iter().map(move |(f, r)| (f, r, r.left(now)));
        rows.filter(|(_, _, left)| !left.is_zero())
            .map(|(f, r, left)| (*f, left, r.crashes.len()))
    }

    /// Counts the requests that endpoints have ended under.
    #[must_use]
    pub fn suspects(&self) -> usize {
        let rows = self.rows.values();
        rows.filter(|r| !r.crashes.is_empty()).count()
    }

    /// Gives what two VMs have in common if they know the same.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Tells whether a VM with this digest knows nothing else.
    #[must_use]
    pub fn contains(&self, digest: u64) -> bool {
        digest == self.digest || self.contained.contains(&digest)
    }

    /// Tells for how long nothing has changed; none if nothing ever has.
    #[must_use]
    pub fn unchanged_for(&self, now: Instant) -> Option<Duration> {
        self.changed.map(|t| now.saturating_duration_since(t))
    }

    /// Gives all records, for a VM that knows other ones.
    #[must_use]
    pub fn records(&self, now: Instant) -> Vec<CrashRecord> {
        let rows = self.rows.iter();
        rows.map(|(f, r)| r.record(now, *f)).collect()
    }

    /// Gives what is known of a request.
    #[must_use]
    pub fn record(&self, now: Instant, request: Fingerprint) -> Option<CrashRecord> {
        self.rows.get(&request).map(|r| r.record(now, request))
    }

    /// Gives a request whose quarantine, or whose end, isn't kept outside this process yet.
    #[must_use]
    pub fn unsaved(&self) -> Option<Fingerprint> {
        self.unsaved.first().copied()
    }
}

/// Commands.
impl Quarantine {
    /// Has all quarantined requests kept again: the platform's store has lost what was written there lately.
    pub fn mark_all_unsaved(&mut self, now: Instant) {
        let all: Vec<Fingerprint> = self.quarantined(now).map(|(request, ..)| request).collect();
        for request in all {
            self.mark_unsaved(request);
        }
    }

    /// Notes that a start of an endpoint crashed while it had a request.
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
        let outcome = self.take_in(now, &record);
        if outcome.is_new {
            let is_early = timing == Timing::Early;
            self.tell(request, if is_early { TOLD_TIMES } else { 1 });
        }
        if outcome.is_quarantined {
            self.unsaved.insert(request);
        }
        outcome
    }

    /// Notes that an endpoint has run a request to its end. Gives whether anything spoke against it, which it does no more.
    pub fn record_answer(&mut self, now: Instant, request: Fingerprint) -> bool {
        self.answers.record(now, request);
        self.clear(now, request)
    }

    /// Clears a request: an endpoint has run it to its end, or an operator says so. Gives whether anything spoke against
    /// it.
    pub fn clear(&mut self, now: Instant, request: Fingerprint) -> bool {
        let Some(row) = self.rows.get(&request).filter(|r| !r.crashes.is_empty()) else {
            return false;
        };
        let was_convicted = row.is_convicted();
        let record = CrashRecord {
            request,
            origin: row.origin,
            generation: row.generation.saturating_add(1),
            crashes: BTreeMap::new(),
            age_ms: 0,
        };
        self.take_in(now, &record);
        self.tell(request, TOLD_TIMES);
        if was_convicted {
            self.unsaved.insert(request);
        }
        true
    }

    /// Takes in what another VM knows of a request.
    pub fn merge(&mut self, now: Instant, other: &CrashRecord) -> Outcome {
        let outcome = self.take_in(now, other);
        if outcome.is_quarantined {
            self.tell_again(other.request);
        }
        outcome
    }

    fn take_in(&mut self, now: Instant, other: &CrashRecord) -> Outcome {
        let ago = Duration::from_millis(u64::from(other.age_ms));
        let last = now.checked_sub(ago).unwrap_or(now);
        let known = self.rows.get(&other.request);
        let mut row = known
            .cloned()
            .unwrap_or_else(|| Row::new(last, other.origin));
        if other.generation < row.generation {
            return Outcome::default();
        }
        let was_held = !row.left(now).is_zero();
        if other.generation > row.generation {
            row = Row {
                generation: other.generation,
                ..Row::new(last, other.origin)
            };
        }
        row.origin = row.origin.min(other.origin);
        row.last = row.last.max(last);
        for (start, timing) in &other.crashes {
            // Of two words on one start the same one wins on every VM.
            let kept = row.crashes.entry(*start).or_insert(*timing);
            *kept = (*kept).min(*timing);
        }
        while row.crashes.len() > MAX_CRASHES {
            row.crashes.pop_last();
        }
        if row.is_over(now) {
            return Outcome::default();
        }
        let has_crashes = !row.crashes.is_empty();
        let is_new = self.put(now, other.request, row.clone());
        if has_crashes && self.answers.contains(now, other.request) {
            self.clear(now, other.request);
            return Outcome {
                is_new,
                is_quarantined: false,
            };
        }
        Outcome {
            is_new,
            is_quarantined: is_new && !was_held && !row.left(now).is_zero(),
        }
    }

    /// Keeps a row. Gives whether it says anything new.
    fn put(&mut self, now: Instant, request: Fingerprint, row: Row) -> bool {
        if self.rows.len() >= MAX_RECORDS && !self.rows.contains_key(&request) {
            self.make_room(now);
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

    /// Drops the oldest record of the origin that has the most, one that is in quarantine last: a caller who makes
    /// crashing requests anew each time pushes out his own.
    fn make_room(&mut self, now: Instant) {
        let mut counts: BTreeMap<OriginTag, usize> = BTreeMap::new();
        for r in self.rows.values() {
            *counts.entry(r.origin).or_default() += 1;
        }
        let rank = |(_, r): &(&Fingerprint, &Row)| {
            let free = r.left(now).is_zero();
            let age = now.saturating_duration_since(r.last);
            (counts.get(&r.origin).copied(), free, age)
        };
        let victim = self.rows.iter().max_by_key(rank).map(|(f, _)| *f);
        if let Some(f) = victim {
            self.remove(now, f);
        }
    }

    fn remove(&mut self, now: Instant, request: Fingerprint) {
        if let Some(row) = self.rows.remove(&request) {
            self.set_digest(now, self.digest ^ row.digest(request));
        }
    }

    fn set_digest(&mut self, now: Instant, digest: u64) {
        self.mark_contained(self.digest);
        self.digest = digest;
        self.changed = Some(now);
    }

    /// Notes that all is known that a VM with this digest knows.
    pub fn mark_contained(&mut self, digest: u64) {
        self.contained.push_front(digest);
        self.contained.truncate(MAX_CONTAINED);
    }

    /// Puts a record into the next messages.
    fn tell(&mut self, request: Fingerprint, times: u32) {
        self.untold.retain(|u| u.request != request);
        self.untold.push_back(PendingRecord {
            request,
            times,
            is_own: true,
        });
    }

    /// Puts a record that came from another VM into the next message for the VMs of the zone.
    ///
    /// A VM that has just become sure of a request says so once: with two of three messages lost, 71 VMs were sure after up to
    /// 2.7 s, and 1.7 s with this.
    fn tell_again(&mut self, request: Fingerprint) {
        if self.untold.iter().all(|u| u.request != request) {
            self.untold.push_back(PendingRecord {
                request,
                times: 1,
                is_own: false,
            });
        }
    }

    /// Takes the records that go into the next messages.
    pub fn take_batch(&mut self, now: Instant) -> RecordBatch {
        let due = self.untold.len().min(MAX_TOLD);
        let due: Vec<PendingRecord> = self.untold.drain(..due).collect();
        let mut told = RecordBatch::default();
        for u in due {
            let Some(record) = self.record(now, u.request) else {
                continue;
            };
            if u.is_own {
                told.other_zones.push(record.clone());
            }
            told.own_zone.push(record);
            if u.times > 1 {
                self.untold.push_back(PendingRecord {
                    times: u.times - 1,
                    ..u
                });
            }
        }
        told
    }

    /// Notes that a request's quarantine, or its end, is to be kept outside this process.
    pub fn mark_unsaved(&mut self, request: Fingerprint) {
        self.unsaved.insert(request);
    }

    /// Notes that it is kept.
    pub fn mark_saved(&mut self, request: Fingerprint) {
        self.unsaved.remove(&request);
    }

    /// Forgets what was too long ago. Gives the requests that were in quarantine once.
    pub fn sweep(&mut self, now: Instant) -> Vec<Fingerprint> {
        let over = self.rows.iter().filter(|(_, r)| r.is_over(now));
        let over: Vec<(Fingerprint, bool)> = over.map(|(f, r)| (*f, r.is_convicted())).collect();
        for (f, _) in &over {
            self.remove(now, *f);
        }
        let convicted = over.into_iter().filter(|(_, is_convicted)| *is_convicted);
        convicted.map(|(f, _)| f).collect()
    }
}
