//! Grants the slots of brittle endpoints, so that all VMs together send them few requests that they would have to reject.
//!
//! A brittle endpoint fails when it rejects more than a stated number of requests within a second. One VM, the
//! coordinator, therefore grants its slots to all VMs, and bounds two sums for each endpoint (`docs/design/brittle.md`):
//!
//! * the requests there: grants are counted at once, and each VM reports what it holds;
//! * the rejections that can still come: those of the last second, and the grants of which it isn't known yet whether the
//!   endpoint rejected the request. The second sum holds whatever is wrong with the first, and each of its terms expires.
//!
//! [`SlotLedger`] is the coordinator's part and [`SlotHoldings`] the part of the VM that sends the requests.
//!
//! ```
//! use limehollow::id::EndpointKey;
//! use limehollow::slot_ledger::{Capacity, REJECTION_WINDOW, SlotLedger};
//! use slotmap::SlotMap;
//! use tokio::time::Instant;
//!
//! let mut keys: SlotMap<EndpointKey, ()> = SlotMap::with_key();
//! let (now, key) = (Instant::now(), keys.insert(()));
//! let capacity = Capacity { slots: 1, kv_tokens: None, bears: 4.0 };
//! let mut ledger = SlotLedger::new(now, 7);
//! let now = now + REJECTION_WINDOW;
//! assert!(ledger.grant(now, &"vm-1".into(), key, capacity, 100).is_some());
//! assert!(ledger.grant(now, &"vm-2".into(), key, capacity, 100).is_none());
//! ```

use crate::balance::Taken;
use crate::id::EndpointKey;
use serde::{Deserialize, Serialize};
use slotmap::SecondaryMap;
use smol_str::SmolStr;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// The time for which a rejection counts: a second, and the time until the coordinator learns of it.
pub const REJECTION_WINDOW: Duration = Duration::from_millis(1250);
/// The time for which a grant counts as a possible rejection if nothing is heard of it. A grant isn't used after a quarter
/// of a second, so its rejection is older than a second by then.
const UNSETTLED_FOR: Duration = Duration::from_millis(1500);
/// The time for which a grant counts as a request if no report covers it.
const UNREPORTED_FOR: Duration = Duration::from_millis(750);
/// The time after which a silent VM's requests aren't counted any more: their connections have ended with the VM.
const VM_LIFE: Duration = Duration::from_secs(2);
/// The time after sending within which a rejection arrives. Endpoints reject at once and accept silently.
pub const SETTLED_AFTER: Duration = Duration::from_millis(20);
/// The time for which a grant may be used. The request must be sent within it.
pub const GRANT_LIFE: Duration = Duration::from_millis(250);
/// How often a VM repeats its report while it holds slots, which makes up for lost reports.
pub const REPORT_EVERY: Duration = Duration::from_millis(500);
/// The maximum number of rejections in one report that count; more than any endpoint bears close the endpoint as well.
const MAX_REJECTIONS: u32 = 64;
/// How often expired entries are removed.
const SWEEP_EVERY: Duration = Duration::from_millis(50);
/// How long a VM goes on reporting after its last request at brittle endpoints.
const REPORTED_FOR: Duration = Duration::from_secs(2);

/// What an endpoint has room for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// The requests that it runs at once.
    pub slots: u32,
    /// The tokens that fit in its memory, if known.
    pub kv_tokens: Option<u32>,
    /// The rejections a second that it bears.
    pub bears: f64,
}

impl Capacity {
    /// Returns the number of rejections that one coordinator risks within a second: half of what the endpoint bears, since
    /// two VMs may take themselves for the coordinator, but at least one.
    fn risk(self) -> usize {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a cast saturates, and what is stated isn't negative"
        )]
        let half = (self.bears / 2.0).floor() as usize;
        half.max(1)
    }
}

/// The requests of one or more VMs at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The number of requests.
    pub requests: u32,
    /// The tokens that they hold in memory.
    pub tokens: u32,
}

