//! Keeps track of whether this VM reaches endpoints at all, and probes them while it doubts it.

use crate::edge::Protocol;
use crate::pool::{ConnectError, Connection, Pool};
use crate::relay::millis;
use crate::site::Site;
use limehollow::id::{EndpointKey, ZoneName};
use limehollow::own_reach::Listed;
use limehollow::roster::Roster;
use rand::seq::SliceRandom;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// The pause between two rounds of probes while no endpoint is reached; it is jittered by half, so that VMs that were cut
/// off together don't probe together.
const PROBE_EVERY: Duration = Duration::from_millis(250);
/// How long a VM has to be cut off until it holds no failure to reach them against endpoints: longer than two rounds of
/// probes. If one is reached sooner, the others may well be at fault.
const BLAMELESS_AFTER: Duration = Duration::from_millis(600);
/// The number of endpoints that are probed at once while none is reached, each in another zone as far as possible.
const PROBES: usize = 3;

/// An endpoint to probe.
type Probed = (EndpointKey, SocketAddr);

/// Opens a connection to an endpoint, and records whether this VM reaches endpoints.
///
/// # Errors
///
/// Returns a [`ConnectError`] if the connection can't be opened.
pub(crate) async fn open<P>(
    site: &Arc<Site<P>>,
    pool: &Pool,
    key: EndpointKey,
    address: SocketAddr,
) -> Result<Connection, ConnectError>
where
    P: Protocol,
{
    let bounds = site.settings.load().answer_bounds();
    let opened = pool.open(key, address, bounds).await;
    site.metrics.connections_opened.inc();
    match &opened {
        Ok(_) => record_success(site),
        Err(e) => record_failure(site, key, e),
    }
    opened
}

fn record_success<P>(site: &Site<P>)
where
    P: Protocol,
{
    let now = site.now();
    let mut view = site.view();
    let Some(lasted) = view.own_reach.record_success(now) else {
        return;
    };
    if lasted >= BLAMELESS_AFTER {
        view.balance.forget_unreached();
    }
    drop(view);
    site.metrics.reaches_endpoints.set(1);
    tracing::info!(lasted_ms = millis(lasted), "endpoints are in reach again");
    site.urgent_update.notify_one();
}

fn record_failure<P>(site: &Arc<Site<P>>, key: EndpointKey, e: &ConnectError)
where
    P: Protocol,
{
    let now = site.now();
    let mut view = site.view();
    let Some(zone) = view.roster.get(key).map(|e| e.zone.clone()) else {
        return;
    };
    let listed = listed(&view.roster);
    if view.own_reach.record_failure(now, key, &zone, listed) {
        drop(view);
        site.metrics.reaches_endpoints.set(0);
        tracing::warn!(last = %e, "no endpoint is in reach of this VM");
        site.urgent_update.notify_one();
        tokio::spawn(probe_until_reached(Arc::clone(site)));
    } else if view.own_reach.begin_probes(now) {
        drop(view);
        tokio::spawn(probe(Arc::clone(site), listed.failures_needed()));
    }
}

/// Counts the endpoints that accept work, and their zones.
fn listed(roster: &Roster) -> Listed {
    let open = roster.iter().filter(|(k, _)| roster.takes_work(*k));
    let zones: Vec<&ZoneName> = open.map(|(_, e)| &e.zone).collect();
    Listed {
        endpoints: zones.len(),
        zones: zones.into_iter().collect::<BTreeSet<_>>().len(),
    }
}

async fn probe_until_reached<P>(site: Arc<Site<P>>)
where
    P: Protocol,
{
    while site.view().own_reach.is_cut() {
        sleep(PROBE_EVERY.mul_f64(rand::random_range(0.5..1.5))).await;
        probe(Arc::clone(&site), PROBES).await;
    }
}

/// Opens connections to this number of endpoints, and keeps those that are established for requests.
async fn probe<P>(site: Arc<Site<P>>, endpoints: usize)
where
    P: Protocol,
{
    let mut probes = JoinSet::new();
    for (key, address) in endpoints_to_probe(&site, None, endpoints) {
        let site = Arc::clone(&site);
        probes.spawn(async move {
            if let Ok(c) = open(&site, &site.pool, key, address).await {
                site.pool.put_in_background(c, None);
            }
        });
    }
    while probes.join_next().await.is_some() {}
}

/// Returns `true` if another endpoint than this one can be reached, so that what this one does is its own doing. Returns
/// `true` as well if there is no other.
pub(crate) async fn is_sound<P>(site: &Arc<Site<P>>, except: EndpointKey) -> bool
where
    P: Protocol,
{
    let others = endpoints_to_probe(site, Some(except), PROBES);
    for (key, address) in &others {
        if let Ok(c) = open(site, &site.pool, *key, *address).await {
            site.pool.put_in_background(c, None);
            return true;
        }
    }
    others.is_empty()
}

/// Returns some endpoints to probe, drawn at random: each in another zone as far as possible, and preferably some that
/// haven't failed.
fn endpoints_to_probe<P>(site: &Site<P>, except: Option<EndpointKey>, most: usize) -> Vec<Probed>
where
    P: Protocol,
{
    let view = site.view();
    let open = view
        .roster
        .iter()
        .filter(|(k, _)| view.roster.takes_work(*k));
    let mut all: Vec<_> = open.filter(|(k, _)| Some(*k) != except).collect();
    all.shuffle(&mut rand::rng());
    all.sort_by_key(|(k, _)| view.own_reach.has_failed(*k));
    let mut zones = BTreeSet::new();
    let (first, more): (Vec<_>, Vec<_>) = all.into_iter().partition(|(_, e)| zones.insert(&e.zone));
    let chosen = first.into_iter().chain(more).take(most);
    chosen.map(|(k, e)| (k, e.address)).collect()
}
