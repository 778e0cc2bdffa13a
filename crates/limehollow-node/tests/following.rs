//! Following the store through outages, on paused time.

mod rig;

use limehollow::log_position::LogPosition;
use limehollow_node::edge::{Change, Feed};
use limehollow_node::follow::{SETTLE_TIME, follow};
use limehollow_node::site::Site;
use limehollow_wire::gossip::{ListChange, ListChanges, Reading};
use rig::{Memory, NoStates, Plain, catalog, endpoint, settings};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

const SOON: Duration = Duration::from_secs(2);

fn start(store: &Memory) -> Arc<Site<Plain>> {
    let site = Site::new(settings(), Plain);
    for feed in [Feed::Configuration, Feed::Endpoints] {
        tokio::spawn(follow(Arc::clone(&site), store.clone(), NoStates, feed));
    }
    site
}

fn configuration(version: u64) -> Change {
    Change::Catalog(Box::new(catalog(version, Vec::new())))
}

fn listed(i: usize) -> Change {
    Change::Endpoint(endpoint(i, ([127, 0, 0, 1], 9000).into()))
}

fn version(site: &Site<Plain>) -> u64 {
    site.catalog.load().as_ref().map_or(0, |c| c.version)
}

fn endpoints(site: &Site<Plain>) -> Vec<String> {
    let view = site.view();
    view.roster
        .iter()
        .map(|(_, e)| e.instance.to_string())
        .collect()
}

#[tokio::test(start_paused = true)]
async fn configuration_never_goes_back() {
    let store = Memory::default();
    let site = start(&store);
    for (next, expected) in [(3, 3), (2, 3), (9, 9), (9, 9)] {
        store.add(Feed::Configuration, configuration(next));
        sleep(SOON).await;
        assert_eq!(version(&site), expected);
    }
    // An older configuration that is read again after the history was dropped isn't applied either.
    store.compact(vec![configuration(4)]);
    sleep(SOON * 10).await;
    assert_eq!(version(&site), 9);
}

#[tokio::test(start_paused = true)]
async fn malformed_record_keeps_the_last_good_one() {
    let store = Memory::default();
    let site = start(&store);
    store.add(Feed::Configuration, configuration(3));
    let bad = Change::Malformed {
        key: "config".into(),
        why: "a test".to_owned(),
    };
    store.add(Feed::Configuration, bad);
    store.add(Feed::Configuration, configuration(4));
    sleep(SOON).await;
    assert_eq!(version(&site), 4);
}

#[tokio::test(start_paused = true)]
async fn state_stays_while_the_store_is_away() {
    let store = Memory::default();
    let site = start(&store);
    store.add(Feed::Configuration, configuration(3));
    store.add(Feed::Endpoints, listed(1));
    sleep(SOON).await;
    store.set_away(true);
    store.add(Feed::Configuration, configuration(4));
    sleep(Duration::from_mins(1)).await;
    assert_eq!(
        (version(&site), endpoints(&site)),
        (3, vec!["i-1".to_owned()])
    );
    assert!(site.is_ready());
    store.set_away(false);
    sleep(SOON).await;
    assert_eq!(version(&site), 4);
}

#[tokio::test(start_paused = true)]
async fn call_that_is_never_woken() {
    // A slow store may never wake a waiting call. A change is in force in time all the same.
    let store = Memory::default();
    store.set_deaf();
    let site = start(&store);
    store.add(Feed::Configuration, configuration(3));
    sleep(SOON).await;
    store.add(Feed::Configuration, configuration(4));
    sleep(Duration::from_millis(1700)).await;
    assert_eq!(version(&site), 4);
}

#[tokio::test(start_paused = true)]
async fn call_that_is_never_woken_of_many() {
    // With many VMs each calls rarely. The first VM that has read further wakes the others.
    let store = Memory::default();
    store.set_deaf();
    let site = start(&store);
    for i in 0..40 {
        let vm = format!("vm-{}", i + 2);
        let mut view = site.view();
        view.peers.upsert(
            vm.as_str().into(),
            "a".into(),
            ([127, 0, 0, 1], 7000).into(),
            250,
        );
        view.peers.receive(tokio::time::Instant::now(), &vm, 1, 1);
    }
    store.add(Feed::Configuration, configuration(3));
    sleep(SOON).await;
    store.add(Feed::Configuration, configuration(4));
    let ahead = limehollow_wire::gossip::Positions {
        configuration: LogPosition::new(0, 99),
        ..Default::default()
    };
    site.observe_peer(&"vm-2".into(), ahead, Reading::default());
    sleep(Duration::from_millis(800)).await;
    assert_eq!(version(&site), 4);
}

