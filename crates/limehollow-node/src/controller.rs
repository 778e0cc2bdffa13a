//! The controller: holds the lease, and moves models and adapters as demand moves.
//!
//! One VM of the site gives all orders: the one that holds the lease (`lease`). It weighs demand
//! several times a second and begins a task for each move (`order_task`).

use crate::attempt::{LimitGrant, Target};
use crate::clock::Clock;
use crate::edge::{Protocol, Store};
use crate::lease::{SharedLease, fence, maintain_lease};
use crate::order_task::{Ended, Moved, OrderTask, SharedLateLoads, SharedLoadWindow};
use crate::site::Site;
use crate::site_view::SiteView;
use limehollow::catalog::{Catalog, EngineSpec};
use limehollow::group_lease::GroupLease;
use limehollow::id::{EndpointKey, ServiceName};
use limehollow::order_book::OrderBook;
use limehollow::rebalance::Rebalancer;
use limehollow::roster::ModelRef;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::Instant;

/// How often demand is weighed for models, and at most for adapters.
const WEIGH_EVERY: Duration = Duration::from_millis(200);
const WEIGH_ADAPTERS_EVERY: Duration = Duration::from_millis(5);
/// How many times as long as a weighing took this VM does other things after it: it has callers, and a lease
/// to renew. At 112 endpoints and 155 models a weighing took so long that the lease lapsed.
const REST_AFTER: u32 = 4;
/// How often demand and load are put into a log line.
const LOG_DEMAND_EVERY: Duration = Duration::from_secs(1);
/// The demand that a request stands for that waits for something not loaded, in ms of work a second.
const WAITING_DEMAND: f64 = 5.0;

/// Holds the lease whenever it is dealt to this VM, and gives orders while it holds it.
pub async fn run<P, S>(
    site: Arc<Site<P>>,
    store: S,
    wanted: Arc<Notify>,
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
        at_work: BTreeSet::new(),
        logged: site.now(),
        ended: ended_tx,
    };
    tokio::spawn(maintain_lease(Arc::clone(&site), store, lease, stop));
    let mut models_due = site.now();
    let mut adapters_due = site.now();
    let mut asked = false;
    loop {
        tokio::select! {
            () = site.clock.sleep_until(models_due) => {
                models_due = next_after(&site.clock, WEIGH_EVERY, || g.weigh());
                asked = true;
            }
            () = site.clock.sleep_until(adapters_due), if asked => {
                adapters_due = next_after(&site.clock, WEIGH_ADAPTERS_EVERY, || g.load_adapters());
                asked = false;
            }
            () = wanted.notified() => asked = true,
            Some(e) = ended.recv() => {
                g.note_end(&e);
                asked = true;
            }
        }
    }
}

/// Gives the endpoints that are listed but out of reach.
fn lost(view: &SiteView, now: Instant) -> BTreeSet<EndpointKey> {
    let keys = view.roster.iter().map(|(k, _)| k);
    keys.filter(|k| view.balance.is_lost(now, *k)).collect()
}

/// Weighs, and gives when to weigh again.
fn next_after<F>(clock: &Clock, every: Duration, weigh: F) -> Instant
where
    F: FnOnce(),
{
    let began = clock.now();
    weigh();
    let now = clock.now();
    (began + every).max(now + now.duration_since(began) * REST_AFTER)
}

struct Controller<P>
where
    P: Protocol,
{
    site: Arc<Site<P>>,
    lease: SharedLease,
    rebalancers: BTreeMap<ServiceName, Rebalancer>,
    /// What is known of endpoints whose last order was ours and was answered.
    books: BTreeMap<EndpointKey, OrderBook>,
    /// What was ordered without an answer. It outlasts the lease: the orders are still under way.
    late: SharedLateLoads,
    /// The loads from the weight store that were ordered, by service. They outlast the lease too.
    store_loads: BTreeMap<ServiceName, SharedLoadWindow>,
    /// The lease under which loads were last counted.
    fence: u64,
    /// Endpoints that a task is at work with.
    at_work: BTreeSet<EndpointKey>,
    /// When demand was last put into a log line.
    logged: Instant,
    ended: mpsc::UnboundedSender<Ended>,
}

