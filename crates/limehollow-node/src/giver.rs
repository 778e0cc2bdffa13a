//! The order giver: holds the lease, and moves models and adapters as demand moves.
//!
//! One VM of the site gives all orders. Before each order on a model it reads the endpoint's own report
//! and names the number of orders in it, so that an order that is carried out late is void once another
//! was taken. Other VMs hear at once what is about to go and what has come.

use crate::attempt::{self, Target};
use crate::edge::{Action, Order, OrderReply, Protocol, Store};
use crate::metrics::Metrics;
use crate::site::Site;
use http_body_util::BodyExt;
use limehollow::catalog::EngineSpec;
use limehollow::group_lease::{GroupLease, JOIN_EVERY, LeaseChange};
use limehollow::id::{EndpointKey, ServiceName};
use limehollow::order_book::{AdapterStep, OrderBook};
use limehollow::rebalance::{AdapterMove, EndpointReport, ModelMove, Rebalancer, Step};
use limehollow::roster::{Holdings, HoldingsReport, ModelRef, holds};
use smol_str::SmolStr;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout};

/// How often demand is weighed.
const WEIGH_EVERY: Duration = Duration::from_millis(200);
/// How often demand and load are put into a log line.
const LOG_DEMAND_EVERY: Duration = Duration::from_secs(1);
/// The demand that a request stands for that waits for something not loaded, in ms of work a second.
const WAITING_DEMAND: f64 = 5.0;
/// How often a busy endpoint is asked how far it is.
const ASK_EVERY: Duration = Duration::from_millis(150);
/// How long a call to an endpoint may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);
/// How long a move may take in all: the longest load several times over, and the runs before it.
const MOVE_TIMEOUT: Duration = Duration::from_secs(40);
/// What an adapter takes to load, beyond the answer to its order.
const ADAPTER_LOAD: Duration = Duration::from_millis(25);
/// How often other VMs are told again what is about to go: well within the time for which a report goes
/// before the list.
const TELL_EVERY: Duration = Duration::from_millis(1000);
/// The time that other VMs get to hear that a model is about to go.
const WITHDRAW: Duration = Duration::from_millis(30);
/// How long an adapter may take to go: as long as most streams run.
const DROP_TIMEOUT: Duration = Duration::from_secs(4);
/// Steps of an adapter's move at most: dropping, loading, and conflicts in between.
const MAX_ADAPTER_STEPS: u32 = 5;
/// Orders that are given without an answer before a move is given up.
const MAX_UNANSWERED: u32 = 3;

/// The lease as the tasks of this process share it.
type SharedLease = Arc<Mutex<GroupLease>>;

fn with_lease<T, F>(lease: &SharedLease, f: F) -> T
where
    F: FnOnce(&mut GroupLease) -> T,
{
    f(&mut lease.lock().unwrap_or_else(PoisonError::into_inner))
}

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
    let mut g = Giver {
        site: Arc::clone(&site),
        lease: Arc::clone(&lease),
        rebalancers: BTreeMap::new(),
        books: BTreeMap::new(),
        at_work: BTreeSet::new(),
        logged: Instant::now(),
        ended: ended_tx,
    };
    tokio::spawn(keep_lease(site, store, lease, stop));
    // One clock for all rounds: a sleep in the loop would begin anew with each other event.
    let mut ticks = interval(WEIGH_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => g.weigh(),
            () = wanted.notified() => g.load_adapters(),
            Some(e) = ended.recv() => g.note_end(&e),
        }
    }
}

