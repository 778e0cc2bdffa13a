//! The orders of one move at one endpoint.
//!
//! Before each order on a model, the endpoint's own report is read. The order names the number of orders in
//! that report, so that an order that is carried out late is void if the endpoint has taken another one
//! meanwhile. A report of a later instance of the endpoint ends the task; memory stays reserved for loads
//! that were ordered from a former instance ([`limehollow::late_loads`]). Other VMs are informed at once of
//! what is about to be unloaded and what was loaded.

use crate::attempt::{self, Target};
use crate::edge::{Action, Order, OrderReply, Protocol};
use crate::endpoint_report::{self, CALL_TIMEOUT};
use crate::lease::{SharedLease, with_lease};
use crate::metrics::Metrics;
use crate::site::Site;
use limehollow::catalog::EngineSpec;
use limehollow::id::{EndpointKey, ServiceName};
use limehollow::instance::{Instance, StartCheck};
use limehollow::late_loads::{LateLoads, Reserve};
use limehollow::load_window::LoadWindow;
use limehollow::order_book::{AdapterStep, OrderBook};
use limehollow::rebalance::{AdapterMove, EndpointReport, ModelMove, Step};
use limehollow::roster::{Holdings, HoldingsReport, ModelRef, holds};
use smol_str::SmolStr;
use std::ops::ControlFlow;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};

/// How often a busy endpoint is asked for its progress.
const POLL_EVERY: Duration = Duration::from_millis(150);
/// The timeout of a whole move: the longest load several times over, and the runs before it.
const MOVE_TIMEOUT: Duration = Duration::from_secs(40);
/// The time that an adapter takes to load, after the answer to the order.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(25);
/// How often other VMs are informed again of what is about to be unloaded: well within the time for which a
/// report takes precedence over the list.
const REPORT_EVERY: Duration = Duration::from_millis(1000);
/// The time for other VMs to receive that a model is about to be unloaded.
const WITHDRAW_TIME: Duration = Duration::from_millis(30);
/// How long an adapter may take to be unloaded: as long as most streams run.
const DROP_TIMEOUT: Duration = Duration::from_secs(4);
/// The largest number of steps of an adapter's move: dropping, loading, and conflicts in between.
const MAX_ADAPTER_STEPS: u32 = 5;
/// How long an accepted order may be missing in the endpoint's reports, which are some hundred ms old.
/// Without a limit, a move at a restarted endpoint blocked all other orders for that endpoint for
/// [`MOVE_TIMEOUT`].
const COUNTED_WITHIN: Duration = Duration::from_millis(2000);
/// The number of unanswered calls and refused orders that a move tolerates.
const MAX_UNANSWERED: u32 = 3;

/// The loads that were ordered without an answer. The lock is never held over an `await`.
pub(crate) type SharedLateLoads = Arc<Mutex<LateLoads>>;
/// The loads from the weight store. The lock is never held over an `await`.
pub(crate) type SharedLoadWindow = Arc<Mutex<LoadWindow>>;

/// The kind of a move.
#[derive(Clone, Copy)]
pub(crate) enum MoveKind {
    Model,
    Adapter,
}

/// The result of a task.
pub(crate) struct TaskEnd {
    /// What was moved.
    pub(crate) what: MoveKind,
    pub(crate) service: ServiceName,
    pub(crate) key: EndpointKey,
    /// The known state of the endpoint after the move.
    pub(crate) book: Option<OrderBook>,
}

/// The progress of a model's move.
struct Progress {
    began: Instant,
    check: StartCheck,
    /// Reports and orders without an answer, and orders that were refused.
    unanswered: u32,
    /// The least number of orders that the endpoint has taken.
    least_orders: u64,
    /// When the last order was taken.
    last_ordered: Instant,
    /// When other VMs were last informed of what is about to be unloaded.
    last_reported: Instant,
}

impl Progress {
    fn new(now: Instant, instance: &Instance) -> Self {
        Self {
            began: now,
            check: StartCheck::new(instance.clone()),
            unanswered: 0,
            least_orders: 0,
            last_ordered: now,
            last_reported: now,
        }
    }
}

