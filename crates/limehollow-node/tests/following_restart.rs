//! What a VM that can't read the store fetches from others after a VM that had read further has restarted. Runs on
//! paused time.

mod rig;

use limehollow::crash_record::CrashRecord;
use limehollow::log_position::LogPosition;
use limehollow_node::edge::{Feed, PeerStates};
use limehollow_node::follow::follow;
use limehollow_node::site::Site;
use limehollow_wire::gossip::{Members, Positions, Reading, State};
use rig::{Memory, Plain, catalog, endpoint, settings};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long a query to another VM is on its way, with its answer.
const ROUND_TRIP: Duration = Duration::from_millis(4);
/// How often each VM sends a message.
const MESSAGE_INTERVAL: Duration = Duration::from_millis(80);
/// The time allowed from the acknowledgement of a change until it is in force.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(2);
/// The VM that had read furthest and has restarted, and the one that has read furthest now.
const RESTARTED: &str = "vm-2";
const FURTHEST: &str = "vm-3";

/// What the other VMs hand over now, by address.
#[derive(Clone, Debug)]
struct States(Arc<BTreeMap<SocketAddr, State>>);

impl States {
    fn of(&self, from: SocketAddr) -> Result<State, String> {
        let state = self.0.get(&from).cloned();
        state.ok_or_else(|| "no process listens".to_owned())
    }
}

impl PeerStates for States {
    async fn fetch(&self, from: SocketAddr) -> Result<State, String> {
        sleep(ROUND_TRIP).await;
        self.of(from)
    }

    async fn fetch_configuration(&self, from: SocketAddr) -> Result<State, String> {
        sleep(ROUND_TRIP).await;
        self.of(from)
    }

    async fn fetch_start(&self, _: SocketAddr, _: LogPosition) -> Result<Option<State>, String> {
        Ok(None)
    }

    async fn fetch_members(&self, _: SocketAddr) -> Result<Members, String> {
        Err("not used".to_owned())
    }

    async fn fetch_crashes(&self, _: SocketAddr) -> Result<Vec<CrashRecord>, String> {
        Err("not used".to_owned())
    }
}

fn address(host: u8) -> SocketAddr {
    (Ipv4Addr::new(127, 0, 0, host), 7000).into()
}

fn read_to(offset: u64) -> Positions {
    let position = LogPosition::new(0, offset);
    Positions {
        configuration: position,
        endpoints: position,
    }
}

/// Returns the state of a VM that has read both feeds up to an offset.
fn state(offset: u64) -> State {
    State {
        positions: read_to(offset),
        catalog: Some(catalog(offset, Vec::new())),
        endpoints: vec![endpoint(1, ([127, 0, 0, 1], 9000).into())],
        ..State::default()
    }
}

/// Starts a VM that can't read the store. One VM has reported that it read furthest, and has restarted since; another
/// one reports with each message how far it has read. Returns the time until this VM has read a feed as far.
async fn caught_up(feed: Feed) -> Duration {
    let states = [
        (RESTARTED, address(2), State::default()),
        (FURTHEST, address(3), state(5)),
    ];
    let store = Memory::default();
    store.set_away(true);
    let site = Site::new(settings(), Plain);
    for (name, address, _) in &states {
        let mut view = site.view();
        view.peers.upsert((*name).into(), "a".into(), *address, 250);
    }
    let states = states
        .into_iter()
        .map(|(_, address, state)| (address, state));
    let states = States(Arc::new(states.collect()));
    tokio::spawn(follow(Arc::clone(&site), store, states, feed));
    site.observe_peer(&RESTARTED.into(), read_to(9), Reading::default());
    let began = Instant::now();
    let has_read = |p: Positions| match feed {
        Feed::Configuration => p.configuration >= read_to(5).configuration,
        Feed::Endpoints | Feed::Vms => p.endpoints >= read_to(5).endpoints,
    };
    while !has_read(site.positions()) && began.elapsed() <= IN_FORCE_WITHIN {
        sleep(MESSAGE_INTERVAL).await;
        site.observe_peer(&FURTHEST.into(), read_to(5), Reading::default());
    }
    began.elapsed()
}

#[tokio::test(start_paused = true)]
async fn configuration_is_fetched_although_a_vm_that_restarted_had_read_further() {
    let took = caught_up(Feed::Configuration).await;
    println!("{took:?}");
    assert!(took <= IN_FORCE_WITHIN, "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn list_is_fetched_although_a_vm_that_restarted_had_read_further() {
    let took = caught_up(Feed::Endpoints).await;
    println!("{took:?}");
    assert!(took <= IN_FORCE_WITHIN, "{took:?}");
}
