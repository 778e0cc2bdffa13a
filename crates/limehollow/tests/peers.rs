//! Tests of the view of other VMs: liveness, zone leaders and readers, candidates for the lease, recipients of
//! messages.

use limehollow::peers::{PEER_TIMEOUT, Peers};
use smol_str::{SmolStr, format_smolstr};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, advance};

/// The start of each VM's process in tests with a single start.
const START: u64 = 1;

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

/// Returns the peers of vm-2: vm-1 and vm-3 in its zone, vm-4 to vm-6 in another.
fn peers() -> Peers {
    let mut p = Peers::new("vm-2".into(), "a".into(), 250);
    for i in [1_u16, 3, 4, 5, 6] {
        let zone = if i < 4 { "a" } else { "b" };
        assert!(p.upsert(format_smolstr!("vm-{i}"), zone.into(), address(i), 250));
    }
    p
}

#[test]
fn upsert_itself_and_known_vms() {
    let mut p = peers();
    assert!(!p.upsert("vm-2".into(), "a".into(), address(2), 250));
    assert!(
        !p.upsert("vm-3".into(), "a".into(), address(33), 250),
        "a new address is no new VM"
    );
    assert_eq!(p.address("vm-3"), Some(address(33)));
    assert_eq!(p.known_vms(), 6);
}

#[tokio::test(start_paused = true)]
async fn candidate_is_one_of_the_first_two() {
    // At its start vm-2 counts vm-1 and vm-3 as alive without any message of them; vm-1 comes before it.
    let mut p = peers();
    assert!(p.is_candidate(Instant::now()));
    p.upsert("vm-0".into(), "a".into(), address(9), 250);
    assert!(
        !p.is_candidate(Instant::now()),
        "vm-0 and vm-1 are candidates"
    );
    advance(Duration::from_millis(1600)).await;
    assert!(p.is_candidate(Instant::now()), "neither has sent a message");
}

#[tokio::test(start_paused = true)]
async fn candidate_replaces_one_that_is_lost() {
    let mut p = peers();
    advance(Duration::from_secs(2)).await;
    let now = Instant::now();
    p.upsert("vm-0".into(), "a".into(), address(9), 250);
    p.receive(now, "vm-0", START, 1);
    p.receive(now, "vm-1", START, 1);
    assert!(!p.is_candidate(now));
    // A VM that reports that it can't reach the store is no candidate any more, nor is one that falls silent.
    p.set_reaches_store("vm-0", false);
    assert!(p.is_candidate(now));
    p.set_reaches_store("vm-0", true);
    assert!(!p.is_candidate(now));
    assert!(p.is_candidate(now + PEER_TIMEOUT));
}

#[tokio::test(start_paused = true)]
async fn candidates_of_a_zone_without_the_store() {
    // If all report that they can't reach the store, the first four stay candidates, not the whole zone.
    let mut p = Peers::new("vm-5".into(), "a".into(), 250);
    let now = Instant::now();
    for i in 1..5 {
        let name = format_smolstr!("vm-{i}");
        assert!(p.is_candidate(now));
        p.upsert(name.clone(), "a".into(), address(i), 250);
        p.receive(now, &name, START, 1);
        p.set_reaches_store(&name, false);
    }
    assert!(!p.is_candidate(now));
}

#[tokio::test(start_paused = true)]
async fn candidate_has_more_processor() {
    let mut p = peers();
    p.upsert("vm-3".into(), "a".into(), address(3), 500);
    p.upsert("vm-9".into(), "a".into(), address(9), 500);
    assert!(!p.is_candidate(Instant::now()), "both have more processor");
}

#[tokio::test(start_paused = true)]
async fn zone_leader_has_most_processor_of_live_vms() {
    let mut p = peers();
    let now = Instant::now();
    p.upsert("vm-3".into(), "a".into(), address(3), 500);
    p.receive(now, "vm-1", START, 1);
    assert_eq!(p.zone_leader(now).map(SmolStr::as_str), Some("vm-1"));
    p.receive(now, "vm-3", START, 1);
    assert_eq!(p.zone_leader(now).map(SmolStr::as_str), Some("vm-3"));
}

#[tokio::test(start_paused = true)]
async fn zone_leader_is_first_by_name_of_live_vms() {
    let mut p = peers();
    let now = Instant::now();
    assert!(p.is_zone_leader(now), "no other VM is alive");
    p.receive(now, "vm-3", START, 1);
    assert!(p.is_zone_leader(now));
    p.receive(now, "vm-1", START, 1);
    assert!(!p.is_zone_leader(now));
    assert_eq!(p.zone_leader(now).map(SmolStr::as_str), Some("vm-1"));
    advance(PEER_TIMEOUT).await;
    assert!(p.is_zone_leader(Instant::now()));
    assert_eq!(p.zone_leader(Instant::now()), None);
}

