//! Following what the platform's store keeps: configuration, list of endpoints, VMs.
//!
//! Each feed is read once whole and then by calls that wait for changes. While the store is away the
//! last state stays in force. Entries that vanish during an outage or within [`SETTLE`] after it are
//! taken as gone only if they are still missing then, since living endpoints list themselves again.

use crate::edge::{Change, Changes, Feed, Protocol, States, Store, StoreError};
use crate::metrics::Metrics;
use crate::site::Site;
use limehollow::roster::Roster;
use limehollow_wire::gossip::{ListChange, ListChanges, Positions, State};
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{Instant, sleep};

/// How long a call waits for a change: as long as the store holds one, less some time on the way.
const WAIT: Duration = Duration::from_secs(25);
/// The time after which one of the VMs asks for changes anew, on average: a fraction of the time in which
/// a configuration has to be in force.
const ASK_ANEW: Duration = Duration::from_millis(300);
/// The spread of a VM's own waits, so that they don't fall together.
const JITTER: std::ops::Range<f64> = 0.7..1.3;
/// How long this VM takes to hear of a change by itself, at most, where the store is sound: a pause
/// between reads and a call.
const OWN_TIME: Duration = Duration::from_millis(300);
/// How long a VM that is behind others waits for the store before it asks one of them as well: a large
/// configuration takes that long on a slow link, and one that has to be in force in two seconds can't wait for
/// the end of a call that the store leaves unanswered.
const ASK_PEER_AFTER: Duration = Duration::from_millis(700);
/// The least time between two reads of a feed: what changes in between comes in one answer, and calls
/// are priced.
const PAUSE: Duration = Duration::from_millis(350);
/// The same for the list of endpoints, which changes with each order and is longer in coming anyway.
const LIST_PAUSE: Duration = Duration::from_millis(700);
/// How long the zone's leader may take longer than those of other zones to hear of a change of the list, since each
/// reads at its own pace; who reads for itself sooner asks the store for what comes anyway.
const LEADER_TIME: Duration = Duration::from_millis(750);
/// The time between tries while the store is away: at first, and at most.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
const LONGEST_PAUSE: Duration = Duration::from_millis(1000);
/// How long after this VM lost the store another has to have read on, so that the outage counts as this
/// VM's own: others may have read a little further before an outage of the whole store.
const ALONE_AFTER: Duration = Duration::from_millis(1500);
/// How long a VM goes without reading the list itself while it hears nothing new of it, in a zone of
/// [`SMALL_ZONE`] VMs; with more of them it is longer in proportion, since each such read is a call to the store.
const LISTEN_FOR: Duration = Duration::from_secs(5);
/// The VMs of a zone of today's small sites.
const SMALL_ZONE: u32 = 3;
/// Changes of the list that go into one message at most; beyond, each VM reads them itself. With a few hundred
/// bytes each they fit in a datagram beside the rest.
const MAX_PASSED_ON: usize = 100;
/// How long entries that vanished around an outage may take to come back: the platform says about two
/// seconds.
pub const SETTLE: Duration = Duration::from_millis(2500);

