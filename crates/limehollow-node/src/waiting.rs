//! Requests that wait until the endpoints of their model have capacity.
//!
//! The order is kept by the model's coordinator ([`limehollow::wait_queue`]). The request stays at the VM that read it and
//! asks the coordinator again until it may start or is refused (`docs/design/load-scheduling.md`).

use crate::edge::Protocol;
use crate::logging::may_log;
use crate::metrics::{Metrics, QueueDecisionLabels, RankLabels};
use crate::relay::millis;
use crate::settings::QueuePolicy;
use crate::site::Site;
use crate::site_view::SiteView;
use limehollow::balance::{Balance, Choice, Offer};
use limehollow::catalog::{Catalog, Rule};
use limehollow::fingerprint::Fingerprint;
use limehollow::job::{Job, RANKS};
use limehollow::wait_queue::{Decision, Ticket, WaitQueue, Waiter};
use limehollow_wire::gossip::QueryBody;
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The maximum size of the bodies of all waiting requests together: a small part of the memory of the smallest VM.
const MAX_WAITING_BYTES: usize = 8 << 20;
/// The time to the first result that is assumed, as a multiple of that at an idle endpoint: other prompts come first.
const FIRST_RESULT_FACTOR: f64 = 2.0;
/// The largest share of its objective that a request keeps for its first result.
const MAX_FIRST_RESULT_SHARE: f64 = 0.5;
/// The multiple of its objective after which a caller has left, and the least time after which it does.
const PATIENCE_OBJECTIVES: f64 = 4.0;
const MIN_PATIENCE: Duration = Duration::from_secs(2);
/// How long the query that takes a request out of a queue is expected to be answered.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(25);
/// The maximum number of workspaces in a dump of a queue.
const MAX_DUMPED_WORKSPACES: usize = 32;

/// The requests of this VM that wait for their turn, the most urgent first.
#[derive(Debug, Default)]
pub struct HeldRequests {
    entries: BTreeMap<Key, Held>,
    bytes: usize,
    next_number: u64,
}

/// The rank, the latest start in time, and the number of a request.
type Key = (u8, Instant, u64);

#[derive(Debug)]
struct Held {
    bytes: usize,
    /// Notified if the request has to make room for a more urgent one.
    displaced: Arc<Notify>,
}

impl HeldRequests {
    fn number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    /// Returns the number of requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns `true` if no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Holds a request, if necessary in place of less urgent ones. Returns `None` if there is no room for it.
    fn hold(&mut self, w: &Waiter, bytes: usize, max: usize) -> Option<Arc<Notify>> {
        let key = key(w);
        for _ in 0..self.in_the_way(key, bytes, max)? {
            let (_, held) = self.entries.pop_last()?;
            self.bytes -= held.bytes;
            held.displaced.notify_one();
        }
        let displaced = Arc::new(Notify::new());
        let held = Held {
            bytes,
            displaced: Arc::clone(&displaced),
        };
        self.bytes += bytes;
        self.entries.insert(key, held);
        Some(displaced)
    }

    /// Returns how many of the last requests have to make room for one, or `None` if it doesn't come before all of them. Then
    /// none is displaced.
    fn in_the_way(&self, key: Key, bytes: usize, max: usize) -> Option<usize> {
        let (mut len, mut sum) = (self.entries.len(), self.bytes + bytes);
        let mut last = self.entries.iter().rev();
        let mut n = 0;
        while len >= max || sum > MAX_WAITING_BYTES {
            let (_, held) = last.next().filter(|(k, _)| **k > key)?;
            (len, sum, n) = (len - 1, sum - held.bytes, n + 1);
        }
        Some(n)
    }

    fn release(&mut self, w: &Waiter) {
        if let Some(held) = self.entries.remove(&key(w)) {
            self.bytes -= held.bytes;
        }
    }
}

fn key(w: &Waiter) -> Key {
    (w.rank, w.start_by, w.ticket.number)
}

