//! Acquires tokens of the limits of workspaces and endpoints for requests, and collects the tokens that VMs have
//! earned.
//!
//! The rules are in [`limehollow::quota`]; this module queries the coordinator of a limit, which holds its pool of
//! tokens. Each VM determines the coordinator by itself: the zones are ordered by the name of the workspace or the id
//! of the endpoint, and the coordinator is the leader of the first zone from which messages arrive.

use crate::edge::Protocol;
use crate::site::Site;
use crate::unresponsive::QueryKind;
use limehollow::peers::Peers;
use limehollow::quota::{COLLECT_EVERY, Grant, Subject};
use limehollow_wire::gossip::{QueryBody, Reply};
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval};

/// The timeout of a query for a workspace's tokens. An answer takes a millisecond or two, and a tenth of a second if
/// one of the two VMs has used up its CPU share.
const WORKSPACE_TOKENS_TIMEOUT: Duration = Duration::from_millis(120);
/// The timeout of a query for an endpoint's tokens: the request can go to another endpoint, or is refused at once.
const ENDPOINT_TOKENS_TIMEOUT: Duration = Duration::from_millis(40);
/// How often a query is sent again if there is no answer, as a datagram may be lost.
const RESENDS: usize = 1;
/// How long a coordinator that didn't answer twice isn't queried again: another takes over within a second.
const UNRESPONSIVE_FOR: Duration = Duration::from_millis(300);
/// The timeout of a query for earned tokens; shorter than the time for which tokens may be in transit.
const COLLECT_TIMEOUT: Duration = Duration::from_millis(200);
/// The maximum number of coordinators that one request queries.
const MAX_COORDINATORS: usize = 2;
/// The retry delay if no coordinator answers: another one has taken over by then.
pub(crate) const COORDINATOR_TAKEOVER: Duration = Duration::from_millis(1000);

/// The outcome of a request for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TokenOutcome {
    /// The tokens are acquired, or there is no limit.
    Granted,
    /// The limit is reached; there are enough tokens again after this time.
    OverLimit(Duration),
    /// No coordinator has answered.
    Unanswered,
}

/// Acquires tokens of a limit for a request.
pub(crate) async fn acquire<P>(site: &Site<P>, subject: &Subject, tokens: f64) -> TokenOutcome
where
    P: Protocol,
{
    if site.view().quotas.acquire(site.now(), subject, tokens) {
        return TokenOutcome::Granted;
    }
    for coordinator in coordinators(site, subject) {
        let reply = match coordinator {
            Some(address) => query_coordinator(site, address, subject, tokens).await,
            None => Some(grant(site, subject, tokens)),
        };
        match reply {
            Some(Reply::Granted) => return TokenOutcome::Granted,
            Some(Reply::Short(ms)) => {
                return TokenOutcome::OverLimit(Duration::from_millis(u64::from(ms)));
            }
            Some(_other) => {
                tracing::debug!(?subject, keeper = ?coordinator, "the queried VM isn't the coordinator of the limit");
            }
            None => {
                tracing::debug!(?subject, keeper = ?coordinator, "the coordinator of a limit doesn't answer");
            }
        }
    }
    TokenOutcome::Unanswered
}

/// Returns the kind of a query for tokens, and its timeout.
fn kind_and_timeout(subject: &Subject) -> (QueryKind, Duration) {
    match subject {
        Subject::Workspace(_) => (QueryKind::WorkspaceTokens, WORKSPACE_TOKENS_TIMEOUT),
        Subject::Endpoint(_) => (QueryKind::EndpointTokens, ENDPOINT_TOKENS_TIMEOUT),
    }
}

/// Returns the VMs to query for tokens of a limit, the preferred coordinator first. `None` stands for this VM.
fn coordinators<P>(site: &Site<P>, subject: &Subject) -> Vec<Option<SocketAddr>>
where
    P: Protocol,
{
    let now = site.now();
    let view = site.view();
    let (kind, _) = kind_and_timeout(subject);
    let is_unresponsive = |a: &SocketAddr| view.unresponsive.contains(now, kind, *a);
    let all = view.peers.coordinators(now, subject.name()).into_iter();
    let responsive = all.filter(|k| !k.as_ref().is_some_and(is_unresponsive));
    responsive.take(MAX_COORDINATORS).collect()
}

