//! Following the list of endpoints.
//!
//! One VM of a zone reads the list at an even pace and passes on what changed; the others take it from there and read
//! for themselves once their copy is older than [`ReadPace::stale_after`]. So an endpoint that leaves is known in
//! time on every VM that reaches the store, whether the reader is gone, turned away, frozen or cut off: within
//! 0.6 of the time that the site allows with 8, 71 and 150 VMs (`tests/departures.rs`), where it took up to 50 s when
//! neighbours only listened.

use crate::clock::Clock;
use crate::edge::{Change, Changes, Feed, NoAnswerSnafu, Protocol, States, Store, StoreError};
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

/// How long another VM's state is waited for: some steps of the tree.
const CATCH_UP_WITHIN: Duration = Duration::from_millis(1500);
/// How long a VM is behind others of its zone before it asks them: what they pass on arrives with the word that they are ahead.
const BEHIND_FOR: Duration = Duration::from_millis(300);
/// How many parts are passed on of one reading. Of more each VM of the zone would be sent megabytes by the one that reads; they get the state over
/// the tree of [`limehollow::start_tree`] instead.
const MAX_PARTS: usize = 8;
/// Records of the list that go into one part of what is passed on: with a few hundred bytes each they fit in a datagram beside the rest.
const PART: usize = 64;
/// How long a call may take at most that was begun anew after others got no answer: the store answers in 4 ms, so it
/// may be slow two hundred times. A call that began in an outage is never answered, so this is what an outage is longer
/// for this VM than for the store.
const LONGEST_ANSWER: Duration = Duration::from_millis(1000);
/// How often the VM that leads its zone calls while the store is away. Entries that lapsed may come back for [`SETTLE_TIME`] from when it is
/// found to be back; both together have to be less than the time after which the rules hold again, 3 s on the smallest sites.
///
/// [`SETTLE_TIME`]: crate::follower::SETTLE
const SEEK_EVERY: Duration = Duration::from_millis(300);
/// The longest wait before a VM that can't read the store asks another one for its state. It spreads the VMs of a zone, and the
/// first to get the state may pass its list on.
const FETCH_SPREAD: Duration = Duration::from_millis(150);

/// What a follower of the list does next.
enum Work {
    /// Takes in changes that another VM has read.
    Take(ListChanges),
    /// Reads the store.
    Read,
    /// Asks another VM for its state.
    Fetch,
    /// Gets the state as at a start: what others have read wasn't passed on, or didn't arrive.
    CatchUp,
    /// Drops what was held back, or takes in what was in doubt.
    Settle,
}

struct ListFollower<P, S, T> {
    f: Follower<P, T>,
    store: S,
    offers: UnboundedReceiver<ListChanges>,
    /// Where to read on; none while nothing has been read.
    next: Option<LogPosition>,
    /// When the last read began.
    began: Option<Instant>,
    /// When the store may be tried again after failures, and how many there were.
    retry_at: Instant,
    failures: u32,
    /// Where in the spread this VM finds its copy stale, drawn anew for each read.
    luck: f64,
}

/// Follows the list for as long as the process lives.
pub(crate) async fn follow<P, S, T>(site: Arc<Site<P>>, store: S, states: T)
where
    P: Protocol,
    S: Store,
    T: States,
{
    let Some(offers) = site.take_list_changes() else {
        tracing::error!("the list has a follower already");
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
        luck: rand::random(),
    };
    loop {
        match l.work().await {
            Work::Take(offer) => l.take(offer),
            Work::Read => {
                if l.failures > 0 || !l.catch_up().await {
                    l.read().await;
                }
            }
            Work::Fetch => l.fetch().await,
            Work::CatchUp => {
                l.catch_up().await;
            }
            Work::Settle => {}
        }
        l.f.drop_withheld();
        l.f.end_doubt();
    }
}

