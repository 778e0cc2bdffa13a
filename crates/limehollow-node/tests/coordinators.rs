//! Which VM the VMs of a site take for the coordinator of a name, on paused time.

mod rig;

use rig::fleet::Fleet;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep};

const ZONES: usize = 3;
/// The names that are coordinated; each orders the zones differently.
const NAMES: [&str; 3] = ["portal", "chat", "search"];
const CHECKED_FOR: Duration = Duration::from_secs(10);
const CHECK_EVERY: Duration = Duration::from_millis(100);

/// Returns the VMs that are taken for the first coordinator of a name.
fn first_coordinators(fleet: &Fleet, name: &str) -> BTreeSet<SocketAddr> {
    let now = Instant::now();
    let first = fleet.vms.iter().map(|vm| {
        let view = vm.site.view();
        let all = view.peers.coordinators(now, name);
        let own = vm.site.settings.load().peer_address();
        all.first().copied().flatten().unwrap_or(own)
    });
    first.collect()
}

/// Checks that all VMs take the same one for the coordinator while nothing is wrong.
async fn coordinator_in_calm(vms: usize) {
    let fleet = Fleet::start(ZONES, vms, 2000, 1).await;
    let end = Instant::now() + CHECKED_FOR;
    while Instant::now() < end {
        for name in NAMES {
            let first = first_coordinators(&fleet, name);
            assert_eq!(first.len(), 1, "{vms} VMs, {name}: {first:?}");
        }
        sleep(CHECK_EVERY).await;
    }
}

#[tokio::test(start_paused = true)]
async fn coordinator_in_calm_is_the_same_to_9_vms() {
    coordinator_in_calm(9).await;
}

#[tokio::test(start_paused = true)]
async fn coordinator_in_calm_is_the_same_to_71_vms() {
    coordinator_in_calm(71).await;
}

#[tokio::test(start_paused = true)]
async fn coordinator_in_calm_is_the_same_to_180_vms() {
    coordinator_in_calm(180).await;
}

#[tokio::test(start_paused = true)]
async fn coordinator_in_calm_is_the_same_to_300_vms() {
    coordinator_in_calm(300).await;
}

#[tokio::test(start_paused = true)]
async fn coordinator_of_a_zone_that_is_cut_off_is_replaced() {
    let fleet = Fleet::start(ZONES, 9, 2000, 1).await;
    let first = first_coordinators(&fleet, NAMES[0]);
    let is_first = |vm: &usize| first.contains(&fleet.vms[*vm].site.settings.load().peer_address());
    let zone = (0..ZONES).find(is_first).expect("it leads its zone");
    fleet.cut(zone);
    sleep(Duration::from_millis(1000)).await;
    let after = first_coordinators(&fleet, NAMES[0]);
    assert_eq!(after.len(), 2, "one on each side of the cut: {after:?}");
}