/// What a request that may wait needs.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The rule of the request.
    pub rule: &'a Rule,
    /// Its requirements on an endpoint.
    pub job: &'a Job,
    /// Its workspace, if there are workspaces.
    pub workspace: Option<&'a str>,
    /// Its caller, who stands for the workspace if there is none.
    pub caller: &'a str,
    /// Its fingerprint.
    pub fingerprint: Fingerprint,
    /// When it arrived.
    pub arrived: Instant,
    /// When it has to have ended.
    pub expiry: Instant,
}

/// Returns what the queue of a request's model has to know of it, or `None` if the request doesn't wait.
pub fn waiter<P>(site: &Site<P>, catalog: &Catalog, r: &Request<'_>) -> Option<Waiter>
where
    P: Protocol,
{
    let is_off = site.settings.load().policy.queue == QueuePolicy::Off;
    if is_off || r.job.model.is_none() || r.job.isolated {
        return None;
    }
    let limit = r.workspace.and_then(|w| catalog.workspaces.get(w)?.limit);
    let mut view = site.view();
    let number = view.held_requests.number();
    let (start_by, serve_by) = latest_starts(&view.balance, r);
    Some(Waiter {
        ticket: Ticket {
            vm: SmolStr::new(site.own_vm.as_str()),
            number,
        },
        rank: r.job.rank,
        tenant: SmolStr::new(r.workspace.unwrap_or(r.caller)),
        weight: limit.map_or(1.0, |l| l.rate),
        request: r.fingerprint,
        start_by,
        serve_by,
    })
}

/// Returns the latest start with which a request meets its objective, and the latest with which it can be served.
fn latest_starts(balance: &Balance, r: &Request<'_>) -> (Instant, Instant) {
    let first = milliseconds(balance.first_result_ms(r.job) * FIRST_RESULT_FACTOR);
    let first = first.min(r.rule.objective.mul_f64(MAX_FIRST_RESULT_SHARE));
    let held = milliseconds(balance.held_ms(r.job));
    let patience = r
        .rule
        .objective
        .mul_f64(PATIENCE_OBJECTIVES)
        .max(MIN_PATIENCE);
    let start_by = r.arrived + r.rule.objective - first;
    let left_at = r.arrived + patience - first;
    let serve_by = r.expiry.checked_sub(held).unwrap_or(r.arrived);
    (start_by.min(serve_by), serve_by.min(left_at))
}

fn milliseconds(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1000.0).unwrap_or_default()
}

/// How a wait ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Waited {
    /// The request asks for its turn again.
    AskAgain,
    /// This VM holds as many requests as it may, and this one is the least urgent.
    Displaced,
    /// The request can't be served any more.
    TooLate,
}

/// A request that asks for its turn, also again after an endpoint has rejected it. When it is dropped, it no longer waits.
#[derive(Debug)]
pub struct Turn<P>
where
    P: Protocol,
{
    site: Arc<Site<P>>,
    model: SmolStr,
    waiter: Waiter,
    bytes: usize,
    /// The time for which the request is expected to run.
    runs_for: Duration,
    /// Since when it waits, and the notification that it was displaced.
    held: Option<(Instant, Arc<Notify>)>,
    /// The coordinator in whose queue it waits, as far as this VM knows.
    queued_at: Option<SocketAddr>,
}

