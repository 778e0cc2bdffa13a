//! Following the list of endpoints.
//!
//! One VM of a zone reads the list at fixed intervals and sends the changes to the others. The others apply
//! them, and read the store themselves once their copy is older than [`ReadPace::stale_after`]. So every VM
//! that reaches the store learns in time of an endpoint that leaves, whether the reader is gone, rejected,
//! frozen or cut off: within 0.6 of the allowed time with 8, 71 and 150 VMs (`tests/departures.rs`). It
//! took up to 50 s when the other VMs only waited for the reader's messages.

use crate::clock::Clock;
use crate::edge::{Change, Changes, Feed, NoAnswerSnafu, PeerStates, Protocol, Store, StoreError};
use crate::follower::{ChangeSource, Follower, read_to};
use crate::site::Site;
use crate::start;
use limehollow::freshness::ReadPace;
use limehollow::log_position::LogPosition;
use limehollow_wire::gossip::{ListChange, ListChanges};
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout};

/// How long to wait for another VM's state: the time of some levels of the start tree.
const CATCH_UP_WITHIN: Duration = Duration::from_millis(1500);
/// How long a VM is behind others of its zone before it asks them. The changes usually arrive with the
/// messages that show that the others are ahead.
const BEHIND_FOR: Duration = Duration::from_millis(300);
/// The largest number of parts of one read that are sent to the zone. With more, the reader would send
/// megabytes to each VM of the zone; the VMs get the state over the tree of [`limehollow::start_tree`]
/// instead.
const MAX_PARTS: usize = 8;
/// Records of the list in one part. With a few hundred bytes each, they fit in a datagram beside its other
/// fields.
const PART_RECORDS: usize = 64;
/// The longest time for a call after earlier calls got no answer. The store answers in 4 ms, so it may be
/// 200 times slower. A call that began in an outage is never answered, so for this VM an outage lasts
/// longer by up to this time.
const LONGEST_ANSWER: Duration = Duration::from_millis(1000);
/// How often the VM that leads its zone calls while the store is away. Vanished entries may reappear for
/// [`SETTLE_TIME`] after the store's return is found. The sum of both has to be less than the time after
/// which the deployment's rules hold again, 3 s on the smallest sites.
///
/// [`SETTLE_TIME`]: crate::follower::SETTLE_TIME
const PROBE_EVERY: Duration = Duration::from_millis(300);
/// The longest wait before a VM that can't read the store asks another VM for its state. It spreads the VMs
/// of a zone; the first to get the state may send the list on.
const FETCH_SPREAD: Duration = Duration::from_millis(150);

/// The next step of a follower of the list.
enum Work {
    /// Apply changes that another VM has read.
    Apply(ListChanges),
    /// Read the store.
    Read,
    /// Fetch another VM's state.
    FetchState,
    /// Fetch the state as at a start: what others have read wasn't sent or didn't arrive.
    CatchUp,
    /// Drop endpoints whose removal was held back, or apply entries that were in doubt.
    ApplyHeld,
}

struct ListFollower<P, S, T> {
    f: Follower<P, T>,
    store: S,
    offers: UnboundedReceiver<ListChanges>,
    /// The position from which to read on; none before the first read.
    next: Option<LogPosition>,
    /// When the last read began.
    began: Option<Instant>,
    /// When the store may be tried again after failures, and the number of consecutive failures.
    retry_at: Instant,
    failures: u32,
    /// This VM's random share of delays, 0 to 1, drawn anew for each read.
    jitter: f64,
}

