//! The orders of one move at one endpoint.
//!
//! Before each order on a model the endpoint's own report is read, and the order names the number of orders
//! in it, so that an order that is carried out late is void once another was taken. A report of a later start of the
//! endpoint ends the task, and room is kept for orders to a former start ([`limehollow::late_loads`]). Other VMs hear at
//! once what is about to go and what has come.

use crate::attempt::{self, Target};
use crate::edge::{Action, Order, OrderReply, Protocol};
use crate::lease::{SharedLease, with_lease};
use crate::metrics::Metrics;
use crate::site::Site;
use http_body_util::BodyExt;
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
/// How long an order that was taken may be missing in the endpoint's reports, which are as of some hundred ms ago. Without
/// a bound a move at an endpoint that had started again kept it from all other orders for [`MOVE_TIMEOUT`].
const COUNTED_WITHIN: Duration = Duration::from_millis(2000);
/// Orders that are given without an answer before a move is given up.
const MAX_UNANSWERED: u32 = 3;

/// The loads that were ordered without an answer; never held over an `await`.
pub(crate) type SharedLateLoads = Arc<Mutex<LateLoads>>;
/// The loads from the weight store; never held over an `await`.
pub(crate) type SharedLoadWindow = Arc<Mutex<LoadWindow>>;

/// What was moved.
#[derive(Clone, Copy)]
pub(crate) enum Moved {
    Model,
    Adapter,
}

/// What a task of a move says at its end.
pub(crate) struct Ended {
    /// What was moved.
    pub(crate) what: Moved,
    pub(crate) service: ServiceName,
    pub(crate) key: EndpointKey,
    /// What is known of the endpoint now.
    pub(crate) book: Option<OrderBook>,
}

/// How far the move of a model is.
struct Progress {
    began: Instant,
    check: StartCheck,
    /// Reports and orders without an answer, and orders that were refused.
    unanswered: u32,
    /// How many orders the endpoint has taken at least.
    least: u64,
    /// When the last order was taken.
    ordered: Instant,
    /// When other VMs were last told what is about to go.
    told: Instant,
}

impl Progress {
    fn new(now: Instant, instance: &Instance) -> Self {
        Self {
            began: now,
            check: StartCheck::new(instance.clone()),
            unanswered: 0,
            least: 0,
            ordered: now,
            told: now,
        }
    }
}

/// How the move of a model ended.
struct MoveEnd {
    /// For the log.
    outcome: &'static str,
    /// What is known of the endpoint, if the model is there.
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

/// What a task needs to give orders to one endpoint.
pub(crate) struct OrderTask<P>
where
    P: Protocol,
{
    pub(crate) site: Arc<Site<P>>,
    pub(crate) lease: SharedLease,
    /// What was ordered without an answer, by all tasks of this VM.
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
    /// Says that the task has ended.
    pub(crate) fn end(
        &self,
        what: Moved,
        ended: &mpsc::UnboundedSender<Ended>,
        book: Option<OrderBook>,
    ) {
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
    pub(crate) async fn move_model(&self, m: &ModelMove) -> Option<OrderBook> {
        let mut p = Progress::new(self.site.now(), &self.to.instance);
        loop {
            if let ControlFlow::Break(end) = self.advance(m, &mut p).await {
                self.log_move(m, p.began, end.outcome);
                return end.book;
            }
            sleep(ASK_EVERY).await;
        }
    }

    /// Reads the endpoint's report, and gives the order that it asks for.
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
            self.tell_start(&r);
            return MoveEnd::failed("the endpoint has started again");
        }
        // A report may be older than the order before it.
        let step = if r.orders_taken >= p.least {
            m.step(
                &r,
                &self.spec,
                self.reserve(&OrderBook::from(r.clone()), &model(&m.load)),
            )
        } else if self.since(p.ordered) < COUNTED_WITHIN {
            Step::Wait
        } else {
            return MoveEnd::failed("the order is not counted");
        };
        match step {
            Step::Wait => {
                // What is going is still listed until its last run has ended.
                if self.since(p.told) >= TELL_EVERY {
                    p.told = self.site.now();
                    self.tell(left(&r, m), r.orders_taken.max(p.least));
                }
                ControlFlow::Continue(())
            }
            Step::Done => {
                self.tell(r.holdings.clone(), r.orders_taken);
                ControlFlow::Break(MoveEnd {
                    outcome: "done",
                    book: Some(OrderBook::from(r)),
                })
            }
            Step::NoRoom => {
                self.tell(r.holdings, r.orders_taken);
                MoveEnd::failed("no room")
            }
            Step::Unload(name) => {
                self.tell(left(&r, m), r.orders_taken);
                sleep(WITHDRAW).await;
                self.order_model(Action::Unload, &name, m, &r, p).await
            }
            Step::Load if !self.may_load(&m.load, &r) => ControlFlow::Continue(()),
            Step::Load => self.order_model(Action::Load, &m.load, m, &r, p).await,
        }
    }

