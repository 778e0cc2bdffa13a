//! How a VM that starts gets to know the site, when all others may be starting as well.
//!
//! The VMs that the settings name read the platform's store. Each other VM asks one of them from whom it gets the state
//! ([`limehollow::start_tree`]) and takes it from there; the one that was asked makes it known to the rest, and writes all that asked
//! it into the store with one call. So what the store is asked at a start doesn't grow with the VMs. Where none of the named VMs answers, the
//! VM reads the store itself, at a moment of its own.

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

/// How long an answer from whom to get the state is waited for: all VMs may ask at once.
const ANSWER_WITHIN: Duration = Duration::from_millis(250);
/// The pause after all named VMs were silent; it doubles.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
/// How often a VM that hasn't got the state yet is asked for it.
const POLL_EVERY: Duration = Duration::from_millis(150);
/// How long a VM is waited for that hasn't got the state yet: it may wait for its own parent.
const GIVER_WITHIN: Duration = Duration::from_millis(2500);
/// How often all named VMs are found silent before the store is read: they may be starting as well.
const SILENT_ROUNDS: u32 = 2;
/// How long a VM waits for named VMs that answer and have no state yet before it reads the store.
const START_WITHIN: Duration = Duration::from_secs(6);
/// Over which time VMs spread their first reading of the store that could get the state from nobody.
const READ_SPREAD: Duration = Duration::from_secs(2);
/// How long VMs that asked are gathered before they are written into the store together.
const GATHER: Duration = Duration::from_millis(250);
/// The pause after VMs could not be written into the store; it doubles, up to the longest.
const WRITE_AGAIN_AFTER: Duration = Duration::from_millis(500);
/// After how long a VM that the store doesn't show yet makes itself known; it doubles, up to the longest.
const ANNOUNCE_AFTER: Duration = Duration::from_secs(8);
const LONGEST_ANNOUNCE_PAUSE: Duration = Duration::from_secs(60);

/// Gets to know the site. Until then this VM doesn't stand for the lease: it knows nobody who may hold it.
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

/// Gets the site's state from another VM, if one has it; otherwise what follows reads the store.
async fn get_state<P, T>(site: &Arc<Site<P>>, states: &T)
where
    P: Protocol,
    T: PeerStates,
{
    let began = site.now();
    let mut named = seed_addresses(&site.settings.load());
    if named.is_empty() || is_named(&site.settings.load()) {
        return;
    }
    named.shuffle(&mut rand::rng());
    let mut pause = FIRST_PAUSE;
    let mut silent = 0;
    while silent < SILENT_ROUNDS && site.now() < began + START_WITHIN {
        silent += 1;
        for seed in &named {
            match ask(site, states, *seed).await {
                Asked::Given => {
                    let took_ms = site.now().saturating_duration_since(began).as_millis();
                    tracing::info!(took_ms, "the site's state is there");
                    return;
                }
                Asked::NotYet => silent = 0,
                Asked::Silent => {}
            }
        }
        sleep(jittered(pause)).await;
        pause *= 2;
    }
    tracing::warn!("no VM that the settings name hands its state over; the store is read");
    sleep(READ_SPREAD.mul_f64(rand::random())).await;
}

/// Gives where the datagrams of the VMs arrive that the settings name, other than this one's.
pub(crate) fn seed_addresses(settings: &NodeSettings) -> Vec<SocketAddr> {
    let others = all_named(settings).filter(|ip| *ip != settings.ip);
    others
        .map(|ip| SocketAddr::new(ip, settings.peer_port))
        .collect()
}

fn is_named(settings: &NodeSettings) -> bool {
    all_named(settings).any(|ip| ip == settings.ip)
}

fn all_named(settings: &NodeSettings) -> impl Iterator<Item = IpAddr> {
    let addresses = settings.seeds.iter();
    addresses.filter_map(|s| Some(s.parse::<SocketAddr>().ok()?.ip()))
}

/// Draws a time around this one, so that those that failed together don't come back together.
pub(crate) fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::random_range(0.5..1.5))
}

/// What came of asking a VM for the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asked {
    /// It is there.
    Given,
    /// The VM answers, and the state couldn't be had yet.
    NotYet,
    /// The VM doesn't answer.
    Silent,
}

/// Asks a VM from whom to get the state, and gets it there.
async fn ask<P, T>(site: &Arc<Site<P>>, states: &T, vm: SocketAddr) -> Asked
where
    P: Protocol,
    T: PeerStates,
{
    let body = QueryBody::Start(introduction(&myself(site)));
    let reply = site.queries.ask(&site.clock, vm, body, ANSWER_WITHIN);
    let Some(Reply::Giver(giver)) = reply.await else {
        return Asked::Silent;
    };
    let giver = giver.unwrap_or(vm);
    let Some(state) = wait_for_state(site, states, giver).await else {
        return Asked::NotYet;
    };
    take_in(site, states, giver, &state);
    Asked::Given
}