/// The end of a model's move.
struct MoveEnd {
    /// The outcome, for the log.
    outcome: &'static str,
    /// The known state of the endpoint, if the model was loaded.
    book: Option<OrderBook>,
}

impl MoveEnd {
    fn failed(outcome: &'static str) -> ControlFlow<Self> {
        ControlFlow::Break(Self {
            outcome,
            book: None,
        })
    }
}

/// A task that gives the orders of one move to one endpoint.
pub(crate) struct OrderTask<P>
where
    P: Protocol,
{
    pub(crate) site: Arc<Site<P>>,
    pub(crate) lease: SharedLease,
    /// The loads that were ordered without an answer, by all tasks of this VM.
    pub(crate) late: SharedLateLoads,
    /// The loads from the weight store that all tasks of this VM have ordered.
    pub(crate) store_loads: SharedLoadWindow,
    pub(crate) service: ServiceName,
    pub(crate) spec: EngineSpec,
    pub(crate) to: Target,
}

impl<P> OrderTask<P>
where
    P: Protocol,
{
    /// Reports the end of the task to the controller.
    pub(crate) fn end(
        &self,
        what: MoveKind,
        ended: &mpsc::UnboundedSender<TaskEnd>,
        book: Option<OrderBook>,
    ) {
        let e = TaskEnd {
            what,
            service: self.service.clone(),
            key: self.to.key,
            book,
        };
        // The controller is gone only when the process ends.
        let _ending = ended.send(e);
    }

    /// Carries out a move of a model. Returns the known state of the endpoint afterwards.
    pub(crate) async fn move_model(&self, m: &ModelMove) -> Option<OrderBook> {
        let mut p = Progress::new(self.site.now(), &self.to.instance);
        loop {
            if let ControlFlow::Break(end) = self.advance(m, &mut p).await {
                self.log_move(m, p.began, end.outcome);
                return end.book;
            }
            sleep(POLL_EVERY).await;
        }
    }

    /// Reads the endpoint's report, and gives the order that the report calls for.
    async fn advance(&self, m: &ModelMove, p: &mut Progress) -> ControlFlow<MoveEnd> {
        if self.since(p.began) >= MOVE_TIMEOUT {
            return MoveEnd::failed("took too long");
        }
        if p.unanswered > MAX_UNANSWERED {
            return MoveEnd::failed("the endpoint does not answer, or takes no orders");
        }
        let Some(r) = self.report().await else {
            p.unanswered += 1;
            return ControlFlow::Continue(());
        };
        if !p.check.observe(r.born, r.orders_taken) {
            self.report_restart(&r);
            return MoveEnd::failed("the endpoint has started again");
        }
        // A report may be older than the last order.
        let step = if r.orders_taken >= p.least_orders {
            m.step(
                &r,
                &self.spec,
                self.reserve(&OrderBook::from(r.clone()), &model(&m.load)),
            )
        } else if self.since(p.last_ordered) < COUNTED_WITHIN {
            Step::Wait
        } else {
            return MoveEnd::failed("the order is not counted");
        };
        match step {
            Step::Wait => {
                // The models being unloaded are listed until their last run has ended.
                if self.since(p.last_reported) >= REPORT_EVERY {
                    p.last_reported = self.site.now();
                    self.report_holdings(
                        without_evicted(&r, m),
                        r.orders_taken.max(p.least_orders),
                    );
                }
                ControlFlow::Continue(())
            }
            Step::Done => {
                self.report_holdings(r.holdings.clone(), r.orders_taken);
                ControlFlow::Break(MoveEnd {
                    outcome: "done",
                    book: Some(OrderBook::from(r)),
                })
            }
            Step::NoRoom => {
                self.report_holdings(r.holdings, r.orders_taken);
                MoveEnd::failed("no room")
            }
            Step::Unload(name) => {
                self.report_holdings(without_evicted(&r, m), r.orders_taken);
                sleep(WITHDRAW_TIME).await;
                self.order_model(Action::Unload, &name, m, &r, p).await
            }
            Step::Load if !self.may_load(&m.load, &r) => ControlFlow::Continue(()),
            Step::Load => self.order_model(Action::Load, &m.load, m, &r, p).await,
        }
    }

    /// Counts a load against the limit of the weight store, unless the endpoint has a local copy. Returns
    /// `true` if the load may begin now.
    fn may_load(&self, model: &SmolStr, r: &EndpointReport) -> bool {
        if r.copies.contains(model) {
            return true;
        }
        let ceiling = self.site.settings.load().load_ceiling();
        let mut window = self
            .store_loads
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        window.try_begin(self.site.now(), &self.spec, ceiling)
    }

    /// Gives one order of a model's move.
    async fn order_model(
        &self,
        action: Action,
        name: &SmolStr,
        m: &ModelMove,
        r: &EndpointReport,
        p: &mut Progress,
    ) -> ControlFlow<MoveEnd> {
        match self.order(action, &model(name), r.orders_taken).await {
            Some(OrderReply::Taken) => {
                p.least_orders = r.orders_taken + 1;
                p.last_ordered = self.site.now();
                p.last_reported = p.last_ordered;
                self.report_holdings(without_evicted(r, m), p.least_orders);
            }
            Some(OrderReply::Holds | OrderReply::Conflict) => {}
            Some(OrderReply::Refused(_)) | None => p.unanswered += 1,
        }
        ControlFlow::Continue(())
    }

    /// Loads an adapter, starting from the known state of the endpoint. Returns the known state afterwards,
    /// or `None` if no order was given, as the plan was then based on something else than this state, or if
    /// the endpoint has restarted.
    pub(crate) async fn move_adapter(
        &self,
        m: &AdapterMove,
        book: Option<OrderBook>,
    ) -> Option<OrderBook> {
        let mut check = StartCheck::new(self.to.instance.clone());
        let mut book = match book {
            Some(b) => b,
            None => self.read_book(&mut check).await?,
        };
        let mut ordered = false;
        for _ in 0..MAX_ADAPTER_STEPS {
            let reserve = self.reserve(&book, &m.load);
            let (action, subject) = match book.adapter_step(m, &self.spec, reserve) {
                AdapterStep::Unload(r) => (Action::Unload, r),
                AdapterStep::Load => (Action::Load, m.load.clone()),
                AdapterStep::Done | AdapterStep::Impossible => {
                    self.report_holdings(book.holdings.clone(), book.orders_taken);
                    return ordered.then_some(book);
                }
            };
            if action == Action::Unload {
                book.withdraw(&subject);
                self.report_holdings(book.holdings.clone(), book.orders_taken);
                sleep(WITHDRAW_TIME).await;
            }
            ordered = true;
            let counted = match self.order(action, &subject, book.orders_taken).await? {
                OrderReply::Taken if action == Action::Unload => {
                    // The adapter waits for its runs. Until it is unloaded, the endpoint takes no other
                    // order.
                    let least_orders = book.orders_taken + 1;
                    book = self
                        .wait_dropped(&subject, least_orders, &mut check)
                        .await?;
                    continue;
                }
                OrderReply::Taken => true,
                // An adapter that no request uses is unloaded at once. That is answered as done and counts
                // as an order; a load of what is already there doesn't count.
                OrderReply::Holds => action == Action::Unload,
                OrderReply::Conflict => {
                    // Reports are some hundred ms old; a report that is read at once would show the same
                    // state.
                    sleep(POLL_EVERY).await;
                    book = self.read_book(&mut check).await?;
                    continue;
                }
                OrderReply::Refused(_) => return None,
            };
            match action {
                Action::Unload => book.record_unload(&subject, counted),
                Action::Load => book.record_load(&subject, counted),
            }
            if action == Action::Load && counted {
                sleep(ADAPTER_LOAD_TIME).await;
            }
        }
        None
    }

    /// Waits until an adapter that is being dropped is unloaded, by reports that count the order to drop
    /// it.
    async fn wait_dropped(
        &self,
        m: &ModelRef,
        least_orders: u64,
        check: &mut StartCheck,
    ) -> Option<OrderBook> {
        let until = self.site.now() + DROP_TIMEOUT;
        while self.site.now() < until {
            sleep(POLL_EVERY).await;
            let mut book = self.read_book(check).await?;
            if book.orders_taken >= least_orders && !holds(&book.holdings, m) {
                return Some(book);
            }
            book.withdraw(m);
            self.report_holdings(book.holdings, book.orders_taken);
        }
        None
    }

    /// Reads the endpoint's report. Returns `None` if the endpoint doesn't answer or has restarted.
    async fn read_book(&self, check: &mut StartCheck) -> Option<OrderBook> {
        let r = self.report().await?;
        if check.observe(r.born, r.orders_taken) {
            return Some(OrderBook::from(r));
        }
        self.report_restart(&r);
        None
    }

    /// Returns what has to stay free at the endpoint while something is loaded there.
    fn reserve(&self, book: &OrderBook, loading: &ModelRef) -> Reserve {
        let late = self.late.lock().unwrap_or_else(PoisonError::into_inner);
        let id = &self.to.instance.id;
        late.reserve(self.site.now(), id, book, loading, &self.spec)
    }

    fn record_late(&self, subject: &ModelRef, expected: u64) {
        let mut late = self.late.lock().unwrap_or_else(PoisonError::into_inner);
        late.record(self.site.now(), &self.to.instance, subject, expected);
    }

    /// Reports to this VM and the others that the endpoint has restarted, and its holdings.
    fn report_restart(&self, r: &EndpointReport) {
        let instance = Instance {
            id: self.to.instance.id.clone(),
            born: r.born,
        };
        self.report_holdings_of(instance, r.holdings.clone(), r.orders_taken);
    }

    /// Reports the endpoint's holdings to this VM and the others.
    fn report_holdings(&self, holdings: Holdings, orders_taken: u64) {
        self.report_holdings_of(self.to.instance.clone(), holdings, orders_taken);
    }

    fn report_holdings_of(&self, instance: Instance, holdings: Holdings, orders_taken: u64) {
        let r = HoldingsReport {
            instance,
            holdings,
            orders_taken,
        };
        let now = self.site.now();
        self.site.report(now, &r);
        self.site.view().reports.add(r);
        self.site.urgent_update.notify_one();
    }

    async fn report(&self) -> Option<EndpointReport> {
        match endpoint_report::read(&self.site, &self.to).await {
            Ok(r) => Some(r),
            Err(why) => {
                tracing::info!(endpoint = %self.to.instance, %why, "no report");
                None
            }
        }
    }

    /// Gives one order, if the lease allows it now. Returns `None` if it isn't known whether the order was
    /// taken.
    async fn order(&self, action: Action, subject: &ModelRef, expected: u64) -> Option<OrderReply> {
        let now = self.site.now();
        let fence = with_lease(&self.lease, |l| {
            let fence = l.fence(now)?;
            l.record_order(now);
            Some(fence)
        })?;
        let settings = self.site.settings.load();
        let o = Order {
            instance: &self.to.instance.id,
            action,
            subject,
            expected,
            holder: &settings.name,
            fence,
        };
        let req = self.site.protocol.order_request(&o);
        let sent = attempt::send(&self.site, &self.site.control_pool, &self.to, req, "", None);
        let reply = match timeout(CALL_TIMEOUT, sent).await {
            Ok(Ok(answer)) => {
                let reply = self.site.protocol.order_reply(answer.response.status());
                let body = answer.response.into_body();
                self.site
                    .control_pool
                    .put_in_background(answer.connection, Some(body));
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
        if action == Action::Load && reply.is_err() {
            self.record_late(subject, expected);
        }
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

    fn since(&self, t: Instant) -> Duration {
        self.site.now().saturating_duration_since(t)
    }

    fn log_move(&self, m: &ModelMove, began: Instant, outcome: &'static str) {
        tracing::info!(
            endpoint = %self.to.instance,
            load = %m.load,
            evict = ?m.evict,
            ms = self.since(began).as_millis(),
            outcome,
            "move ended"
        );
    }
}

fn model(name: &SmolStr) -> ModelRef {
    ModelRef {
        model: name.clone(),
        adapter: None,
    }
}

/// Returns an endpoint's holdings without the models that a move evicts.
fn without_evicted(r: &EndpointReport, m: &ModelMove) -> Holdings {
    let mut remaining = r.holdings.clone();
    remaining.retain(|name, _| !m.evict.contains(name));
    remaining
}