impl<P, S, T> ListFollower<P, S, T>
where
    P: Protocol,
    S: Store,
    T: States,
{
    /// Waits until something is to be done.
    async fn work(&mut self) -> Work {
        loop {
            let due = self.due();
            let settled_at = earliest(self.settled_at(), self.f.doubted_until());
            let (can_fetch, fetch_after) = (self.failures > 0, self.fetch_after());
            tokio::select! {
                biased;
                Some(offer) = self.offers.recv() => return Work::Take(offer),
                () = self.f.until(settled_at) => return Work::Settle,
                () = self.f.site.clock.sleep_until(due) => {
                    // What others told meanwhile may have put it off.
                    if self.due() <= self.f.site.now() {
                        return Work::Read;
                    }
                }
                () = self.f.behind(fetch_after), if can_fetch => return Work::Fetch,
                () = self.f.behind_here(BEHIND_FOR + fetch_after), if !can_fetch => return Work::CatchUp,
            }
        }
    }

    /// Gives when the store is to be read.
    fn due(&self) -> Instant {
        let patience = self.f.patience(self.luck);
        let view = self.f.site.view();
        let (Some(began), Some(freshness)) =
            (self.began, view.feed_reads.freshness(Feed::Endpoints))
        else {
            return self.retry_at;
        };
        let pace = self.pace();
        let due = if view.peers.is_zone_reader(self.f.site.now()) {
            began + pace.every()
        } else {
            freshness.complete_at() + pace.stale_after(self.luck) + patience
        };
        let expected = view.peers.reader_expected(self.f.site.now());
        due.max(self.retry_at).max(expected.unwrap_or(due))
    }

    /// Gives how long a VM that can't read the store waits before it asks another one that is further.
    fn fetch_after(&self) -> Duration {
        FETCH_SPREAD.mul_f64(self.luck)
    }

    fn pace(&self) -> ReadPace {
        self.f.site.settings.load().list_pace()
    }

    fn settled_at(&self) -> Option<Instant> {
        let holds_back = !self.f.site.view().held_removals.is_empty();
        holds_back.then(|| self.f.settled_at()).flatten()
    }

    /// Reads the store, and takes in what others offer or hand over meanwhile: a call that is never answered holds
    /// nothing up.
    async fn read(&mut self) {
        let began = self.f.site.now();
        self.began = Some(began);
        self.luck = rand::random();
        let (store, from, limit) = (self.store.clone(), self.next, self.answer_within());
        let clock = Arc::clone(&self.f.site.clock);
        let seeks = self.seeks_return();
        let read = async move {
            match from {
                None => (began, store.newest(Feed::Endpoints).await),
                Some(from) if seeks => seek(store, clock, from, limit).await,
                Some(from) => (began, changes(store, from, limit).await),
            }
        };
        tokio::pin!(read);
        let (can_fetch, fetch_after) = (self.failures > 0, self.fetch_after());
        let (began, read) = loop {
            tokio::select! {
                read = &mut read => break read,
                Some(offer) = self.offers.recv() => self.take(offer),
                () = self.f.behind(fetch_after), if can_fetch => self.fetch().await,
            }
        };
        match read {
            Ok(changes) => self.succeed(began, from, changes),
            Err(StoreError::Forgotten { .. }) => {
                tracing::info!(feed = ?Feed::Endpoints, "history is gone; reading anew");
                self.read_anew().await;
            }
            Err(e) => {
                self.f.lose(began, &e);
                // Others may know at once that this VM doesn't read for them.
                self.f.site.urgent_update.notify_one();
                self.failures += 1;
                self.retry_at = self.f.site.now() + self.pause();
                self.fetch().await;
            }
        }
    }

    /// Gets the state of a VM that is ahead, where others read for this VM. Gives whether it did.
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

    /// Gets the list whole, from another VM where one has read on.
    async fn read_anew(&mut self) {
        if self.catch_up().await {
            return;
        }
        self.next = None;
        self.began = None;
    }

    /// Tells whether this VM finds out for its zone when the store is back.
    fn seeks_return(&self) -> bool {
        let now = self.f.site.now();
        self.failures > 0 && self.f.site.view().peers.is_zone_leader(now)
    }

    /// Gives how long to wait after failures.
    fn pause(&self) -> Duration {
        if self.seeks_return() {
            return SEEK_EVERY;
        }
        self.f.pause(self.failures)
    }

    /// Gives how long a call may take: longer after failures, since the store may only be slow.
    fn answer_within(&self) -> Duration {
        let limit = self.pace().answer_within() * 2_u32.saturating_pow(self.failures.min(8));
        limit.min(LONGEST_ANSWER)
    }

    fn succeed(&mut self, began: Instant, from: Option<LogPosition>, read: Changes) {
        self.failures = 0;
        self.retry_at = began;
        self.pass_on(from, &read);
        self.next = Some(self.f.take_answer(began, read, from.is_none()));
        let reads_for_others = self.f.site.view().peers.is_zone_reader(self.f.site.now());
        if !reads_for_others {
            // The zone's reader was late: the others needn't read as well.
            self.f.site.urgent_update.notify_one();
        }
    }

    async fn fetch(&mut self) {
        let limit = self.pace().answer_within() * 2;
        // A state that doesn't come in time is asked for again when a message shows who is ahead.
        if let Ok(Some(state)) = timeout(limit, self.f.fetch_ahead()).await {
            self.next = self.f.take_state(state).or(self.next);
        }
    }

    /// Takes in changes that another VM has read, if they follow on what is here.
    fn take(&mut self, offer: ListChanges) {
        let Some(at) = self.next else {
            return;
        };
        let follows_on = at.holds(offer.from) && offer.to > at;
        if !follows_on {
            return;
        }
        self.next = Some(offer.to);
        self.f.note_position(offer.to);
        let changes = offer.changes.into_iter().map(Change::from);
        self.f
            .apply(ChangeSource::Neighbour, changes.collect(), false);
    }

    /// Puts changes of the list that were read into the messages for the VMs of the zone.
    fn pass_on(&self, from: Option<LogPosition>, read: &Changes) {
        let Some(from) = from.filter(|_| !self.f.is_from_before_return(read.next)) else {
            return;
        };
        let parts = parts(from, read);
        let reads_for_others = self.f.site.view().peers.is_zone_reader(self.f.site.now());
        // Of those that read because they heard nothing, each may have read the same.
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

/// Reads the changes of the list from a position on, for so long.
async fn changes<S>(store: S, from: LogPosition, limit: Duration) -> Result<Changes, StoreError>
where
    S: Store,
{
    let call = store.changes(Feed::Endpoints, from, Duration::ZERO);
    timeout(limit, call)
        .await
        .unwrap_or_else(|_| no_answer(limit))
}

/// Reads the changes while the store may be away: begins a call again and again beside those that have no answer yet. Gives what came
/// first, and when that call began.
///
/// A call that began in an outage is never answered, one to a slow store is after long. With one call at a time the store's return
/// is found late by as long as a call may take, and vanished entries are held back for as much longer.
async fn seek<S>(
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
        let next = began + SEEK_EVERY;
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
        why: format!("given up after {} ms", limit.as_millis()),
    }
    .fail()
}

/// Divides what was read from a position on into parts that can be passed on, in their order. Where positions can't be told for each
/// record, it is one part.
fn parts(from: LogPosition, read: &Changes) -> Vec<ListChanges> {
    let records = from.records_to(read.next);
    if records == 0 {
        return Vec::new();
    }
    let is_one_each = usize::try_from(records).is_ok_and(|n| n == read.changes.len());
    let size = if is_one_each { PART } else { usize::MAX };
    let mut at = from;
    let chunks = read.changes.chunks(size.min(read.changes.len().max(1)));
    let mut out: Vec<ListChanges> = chunks
        .map(|chunk| {
            let part = ListChanges {
                from: at,
                to: at.after(chunk.len()),
                changes: newest(chunk.iter().filter_map(passed_on)),
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

fn passed_on(c: &Change) -> Option<ListChange> {
    match c {
        Change::Endpoint(e) => Some(ListChange::Listed(e.clone())),
        Change::EndpointGone(id) => Some(ListChange::Gone(id.clone())),
        Change::Malformed { key, .. } => Some(ListChange::Unreadable(key.clone())),
        Change::Catalog(_) | Change::Vm(_) | Change::Evacuation { .. } => None,
    }
}

/// Leaves of each endpoint what its last state follows from: an entry stands alone, or after what took a former start
/// of the endpoint out of use.
fn newest<I>(changes: I) -> Vec<ListChange>
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
