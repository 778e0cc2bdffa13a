//! What all followers of the store share: applying changes, and fetching them from another VM.

use crate::edge::{Change, Changes, Feed, PeerStates, Protocol, StoreError};
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

/// The time between attempts to read the store while it is away: the first and the longest pause.
pub(crate) const FIRST_PAUSE: Duration = Duration::from_millis(200);
pub(crate) const LONGEST_PAUSE: Duration = Duration::from_millis(1000);
/// How long after the store's return entries that vanished around its outage may take to reappear. The
/// platform states about two seconds.
pub const SETTLE_TIME: Duration = Duration::from_millis(2500);

/// How long after a restore of the store an entry may show an endpoint that was removed before. An entry
/// that nobody writes is removed after three heartbeats.
const DOUBT_TIME: Duration = Duration::from_millis(6000);

/// How many VMs of a zone keep that pace while they can't read the store. With more VMs each waits longer,
/// so that the total rate of their attempts doesn't depend on their number.
const VMS_AT_FULL_PACE: f64 = 8.0;

/// From where a change was learned, for the log lines on endpoints.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ChangeSource {
    /// The platform's store.
    Store,
    /// A VM of the zone that sends on what it reads.
    Neighbour,
    /// The full state of another VM.
    State,
}

/// The state that another VM has read from the store.
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
    T: PeerStates,
{
    pub(crate) fn new(site: Arc<Site<P>>, states: T, feed: Feed) -> Self {
        Self {
            site,
            states,
            feed,
            lost: None,
        }
    }

    /// Returns the longest time between two attempts to read the store.
    pub(crate) fn longest_pause(&self) -> Duration {
        let vms = self.site.view().peers.alive_in_zone(self.site.now());
        #[expect(clippy::cast_precision_loss, reason = "a zone has few VMs")]
        let vms = vms as f64;
        LONGEST_PAUSE.mul_f64((vms / VMS_AT_FULL_PACE).max(1.0))
    }

    /// Returns the time until the next attempt after a number of consecutive failures.
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

    /// Returns how much longer a copy that is too old may be kept without a read, if the VMs that read for
    /// the zone report that they can't.
    ///
    /// The store is then away for those VMs, and many more VMs trying as well would find it away too.
    /// `jitter` of 0 to 1 spreads them.
    pub(crate) fn extra_wait(&self, jitter: f64) -> Duration {
        let now = self.site.now();
        let is_alone = {
            let view = self.site.view();
            view.peers.is_zone_waiter(now) || view.peers.failing_in_zone(now) == 0
        };
        if is_alone {
            return Duration::ZERO;
        }
        let beyond = self.longest_pause().saturating_sub(LONGEST_PAUSE);
        beyond.mul_f64(jitter)
    }

    /// Waits until another VM has read further, and then for the time after which this VM would learn of
    /// the change by itself.
    pub(crate) async fn wait_behind(&self, own_time: Duration) {
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

    /// Waits until a VM of this zone has had a later list than this VM for the given time.
    pub(crate) async fn wait_behind_zone(&self, time: Duration) {
        loop {
            self.site.endpoints_behind.notified().await;
            sleep(time).await;
            if self.site.view().is_behind_zone() {
                return;
            }
        }
    }

    /// Returns `true` if another VM has read further.
    pub(crate) fn is_behind(&self) -> bool {
        self.site.view().is_behind(self.feed)
    }

    pub(crate) fn set_position(&self, next: LogPosition) {
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

    /// Returns `true` if an answer that ends at this position was given before the store was restored from
    /// a copy: it doesn't describe the current store.
    pub(crate) fn is_from_before_restore(&self, next: LogPosition) -> bool {
        next.era() < position(self.site.positions(), self.feed).era()
    }

    /// Applies the store's answer to a read that began at `began`. Returns the position from which to read
    /// on.
    ///
    /// Other VMs may have sent later changes while a slow answer was on its way. Applied after those, the
    /// answer would bring back for good what is gone.
    pub(crate) fn apply_answer(
        &mut self,
        began: Instant,
        answer: Changes,
        whole: bool,
    ) -> LogPosition {
        let current = position(self.site.positions(), self.feed);
        if self.is_from_before_restore(answer.next) {
            tracing::info!(feed = ?self.feed, position = %answer.next, "ignoring an answer from before the store was restored");
            return current;
        }
        self.record_success(began);
        if answer.next < current {
            return current;
        }
        self.set_position(answer.next);
        self.apply(ChangeSource::Store, answer.changes, whole);
        answer.next
    }

    /// Fetches the state of the VM that has read furthest, if it has read further than this VM.
    ///
    /// That VM may have restarted since it reported its position, and have read less now. It is then no longer known
    /// as the furthest, so that another VM's report counts.
    pub(crate) async fn fetch_furthest(&self) -> Option<PeerState> {
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
        let why = match fetched {
            Ok(state) if self.is_ahead(&state) => return Some(PeerState { vm, state }),
            Ok(_) => "it has read no further than this VM".to_owned(),
            Err(why) => why,
        };
        tracing::info!(feed = ?self.feed, %vm, why, "no state from another VM");
        self.forget_furthest();
        None
    }

    /// Returns `true` if another VM's state is from further in the feed than this VM has read.
    fn is_ahead(&self, state: &State) -> bool {
        position(state.positions, self.feed) > position(self.site.positions(), self.feed)
    }

    /// Forgets which VM has read furthest, as it has nothing newer to hand over. A VM that is further
    /// reports so again.
    pub(crate) fn forget_furthest(&self) {
        self.site.view().furthest.remove(&self.feed);
    }

    /// Applies another VM's state. Returns the new position if that VM had read further than this VM.
    pub(crate) fn apply_state(
        &mut self,
        PeerState { vm, mut state }: PeerState,
    ) -> Option<LogPosition> {
        if !self.is_ahead(&state) {
            return None;
        }
        let at = position(state.positions, self.feed);
        tracing::info!(feed = ?self.feed, %vm, position = %at, "read from another VM");
        self.set_position(at);
        let now = self.site.now();
        if let Some(ages) = ages(state.reading, self.feed) {
            let mut view = self.site.view();
            self.site
                .merge_freshness(&mut view, self.feed, ages.to_freshness(now), true);
        }
        let mut versions = None;
        let changes: Vec<Change> = match self.feed {
            Feed::Configuration => {
                let catalog = state.catalog.into_iter();
                let catalog = catalog.map(|c| Change::Catalog(Box::new(c)));
                let evacuated = state.evacuated.into_iter();
                let evacuated = evacuated.map(|zone| Change::Evacuation { zone, begins: true });
                catalog.chain(evacuated).collect()
            }
            Feed::Endpoints | Feed::Vms => {
                versions = state.versions.take();
                listed(state)
            }
        };
        self.apply(ChangeSource::State, changes, true);
        if let Some(seen) = versions {
            self.site.view().version_history.adopt(now, seen);
        }
        Some(at)
    }

    /// Records that a read that began at `began` failed.
    pub(crate) fn record_failure(&mut self, began: Instant, e: &StoreError) {
        self.site.view().feed_reads.record_failure(self.feed, began);
        if self.lost.is_none() {
            tracing::warn!(feed = ?self.feed, error = %e, "store lost");
            self.lost = Some(self.site.now());
        }
    }

    /// Records that a read that began at `began` was answered.
    fn record_success(&mut self, began: Instant) {
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
        let mut has_changes = false;
        if whole && self.feed == Feed::Endpoints {
            self.site.view().version_history.restart(now);
        }
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
                        tracing::info!(%instance, "an entry that was removed before the store was restored is in doubt");
                        view.version_history
                            .record(now, &e.service, e.software.as_ref());
                        view.doubtful.insert(instance.id, e);
                        continue;
                    }
                    view.doubtful.remove(&instance.id);
                    view.held_removals.remove(&instance.id);
                    let update = view.list(now, e);
                    drop(view);
                    self.site.log_restart(&instance, update, "list");
                    if leaving || update.is_new && !whole {
                        tracing::info!(%instance, leaving, ?learnt, %position, "endpoint listed");
                    }
                    has_changes = true;
                }
                Change::EndpointGone(instance) => {
                    self.site.view().doubtful.remove(&instance);
                    self.remove_or_hold(now, &instance);
                    has_changes = true;
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
                    self.record_unreadable(&key, &why);
                    seen.insert(key);
                    has_changes = true;
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
                self.remove_or_hold(now, id);
            }
        }
        if has_changes {
            self.publish_change();
        }
    }

    /// Updates the number of endpoints in the metrics and wakes the requests that wait for a change.
    fn publish_change(&self) {
        let n = self.site.view().roster.len();
        let n = i64::try_from(n).unwrap_or(i64::MAX);
        self.site.metrics.endpoints.set(n);
        self.site.endpoints_changed.notify_waiters();
    }

    /// Returns until when vanished entries may reappear.
    ///
    /// The time counts from the store's return as all VMs together know it. When it was counted from this
    /// VM's own first answer, the removal of an endpoint was held back for 3.4 s with 8 VMs and 13 s with
    /// 150, where 2 s and 4 s are allowed (`tests/departures.rs`).
    pub(crate) fn settled_at(&self) -> Option<Instant> {
        let view = self.site.view();
        let freshness = view.feed_reads.freshness(self.feed)?;
        let returned = view.store_return.map(|r| r.at);
        // A very short outage may fall between two calls. Only the era shows it then.
        let healthy_since = returned.map_or(freshness.healthy_since(), |t| {
            t.max(freshness.healthy_since())
        });
        Some(healthy_since + SETTLE_TIME)
    }

    /// Returns until when entries that were removed before the store's restore are in doubt.
    pub(crate) fn doubted_until(&self) -> Option<Instant> {
        let view = self.site.view();
        Some(view.store_return.filter(|_| !view.doubtful.is_empty())?.at + DOUBT_TIME)
    }

    /// Applies the entries that were in doubt for long enough: without somebody writing them they would be
    /// gone by now.
    pub(crate) fn end_doubt(&mut self) {
        if self.doubted_until().is_none_or(|t| self.site.now() < t) {
            return;
        }
        let due = std::mem::take(&mut self.site.view().doubtful);
        let changes = due.into_values().map(Change::Endpoint).collect();
        self.apply(ChangeSource::Store, changes, false);
    }

    /// Records that a record can't be read. An unreadable entry of the list takes its endpoint out of use.
    /// Each entry is logged once, within the limit for lines on requests.
    fn record_unreadable(&self, key: &SmolStr, why: &str) {
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

    fn remove_or_hold(&self, now: Instant, id: &SmolStr) {
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

    /// Waits until a time; forever if there is none.
    pub(crate) async fn until(&self, at: Option<Instant>) {
        match at {
            Some(t) => self.site.clock.sleep_until(t).await,
            None => std::future::pending().await,
        }
    }

    /// Drops the endpoints whose removal was held back, once no entry can reappear.
    pub(crate) fn apply_held_removals(&mut self) {
        let is_settled = self.settled_at().is_none_or(|t| self.site.now() >= t);
        if !is_settled || self.site.view().held_removals.is_empty() {
            return;
        }
        let due = std::mem::take(&mut self.site.view().held_removals);
        for id in &due {
            self.drop_endpoint(id);
        }
        self.publish_change();
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

/// Returns how far this VM has read a feed, or `None` if it has read nothing.
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

/// Returns another VM's list as changes.
fn listed(state: State) -> Vec<Change> {
    let unreadable = state.unreadable.into_iter().map(ListChange::Unreadable);
    let endpoints = state.endpoints.into_iter().map(ListChange::Listed);
    endpoints.chain(unreadable).map(Change::from).collect()
}

fn ids(roster: &Roster) -> BTreeSet<SmolStr> {
    roster.iter().map(|(_, e)| e.instance.id.clone()).collect()
}
