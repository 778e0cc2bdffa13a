//! Takes tokens of the limits of workspaces and endpoints for requests, and collects what VMs have earned of them.
//!
//! What holds is [`limehollow::quota`]; this asks the VM that keeps a limit's pool. Which VM that is each reckons for
//! itself: the leader of the first zone, in an order by the name of the workspace or the id of the endpoint, that is heard.

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

/// How long the keeper of a pool is waited for. Its answer takes a ms or two, and a tenth of a second where one of the two VMs has
/// used up its part of a processor.
/// A datagram may be lost too, so it is asked once more.
const KEEPER_WITHIN: Duration = Duration::from_millis(120);
/// How long it is waited for where an endpoint's limit is asked for: a request has others to go to, or is refused at once.
const ENDPOINT_TOKENS_WITHIN: Duration = Duration::from_millis(40);
const ASKED_AGAIN: usize = 1;
/// For how long a keeper that was silent twice isn't asked again: another takes over in a second.
const SILENT_FOR: Duration = Duration::from_millis(300);
/// How long answers to a collection are waited for; less than tokens may be on their way.
const COLLECT_WITHIN: Duration = Duration::from_millis(200);
/// How many keepers a request asks at most.
const MOST_ASKED: usize = 2;
/// When to come back where no keeper answers: another has taken over then.
pub(crate) const COORDINATOR_TAKEOVER: Duration = Duration::from_millis(1000);

/// What became of a request's wish for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TokenOutcome {
    /// It has them, or there is no limit.
    Granted,
    /// The limit is reached; when there is room.
    OverLimit(Duration),
    /// No VM that keeps the pool has answered.
    Unanswered,
}

/// Takes tokens of a limit for a request.
pub(crate) async fn acquire<P>(site: &Site<P>, subject: &Subject, tokens: f64) -> TokenOutcome
where
    P: Protocol,
{
    if site.view().quotas.acquire(site.now(), subject, tokens) {
        return TokenOutcome::Granted;
    }
    for coordinator in keepers(site, subject) {
        let reply = match coordinator {
            Some(address) => ask_keeper(site, address, subject, tokens).await,
            None => Some(grant(site, subject, tokens)),
        };
        match reply {
            Some(Reply::Granted) => return TokenOutcome::Granted,
            Some(Reply::Short(ms)) => {
                return TokenOutcome::OverLimit(Duration::from_millis(u64::from(ms)));
            }
            Some(_other) => {
                tracing::debug!(?subject, keeper = ?coordinator, "it doesn't keep the pool");
            }
            None => {
                tracing::debug!(?subject, keeper = ?coordinator, "the keeper of a pool is silent");
            }
        }
    }
    TokenOutcome::Unanswered
}

/// Gives what a keeper is asked for, and how long it is waited for.
fn kind(subject: &Subject) -> (QueryKind, Duration) {
    match subject {
        Subject::Workspace(_) => (QueryKind::WorkspaceTokens, KEEPER_WITHIN),
        Subject::Endpoint(_) => (QueryKind::EndpointTokens, ENDPOINT_TOKENS_WITHIN),
    }
}

/// Gives the VMs to ask for tokens of a limit, the one first that should keep its pool; none stands for this VM.
fn keepers<P>(site: &Site<P>, subject: &Subject) -> Vec<Option<SocketAddr>>
where
    P: Protocol,
{
    let now = site.now();
    let view = site.view();
    let (kind, _) = kind(subject);
    let silent = |a: &SocketAddr| view.unresponsive.contains(now, kind, *a);
    let all = view.peers.coordinators(now, subject.name()).into_iter();
    let speaking = all.filter(|k| !k.as_ref().is_some_and(silent));
    speaking.take(MOST_ASKED).collect()
}

/// Asks the keeper of a pool, and once more if it is silent: a datagram may be lost. What it granted in an answer that is lost is
/// lost too.
async fn ask_keeper<P>(
    site: &Site<P>,
    to: SocketAddr,
    subject: &Subject,
    tokens: f64,
) -> Option<Reply>
where
    P: Protocol,
{
    let (kind, within) = kind(subject);
    for _ in 0..=ASKED_AGAIN {
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
    site.view().unresponsive.note(now, kind, to, SILENT_FOR);
    None
}

/// Grants another VM tokens of a pool.
pub(crate) fn grant<P>(site: &Site<P>, subject: &Subject, tokens: f64) -> Reply
where
    P: Protocol,
{
    let mut view = site.view();
    if !view.quotas.is_limited(subject) {
        // The limit is new, and this VM hasn't heard of it, or it has ended and the one that asks hasn't.
        return Reply::Short(millis(COORDINATOR_TAKEOVER));
    }
    let now = site.now();
    if !is_keeper(&view.peers, now, subject) {
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

/// Hands over to the keeper of some pools what this VM has earned.
pub(crate) fn hand_over<P>(
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
    let handed = subjects
        .iter()
        .map(|s| view.quotas.transfer(now, s, coordinator));
    Reply::Earnings(handed.collect())
}

/// Collects what VMs have earned, where this one keeps a pool, for as long as the process lives.
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
        let mut asking = JoinSet::new();
        for to in others {
            asking.spawn(collect(Arc::clone(&site), to, Arc::clone(&subjects)));
        }
        while asking.join_next().await.is_some() {}
    }
}

/// Tells whether this VM keeps a limit's pool, as far as it knows.
fn is_keeper(peers: &Peers, now: Instant, subject: &Subject) -> bool {
    matches!(peers.coordinators(now, subject.name()).first(), Some(None))
}

/// Begins a round of collections: gives the limits whose pools this VM keeps, and the VMs to collect from.
fn begin_round<P>(site: &Site<P>) -> (Arc<[Subject]>, Vec<SocketAddr>)
where
    P: Protocol,
{
    let now = site.now();
    let mut view = site.view();
    let view = &mut *view;
    view.quotas.begin_round(now);
    let all = view.quotas.subjects();
    let is_mine = |s: &&Subject| is_keeper(&view.peers, now, s);
    let mine: Arc<[Subject]> = all.filter(is_mine).cloned().collect();
    let own_vm = SmolStr::new(site.own_vm.as_str());
    for s in mine.iter() {
        if let Some(tokens) = view.quotas.transfer(now, s, &own_vm) {
            view.quotas.credit(now, s, tokens);
        }
    }
    let others = if mine.is_empty() {
        Vec::new()
    } else {
        view.peers.addresses()
    };
    (mine, others)
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
        .ask(&site.clock, from, body, COLLECT_WITHIN)
        .await;
    let Some(Reply::Earnings(handed)) = reply else {
        return;
    };
    let now = site.now();
    let mut view = site.view();
    for (s, tokens) in subjects.iter().zip(handed) {
        if let Some(tokens) = tokens {
            view.quotas.credit(now, s, tokens);
        }
    }
}