/// Follows the list for as long as the process lives.
pub(crate) async fn follow<P, S, T>(site: Arc<Site<P>>, store: S, states: T)
where
    P: Protocol,
    S: Store,
    T: PeerStates,
{
    let Some(offers) = site.take_list_changes() else {
        tracing::error!("the list of endpoints already has a follower");
        return;
    };
    let now = site.now();
    // Another VM may have handed the list over at the start.
    let next = read_to(&site, Feed::Endpoints);
    let mut l = ListFollower {
        f: Follower::new(site, states, Feed::Endpoints),
        store,
        offers,
        began: next.map(|_| now),
        next,
        retry_at: now,
        failures: 0,
        jitter: rand::random(),
    };
    loop {
        match l.next_work().await {
            Work::Apply(offer) => l.apply_offer(offer),
            Work::Read => {
                if l.failures > 0 || !l.catch_up().await {
                    l.read().await;
                }
            }
            Work::FetchState => l.fetch().await,
            Work::CatchUp => {
                l.catch_up().await;
            }
            Work::ApplyHeld => {}
        }
        l.f.apply_held_removals();
        l.f.end_doubt();
    }
}

impl<P, S, T> ListFollower<P, S, T>
where
    P: Protocol,
    S: Store,
    T: PeerStates,
{
    /// Waits until there is something to do.
    async fn next_work(&mut self) -> Work {
        loop {
            let due = self.due();
            let settled_at = earliest(self.held_until(), self.f.doubted_until());
            let (can_fetch, fetch_after) = (self.failures > 0, self.fetch_after());
            tokio::select! {
                biased;
                Some(offer) = self.offers.recv() => return Work::Apply(offer),
                () = self.f.until(settled_at) => return Work::ApplyHeld,
                () = self.f.site.clock.sleep_until(due) => {
                    // Messages of other VMs may have moved the next read.
                    if self.due() <= self.f.site.now() {
                        return Work::Read;
                    }
                }
                () = self.f.wait_behind(fetch_after), if can_fetch => return Work::FetchState,
                () = self.f.wait_behind_zone(BEHIND_FOR + fetch_after), if !can_fetch => return Work::CatchUp,
            }
        }
    }

    /// Returns when the store is to be read.
    fn due(&self) -> Instant {
        let extra_wait = self.f.extra_wait(self.jitter);
        let view = self.f.site.view();
        let (Some(began), Some(freshness)) =
            (self.began, view.feed_reads.freshness(Feed::Endpoints))
        else {
            return self.retry_at;
        };
        let pace = self.pace();
        let due = if view.peers.is_zone_reader(self.f.site.now()) {
            began + pace.interval()
        } else {
            freshness.complete_at() + pace.stale_after(self.jitter) + extra_wait
        };
        let expected = view.peers.reader_expected_until(self.f.site.now());
        due.max(self.retry_at).max(expected.unwrap_or(due))
    }

    /// Returns how long a VM that can't read the store waits before it asks another VM that has read
    /// further.
    fn fetch_after(&self) -> Duration {
        FETCH_SPREAD.mul_f64(self.jitter)
    }

    fn pace(&self) -> ReadPace {
        self.f.site.settings.load().list_pace()
    }

    fn held_until(&self) -> Option<Instant> {
        let holds_back = !self.f.site.view().held_removals.is_empty();
        holds_back.then(|| self.f.settled_at()).flatten()
    }

    /// Reads the store. Meanwhile it applies what other VMs send or hand over, so that a call that is never
    /// answered holds nothing up.
    async fn read(&mut self) {
        let began = self.f.site.now();
        self.began = Some(began);
        self.jitter = rand::random();
        let (store, from, limit) = (self.store.clone(), self.next, self.answer_within());
        let clock = Arc::clone(&self.f.site.clock);
        let probes = self.probes_store();
        let read = async move {
            match from {
                None => (began, store.newest(Feed::Endpoints).await),
                Some(from) if probes => probe_changes(store, clock, from, limit).await,
                Some(from) => (began, changes(store, from, limit).await),
            }
        };
        tokio::pin!(read);
        let (can_fetch, fetch_after) = (self.failures > 0, self.fetch_after());
        let (began, read) = loop {
            tokio::select! {
                read = &mut read => break read,
                Some(offer) = self.offers.recv() => self.apply_offer(offer),
                () = self.f.wait_behind(fetch_after), if can_fetch => self.fetch().await,
            }
        };
        match read {
            Ok(changes) => self.succeed(began, from, changes),
            Err(StoreError::HistoryGone { .. }) => {
                tracing::info!(feed = ?Feed::Endpoints, "the store no longer has the changes since this position; reading the whole feed");
                self.read_anew().await;
            }
            Err(e) => {
                self.f.record_failure(began, &e);
                // Other VMs should know at once that this VM doesn't read for them.
                self.f.site.urgent_update.notify_one();
                self.failures += 1;
                self.retry_at = self.f.site.now() + self.pause();
                self.fetch().await;
            }
        }
    }

    /// Fetches the state of a VM that is ahead, if others read for this VM. Returns `true` if that worked.
    async fn catch_up(&mut self) -> bool {
        let reads_for_others = self.f.site.view().peers.is_zone_reader(self.f.site.now());
        if reads_for_others || !self.f.is_behind() {
            return false;
        }
        let caught_up = start::catch_up(&self.f.site, &self.f.states);
        if timeout(CATCH_UP_WITHIN, caught_up).await != Ok(true) {
            return false;
        }
        self.next = Some(self.f.site.positions().endpoints);
        true
    }

    /// Fetches the complete list, from another VM if one has read further.
    async fn read_anew(&mut self) {
        if self.catch_up().await {
            return;
        }
        self.next = None;
        self.began = None;
    }

    /// Returns `true` if this VM probes for its zone whether the store is back.
    fn probes_store(&self) -> bool {
        let now = self.f.site.now();
        self.failures > 0 && self.f.site.view().peers.is_zone_leader(now)
    }

    /// Returns how long to wait after a failure.
    fn pause(&self) -> Duration {
        if self.probes_store() {
            return PROBE_EVERY;
        }
        self.f.pause(self.failures)
    }

    /// Returns how long a call may take: longer after failures, as the store may only be slow.
    fn answer_within(&self) -> Duration {
        let limit = self.pace().call_timeout() * 2_u32.saturating_pow(self.failures.min(8));
        limit.min(LONGEST_ANSWER)
    }

    fn succeed(&mut self, began: Instant, from: Option<LogPosition>, read: Changes) {
        self.failures = 0;
        self.retry_at = began;
        self.send_on(from, &read);
        self.next = Some(self.f.apply_answer(began, read, from.is_none()));
        let reads_for_others = self.f.site.view().peers.is_zone_reader(self.f.site.now());
        if !reads_for_others {
            // The zone's reader was late; the other VMs needn't read as well.
            self.f.site.urgent_update.notify_one();
        }
    }

    async fn fetch(&mut self) {
        let limit = self.pace().call_timeout() * 2;
        // If the state doesn't come in time, it is requested again when a message shows which VM is ahead.
        if let Ok(Some(state)) = timeout(limit, self.f.fetch_furthest()).await {
            self.next = self.f.apply_state(state).or(self.next);
        }
    }

    /// Applies changes that another VM has read, if they continue from this VM's position.
    fn apply_offer(&mut self, offer: ListChanges) {
        let Some(at) = self.next else {
            return;
        };
        let follows_on = at.covers(offer.from) && offer.to > at;
        if !follows_on {
            return;
        }
        self.next = Some(offer.to);
        self.f.set_position(offer.to);
        let changes = offer.changes.into_iter().map(Change::from);
        self.f
            .apply(ChangeSource::Neighbour, changes.collect(), false);
    }

    /// Queues changes of the list for the messages to the VMs of the zone.
    fn send_on(&self, from: Option<LogPosition>, read: &Changes) {
        let Some(from) = from.filter(|_| !self.f.is_from_before_restore(read.next)) else {
            return;
        };
        let parts = parts(from, read);
        let reads_for_others = self.f.site.view().peers.is_zone_reader(self.f.site.now());
        // Several VMs that read because no changes reached them may have read the same ones.
        let most = if reads_for_others { MAX_PARTS } else { 1 };
        if parts.is_empty() || parts.len() > most {
            return;
        }
        let now = self.f.site.now();
        let parts = parts.into_iter().map(|p| (now, p));
        self.f.site.view().recent_list_changes.extend(parts);
        self.f.site.urgent_update.notify_one();
    }
}