    /// Counts a load against what the weight store allows, unless the endpoint has a copy at hand. Gives whether it may begin
    /// now.
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
                p.least = r.orders_taken + 1;
                p.ordered = self.site.now();
                p.told = p.ordered;
                self.tell(left(r, m), p.least);
            }
            Some(OrderReply::Holds | OrderReply::Conflict) => {}
            Some(OrderReply::Refused(_)) | None => p.unanswered += 1,
        }
        ControlFlow::Continue(())
    }

    /// Loads an adapter, from what is known of the endpoint. Gives what is known of it then; nothing if no order was
    /// given, since then the plan rested on something else than the book, or if the endpoint has started again.
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
                    self.tell(book.holdings.clone(), book.orders_taken);
                    return ordered.then_some(book);
                }
            };
            if action == Action::Unload {
                book.withdraw(&subject);
                self.tell(book.holdings.clone(), book.orders_taken);
                sleep(WITHDRAW).await;
            }
            ordered = true;
            let counted = match self.order(action, &subject, book.orders_taken).await? {
                OrderReply::Taken if action == Action::Unload => {
                    // It waits for its runs; until it is gone, the endpoint takes no other order.
                    let least = book.orders_taken + 1;
                    book = self.wait_dropped(&subject, least, &mut check).await?;
                    continue;
                }
                OrderReply::Taken => true,
                // An adapter that no request uses goes at once, which is answered as done and counts; a
                // load of what is there doesn't.
                OrderReply::Holds => action == Action::Unload,
                OrderReply::Conflict => {
                    // A report is as of some time ago; one that is read at once would show the same.
                    sleep(ASK_EVERY).await;
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
                sleep(ADAPTER_LOAD).await;
            }
        }
        None
    }

    /// Waits until an adapter that is being dropped is gone, by reports that count the order to drop it.
    async fn wait_dropped(
        &self,
        m: &ModelRef,
        least: u64,
        check: &mut StartCheck,
    ) -> Option<OrderBook> {
        let until = self.site.now() + DROP_TIMEOUT;
        while self.site.now() < until {
            sleep(ASK_EVERY).await;
            let mut book = self.read_book(check).await?;
            if book.orders_taken >= least && !holds(&book.holdings, m) {
                return Some(book);
            }
            book.withdraw(m);
            self.tell(book.holdings, book.orders_taken);
        }
        None
    }

    /// Reads what the endpoint reports; none if it doesn't, or has started again.
    async fn read_book(&self, check: &mut StartCheck) -> Option<OrderBook> {
        let r = self.report().await?;
        if check.observe(r.born, r.orders_taken) {
            return Some(OrderBook::from(r));
        }
        self.tell_start(&r);
        None
    }

    /// Gives what has to stay free at the endpoint while something is loaded there.
    fn reserve(&self, book: &OrderBook, loading: &ModelRef) -> Reserve {
        let late = self.late.lock().unwrap_or_else(PoisonError::into_inner);
        let id = &self.to.instance.id;
        late.reserve(self.site.now(), id, book, loading, &self.spec)
    }

    fn note_late(&self, subject: &ModelRef, expected: u64) {
        let mut late = self.late.lock().unwrap_or_else(PoisonError::into_inner);
        late.record(self.site.now(), &self.to.instance, subject, expected);
    }

    /// Tells this VM and the others that the endpoint has started again, and what it holds.
    fn tell_start(&self, r: &EndpointReport) {
        let instance = Instance {
            id: self.to.instance.id.clone(),
            born: r.born,
        };
        self.tell_of(instance, r.holdings.clone(), r.orders_taken);
    }

    /// Tells this VM and the others what the endpoint holds.
    fn tell(&self, holdings: Holdings, orders_taken: u64) {
        self.tell_of(self.to.instance.clone(), holdings, orders_taken);
    }

    fn tell_of(&self, instance: Instance, holdings: Holdings, orders_taken: u64) {
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
        let req = self.site.protocol.report_request(&self.to.instance.id);
        let call = async {
            let sent =
                attempt::send(&self.site, &self.site.control_pool, &self.to, req, "", None).await;
            let answer = sent.map_err(|f| f.why)?;
            let (head, body) = answer.response.into_parts();
            let body = body
                .collect()
                .await
                .map_err(|e| SmolStr::from(e.to_string()))?;
            self.site
                .control_pool
                .put_in_background(answer.connection, None);
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
            self.note_late(subject, expected);
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

/// Gives what an endpoint holds, less what makes way in a move.
fn left(r: &EndpointReport, m: &ModelMove) -> Holdings {
    let mut left = r.holdings.clone();
    left.retain(|name, _| !m.evict.contains(name));
    left
}
