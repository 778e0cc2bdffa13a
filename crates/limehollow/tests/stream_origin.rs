//! What VMs remember of where streams began, and whom they tell.

use limehollow::id::SoftwareVersion;
use limehollow::peers::Peers;
use limehollow::stream_origin::{
    Known, MAX_LIFE, MAX_STREAMS, OriginRecord, StreamOrigin, StreamOrigins, StreamTag,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::time::Instant;

const LIFE: Duration = Duration::from_secs(25);

fn origin(software: &str) -> StreamOrigin {
    StreamOrigin {
        service: "chat".into(),
        software: SoftwareVersion::from(software),
    }
}

fn tag(n: usize) -> StreamTag {
    StreamTag::of(None, &format!("request-{n}"))
}

fn name(vm: usize) -> String {
    format!("vm-{vm:03}")
}

fn address(vm: usize) -> SocketAddr {
    let [high, low] = u16::try_from(vm).expect("there are few").to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, 0, high, low), 7000))
}

/// Returns a VM's view of a site in which all others were heard just now.
fn view(own: usize, zones: usize, vms: usize, now: Instant) -> Peers {
    let zone = |vm: usize| format!("z{}", vm % zones).as_str().into();
    let mut peers = Peers::new(name(own).into(), zone(own), 250);
    for vm in (0..vms).filter(|vm| *vm != own) {
        peers.upsert(name(vm).into(), zone(vm), address(vm), 250);
        if vm % zones == own % zones {
            peers.receive(now, &name(vm), 1, 1);
        }
    }
    for z in (0..zones).filter(|z| *z != own % zones) {
        peers.receive_zone(now, zone(z), name(z).into(), vms / zones);
    }
    peers
}

#[test]
fn origin_until_it_expires() {
    let now = Instant::now();
    let mut o = StreamOrigins::default();
    o.record(now, tag(1), origin("v1"), now + LIFE);
    let known = Known::Began {
        origin: origin("v1"),
        recorded: now,
    };
    assert_eq!(o.get(now + LIFE - Duration::from_millis(1), tag(1)), known);
    assert_eq!(o.get(now + LIFE, tag(1)), Known::Nothing);
    assert_eq!(o.get(now, tag(2)), Known::Nothing);
    o.sweep(now + LIFE);
    assert!(o.is_empty());
}

#[test]
fn origin_is_no_longer_believed_after_a_different_one() {
    let now = Instant::now();
    let mut o = StreamOrigins::default();
    for software in ["v1", "v1", "v1.1", "v1"] {
        o.record(now, tag(1), origin(software), now + LIFE);
    }
    assert_eq!(o.get(now, tag(1)), Known::Conflicting);
    // Other VMs aren't told of it.
    o.begin(now, tag(1), origin("v1"), now + LIFE);
    assert!(o.take_new(now, &view(0, 3, 9, now)).is_empty());
}

#[test]
fn origin_of_another_workspace_is_another_stream() {
    assert_ne!(
        StreamTag::of(Some("a"), "b-1"),
        StreamTag::of(Some("a-b"), "1")
    );
    assert_ne!(StreamTag::of(Some("a"), "1"), StreamTag::of(None, "1"));
}

#[test]
fn number_of_origins_is_bounded() {
    let now = Instant::now();
    let mut o = StreamOrigins::default();
    for n in 0..MAX_STREAMS + 10 {
        let ms = u64::try_from(n).expect("it is small");
        o.record(
            now,
            tag(n),
            origin("v1"),
            now + Duration::from_millis(ms + 1),
        );
    }
    assert_eq!((o.len(), o.take_dropped()), (MAX_STREAMS, 10));
    assert_eq!(o.take_dropped(), 0);
    // The first to expire are dropped first.
    assert_eq!(o.get(now, tag(9)), Known::Nothing);
    assert_ne!(o.get(now, tag(10)), Known::Nothing);
}

#[test]
fn life_of_an_origin_is_bounded() {
    let now = Instant::now();
    let mut o = StreamOrigins::default();
    o.merge(
        now,
        OriginRecord {
            stream: tag(1),
            origin: origin("v1"),
            left_ms: u32::MAX,
        },
    );
    assert_eq!(o.get(now + MAX_LIFE, tag(1)), Known::Nothing);
}