impl<P> Turn<P>
where
    P: Protocol,
{
    /// Creates the turn of a request with so many bytes, or returns `None` if the request doesn't wait.
    #[must_use]
    pub fn new(
        site: Arc<Site<P>>,
        catalog: &Catalog,
        r: &Request<'_>,
        bytes: usize,
    ) -> Option<Self> {
        let waiter = waiter(&site, catalog, r)?;
        let runs_for = milliseconds(site.view().balance.held_ms(r.job));
        Some(Self {
            model: r.job.model.as_ref()?.model.clone(),
            site,
            waiter,
            bytes,
            runs_for,
            held: None,
            queued_at: None,
        })
    }

    /// Returns what the queue has to know now. A VM that stops can't start a request that would outlast it.
    #[must_use]
    pub fn waiter(&self) -> Waiter {
        let mut w = self.waiter.clone();
        if let Some(ends_at) = self.site.ends_at() {
            let latest = ends_at.checked_sub(self.runs_for).unwrap_or(ends_at);
            w.start_by = w.start_by.min(latest);
            w.serve_by = w.serve_by.min(latest);
        }
        w
    }

    /// Waits until the request may ask again, in the queue of another VM or of this one.
    pub async fn wait(&mut self, ask_again: Duration, at: Option<SocketAddr>) -> Waited {
        let now = self.site.now();
        self.record_queue(at);
        let Some(displaced) = self.hold(now) else {
            return Waited::Displaced;
        };
        let until = (now + ask_again).min(self.waiter().serve_by);
        let clock = &self.site.clock;
        if clock.timeout_at(until, displaced.notified()).await.is_ok() {
            return Waited::Displaced;
        }
        // A VM that was suspended, or that was told to stop, may find that the request's time is over.
        if self.site.now() >= self.waiter().serve_by {
            return Waited::TooLate;
        }
        Waited::AskAgain
    }

    /// Records the queue in which the request waits now, and leaves those in which it no longer asks.
    ///
    /// While its coordinator doesn't answer, the request waits in the queue of this VM and keeps its place at the coordinator.
    fn record_queue(&mut self, at: Option<SocketAddr>) {
        if at.is_none() || at == self.queued_at {
            return;
        }
        self.leave_own_queue();
        if let Some(before) = std::mem::replace(&mut self.queued_at, at) {
            self.send_leave(before);
        }
    }

    /// Counts the request towards this VM's bounds. Returns `None` if there is no room for it.
    fn hold(&mut self, now: Instant) -> Option<Arc<Notify>> {
        if let Some((_, displaced)) = &self.held {
            return Some(Arc::clone(displaced));
        }
        let max = self.site.settings.load().max_waiting();
        let mut view = self.site.view();
        let displaced = view.held_requests.hold(&self.waiter, self.bytes, max)?;
        drop(view);
        self.held = Some((now, Arc::clone(&displaced)));
        Some(displaced)
    }

    /// Ends the wait of a request that the queue of another VM, or of this one, has started or refused, and no longer holds.
    pub fn end(&mut self, by: Option<SocketAddr>) {
        if by.is_some() && by == self.queued_at {
            self.queued_at = None;
        }
        self.release();
    }

    fn release(&mut self) {
        if let Some((since, _)) = self.held.take() {
            let waited = self.site.now().saturating_duration_since(since);
            self.site.metrics.queue_wait.observe(waited.as_secs_f64());
            self.site.view().held_requests.release(&self.waiter);
        }
        self.leave_own_queue();
        if let Some(to) = self.queued_at.take() {
            self.send_leave(to);
        }
    }

    fn leave_own_queue(&self) {
        remove(&self.site, &self.model, &self.waiter.ticket);
    }

    /// Tells a coordinator that the request no longer waits there, so that the next one starts.
    fn send_leave(&self, to: SocketAddr) {
        let ticket = &self.waiter.ticket;
        let body = QueryBody::Leave {
            vm: ticket.vm.clone(),
            number: ticket.number,
            model: self.model.clone(),
        };
        let site = Arc::clone(&self.site);
        tokio::spawn(async move {
            // Without an answer the coordinator drops the request when it doesn't ask again.
            let _reply = site.queries.ask(&site.clock, to, body, LEAVE_TIMEOUT).await;
        });
    }
}

impl<P> Drop for Turn<P>
where
    P: Protocol,
{
    fn drop(&mut self) {
        self.release();
    }
}

