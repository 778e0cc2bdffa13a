//! The state that the parts of the process share.
//!
//! All of it is used on one thread; the locks are never held over an `await`.

use crate::clock::Clock;
use crate::edge::{Feed, Protocol};
use crate::follower::{ages, position};
use crate::metrics::Metrics;
use crate::pool::Pool;
use crate::query::PendingQueries;
use crate::settings::NodeSettings;
use crate::site_view::{SiteView, StoreReturn};
use crate::start;
use arc_swap::{ArcSwap, ArcSwapOption};
use limehollow::catalog::Catalog;
use limehollow::fingerprint::Fingerprint;
use limehollow::freshness::Freshness;
use limehollow::id::{VmName, ZoneName};
use limehollow::instance::Instance;
use limehollow::log_position::LogPosition;
use limehollow::quarantine::Quarantine;
use limehollow::quota::{Quotas, Subject};
use limehollow::roster::{HoldingsReport, ModelRef, Update};
use limehollow_wire::gossip::{ListChanges, Positions, Reading, State};
use smol_str::SmolStr;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::time::Instant;

/// The state of one process.
#[derive(Debug)]
pub struct Site<P> {
    /// The settings, which may change while the process runs.
    pub settings: ArcSwap<NodeSettings>,
    /// This VM.
    pub own_vm: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The configuration in force.
    pub catalog: ArcSwapOption<Catalog>,
    /// What callers and endpoints speak.
    pub protocol: P,
    /// The clock by which ages are reckoned.
    pub clock: Arc<Clock>,
    /// Connections to endpoints for callers' requests.
    pub pool: Pool,
    /// Connections to endpoints for reports and orders: a new one may have to wait for a place at an endpoint
    /// that is full, which is when an order matters most.
    pub control_pool: Pool,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Told whenever an endpoint or what it holds has changed.
    pub endpoints_changed: Notify,
    /// Told when a prompt has been read, or a request has ended.
    pub capacity_freed: Notify,
    /// Told when another VM has read the configuration further than this one.
    pub configuration_behind: Notify,
    /// Told when another VM has read the list of endpoints further than this one.
    pub endpoints_behind: Notify,
    /// Told when it became known whether an endpoint has crashed.
    pub crash_known: Notify,
    /// Told when another VM knows other requests that crash endpoints.
    pub quarantine_differs: Notify,
    /// Told when a request was quarantined, or cleared.
    pub quarantine_unsaved: Notify,
    /// Told when something has changed that the VMs of the zone should know at once.
    pub urgent_update: Notify,
    /// Told when a request waits for something that isn't loaded, which the controller should know at once.
    pub load_requested: Notify,
    /// Told when there is a VM that the store doesn't show.
    pub vm_unlisted: Notify,
    /// Questions to other VMs.
    pub queries: PendingQueries,
    /// Told when the holder of the lease has resigned.
    pub lease_free: Notify,
    list_tx: UnboundedSender<ListChanges>,
    list_rx: Mutex<Option<UnboundedReceiver<ListChanges>>>,
    view: Mutex<SiteView>,
    stopping: AtomicBool,
}

