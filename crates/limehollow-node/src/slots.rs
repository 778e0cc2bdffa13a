//! Has one VM grant the slots of a brittle service's endpoints to the requests of all VMs.
//!
//! The rules are in [`limehollow::slot_ledger`]. While a service is brittle, its coordinator chooses the endpoint of each
//! request and grants a slot with it; without a grant nothing is sent. Each VM reports what it holds to the two VMs that
//! come first as coordinators, so that the second one can take over at once (`docs/design/brittle.md`).

use crate::assignment::{self, ChosenBy};
use crate::edge::Protocol;
use crate::site::Site;
use crate::site_view::SiteView;
use crate::unresponsive::QueryKind;
use limehollow::backlog::Backlog;
use limehollow::balance::Choice;
use limehollow::catalog::Catalog;
use limehollow::id::{EndpointKey, ServiceName};
use limehollow::job::Job;
use limehollow::roster::{Endpoint, holds};
use limehollow::slot_ledger::{
    Capacity, GrantId, Held, REJECTION_WINDOW, REPORT_EVERY, SlotReport, Usage,
};
use limehollow_wire::gossip::{Assignment, QueryBody, Reply, SlotUsage, Slots, millis};
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The timeout of a query to the coordinator: many times the round trip.
const TIMEOUT: Duration = Duration::from_millis(25);
/// How often a coordinator is queried before the next one is, as a datagram may be lost.
const ATTEMPTS: usize = 2;
/// How long a coordinator that didn't answer isn't queried again.
const UNRESPONSIVE_FOR: Duration = Duration::from_millis(300);
/// The number of VMs that get the reports, and that a request queries in turn.
const COORDINATORS: usize = 2;
/// The retry delay if no coordinator answers: another one has taken over by then.
const TAKEOVER: Duration = Duration::from_millis(1000);
/// The rejections a second from which on an endpoint bears the one that each of two coordinators risks.
const BEARS_TWO_COORDINATORS: f64 = 2.0;
/// The time in which changes gather before they are reported.
const GATHER: Duration = Duration::from_millis(5);
/// The time for which a request holds a slot before any has completed.
const DEFAULT_HELD: Duration = Duration::from_millis(500);

/// The reports to send, with their targets.
pub type Reports = Option<(Slots, Vec<SocketAddr>)>;

/// Chooses the endpoint of a request to a brittle service, with a grant of a slot there.
pub(crate) async fn choose<P>(
    site: &Site<P>,
    catalog: &Catalog,
    job: &Job,
    tried: &[EndpointKey],
) -> (Choice, ChosenBy, Option<GrantId>)
where
    P: Protocol,
{
    for coordinator in coordinators(site, &job.service) {
        let (assignment, by) = match coordinator {
            Some(vm) => (query(site, vm, job, tried).await, ChosenBy::Coordinator(vm)),
            None => {
                let own_vm = SmolStr::new(site.own_vm.as_str());
                let own = assign(site, catalog, &own_vm, job, tried);
                (Some(own), ChosenBy::OwnCoordinator)
            }
        };
        if let Some(a) = assignment {
            let (choice, grant) = accept(site, catalog, job, tried, a);
            return (choice, by, grant);
        }
    }
    (Choice::NoSlot(TAKEOVER), ChosenBy::OwnView, None)
}

/// Returns the VMs that may coordinate a service's slots, the preferred one first. `None` stands for this VM.
fn coordinators<P>(site: &Site<P>, service: &ServiceName) -> Vec<Option<SocketAddr>>
where
    P: Protocol,
{
    let now = site.now();
    let view = site.view();
    let all = view.peers.coordinators(now, service.as_str());
    let is_unresponsive = |a: &SocketAddr| view.unresponsive.contains(now, QueryKind::Slot, *a);
    let all = all.into_iter().take(COORDINATORS);
    all.filter(|c| !c.as_ref().is_some_and(is_unresponsive))
        .collect()
}

async fn query<P>(
    site: &Site<P>,
    to: SocketAddr,
    job: &Job,
    tried: &[EndpointKey],
) -> Option<Assignment>
where
    P: Protocol,
{
    let tried = assignment::excluded(site, job, tried)?;
    for _ in 0..ATTEMPTS {
        let body = QueryBody::Assignment {
            job: job.clone(),
            tried: tried.clone(),
            vm: SmolStr::new(site.own_vm.as_str()),
            claim: None,
        };
        let reply = site.queries.ask(&site.clock, to, body, TIMEOUT).await;
        if let Some(Reply::Assignment(a)) = reply {
            return Some(a);
        }
    }
    let now = site.now();
    site.view()
        .unresponsive
        .record(now, QueryKind::Slot, to, UNRESPONSIVE_FOR);
    None
}

