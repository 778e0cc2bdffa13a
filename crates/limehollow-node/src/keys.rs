//! Which requests may go on by their caller's key, and for how long this VM's keys count.
//!
//! Keys count while the configuration is known to have been the newest so short a time ago ([`limehollow::confirmation`]).
//! The VM that reads for its zone knows it by its reads; the others ask it, or any other VM, once in a while, and read the
//! store themselves if none can say.

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

/// How long an answer of another VM is waited for: the way through a zone and back takes a ms, a VM that works slowly some
/// dozens.
const ANSWER_WITHIN: Duration = Duration::from_millis(150);
/// How many VMs are asked in a row, as long as the configuration isn't known to be fresh.
const ASKED_IN_A_ROW: usize = 3;
/// The pause between questions while keys don't count: callers are refused meanwhile.
const PAUSE_WHILE_REFUSING: Duration = Duration::from_millis(200);
/// The pause while no bound is set, or no configuration needs keys.
const IDLE: Duration = Duration::from_secs(1);

/// What lets a request with a key go on.
#[derive(Clone, Debug)]
pub struct Authorization {
    pub(crate) workspace: SmolStr,
    pub(crate) rank: Option<u8>,
    key: KeyDigest,
}

/// Why a request may not go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KeyError {
    /// It has no key, or one that no workspace has.
    Unknown,
    /// Whether its key counts can't be told now.
    Unconfirmed,
}

/// Lets a request go on by its key; gives no pass where it needs none.
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
        // Another VM has read further: the key may be a new one.
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

/// Tells whether a pass still holds: its key counts, and is the same workspace's. Between a request's arrival and its sending
/// lie a wait for a place and a new connection.
pub(crate) fn is_valid<P>(site: &Site<P>, p: &Authorization) -> bool
where
    P: Protocol,
{
    let catalog = site.catalog.load();
    let found = catalog.as_ref().and_then(|c| c.workspaces.find(&p.key));
    site.keys_are_valid() && found.is_some_and(|w| w.name == p.workspace)
}

/// Says how fresh this VM's configuration is, to another VM.
pub(crate) fn confirmation<P>(site: &Site<P>) -> Reply
where
    P: Protocol,
{
    let view = site.view();
    let age = view.confirmation.age(site.now());
    // Rounded up, so that nobody takes it for fresher than it is.
    let ms = |d: Duration| u32::try_from(d.as_millis() + 1).unwrap_or(u32::MAX);
    Reply::Configuration {
        position: view.positions.configuration,
        confirmed_ms: age.map(ms),
        vms_known: u16::try_from(view.quotas.vms()).unwrap_or(u16::MAX),
    }
}

/// Keeps the configuration confirmed for as long as the process lives.
pub async fn confirm<P>(site: Arc<Site<P>>)
where
    P: Protocol,
{
    loop {
        let Some(bound) = site.settings.load().key_bound() else {
            sleep(IDLE).await;
            continue;
        };
        for i in 0..ASKED_IN_A_ROW {
            if is_fresh(&site, bound.ask_every()) {
                break;
            }
            let Some(to) = whom_to_ask(&site, i) else {
                break;
            };
            ask(&site, to).await;
        }
        let pause = if site.keys_are_valid() {
            bound.ask_every()
        } else {
            PAUSE_WHILE_REFUSING.min(bound.ask_every())
        };
        // At random, so that not all VMs ask the same one at once.
        sleep(pause.mul_f64(0.8 + 0.2 * rand::random::<f64>())).await;
    }
}

/// Tells whether the configuration was known to be the newest not much longer ago than between two questions.
fn is_fresh<P>(site: &Site<P>, step: Duration) -> bool
where
    P: Protocol,
{
    let age = site.view().confirmation.age(site.now());
    age.is_some_and(|a| a < step.mul_f64(1.5))
}

/// Gives the VM that reads for the zone first, then the one of the whole site that is heard to have read last, then others at
/// random.
///
/// Where one VM of a site reaches the store, few others have its word at any moment: drawn at random they are missed.
fn whom_to_ask<P>(site: &Site<P>, asked: usize) -> Option<SocketAddr>
where
    P: Protocol,
{
    let view = site.view();
    let here = view.peers.zone_reader(site.now());
    let last = view.confirmation.reader().map(|(vm, _)| vm);
    let last = last.filter(|vm| here != Some(vm));
    let mut named = here.into_iter().chain(last);
    match named.nth(asked) {
        Some(name) => view.peers.address(name),
        None => view.peers.nth_address(rand::random::<u32>() as usize),
    }
}

async fn ask<P>(site: &Site<P>, to: SocketAddr)
where
    P: Protocol,
{
    let asked = site.now();
    let reply = site
        .queries
        .ask(&site.clock, to, QueryBody::Configuration, ANSWER_WITHIN)
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
    let mine = view.positions.configuration;
    let at = confirmed_ms.and_then(|ms| confirmed_at(asked, ms));
    if let Some(at) = at.filter(|_| !mine.is_start() && mine.covers(position)) {
        view.confirmation.confirm(at);
    }
}

/// Gives the moment at which another VM's configuration was the newest, counted back from the question.
fn confirmed_at(asked: Instant, ms: u32) -> Option<Instant> {
    asked.checked_sub(Duration::from_millis(u64::from(ms)))
}