/// Reads the changes of the list after a position, with a time limit.
async fn changes<S>(store: S, from: LogPosition, limit: Duration) -> Result<Changes, StoreError>
where
    S: Store,
{
    let call = store.changes(Feed::Endpoints, from, Duration::ZERO);
    timeout(limit, call)
        .await
        .unwrap_or_else(|_| no_answer(limit))
}

/// Reads the changes while the store may be away, with a new call at each interval beside those that have
/// no answer yet. Returns the first answer and when its call began.
///
/// A call that began in an outage is never answered, and one to a slow store is answered late. With one
/// call at a time, the store's return would be found late by up to the time limit of a call, and vanished
/// entries would be held back for as much longer.
async fn probe_changes<S>(
    store: S,
    clock: Arc<Clock>,
    from: LogPosition,
    limit: Duration,
) -> (Instant, Result<Changes, StoreError>)
where
    S: Store,
{
    let mut calls = JoinSet::new();
    let until = clock.now() + limit;
    loop {
        let (store, began) = (store.clone(), clock.now());
        calls.spawn(async move { (began, changes(store, from, limit).await) });
        let next = began + PROBE_EVERY;
        if let Ok(Some(Ok(first))) = clock.timeout_at(next, calls.join_next()).await {
            return first;
        }
        if clock.now() >= until {
            return (began, no_answer(limit));
        }
    }
}