/// Takes what a coordinator assigned, as far as this VM can use it.
fn accept<P>(
    site: &Site<P>,
    catalog: &Catalog,
    job: &Job,
    tried: &[EndpointKey],
    a: Assignment,
) -> (Choice, Option<GrantId>)
where
    P: Protocol,
{
    match a {
        Assignment::Slot(instance, expected_ms, grant) => {
            let now = site.now();
            let mut view = site.view();
            let key = view.roster.find(&instance);
            let Some(key) = key.filter(|k| view.roster.takes_work(*k)) else {
                // The grant expires at the coordinator.
                return (Choice::NoSlot(TIMEOUT), None);
            };
            view.slot_holdings
                .receive(now, grant, key, job.held_tokens());
            (Choice::To(key, f64::from(expected_ms)), Some(grant))
        }
        Assignment::NoSlot(ms) => (Choice::NoSlot(Duration::from_millis(u64::from(ms))), None),
        Assignment::Overloaded(expected_ms) => (Choice::Overloaded(f64::from(expected_ms)), None),
        // The coordinator doesn't know yet that the service is brittle.
        Assignment::Endpoint(..) | Assignment::Queued(_) | Assignment::NoTurn(_) => {
            (Choice::NoSlot(TIMEOUT), None)
        }
        // This VM may know better why there is none.
        Assignment::NoEndpoint => {
            match assignment::choose_locally(site.now(), &site.view(), catalog, job, tried) {
                Choice::To(..) => (Choice::NoSlot(TIMEOUT), None),
                other => (other, None),
            }
        }
    }
}

/// Chooses an endpoint of a brittle service for a VM's request and grants a slot there, as the coordinator.
pub(crate) fn assign<P>(
    site: &Site<P>,
    catalog: &Catalog,
    vm: &SmolStr,
    job: &Job,
    tried: &[EndpointKey],
) -> Assignment
where
    P: Protocol,
{
    let now = site.now();
    let mut view = site.view();
    let view = &mut *view;
    let tokens = job.held_tokens();
    let candidates = candidates(now, view, catalog, job);
    let is_full =
        |(k, c): &&(EndpointKey, Capacity)| !view.slot_ledger.has_room(now, *k, *c, tokens);
    let full = candidates.iter().filter(is_full).map(|(k, _)| *k);
    let unusable: Vec<EndpointKey> = tried.iter().copied().chain(full).collect();
    let has_full = unusable.len() > tried.len();
    match assignment::choose_locally(now, view, catalog, job, &unusable) {
        Choice::To(key, expected_ms) => {
            let capacity = candidates.iter().find(|(k, _)| *k == key).map(|(_, c)| *c);
            let grant = capacity.and_then(|c| view.slot_ledger.grant(now, vm, key, c, tokens));
            match (grant, view.roster.get(key)) {
                (Some(grant), Some(e)) => {
                    #[expect(clippy::cast_possible_truncation, reason = "rounding is harmless")]
                    let expected_ms = expected_ms as f32;
                    let instance = e.instance.clone();
                    view.balance.record_assignment(now, key, job);
                    Assignment::Slot(instance, expected_ms, grant)
                }
                _ => Assignment::NoSlot(millis(until_free(now, view, &candidates, job))),
            }
        }
        #[expect(clippy::cast_possible_truncation, reason = "rounding is harmless")]
        Choice::Overloaded(expected_ms) => Assignment::Overloaded(expected_ms as f32),
        _ if has_full => Assignment::NoSlot(millis(until_free(now, view, &candidates, job))),
        _ => Assignment::NoEndpoint,
    }
}

/// Returns the endpoints at which a job could run, with what each has room for.
fn candidates(
    now: Instant,
    view: &mut SiteView,
    catalog: &Catalog,
    job: &Job,
) -> Vec<(EndpointKey, Capacity)> {
    let Some(bears) = view.brittle(now, &job.service) else {
        return Vec::new();
    };
    // As long as a rejection counts, so that none is left from the grants of the one before.
    let is_only = view
        .peers
        .has_coordinated_for(now, job.service.as_str(), REJECTION_WINDOW);
    let kv_tokens = catalog.engine(&job.service).map(|e| e.kv_tokens);
    let has_model = |e: &Endpoint| {
        let model = job.model.as_ref();
        model.is_none_or(|m| holds(&e.holdings, m))
    };
    let open = view.roster.open(&job.service);
    let usable = open.filter(|(_, e)| job.may_run_at(e) && has_model(e));
    let with_capacity = usable.map(|(key, e)| {
        let own = view.balance.backpressure.bears(now, key);
        let bears = own.unwrap_or(bears);
        let may_grant = is_only || bears >= BEARS_TWO_COORDINATORS;
        let capacity = Capacity {
            slots: if may_grant { e.slots } else { 0 },
            kv_tokens,
            bears,
        };
        (key, capacity)
    });
    with_capacity.collect()
}