/// Returns whom a VM tells of so many streams.
fn told(own: usize, zones: usize, vms: usize, streams: usize) -> BTreeMap<SocketAddr, usize> {
    let now = Instant::now();
    let mut o = StreamOrigins::default();
    for n in 0..streams {
        o.begin(now, tag(n), origin("v1"), now + LIFE);
    }
    let batches = o.take_new(now, &view(own, zones, vms, now));
    batches.into_iter().map(|(vm, r)| (vm, r.len())).collect()
}

#[test]
fn cost_of_a_stream_is_the_same_in_every_fleet() {
    for (zones, vms) in [(3, 9), (5, 60), (5, 300), (5, 985)] {
        let told = told(0, zones, vms, 1000);
        let copies: usize = told.values().sum();
        assert_eq!(copies, 4000, "{vms} VMs");
        if vms >= 60 {
            let most = told.values().max().expect("some are told");
            assert!(*most < 4000 * 8 / vms + 25, "{vms} VMs: {most}");
        }
    }
}

#[test]
fn owners_are_in_the_own_zone_and_another_one() {
    let now = Instant::now();
    for n in 0..100 {
        let owners = view(0, 3, 30, now).owners(now, tag(n).as_bytes());
        let zone = |vm: &usize| vm % 3;
        let vms: Vec<usize> = (1..30)
            .filter(|vm| owners.iter().any(|o| o.address == address(*vm)))
            .collect();
        let zones: BTreeSet<usize> = vms.iter().map(zone).collect();
        let here = vms.iter().filter(|vm| zone(vm) == 0).count();
        assert_eq!((vms.len(), here, zones.len()), (4, 2, 2), "{vms:?}");
    }
}

#[test]
fn owners_of_a_vm_alone_in_its_zone_are_elsewhere() {
    let now = Instant::now();
    let owners = view(0, 3, 3, now).owners(now, tag(1).as_bytes());
    assert_eq!(owners.len(), 2);
    let owners = view(0, 1, 1, now).owners(now, tag(1).as_bytes());
    assert!(owners.is_empty());
}

#[test]
fn every_vm_asks_those_that_any_vm_tells() {
    let now = Instant::now();
    for (zones, vms) in [(3, 9), (5, 60)] {
        let views: Vec<Peers> = (0..vms).map(|vm| view(vm, zones, vms, now)).collect();
        for n in 0..200 {
            let (by, at) = (n % vms, (n * 7 + 1) % vms);
            let record = tag(n);
            let told = views[by].owners(now, record.as_bytes());
            let mut asked = views[at].possible_owners_here(now, record.as_bytes());
            asked.extend(views[at].possible_owners_elsewhere(now, record.as_bytes()));
            // The VM that is asked by the caller may be an owner itself.
            asked.push(address(at));
            for owner in told {
                assert!(asked.contains(&owner.address), "{n}: {owner:?} {asked:?}");
            }
        }
    }
}

#[test]
fn owners_that_come_or_start_again_are_told_of_running_streams() {
    let now = Instant::now();
    let mut peers = view(0, 3, 9, now);
    let mut o = StreamOrigins::default();
    o.begin(now, tag(1), origin("v1"), now + LIFE);
    assert_eq!(o.take_new(now, &peers).len(), 4);
    o.take_due(now, &peers);
    assert!(o.take_due(now, &peers).is_empty());
    // One of the two other VMs of the zone starts again.
    assert!(peers.receive(now, &name(3), 2, 1));
    let due = o.take_due(now, &peers);
    assert_eq!(due.keys().collect::<Vec<_>>(), [&address(3)]);
    // What has ended isn't told any more.
    assert!(peers.receive(now, &name(6), 2, 1));
    o.end(tag(1));
    assert!(o.take_due(now, &peers).is_empty());
}

#[test]
fn owners_elsewhere_are_told_again_of_long_streams() {
    let now = Instant::now();
    let peers = view(0, 3, 9, now);
    let mut o = StreamOrigins::default();
    o.begin(now, tag(1), origin("v1"), now + LIFE);
    o.take_new(now, &peers);
    let later = now + Duration::from_secs(5);
    let due = o.take_due(later, &view(0, 3, 9, later));
    assert_eq!(due.len(), 4);
}
