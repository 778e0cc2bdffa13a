//! How a VM that starts fetches the site's state, when all other VMs may be starting as well.
//!
//! The VMs that the settings name as seeds read the platform's store. Each other VM asks a seed for its
//! parent, the VM from which it gets the state ([`limehollow::start_tree`]), and fetches the state there.
//! The seed makes the new VM known to the others, and writes all VMs that asked it into the store with one
//! call. So the number of store calls at a start doesn't grow with the number of VMs. If no seed answers,
//! the VM reads the store itself, after a random delay.

use crate::edge::{Feed, PeerStates, Protocol, Store, StoreError, Vm};
use crate::follower::{Follower, PeerState};
use crate::settings::NodeSettings;
use crate::site::Site;
use limehollow::id::ZoneName;
use limehollow::log_position::LogPosition;
use limehollow::start_tree::Parent;
use limehollow_wire::gossip::{Introduction, Member, Members, QueryBody, Reply, State};
use rand::seq::SliceRandom;
use smol_str::{SmolStr, format_smolstr};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long to wait for a seed's answer that names the parent: all VMs may ask at once.
const ANSWER_WITHIN: Duration = Duration::from_millis(250);
/// The first pause after all seeds were silent; it doubles each time.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
/// How often a parent that doesn't have the state yet is asked for it.
const POLL_EVERY: Duration = Duration::from_millis(150);
/// How long to wait for a parent that doesn't have the state yet: it may wait for its own parent.
const PARENT_WITHIN: Duration = Duration::from_millis(2500);
/// How many rounds in which all seeds are silent pass before the store is read: the seeds may be starting
/// as well.
const SILENT_ROUNDS: u32 = 2;
/// How long a VM waits for seeds that answer but have no state yet before it reads the store.
const START_WITHIN: Duration = Duration::from_secs(6);
/// The time over which VMs that couldn't get the state from another VM spread their first read of the
/// store.
const READ_SPREAD: Duration = Duration::from_secs(2);
/// How long VMs that asked for a parent are collected before they are written into the store together.
const COLLECT_TIME: Duration = Duration::from_millis(250);
/// The first pause after VMs couldn't be written into the store. It doubles up to the longest pause.
const WRITE_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// How long a VM that the store doesn't list waits before it announces itself. The time doubles up to the
/// longest pause.
const ANNOUNCE_AFTER: Duration = Duration::from_secs(8);
const LONGEST_ANNOUNCE_PAUSE: Duration = Duration::from_secs(60);

/// Fetches the site's state. Until then this VM doesn't apply for the lease, as it doesn't know who may
/// hold it.
pub async fn start<P, T>(site: &Arc<Site<P>>, states: &T)
where
    P: Protocol,
    T: PeerStates,
{
    site.view().is_starting = true;
    get_state(site, states).await;
    let now = site.now();
    let mut view = site.view();
    view.is_starting = false;
    if view.candidacy.recent_notice(now).is_none() {
        view.candidacy.restart(now);
    }
}

/// Fetches the site's state from another VM, if one has it. Otherwise the followers read the store
/// afterwards.
async fn get_state<P, T>(site: &Arc<Site<P>>, states: &T)
where
    P: Protocol,
    T: PeerStates,
{
    let began = site.now();
    let mut seeds = seed_addresses(&site.settings.load());
    if seeds.is_empty() || is_seed(&site.settings.load()) {
        return;
    }
    seeds.shuffle(&mut rand::rng());
    let mut pause = FIRST_PAUSE;
    let mut silent = 0;
    while silent < SILENT_ROUNDS && site.now() < began + START_WITHIN {
        silent += 1;
        for seed in &seeds {
            match fetch_from_parent(site, states, *seed).await {
                StateOutcome::Fetched => {
                    let took_ms = site.now().saturating_duration_since(began).as_millis();
                    tracing::info!(took_ms, "the site's state is there");
                    return;
                }
                StateOutcome::NotYet => silent = 0,
                StateOutcome::Silent => {}
            }
        }
        sleep(jittered(pause)).await;
        pause *= 2;
    }
    tracing::warn!("no seed handed over its state; reading the store");
    sleep(READ_SPREAD.mul_f64(rand::random())).await;
}

/// Returns the addresses for datagrams of the seeds that the settings name, without this VM.
pub(crate) fn seed_addresses(settings: &NodeSettings) -> Vec<SocketAddr> {
    let others = all_seeds(settings).filter(|ip| *ip != settings.ip);
    others
        .map(|ip| SocketAddr::new(ip, settings.peer_port))
        .collect()
}

fn is_seed(settings: &NodeSettings) -> bool {
    all_seeds(settings).any(|ip| ip == settings.ip)
}

