//! The controller: holds the lease, and moves models and adapters as demand changes.
//!
//! One VM of the site gives all orders: the holder of the lease (module `lease`). It evaluates demand
//! several times a second and starts a task for each move (module `order_task`).

use crate::attempt::{LimitGrant, Target};
use crate::clock::Clock;
use crate::edge::{Protocol, Store};
use crate::lease::{SharedLease, fence, maintain_lease};
use crate::order_task::{MoveKind, OrderTask, SharedLateLoads, SharedLoadWindow, TaskEnd};
use crate::site::Site;
use crate::site_view::SiteView;
use crate::version_store;
use limehollow::catalog::{Catalog, EngineSpec};
use limehollow::group_lease::GroupLease;
use limehollow::id::{EndpointKey, ServiceName, SoftwareVersion};
use limehollow::order_book::OrderBook;
use limehollow::rebalance::Rebalancer;
use limehollow::roster::ModelRef;
use smol_str::SmolStr;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::Instant;

/// How often demand is evaluated for models, and the shortest interval for adapters.
const EVALUATE_EVERY: Duration = Duration::from_millis(200);
const EVALUATE_ADAPTERS_EVERY: Duration = Duration::from_millis(5);
/// The pause after an evaluation as a multiple of its duration. In the pause the VM serves its callers and
/// renews the lease. At 112 endpoints and 155 models an evaluation took so long that the lease lapsed.
const PAUSE_FACTOR: u32 = 4;
/// How often demand and load are logged.
const LOG_DEMAND_EVERY: Duration = Duration::from_secs(1);
/// The demand that is assumed for a request that waits for a model or adapter that isn't loaded, in ms of
/// work per second.
const WAITING_DEMAND: f64 = 5.0;

/// Joins the group for the lease, and gives orders while this VM holds the lease.
pub async fn run<P, S>(
    site: Arc<Site<P>>,
    store: S,
    wake_controller: Arc<Notify>,
    stop: watch::Receiver<bool>,
) where
    P: Protocol,
    S: Store,
{
    let between = Duration::from_millis(site.settings.load().lease_ms);
    let lease: SharedLease = Arc::new(Mutex::new(GroupLease::new(between)));
    let (ended_tx, mut ended) = mpsc::unbounded_channel();
    let mut g = Controller {
        site: Arc::clone(&site),
        lease: Arc::clone(&lease),
        rebalancers: BTreeMap::new(),
        books: BTreeMap::new(),
        late: SharedLateLoads::default(),
        store_loads: BTreeMap::new(),
        fence: 0,
        busy_endpoints: BTreeSet::new(),
        demand_logged: site.now(),
        ended: ended_tx,
    };
    tokio::spawn(version_store::keep(
        Arc::clone(&site),
        store.clone(),
        Arc::clone(&lease),
    ));
    tokio::spawn(maintain_lease(Arc::clone(&site), store, lease, stop));
    let mut models_due = site.now();
    let mut adapters_due = site.now();
    let mut adapters_requested = false;
    loop {
        tokio::select! {
            () = site.clock.sleep_until(models_due) => {
                models_due = next_after(&site.clock, EVALUATE_EVERY, || g.evaluate());
                adapters_requested = true;
            }
            () = site.clock.sleep_until(adapters_due), if adapters_requested => {
                adapters_due = next_after(&site.clock, EVALUATE_ADAPTERS_EVERY, || g.load_adapters());
                adapters_requested = false;
            }
            () = wake_controller.notified() => adapters_requested = true,
            Some(e) = ended.recv() => {
                g.apply_end(&e);
                adapters_requested = true;
            }
        }
    }
}

/// Returns the endpoints that are listed but out of reach.
fn lost(view: &SiteView, now: Instant) -> BTreeSet<EndpointKey> {
    let keys = view.roster.iter().map(|(k, _)| k);
    keys.filter(|k| view.balance.is_lost(now, *k)).collect()
}