/// Joins the group again and again; leaves it when the process ends.
async fn keep_lease<P, S>(
    site: Arc<Site<P>>,
    store: S,
    lease: SharedLease,
    mut stop: watch::Receiver<bool>,
) where
    P: Protocol,
    S: Store,
{
    let member = format!("{}@{}", site.me, site.settings.load().ip);
    let mut failing = false;
    loop {
        if *stop.borrow() {
            if let Err(e) = store.leave(&member).await {
                tracing::info!(error = %e, "the group could not be left");
            }
            with_lease(&lease, GroupLease::drop_it);
            return;
        }
        let sent = Instant::now();
        let generation = with_lease(&lease, |l| l.generation());
        match store.join(&member, generation).await {
            Ok(dealt) => {
                failing = false;
                let change = with_lease(&lease, |l| l.dealt(sent, Instant::now(), dealt));
                match change {
                    Some(LeaseChange::Taken(fence)) => {
                        site.known().giver = Some(SmolStr::new(site.me.as_str()));
                        tracing::info!(fence, "lease taken");
                    }
                    Some(LeaseChange::Lost) => {
                        site.known().giver = None;
                        tracing::info!(generation, "lease lost");
                    }
                    None => {}
                }
                let held = with_lease(&lease, |l| l.is_held());
                site.metrics.holds_lease.set(i64::from(held));
            }
            Err(e) => {
                if !failing {
                    tracing::warn!(error = %e, "the lease can't be renewed");
                }
                failing = true;
            }
        }
        let next = sleep((sent + JOIN_EVERY).saturating_duration_since(Instant::now()));
        tokio::select! {
            () = next => {}
            // An error says that the process is ending, which the next round sees as well.
            _told = stop.changed() => {}
        }
    }
}

/// What was moved.
#[derive(Clone, Copy)]
enum Moved {
    Model,
    Adapter,
}

/// What a task of a move says at its end.
struct Ended {
    what: Moved,
    service: ServiceName,
    key: EndpointKey,
    /// What is known of the endpoint now.
    book: Option<OrderBook>,
}

struct Giver<P>
where
    P: Protocol,
{
    site: Arc<Site<P>>,
    lease: SharedLease,
    rebalancers: BTreeMap<ServiceName, Rebalancer>,
    /// What is known of endpoints whose last order was ours and was answered.
    books: BTreeMap<EndpointKey, OrderBook>,
    /// Endpoints that a task is at work with.
    at_work: BTreeSet<EndpointKey>,
    /// When demand was last put into a log line.
    logged: Instant,
    ended: mpsc::UnboundedSender<Ended>,
}

