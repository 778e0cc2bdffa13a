//! The freshness of a VM's own copies, and the ages that it sends to others.

use limehollow::freshness::Freshness;
use limehollow_node::edge::Feed;
use limehollow_node::feed_reads::FeedReads;
use std::time::Duration;
use tokio::time::Instant;

const GAP: Duration = Duration::from_secs(2);
const LIST: Feed = Feed::Endpoints;

fn at(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

fn own_age(r: &FeedReads, now: Instant) -> Option<u32> {
    r.own_ages(now).endpoints.map(|a| a.complete_ms)
}

#[tokio::test]
async fn own_ages_count_only_own_reads() {
    // An age that is sent on loses the network delay at each VM, so that no VM would ever find its list too
    // old.
    let t = Instant::now();
    let mut r = FeedReads::default();
    r.record_read(LIST, t, GAP);
    r.merge(LIST, Freshness::new(at(t, 1000), t), true, GAP);
    let now = at(t, 1100);
    let age = r.freshness(LIST).map(|f| f.age(now));
    assert_eq!(age, Some(Duration::from_millis(100)));
    assert_eq!(own_age(&r, now), Some(1101));
    let state_ages_of_list = r.state_ages(now).endpoints;
    assert_eq!(state_ages_of_list.map(|a| a.complete_ms), Some(101));
}

#[tokio::test]
async fn own_ages_none_while_reads_fail() {
    let t = Instant::now();
    let mut r = FeedReads::default();
    assert_eq!(own_age(&r, t), None);
    r.record_read(LIST, t, GAP);
    r.record_failure(LIST, at(t, 500));
    assert!(r.is_failing(LIST));
    assert_eq!(own_age(&r, at(t, 600)), None);
    r.record_read(LIST, at(t, 700), GAP);
    assert_eq!(own_age(&r, at(t, 700)), Some(1));
}

#[tokio::test]
async fn record_read_after_failures_restarts() {
    let t = Instant::now();
    for (others_read_at, healthy_since) in [(0, 900), (600, 0)] {
        let mut r = FeedReads::default();
        r.record_read(LIST, t, GAP);
        r.record_failure(LIST, at(t, 500));
        // Where another VM read on after the failure, only this VM's read had failed.
        r.merge(LIST, Freshness::new(at(t, others_read_at), t), true, GAP);
        r.record_read(LIST, at(t, 900), GAP);
        let f = r.freshness(LIST).expect("it was read");
        assert_eq!(f.healthy_since(), at(t, healthy_since), "{others_read_at}");
    }
}

#[tokio::test]
async fn record_read_after_a_long_gap_restarts() {
    let t = Instant::now();
    let mut r = FeedReads::default();
    r.record_read(LIST, t, GAP);
    r.record_read(LIST, at(t, 2500), GAP);
    let f = r.freshness(LIST).expect("it was read");
    assert_eq!(f.healthy_since(), at(t, 2500));
}

#[tokio::test]
async fn merge_before_the_first_read() {
    let t = Instant::now();
    let reported = Freshness::new(at(t, 1000), t);
    let mut r = FeedReads::default();
    r.merge(LIST, reported, false, GAP);
    assert_eq!(r.freshness(LIST), None);
    r.merge(LIST, reported, true, GAP);
    assert_eq!(r.freshness(LIST), Some(reported));
    assert_eq!(own_age(&r, at(t, 1000)), None);
}