/// Decides on a request that asks for its turn, given the capacity of the endpoints.
pub(crate) fn decide<P>(site: &Site<P>, model: &SmolStr, w: &Waiter, offer: Offer) -> Choice
where
    P: Protocol,
{
    if !matches!(offer.choice, Choice::To(..) | Choice::Overloaded(_)) {
        return offer.choice;
    }
    let now = site.now();
    let mut view = site.view();
    let decision = view.wait_queues.ask(now, model, w, offer.capacity);
    drop(view);
    let result = match decision {
        Decision::Start => "started",
        Decision::Wait { .. } => "waiting",
        Decision::Refuse(_) => "refused",
    };
    count(&site.metrics, w.rank, result, 1);
    match decision {
        Decision::Start => offer.choice,
        Decision::Wait { ask_again } => Choice::Queued(ask_again),
        Decision::Refuse(r) => {
            if may_log() {
                tracing::info!(
                    vm = %w.ticket.vm,
                    number = w.ticket.number,
                    %model,
                    rank = w.rank,
                    tenant = %w.tenant,
                    position = r.position,
                    room = offer.capacity.room,
                    expected_wait_ms = millis(r.expected_wait),
                    retry_after_ms = millis(r.retry_after),
                    is_reserved = r.is_reserved,
                    "the request can't start in time"
                );
            }
            Choice::NoTurn(r.is_reserved.then_some(r.retry_after))
        }
    }
}

/// Removes a request from the queue of its model.
pub(crate) fn remove<P>(site: &Site<P>, model: &str, ticket: &Ticket)
where
    P: Protocol,
{
    site.view().wait_queues.leave(model, ticket);
}

/// Drops the requests that didn't ask again, and updates the metrics.
pub(crate) fn sweep(now: Instant, view: &mut SiteView, metrics: &Metrics) {
    view.wait_queues.sweep(now);
    for (rank, ended) in (0..).zip(view.wait_queues.take_ended()) {
        count(metrics, rank, "left", ended.left);
        count(metrics, rank, "expired", ended.expired);
    }
    let mut waiting = [0; RANKS];
    for (_, queue) in view.wait_queues.iter() {
        for (sum, s) in waiting.iter_mut().zip(queue.status(now)) {
            *sum += s.waiting;
        }
    }
    for (rank, n) in (0..).zip(waiting) {
        let gauge = metrics.waiting.get_or_create(&RankLabels { rank });
        gauge.set(i64::try_from(n).unwrap_or(i64::MAX));
    }
}

/// Returns what waits, by model, for operators.
pub(crate) fn dump(view: &SiteView, now: Instant) -> serde_json::Value {
    let queues = view.wait_queues.iter().filter(|(_, q)| !q.is_empty());
    queues
        .map(|(model, q)| (model.to_string(), dump_queue(q, now)))
        .collect::<serde_json::Map<_, _>>()
        .into()
}

fn dump_queue(q: &WaitQueue, now: Instant) -> serde_json::Value {
    let by_rank = q.status(now).map(|s| {
        serde_json::json!({
            "waiting": s.waiting,
            "longest_ms": millis(s.longest),
        })
    });
    let mut shares: Vec<_> = q.shares().collect();
    shares.sort_by_key(|(_, starts)| std::cmp::Reverse(*starts));
    let shares = shares.into_iter().take(MAX_DUMPED_WORKSPACES);
    let shares: BTreeMap<&SmolStr, u64> = shares.collect();
    serde_json::json!({ "by_rank": by_rank, "started_by_workspace": shares })
}

fn count(metrics: &Metrics, rank: u8, result: &'static str, n: u64) {
    let last = u32::try_from(RANKS - 1).unwrap_or(u32::MAX);
    let labels = QueueDecisionLabels {
        rank: u32::from(rank).min(last),
        result,
    };
    metrics.queue_decisions.get_or_create(&labels).inc_by(n);
}
