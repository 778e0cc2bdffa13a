//! Chooses the endpoint of a request: the model's coordinator assigns it, or this VM chooses from its own view.
//!
//! Each VM learns the other VMs' load on the endpoints a quarter of a second late, and in that time an endpoint reads
//! several prompts. So one VM of the site, the coordinator, assigns the endpoints of a model to all requests; it counts
//! each assignment at once. The traffic for this grows with the requests, not with the square of the VMs. While the
//! coordinator doesn't answer, or its assignment contradicts this VM's view, this VM chooses by itself.
//!
//! Without a coordinator the least loaded endpoint gets every VM's next request at once, and its streams pause while it
//! reads the prompts (`docs/design/shifted-work.md`).

use crate::edge::Protocol;
use crate::settings::ChoicePolicy;
use crate::site::Site;
use crate::site_view::SiteView;
use crate::slots;
use crate::unresponsive::QueryKind;
use crate::waiting;
use limehollow::balance::{Bounds, Choice};
use limehollow::catalog::Catalog;
use limehollow::id::{EndpointKey, ServiceName};
use limehollow::instance::Instance;
use limehollow::job::Job;
use limehollow::roster::Endpoint;
use limehollow::slot_ledger::GrantId;
use limehollow::wait_queue::Waiter;
use limehollow_wire::gossip::{Assignment, QueryBody, QueueClaim, Reply, millis};
use smol_str::SmolStr;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// The timeout of a query to the coordinator: many times the round trip, and a negligible share of the shortest
/// objective.
const COORDINATOR_TIMEOUT: Duration = Duration::from_millis(25);
/// How long a coordinator that didn't answer isn't queried again.
const UNRESPONSIVE_FOR: Duration = Duration::from_millis(100);
/// The maximum number of endpoints that a query may exclude.
const MAX_EXCLUDED: usize = 64;
/// The share of the longest allowed pause of a stream that an endpoint may spend reading prompts: its streams wait
/// meanwhile, and prompts that other gateways send at the same time come in addition.
const READING_SHARE: f64 = 0.5;

/// Chooses the endpoint for a job, other than those that were tried already. Returns also who chose, and the grant of a
/// slot if the service is brittle. A job with a waiter starts in the order of its model's queue.
pub async fn choose<P>(
    site: &Site<P>,
    catalog: &Catalog,
    job: &Job,
    tried: &[EndpointKey],
    waiter: Option<&Waiter>,
) -> (Choice, ChosenBy, Option<GrantId>)
where
    P: Protocol,
{
    if is_brittle(site, &job.service) {
        return slots::choose(site, catalog, job, tried).await;
    }
    match chooser(site, job) {
        Chooser::Coordinator => {
            let choice = assign(site, catalog, job, tried, waiter);
            return (choice, ChosenBy::OwnCoordinator, None);
        }
        Chooser::Other(coordinator) => {
            let reply = query_coordinator(site, coordinator, job, tried, waiter).await;
            if let Some(choice) = reply {
                return (choice, ChosenBy::Coordinator(coordinator), None);
            }
        }
        Chooser::Alone => {}
    }
    let choice = choose_in_order(site, catalog, job, tried, waiter);
    (choice, ChosenBy::OwnView, None)
}

/// Chooses by this VM's own view, and by the order of the model's queue if the request may wait.
fn choose_in_order<P>(
    site: &Site<P>,
    catalog: &Catalog,
    job: &Job,
    tried: &[EndpointKey],
    waiter: Option<&Waiter>,
) -> Choice
where
    P: Protocol,
{
    let now = site.now();
    match (waiter, &job.model) {
        (Some(w), Some(m)) => {
            let bounds = bounds(catalog, job);
            let offer = {
                let view = site.view();
                view.balance.offer(now, &view.roster, bounds, job, tried)
            };
            waiting::decide(site, &m.model, w, offer)
        }
        _ => choose_locally(now, &site.view(), catalog, job, tried),
    }
}

/// Returns `true` if requests to a service need a slot that its coordinator grants.
fn is_brittle<P>(site: &Site<P>, service: &ServiceName) -> bool
where
    P: Protocol,
{
    let now = site.now();
    let mut view = site.view();
    view.brittle(now, service).is_some()
}