#[tokio::test(start_paused = true)]
async fn is_zone_reader_only_without_a_stronger_reader() {
    let mut p = peers();
    assert!(
        !p.is_zone_reader(Instant::now()),
        "vm-1 comes before and may still be starting"
    );
    advance(Duration::from_millis(1600)).await;
    let now = Instant::now();
    assert!(p.is_zone_reader(now), "no other VM is alive");
    p.receive(now, "vm-1", START, 1);
    assert!(!p.is_zone_reader(now), "vm-1 comes before");
    p.set_reads_list("vm-1", false);
    assert!(p.is_zone_reader(now), "the store rejects vm-1");
    assert!(!p.is_zone_leader(now), "vm-1 is still the leader");
    p.set_reads_list("vm-1", true);
    assert!(!p.is_zone_reader(now));
    advance(PEER_TIMEOUT).await;
    assert!(p.is_zone_reader(Instant::now()), "vm-1 is silent");
}

#[test]
fn receive_ignores_old_messages() {
    let mut p = peers();
    let now = Instant::now();
    assert!(p.receive(now, "vm-3", START, 7));
    assert!(!p.receive(now, "vm-3", START, 7));
    assert!(!p.receive(now, "vm-3", START, 6));
    assert!(!p.receive(now, "vm-9", START, 1), "vm-9 is unknown");
}

#[tokio::test(start_paused = true)]
async fn alive_by_messages_and_zone_summaries() {
    let mut p = peers();
    assert_eq!(p.alive(Instant::now()), 1);
    p.receive(Instant::now(), "vm-3", START, 1);
    p.receive_zone(Instant::now(), "b".into(), "vm-4".into(), 3);
    assert_eq!(
        (p.alive(Instant::now()), p.alive_in_zone(Instant::now())),
        (5, 2)
    );
    advance(PEER_TIMEOUT * 3).await;
    assert_eq!(p.alive(Instant::now()), 1);
}

#[tokio::test(start_paused = true)]
async fn zone_targets_reach_each_vm_of_a_silent_zone_in_turn() {
    let mut p = peers();
    let mut reached = BTreeSet::new();
    for _ in 0..3 {
        reached.extend(p.zone_targets(Instant::now()));
    }
    assert_eq!(
        reached,
        BTreeSet::from([address(4), address(5), address(6)])
    );
    // Only the zone's leader is a recipient; it relays the message.
    p.receive_zone(Instant::now(), "b".into(), "vm-5".into(), 3);
    for _ in 0..4 {
        assert_eq!(p.zone_targets(Instant::now()), [address(5)]);
    }
    // Once the leader is silent, the others are recipients in rotation as well.
    advance(PEER_TIMEOUT).await;
    let mut reached = BTreeSet::new();
    for _ in 0..3 {
        let to = p.zone_targets(Instant::now());
        assert!(to.contains(&address(5)) && to.len() <= 2, "{to:?}");
        reached.extend(to);
    }
    assert_eq!(
        reached,
        BTreeSet::from([address(4), address(5), address(6)])
    );
    assert_eq!(p.neighbours(), [address(1), address(3)]);
}

/// Guards against an isolated VM that fills its link with messages to VMs that don't answer.
#[tokio::test(start_paused = true)]
async fn zone_recipients_rotate_over_silent_vms() {
    let mut p = Peers::new("vm-0".into(), "a".into(), 250);
    for i in 1..=20 {
        p.upsert(format!("vm-{i}").into(), "a".into(), address(i), 250);
    }
    // VMs that may still be starting are all recipients.
    assert_eq!(p.zone_recipients(Instant::now()).len(), 20);
    advance(Duration::from_secs(5)).await;
    let mut reached = BTreeSet::new();
    for _ in 0..10 {
        let to = p.zone_recipients(Instant::now());
        assert_eq!(to.len(), 2, "{to:?}");
        reached.extend(to);
    }
    assert_eq!(reached.len(), 20);
    assert_eq!(p.responsive_neighbours(Instant::now()), []);
    // A VM that comes back is a recipient of each message at once.
    p.receive(Instant::now(), "vm-7", 1, 1);
    for _ in 0..3 {
        assert!(p.zone_recipients(Instant::now()).contains(&address(7)));
    }
}

