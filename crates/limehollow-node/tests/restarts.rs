//! Endpoints that restart under their ids, and entries that can't be read, as all VMs of a site see them.

mod rig;

use limehollow::instance::Instance;
use limehollow::roster::{Endpoint, HoldingsReport};
use limehollow_node::edge::{Change, Feed};
use rig::endpoint;
use rig::fleet::{Fleet, Treats};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The time in which a leaving endpoint has to be out of use.
const LEAVING_MS: u64 = 2000;
const IN_TIME: Duration = Duration::from_millis(LEAVING_MS);

fn entry_with_start(i: usize, born: u64) -> Endpoint {
    let e = endpoint(i, ([127, 0, 0, 1], 9000).into());
    Endpoint {
        instance: Instance {
            born: Some(born),
            ..e.instance.clone()
        },
        ..e
    }
}

fn unreadable(id: &str) -> Change {
    Change::Malformed {
        key: id.into(),
        why: "a test".to_owned(),
    }
}

fn open_on(fleet: &Fleet, id: &str) -> Vec<Option<u64>> {
    let born = |v: &rig::fleet::Entry| {
        let view = v.site.view();
        let key = view.roster.key(id);
        let e = key.and_then(|k| view.roster.get(k));
        e.filter(|e| !e.leaving).and_then(|e| e.instance.born)
    };
    fleet.vms.iter().map(born).collect()
}

#[tokio::test(start_paused = true)]
async fn unreadable_entry_goes_out_of_use_everywhere() {
    // One VM of each zone reads the list. A zone in which no VM can read asks another zone for its state.
    let fleet = Fleet::start(3, 9, LEAVING_MS, 3).await;
    fleet.treat(&fleet.zone(2), Treats::Away);
    sleep(Duration::from_secs(5)).await;
    fleet.store.add(Feed::Endpoints, unreadable("i-1"));
    let (took, last) = fleet.out_of_use(1).await;
    assert!(took <= IN_TIME, "{took:?} on {last}");
    for i in [0, 2] {
        fleet.always_used(i, Duration::from_secs(1)).await;
    }
    for v in &fleet.vms {
        assert!(
            v.site.view().roster.unreadable().eq(["i-1"]),
            "{}",
            v.site.own_vm
        );
    }
    // A later valid entry brings the endpoint back.
    fleet.list(1);
    sleep(IN_TIME).await;
    fleet.always_used(1, Duration::from_secs(1)).await;
}

#[tokio::test(start_paused = true)]
async fn unreadable_entry_goes_out_of_use_in_a_state() {
    // All VMs of a zone but one miss the change. They get it with a full state in the middle of an outage,
    // when removals are held back. An entry that can't be read isn't a removal.
    let fleet = Fleet::start(2, 6, LEAVING_MS, 2).await;
    fleet.treat(&fleet.zone(0), Treats::Away);
    sleep(Duration::from_secs(1)).await;
    fleet.store.add(Feed::Endpoints, unreadable("i-0"));
    let (took, last) = fleet.out_of_use(0).await;
    assert!(took <= IN_TIME, "{took:?} on {last}");
}

#[tokio::test(start_paused = true)]
async fn unreadable_entry_that_nobody_knew() {
    let fleet = Fleet::start(2, 4, LEAVING_MS, 2).await;
    for _ in 0..200 {
        fleet.store.add(Feed::Endpoints, unreadable("stranger"));
    }
    sleep(IN_TIME).await;
    for i in [0, 1] {
        fleet.always_used(i, Duration::from_secs(1)).await;
    }
    let counted: Vec<u64> = fleet
        .vms
        .iter()
        .map(|v| v.site.metrics.unreadable_records.get())
        .collect();
    assert_eq!(counted, [1; 4], "logged once, however often it is written");
}

#[tokio::test(start_paused = true)]
async fn later_start_is_used_after_the_former_left() {
    let fleet = Fleet::start(3, 9, LEAVING_MS, 1).await;
    let add = |e: Endpoint| fleet.store.add(Feed::Endpoints, Change::Endpoint(e));
    add(entry_with_start(5, 1_000));
    sleep(IN_TIME).await;
    add(Endpoint {
        leaving: true,
        ..entry_with_start(5, 1_000)
    });
    sleep(IN_TIME).await;
    assert_eq!(open_on(&fleet, "i-5"), [None; 9]);
    add(entry_with_start(5, 2_000));
    sleep(IN_TIME).await;
    assert_eq!(open_on(&fleet, "i-5"), [Some(2_000); 9]);
    // What the former instance wrote before is read late, and changes nothing.
    add(Endpoint {
        leaving: true,
        ..entry_with_start(5, 1_000)
    });
    sleep(IN_TIME).await;
    assert_eq!(open_on(&fleet, "i-5"), [Some(2_000); 9]);
}

#[tokio::test(start_paused = true)]
async fn later_start_in_one_reading_with_the_end_of_the_former() {
    // If the entries don't carry the start time, only the end of the first entry distinguishes the two
    // instances, so the other VMs have to receive both changes.
    let fleet = Fleet::start(2, 6, LEAVING_MS, 1).await;
    fleet.leave(0);
    sleep(IN_TIME).await;
    fleet.vanish(0);
    fleet.list(0);
    sleep(IN_TIME).await;
    fleet.always_used(0, Duration::from_secs(1)).await;
}

#[tokio::test(start_paused = true)]
async fn report_of_a_later_start_while_the_store_is_away() {
    let fleet = Fleet::start(2, 4, LEAVING_MS, 0).await;
    let add = |e: Endpoint| fleet.store.add(Feed::Endpoints, Change::Endpoint(e));
    add(entry_with_start(0, 1_000));
    sleep(IN_TIME).await;
    fleet.treat_all(Treats::Silent);
    let site = &fleet.vms[1].site;
    let r = HoldingsReport {
        instance: entry_with_start(0, 2_000).instance,
        holdings: [("m".into(), limehollow::roster::Held::default())].into(),
        orders_taken: 0,
    };
    site.report(Instant::now(), &r);
    site.view().reports.add(r);
    site.urgent_update.notify_one();
    sleep(Duration::from_secs(1)).await;
    assert_eq!(open_on(&fleet, "i-0"), [Some(2_000); 4]);
}

#[tokio::test(start_paused = true)]
async fn gone_is_told_to_all_vms() {
    // One VM finds that another instance answers at an endpoint's address. The list still shows the former
    // one.
    let fleet = Fleet::start(3, 30, LEAVING_MS, 2).await;
    let site = &fleet.vms[29].site;
    let gone = endpoint(0, ([127, 0, 0, 1], 9000).into()).instance;
    assert!(site.record_gone(&gone));
    let (took, last) = fleet.out_of_use(0).await;
    assert!(took <= Duration::from_millis(700), "{took:?} on {last}");
    fleet.always_used(1, Duration::from_secs(2)).await;
    // The message isn't repeated forever, and a later instance is used.
    fleet.store.add(
        Feed::Endpoints,
        Change::Endpoint(entry_with_start(0, 2_000)),
    );
    fleet.vanish(0);
    fleet.store.add(
        Feed::Endpoints,
        Change::Endpoint(entry_with_start(0, 2_000)),
    );
    sleep(IN_TIME).await;
    assert_eq!(open_on(&fleet, "i-0"), [Some(2_000); 30]);
}