#[tokio::test(start_paused = true)]
async fn large_configuration_on_a_slow_link() {
    // The answer takes longer than a VM waits after it learned that others have read further, and they
    // repeat that: the read continues.
    let store = Memory::default();
    let site = start(&store);
    store.add(Feed::Configuration, configuration(3));
    sleep(SOON).await;
    store.set_deaf();
    store.set_transfer(Duration::from_millis(900));
    store.add(Feed::Configuration, configuration(4));
    let ahead = limehollow_wire::gossip::Positions {
        configuration: LogPosition::new(0, 99),
        ..Default::default()
    };
    for _ in 0..20 {
        site.observe_peer(&"vm-2".into(), ahead, Reading::default());
        sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(version(&site), 4);
}

#[tokio::test(start_paused = true)]
async fn endpoint_gone_in_calm_times() {
    let store = Memory::default();
    let site = start(&store);
    store.add(Feed::Endpoints, listed(1));
    store.add(Feed::Endpoints, listed(2));
    sleep(SOON).await;
    store.add(Feed::Endpoints, Change::EndpointGone("i-1".into()));
    sleep(Duration::from_millis(800)).await;
    assert_eq!(endpoints(&site), ["i-2"]);
}

#[tokio::test(start_paused = true)]
async fn answer_that_is_overtaken() {
    // An answer is on its way while another VM's later changes arrive. What those removed stays removed.
    for phase in 0..14 {
        let store = Memory::default();
        let site = start(&store);
        store.add(Feed::Endpoints, listed(1));
        sleep(SOON * 2).await;
        store.set_transfer(Duration::from_millis(300));
        store.add(Feed::Endpoints, listed(2));
        sleep(Duration::from_millis(50) * phase).await;
        site.offer_list_changes(ListChanges {
            from: LogPosition::new(0, 1),
            to: LogPosition::new(0, 99),
            changes: vec![ListChange::Gone("i-2".into())],
        });
        sleep(SOON).await;
        assert_eq!(endpoints(&site), ["i-1"], "phase {phase}");
    }
}

#[tokio::test(start_paused = true)]
async fn endpoint_that_lapsed_in_an_outage() {
    // Both entries lapse while the store is away. One endpoint writes its entry again.
    let store = Memory::default();
    let site = start(&store);
    store.add(Feed::Endpoints, listed(1));
    store.add(Feed::Endpoints, listed(2));
    sleep(SOON).await;
    store.set_away(true);
    sleep(Duration::from_secs(5)).await;
    store.add(Feed::Endpoints, Change::EndpointGone("i-1".into()));
    store.add(Feed::Endpoints, Change::EndpointGone("i-2".into()));
    store.set_away(false);
    sleep(SETTLE_TIME.mul_f64(0.5)).await;
    assert_eq!(endpoints(&site), ["i-1", "i-2"]);
    store.add(Feed::Endpoints, listed(2));
    sleep(SETTLE_TIME * 2).await;
    assert_eq!(endpoints(&site), ["i-2"]);
}

#[tokio::test(start_paused = true)]
async fn endpoint_missing_from_a_whole_read() {
    let store = Memory::default();
    let site = start(&store);
    store.add(Feed::Endpoints, listed(1));
    store.add(Feed::Endpoints, listed(2));
    sleep(SOON).await;
    store.compact(vec![listed(2)]);
    sleep(SOON * 10).await;
    assert_eq!(endpoints(&site), ["i-2"]);
}

#[tokio::test(start_paused = true)]
async fn start_without_the_store() {
    let store = Memory::default();
    store.set_away(true);
    let site = start(&store);
    sleep(SOON).await;
    assert!(!site.is_ready());
    store.add(Feed::Configuration, configuration(1));
    store.add(Feed::Endpoints, listed(1));
    store.set_away(false);
    sleep(SOON).await;
    assert!(site.is_ready());
}
