//! Authorizes requests by their key, and keeps this VM's configuration confirmed so that its keys stay valid.
//!
//! Keys are valid while the configuration is known to have been the newest within a bound
//! ([`limehollow::confirmation`]). The VM that reads the store for its zone knows this by its reads. The others query
//! it, or any other VM, from time to time, and read the store themselves if no VM can confirm the configuration.

use crate::edge::{Feed, Protocol, RequestMeta};
use crate::site::Site;
use limehollow::catalog::{Catalog, Rule};
use limehollow::workspace::{KeyDigest, Workspace};
use limehollow_wire::gossip::{QueryBody, Reply};
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The timeout of a query to another VM: a round trip within a zone takes a millisecond, and an answer of a slow VM
/// some dozens.
const QUERY_TIMEOUT: Duration = Duration::from_millis(150);
/// The maximum number of VMs that are queried in a row while the configuration isn't confirmed.
const MAX_QUERIES_IN_A_ROW: usize = 3;
/// The pause between queries while keys aren't valid: callers are refused meanwhile.
const PAUSE_WHILE_REFUSING: Duration = Duration::from_millis(200);
/// The pause while no bound is set.
const IDLE: Duration = Duration::from_secs(1);

/// The authorization of a request by its key.
#[derive(Clone, Debug)]
pub struct Authorization {
    pub(crate) workspace: SmolStr,
    pub(crate) rank: Option<u8>,
    key: KeyDigest,
}

/// Why a request isn't authorized.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KeyError {
    /// The request has no key, or one that belongs to no workspace.
    Unknown,
    /// The validity of the request's key can't be confirmed at present.
    Unconfirmed,
}

/// Authorizes a request by its key. Returns `None` if the rule needs no key.
pub(crate) fn authorize<P>(
    site: &Site<P>,
    catalog: &Catalog,
    rule: &Rule,
    meta: &RequestMeta,
) -> Result<Option<Authorization>, KeyError>
where
    P: Protocol,
{
    if !catalog.needs_key(rule) {
        return Ok(None);
    }
    if !site.keys_are_valid() {
        return Err(KeyError::Unconfirmed);
    }
    let found = meta.key.and_then(|key| {
        let w = catalog.workspaces.find(&key)?;
        Some(authorization(w, key))
    });
    match found {
        Some(p) => Ok(Some(p)),
        // Another VM has read a newer configuration, which may contain the key.
        None if site.view().is_behind(Feed::Configuration) => Err(KeyError::Unconfirmed),
        None => Err(KeyError::Unknown),
    }
}

fn authorization(w: &Workspace, key: KeyDigest) -> Authorization {
    Authorization {
        workspace: w.name.clone(),
        rank: w.rank,
        key,
    }
}

/// Returns `true` if an authorization is still valid: its key is valid and belongs to the same workspace. Between a
/// request's arrival and its send there may be a wait for an endpoint and for a new connection.
pub(crate) fn is_valid<P>(site: &Site<P>, p: &Authorization) -> bool
where
    P: Protocol,
{
    let catalog = site.catalog.load();
    let found = catalog.as_ref().and_then(|c| c.workspaces.find(&p.key));
    site.keys_are_valid() && found.is_some_and(|w| w.name == p.workspace)
}

/// Answers another VM's query for the age of this VM's configuration.
pub(crate) fn confirmation<P>(site: &Site<P>) -> Reply
where
    P: Protocol,
{
    let view = site.view();
    let age = view.confirmation.age(site.now());
    // Rounded up, so that the other VM doesn't take the configuration for fresher than it is.
    let ms = |d: Duration| u32::try_from(d.as_millis() + 1).unwrap_or(u32::MAX);
    Reply::Configuration {
        position: view.positions.configuration,
        confirmed_ms: age.map(ms),
        vms_known: u16::try_from(view.quotas.vms()).unwrap_or(u16::MAX),
    }
}

/// Keeps the configuration confirmed until the process ends.
pub async fn confirm<P>(site: Arc<Site<P>>)
where
    P: Protocol,
{
    loop {
        let Some(bound) = site.settings.load().key_bound() else {
            sleep(IDLE).await;
            continue;
        };
        for i in 0..MAX_QUERIES_IN_A_ROW {
            if is_fresh(&site, bound.ask_every()) {
                break;
            }
            let Some(to) = next_vm(&site, i) else {
                break;
            };
            query(&site, to).await;
        }
        let pause = if site.keys_are_valid() {
            bound.ask_every()
        } else {
            PAUSE_WHILE_REFUSING.min(bound.ask_every())
        };
        // Jitter, so that not all VMs query the same one at once.
        sleep(pause.mul_f64(0.8 + 0.2 * rand::random::<f64>())).await;
    }
}

/// Returns `true` if the last confirmation isn't much older than the interval between two queries.
fn is_fresh<P>(site: &Site<P>, interval: Duration) -> bool
where
    P: Protocol,
{
    let age = site.view().confirmation.age(site.now());
    age.is_some_and(|a| a < interval.mul_f64(1.5))
}

/// Returns the VM to query next: the one that reads the store for this zone, then the one of the whole site that is
/// known to have read last, then others at random.
///
/// If only one VM of a site reaches the store, few others have its confirmation at any moment, so a random choice alone
/// would miss them.
fn next_vm<P>(site: &Site<P>, queried: usize) -> Option<SocketAddr>
where
    P: Protocol,
{
    let view = site.view();
    let here = view.peers.zone_reader(site.now());
    let last = view.confirmation.reader().map(|(vm, _)| vm);
    let last = last.filter(|vm| here != Some(vm));
    let mut preferred = here.into_iter().chain(last);
    match preferred.nth(queried) {
        Some(name) => view.peers.address(name),
        None => view.peers.nth_address(rand::random::<u32>() as usize),
    }
}

async fn query<P>(site: &Site<P>, to: SocketAddr)
where
    P: Protocol,
{
    let asked = site.now();
    let reply = site
        .queries
        .ask(&site.clock, to, QueryBody::Configuration, QUERY_TIMEOUT)
        .await;
    let Some(Reply::Configuration {
        position,
        confirmed_ms,
        vms_known,
    }) = reply
    else {
        return;
    };
    let mut view = site.view();
    view.update_vm_count(site.now(), usize::from(vms_known));
    let own = view.positions.configuration;
    let at = confirmed_ms.and_then(|ms| confirmed_at(asked, ms));
    if let Some(at) = at.filter(|_| !own.is_start() && own.covers(position)) {
        view.confirmation.confirm(at);
    }
}

/// Returns the time at which another VM's configuration was the newest, counted back from the time of the query.
fn confirmed_at(asked: Instant, ms: u32) -> Option<Instant> {
    asked.checked_sub(Duration::from_millis(u64::from(ms)))
}
