//! Tests of the age of copies, and of the time since which the store counts as healthy.

use limehollow::freshness::{Freshness, ReadPace};
use std::time::Duration;
use tokio::time::Instant;

const GAP: Duration = Duration::from_millis(1000);

/// Returns the time `ms` milliseconds after the start of the test.
fn at(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

#[tokio::test]
async fn after_read_is_complete_as_of_its_beginning() {
    let t = Instant::now();
    let f = Freshness::first(t).after_read(at(t, 500), false);
    assert_eq!(f.age(at(t, 700)), Duration::from_millis(200));
    assert_eq!(f.healthy_since(), t);
}

#[tokio::test]
async fn after_read_with_an_interruption_begins_a_new_span() {
    let t = Instant::now();
    let f = Freshness::first(t).after_read(at(t, 500), true);
    assert_eq!(f.healthy_since(), at(t, 500));
}

#[tokio::test]
async fn merge_with_a_vm_that_read_further_keeps_the_age() {
    let t = Instant::now();
    let other = Freshness::new(at(t, 900), t);
    let mine = Freshness::first(t);
    assert_eq!(mine.merge(other, false, GAP).complete_at(), t);
    assert_eq!(mine.merge(other, true, GAP).complete_at(), at(t, 900));
}

#[tokio::test]
async fn merge_with_an_uninterrupted_vm_shows_a_healthy_store() {
    // Only this VM had lost the store until 800; another one read it all the time.
    let t = Instant::now();
    let mine = Freshness::first(t).after_read(at(t, 800), true);
    let other = Freshness::new(at(t, 900), t);
    assert_eq!(mine.merge(other, true, GAP).healthy_since(), t);
}

#[tokio::test]
async fn merge_with_a_vm_that_is_back_shows_an_outage() {
    // No VM read between 0 and 2000; the first one back informs another one that hadn't noticed the outage.
    let t = Instant::now();
    let mine = Freshness::first(t);
    let other = Freshness::first(at(t, 2000));
    for has_all in [false, true] {
        assert_eq!(mine.merge(other, has_all, GAP).healthy_since(), at(t, 2000));
    }
    // Repeated messages, and those of VMs that came back later, don't change the time.
    let f = mine.merge(other, false, GAP).merge(other, false, GAP);
    let late = Freshness::first(at(t, 2600));
    let again = Freshness::new(at(t, 2700), at(t, 2000));
    assert_eq!(
        f.merge(late, false, GAP)
            .merge(again, true, GAP)
            .healthy_since(),
        at(t, 2000)
    );
}

#[tokio::test]
async fn merge_with_a_vm_that_has_just_started_shows_no_outage() {
    let t = Instant::now();
    let mine = Freshness::first(t).after_read(at(t, 5000), false);
    let other = Freshness::first(at(t, 5800));
    for has_all in [false, true] {
        assert_eq!(mine.merge(other, has_all, GAP).healthy_since(), t);
    }
    // The order in which the two VMs merge doesn't matter.
    assert_eq!(other.merge(mine, true, GAP).healthy_since(), t);
}

#[tokio::test]
async fn merge_with_older_freshness_changes_nothing() {
    let t = Instant::now();
    let mine = Freshness::new(at(t, 5000), at(t, 3000));
    let other = Freshness::new(at(t, 1000), t);
    assert_eq!(mine.merge(other, true, GAP), mine);
}

#[tokio::test]
async fn pace_adds_up_to_less_than_the_bound() {
    // Opening a connection after the choice takes 200 ms at most, and messages are 240 ms apart at worst.
    for ms in [2000, 3000, 4000] {
        let bound = Duration::from_millis(ms);
        let pace = ReadPace::list(bound);
        let worst = pace.stale_after(1.0) + pace.call_timeout() * 2;
        assert!(worst + Duration::from_millis(100) <= bound, "{worst:?}");
        let notified = pace.interval() + Duration::from_millis(240);
        assert!(notified <= pace.stale_after(0.0), "{notified:?}");
    }
}