impl<P> Site<P>
where
    P: Protocol,
{
    /// Makes the state of a process that knows nothing yet.
    #[must_use]
    pub fn new(settings: NodeSettings, protocol: P) -> Arc<Self> {
        Self::with_clock(settings, protocol, Arc::new(Clock::system()))
    }

    /// Makes the state of a process with this clock.
    #[must_use]
    pub fn with_clock(settings: NodeSettings, protocol: P, clock: Arc<Clock>) -> Arc<Self> {
        let zone = ZoneName::from(settings.availability_zone.as_str());
        let view = SiteView::new(&settings, clock.now());
        let (list_tx, list_rx) = mpsc::unbounded_channel();
        Arc::new(Self {
            own_vm: VmName::from(settings.name.as_str()),
            zone,
            settings: ArcSwap::from_pointee(settings),
            catalog: ArcSwapOption::empty(),
            protocol,
            pool: Pool::new(Arc::clone(&clock)),
            control_pool: Pool::new(Arc::clone(&clock)),
            clock,
            metrics: Metrics::default(),
            endpoints_changed: Notify::new(),
            urgent_update: Notify::new(),
            load_requested: Notify::new(),
            crash_known: Notify::new(),
            quarantine_differs: Notify::new(),
            quarantine_unsaved: Notify::new(),
            vm_unlisted: Notify::new(),
            queries: PendingQueries::default(),
            lease_free: Notify::new(),
            capacity_freed: Notify::new(),
            configuration_behind: Notify::new(),
            endpoints_behind: Notify::new(),
            list_tx,
            list_rx: Mutex::new(Some(list_rx)),
            view: Mutex::new(view),
            stopping: AtomicBool::new(false),
        })
    }

    /// Gives the time now, by the clock that goes on while the machine is suspended.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Gives the shared knowledge; never hold it over an `await`.
    pub fn view(&self) -> MutexGuard<'_, SiteView> {
        // A panic elsewhere leaves counters at worst a little off.
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts a configuration in force, unless one as new is.
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

    /// Takes in that a zone is evacuated or taken back.
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

    /// Takes all zones back that a whole reading doesn't name.
    pub(crate) fn retain_evacuated(&self, named: &BTreeSet<ZoneName>) {
        let evacuated: BTreeSet<ZoneName> = self.view().roster.evacuated().cloned().collect();
        for zone in evacuated.difference(named) {
            self.set_evacuated(zone, false);
        }
    }

    /// Says that the process is told to end.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Tells whether the process was told to end.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Tells whether callers should come here. Where keys are needed and don't count, another VM may serve them.
    pub fn is_ready(&self) -> bool {
        let catalog = self.catalog.load();
        let Some(c) = catalog.as_ref().filter(|_| !self.is_stopping()) else {
            return false;
        };
        let keys = c.workspaces.is_empty() || self.keys_are_valid();
        keys && !self.view().roster.is_empty()
    }

    /// Tells whether this VM's configuration is fresh enough for its keys to count.
    pub fn keys_are_valid(&self) -> bool {
        let Some(bound) = self.settings.load().key_bound() else {
            return true;
        };
        self.view().confirmation.allows(self.now(), bound)
    }

    /// Offers changes of the list that another VM of the zone has read to the follower of the list.
    pub fn offer_list_changes(&self, l: ListChanges) {
        if l.to <= self.view().positions.endpoints {
            return;
        }
        // Without a follower, as in some tests, nobody needs them.
        let _nobody = self.list_tx.send(l);
    }

    /// Takes the changes of the list that other VMs offer; there is one follower of the list.
    pub fn take_list_changes(&self) -> Option<UnboundedReceiver<ListChanges>> {
        self.list_rx
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take()
    }

    /// Gives how far this process has read what it follows.
    pub fn positions(&self) -> Positions {
        self.view().positions
    }

    /// Takes in that the store has come back from a copy: what was written there since the copy was made is gone.
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

    /// Takes in how far another VM has read and how fresh that is, and wakes the followers that are behind it.
    pub fn observe_peer(&self, vm: &SmolStr, p: Positions, r: Reading) {
        let now = self.now();
        let mut view = self.view();
        for feed in [Feed::Configuration, Feed::Endpoints] {
            let (theirs, mine) = (position(p, feed), position(view.positions, feed));
            if let Some(ages) = ages(r, feed) {
                let has_all = mine.covers(theirs) && !mine.is_start();
                self.merge_freshness(&mut view, feed, ages.told(now), has_all);
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

    /// Gives what is told when another VM has read a feed further than this one.
    pub(crate) fn behind(&self, feed: Feed) -> Option<&Notify> {
        match feed {
            Feed::Configuration => Some(&self.configuration_behind),
            Feed::Endpoints => Some(&self.endpoints_behind),
            Feed::Vms => None,
        }
    }

    /// Takes in how fresh another VM's copy is; `has_all` says whether this process's holds all that is in it.
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

    /// Tells whether this process has what another VM needs for a start, with the list read beyond a position.
    pub fn has_all(&self, beyond: LogPosition) -> bool {
        start::has_all(self, beyond)
    }

    /// Gives what this process has read of the store, for a VM that can't read it.
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
        }
    }

    /// Gives the configuration that this process has read of the store.
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

    /// Gives all that the process knows, for operators.
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
        })
    }

    /// Takes in that a request waits here for something that isn't loaded, and tells the controller.
    pub fn request_load(&self, m: &ModelRef) {
        self.view().request_load(self.now(), m);
        self.load_requested.notify_one();
    }

    /// Takes in what the controller knows of an endpoint.
    pub fn report(&self, now: Instant, r: &HoldingsReport) {
        let update = self.view().report(now, r);
        self.log_restart(&r.instance, update, "report");
        if update.is_new {
            self.endpoints_changed.notify_waiters();
        }
    }

    /// Takes in that another start answers at an endpoint's address, and tells the other VMs. Gives whether it is news.
    pub fn record_gone(&self, instance: &Instance) -> bool {
        let is_news = self.view().record_gone(self.now(), instance);
        if is_news {
            self.urgent_update.notify_one();
        }
        is_news
    }

    /// Brings the metrics on requests that crash endpoints up to date.
    pub(crate) fn update_quarantine_metrics(&self) {
        let view = self.view();
        let count = |n: usize| i64::try_from(n).unwrap_or(i64::MAX);
        let quarantined = view.quarantine.quarantined(self.now()).count();
        self.metrics.requests_quarantined.set(count(quarantined));
        let suspected = view.quarantine.suspects();
        self.metrics.requests_suspected.set(count(suspected));
    }

    /// Brings the metrics on endpoints that take less up to date.
    pub(crate) fn update_backpressure_metrics(&self) {
        let view = self.view();
        let count = |n: usize| i64::try_from(n).unwrap_or(i64::MAX);
        let wishes = &view.balance.backpressure;
        self.metrics
            .endpoints_limited
            .set(count(wishes.active_limits().count()));
        self.metrics
            .endpoints_cold
            .set(count(wishes.cold().count()));
        let evacuated = view.roster.evacuated().count();
        self.metrics.zones_evacuated.set(count(evacuated));
    }

    /// Takes in that a start of an endpoint has crashed, and tells the other VMs what it ran.
    pub fn record_crash(&self, start: &Instance) {
        let ran_some = self.view().record_crash(self.now(), start);
        if ran_some {
            self.urgent_update.notify_one();
            self.quarantine_unsaved.notify_one();
        }
    }

    /// Clears a request that endpoints crashed under, and tells the other VMs. Gives whether anything spoke against it.
    pub fn clear_request(&self, request: Fingerprint, by: &'static str) -> bool {
        let was_suspect = self.view().quarantine.clear(self.now(), request);
        if was_suspect {
            self.tell_cleared(request, by);
        }
        was_suspect
    }

    /// Takes in that an endpoint has run a request to its end: it doesn't crash those that run it.
    pub(crate) fn record_completed(&self, request: Fingerprint) {
        let now = self.now();
        if self.view().quarantine.record_answer(now, request) {
            self.tell_cleared(request, "an endpoint that ran it");
        }
    }

    fn tell_cleared(&self, request: Fingerprint, by: &'static str) {
        tracing::info!(%request, by, "the request is cleared");
        self.urgent_update.notify_one();
        self.quarantine_unsaved.notify_one();
    }

    /// Says so if an endpoint was seen to start again, and by whose word.
    pub(crate) fn log_restart(&self, instance: &Instance, update: Update, by: &'static str) {
        if update.is_restart() {
            self.metrics.endpoint_restarts.inc();
            tracing::info!(%instance, by, "endpoint started again");
        }
    }
}

/// Gives what this VM has of limits, for operators.
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

/// Gives the quarantined requests, for operators.
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