impl From<Taken> for Held {
    fn from(t: Taken) -> Self {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "counts aren't negative, and a cast saturates"
        )]
        let round = |n: f32| n.round() as u32;
        Self {
            requests: round(t.requests),
            tokens: round(t.tokens),
        }
    }
}

/// One VM's requests at an endpoint, and those that the endpoint rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// The endpoint.
    pub key: EndpointKey,
    /// The requests that the VM has there or is about to send.
    pub held: Held,
    /// The number of the VM's requests that the endpoint has rejected since the VM started.
    pub rejected: u32,
}

/// A grant of one slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantId {
    /// The ledger that granted it.
    pub ledger: u64,
    /// Its number, which rises with each grant of the ledger.
    pub number: u64,
}

/// How far a VM has dealt with the grants of one ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The last grant that the VM has received. The report's usage counts all grants up to it.
    pub received: GrantId,
    /// The number up to which all grants are settled: the endpoint rejected the request or took it in, or it wasn't sent.
    pub settled: u64,
}

/// One VM's report to the coordinators. Each report replaces the one before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotReport {
    /// The VM.
    pub vm: SmolStr,
    /// A number that was drawn when the VM started.
    pub start: u64,
    /// The number of the report, which rises with each report of one start.
    pub number: u64,
    /// What became of the grants, by ledger.
    pub progress: Vec<Progress>,
    /// The endpoints at which the VM has requests, or had some rejected lately.
    pub usage: Vec<Usage>,
}

/// A grant that isn't settled, or isn't counted in a report.
#[derive(Clone, Copy, Debug)]
struct Grant {
    number: u64,
    key: EndpointKey,
    tokens: u32,
    at: Instant,
    is_settled: bool,
    is_counted: bool,
}

impl Grant {
    fn age(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.at);
        self.is_settled |= age >= UNSETTLED_FOR;
        self.is_counted |= age >= UNREPORTED_FOR;
    }
}

/// What a coordinator knows of one VM.
#[derive(Clone, Debug)]
struct VmRow {
    start: u64,
    number: u64,
    heard: Instant,
    usage: Vec<Usage>,
    grants: Vec<Grant>,
}

impl VmRow {
    fn new(now: Instant) -> Self {
        Self {
            start: 0,
            number: 0,
            heard: now,
            usage: Vec::new(),
            grants: Vec::new(),
        }
    }

    fn age(&mut self, now: Instant) {
        self.grants.iter_mut().for_each(|g| g.age(now));
        self.grants.retain(|g| !g.is_settled || !g.is_counted);
        if now.saturating_duration_since(self.heard) >= VM_LIFE {
            self.usage.clear();
        }
    }

    /// Returns `true` if nothing of the VM counts any more, and no report of it can arrive late.
    fn is_over(&self, now: Instant) -> bool {
        let is_silent = now.saturating_duration_since(self.heard) >= VM_LIFE;
        is_silent && self.usage.is_empty() && self.grants.is_empty()
    }

    fn rejected(&self, key: EndpointKey) -> u32 {
        let usage = self.usage.iter().find(|u| u.key == key);
        usage.map_or(0, |u| u.rejected)
    }
}

/// A coordinator's sums for one endpoint.
#[derive(Clone, Debug, Default)]
struct Row {
    held: Held,
    unsettled: usize,
    rejections: VecDeque<Instant>,
}

impl Row {
    fn add(&mut self, h: Held) {
        self.held.requests += h.requests;
        self.held.tokens = self.held.tokens.saturating_add(h.tokens);
    }

    fn subtract(&mut self, h: Held) {
        self.held.requests = self.held.requests.saturating_sub(h.requests);
        self.held.tokens = self.held.tokens.saturating_sub(h.tokens);
    }

    fn reject(&mut self, now: Instant, times: u32) {
        for _ in 0..times.min(MAX_REJECTIONS) {
            self.rejections.push_back(now);
        }
        let is_old = |t: &Instant| now.saturating_duration_since(*t) >= REJECTION_WINDOW;
        while self.rejections.front().is_some_and(is_old) {
            self.rejections.pop_front();
        }
    }
}