/// Returns the models of a service for which streams wait that have to go on at a version.
fn bound(view: &SiteView, service: &ServiceName) -> BTreeSet<(SmolStr, SoftwareVersion)> {
    let rows = view.requested_loads.keys().filter_map(|r| {
        let origin = r.origin.as_ref().filter(|o| o.service == *service)?;
        Some((r.model.model.clone(), origin.software.clone()))
    });
    rows.collect()
}

/// Runs an evaluation, and returns when the next one is due.
fn next_after<F>(clock: &Clock, every: Duration, evaluate: F) -> Instant
where
    F: FnOnce(),
{
    let began = clock.now();
    evaluate();
    let now = clock.now();
    (began + every).max(now + now.duration_since(began) * PAUSE_FACTOR)
}

struct Controller<P>
where
    P: Protocol,
{
    site: Arc<Site<P>>,
    lease: SharedLease,
    rebalancers: BTreeMap<ServiceName, Rebalancer>,
    /// What is known of endpoints whose last order was given by this VM and was answered.
    books: BTreeMap<EndpointKey, OrderBook>,
    /// The orders without an answer. They outlast the lease, as the orders may still be carried out.
    late: SharedLateLoads,
    /// The loads from the weight store that were ordered, by service. They outlast the lease too.
    store_loads: BTreeMap<ServiceName, SharedLoadWindow>,
    /// The fencing number of the lease under which loads were last counted.
    fence: u64,
    /// Endpoints on which a task is working.
    busy_endpoints: BTreeSet<EndpointKey>,
    /// When demand was last logged.
    demand_logged: Instant,
    ended: mpsc::UnboundedSender<TaskEnd>,
}