/// Queries the coordinator of a limit, and once more if there is no answer: a datagram may be lost. Tokens granted in
/// an answer that is lost are lost too.
async fn query_coordinator<P>(
    site: &Site<P>,
    to: SocketAddr,
    subject: &Subject,
    tokens: f64,
) -> Option<Reply>
where
    P: Protocol,
{
    let (kind, within) = kind_and_timeout(subject);
    for _ in 0..=RESENDS {
        let body = QueryBody::Tokens {
            subject: subject.clone(),
            tokens,
        };
        let asked = site.queries.ask(&site.clock, to, body, within);
        if let Some(reply) = asked.await {
            return Some(reply);
        }
    }
    let now = site.now();
    site.view()
        .unresponsive
        .record(now, kind, to, UNRESPONSIVE_FOR);
    None
}

/// Answers another VM's query for tokens of a limit.
pub(crate) fn grant<P>(site: &Site<P>, subject: &Subject, tokens: f64) -> Reply
where
    P: Protocol,
{
    let mut view = site.view();
    if !view.quotas.is_limited(subject) {
        // The limit is new and this VM doesn't know it yet, or it has ended and the querying VM doesn't know that yet.
        return Reply::Short(millis(COORDINATOR_TAKEOVER));
    }
    let now = site.now();
    if !is_coordinator(&view.peers, now, subject) {
        let granted = view.quotas.acquire(now, subject, tokens);
        return if granted {
            Reply::Granted
        } else {
            Reply::NotCoordinator
        };
    }
    match view.quotas.grant(now, subject, tokens) {
        Grant::Granted => Reply::Granted,
        Grant::Short(wait) => Reply::Short(millis(wait)),
    }
}

fn millis(d: Duration) -> u32 {
    u32::try_from(d.as_millis()).unwrap_or(u32::MAX)
}

/// Transfers the tokens that this VM has earned to the coordinator of the limits.
pub(crate) fn transfer_earnings<P>(
    site: &Site<P>,
    coordinator: &SmolStr,
    vms_known: usize,
    subjects: &[Subject],
) -> Reply
where
    P: Protocol,
{
    let now = site.now();
    let mut view = site.view();
    view.update_vm_count(now, vms_known);
    let transferred = subjects
        .iter()
        .map(|s| view.quotas.transfer(now, s, coordinator));
    Reply::Earnings(transferred.collect())
}

/// Collects the tokens that VMs have earned of the limits that this VM coordinates, until the process ends.
pub async fn collect_earnings<P>(site: Arc<Site<P>>)
where
    P: Protocol,
{
    let mut ticks = interval(COLLECT_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let (subjects, others) = begin_round(&site);
        if subjects.is_empty() {
            continue;
        }
        let mut queries = JoinSet::new();
        for to in others {
            queries.spawn(collect(Arc::clone(&site), to, Arc::clone(&subjects)));
        }
        while queries.join_next().await.is_some() {}
    }
}

/// Returns `true` if this VM is the coordinator of a limit, as far as it knows.
fn is_coordinator(peers: &Peers, now: Instant, subject: &Subject) -> bool {
    peers.is_coordinator(now, subject.name())
}

/// Begins a round of collections. Returns the limits that this VM coordinates, and the VMs to collect from.
fn begin_round<P>(site: &Site<P>) -> (Arc<[Subject]>, Vec<SocketAddr>)
where
    P: Protocol,
{
    let now = site.now();
    let mut view = site.view();
    let view = &mut *view;
    view.quotas.begin_round(now);
    let all = view.quotas.subjects();
    let is_own = |s: &&Subject| is_coordinator(&view.peers, now, s);
    let own: Arc<[Subject]> = all.filter(is_own).cloned().collect();
    let own_vm = SmolStr::new(site.own_vm.as_str());
    for s in own.iter() {
        if let Some(tokens) = view.quotas.transfer(now, s, &own_vm) {
            view.quotas.credit(now, s, tokens);
        }
    }
    let others = if own.is_empty() {
        Vec::new()
    } else {
        view.peers.addresses()
    };
    (own, others)
}

async fn collect<P>(site: Arc<Site<P>>, from: SocketAddr, subjects: Arc<[Subject]>)
where
    P: Protocol,
{
    let body = QueryBody::Earnings {
        coordinator: SmolStr::new(site.own_vm.as_str()),
        vms_known: u16::try_from(site.view().quotas.vms()).unwrap_or(u16::MAX),
        subjects: subjects.to_vec(),
    };
    let reply = site
        .queries
        .ask(&site.clock, from, body, COLLECT_TIMEOUT)
        .await;
    let Some(Reply::Earnings(transferred)) = reply else {
        return;
    };
    let now = site.now();
    let mut view = site.view();
    for (s, tokens) in subjects.iter().zip(transferred) {
        if let Some(tokens) = tokens {
            view.quotas.credit(now, s, tokens);
        }
    }
}
