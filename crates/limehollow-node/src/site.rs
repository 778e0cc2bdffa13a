//! The state that the tasks of the process share.
//!
//! All tasks run on one thread; no lock is held over an `await`.

use crate::answer_memory::AnswerMemory;
use crate::clock::Clock;
use crate::connections::Connections;
use crate::edge::{Feed, Protocol};
use crate::follower::{ages, position};
use crate::metrics::Metrics;
use crate::own_delay::RecentWork;
use crate::pool::Pool;
use crate::query::PendingQueries;
use crate::request_body::MAX_DISCARDS;
use crate::resumption;
use crate::settings::NodeSettings;
use crate::site_view::{SiteView, StoreReturn};
use crate::{start, waiting};
use arc_swap::{ArcSwap, ArcSwapOption};
use limehollow::catalog::Catalog;
use limehollow::fingerprint::Fingerprint;
use limehollow::freshness::Freshness;
use limehollow::id::{VmName, ZoneName};
use limehollow::instance::Instance;
use limehollow::log_position::LogPosition;
use limehollow::quarantine::Quarantine;
use limehollow::quota::{Quotas, Subject};
use limehollow::rebalance::RequestedLoad;
use limehollow::roster::{HoldingsReport, Update};
use limehollow_edge::request_memory::RequestMemory;
use limehollow_wire::gossip::{ListChanges, Positions, Reading, State};
use smol_str::SmolStr;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::sync::{Notify, Semaphore};
use tokio::time::Instant;

/// The maximum size of an answer that is read before it is passed on, in bytes. Larger ones can't be replaced by another
/// endpoint's once they have begun.
const MAX_READ_FIRST: usize = 256 << 10;
/// The memory for all answers that are read before they are passed on, in bytes. Small VMs have 120 MB.
const ALL_READ_FIRST: usize = 8 << 20;
/// The maximum size of an endpoint's report, in bytes: some hundred times that of one with hundreds of runs and adapters.
const MAX_REPORT: usize = 512 << 10;
/// The memory for all reports that are being read, in bytes.
const ALL_REPORTS: usize = 4 << 20;

/// The state of one process.
#[derive(Debug)]
pub struct Site<P> {
    /// The settings, which are replaced when the file is reloaded.
    pub settings: ArcSwap<NodeSettings>,
    /// The name of this VM.
    pub own_vm: VmName,
    /// The availability zone of this VM.
    pub zone: ZoneName,
    /// The configuration in force.
    pub catalog: ArcSwapOption<Catalog>,
    /// The protocol of callers and endpoints.
    pub protocol: P,
    /// The clock for ages and deadlines; it also counts the time for which the machine was suspended.
    pub clock: Arc<Clock>,
    /// Connections to endpoints for callers' requests.
    pub pool: Pool,
    /// Connections to endpoints for reports and orders. They have a pool of their own because a new
    /// connection may have to wait at an endpoint that is full, which is when an order matters most.
    pub control_pool: Pool,
    /// Counters, gauges and histograms.
    pub metrics: Metrics,
    /// Whether this VM does something for callers, so that its own delay is measured.
    pub recent_work: RecentWork,
    /// Notified when an endpoint or its holdings have changed.
    pub endpoints_changed: Notify,
    /// Notified when an endpoint has processed a prompt or a request has ended.
    pub capacity_freed: Notify,
    /// Notified when another VM has read the configuration further than this VM.
    pub configuration_behind: Notify,
    /// Notified when another VM has read the list of endpoints further than this VM.
    pub endpoints_behind: Notify,
    /// Notified when a check has shown whether an endpoint crashed.
    pub crash_known: Notify,
    /// Notified when the quarantine digest of another VM differs from that of this VM.
    pub quarantine_differs: Notify,
    /// Notified when a request was quarantined or cleared and the store doesn't have that yet.
    pub quarantine_unsaved: Notify,
    /// Notified when something has changed that the VMs of the zone should receive before the next regular
    /// message.
    pub urgent_update: Notify,
    /// Notified when a request waits for a model or adapter that isn't loaded; the controller should learn
    /// of it at once.
    pub load_requested: Notify,
    /// Notified when there is a VM that the store doesn't list.
    pub vm_unlisted: Notify,
    /// Notified when this VM holds other slots of brittle endpoints than it has reported.
    pub slots_changed: Notify,
    /// Notified when a stream has begun of which no other VM has been told.
    pub stream_began: Notify,
    /// The connections of callers.
    pub connections: Connections,
    /// The memory for the bodies of requests.
    pub request_memory: RequestMemory,
    /// One permit for each refused body that may be read in addition, so that its caller gets the refusal.
    pub(crate) discards: Arc<Semaphore>,
    /// The memory for endpoints' answers that are read before they are passed on.
    pub answer_memory: AnswerMemory,
    /// The memory for endpoints' reports. It is separate so that answers to callers hold up no order.
    pub report_memory: AnswerMemory,
    /// One permit for each request of another VM that this VM may take over in addition.
    pub taken_over: Arc<Semaphore>,
    max_taken_over: u32,
    /// Pending queries to other VMs.
    pub queries: PendingQueries,
    /// Notified when the holder of the lease has resigned.
    pub lease_free: Notify,
    list_changes_tx: UnboundedSender<ListChanges>,
    list_changes_rx: Mutex<Option<UnboundedReceiver<ListChanges>>>,
    view: Mutex<SiteView>,
    /// When the process was asked to stop.
    stopping_since: OnceLock<Instant>,
}