impl<P> Controller<P>
where
    P: Protocol,
{
    fn apply_end(&mut self, e: &TaskEnd) {
        self.busy_endpoints.remove(&e.key);
        match &e.book {
            Some(b) => self.books.insert(e.key, b.clone()),
            None => self.books.remove(&e.key),
        };
        if let Some(r) = self.rebalancers.get_mut(&e.service) {
            match e.what {
                MoveKind::Model => r.model_ended(self.site.now(), e.key, e.book.is_some()),
                MoveKind::Adapter => r.adapter_ended(self.site.now(), e.key, e.book.is_some()),
            }
        }
    }

    /// Evaluates demand, and starts the moves that result.
    fn evaluate(&mut self) {
        let Some(fence) = fence(&self.site, &self.lease) else {
            if self.busy_endpoints.is_empty() {
                self.rebalancers.clear();
                self.books.clear();
            }
            return;
        };
        let Some(catalog) = self.site.catalog.load_full() else {
            return;
        };
        self.forget_gone_instances();
        self.record_lease(fence, &catalog);
        let now = self.site.now();
        let demand = self.demand(now);
        let unkept = version_store::unkept(&self.site);
        let ceiling = self.site.settings.load().load_ceiling();
        for (service, spec) in &catalog.services {
            let Some(engine) = &spec.engine else { continue };
            let r = self.rebalancers.entry(service.clone()).or_default();
            r.observe(now, &demand);
            r.observe_lost(&lost(&self.site.view(), now) | &unkept);
            r.observe_bound(bound(&self.site.view(), service));
            if now.duration_since(self.demand_logged) >= LOG_DEMAND_EVERY {
                self.demand_logged = now;
                let view = self.site.view();
                let seen = r.loads(&view.roster, service, engine);
                let token_us: Vec<_> = view.balance.token_us().collect();
                tracing::info!(%service, models = ?seen.models, endpoints = ?seen.endpoints, ?token_us, "demand");
            }
            let moves = r.plan(now, &self.site.view().roster, service, engine, ceiling);
            for (key, m) in moves {
                tracing::info!(fence, load = %m.load, evict = ?m.evict, "move begins");
                self.books.remove(&key);
                if let Some(task) = self.task(service, key, engine) {
                    self.busy_endpoints.insert(key);
                    let ended = self.ended.clone();
                    tokio::spawn(async move {
                        let book = task.move_model(&m).await;
                        task.end(MoveKind::Model, &ended, book);
                    });
                }
            }
        }
    }

    /// Records the lease under which orders are given. Under a new lease, another VM may have given orders
    /// until the handover pause began, and may have loaded as much as the weight store allows.
    fn record_lease(&mut self, fence: u64, catalog: &Catalog) {
        if self.fence == fence {
            return;
        }
        self.fence = fence;
        let settings = self.site.settings.load();
        let pause = Duration::from_millis(settings.lease_ms);
        let now = self.site.now();
        let before = now.checked_sub(pause).unwrap_or(now);
        for (service, spec) in &catalog.services {
            let Some(engine) = &spec.engine else { continue };
            let window = self.store_loads.entry(service.clone()).or_default();
            let mut window = window.lock().unwrap_or_else(PoisonError::into_inner);
            window.assume_full(before, engine, settings.load_ceiling());
        }
    }

    /// Forgets what is known of instances of endpoints that are gone.
    fn forget_gone_instances(&mut self) {
        let view = self.site.view();
        self.books.retain(|k, _| view.roster.get(*k).is_some());
    }

    /// Starts to load requested adapters that aren't loaded.
    fn load_adapters(&mut self) {
        if fence(&self.site, &self.lease).is_none() {
            return;
        }
        let Some(catalog) = self.site.catalog.load_full() else {
            return;
        };
        let now = self.site.now();
        let demand = self.demand(now);
        for (service, spec) in &catalog.services {
            let Some(engine) = &spec.engine else { continue };
            let r = self.rebalancers.entry(service.clone()).or_default();
            r.observe(now, &demand);
            let busy_endpoints = &self.busy_endpoints;
            let resting = |k: EndpointKey| !busy_endpoints.contains(&k);
            let view = self.site.view();
            let requested = view.requested_loads.iter();
            let requested = requested.map(|(r, at)| (r.model.clone(), *at)).collect();
            let moves = r.plan_adapters(now, &view.roster, service, engine, &requested, resting);
            drop(view);
            for (key, m) in moves {
                let book = self.books.get(&key).cloned();
                if let Some(task) = self.task(service, key, engine) {
                    self.busy_endpoints.insert(key);
                    let ended = self.ended.clone();
                    tokio::spawn(async move {
                        let book = task.move_adapter(&m, book).await;
                        task.end(MoveKind::Adapter, &ended, book);
                    });
                }
            }
        }
    }

    /// Returns the summed demand of the callers of all VMs.
    fn demand(&self, now: Instant) -> BTreeMap<ModelRef, f64> {
        let mut view = self.site.view();
        let mut sum: BTreeMap<ModelRef, f64> = view.arrivals.rates(now).into_iter().collect();
        for (m, d) in view.demand.values().flat_map(|(_, d)| d) {
            *sum.entry(m.clone()).or_default() += f64::from(*d);
        }
        // A requested load is reported at once, before the demand that it is part of.
        for r in view.requested_loads.keys() {
            sum.entry(r.model.clone()).or_insert(WAITING_DEMAND);
        }
        sum
    }

    fn task(
        &self,
        service: &ServiceName,
        key: EndpointKey,
        spec: &EngineSpec,
    ) -> Option<OrderTask<P>> {
        let view = self.site.view();
        let e = view.roster.get(key)?;
        Some(OrderTask {
            site: Arc::clone(&self.site),
            lease: Arc::clone(&self.lease),
            late: Arc::clone(&self.late),
            store_loads: self.store_loads.get(service).cloned().unwrap_or_default(),
            service: service.clone(),
            spec: spec.clone(),
            to: Target {
                key,
                instance: e.instance.clone(),
                address: e.address,
                grant: LimitGrant::Exempt,
                slot: None,
                causes: None,
            },
        })
    }
}