/// Gets the state of a VM that has read the list further than this one, or of one that got it there, as at a start: all VMs of the zone
/// may miss the same at once. Gives whether the list is further than before.
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
            ask(site, states, vm).await == Asked::Given && site.positions().endpoints > before
        }
        None => false,
    }
}

/// Waits until a VM has the state and hands it over; gives none if it is gone, or hasn't got it for too long.
async fn wait_for_state<P, T>(site: &Site<P>, states: &T, giver: SocketAddr) -> Option<State>
where
    P: Protocol,
    T: PeerStates,
{
    let (until, beyond) = (site.now() + GIVER_WITHIN, site.positions().endpoints);
    loop {
        match states.fetch_start(giver, beyond).await {
            Ok(Some(state)) => return Some(state),
            Ok(None) if site.now() < until => sleep(jittered(POLL_EVERY)).await,
            Ok(None) => return None,
            Err(why) => {
                tracing::debug!(%giver, why, "no state from another VM");
                return None;
            }
        }
    }
}

fn take_in<P, T>(site: &Arc<Site<P>>, states: &T, giver: SocketAddr, state: &State)
where
    P: Protocol,
    T: PeerStates,
{
    add_members(site, &state.members);
    site.view().has_peer_state = true;
    for feed in [Feed::Configuration, Feed::Endpoints] {
        let mut f = Follower::new(Arc::clone(site), states.clone(), feed);
        let vm = format_smolstr!("{giver}");
        f.apply_state(PeerState {
            vm,
            state: state.clone(),
        });
    }
}

/// Takes in the VMs that another one knows.
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

/// Gives the VMs that this one knows, itself too.
pub(crate) fn members<P>(site: &Site<P>) -> Members
where
    P: Protocol,
{
    let own_vm = myself(site);
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

/// Says to a VM that starts from whom it gets the state, and remembers it for those that follow.
pub(crate) fn assign_parent<P>(site: &Site<P>, said: &Introduction) -> Reply
where
    P: Protocol,
{
    let Some(vm) = vm(said) else {
        return Reply::Giver(None);
    };
    let now = site.now();
    let mut view = site.view();
    view.add_vm(&vm);
    let (who, position) = ((vm.address, vm.millicores), view.positions.endpoints);
    let giver = view.start_tree.assign_parent(now, &vm.zone, who, position);
    if view.listed.get(&vm.name) != Some(&vm) {
        view.unlisted.insert(vm.name.clone(), vm);
        site.vm_unlisted.notify_one();
    }
    Reply::Giver(match giver {
        Parent::AskedVm => None,
        Parent::Other(a) => Some(a),
    })
}

/// Tells whether this VM has what others need that have read the list up to a position: all, where they have nothing yet.
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

/// Has the store show this VM, and those that asked this one at their start, for as long as the process lives.
///
/// An append takes its turn among those of all VMs, so one that comes from each VM waits for all others. What is
/// given up may still be carried out: it is sent again later and later.
pub async fn announce<P, S>(site: Arc<Site<P>>, store: S)
where
    P: Protocol,
    S: Store,
{
    let (mut pause, mut again) = (ANNOUNCE_AFTER, WRITE_AGAIN_AFTER);
    let mut own_due = site.now() + own_turn(&site);
    loop {
        let due = (!site.view().is_listed).then_some(own_due);
        tokio::select! {
            () = site.vm_unlisted.notified() => sleep(GATHER).await,
            () = until(&site, due) => {
                // Another VM may have made it known meanwhile.
                if site.view().is_listed {
                    continue;
                }
                let own_vm = myself(&site);
                site.view().unlisted.insert(own_vm.name.clone(), own_vm);
                own_due = site.now() + jittered(pause);
                pause = (pause * 2).min(LONGEST_ANNOUNCE_PAUSE);
            }
        }
        match write_unlisted(&site, &store).await {
            Ok(()) => again = WRITE_AGAIN_AFTER,
            Err(e) => {
                tracing::info!(error = %e, "VMs could not be made known yet");
                sleep(jittered(again)).await;
                again = (again * 2).min(LONGEST_ANNOUNCE_PAUSE);
                site.vm_unlisted.notify_one();
            }
        }
    }
}

/// Gives after how long this VM makes itself known, if nobody has done so for it: at once where it is among those that others ask.
fn own_turn<P>(site: &Site<P>) -> Duration {
    let settings = site.settings.load();
    if settings.seeds.is_empty() || is_named(&settings) {
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

fn myself<P>(site: &Site<P>) -> Vm {
    let settings = site.settings.load();
    Vm {
        name: SmolStr::new(site.own_vm.as_str()),
        zone: site.zone.clone(),
        address: settings.peer_address(),
        millicores: settings.millicores(),
    }
}

/// Writes the VMs into the store that it doesn't show yet.
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