impl<P> Site<P>
where
    P: Protocol,
{
    /// Creates the state of a process that has read nothing yet, with the system's clock.
    #[must_use]
    pub fn new(settings: NodeSettings, protocol: P) -> Arc<Self> {
        Self::with_clock(settings, protocol, Arc::new(Clock::system()))
    }

    /// Creates the state of a process that has read nothing yet, with the given clock.
    #[must_use]
    pub fn with_clock(settings: NodeSettings, protocol: P, clock: Arc<Clock>) -> Arc<Self> {
        let zone = ZoneName::from(settings.availability_zone.as_str());
        let view = SiteView::new(&settings, clock.now());
        let (list_changes_tx, list_changes_rx) = mpsc::unbounded_channel();
        Arc::new(Self {
            own_vm: VmName::from(settings.name.as_str()),
            zone,
            catalog: ArcSwapOption::empty(),
            protocol,
            pool: Pool::new(Arc::clone(&clock)),
            control_pool: Pool::new(Arc::clone(&clock)),
            clock,
            metrics: Metrics::default(),
            connections: Connections::default(),
            request_memory: RequestMemory::default(),
            discards: Arc::new(Semaphore::new(MAX_DISCARDS)),
            answer_memory: AnswerMemory::new(MAX_READ_FIRST, ALL_READ_FIRST),
            report_memory: AnswerMemory::new(MAX_REPORT, ALL_REPORTS),
            recent_work: RecentWork::default(),
            endpoints_changed: Notify::new(),
            urgent_update: Notify::new(),
            load_requested: Notify::new(),
            crash_known: Notify::new(),
            quarantine_differs: Notify::new(),
            quarantine_unsaved: Notify::new(),
            vm_unlisted: Notify::new(),
            slots_changed: Notify::new(),
            stream_began: Notify::new(),
            taken_over: Arc::new(Semaphore::new(settings.max_taken_over() as usize)),
            max_taken_over: settings.max_taken_over(),
            queries: PendingQueries::default(),
            lease_free: Notify::new(),
            capacity_freed: Notify::new(),
            configuration_behind: Notify::new(),
            endpoints_behind: Notify::new(),
            list_changes_tx,
            list_changes_rx: Mutex::new(Some(list_changes_rx)),
            view: Mutex::new(view),
            stopping_since: OnceLock::new(),
            settings: ArcSwap::from_pointee(settings),
        })
    }

    /// Returns the current time, including the time for which the machine was suspended.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Locks and returns this VM's view of the deployment. The guard must not be held over an `await`.
    pub fn view(&self) -> MutexGuard<'_, SiteView> {
        // A panic while the lock was held leaves counters slightly wrong at worst.
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts a configuration in force and returns `true`, unless the current one has the same or a later
    /// version.
    pub fn set_catalog(&self, c: Catalog) -> bool {
        let current = self.catalog.load();
        if current.as_ref().is_some_and(|now| now.version >= c.version) {
            return false;
        }
        tracing::info!(
            version = c.version,
            rules = c.rules().len(),
            "configuration in force"
        );
        let limits = c.workspaces.all().iter();
        let limits = limits.filter_map(|w| Some((w.name.clone(), w.limit?)));
        let cold = c.services.iter();
        let cold = cold.filter_map(|(name, s)| Some((name.clone(), s.cold?)));
        let now = self.now();
        let mut view = self.view();
        view.quotas.set_limits(now, limits);
        view.set_cold_specs(now, cold);
        drop(view);
        self.catalog.store(Some(Arc::new(c)));
        self.endpoints_changed.notify_waiters();
        true
    }

    /// Marks a zone as evacuated, or as back in use.
    pub(crate) fn set_evacuated(&self, zone: &ZoneName, begins: bool) {
        if self.view().roster.set_evacuated(zone, begins) {
            if begins {
                tracing::warn!(%zone, "the zone is evacuated: its endpoints get no new work");
            } else {
                tracing::warn!(%zone, "the zone is taken back");
            }
            self.endpoints_changed.notify_waiters();
        }
    }

    /// Marks all zones as back in use that a complete read of the configuration doesn't name as evacuated.
    pub(crate) fn retain_evacuated(&self, evacuated_now: &BTreeSet<ZoneName>) {
        let known: BTreeSet<ZoneName> = self.view().roster.evacuated().cloned().collect();
        for zone in known.difference(evacuated_now) {
            self.set_evacuated(zone, false);
        }
    }

    /// Marks the process as stopping.
    pub fn stop(&self) {
        let _first = self.stopping_since.get_or_init(|| self.now());
    }

    /// Returns `true` if the process has been asked to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping_since.get().is_some()
    }

    /// Returns when the process is going to end, if it was asked to stop.
    pub(crate) fn ends_at(&self) -> Option<Instant> {
        let grace = Duration::from_millis(self.settings.load().grace_ms);
        self.stopping_since.get().map(|t| *t + grace)
    }

    /// Returns `true` if callers should be sent to this VM.
    ///
    /// Where keys are required but this VM's configuration is too old to check them, another VM may still
    /// be able to.
    pub fn is_ready(&self) -> bool {
        let catalog = self.catalog.load();
        let Some(c) = catalog.as_ref().filter(|_| !self.is_stopping()) else {
            return false;
        };
        let keys = c.workspaces.is_empty() || self.keys_are_valid();
        keys && !self.view().roster.is_empty()
    }

    /// Takes no more requests over, and waits until those that were taken over have ended.
    pub(crate) async fn end_taking_over(&self) {
        // The semaphore is never closed.
        let _all = self.taken_over.acquire_many(self.max_taken_over).await;
    }

    /// Returns `true` if this VM reaches no endpoint, not even on connections that are open.
    pub(crate) fn is_cut_off(&self) -> bool {
        let now = self.now();
        let view = self.view();
        view.own_reach.is_cut() && !view.own_reach.hears(now)
    }

    /// Returns `true` if this VM's configuration is fresh enough for its keys to be accepted.
    pub fn keys_are_valid(&self) -> bool {
        let Some(bound) = self.settings.load().key_bound() else {
            return true;
        };
        self.view().confirmation.allows(self.now(), bound)
    }

    /// Hands changes of the list that another VM of the zone has read to the follower of the list.
    pub fn offer_list_changes(&self, l: ListChanges) {
        if l.to <= self.view().positions.endpoints {
            return;
        }
        // Without a follower, as in some tests, the changes aren't needed.
        let _nobody = self.list_changes_tx.send(l);
    }

    /// Returns the receiver for the changes of the list that other VMs have read, or `None` if the follower
    /// of the list has already taken it.
    pub fn take_list_changes(&self) -> Option<UnboundedReceiver<ListChanges>> {
        self.list_changes_rx
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take()
    }

    /// Returns the position up to which this process has read each feed.
    pub fn positions(&self) -> Positions {
        self.view().positions
    }

    /// Records that the store was restored from a copy: what was written after the copy was made is lost.
    pub(crate) fn record_store_return(&self, era: u64) {
        let now = self.now();
        let mut view = self.view();
        if view.store_return.is_some_and(|r| r.era >= era) {
            return;
        }
        view.store_return = Some(StoreReturn { era, at: now });
        tracing::warn!(era, "the store has come back from a copy");
        self.metrics.store_returns.inc();
        if view.peers.is_zone_leader(now) {
            view.quarantine.mark_all_unsaved(now);
            drop(view);
            self.quarantine_unsaved.notify_one();
        }
    }

    /// Applies another VM's positions and the age of its copies, and wakes the followers that are behind
    /// it.
    pub fn observe_peer(&self, vm: &SmolStr, p: Positions, r: Reading) {
        let now = self.now();
        let mut view = self.view();
        for feed in [Feed::Configuration, Feed::Endpoints] {
            let (theirs, mine) = (position(p, feed), position(view.positions, feed));
            if let Some(ages) = ages(r, feed) {
                let has_all = mine.covers(theirs) && !mine.is_start();
                self.merge_freshness(&mut view, feed, ages.to_freshness(now), has_all);
            }
            if theirs <= mine {
                continue;
            }
            let best = view.furthest.get(&feed).map(|(_, at)| *at);
            if Some(theirs) >= best {
                view.furthest.insert(feed, (vm.clone(), theirs));
            }
            if let Some(behind) = self.behind(feed) {
                behind.notify_one();
            }
        }
    }

    /// Returns the notification that another VM has read a feed further than this VM, if the feed has one.
    pub(crate) fn behind(&self, feed: Feed) -> Option<&Notify> {
        match feed {
            Feed::Configuration => Some(&self.configuration_behind),
            Feed::Endpoints => Some(&self.endpoints_behind),
            Feed::Vms => None,
        }
    }

    /// Merges the freshness of another VM's copy; `has_all` is whether this VM's copy contains everything
    /// in it.
    pub(crate) fn merge_freshness(
        &self,
        view: &mut SiteView,
        feed: Feed,
        other: Freshness,
        has_all: bool,
    ) {
        if let Some(pace) = self.settings.load().pace(feed) {
            let gap = pace.longest_gap();
            view.feed_reads.merge(feed, other, has_all, gap);
        }
    }

    /// Returns `true` if this VM can hand over what another VM needs at its start, with the list read
    /// beyond a position.
    pub fn has_all(&self, beyond: LogPosition) -> bool {
        start::has_all(self, beyond)
    }

    /// Returns what this VM has read from the store, for a VM that can't read the store.
    pub fn state(&self) -> State {
        let members = start::members(self);
        let view = self.view();
        let listed = view.roster.iter().map(|(_, e)| e);
        let listed = listed.filter(|e| !view.held_removals.contains(&e.instance.id));
        let listed = listed.chain(view.doubtful.values());
        State {
            positions: view.positions,
            reading: view.feed_reads.state_ages(self.now()),
            catalog: self.catalog.load().as_deref().cloned(),
            endpoints: listed.cloned().collect(),
            unreadable: view.roster.unreadable().cloned().collect(),
            evacuated: view.roster.evacuated().cloned().collect(),
            members,
            versions: resumption::versions_seen(self.now(), &view),
        }
    }

    /// Returns the configuration that this VM has read from the store.
    pub fn configuration(&self) -> State {
        let view = self.view();
        State {
            positions: view.positions,
            reading: view.feed_reads.state_ages(self.now()),
            catalog: self.catalog.load().as_deref().cloned(),
            evacuated: view.roster.evacuated().cloned().collect(),
            ..State::default()
        }
    }

    /// Returns the state of the process as JSON, for operators.
    pub fn dump(&self) -> serde_json::Value {
        let now = self.now();
        let view = self.view();
        let endpoints = view.roster.iter().map(|(k, e)| {
            serde_json::json!({
                "id": e.instance.id,
                "born": e.instance.born,
                "service": e.service,
                "zone": e.zone,
                "leaving": e.leaving,
                "cold": view.balance.backpressure.is_cold(k),
                "takes_per_s": view.balance.backpressure.rate(k),
                "rests_ms": view.balance.backpressure.opens_in(now, k).map(|t| t.as_millis()),
                "ejected": view.balance.is_ejected(now, k),
                "holdings": e.holdings,
                "copies": e.copies,
            })
        });
        let heard = view.peers.message_ages(now);
        let heard = heard.map(|(vm, t)| (vm.clone(), t.map(|t| t.as_millis())));
        let heard: BTreeMap<SmolStr, Option<u128>> = heard.collect();
        serde_json::json!({
            "vm": self.own_vm,
            "configuration": self.catalog.load().as_ref().map(|c| c.version),
            "positions": view.positions,
            "stopping": self.is_stopping(),
            "vms_heard_ms_ago": heard,
            "endpoints": endpoints.collect::<Vec<_>>(),
            "evacuated_zones": view.roster.evacuated().collect::<Vec<_>>(),
            "unreadable_entries": view.roster.unreadable().collect::<Vec<_>>(),
            "requests_quarantined": quarantined(&view.quarantine, now),
            "configuration_confirmed_ms_ago": view.confirmation.age(now).map(|a| a.as_millis()),
            "limits_shared_by_vms": view.quotas.vms(),
            "limits": limits(&view.quotas),
            "requests_suspected": view.quarantine.suspects(),
            "queues": waiting::dump(&view, now),
        })
    }

    /// Records that a request waits for a model or adapter that isn't loaded, and notifies the controller.
    pub fn request_load(&self, r: RequestedLoad) {
        self.view().request_load(self.now(), r);
        self.load_requested.notify_one();
    }

    /// Applies the controller's report on an endpoint.
    pub fn report(&self, now: Instant, r: &HoldingsReport) {
        let update = self.view().report(now, r);
        self.log_restart(&r.instance, update, "report");
        if update.is_new {
            self.endpoints_changed.notify_waiters();
        }
    }

    /// Records that another instance answers at an endpoint's address, and has the other VMs informed.
    /// Returns `true` if this VM didn't know.
    pub fn record_gone(&self, instance: &Instance) -> bool {
        let is_news = self.view().record_gone(self.now(), instance);
        if is_news {
            self.urgent_update.notify_one();
        }
        is_news
    }

    /// Updates the metrics on requests that crash endpoints.
    pub(crate) fn update_quarantine_metrics(&self) {
        let view = self.view();
        let count = |n: usize| i64::try_from(n).unwrap_or(i64::MAX);
        let quarantined = view.quarantine.quarantined(self.now()).count();
        self.metrics.requests_quarantined.set(count(quarantined));
        let suspected = view.quarantine.suspects();
        self.metrics.requests_suspected.set(count(suspected));
    }

    /// Updates the metrics on the memory of requests' bodies.
    pub(crate) fn update_request_memory_metrics(&self) {
        let count = |n: usize| i64::try_from(n).unwrap_or(i64::MAX);
        let m = &self.request_memory;
        self.metrics.request_bytes.set(count(m.held()));
        self.metrics.request_bytes_peak.set(count(m.peak()));
    }

    /// Updates the metrics on endpoints with limits, cold endpoints and evacuated zones.
    pub(crate) fn update_backpressure_metrics(&self) {
        let view = self.view();
        let count = |n: usize| i64::try_from(n).unwrap_or(i64::MAX);
        let backpressure = &view.balance.backpressure;
        self.metrics
            .endpoints_limited
            .set(count(backpressure.active_limits().count()));
        self.metrics
            .endpoints_cold
            .set(count(backpressure.cold().count()));
        let evacuated = view.roster.evacuated().count();
        self.metrics.zones_evacuated.set(count(evacuated));
    }

    /// Records that an instance of an endpoint has crashed, and has the other VMs informed of the requests
    /// that it ran.
    pub fn record_crash(&self, start: &Instance) {
        let has_suspects = self.view().record_crash(self.now(), start);
        if has_suspects {
            self.urgent_update.notify_one();
            self.quarantine_unsaved.notify_one();
        }
    }

    /// Clears a request under which endpoints crashed, and has the other VMs informed. Returns `true` if
    /// there was a record of it.
    pub fn clear_request(&self, request: Fingerprint, by: &'static str) -> bool {
        let was_suspect = self.view().quarantine.clear(self.now(), request);
        if was_suspect {
            self.publish_cleared(request, by);
        }
        was_suspect
    }

    /// Records that an endpoint has completed a request: the request doesn't crash the endpoints that run
    /// it.
    pub(crate) fn record_completed(&self, request: Fingerprint) {
        let now = self.now();
        if self.view().quarantine.record_answer(now, request) {
            self.publish_cleared(request, "an endpoint that ran it");
        }
    }

    /// Records that a run with a part of a prompt, which began at `began`, did no harm.
    pub(crate) fn record_proof(&self, part: Fingerprint, began: Instant) {
        let now = self.now();
        if self.view().quarantine.record_proof(now, part, began) {
            self.publish_cleared(part, "a run with it that did no harm");
        }
    }

    fn publish_cleared(&self, request: Fingerprint, by: &'static str) {
        tracing::info!(%request, by, "the request is cleared");
        self.urgent_update.notify_one();
        self.quarantine_unsaved.notify_one();
    }

    /// Counts and logs a restart of an endpoint, with the source that showed it.
    pub(crate) fn log_restart(&self, instance: &Instance, update: Update, by: &'static str) {
        if update.is_restart() {
            self.metrics.endpoint_restarts.inc();
            tracing::info!(%instance, by, "endpoint started again");
        }
    }
}

/// Returns the limits of which this VM has tokens, for operators.
fn limits(q: &Quotas) -> Vec<serde_json::Value> {
    let rows = q.holdings().map(|(subject, own, pool)| {
        let whose = match subject {
            Subject::Workspace(_) => "workspace",
            Subject::Endpoint(_) => "endpoint",
        };
        serde_json::json!({
            whose: subject.name(),
            "earned": (own * 100.0).round() / 100.0,
            "pool": (pool * 100.0).round() / 100.0,
        })
    });
    rows.collect()
}

/// Returns the quarantined requests, for operators.
fn quarantined(q: &Quarantine, now: Instant) -> Vec<serde_json::Value> {
    let rows = q.quarantined(now).map(|(request, left, crashes)| {
        serde_json::json!({
            "request": request.to_string(),
            "crashes": crashes,
            "left_s": left.as_secs(),
        })
    });
    rows.collect()
}