/// Estimates when a slot is free for another request of this kind.
fn until_free(
    now: Instant,
    view: &mut SiteView,
    candidates: &[(EndpointKey, Capacity)],
    job: &Job,
) -> Duration {
    let slots: u32 = candidates.iter().map(|(_, c)| c.slots).sum();
    let held = view.balance.held(&job.service).unwrap_or(DEFAULT_HELD);
    let served_per_s = f64::from(slots.max(1)) / held.as_secs_f64().max(f64::MIN_POSITIVE);
    let of = job
        .model
        .as_ref()
        .map_or(job.service.as_str(), |m| &m.model);
    let backlog = view.slot_backlogs.entry(SmolStr::new(of));
    backlog
        .or_insert_with(|| Backlog::new(now))
        .add(now, served_per_s)
}

/// Applies another VM's report, or this VM's own.
pub fn receive<P>(site: &Site<P>, r: Slots)
where
    P: Protocol,
{
    let now = site.now();
    let mut view = site.view();
    let usage = r.usage.iter().filter_map(|u| {
        Some(Usage {
            key: view.roster.find(&u.instance)?,
            held: u.held,
            rejected: u.rejected,
        })
    });
    let report = SlotReport {
        vm: r.vm,
        start: r.start,
        number: r.number,
        progress: r.progress,
        usage: usage.collect(),
    };
    view.slot_ledger.apply(now, report);
}

/// Produces the reports of what this VM holds.
#[derive(Debug)]
pub struct SlotReporter<P> {
    site: Arc<Site<P>>,
}

impl<P> SlotReporter<P>
where
    P: Protocol,
{
    /// Creates the reporter of a VM that holds nothing yet.
    #[must_use]
    pub fn new(site: Arc<Site<P>>) -> Self {
        Self { site }
    }

    /// Waits until there is something to report, and returns the report with the VMs that get it.
    pub async fn next(&mut self) -> Reports {
        let changed = self.site.slots_changed.notified();
        let settled = self.site.view().slot_holdings.next_settled();
        let repeat_at = self.site.now() + REPORT_EVERY;
        let due = settled.map_or(repeat_at, |t| t.min(repeat_at));
        let _repeated = self.site.clock.timeout_at(due, changed).await;
        sleep(GATHER).await;
        let (report, to) = self.report()?;
        let (own, others): (Vec<_>, Vec<_>) = to.into_iter().partition(Option::is_none);
        if !own.is_empty() {
            receive(&self.site, report.clone());
        }
        Some((report, others.into_iter().flatten().collect()))
    }

    fn report(&self) -> Option<(Slots, Vec<Option<SocketAddr>>)> {
        let now = self.site.now();
        let mut view = self.site.view();
        let view = &mut *view;
        if !view.balance.backpressure.has_brittle(now) {
            return None;
        }
        let services = view.brittle_services(now).clone();
        let balance = &view.balance;
        let roster = &view.roster;
        let is_brittle = |k: &EndpointKey| {
            roster
                .get(*k)
                .is_some_and(|e| services.contains_key(&e.service))
        };
        let own = balance.own().filter(|(k, _)| is_brittle(k));
        let own = own.map(|(k, t)| (k, Held::from(t)));
        let report = view.slot_holdings.report(now, own)?;
        let usage = report.usage.iter().filter_map(|u| {
            Some(SlotUsage {
                instance: roster.get(u.key)?.instance.clone(),
                held: u.held,
                rejected: u.rejected,
            })
        });
        let mut to: Vec<Option<SocketAddr>> = Vec::new();
        for service in services.keys() {
            let all = view.peers.coordinators(now, service.as_str());
            to.extend(all.into_iter().take(COORDINATORS));
        }
        to.sort_unstable();
        to.dedup();
        let report = Slots {
            vm: report.vm,
            start: report.start,
            number: report.number,
            progress: report.progress,
            usage: usage.collect(),
        };
        Some((report, to))
    }
}

/// The services that have a brittle endpoint, and the rejections a second that each endpoint bears for which it stated
/// nothing itself.
pub type BrittleServices = BTreeMap<ServiceName, f64>;
