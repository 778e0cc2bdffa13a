//! The store is restored from a copy that is some seconds old. What it acknowledged since then is lost, and
//! the positions since then are assigned again. All VMs follow later changes in time.

mod rig;

use limehollow_node::edge::Feed;
use rig::fleet::{Fleet, Treats};
use std::time::Duration;
use tokio::time::sleep;

const ZONES: usize = 3;
const ENDPOINTS: usize = 6;
/// A site: the number of VMs, and the time in which a change has to be in force, in ms.
const SIZES: [(usize, u64); 2] = [(8, 2000), (71, 3000)];
/// How long the store is away, if it is, and how long after its return the rules hold again.
const AWAY: Duration = Duration::from_millis(2500);
const CALM: Duration = Duration::from_millis(3000);

/// Starts a site, has its operators and endpoints write after the copy was made, and restores the store
/// from the copy.
///
/// Then the operators write the newest configuration again, and endpoints write their entries again.
async fn restored(vms: usize, bound_ms: u64, away: Duration) -> Fleet {
    let fleet = Fleet::start(ZONES, vms, bound_ms, ENDPOINTS).await;
    fleet.configure(1);
    sleep(CALM).await;
    let copy = fleet.store.len();
    for version in 2..6 {
        fleet.configure(version);
        fleet.list(0);
        sleep(Duration::from_millis(500)).await;
    }
    if !away.is_zero() {
        fleet.treat_all(Treats::Silent);
        sleep(away).await;
    }
    fleet.store.return_from_copy(copy);
    fleet.treat_all(Treats::Well);
    fleet.configure(5);
    fleet.list(0);
    sleep(CALM).await;
    fleet
}

/// Checks that what is written now is in force in time on all VMs.
async fn check_changes(case: &str, fleet: &Fleet, bound_ms: u64) {
    let bound = Duration::from_millis(bound_ms);
    let vms = fleet.vms.len();
    for (endpoint, version) in [(1, 6), (2, 7), (3, 8)] {
        fleet.configure(version);
        let took = fleet.in_force(version).await;
        assert!(
            took <= bound,
            "{case}, {vms} VMs: version {version} after {took:?}"
        );
        fleet.leave(endpoint);
        let (took, last) = fleet.out_of_use(endpoint).await;
        assert!(
            took <= bound,
            "{case}, {vms} VMs: {last} was last, after {took:?}"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn follow_changes_after_the_store_was_restored() {
    for (vms, bound_ms) in SIZES {
        for (case, away) in [("after an outage", AWAY), ("at once", Duration::ZERO)] {
            let fleet = restored(vms, bound_ms, away).await;
            check_changes(case, &fleet, bound_ms).await;
            assert!(fleet.store.calls(Feed::Endpoints) > 0);
        }
    }
}

/// Starts a site of 8 VMs with a store that has been healthy for a while. Returns it, and the number of
/// entries of a copy that is made now.
async fn with_copy() -> (Fleet, usize) {
    let fleet = Fleet::start(ZONES, 8, 2000, ENDPOINTS).await;
    fleet.configure(1);
    sleep(CALM).await;
    let copy = fleet.store.len();
    (fleet, copy)
}

fn users(fleet: &Fleet, endpoint: usize) -> usize {
    (0..fleet.vms.len())
        .filter(|vm| fleet.uses(*vm, endpoint))
        .count()
}

#[tokio::test(start_paused = true)]
async fn endpoint_that_the_copy_lacks_stays_in_use_until_it_is_written_again() {
    let (fleet, copy) = with_copy().await;
    fleet.list(ENDPOINTS);
    sleep(CALM).await;
    fleet.store.return_from_copy(copy);
    fleet
        .always_used(ENDPOINTS, Duration::from_millis(2000))
        .await;
    fleet.list(ENDPOINTS);
    fleet.always_used(ENDPOINTS, Duration::from_secs(10)).await;
}

#[tokio::test(start_paused = true)]
async fn endpoint_that_the_copy_lacks_is_dropped_if_not_written_again() {
    let (fleet, copy) = with_copy().await;
    fleet.list(ENDPOINTS);
    sleep(CALM).await;
    fleet.store.return_from_copy(copy);
    let (took, last) = fleet.out_of_use(ENDPOINTS).await;
    assert!(took <= Duration::from_secs(5), "{last}: {took:?}");
}

#[tokio::test(start_paused = true)]
async fn endpoint_removed_since_the_copy_is_not_used_again() {
    let (fleet, copy) = with_copy().await;
    fleet.vanish(0);
    sleep(CALM).await;
    assert_eq!(users(&fleet, 0), 0);
    fleet.store.return_from_copy(copy);
    for _ in 0..250 {
        sleep(Duration::from_millis(20)).await;
        assert_eq!(users(&fleet, 0), 0, "its entry is the copy's");
    }
    fleet.vanish(0);
    sleep(Duration::from_secs(10)).await;
    assert_eq!(users(&fleet, 0), 0, "it is gone");
}

#[tokio::test(start_paused = true)]
async fn endpoint_removed_since_the_copy_is_used_once_it_is_written_again() {
    let (fleet, copy) = with_copy().await;
    fleet.vanish(0);
    fleet.vanish(1);
    sleep(CALM).await;
    fleet.store.return_from_copy(copy);
    sleep(CALM).await;
    fleet.list(0);
    sleep(Duration::from_secs(1)).await;
    assert_eq!(users(&fleet, 0), 8, "it has written its entry");
    sleep(Duration::from_secs(10)).await;
    assert_eq!(users(&fleet, 1), 8, "nobody has removed its entry since");
}

#[tokio::test(start_paused = true)]
async fn leaving_endpoint_whose_announcement_the_copy_lacks_is_not_used_again() {
    let (fleet, copy) = with_copy().await;
    fleet.leave(0);
    sleep(CALM).await;
    fleet.store.return_from_copy(copy);
    for _ in 0..500 {
        sleep(Duration::from_millis(20)).await;
        assert_eq!(users(&fleet, 0), 0);
    }
}

#[tokio::test(start_paused = true)]
async fn vms_that_the_copy_lacks_are_written_again() {
    let mut fleet = Fleet::cold(ZONES, 8, ENDPOINTS, f64::INFINITY);
    let copy = fleet.store.len();
    fleet.all_ready(ENDPOINTS).await;
    sleep(Duration::from_secs(20)).await;
    let written = fleet.store.calls(Feed::Vms);
    fleet.store.return_from_copy(copy);
    sleep(Duration::from_secs(30)).await;
    assert!(fleet.store.calls(Feed::Vms) > written);
    let vms = fleet.store.vms();
    assert_eq!(vms, 8, "a VM that starts later knows the others");
    fleet.restart_all_cold();
    fleet.all_ready(ENDPOINTS).await;
    assert!(fleet.fewest_neighbours() >= 1);
}
