//! How old a copy is, and since when the store is known to be sound.

use limehollow::freshness::{Freshness, ReadPace};
use std::time::Duration;
use tokio::time::Instant;

const GAP: Duration = Duration::from_millis(1000);

/// A moment so many ms after the start of the test.
fn at(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

#[tokio::test]
async fn read_complete_as_of_its_begin() {
    let t = Instant::now();
    let f = Freshness::first(t).after_read(at(t, 500), false);
    assert_eq!(f.age(at(t, 700)), Duration::from_millis(200));
    assert_eq!(f.healthy_since(), t);
}

#[tokio::test]
async fn read_after_a_break_begins_a_new_span() {
    let t = Instant::now();
    let f = Freshness::first(t).after_read(at(t, 500), true);
    assert_eq!(f.healthy_since(), at(t, 500));
}

#[tokio::test]
async fn meet_who_has_read_further_says_nothing_of_the_age() {
    let t = Instant::now();
    let other = Freshness::new(at(t, 900), t);
    let mine = Freshness::first(t);
    assert_eq!(mine.merge(other, false, GAP).complete_at(), t);
    assert_eq!(mine.merge(other, true, GAP).complete_at(), at(t, 900));
}

#[tokio::test]
async fn meet_who_had_no_break_shows_that_the_store_went_on() {
    // A VM that alone had lost the store until 800, beside one that read on all the time.
    let t = Instant::now();
    let mine = Freshness::first(t).after_read(at(t, 800), true);
    let other = Freshness::new(at(t, 900), t);
    assert_eq!(mine.merge(other, true, GAP).healthy_since(), t);
}

#[tokio::test]
async fn meet_who_came_back_after_an_outage_shows_it() {
    // Nobody read between 0 and 2000; the first to come back says so to one that hadn't noticed.
    let t = Instant::now();
    let mine = Freshness::first(t);
    let other = Freshness::first(at(t, 2000));
    for has_all in [false, true] {
        assert_eq!(mine.merge(other, has_all, GAP).healthy_since(), at(t, 2000));
    }
    // Told again and by others that came back later, it stays with the first.
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
async fn meet_who_has_just_started_is_no_outage() {
    let t = Instant::now();
    let mine = Freshness::first(t).after_read(at(t, 5000), false);
    let other = Freshness::first(at(t, 5800));
    for has_all in [false, true] {
        assert_eq!(mine.merge(other, has_all, GAP).healthy_since(), t);
    }
    // Nor is it one for a VM that it tells first.
    assert_eq!(other.merge(mine, true, GAP).healthy_since(), t);
}

#[tokio::test]
async fn meet_old_news_changes_nothing() {
    let t = Instant::now();
    let mine = Freshness::new(at(t, 5000), at(t, 3000));
    let other = Freshness::new(at(t, 1000), t);
    assert_eq!(mine.merge(other, true, GAP), mine);
}

#[tokio::test]
async fn pace_adds_up_to_less_than_the_bound() {
    // A connection that is opened after the choice takes 200 ms at most, and messages pass each 240 ms at worst.
    for ms in [2000, 3000, 4000] {
        let bound = Duration::from_millis(ms);
        let pace = ReadPace::list(bound);
        let worst = pace.stale_after(1.0) + pace.call_timeout() * 2;
        assert!(worst + Duration::from_millis(100) <= bound, "{worst:?}");
        let told = pace.interval() + Duration::from_millis(240);
        assert!(told <= pace.stale_after(0.0), "{told:?}");
    }
}