impl<P> Giver<P>
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
                Moved::Model => r.model_ended(Instant::now(), e.key, e.book.is_some()),
                Moved::Adapter => r.adapter_ended(e.key),
            }
        }
        self.load_adapters();
    }

    /// Weighs demand anew, and begins the moves that it asks for.
    fn weigh(&mut self) {
        let Some(fence) = with_lease(&self.lease, |l| l.fence(Instant::now())) else {
            if self.at_work.is_empty() {
                self.rebalancers.clear();
                self.books.clear();
            }
            return;
        };
        let Some(catalog) = self.site.catalog.load_full() else {
            return;
        };
        let now = Instant::now();
        let demand = self.demand(now);
        let ceiling = self.site.settings.load().ceiling();
        for (service, spec) in &catalog.services {
            let Some(engine) = &spec.engine else { continue };
            let r = self.rebalancers.entry(service.clone()).or_default();
            r.hear(now, &demand);
            if now.duration_since(self.logged) >= LOG_DEMAND_EVERY {
                self.logged = now;
                let seen = r.loads(&self.site.known().roster, service, engine);
                tracing::info!(%service, models = ?seen.models, endpoints = ?seen.endpoints, "demand");
            }
            let moves = r.plan(now, &self.site.known().roster, service, engine, ceiling);
            for (key, m) in moves {
                tracing::info!(fence, load = %m.load, evict = ?m.evict, "move begins");
                self.books.remove(&key);
                if let Some(hand) = self.hand(service, key, engine) {
                    self.at_work.insert(key);
                    let ended = self.ended.clone();
                    tokio::spawn(async move {
                        let book = hand.move_model(&m).await;
                        hand.end(Moved::Model, &ended, book);
                    });
                }
            }
        }
        self.load_adapters();
    }

    /// Begins to load adapters that are asked for and not there.
    fn load_adapters(&mut self) {
        if with_lease(&self.lease, |l| l.fence(Instant::now())).is_none() {
            return;
        }
        let Some(catalog) = self.site.catalog.load_full() else {
            return;
        };
        let now = Instant::now();
        let demand = self.demand(now);
        for (service, spec) in &catalog.services {
            let Some(engine) = &spec.engine else { continue };
            let r = self.rebalancers.entry(service.clone()).or_default();
            r.hear(now, &demand);
            let at_work = &self.at_work;
            let resting = |k: EndpointKey| !at_work.contains(&k);
            let known = self.site.known();
            let moves = r.plan_adapters(now, &known.roster, service, engine, resting);
            drop(known);
            for (key, m) in moves {
                let book = self.books.get(&key).cloned();
                if let Some(hand) = self.hand(service, key, engine) {
                    self.at_work.insert(key);
                    let ended = self.ended.clone();
                    tokio::spawn(async move {
                        let book = hand.move_adapter(&m, book).await;
                        hand.end(Moved::Adapter, &ended, book);
                    });
                }
            }
        }
    }

    /// Sums what the callers of all VMs ask for.
    fn demand(&self, now: Instant) -> BTreeMap<ModelRef, f64> {
        let mut known = self.site.known();
        let mut sum: BTreeMap<ModelRef, f64> = known.arrivals.rates(now).into_iter().collect();
        for (m, d) in known.demand.values().flat_map(|(_, d)| d) {
            *sum.entry(m.clone()).or_default() += f64::from(*d);
        }
        // A request that waits is told at once, before the demand that it is part of.
        for m in known.wanted.keys() {
            sum.entry(m.clone()).or_insert(WAITING_DEMAND);
        }
        sum
    }

    fn hand(&self, service: &ServiceName, key: EndpointKey, spec: &EngineSpec) -> Option<Hand<P>> {
        let known = self.site.known();
        let e = known.roster.get(key)?;
        Some(Hand {
            site: Arc::clone(&self.site),
            lease: Arc::clone(&self.lease),
            service: service.clone(),
            spec: spec.clone(),
            to: Target {
                key,
                instance: e.instance.clone(),
                address: e.address,
            },
        })
    }
}

/// What a task needs to give orders to one endpoint.
struct Hand<P>
where
    P: Protocol,
{
    site: Arc<Site<P>>,
    lease: SharedLease,
    service: ServiceName,
    spec: EngineSpec,
    to: Target,
}