/// A coordinator's account of the slots of brittle endpoints.
#[derive(Debug)]
pub struct SlotLedger {
    id: u64,
    created: Instant,
    last: u64,
    vms: BTreeMap<SmolStr, VmRow>,
    /// The sums over `vms`.
    rows: SecondaryMap<EndpointKey, Row>,
    swept: Option<Instant>,
}

/// Queries.
impl SlotLedger {
    /// Creates an empty ledger. `id` tells it from the ledgers of other VMs and of other starts of this one.
    #[must_use]
    pub fn new(now: Instant, id: u64) -> Self {
        Self {
            id,
            created: now,
            last: 0,
            vms: BTreeMap::new(),
            rows: SecondaryMap::new(),
            swept: None,
        }
    }

    /// Returns `true` if a request with this many tokens may be sent to an endpoint.
    ///
    /// A new ledger has room nowhere: it doesn't know what was rejected under the grants of the ledger before it.
    #[must_use]
    pub fn has_room(&self, now: Instant, key: EndpointKey, c: Capacity, tokens: u32) -> bool {
        if now.saturating_duration_since(self.created) < REJECTION_WINDOW {
            return false;
        }
        let Some(row) = self.rows.get(key) else {
            return c.slots > 0;
        };
        let is_recent = |t: &&Instant| now.saturating_duration_since(**t) < REJECTION_WINDOW;
        let rejections = row.rejections.iter().filter(is_recent).count();
        // A request that is alone there is let in, whatever its size.
        let has_memory = row.held.requests == 0
            || c.kv_tokens
                .is_none_or(|kv| row.held.tokens.saturating_add(tokens) <= kv);
        row.held.requests < c.slots && has_memory && row.unsettled + rejections < c.risk()
    }

    /// Returns the requests at an endpoint that are known here.
    #[must_use]
    pub fn held(&self, key: EndpointKey) -> Held {
        self.rows.get(key).map(|r| r.held).unwrap_or_default()
    }
}

/// Commands.
impl SlotLedger {
    /// Grants a VM a slot of an endpoint if there is room.
    pub fn grant(
        &mut self,
        now: Instant,
        vm: &SmolStr,
        key: EndpointKey,
        c: Capacity,
        tokens: u32,
    ) -> Option<GrantId> {
        self.sweep(now);
        if !self.has_room(now, key, c, tokens) {
            return None;
        }
        self.last += 1;
        let number = self.last;
        self.update(now, vm, |row| {
            row.grants.push(Grant {
                number,
                key,
                tokens,
                at: now,
                is_settled: false,
                is_counted: false,
            });
        });
        Some(GrantId {
            ledger: self.id,
            number,
        })
    }

    /// Applies a VM's report, unless a later one of the same start was applied before.
    pub fn apply(&mut self, now: Instant, r: SlotReport) {
        let known = self.vms.get(&r.vm);
        let is_same_start = known.is_some_and(|k| k.start == r.start);
        if is_same_start && known.is_some_and(|k| k.number >= r.number) {
            return;
        }
        for u in &r.usage {
            let before = known.filter(|_| is_same_start);
            let before = before.map_or(0, |k| k.rejected(u.key));
            if let Some(row) = row_of(&mut self.rows, u.key) {
                row.reject(now, u.rejected.saturating_sub(before));
            }
        }
        let id = self.id;
        let progress = r.progress.iter().find(|p| p.received.ledger == id).copied();
        self.update(now, &r.vm.clone(), |row| {
            row.start = r.start;
            row.number = r.number;
            row.heard = now;
            row.usage = r.usage;
            for g in &mut row.grants {
                // The connections of a former start have ended with it.
                g.is_counted |=
                    !is_same_start || progress.is_some_and(|p| g.number <= p.received.number);
                g.is_settled |= progress.is_some_and(|p| g.number <= p.settled);
            }
            row.age(now);
        });
    }

    /// Forgets an endpoint that is gone.
    pub fn forget(&mut self, key: EndpointKey) {
        self.rows.remove(key);
    }