/// The VM that chose an endpoint, and by which view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChosenBy {
    /// This VM, as the coordinator of the model.
    OwnCoordinator,
    /// The coordinator of the model, at this address.
    Coordinator(SocketAddr),
    /// This VM, by its own view.
    OwnView,
}

impl ChosenBy {
    /// Returns the address of the VM that chose, if it is another one.
    #[must_use]
    pub fn address(self) -> Option<SocketAddr> {
        match self {
            Self::Coordinator(vm) => Some(vm),
            Self::OwnCoordinator | Self::OwnView => None,
        }
    }
}

impl fmt::Display for ChosenBy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::OwnCoordinator => f.write_str("this VM as coordinator"),
            Self::Coordinator(vm) => write!(f, "coordinator {vm}"),
            Self::OwnView => f.write_str("this VM"),
        }
    }
}

/// Returns where a job could go by this VM's view, without reserving the endpoint.
pub(crate) fn preview<P>(site: &Site<P>, catalog: &Catalog, job: &Job) -> Choice
where
    P: Protocol,
{
    choose_locally(site.now(), &site.view(), catalog, job, &[])
}

/// Chooses by this VM's own view.
pub(crate) fn choose_locally(
    now: Instant,
    view: &SiteView,
    catalog: &Catalog,
    job: &Job,
    tried: &[EndpointKey],
) -> Choice {
    let bounds = bounds(catalog, job);
    view.balance.choose(now, &view.roster, bounds, job, tried)
}

/// The VM that chooses the endpoint of a request.
enum Chooser {
    /// This VM, which coordinates the model for all VMs.
    Coordinator,
    /// The coordinator at this address.
    Other(SocketAddr),
    /// This VM, by its own view and for its own requests only.
    Alone,
}

fn chooser<P>(site: &Site<P>, job: &Job) -> Chooser
where
    P: Protocol,
{
    // A request that may crash its endpoint goes where it does least harm, by this VM's view. Without a model no prompt
    // is read, and the load that VMs report is precise enough.
    let Some(m) = job.model.as_ref().filter(|_| !job.isolated) else {
        return Chooser::Alone;
    };
    if site.settings.load().policy.choice == ChoicePolicy::Own {
        return Chooser::Alone;
    }
    let now = site.now();
    let view = site.view();
    match view.peers.coordinators(now, &m.model).first() {
        Some(None) => Chooser::Coordinator,
        Some(Some(a)) if !view.unresponsive.contains(now, QueryKind::Assignment, *a) => {
            Chooser::Other(*a)
        }
        _ => Chooser::Alone,
    }
}

async fn query_coordinator<P>(
    site: &Site<P>,
    to: SocketAddr,
    job: &Job,
    tried: &[EndpointKey],
    waiter: Option<&Waiter>,
) -> Option<Choice>
where
    P: Protocol,
{
    let tried = excluded(site, job, tried)?;
    let body = QueryBody::Assignment {
        job: job.clone(),
        tried,
        vm: SmolStr::new(site.own_vm.as_str()),
        claim: waiter.map(|w| QueueClaim::at(site.now(), w)),
    };
    let reply = site
        .queries
        .ask(&site.clock, to, body, COORDINATOR_TIMEOUT)
        .await;
    let Some(Reply::Assignment(assignment)) = reply else {
        let now = site.now();
        let mut view = site.view();
        view.unresponsive
            .record(now, QueryKind::Assignment, to, UNRESPONSIVE_FOR);
        return None;
    };
    match assignment {
        Assignment::Endpoint(instance, expected_ms) => {
            let view = site.view();
            let key = view.roster.find(&instance)?;
            let is_usable = |e: &&Endpoint| view.roster.takes_work(key) && job.may_run_at(e);
            let e = view.roster.get(key).filter(is_usable)?;
            let now = site.now();
            let is_closed = view.balance.backpressure.opens_in(now, key).is_some();
            let takes = view.balance.accepts(now, key, e) && !is_closed;
            takes.then_some(Choice::To(key, f64::from(expected_ms)))
        }
        Assignment::Overloaded(expected_ms) => Some(Choice::Overloaded(f64::from(expected_ms))),
        Assignment::NoSlot(ms) => Some(Choice::NoSlot(Duration::from_millis(u64::from(ms)))),
        Assignment::Queued(ms) => Some(Choice::Queued(Duration::from_millis(u64::from(ms)))),
        Assignment::NoTurn(ms) => Some(Choice::NoTurn(Duration::from_millis(u64::from(ms)))),
        // This VM may know an endpoint that the coordinator doesn't. A slot is granted only to who knows that it needs one.
        Assignment::NoEndpoint | Assignment::Slot(..) => None,
    }
}