fn all_seeds(settings: &NodeSettings) -> impl Iterator<Item = IpAddr> {
    let addresses = settings.seeds.iter();
    addresses.filter_map(|s| Some(s.parse::<SocketAddr>().ok()?.ip()))
}

/// Returns a random time around `pause`, so that VMs that failed together don't retry together.
pub(crate) fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::random_range(0.5..1.5))
}

/// The outcome of asking a seed for the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StateOutcome {
    /// The state was fetched.
    Fetched,
    /// The seed answers, but the state couldn't be fetched yet.
    NotYet,
    /// The seed doesn't answer.
    Silent,
}

/// Asks a VM for the parent of this VM, and fetches the state from the parent.
async fn fetch_from_parent<P, T>(site: &Arc<Site<P>>, states: &T, vm: SocketAddr) -> StateOutcome
where
    P: Protocol,
    T: PeerStates,
{
    let body = QueryBody::Start(introduction(&own_vm(site)));
    let reply = site.queries.ask(&site.clock, vm, body, ANSWER_WITHIN);
    let Some(Reply::Parent(parent)) = reply.await else {
        return StateOutcome::Silent;
    };
    let parent = parent.unwrap_or(vm);
    let Some(state) = wait_for_state(site, states, parent).await else {
        return StateOutcome::NotYet;
    };
    apply_state(site, states, parent, &state);
    StateOutcome::Fetched
}

/// Fetches the state of a VM that has read the list further, or of a VM that got the state from it, as at a
/// start: all VMs of the zone may miss the same changes at once. Returns `true` if the list is further than
/// before.
pub(crate) async fn catch_up<P, T>(site: &Arc<Site<P>>, states: &T) -> bool
where
    P: Protocol,
    T: PeerStates,
{
    let ahead = {
        let view = site.view();
        let vm = view.furthest_in_list();
        vm.and_then(|vm| view.peers.address(vm))
    };
    match ahead {
        Some(vm) => {
            let before = site.positions().endpoints;
            fetch_from_parent(site, states, vm).await == StateOutcome::Fetched
                && site.positions().endpoints > before
        }
        None => false,
    }
}

/// Polls a VM until it has the state and hands it over. Returns `None` if the VM is gone, or doesn't get
/// the state in time.
async fn wait_for_state<P, T>(site: &Site<P>, states: &T, parent: SocketAddr) -> Option<State>
where
    P: Protocol,
    T: PeerStates,
{
    let (until, beyond) = (site.now() + PARENT_WITHIN, site.positions().endpoints);
    loop {
        match states.fetch_start(parent, beyond).await {
            Ok(Some(state)) => return Some(state),
            Ok(None) if site.now() < until => sleep(jittered(POLL_EVERY)).await,
            Ok(None) => return None,
            Err(why) => {
                tracing::debug!(giver = %parent, why, "no state from another VM");
                return None;
            }
        }
    }
}

fn apply_state<P, T>(site: &Arc<Site<P>>, states: &T, parent: SocketAddr, state: &State)
where
    P: Protocol,
    T: PeerStates,
{
    add_members(site, &state.members);
    site.view().has_peer_state = true;
    for feed in [Feed::Configuration, Feed::Endpoints] {
        let mut f = Follower::new(Arc::clone(site), states.clone(), feed);
        let vm = format_smolstr!("{parent}");
        f.apply_state(PeerState {
            vm,
            state: state.clone(),
        });
    }
}

/// Adds the VMs that another VM knows.
pub(crate) fn add_members<P>(site: &Site<P>, members: &Members)
where
    P: Protocol,
{
    let now = site.now();
    let mut view = site.view();
    for m in &members.vms {
        let Some(vm) = vm(&m.vm) else {
            continue;
        };
        view.add_vm(&vm);
        if m.is_listed {
            view.record_listed(vm);
        }
    }
    view.has_vms |= members.has_all;
    view.update_vm_count(now, 0);
}

/// Returns the VMs that this VM knows, including itself.
pub(crate) fn members<P>(site: &Site<P>) -> Members
where
    P: Protocol,
{
    let own_vm = own_vm(site);
    let view = site.view();
    let others = view
        .peers
        .vms()
        .map(|(name, zone, address, millicores)| Vm {
            name: name.clone(),
            zone: zone.clone(),
            address,
            millicores,
        });
    let vms = others.chain([own_vm]).map(|vm| Member {
        is_listed: view.listed.get(&vm.name) == Some(&vm),
        vm: introduction(&vm),
    });
    Members {
        vms: vms.collect(),
        has_all: view.has_vms,
    }
}

fn introduction(vm: &Vm) -> Introduction {
    Introduction {
        name: vm.name.clone(),
        zone: SmolStr::new(vm.zone.as_str()),
        address: format_smolstr!("{}", vm.address),
        millicores: vm.millicores,
    }
}