fn earliest(a: Option<Instant>, b: Option<Instant>) -> Option<Instant> {
    a.into_iter().chain(b).min()
}

fn no_answer(limit: Duration) -> Result<Changes, StoreError> {
    NoAnswerSnafu {
        call: "changes",
        why: format!("no answer within {} ms", limit.as_millis()),
    }
    .fail()
}

/// Splits what was read after a position into parts that can be sent on, in order. It is one part if there
/// isn't exactly one position per record.
fn parts(from: LogPosition, read: &Changes) -> Vec<ListChanges> {
    let records = from.records_to(read.next);
    if records == 0 {
        return Vec::new();
    }
    let is_one_each = usize::try_from(records).is_ok_and(|n| n == read.changes.len());
    let size = if is_one_each {
        PART_RECORDS
    } else {
        usize::MAX
    };
    let mut at = from;
    let chunks = read.changes.chunks(size.min(read.changes.len().max(1)));
    let mut out: Vec<ListChanges> = chunks
        .map(|chunk| {
            let part = ListChanges {
                from: at,
                to: at.advanced_by(chunk.len()),
                changes: reduced(chunk.iter().filter_map(to_list_change)),
            };
            at = part.to;
            part
        })
        .collect();
    if let Some(last) = out.last_mut() {
        last.to = read.next;
    } else {
        out.push(ListChanges {
            from,
            to: read.next,
            changes: Vec::new(),
        });
    }
    out
}

fn to_list_change(c: &Change) -> Option<ListChange> {
    match c {
        Change::Endpoint(e) => Some(ListChange::Listed(e.clone())),
        Change::EndpointGone(id) => Some(ListChange::Gone(id.clone())),
        Change::Malformed { key, .. } => Some(ListChange::Unreadable(key.clone())),
        Change::Catalog(_) | Change::Vm(_) | Change::Evacuation { .. } => None,
    }
}

/// Reduces the changes of each endpoint to those that determine its last state: an entry alone, or an entry
/// after the change that took a former instance of the endpoint out of use.
fn reduced<I>(changes: I) -> Vec<ListChange>
where
    I: Iterator<Item = ListChange>,
{
    let mut by_id: BTreeMap<SmolStr, Vec<ListChange>> = BTreeMap::new();
    for c in changes {
        match &c {
            ListChange::Listed(e) => {
                let rows = by_id.entry(e.instance.id.clone()).or_default();
                rows.pop_if(|last| matches!(last, ListChange::Listed(_)));
                rows.push(c);
            }
            ListChange::Gone(id) | ListChange::Unreadable(id) => {
                by_id.insert(id.clone(), vec![c]);
            }
        }
    }
    by_id.into_values().flatten().collect()
}
