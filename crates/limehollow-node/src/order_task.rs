//! The orders of one move at one endpoint.
//!
//! Before each order on a model the endpoint's own report is read, and the order names the number of orders
//! in it, so that an order that is carried out late is void once another was taken. Other VMs hear at once
//! what is about to go and what has come.

use crate::attempt::{self, Target};
use crate::edge::{Action, Order, OrderReply, Protocol};
use crate::lease::{SharedLease, with_lease};
use crate::metrics::Metrics;
use crate::site::Site;
use http_body_util::BodyExt;
use limehollow::catalog::EngineSpec;
use limehollow::id::{EndpointKey, ServiceName};
use limehollow::order_book::{AdapterStep, OrderBook};
use limehollow::rebalance::{AdapterMove, EndpointReport, ModelMove, Step};
use limehollow::roster::{Holdings, HoldingsReport, ModelRef, holds};
use smol_str::SmolStr;
use std::sync::Arc;
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
/// Orders that are given without an answer before a move is given up.
const MAX_UNANSWERED: u32 = 3;

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

/// What a task needs to give orders to one endpoint.
pub(crate) struct OrderTask<P>
where
    P: Protocol,
{
    pub(crate) site: Arc<Site<P>>,
    pub(crate) lease: SharedLease,
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

    /// Loads an adapter, from what is known of the endpoint. Gives what is known of it then; nothing if no
    /// order was given, since then the plan rested on something else than the book.
    pub(crate) async fn move_adapter(
        &self,
        m: &AdapterMove,
        book: Option<OrderBook>,
    ) -> Option<OrderBook> {
        let mut book = match book {
            Some(b) => b,
            None => self.read_book().await?,
        };
        let mut ordered = false;
        for _ in 0..MAX_ADAPTER_STEPS {
            let (action, subject) = match book.adapter_step(m, &self.spec) {
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
        self.site.known().reports.add(r);
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
        let fence = with_lease(&self.lease, |l| {
            let now = Instant::now();
            let fence = l.fence(now)?;
            l.note_order(now);
            Some(fence)
        })?;
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