impl<P> Controller<P>
where
    P: Protocol,
{
    fn note_end(&mut self, e: &Ended) {
        self.at_work.remove(&e.key);
        match &e.book {
            Some(b) => self.books.insert(e.key, b.clone()),
            None => self.books.remove(&e.key),
        };
        if let Some(r) = self.rebalancers.get_mut(&e.service) {
            match e.what {
                Moved::Model => r.model_ended(self.site.now(), e.key, e.book.is_some()),
                Moved::Adapter => r.adapter_ended(self.site.now(), e.key, e.book.is_some()),
            }
        }
    }

    /// Weighs demand anew, and begins the moves that it asks for.
    fn weigh(&mut self) {
        let Some(fence) = fence(&self.site, &self.lease) else {
            if self.at_work.is_empty() {
                self.rebalancers.clear();
                self.books.clear();
            }
            return;
        };
        let Some(catalog) = self.site.catalog.load_full() else {
            return;
        };
        self.forget_former_starts();
        self.note_lease(fence, &catalog);
        let now = self.site.now();
        let demand = self.demand(now);
        let ceiling = self.site.settings.load().load_ceiling();
        for (service, spec) in &catalog.services {
            let Some(engine) = &spec.engine else { continue };
            let r = self.rebalancers.entry(service.clone()).or_default();
            r.observe(now, &demand);
            r.observe_lost(lost(&self.site.view(), now));
            if now.duration_since(self.logged) >= LOG_DEMAND_EVERY {
                self.logged = now;
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
                    self.at_work.insert(key);
                    let ended = self.ended.clone();
                    tokio::spawn(async move {
                        let book = task.move_model(&m).await;
                        task.end(Moved::Model, &ended, book);
                    });
                }
            }
        }
    }

    /// Takes in under which lease orders are given. Under a new one another VM may have given them until the lease's pause
    /// began, and loaded as much as the weight store allows.
    fn note_lease(&mut self, fence: u64, catalog: &Catalog) {
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

    /// Drops what is known of starts of endpoints that are gone.
    fn forget_former_starts(&mut self) {
        let view = self.site.view();
        self.books.retain(|k, _| view.roster.get(*k).is_some());
    }

    /// Begins to load adapters that are asked for and not there.
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
            let at_work = &self.at_work;
            let resting = |k: EndpointKey| !at_work.contains(&k);
            let view = self.site.view();
            let wanted = &view.requested_loads;
            let moves = r.plan_adapters(now, &view.roster, service, engine, wanted, resting);
            drop(view);
            for (key, m) in moves {
                let book = self.books.get(&key).cloned();
                if let Some(task) = self.task(service, key, engine) {
                    self.at_work.insert(key);
                    let ended = self.ended.clone();
                    tokio::spawn(async move {
                        let book = task.move_adapter(&m, book).await;
                        task.end(Moved::Adapter, &ended, book);
                    });
                }
            }
        }
    }

    /// Sums what the callers of all VMs ask for.
    fn demand(&self, now: Instant) -> BTreeMap<ModelRef, f64> {
        let mut view = self.site.view();
        let mut sum: BTreeMap<ModelRef, f64> = view.arrivals.rates(now).into_iter().collect();
        for (m, d) in view.demand.values().flat_map(|(_, d)| d) {
            *sum.entry(m.clone()).or_default() += f64::from(*d);
        }
        // A request that waits is told at once, before the demand that it is part of.
        for m in view.requested_loads.keys() {
            sum.entry(m.clone()).or_insert(WAITING_DEMAND);
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
            },
        })
    }
}
