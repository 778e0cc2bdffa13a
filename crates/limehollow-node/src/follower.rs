//! What all followers of the store share: taking changes in, and getting them from another VM.

use crate::edge::{Change, Changes, Feed, Protocol, States, StoreError};
use crate::logging::may_log;
use crate::site::Site;
use crate::start::jittered;
use limehollow::log_position::LogPosition;
use limehollow::roster::Roster;
use limehollow_wire::gossip::{Ages, ListChange, Positions, Reading, State};
use smol_str::SmolStr;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The time between tries while the store is away: at first, and at most.
pub(crate) const FIRST_PAUSE: Duration = Duration::from_millis(200);
pub(crate) const LONGEST_PAUSE: Duration = Duration::from_millis(1000);
/// How long after the store's return entries that vanished around its outage may take to come back: the platform
/// says about two seconds.
pub const SETTLE_TIME: Duration = Duration::from_millis(2500);

/// How long after the store's return an entry may show an endpoint that was removed before: one that nobody writes goes after three
/// heartbeats.
const DOUBT: Duration = Duration::from_millis(6000);

/// How many VMs of a zone go on trying at that pace while they can't read the store. With more of them each waits longer, so that what they ask of
/// it together stays the same however many they are.
const TRYING: f64 = 8.0;

/// From where a change was learnt, for the lines on endpoints.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ChangeSource {
    /// The platform's store.
    Store,
    /// A VM of the zone, which passes on what it reads.
    Neighbour,
    /// The whole state of another VM.
    State,
}

/// What another VM has read of the store.
pub(crate) struct PeerState {
    pub(crate) vm: SmolStr,
    pub(crate) state: State,
}

/// A follower of one feed.
pub(crate) struct Follower<P, T> {
    pub(crate) site: Arc<Site<P>>,
    pub(crate) states: T,
    pub(crate) feed: Feed,
    /// When the store was lost, for the log.
    lost: Option<Instant>,
}

