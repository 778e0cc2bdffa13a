//! Keys that operators take away are of no use on any VM after a bound, and VMs whose keys don't count say so.

mod rig;

use limehollow::catalog::Catalog;
use limehollow::workspace::{Cost, KeyDigest, Workspace, Workspaces};
use limehollow_node::edge::Feed;
use rig::catalog;
use rig::fleet::{Fleet, KEY_REMOVAL_MS, Treats};
use std::time::Duration;
use tokio::time::{Instant, sleep};

const BOUND: Duration = Duration::from_millis(KEY_REMOVAL_MS);
const LOOK_EVERY: Duration = Duration::from_millis(20);
const KEY: &str = "a key";

fn with_keys(version: u64, keys: &[&str]) -> Catalog {
    let workspace = Workspace {
        name: "bookkeeping".into(),
        keys: keys.iter().map(|k| KeyDigest::of(k)).collect(),
        rank: None,
        limit: None,
        cost: Cost::Request,
        homes: Vec::new(),
    };
    let all = Workspaces::new(vec![workspace]).expect("valid");
    catalog(version, Vec::new()).with_workspaces(all)
}

/// Starts a site of so many VMs whose configuration has a key.
async fn start(vms: usize) -> Fleet {
    let fleet = Fleet::start(3, vms, 3000, 1).await;
    fleet.configure_with(with_keys(2, &["another key", KEY]));
    fleet.in_force(2).await;
    sleep(BOUND).await;
    assert_eq!(fleet.trusting(), vms);
    fleet
}

/// Counts the VMs on which the key is of use.
fn accepting(fleet: &Fleet) -> usize {
    let accepts = |v: &&rig::fleet::Entry| {
        let c = v.site.catalog.load();
        let has = c
            .as_ref()
            .is_some_and(|c| c.workspaces.find(&KeyDigest::of(KEY)).is_some());
        has && v.site.keys_are_valid()
    };
    fleet.vms.iter().filter(accepts).count()
}

/// Gives how long it takes from now on until the key is of no use on any VM.
async fn of_no_use(fleet: &Fleet) -> Duration {
    let began = Instant::now();
    while accepting(fleet) > 0 && began.elapsed() < BOUND * 4 {
        sleep(LOOK_EVERY).await;
    }
    began.elapsed()
}

async fn taken_away_while(vms: usize, trouble: impl FnOnce(&mut Fleet)) -> Duration {
    let mut fleet = start(vms).await;
    trouble(&mut fleet);
    fleet.configure_with(with_keys(3, &["another key"]));
    of_no_use(&fleet).await
}

#[tokio::test(start_paused = true)]
async fn taken_away_in_calm() {
    for vms in [8, 69] {
        let time = taken_away_while(vms, |_| {}).await;
        assert!(time <= Duration::from_secs(3), "{time:?} with {vms} VMs");
    }
}

#[tokio::test(start_paused = true)]
async fn taken_away_while_the_store_turns_most_vms_away() {
    for vms in [8, 69] {
        let time = taken_away_while(vms, turn_most_away).await;
        assert!(time <= BOUND, "{time:?} with {vms} VMs");
    }
}

#[tokio::test(start_paused = true)]
async fn taken_away_while_the_store_turns_most_of_300_vms_away() {
    let time = taken_away_while(300, turn_most_away).await;
    assert!(time <= BOUND, "{time:?}");
}

fn turn_most_away(f: &mut Fleet) {
    let most: Vec<usize> = (0..f.vms.len()).filter(|i| i % 9 != 8).collect();
    f.treat(&most, Treats::Away);
}

#[tokio::test(start_paused = true)]
async fn taken_away_while_the_store_is_silent_to_a_zone_that_is_cut_off() {
    for vms in [8, 69] {
        let time = taken_away_while(vms, |f| {
            let zone = f.zone(1);
            f.treat(&zone, Treats::Silent);
            f.cut(1);
        })
        .await;
        assert!(time <= BOUND, "{time:?} with {vms} VMs");
    }
}

/// A VM that stood still finds messages and answers that say how fresh others' configurations *were*. While the age was
/// counted from their arrival, such a VM used keys that had been taken away seconds before.
#[tokio::test(start_paused = true)]
async fn taken_away_while_a_vm_stands_still_and_the_store_is_silent_to_it() {
    for still_ms in [500, 2000, 4000, 6000] {
        let fleet = start(8).await;
        let vm = 7;
        fleet.treat(&[vm], Treats::Silent);
        fleet.set_still(vm, true);
        sleep(Duration::from_millis(still_ms)).await;
        fleet.configure_with(with_keys(3, &["another key"]));
        let began = Instant::now();
        sleep(Duration::from_secs(1)).await;
        fleet.set_still(vm, false);
        let time = began.elapsed() + of_no_use(&fleet).await;
        assert!(time <= BOUND, "{time:?} after {still_ms} ms");
    }
}

#[tokio::test(start_paused = true)]
async fn keys_dont_count_without_the_store_and_count_again_with_it() {
    let fleet = start(8).await;
    fleet.treat_all(Treats::Away);
    sleep(BOUND).await;
    assert_eq!(fleet.trusting(), 0);
    assert!(fleet.vms.iter().all(|v| !v.site.is_ready()));
    fleet.treat_all(Treats::Well);
    sleep(Duration::from_secs(2)).await;
    assert_eq!(fleet.trusting(), 8);
}

/// One VM that reaches the store is enough for all, wherever it is. Guards against VMs that refuse callers because whom they ask
/// for the configuration's age is drawn at random.
#[tokio::test(start_paused = true)]
async fn keys_count_where_another_vm_reaches_the_store() {
    for vms in [8, 69] {
        let fleet = start(vms).await;
        let others: Vec<usize> = (0..vms).filter(|i| *i != 5).collect();
        fleet.treat(&others, Treats::Away);
        for _ in 0..100 {
            sleep(Duration::from_millis(200)).await;
            let trusting = fleet.trusting();
            assert_eq!(trusting, vms, "of {vms} VMs");
        }
    }
}

/// The same again and again, with a VM that few others are in a zone with: what rests on luck shows.
#[tokio::test(start_paused = true)]
async fn keys_count_each_time_another_vm_reaches_the_store() {
    for _ in 0..48 {
        let fleet = start(8).await;
        let others: Vec<usize> = (0..8).filter(|i| *i != 5).collect();
        fleet.treat(&others, Treats::Away);
        for _ in 0..100 {
            sleep(Duration::from_millis(200)).await;
            assert_eq!(fleet.trusting(), 8);
        }
    }
}

/// What it costs: at most one question a second and VM, and no more calls to the store than the VMs that read for their zones
/// make without keys.
#[tokio::test(start_paused = true)]
async fn calm_costs_one_question_a_second() {
    for vms in [8, 69] {
        let fleet = start(vms).await;
        let (asked, called) = (
            fleet.queries("configuration"),
            fleet.store.calls(Feed::Configuration),
        );
        sleep(Duration::from_secs(20)).await;
        let asked = fleet.queries("configuration") - asked;
        let called = fleet.store.calls(Feed::Configuration) - called;
        assert!(asked <= vms * 22, "{asked} questions of {vms} VMs");
        // Three readers, each every 1.35 s, and two VMs a zone that wait 25 s at a time.
        assert!(called <= 3 * 16 + 6 * 2, "{called} calls of {vms} VMs");
    }
}
