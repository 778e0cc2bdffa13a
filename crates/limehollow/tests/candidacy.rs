//! Tests of when a candidate joins the group for the lease, on paused time.

use limehollow::candidacy::{CANDIDATE_STAGGER, Candidacy, HOLDER_TIMEOUT, Notice, STARTUP_WAIT};
use limehollow::group_lease::{Predecessor, Term};
use std::time::Duration;
use tokio::time::{Instant, advance};

fn holds(vm: &str, fence: u64) -> Notice {
    Notice {
        vm: vm.into(),
        fence,
        holds: true,
        last_order: None,
    }
}

fn resigns(vm: &str, fence: u64, last_order: Option<Instant>) -> Notice {
    Notice {
        holds: false,
        last_order,
        ..holds(vm, fence)
    }
}

#[tokio::test(start_paused = true)]
async fn may_join_after_the_wait_at_the_start() {
    let c = Candidacy::new(Instant::now());
    assert!(!c.may_join(Instant::now(), 0));
    advance(STARTUP_WAIT).await;
    assert!(c.may_join(Instant::now(), 0));
    assert!(
        !c.may_join(Instant::now(), 1),
        "the first candidate comes before it"
    );
    advance(CANDIDATE_STAGGER).await;
    assert!(c.may_join(Instant::now(), 1));
}

#[tokio::test(start_paused = true)]
async fn may_join_not_while_a_holder_sends_notices() {
    let mut c = Candidacy::new(Instant::now());
    for _ in 0..20 {
        advance(Duration::from_millis(100)).await;
        c.observe(Instant::now(), holds("vm-2", 4));
        assert!(!c.may_join(Instant::now(), 0));
    }
    assert_eq!(
        c.holder(Instant::now()).map(smol_str::SmolStr::as_str),
        Some("vm-2")
    );
    advance(HOLDER_TIMEOUT).await;
    assert!(c.may_join(Instant::now(), 0));
    assert_eq!(c.holder(Instant::now()), None);
}

#[tokio::test(start_paused = true)]
async fn may_join_at_once_when_the_holder_resigns() {
    let mut c = Candidacy::new(Instant::now());
    c.observe(Instant::now(), holds("vm-2", 4));
    assert!(c.observe(Instant::now(), resigns("vm-2", 4, None)));
    assert!(c.may_join(Instant::now(), 0));
    // The resignation is repeated for a while; the wait of the next candidate counts from its first notice.
    advance(CANDIDATE_STAGGER).await;
    assert!(!c.observe(Instant::now(), resigns("vm-2", 4, None)));
    assert!(c.may_join(Instant::now(), 1));
}

#[tokio::test(start_paused = true)]
async fn observe_late_notices_of_an_earlier_holder() {
    let mut c = Candidacy::new(Instant::now());
    c.observe(Instant::now(), holds("vm-3", 6));
    assert!(!c.observe(Instant::now(), resigns("vm-2", 4, None)));
    c.observe(Instant::now(), holds("vm-2", 4));
    assert_eq!(
        c.holder(Instant::now()).map(smol_str::SmolStr::as_str),
        Some("vm-3")
    );
}

#[tokio::test(start_paused = true)]
async fn predecessor_only_without_a_holder_in_between() {
    let mut c = Candidacy::new(Instant::now());
    let now = Instant::now();
    assert_eq!(c.predecessor(now, 5), Predecessor::Unknown);
    c.observe(now, holds("vm-2", 4));
    assert_eq!(
        c.predecessor(now, 6),
        Predecessor::Unknown,
        "it has not resigned"
    );
    c.observe(now, resigns("vm-2", 4, Some(now)));
    assert_eq!(c.predecessor(now, 6), Predecessor::Ordered(now));
    assert_eq!(
        c.predecessor(now, 7),
        Predecessor::Unknown,
        "another VM may have joined"
    );
    assert_eq!(c.predecessor(now, 4), Predecessor::Unknown);
    advance(HOLDER_TIMEOUT).await;
    assert_eq!(
        c.predecessor(Instant::now(), 6),
        Predecessor::Unknown,
        "too long ago"
    );
}

#[tokio::test(start_paused = true)]
async fn restart_waits_again_after_a_freeze() {
    let mut c = Candidacy::new(Instant::now());
    c.observe(Instant::now(), holds("vm-1", 4));
    advance(Duration::from_secs(8)).await;
    c.restart(Instant::now());
    assert!(
        !c.may_join(Instant::now(), 0),
        "another VM may hold the lease by now"
    );
    advance(STARTUP_WAIT).await;
    assert!(c.may_join(Instant::now(), 0));
}

#[tokio::test(start_paused = true)]
async fn observe_holder_of_a_restored_store() {
    // Its generation is lower than that of the previous holder. Candidates that ignored its notices would join, and
    // move the lease again and again.
    let mut c = Candidacy::new(Instant::now());
    let fence = |era, generation| Term { era, generation }.fence();
    c.observe(Instant::now(), holds("vm-1", fence(0, 40)));
    advance(HOLDER_TIMEOUT).await;
    c.observe(Instant::now(), holds("vm-2", fence(1, 36)));
    let holder = c.holder(Instant::now());
    assert!(holder.is_some_and(|vm| vm == "vm-2"), "{holder:?}");
}
