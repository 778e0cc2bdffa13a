//! Tests of how a VM tells that its own way to the endpoints is cut off.

use limehollow::id::{EndpointKey, ZoneName};
use limehollow::own_reach::{Listed, OwnReach, Reach};
use slotmap::SlotMap;
use std::time::Duration;
use tokio::time::Instant;

const ZONES: usize = 3;
const SMALL: Listed = Listed {
    endpoints: 6,
    zones: ZONES,
};

fn endpoints(n: usize) -> Vec<(EndpointKey, ZoneName)> {
    let mut keys = SlotMap::<EndpointKey, ()>::with_key();
    let endpoint = |i: usize| (keys.insert(()), ZoneName::from(format!("z{}", i % ZONES)));
    (0..n).map(endpoint).collect()
}

fn fail(r: &mut OwnReach, now: Instant, (key, zone): &(EndpointKey, ZoneName)) -> bool {
    r.record_failure(now, *key, zone, SMALL)
}

#[test]
fn state_after_failures_in_all_zones() {
    let (mut r, now, all) = (OwnReach::default(), Instant::now(), endpoints(6));
    assert!(!fail(&mut r, now, &all[0]));
    assert_eq!(r.state(now), Reach::Sound);
    assert!(!fail(&mut r, now, &all[1]));
    assert_eq!(r.state(now), Reach::Doubtful);
    assert!(fail(&mut r, now, &all[2]));
    assert_eq!(r.state(now), Reach::None);
    assert!(!fail(&mut r, now, &all[3]), "it is told once");
    assert_eq!(r.record_success(now), Some(Duration::ZERO));
    assert_eq!(r.state(now), Reach::Sound);
    assert_eq!(r.record_success(now), None);
}

#[test]
fn state_after_failures_in_some_zones() {
    let (mut r, now, all) = (OwnReach::default(), Instant::now(), endpoints(12));
    for e in all.iter().filter(|(_, zone)| zone.as_str() != "z0") {
        assert!(!fail(&mut r, now, e));
    }
    assert_eq!(r.state(now), Reach::Doubtful);
}

#[test]
fn state_after_failures_of_one_endpoint() {
    let (mut r, now, all) = (OwnReach::default(), Instant::now(), endpoints(3));
    for _ in 0..10 {
        assert!(!fail(&mut r, now, &all[0]));
    }
    assert_eq!(r.state(now), Reach::Sound);
}

#[test]
fn state_after_crashes_among_live_endpoints() {
    let (mut r, now, all) = (OwnReach::default(), Instant::now(), endpoints(12));
    for pair in all.chunks(2) {
        for e in pair {
            assert!(!fail(&mut r, now, e));
        }
        r.record_success(now);
    }
    assert_eq!(r.state(now), Reach::Sound);
}

#[test]
fn state_after_old_failures() {
    let (mut r, now, all) = (OwnReach::default(), Instant::now(), endpoints(6));
    for (i, e) in (0..).zip(&all) {
        let at = now + Duration::from_secs(2) * i;
        assert!(!fail(&mut r, at, e));
        assert_eq!(r.state(at), Reach::Sound);
    }
}

#[test]
fn hears_for_a_moment_after_bytes() {
    let (mut r, now) = (OwnReach::default(), Instant::now());
    assert!(!r.hears(now));
    r.record_heard(now);
    assert!(r.hears(now + Duration::from_millis(200)));
    assert!(!r.hears(now + Duration::from_millis(300)));
}

#[test]
fn state_of_a_large_site_after_crashes_of_many() {
    let (mut r, now, all) = (OwnReach::default(), Instant::now(), endpoints(300));
    let listed = Listed {
        endpoints: 300,
        zones: ZONES,
    };
    for (key, zone) in &all[..7] {
        assert!(!r.record_failure(now, *key, zone, listed));
    }
    let (key, zone) = &all[7];
    assert!(r.record_failure(now, *key, zone, listed));
}

#[test]
fn state_while_a_quarter_is_reached() {
    let (mut r, mut now, all) = (OwnReach::default(), Instant::now(), endpoints(12));
    for (i, e) in all.iter().cycle().take(1000).enumerate() {
        now += Duration::from_millis(20);
        if i % 4 == 0 {
            r.record_success(now);
        } else {
            assert!(!fail(&mut r, now, e));
        }
    }
}

#[test]
fn probes_begin_once_a_second_while_in_doubt() {
    let (mut r, now, all) = (OwnReach::default(), Instant::now(), endpoints(6));
    fail(&mut r, now, &all[0]);
    assert!(!r.begin_probes(now));
    fail(&mut r, now, &all[1]);
    assert!(r.begin_probes(now));
    assert!(!r.begin_probes(now + Duration::from_millis(900)));
    assert!(r.begin_probes(now + Duration::from_millis(1100)));
}
