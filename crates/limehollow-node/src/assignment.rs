//! Which endpoint a request goes to: as the VM says that keeps its model's places, or by this VM's own knowledge.
//!
//! Each VM hears a quarter of a second late what the others have at the endpoints, and in that time an endpoint reads several
//! prompts. So one VM of the site keeps the places of a model's endpoints and says where each request goes; it knows at once what
//! it has promised. What VMs say for this grows with requests, not with the square of VMs. While the keeper is silent, or what
//! it says doesn't fit what this VM knows, this VM chooses by itself.
//!
//! Without it the emptiest endpoint gets every VM's next request at once, and its streams pause while it reads the prompts
//! (`docs/design/shifted-work.md`).

use crate::edge::Protocol;
use crate::settings::ChoicePolicy;
use crate::site::Site;
use crate::site_view::SiteView;
use crate::unresponsive::QueryKind;
use limehollow::balance::{Bounds, Choice};
use limehollow::catalog::Catalog;
use limehollow::id::EndpointKey;
use limehollow::instance::Instance;
use limehollow::job::Job;
use limehollow::roster::Endpoint;
use limehollow_wire::gossip::{Assignment, QueryBody, Reply};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// How long the keeper of places is waited for: many times an answer's way, and a part of the shortest objective that isn't missed.
const KEEPER_WITHIN: Duration = Duration::from_millis(25);
/// For how long a keeper that was silent isn't asked again.
const SILENT_FOR: Duration = Duration::from_millis(100);
/// How many endpoints are named in a question at most.
const MOST_NAMED: usize = 64;
/// The part of the longest pause that an endpoint may spend reading prompts: its streams wait meanwhile,
/// and prompts that are sent by other gateways at the same moment come on top.
const READING_SHARE: f64 = 0.5;

/// Chooses the endpoint for a job, other than those that were tried already.
pub(crate) async fn choose<P>(
    site: &Site<P>,
    catalog: &Catalog,
    job: &Job,
    tried: &[EndpointKey],
) -> Choice
where
    P: Protocol,
{
    match chooser(site, job) {
        Chooser::Coordinator => return promise(site, catalog, job, tried),
        Chooser::Other(coordinator) => {
            if let Some(choice) = ask(site, coordinator, job, tried).await {
                return choice;
            }
        }
        Chooser::Alone => {}
    }
    choose_here(site.now(), &site.view(), catalog, job, tried)
}

/// Looks where a job could go by what this VM knows, without a choice.
pub(crate) fn look<P>(site: &Site<P>, catalog: &Catalog, job: &Job) -> Choice
where
    P: Protocol,
{
    choose_here(site.now(), &site.view(), catalog, job, &[])
}

/// Chooses by what this VM knows.
fn choose_here(
    now: Instant,
    view: &SiteView,
    catalog: &Catalog,
    job: &Job,
    tried: &[EndpointKey],
) -> Choice {
    let bounds = bounds(catalog, job);
    view.balance.choose(now, &view.roster, bounds, job, tried)
}

/// Who says where a request goes.
enum Chooser {
    /// This VM, for all.
    Coordinator,
    /// The VM that listens there.
    Other(SocketAddr),
    /// This VM, for its own requests only.
    Alone,
}

fn chooser<P>(site: &Site<P>, job: &Job) -> Chooser
where
    P: Protocol,
{
    // A request that may crash its endpoint goes where it does least harm, by what this VM knows. Without a model no
    // prompt is read, and what VMs say of the requests they hold is enough.
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

async fn ask<P>(site: &Site<P>, to: SocketAddr, job: &Job, tried: &[EndpointKey]) -> Option<Choice>
where
    P: Protocol,
{
    let tried = unusable(site, job, tried)?;
    let body = QueryBody::Assignment {
        job: job.clone(),
        tried,
    };
    let reply = site.queries.ask(&site.clock, to, body, KEEPER_WITHIN).await;
    let Some(Reply::Assignment(assignment)) = reply else {
        let now = site.now();
        let mut view = site.view();
        view.unresponsive
            .note(now, QueryKind::Assignment, to, SILENT_FOR);
        return None;
    };
    match assignment {
        Assignment::Endpoint(instance, expected_ms) => {
            let view = site.view();
            let key = view.roster.find(&instance)?;
            let is_usable = |e: &&Endpoint| view.roster.takes_work(key) && job.may_run_in(&e.zone);
            let e = view.roster.get(key).filter(is_usable)?;
            let now = site.now();
            let is_closed = view.balance.backpressure.opens_in(now, key).is_some();
            let takes = view.balance.accepts(now, key, e) && !is_closed;
            takes.then_some(Choice::To(key, f64::from(expected_ms)))
        }
        Assignment::Overloaded(expected_ms) => Some(Choice::Overloaded(f64::from(expected_ms))),
        // What the keeper doesn't know of, this VM may.
        Assignment::NoEndpoint => None,
    }
}

/// Gives the endpoints that a job can't go to: those that were tried, and those that want nothing of this VM, which the VM that
/// is asked can't know. Gives none if they are too many for a question.
fn unusable<P>(site: &Site<P>, job: &Job, tried: &[EndpointKey]) -> Option<Vec<Instance>>
where
    P: Protocol,
{
    let view = site.view();
    let tried = tried.iter().filter_map(|k| view.roster.get(*k));
    let closed = view.balance.backpressure.closed(site.now());
    let closed = closed.filter_map(|k| view.roster.get(k));
    let closed = closed.filter(|e| e.service == job.service);
    let all: Vec<Instance> = tried.chain(closed).map(|e| e.instance.clone()).collect();
    (all.len() <= MOST_NAMED).then_some(all)
}

/// Chooses an endpoint for a job, of which the VM that keeps its places knows from now on.
fn promise<P>(site: &Site<P>, catalog: &Catalog, job: &Job, tried: &[EndpointKey]) -> Choice
where
    P: Protocol,
{
    let now = site.now();
    let mut view = site.view();
    let choice = choose_here(now, &view, catalog, job, tried);
    if let Choice::To(key, _) = choice {
        view.balance.record_assignment(now, key, job);
    }
    choice
}

/// Says to another VM where a job of its goes.
pub(crate) fn answer<P>(site: &Site<P>, job: &Job, tried: &[Instance]) -> Reply
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
    #[expect(clippy::cast_possible_truncation, reason = "rounding is harmless")]
    let assignment = match promise(site, &catalog, job, &tried) {
        Choice::To(key, expected_ms) => {
            let view = site.view();
            let e = view.roster.get(key);
            e.map_or(Assignment::NoEndpoint, |e| {
                Assignment::Endpoint(e.instance.clone(), expected_ms as f32)
            })
        }
        Choice::Overloaded(expected_ms) => Assignment::Overloaded(expected_ms as f32),
        // What rests for this VM may not for the one that asks.
        Choice::BackingOff(_) | Choice::NoEndpoint | Choice::NoModel | Choice::NoAdapter => {
            Assignment::NoEndpoint
        }
    };
    Reply::Assignment(assignment)
}

fn bounds(catalog: &Catalog, job: &Job) -> Bounds {
    let service = &job.service;
    let pause = catalog.shortest_pause(service);
    Bounds {
        kv_tokens: catalog.engine(service).map(|e| e.kv_tokens),
        reading_ms: pause.map_or(f64::INFINITY, |p| p.as_secs_f64() * 1000.0 * READING_SHARE),
    }
}
