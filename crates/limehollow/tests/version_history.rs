//! The proof that a service has had one version for as long as a stream may live.

use limehollow::id::{ServiceName, SoftwareVersion};
use limehollow::version_history::{LONGEST_STREAM, VersionHistory};
use std::time::Duration;
use tokio::time::Instant;

const TRANSIT: Duration = Duration::from_millis(100);

fn chat() -> ServiceName {
    "chat".into()
}

fn v(name: &str) -> SoftwareVersion {
    name.into()
}

#[test]
fn version_is_proven_from_the_first_start_on() {
    let now = Instant::now();
    let mut h = VersionHistory::new(true);
    assert_eq!(h.only_version(now, &chat()), None);
    h.record(now, &chat(), Some(&v("v1")));
    assert_eq!(h.only_version(now, &chat()), Some(v("v1")));
    assert_eq!(h.only_version(now, &"other".into()), None);
    h.record(now, &chat(), Some(&v("v1.1")));
    assert_eq!(h.only_version(now, &chat()), None);
}

#[test]
fn version_is_proven_again_after_the_other_one_has_gone() {
    let now = Instant::now();
    let mut h = VersionHistory::new(true);
    h.record(now, &chat(), Some(&v("v1")));
    let last = now + LONGEST_STREAM;
    h.record(last, &chat(), Some(&v("v1.1")));
    assert_eq!(h.only_version(last, &chat()), None);
    let later = last + Duration::from_millis(1);
    assert_eq!(h.only_version(later, &chat()), Some(v("v1.1")));
}

#[test]
fn version_is_not_proven_by_a_vm_that_has_just_started() {
    let now = Instant::now();
    let mut h = VersionHistory::default();
    h.record(now, &chat(), Some(&v("v1")));
    let at = now + LONGEST_STREAM;
    assert_eq!(h.only_version(at - Duration::from_millis(1), &chat()), None);
    assert_eq!(h.only_version(at, &chat()), Some(v("v1")));
}

#[test]
fn version_is_not_proven_after_the_whole_list_was_read_anew() {
    let now = Instant::now();
    let mut h = VersionHistory::new(true);
    h.restart(now);
    h.record(now, &chat(), Some(&v("v1")));
    assert_eq!(h.only_version(now, &chat()), Some(v("v1")));
    h.restart(now);
    assert_eq!(h.only_version(now, &chat()), None);
}

#[test]
fn unknown_version_counts_as_another_one() {
    let now = Instant::now();
    let mut h = VersionHistory::new(true);
    h.record(now, &chat(), None);
    assert_eq!(h.only_version(now, &chat()), None);
    h.record(now, &chat(), Some(&v("v1")));
    assert_eq!(h.only_version(now, &chat()), None);
}

#[test]
fn history_of_another_vm_completes_that_of_one_that_starts() {
    let start = Instant::now();
    let mut old = VersionHistory::new(true);
    old.record(start, &chat(), Some(&v("v1")));
    let now = start + Duration::from_secs(1);
    let mut new = VersionHistory::default();
    new.record(now, &chat(), Some(&v("v1")));
    let later = now + Duration::from_secs(1);
    let seen = old
        .to_seen(later, Duration::from_millis(200))
        .expect("it has a list");
    new.merge(later, seen, TRANSIT);
    assert_eq!(new.only_version(later, &chat()), Some(v("v1")));
    // What the other VM has seen of another version is not forgotten.
    old.record(later, &chat(), Some(&v("v1.1")));
    let mut third = VersionHistory::default();
    third.record(later - Duration::from_millis(500), &chat(), Some(&v("v1")));
    let seen = old.to_seen(later, Duration::ZERO).expect("it has a list");
    third.merge(later, seen, TRANSIT);
    assert!(third.is_complete(later));
    assert_eq!(third.only_version(later, &chat()), None);
}

#[test]
fn history_of_a_vm_with_an_old_list_completes_none() {
    let start = Instant::now();
    let mut old = VersionHistory::new(true);
    old.record(start, &chat(), Some(&v("v1")));
    let now = start + Duration::from_secs(5);
    let mut new = VersionHistory::default();
    new.record(now, &chat(), Some(&v("v1")));
    // Its list was complete a moment before the other VM's first one.
    let later = now + Duration::from_secs(1);
    let seen = old
        .to_seen(later, Duration::from_millis(950))
        .expect("it has a list");
    new.merge(later, seen, TRANSIT);
    assert!(!new.is_complete(later));
    assert_eq!(VersionHistory::default().to_seen(now, Duration::ZERO), None);
}

#[test]
fn version_is_proven_at_once_if_the_earlier_ones_were_stored() {
    let now = Instant::now();
    let mut h = VersionHistory::default();
    h.add_earlier(now, [(chat(), v("v1"))]);
    assert_eq!(h.only_version(now, &chat()), None, "no list has been read");
    h.record(now, &chat(), Some(&v("v1")));
    assert_eq!(h.only_version(now, &chat()), Some(v("v1")));
    // Also if the list comes first.
    let mut h = VersionHistory::default();
    h.record(now, &chat(), Some(&v("v1.1")));
    h.add_earlier(now, [(chat(), v("v1"))]);
    assert_eq!(h.only_version(now, &chat()), None, "there were two");
    let later = now + LONGEST_STREAM + Duration::from_millis(1);
    h.record(later, &chat(), Some(&v("v1.1")));
    assert_eq!(h.only_version(later, &chat()), Some(v("v1.1")));
}

#[test]
fn listed_versions_are_those_at_which_a_stream_may_have_begun() {
    let now = Instant::now();
    let mut h = VersionHistory::new(true);
    h.record(now, &chat(), Some(&v("v1")));
    h.record(now, &chat(), None);
    let last = now + LONGEST_STREAM;
    h.record(last, &chat(), Some(&v("v1.1")));
    assert_eq!(h.listed(last).len(), 2);
    let later = last + Duration::from_millis(1);
    assert_eq!(h.listed(later), [(chat(), v("v1.1"))].into());
}

#[test]
fn history_comes_with_the_list_of_another_vm() {
    let start = Instant::now();
    let mut old = VersionHistory::new(true);
    old.record(start, &chat(), Some(&v("v1")));
    let now = start + Duration::from_secs(5);
    let mut new = VersionHistory::default();
    new.record(now, &chat(), Some(&v("v1")));
    assert!(new.is_young(now));
    assert!(!new.is_young(now + Duration::from_secs(2)));
    // However old the list is, it is the one that the new VM has taken over.
    let seen = old
        .to_seen(now, Duration::from_secs(3))
        .expect("it has a list");
    new.adopt(now, seen);
    assert!(!new.is_young(now));
    assert_eq!(new.only_version(now, &chat()), Some(v("v1")));
}