impl<P, T> Follower<P, T>
where
    P: Protocol,
    T: States,
{
    pub(crate) fn new(site: Arc<Site<P>>, states: T, feed: Feed) -> Self {
        Self {
            site,
            states,
            feed,
            lost: None,
        }
    }

    /// Gives the longest time between two tries to read the store.
    pub(crate) fn longest_pause(&self) -> Duration {
        let here = self.site.view().peers.alive_here(self.site.now());
        #[expect(clippy::cast_precision_loss, reason = "a zone has few VMs")]
        let here = here as f64;
        LONGEST_PAUSE.mul_f64((here / TRYING).max(1.0))
    }

    /// Gives the time until the next try after so many failures.
    pub(crate) fn pause(&self, failures: u32) -> Duration {
        let pause = FIRST_PAUSE * 2_u32.saturating_pow(failures.saturating_sub(1).min(16));
        if pause <= LONGEST_PAUSE {
            return pause;
        }
        let longest = self.longest_pause();
        if longest <= LONGEST_PAUSE {
            return LONGEST_PAUSE;
        }
        jittered(pause.min(longest))
    }

    /// Gives how much longer a copy may stay as it is that is too old, where those who read for the zone say that they can't: the store
    /// is away for them, and many VMs that try as well would find it away too. `luck` of 0 to 1 spreads them.
    pub(crate) fn patience(&self, luck: f64) -> Duration {
        let now = self.site.now();
        let is_alone = {
            let view = self.site.view();
            view.peers.is_zone_waiter(now) || view.peers.failing_here(now) == 0
        };
        if is_alone {
            return Duration::ZERO;
        }
        let beyond = self.longest_pause().saturating_sub(LONGEST_PAUSE);
        beyond.mul_f64(luck)
    }

    /// Waits until another VM has read further, and for as long as this one would take to hear of it
    /// otherwise.
    pub(crate) async fn behind(&self, own_time: Duration) {
        let Some(behind) = self.site.behind(self.feed) else {
            return std::future::pending().await;
        };
        loop {
            behind.notified().await;
            sleep(own_time).await;
            if self.is_behind() {
                return;
            }
        }
    }

    /// Waits until a VM of this zone has read the list further than this one for so long.
    pub(crate) async fn behind_here(&self, time: Duration) {
        loop {
            self.site.endpoints_behind.notified().await;
            sleep(time).await;
            if self.site.view().is_behind_zone() {
                return;
            }
        }
    }

    /// Tells whether another VM has read further.
    pub(crate) fn is_behind(&self) -> bool {
        self.site.view().is_behind(self.feed)
    }

    pub(crate) fn note_position(&self, next: LogPosition) {
        let before = position(self.site.positions(), self.feed);
        if !before.is_start() && next.era() > before.era() {
            self.site.record_store_return(next.era());
        }
        let mut view = self.site.view();
        match self.feed {
            Feed::Configuration => view.positions.configuration = next,
            Feed::Endpoints => view.positions.endpoints = next,
            Feed::Vms => {}
        }
    }

    /// Tells whether an answer that ends here was given before the store came back from a copy: it says nothing of the store as it is.
    pub(crate) fn is_from_before_return(&self, next: LogPosition) -> bool {
        next.era() < position(self.site.positions(), self.feed).era()
    }

    /// Takes in what the store answered to a read that began at this moment. Gives where to read on.
    ///
    /// Others may have told more than an answer that was long on its way. Applied on top, it would bring back for good what is gone.
    pub(crate) fn take_answer(
        &mut self,
        began: Instant,
        answer: Changes,
        whole: bool,
    ) -> LogPosition {
        let here = position(self.site.positions(), self.feed);
        if self.is_from_before_return(answer.next) {
            tracing::info!(feed = ?self.feed, position = %answer.next, "an answer from before the store's return");
            return here;
        }
        self.regained(began);
        if answer.next < here {
            return here;
        }
        self.note_position(answer.next);
        self.apply(ChangeSource::Store, answer.changes, whole);
        answer.next
    }

    /// Asks the VM that has read furthest for what it has read, if it is further than this one.
    pub(crate) async fn fetch_ahead(&self) -> Option<PeerState> {
        let (vm, address) = {
            let view = self.site.view();
            let (vm, at) = view.furthest.get(&self.feed)?;
            if *at <= position(view.positions, self.feed) {
                return None;
            }
            (vm.clone(), view.peers.address(vm)?)
        };
        let fetched = match self.feed {
            Feed::Configuration => self.states.fetch_configuration(address).await,
            Feed::Endpoints | Feed::Vms => self.states.fetch(address).await,
        };
        match fetched {
            Ok(state) => Some(PeerState { vm, state }),
            Err(why) => {
                tracing::info!(%vm, why, "no state from another VM");
                self.forget_ahead();
                None
            }
        }
    }

    /// Forgets which VM has read furthest: it hands nothing over that is further. Who is ahead says so again.
    pub(crate) fn forget_ahead(&self) {
        self.site.view().furthest.remove(&self.feed);
    }

    /// Takes in what another VM has read. Gives the new position, if it is further than this VM.
    pub(crate) fn take_state(&mut self, PeerState { vm, state }: PeerState) -> Option<LogPosition> {
        let at = position(state.positions, self.feed);
        if at <= position(self.site.positions(), self.feed) {
            return None;
        }
        tracing::info!(feed = ?self.feed, %vm, position = %at, "read from another VM");
        self.note_position(at);
        let now = self.site.now();
        if let Some(ages) = ages(state.reading, self.feed) {
            let mut view = self.site.view();
            self.site
                .merge_freshness(&mut view, self.feed, ages.told(now), true);
        }
        let changes: Vec<Change> = match self.feed {
            Feed::Configuration => {
                let catalog = state.catalog.into_iter();
                let catalog = catalog.map(|c| Change::Catalog(Box::new(c)));
                let evacuated = state.evacuated.into_iter();
                let evacuated = evacuated.map(|zone| Change::Evacuation { zone, begins: true });
                catalog.chain(evacuated).collect()
            }
            Feed::Endpoints | Feed::Vms => listed(state),
        };
        self.apply(ChangeSource::State, changes, true);
        Some(at)
    }

    /// Notes that a read that began at this moment failed.
    pub(crate) fn lose(&mut self, began: Instant, e: &StoreError) {
        self.site.view().feed_reads.record_failure(self.feed, began);
        if self.lost.is_none() {
            tracing::warn!(feed = ?self.feed, error = %e, "store lost");
            self.lost = Some(self.site.now());
        }
    }

    /// Notes that a read that began at this moment was answered.
    fn regained(&mut self, began: Instant) {
        if self.feed == Feed::Configuration {
            self.site.view().confirmation.confirm(began);
        }
        if let Some(pace) = self.site.settings.load().pace(self.feed) {
            let mut view = self.site.view();
            view.feed_reads
                .record_read(self.feed, began, pace.longest_gap());
        }
        if let Some(since) = self.lost.take() {
            let away_ms = self.site.now().saturating_duration_since(since).as_millis();
            tracing::info!(feed = ?self.feed, away_ms, "store regained");
        }
    }

    pub(crate) fn apply(&mut self, learnt: ChangeSource, changes: Vec<Change>, whole: bool) {
        let now = self.site.now();
        let position = position(self.site.positions(), self.feed);
        let mut seen = BTreeSet::new();
        let mut evacuated = BTreeSet::new();
        let mut vms = Vec::new();
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
                    seen.insert(e.instance.id.clone());
                    let (instance, leaving) = (e.instance.clone(), e.leaving);
                    let mut view = self.site.view();
                    if whole && view.may_be_from_copy(&instance.id, position.era()) {
                        tracing::info!(%instance, "an entry that was removed before the store's return is in doubt");
                        view.doubtful.insert(instance.id, e);
                        continue;
                    }
                    view.doubtful.remove(&instance.id);
                    view.held_removals.remove(&instance.id);
                    let update = view.list(now, e);
                    drop(view);
                    self.site.log_restart(&instance, update, "list");
                    if leaving || update.is_news && !whole {
                        tracing::info!(%instance, leaving, ?learnt, %position, "endpoint listed");
                    }
                    news = true;
                }
                Change::EndpointGone(instance) => {
                    self.site.view().doubtful.remove(&instance);
                    self.vanish(now, &instance);
                    news = true;
                }
                Change::Vm(vm) => {
                    let mut view = self.site.view();
                    view.add_vm(&vm);
                    if whole {
                        vms.push(vm);
                    } else {
                        view.record_listed(vm);
                    }
                }
                Change::Evacuation { zone, begins } => {
                    if begins {
                        evacuated.insert(zone.clone());
                    }
                    self.site.set_evacuated(&zone, begins);
                }
                Change::Malformed { key, why } => {
                    self.note_unreadable(&key, &why);
                    seen.insert(key);
                    news = true;
                }
            }
        }
        if whole && self.feed == Feed::Configuration {
            self.site.retain_evacuated(&evacuated);
        }
        if whole && self.feed == Feed::Vms {
            let mut view = self.site.view();
            view.has_vms = true;
            view.update_vm_count(now, 0);
            if view.record_all_listed(vms) {
                self.site.vm_unlisted.notify_one();
            }
        }
        if whole && self.feed == Feed::Endpoints {
            tracing::info!(endpoints = seen.len(), ?learnt, %position, "the whole list");
            self.site.view().roster.retain_unreadable(&seen);
            let listed = ids(&self.site.view().roster);
            for id in listed.difference(&seen) {
                self.vanish(now, id);
            }
        }
        if news {
            self.tell_change();
        }
    }

    /// Says that endpoints have changed, to requests that wait and to who reads the metrics.
    fn tell_change(&self) {
        let n = self.site.view().roster.len();
        let n = i64::try_from(n).unwrap_or(i64::MAX);
        self.site.metrics.endpoints.set(n);
        self.site.endpoints_changed.notify_waiters();
    }

    /// Gives until when entries that vanish may come back.
    ///
    /// It counts from the store's return as the VMs together know it. Counted from this VM's own first answer, the
    /// removal of an endpoint was held back for 3.4 s with 8 VMs and 13 s with 150, on a bound of 2 s and 4 s
    /// (`tests/departures.rs`).
    pub(crate) fn settled_at(&self) -> Option<Instant> {
        let view = self.site.view();
        let freshness = view.feed_reads.freshness(self.feed)?;
        let returned = view.store_return.map(|r| r.at);
        // An absence of a moment may lie between two calls; only the era shows it then.
        let sound_since =
            returned.map_or(freshness.sound_since(), |t| t.max(freshness.sound_since()));
        Some(sound_since + SETTLE_TIME)
    }

    /// Gives until when entries are in doubt that were removed before the store's return.
    pub(crate) fn doubted_until(&self) -> Option<Instant> {
        let view = self.site.view();
        Some(view.store_return.filter(|_| !view.doubtful.is_empty())?.at + DOUBT)
    }

    /// Takes in the entries that were in doubt for long enough: they would be gone by now if nobody wrote them.
    pub(crate) fn end_doubt(&mut self) {
        if self.doubted_until().is_none_or(|t| self.site.now() < t) {
            return;
        }
        let due = std::mem::take(&mut self.site.view().doubtful);
        let changes = due.into_values().map(Change::Endpoint).collect();
        self.apply(ChangeSource::Store, changes, false);
    }

    /// Notes a record that can't be read. An entry of the list takes its endpoint out of use; a line says so once, and
    /// as many in all as lines on requests are allowed.
    fn note_unreadable(&self, key: &SmolStr, why: &str) {
        let mut view = self.site.view();
        let is_entry = self.feed == Feed::Endpoints;
        let is_known = is_entry && view.roster.unreadable().any(|id| id == key);
        let was_in_use = is_entry && view.set_unreadable(key);
        drop(view);
        if is_known {
            return;
        }
        self.site.metrics.unreadable_records.inc();
        if may_log() {
            tracing::warn!(feed = ?self.feed, %key, why, was_in_use, "a record can't be read");
        }
    }

    fn vanish(&self, now: Instant, id: &SmolStr) {
        match self.settled_at().filter(|t| now < *t) {
            Some(due) => {
                let held_ms = due.duration_since(now).as_millis();
                if self.site.view().held_removals.insert(id.clone()) {
                    tracing::info!(instance = %id, held_ms, "a removal is held back");
                }
            }
            None => self.drop_endpoint(id),
        }
    }

    /// Waits until a moment, for good if there is none.
    pub(crate) async fn until(&self, at: Option<Instant>) {
        match at {
            Some(t) => self.site.clock.sleep_until(t).await,
            None => std::future::pending().await,
        }
    }

    /// Drops what was held back, once nothing can come back any more.
    pub(crate) fn drop_withheld(&mut self) {
        let is_settled = self.settled_at().is_none_or(|t| self.site.now() >= t);
        if !is_settled || self.site.view().held_removals.is_empty() {
            return;
        }
        let due = std::mem::take(&mut self.site.view().held_removals);
        for id in &due {
            self.drop_endpoint(id);
        }
        self.tell_change();
    }

    fn drop_endpoint(&self, id: &SmolStr) {
        let now = self.site.now();
        if self.site.view().drop_endpoint(now, id) {
            tracing::info!(instance = %id, "endpoint is off the list");
        }
    }
}

pub(crate) fn position(p: Positions, feed: Feed) -> LogPosition {
    match feed {
        Feed::Configuration => p.configuration,
        Feed::Endpoints => p.endpoints,
        Feed::Vms => LogPosition::default(),
    }
}

/// Gives how far this VM has read a feed; none where it has read nothing.
pub(crate) fn read_to<P>(site: &Site<P>, feed: Feed) -> Option<LogPosition>
where
    P: Protocol,
{
    Some(position(site.positions(), feed)).filter(|at| !at.is_start())
}

pub(crate) fn ages(r: Reading, feed: Feed) -> Option<Ages> {
    match feed {
        Feed::Configuration => r.configuration,
        Feed::Endpoints => r.endpoints,
        Feed::Vms => None,
    }
}

/// Gives another VM's list as changes.
fn listed(state: State) -> Vec<Change> {
    let unreadable = state.unreadable.into_iter().map(ListChange::Unreadable);
    let endpoints = state.endpoints.into_iter().map(ListChange::Listed);
    endpoints.chain(unreadable).map(Change::from).collect()
}

fn ids(roster: &Roster) -> BTreeSet<SmolStr> {
    roster.iter().map(|(_, e)| e.instance.id.clone()).collect()
}