    /// Removes what has expired.
    fn sweep(&mut self, now: Instant) {
        let is_recent = |t: Instant| now.saturating_duration_since(t) < SWEEP_EVERY;
        if self.swept.is_some_and(is_recent) {
            return;
        }
        self.swept = Some(now);
        let vms: Vec<SmolStr> = self.vms.keys().cloned().collect();
        for vm in vms {
            self.update(now, &vm, |row| row.age(now));
        }
    }

    /// Changes what is known of a VM, and the sums with it.
    fn update<F>(&mut self, now: Instant, vm: &SmolStr, f: F)
    where
        F: FnOnce(&mut VmRow),
    {
        let mut row = self.vms.remove(vm).unwrap_or_else(|| VmRow::new(now));
        self.for_each_part(&row, Row::subtract, |n| *n = n.saturating_sub(1));
        f(&mut row);
        self.for_each_part(&row, Row::add, |n| *n += 1);
        if !row.is_over(now) {
            self.vms.insert(vm.clone(), row);
        }
    }

    /// Applies a VM's part of the sums: `held` for its requests, `unsettled` for each grant that isn't settled.
    fn for_each_part<F, G>(&mut self, row: &VmRow, held: F, unsettled: G)
    where
        F: Fn(&mut Row, Held),
        G: Fn(&mut usize),
    {
        for u in &row.usage {
            if let Some(sums) = row_of(&mut self.rows, u.key) {
                held(sums, u.held);
            }
        }
        for g in &row.grants {
            let Some(sums) = row_of(&mut self.rows, g.key) else {
                continue;
            };
            if !g.is_counted {
                let one = Held {
                    requests: 1,
                    tokens: g.tokens,
                };
                held(sums, one);
            }
            if !g.is_settled {
                unsettled(&mut sums.unsettled);
            }
        }
    }
}

/// Returns the sums for an endpoint, or `None` if it is gone.
fn row_of(rows: &mut SecondaryMap<EndpointKey, Row>, key: EndpointKey) -> Option<&mut Row> {
    Some(rows.entry(key)?.or_default())
}

/// How far a request with a grant has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The grant was received, and nothing else knows of the request yet.
    Granted,
    /// The request counts among the VM's requests, and may wait for a connection.
    Started,
    /// It was sent, at this time.
    Sent(Instant),
}

#[derive(Clone, Copy, Debug)]
struct Unsettled {
    key: EndpointKey,
    tokens: u32,
    at: Instant,
    stage: Stage,
}

impl Unsettled {
    fn is_over(&self, now: Instant) -> bool {
        match self.stage {
            Stage::Granted | Stage::Started => now.saturating_duration_since(self.at) >= GRANT_LIFE,
            Stage::Sent(at) => now.saturating_duration_since(at) >= SETTLED_AFTER,
        }
    }
}

/// The grants of one ledger that a VM has received.
#[derive(Clone, Debug)]
struct Received {
    last: u64,
    at: Instant,
    unsettled: BTreeMap<u64, Unsettled>,
}

/// What a VM has of the slots of brittle endpoints.
#[derive(Debug)]
pub struct SlotHoldings {
    vm: SmolStr,
    start: u64,
    number: u64,
    ledgers: BTreeMap<u64, Received>,
    rejected: SecondaryMap<EndpointKey, (u32, Instant)>,
    /// When the VM last had something to report.
    used_at: Option<Instant>,
}

impl SlotHoldings {
    /// Creates the holdings of a VM; `start` tells this start from others.
    #[must_use]
    pub fn new(vm: SmolStr, start: u64) -> Self {
        Self {
            vm,
            start,
            number: 0,
            ledgers: BTreeMap::new(),
            rejected: SecondaryMap::new(),
            used_at: None,
        }
    }