/// Follows one feed for as long as the process lives.
pub async fn follow<P, S, T>(site: Arc<Site<P>>, store: S, states: T, feed: Feed)
where
    P: Protocol,
    S: Store,
    T: States,
{
    let mut f = Follower {
        site,
        states,
        feed,
        lost: None,
        was_alone: false,
        settled: None,
        missing: BTreeMap::new(),
    };
    let mut offers = match feed {
        Feed::Endpoints => f.site.take_list_offers(),
        Feed::Configuration | Feed::Vms => None,
    };
    let mut next = None;
    let mut pause = FIRST_PAUSE;
    let mut is_behind = false;
    loop {
        // What other VMs have read is there: a call that doesn't wait gets it.
        let mut wait = if is_behind { Duration::ZERO } else { f.wait() };
        if let (Some(at), Some(offers)) = (next, &mut offers)
            && f.may_listen()
        {
            if let Some(to) = f.listen(at, offers).await {
                next = Some(to);
                continue;
            }
            // What is there is read; who leads the zone waits for what comes.
            wait = Duration::ZERO;
        }
        let whole = next.is_none();
        let read = async {
            match next {
                None => store.newest(feed).await,
                Some(from) => store.changes(feed, from, wait).await,
            }
        };
        // A call that waits may miss a change; another VM that has read further shows it. A call that doesn't
        // wait is under way for as long as its answer takes on a slow link, and isn't begun anew.
        let may_miss = !whole && !wait.is_zero();
        let read = tokio::select! {
            read = read => read,
            () = f.behind(OWN_TIME), if may_miss => {
                is_behind = true;
                continue;
            }
            state = f.fetch_late(), if is_behind => {
                next = f.take_state(state).or(next);
                is_behind = false;
                continue;
            }
        };
        is_behind = false;
        match read {
            Ok(changes) => {
                f.regained();
                pause = FIRST_PAUSE;
                f.pass_on(next, &changes);
                next = Some(changes.next);
                f.note_position(changes.next);
                f.apply(Learnt::Store, changes.changes, whole);
                let list = feed == Feed::Endpoints;
                sleep(if list { LIST_PAUSE } else { PAUSE }).await;
            }
            Err(StoreError::Forgotten { .. }) => {
                tracing::info!(?feed, "history is gone; reading anew");
                next = None;
            }
            Err(e) => {
                f.lose(&e);
                if let Some(state) = f.fetch_ahead().await {
                    next = f.take_state(state).or(next);
                }
                sleep(pause).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
        f.drop_missing();
    }
}

/// From where a change was learnt, for the lines on endpoints.
#[derive(Clone, Copy, Debug)]
enum Learnt {
    /// The platform's store.
    Store,
    /// A VM of the zone, which passes on what it reads.
    Neighbour,
    /// The whole state of another VM.
    State,
}

/// What another VM has read of the store.
struct PeerState {
    vm: SmolStr,
    state: State,
}

struct Follower<P, T> {
    site: Arc<Site<P>>,
    states: T,
    feed: Feed,
    lost: Option<Instant>,
    /// Whether others read on while this VM could not.
    was_alone: bool,
    /// Until when vanished entries may come back.
    settled: Option<Instant>,
    /// Entries that vanished around an outage, and when they count as gone.
    missing: BTreeMap<SmolStr, Instant>,
}

impl<P, T> Follower<P, T>
where
    P: Protocol,
    T: States,
{
    /// Tells whether the list comes from the VM that leads the zone, so that one VM a zone reads it.
    fn may_listen(&self) -> bool {
        let has_leader = self
            .site
            .known()
            .peers
            .zone_leader(Instant::now())
            .is_some();
        self.lost.is_none() && self.missing.is_empty() && has_leader
    }

    /// Waits for changes that another VM offers, and takes them in. Gives the new position, or none when the
    /// store has to be read: another VM is further and its changes didn't come, or nothing came for long.
    async fn listen(
        &mut self,
        at: u64,
        offers: &mut UnboundedReceiver<ListChanges>,
    ) -> Option<u64> {
        let offer = tokio::select! {
            offer = offers.recv() => offer?,
            () = self.behind(LEADER_TIME) => return None,
            () = sleep(self.listen_for()) => return None,
        };
        if offer.to <= at {
            return Some(at);
        }
        if offer.from > at {
            return None;
        }
        self.note_position(offer.to);
        let changes = offer.changes.into_iter().map(|c| match c {
            ListChange::Listed(e) => Change::Endpoint(e),
            ListChange::Gone(i) => Change::EndpointGone(i),
        });
        self.apply(Learnt::Neighbour, changes.collect(), false);
        Some(offer.to)
    }

    fn listen_for(&self) -> Duration {
        let here = self.site.known().peers.alive_here(Instant::now());
        let here = u32::try_from(here).unwrap_or(u32::MAX);
        LISTEN_FOR * here.max(SMALL_ZONE) / SMALL_ZONE
    }

    /// Puts changes of the list that were read into the messages for the VMs of the zone.
    fn pass_on(&self, from: Option<u64>, read: &Changes) {
        let (Feed::Endpoints, Some(from)) = (self.feed, from) else {
            return;
        };
        let changes = read.changes.iter().filter_map(|c| match c {
            Change::Endpoint(e) => Some(ListChange::Listed(e.clone())),
            Change::EndpointGone(i) => Some(ListChange::Gone(i.clone())),
            _ => None,
        });
        let news = ListChanges {
            from,
            to: read.next,
            changes: newest(changes),
        };
        if news.to > news.from && news.changes.len() <= MAX_PASSED_ON {
            self.site
                .known()
                .list_news
                .push_back((Instant::now(), news));
            self.site.urgent.notify_one();
        }
    }

    /// Gives how long the next call waits. A store that is slow may forget to wake a call, so the VMs
    /// together ask anew every [`ASK_ANEW`]; whoever hears of a change tells the others.
    fn wait(&self) -> Duration {
        let longest = match self.feed {
            Feed::Vms => WAIT,
            Feed::Configuration | Feed::Endpoints => {
                let alive = self.site.known().peers.alive(Instant::now());
                let vms = u32::try_from(alive).unwrap_or(u32::MAX);
                let spread = rand::random_range(JITTER);
                (ASK_ANEW * vms).mul_f64(spread).min(WAIT)
            }
        };
        let due = self.missing.values().min();
        due.map_or(longest, |t| {
            t.saturating_duration_since(Instant::now()).min(longest)
        })
    }

    /// Waits until another VM has read further, and for as long as this one would take to hear of it
    /// otherwise.
    async fn behind(&self, own_time: Duration) {
        let behind = match self.feed {
            Feed::Configuration => &self.site.configuration_behind,
            Feed::Endpoints => &self.site.endpoints_behind,
            Feed::Vms => return std::future::pending().await,
        };
        loop {
            behind.notified().await;
            sleep(own_time).await;
            let known = self.site.known();
            let theirs = known.ahead.get(&self.feed).map_or(0, |(_, at)| *at);
            if theirs > position(known.positions, self.feed) {
                return;
            }
        }
    }

    fn note_position(&self, next: u64) {
        let mut known = self.site.known();
        match self.feed {
            Feed::Configuration => known.positions.configuration = next,
            Feed::Endpoints => known.positions.endpoints = next,
            Feed::Vms => {}
        }
    }

    /// Gives what another VM has read, once the store has not answered for [`ASK_PEER_AFTER`]; waits for as
    /// long as no VM is further.
    async fn fetch_late(&self) -> PeerState {
        loop {
            sleep(ASK_PEER_AFTER).await;
            if let Some(state) = self.fetch_ahead().await {
                return state;
            }
        }
    }

    /// Asks the VM that has read furthest for what it has read, if it is further than this one.
    async fn fetch_ahead(&self) -> Option<PeerState> {
        let (vm, address) = {
            let known = self.site.known();
            let (vm, at) = known.ahead.get(&self.feed)?;
            if *at <= position(known.positions, self.feed) {
                return None;
            }
            (vm.clone(), known.peers.address(vm)?)
        };
        match self.states.fetch(address).await {
            Ok(state) => Some(PeerState { vm, state }),
            Err(why) => {
                tracing::info!(%vm, why, "no state from another VM");
                self.site.known().ahead.remove(&self.feed);
                None
            }
        }
    }

    /// Takes in what another VM has read. Gives the new position, if it is further than this VM.
    fn take_state(&mut self, PeerState { vm, state }: PeerState) -> Option<u64> {
        let at = position(state.positions, self.feed);
        if at <= position(self.site.positions(), self.feed) {
            return None;
        }
        tracing::info!(feed = ?self.feed, %vm, position = at, "read from another VM");
        self.was_alone |= self.lost.is_some_and(|t| t.elapsed() > ALONE_AFTER);
        self.note_position(at);
        let changes: Vec<Change> = match self.feed {
            Feed::Configuration => {
                let catalog = state.catalog.into_iter();
                catalog.map(|c| Change::Catalog(Box::new(c))).collect()
            }
            _ => state.endpoints.into_iter().map(Change::Endpoint).collect(),
        };
        self.apply(Learnt::State, changes, true);
        Some(at)
    }

    fn lose(&mut self, e: &StoreError) {
        Metrics::count(&self.site.metrics.store_calls, "failed");
        if self.lost.is_none() {
            tracing::warn!(feed = ?self.feed, error = %e, "store lost");
            self.lost = Some(Instant::now());
        }
    }

    fn regained(&mut self) {
        Metrics::count(&self.site.metrics.store_calls, "answered");
        let Some(since) = self.lost.take() else {
            return;
        };
        let now = Instant::now();
        tracing::info!(feed = ?self.feed, away_ms = now.duration_since(since).as_millis(), "store regained");
        // What others could read meanwhile went on without an outage: nothing has lapsed for it.
        let was_alone = std::mem::take(&mut self.was_alone);
        self.settled = (!was_alone).then_some(now + SETTLE);
    }

    fn apply(&mut self, learnt: Learnt, changes: Vec<Change>, whole: bool) {
        let now = Instant::now();
        let position = position(self.site.positions(), self.feed);
        let mut seen = Vec::new();
        let mut news = false;
        for c in changes {
            match c {
                Change::Catalog(c) => {
                    let version = c.version;
                    if self.site.set_catalog(*c) {
                        let version = i64::try_from(version).unwrap_or(i64::MAX);
                        self.site.metrics.catalog.set(version);
                    }
                }
                Change::Endpoint(e) => {
                    seen.push(e.instance.clone());
                    self.missing.remove(&e.instance);
                    let (instance, leaving) = (e.instance.clone(), e.leaving);
                    let new = self.site.known().roster.list(now, e);
                    if new || leaving {
                        tracing::info!(%instance, leaving, ?learnt, position, "endpoint listed");
                    }
                    news = true;
                }
                Change::EndpointGone(instance) => {
                    self.vanish(now, instance);
                    news = true;
                }
                Change::Vm(vm) => {
                    let mut known = self.site.known();
                    known
                        .peers
                        .learn(vm.name, vm.zone, vm.address, vm.millicores);
                }
                Change::Malformed { key, why } => {
                    tracing::warn!(feed = ?self.feed, %key, why, "a record can't be read; the last good one stays");
                }
            }
        }
        if whole && self.feed == Feed::Endpoints {
            let known = instances(&self.site.known().roster);
            for instance in known.into_iter().filter(|i| !seen.contains(i)) {
                self.vanish(now, instance);
            }
        }
        if news {
            let n = self.site.known().roster.len();
            self.site
                .metrics
                .endpoints
                .set(i64::try_from(n).unwrap_or(i64::MAX));
            self.site.changed.notify_waiters();
        }
    }

    fn vanish(&mut self, now: Instant, instance: SmolStr) {
        match self.settled.filter(|t| now < *t) {
            Some(due) => {
                let held_ms = due.duration_since(now).as_millis();
                tracing::info!(%instance, held_ms, "a removal is held back");
                self.missing.entry(instance).or_insert(due);
            }
            None => self.drop_endpoint(&instance),
        }
    }

    fn drop_missing(&mut self) {
        let now = Instant::now();
        let due: Vec<SmolStr> = self
            .missing
            .iter()
            .filter(|(_, t)| now >= **t)
            .map(|(i, _)| i.clone())
            .collect();
        for instance in due {
            self.missing.remove(&instance);
            self.drop_endpoint(&instance);
        }
    }

    fn drop_endpoint(&self, instance: &SmolStr) {
        let mut known = self.site.known();
        if let Some(key) = known.roster.remove(instance) {
            known.balance.forget(key);
            tracing::info!(%instance, "endpoint is off the list");
        }
    }
}

/// Leaves the last change of each instance.
fn newest<I>(changes: I) -> Vec<ListChange>
where
    I: Iterator<Item = ListChange>,
{
    let mut by_instance: BTreeMap<SmolStr, ListChange> = BTreeMap::new();
    for c in changes {
        let instance = match &c {
            ListChange::Listed(e) => e.instance.clone(),
            ListChange::Gone(i) => i.clone(),
        };
        by_instance.insert(instance, c);
    }
    by_instance.into_values().collect()
}

fn position(p: Positions, feed: Feed) -> u64 {
    match feed {
        Feed::Configuration => p.configuration,
        Feed::Endpoints => p.endpoints,
        Feed::Vms => 0,
    }
}

fn instances(roster: &Roster) -> Vec<SmolStr> {
    roster.iter().map(|(_, e)| e.instance.clone()).collect()
}