/// Returns the endpoints that a job can't go to: those that were tried, and those that accept nothing from this VM at
/// present, which the coordinator can't know. Returns `None` if there are too many for a query.
pub(crate) fn excluded<P>(site: &Site<P>, job: &Job, tried: &[EndpointKey]) -> Option<Vec<Instance>>
where
    P: Protocol,
{
    let view = site.view();
    let tried = tried.iter().filter_map(|k| view.roster.get(*k));
    let closed = view.balance.backpressure.closed(site.now());
    let closed = closed.filter_map(|k| view.roster.get(k));
    let closed = closed.filter(|e| e.service == job.service);
    let all: Vec<Instance> = tried.chain(closed).map(|e| e.instance.clone()).collect();
    (all.len() <= MAX_EXCLUDED).then_some(all)
}

/// Chooses an endpoint for a job and counts the job there from now on, as the model's coordinator.
fn assign<P>(
    site: &Site<P>,
    catalog: &Catalog,
    job: &Job,
    tried: &[EndpointKey],
    waiter: Option<&Waiter>,
) -> Choice
where
    P: Protocol,
{
    let choice = choose_in_order(site, catalog, job, tried, waiter);
    if let Choice::To(key, _) = choice {
        let now = site.now();
        site.view().balance.record_assignment(now, key, job);
    }
    choice
}

/// Answers another VM's query for the endpoint of a job.
pub(crate) fn answer<P>(
    site: &Site<P>,
    vm: &SmolStr,
    job: &Job,
    tried: &[Instance],
    claim: Option<&QueueClaim>,
) -> Reply
where
    P: Protocol,
{
    let Some(catalog) = site.catalog.load_full() else {
        return Reply::Assignment(Assignment::NoEndpoint);
    };
    let tried: Vec<EndpointKey> = {
        let view = site.view();
        tried.iter().filter_map(|i| view.roster.find(i)).collect()
    };
    if is_brittle(site, &job.service) {
        return Reply::Assignment(slots::assign(site, &catalog, vm, job, &tried));
    }
    let waiter = claim.map(|c| c.to_waiter(site.now(), vm, job.rank));
    #[expect(clippy::cast_possible_truncation, reason = "rounding is harmless")]
    let assignment = match assign(site, &catalog, job, &tried, waiter.as_ref()) {
        Choice::To(key, expected_ms) => {
            let view = site.view();
            let e = view.roster.get(key);
            e.map_or(Assignment::NoEndpoint, |e| {
                Assignment::Endpoint(e.instance.clone(), expected_ms as f32)
            })
        }
        Choice::Overloaded(expected_ms) => Assignment::Overloaded(expected_ms as f32),
        Choice::Queued(ask_again) => Assignment::Queued(millis(ask_again)),
        Choice::NoTurn(retry_after) => Assignment::NoTurn(millis(retry_after)),
        // An endpoint that asked this VM for backoff may accept requests from the VM that queries.
        Choice::BackingOff(_)
        | Choice::NoSlot(_)
        | Choice::NoEndpoint
        | Choice::NoModel
        | Choice::NoAdapter => Assignment::NoEndpoint,
    };
    Reply::Assignment(assignment)
}

fn bounds(catalog: &Catalog, job: &Job) -> Bounds {
    let service = &job.service;
    let pause = catalog.shortest_pause(service);
    let pause_ms = pause.map_or(f64::INFINITY, |p| p.as_secs_f64() * 1000.0);
    Bounds {
        kv_tokens: catalog.engine(service).map(|e| e.kv_tokens),
        reading_ms: pause_ms * READING_SHARE,
        pause_ms,
    }
}