    /// Records that a grant was received.
    pub fn receive(&mut self, now: Instant, grant: GrantId, key: EndpointKey, tokens: u32) {
        let ledger = self.ledgers.entry(grant.ledger);
        let ledger = ledger.or_insert_with(|| Received {
            last: grant.number,
            at: now,
            unsettled: BTreeMap::new(),
        });
        ledger.last = ledger.last.max(grant.number);
        ledger.at = now;
        let stage = Stage::Granted;
        let unsettled = Unsettled {
            key,
            tokens,
            at: now,
            stage,
        };
        ledger.unsettled.insert(grant.number, unsettled);
        self.used_at = Some(now);
    }

    /// Records that the request of a grant counts among this VM's requests from now on.
    pub fn start(&mut self, grant: GrantId) {
        self.set_stage(grant, Stage::Started);
    }

    /// Records that the request of a grant is sent.
    pub fn send(&mut self, now: Instant, grant: GrantId) {
        self.set_stage(grant, Stage::Sent(now));
    }

    /// Records that the endpoint took the request of a grant in, or that it wasn't sent.
    pub fn settle(&mut self, grant: GrantId) {
        if let Some(l) = self.ledgers.get_mut(&grant.ledger) {
            l.unsettled.remove(&grant.number);
        }
    }

    /// Records that an endpoint rejected a request, which may have been sent without a grant.
    pub fn reject(&mut self, now: Instant, key: EndpointKey) {
        if let Some(row) = self.rejected.entry(key) {
            let row = row.or_insert((0, now));
            *row = (row.0 + 1, now);
        }
        self.used_at = Some(now);
    }

    fn set_stage(&mut self, grant: GrantId, stage: Stage) {
        let ledger = self.ledgers.get_mut(&grant.ledger);
        if let Some(u) = ledger.and_then(|l| l.unsettled.get_mut(&grant.number)) {
            u.stage = stage;
        }
    }

    /// Returns when the next grant settles by itself.
    #[must_use]
    pub fn next_settled(&self) -> Option<Instant> {
        let all = self.ledgers.values().flat_map(|l| l.unsettled.values());
        let sent = all.filter_map(|u| match u.stage {
            Stage::Sent(at) => Some(at + SETTLED_AFTER),
            Stage::Granted | Stage::Started => None,
        });
        sent.min()
    }

    /// Returns the report to send, given this VM's requests at brittle endpoints, or `None` if it has had none lately.
    pub fn report<I>(&mut self, now: Instant, requests: I) -> Option<SlotReport>
    where
        I: IntoIterator<Item = (EndpointKey, Held)>,
    {
        let is_recent = |t: Instant| now.saturating_duration_since(t) < REPORTED_FOR;
        self.ledgers
            .retain(|_, l| is_recent(l.at) || !l.unsettled.is_empty());
        for l in self.ledgers.values_mut() {
            l.unsettled.retain(|_, u| !u.is_over(now));
        }
        self.rejected.retain(|_, (_, at)| is_recent(*at));
        let mut held: BTreeMap<EndpointKey, Held> = requests.into_iter().collect();
        let all = self.ledgers.values().flat_map(|l| l.unsettled.values());
        for u in all.filter(|u| u.stage == Stage::Granted) {
            let h = held.entry(u.key).or_default();
            h.requests += 1;
            h.tokens = h.tokens.saturating_add(u.tokens);
        }
        for key in self.rejected.keys() {
            held.entry(key).or_default();
        }
        if !held.is_empty() {
            self.used_at = Some(now);
        }
        if !self.used_at.is_some_and(is_recent) {
            return None;
        }
        self.number += 1;
        let rejected = |key| self.rejected.get(key).map_or(0, |(n, _)| *n);
        let usage = held.into_iter().map(|(key, held)| Usage {
            key,
            held,
            rejected: rejected(key),
        });
        let progress = self.ledgers.iter().map(|(ledger, l)| Progress {
            received: GrantId {
                ledger: *ledger,
                number: l.last,
            },
            settled: l.unsettled.keys().next().map_or(l.last, |first| first - 1),
        });
        Some(SlotReport {
            vm: self.vm.clone(),
            start: self.start,
            number: self.number,
            progress: progress.collect(),
            usage: usage.collect(),
        })
    }
}