#[tokio::test(start_paused = true)]
async fn candidate_rank_firsts_of_all_zones_before_seconds() {
    let zone = |me: &str, zone: &str| {
        let mut p = Peers::new(me.into(), zone.into(), 250);
        for (name, z) in [("vm-1", "a"), ("vm-2", "b"), ("vm-3", "a"), ("vm-4", "b")] {
            p.upsert(name.into(), z.into(), address(1), 250);
        }
        p.candidate_rank(Instant::now())
    };
    assert_eq!(zone("vm-1", "a"), Some(0));
    assert_eq!(zone("vm-2", "b"), Some(1));
    assert_eq!(zone("vm-3", "a"), Some(2));
    assert_eq!(zone("vm-4", "b"), Some(3));
}

#[test]
fn receive_from_a_later_start() {
    // The VM's clock was set back before a restart: its messages count at once, whatever their numbers, and late
    // messages of the former start are ignored.
    let (mut p, now) = (peers(), Instant::now());
    let (first, second, third) = (9_000, 7, 8_000);
    assert!(p.receive(now, "vm-3", first, 500));
    assert!(p.receive(now, "vm-3", second, 1));
    assert!(!p.receive(now, "vm-3", first, 501));
    assert!(p.receive(now, "vm-3", second, 2));
    assert!(p.receive(now, "vm-3", third, 1));
    assert!(
        !p.receive(now, "vm-3", first, 502),
        "nor after two more starts"
    );
    assert!(!p.receive(now, "vm-3", second, 3));
}

/// Returns the peers of vm-2 with messages of vm-1 and vm-3 and a summary of the other zone.
fn heard(now: Instant) -> Peers {
    let mut p = peers();
    p.receive(now, "vm-1", START, 1);
    p.receive(now, "vm-3", START, 1);
    p.receive_zone(now, "b".into(), "vm-4".into(), 3);
    p
}

#[tokio::test(start_paused = true)]
async fn reaching_endpoints_prefers_the_own_zone() {
    let now = Instant::now();
    let mut p = heard(now);
    assert_eq!(p.reaching_endpoints(now), [address(1), address(3)]);
    p.set_reaches_endpoints("vm-1", false);
    assert_eq!(p.reaching_endpoints(now), [address(3)]);
    assert_eq!(p.cut_off_in_zone(now).collect::<Vec<_>>(), ["vm-1"]);
    p.set_reaches_endpoints("vm-3", false);
    let elsewhere = [address(4), address(5), address(6)];
    assert_eq!(p.reaching_endpoints(now), elsewhere);
    p.set_cut_off_in_zone(&"b".into(), &["vm-5".into()]);
    assert_eq!(p.reaching_endpoints(now), [address(4), address(6)]);
}

#[tokio::test(start_paused = true)]
async fn reaching_endpoints_leaves_out_silent_vms_and_zones() {
    let then = Instant::now();
    let mut p = heard(then);
    advance(PEER_TIMEOUT).await;
    let now = Instant::now();
    p.receive(now, "vm-3", START, 2);
    assert_eq!(p.reaching_endpoints(now), [address(3)]);
    advance(Duration::from_secs(2)).await;
    assert!(p.reaching_endpoints(Instant::now()).is_empty());
}

#[tokio::test(start_paused = true)]
async fn reaching_endpoints_spreads_over_zones_where_few_are_left() {
    let now = Instant::now();
    let mut p = heard(now);
    for i in 10..100_u16 {
        let name = format_smolstr!("vm-{i}");
        p.upsert(name.clone(), "a".into(), address(i), 250);
        p.receive(now, &name, START, 1);
        p.set_reaches_endpoints(&name, i >= 80);
    }
    let all = p.reaching_endpoints(now);
    let here = all.iter().filter(|a| (80..100).contains(&a.port()));
    assert_eq!(here.count(), 20);
    assert!(all.contains(&address(4)), "22 of 93 would get too much");
}

#[tokio::test(start_paused = true)]
async fn coordinator_of_late_is_told_from_one_that_has_been_for_long() {
    let mut p = peers();
    let time = Duration::from_millis(1250);
    advance(Duration::from_secs(5)).await;
    p.receive(Instant::now(), "vm-1", START, 1);
    assert!(!p.has_coordinated_for(Instant::now(), "chat", time));
    // vm-1 counts as silent, but has been for a moment only.
    advance(PEER_TIMEOUT).await;
    advance(Duration::from_millis(1249)).await;
    let now = Instant::now();
    assert!(p.has_coordinated_for(now, "chat", Duration::ZERO));
    assert!(!p.has_coordinated_for(now, "chat", time));
    advance(Duration::from_millis(1)).await;
    assert!(p.has_coordinated_for(Instant::now(), "chat", time));
    p.receive(Instant::now(), "vm-1", START, 2);
    assert!(!p.has_coordinated_for(Instant::now(), "chat", Duration::ZERO));
}