fn vm(said: &Introduction) -> Option<Vm> {
    Some(Vm {
        name: said.name.clone(),
        zone: ZoneName::from(said.zone.as_str()),
        address: said.address.parse().ok()?,
        millicores: said.millicores,
    })
}

/// Assigns a parent to a VM that starts, and remembers the VM as a possible parent of later ones.
pub(crate) fn assign_parent<P>(site: &Site<P>, said: &Introduction) -> Reply
where
    P: Protocol,
{
    let Some(vm) = vm(said) else {
        return Reply::Parent(None);
    };
    let now = site.now();
    let mut view = site.view();
    view.add_vm(&vm);
    let (who, position) = ((vm.address, vm.millicores), view.positions.endpoints);
    let parent = view.start_tree.assign_parent(now, &vm.zone, who, position);
    if view.listed.get(&vm.name) != Some(&vm) {
        view.unlisted.insert(vm.name.clone(), vm);
        site.vm_unlisted.notify_one();
    }
    Reply::Parent(match parent {
        Parent::AskedVm => None,
        Parent::Other(a) => Some(a),
    })
}

/// Returns `true` if this VM has what VMs need that have read the list up to a position: the full state if
/// they have read nothing yet.
pub(crate) fn has_all<P>(site: &Site<P>, beyond: LogPosition) -> bool
where
    P: Protocol,
{
    let view = site.view();
    let p = view.positions;
    let has_list = p.endpoints > beyond;
    let has_rest = view.has_vms && !p.configuration.is_start() && site.catalog.load().is_some();
    has_list && (!beyond.is_start() || has_rest)
}

/// Writes this VM, and those that asked it at their start, into the store, for as long as the process
/// lives.
///
/// Appends of all VMs are processed in order, so if each VM made its own, each would wait for all others.
/// An append that got no answer may still be carried out, so it is repeated at growing intervals.
pub async fn announce<P, S>(site: Arc<Site<P>>, store: S)
where
    P: Protocol,
    S: Store,
{
    let (mut pause, mut retry_pause) = (ANNOUNCE_AFTER, WRITE_RETRY_PAUSE);
    let mut own_due = site.now() + own_announce_delay(&site);
    loop {
        let due = (!site.view().is_listed).then_some(own_due);
        tokio::select! {
            () = site.vm_unlisted.notified() => sleep(COLLECT_TIME).await,
            () = until(&site, due) => {
                // Another VM may have announced this VM meanwhile.
                if site.view().is_listed {
                    continue;
                }
                let own_vm = own_vm(&site);
                site.view().unlisted.insert(own_vm.name.clone(), own_vm);
                own_due = site.now() + jittered(pause);
                pause = (pause * 2).min(LONGEST_ANNOUNCE_PAUSE);
            }
        }
        match write_unlisted(&site, &store).await {
            Ok(()) => retry_pause = WRITE_RETRY_PAUSE,
            Err(e) => {
                tracing::info!(error = %e, "failed to write VMs into the store; will retry");
                sleep(jittered(retry_pause)).await;
                retry_pause = (retry_pause * 2).min(LONGEST_ANNOUNCE_PAUSE);
                site.vm_unlisted.notify_one();
            }
        }
    }
}

/// Returns the time after which this VM announces itself if no other VM has done so: at once if it is a
/// seed, or if the settings name no seeds.
fn own_announce_delay<P>(site: &Site<P>) -> Duration {
    let settings = site.settings.load();
    if settings.seeds.is_empty() || is_seed(&settings) {
        Duration::ZERO
    } else {
        jittered(ANNOUNCE_AFTER)
    }
}

async fn until<P>(site: &Site<P>, due: Option<Instant>)
where
    P: Protocol,
{
    match due {
        Some(t) => site.clock.sleep_until(t).await,
        None => std::future::pending().await,
    }
}

fn own_vm<P>(site: &Site<P>) -> Vm {
    let settings = site.settings.load();
    Vm {
        name: SmolStr::new(site.own_vm.as_str()),
        zone: site.zone.clone(),
        address: settings.peer_address(),
        millicores: settings.millicores(),
    }
}

/// Writes the VMs into the store that it doesn't list yet.
async fn write_unlisted<P, S>(site: &Site<P>, store: &S) -> Result<(), StoreError>
where
    P: Protocol,
    S: Store,
{
    let vms: Vec<Vm> = site.view().unlisted.values().cloned().collect();
    if vms.is_empty() {
        return Ok(());
    }
    store.announce(&vms).await?;
    let mut view = site.view();
    for vm in vms {
        view.record_listed(vm);
    }
    Ok(())
}