impl<P> Hand<P>
where
    P: Protocol,
{
    fn end(&self, what: Moved, ended: &mpsc::UnboundedSender<Ended>, book: Option<OrderBook>) {
        let e = Ended {
            what,
            service: self.service.clone(),
            key: self.to.key,
            book,
        };
        // Only a process that ends has nobody who hears it.
        let _ending = ended.send(e);
    }

    /// Carries out a move of a model. Gives what is known of the endpoint then.
    async fn move_model(&self, m: &ModelMove) -> Option<OrderBook> {
        let began = Instant::now();
        let mut unanswered = 0;
        let mut least = 0;
        let mut told = began;
        while began.elapsed() < MOVE_TIMEOUT {
            let Some(r) = self.report().await else {
                unanswered += 1;
                if unanswered > MAX_UNANSWERED {
                    self.log_move(m, began, "the endpoint does not answer");
                    return None;
                }
                sleep(ASK_EVERY).await;
                continue;
            };
            // A report may be older than the order before it.
            let step = if r.orders_taken < least {
                Step::Wait
            } else {
                m.step(&r, &self.spec)
            };
            let order = match step {
                Step::Wait => {
                    // What is going is still listed until its last run has ended.
                    if told.elapsed() >= TELL_EVERY {
                        told = Instant::now();
                        self.tell(left(&r, m), r.orders_taken.max(least));
                    }
                    sleep(ASK_EVERY).await;
                    continue;
                }
                Step::Done => {
                    self.tell(r.holdings.clone(), r.orders_taken);
                    self.log_move(m, began, "done");
                    return Some(OrderBook::from(r));
                }
                Step::NoRoom => {
                    self.tell(r.holdings, r.orders_taken);
                    self.log_move(m, began, "no room");
                    return None;
                }
                Step::Unload(model) => (Action::Unload, model),
                Step::Load => (Action::Load, m.load.clone()),
            };
            let (action, model) = order;
            if action == Action::Unload {
                self.tell(left(&r, m), r.orders_taken);
                sleep(WITHDRAW).await;
            }
            let subject = ModelRef {
                model,
                adapter: None,
            };
            match self.order(action, &subject, r.orders_taken).await {
                Some(OrderReply::Taken) => {
                    least = r.orders_taken + 1;
                    told = Instant::now();
                    self.tell(left(&r, m), least);
                }
                Some(OrderReply::Holds | OrderReply::Conflict) => {}
                Some(OrderReply::Refused(_)) | None => unanswered += 1,
            }
            if unanswered > MAX_UNANSWERED {
                self.log_move(m, began, "orders are not taken");
                return None;
            }
            sleep(ASK_EVERY).await;
        }
        self.log_move(m, began, "took too long");
        None
    }

    /// Loads an adapter, from what is known of the endpoint. Gives what is known of it then.
    async fn move_adapter(&self, m: &AdapterMove, book: Option<OrderBook>) -> Option<OrderBook> {
        let mut book = match book {
            Some(b) => b,
            None => self.read_book().await?,
        };
        for _ in 0..MAX_ADAPTER_STEPS {
            let (action, subject) = match book.adapter_step(m, &self.spec) {
                AdapterStep::Unload(r) => (Action::Unload, r),
                AdapterStep::Load => (Action::Load, m.load.clone()),
                AdapterStep::Done | AdapterStep::Impossible => {
                    self.tell(book.holdings.clone(), book.orders_taken);
                    return Some(book);
                }
            };
            if action == Action::Unload {
                book.withdraw(&subject);
                self.tell(book.holdings.clone(), book.orders_taken);
                sleep(WITHDRAW).await;
            }
            let counted = match self.order(action, &subject, book.orders_taken).await? {
                OrderReply::Taken if action == Action::Unload => {
                    // It waits for its runs; until it is gone, the endpoint takes no other order.
                    book = self.wait_dropped(&subject, book.orders_taken + 1).await?;
                    continue;
                }
                OrderReply::Taken => true,
                // An adapter that no request uses goes at once, which is answered as done and counts; a
                // load of what is there doesn't.
                OrderReply::Holds => action == Action::Unload,
                OrderReply::Conflict => {
                    // A report is as of some time ago; one that is read at once would show the same.
                    sleep(ASK_EVERY).await;
                    book = self.read_book().await?;
                    continue;
                }
                OrderReply::Refused(_) => return None,
            };
            match action {
                Action::Unload => book.note_dropped(&subject, counted),
                Action::Load => book.note_loaded(&subject, counted),
            }
            if action == Action::Load && counted {
                sleep(ADAPTER_LOAD).await;
            }
        }
        None
    }

    /// Waits until an adapter that is being dropped is gone, by reports that count the order to drop it.
    async fn wait_dropped(&self, m: &ModelRef, least: u64) -> Option<OrderBook> {
        let until = Instant::now() + DROP_TIMEOUT;
        while Instant::now() < until {
            sleep(ASK_EVERY).await;
            let mut book = self.read_book().await?;
            if book.orders_taken >= least && !holds(&book.holdings, m) {
                return Some(book);
            }
            book.withdraw(m);
            self.tell(book.holdings, book.orders_taken);
        }
        None
    }

    async fn read_book(&self) -> Option<OrderBook> {
        self.report().await.map(OrderBook::from)
    }

    /// Tells this VM and the others what the endpoint holds.
    fn tell(&self, holdings: Holdings, orders_taken: u64) {
        let r = HoldingsReport {
            instance: self.to.instance.clone(),
            holdings,
            orders_taken,
        };
        let now = Instant::now();
        self.site.report(now, &r);
        self.site
            .known()
            .reports
            .insert(self.to.instance.clone(), (now, r));
        self.site.urgent.notify_one();
    }

    async fn report(&self) -> Option<EndpointReport> {
        let req = self.site.protocol.report(&self.to.instance);
        let call = async {
            let sent = attempt::send(&self.site, &self.site.control_pool, &self.to, req, "").await;
            let answer = sent.map_err(|f| f.why)?;
            let (head, body) = answer.response.into_parts();
            let body = body
                .collect()
                .await
                .map_err(|e| SmolStr::from(e.to_string()))?;
            self.site.control_pool.put_later(answer.connection, None);
            if !head.status.is_success() {
                return Err(SmolStr::from(format!("status {}", head.status.as_u16())));
            }
            let body = body.to_bytes();
            self.site.protocol.read_report(&body).map_err(SmolStr::from)
        };
        match timeout(CALL_TIMEOUT, call).await {
            Ok(Ok(r)) => Some(r),
            Ok(Err(why)) => {
                tracing::info!(endpoint = %self.to.instance, %why, "no report");
                None
            }
            Err(_) => {
                tracing::info!(endpoint = %self.to.instance, why = "no answer in time", "no report");
                None
            }
        }
    }

    /// Gives one order, if the lease allows it now. None if it is not known whether it was taken.
    async fn order(&self, action: Action, subject: &ModelRef, expected: u64) -> Option<OrderReply> {
        let fence = with_lease(&self.lease, |l| l.fence(Instant::now()))?;
        let settings = self.site.settings.load();
        let o = Order {
            instance: &self.to.instance,
            action,
            subject,
            expected,
            holder: &settings.name,
            fence,
        };
        let req = self.site.protocol.order(&o);
        let sent = attempt::send(&self.site, &self.site.control_pool, &self.to, req, "");
        let reply = match timeout(CALL_TIMEOUT, sent).await {
            Ok(Ok(answer)) => {
                let reply = self.site.protocol.order_reply(answer.response.status());
                let body = answer.response.into_body();
                self.site
                    .control_pool
                    .put_later(answer.connection, Some(body));
                Ok(reply)
            }
            Ok(Err(f)) => Err(f.why),
            Err(_) => Err(SmolStr::new_static("no answer in time")),
        };
        let outcome = match &reply {
            Ok(OrderReply::Taken) => "taken",
            Ok(OrderReply::Holds) => "holds already",
            Ok(OrderReply::Conflict) => "conflict",
            Ok(OrderReply::Refused(_)) => "refused",
            Err(_) => "no answer",
        };
        Metrics::count(&self.site.metrics.orders, outcome);
        tracing::info!(
            endpoint = %self.to.instance,
            ?action,
            model = %subject.model,
            adapter = subject.adapter.as_deref(),
            expected,
            fence,
            outcome,
            why = reply.as_ref().err().map(SmolStr::as_str),
            "order"
        );
        reply.ok()
    }

    fn log_move(&self, m: &ModelMove, began: Instant, outcome: &'static str) {
        tracing::info!(
            endpoint = %self.to.instance,
            load = %m.load,
            evict = ?m.evict,
            ms = began.elapsed().as_millis(),
            outcome,
            "move ended"
        );
    }
}

/// Gives what an endpoint holds, less what makes way in a move.
fn left(r: &EndpointReport, m: &ModelMove) -> Holdings {
    let mut left = r.holdings.clone();
    left.retain(|name, _| !m.evict.contains(name));
    left
}
