//! Tests of when a process may give orders by the lease of a group, on paused time.

use limehollow::group_lease::{
    GroupAssignment, GroupLease, LeaseChange, ORDER_WITHIN, Predecessor, TTL, Term,
};
use std::time::Duration;
use tokio::time::{Instant, advance};

/// The minimum time between the orders of two holders.
const BETWEEN: Duration = Duration::from_secs(3);

fn assigned(generation: u64, holds_lease: bool) -> GroupAssignment {
    assigned_in(0, generation, holds_lease)
}

fn assigned_in(era: u64, generation: u64, holds_lease: bool) -> GroupAssignment {
    let term = Term { era, generation };
    GroupAssignment { term, holds_lease }
}

/// Applies the answer to a join that took no time.
fn join(l: &mut GroupLease, d: GroupAssignment) -> Option<LeaseChange> {
    let now = Instant::now();
    l.apply_assignment(now, now, d)
}

/// Returns a lease that has been held long enough to give orders.
async fn held() -> GroupLease {
    let mut l = GroupLease::new(BETWEEN);
    assert_eq!(join(&mut l, assigned(4, true)), Some(LeaseChange::Taken(4)));
    for _ in 0..8 {
        advance(Duration::from_millis(450)).await;
        assert_eq!(join(&mut l, assigned(4, true)), None);
    }
    l
}

#[tokio::test(start_paused = true)]
async fn fence_only_after_the_handover_time() {
    let mut l = GroupLease::new(BETWEEN);
    join(&mut l, assigned(4, true));
    advance(Duration::from_millis(2900)).await;
    join(&mut l, assigned(4, true));
    assert_eq!(l.fence(Instant::now()), None);
    advance(Duration::from_millis(300)).await;
    assert_eq!(l.fence(Instant::now()), None, "the lease lapsed in between");
    assert_eq!(held().await.fence(Instant::now()), Some(4));
}

#[tokio::test(start_paused = true)]
async fn fence_of_a_holder_cut_off_from_the_store() {
    // It stops by itself, well before another process can be assigned the lease.
    let l = held().await;
    advance(ORDER_WITHIN).await;
    assert_eq!(l.fence(Instant::now()), None);
    assert!(ORDER_WITHIN < TTL);
}

#[tokio::test(start_paused = true)]
async fn fence_of_a_holder_after_a_suspension() {
    let mut l = held().await;
    advance(Duration::from_secs(8)).await;
    assert_eq!(l.fence(Instant::now()), None, "before the next join");
    // Even if it is assigned the lease again, another process may have given orders in between.
    assert_eq!(join(&mut l, assigned(4, true)), Some(LeaseChange::Taken(4)));
    assert_eq!(l.fence(Instant::now()), None);
    let mut l = held().await;
    advance(Duration::from_secs(8)).await;
    assert_eq!(join(&mut l, assigned(5, false)), Some(LeaseChange::Lost));
    assert_eq!(l.fence(Instant::now()), None);
    assert!(!l.is_held());
}

#[tokio::test(start_paused = true)]
async fn fence_counts_from_the_call_not_from_its_answer() {
    // The answer to a join that was in progress during a suspension doesn't renew the lease.
    let mut l = held().await;
    let sent = Instant::now();
    advance(ORDER_WITHIN).await;
    l.apply_assignment(sent, Instant::now(), assigned(4, true));
    assert_eq!(l.fence(Instant::now()), None);
}

#[tokio::test(start_paused = true)]
async fn fence_rises_and_never_falls() {
    let mut l = held().await;
    join(&mut l, assigned(9, true));
    assert_eq!(l.fence(Instant::now()), Some(9));
    join(&mut l, assigned(7, true));
    assert_eq!(l.fence(Instant::now()), Some(9));
    assert_eq!(l.generation(), 9);
}

#[tokio::test(start_paused = true)]
async fn release_ends_orders_at_once() {
    let mut l = held().await;
    l.release();
    assert_eq!(l.fence(Instant::now()), None);
}

#[tokio::test(start_paused = true)]
async fn fence_after_a_holder_that_resigned() {
    // The wait counts from the last order of the previous holder, not from its own assignment.
    let mut l = GroupLease::new(BETWEEN);
    let ordered = Instant::now();
    advance(Duration::from_secs(2)).await;
    join(&mut l, assigned(6, true));
    l.set_predecessor(Predecessor::Ordered(ordered));
    assert_eq!(l.fence(Instant::now()), None);
    advance(Duration::from_millis(900)).await;
    join(&mut l, assigned(6, true));
    advance(Duration::from_millis(200)).await;
    assert_eq!(l.fence(Instant::now()), Some(6));
}

#[tokio::test(start_paused = true)]
async fn fence_after_a_holder_that_gave_no_order() {
    let mut l = GroupLease::new(BETWEEN);
    join(&mut l, assigned(6, true));
    l.set_predecessor(Predecessor::Idle);
    assert_eq!(l.fence(Instant::now()), Some(6));
    // Another process may have held the lease since, so the predecessor is unknown again.
    join(&mut l, assigned(7, false));
    join(&mut l, assigned(8, true));
    assert_eq!(l.fence(Instant::now()), None);
}

#[tokio::test(start_paused = true)]
async fn has_lapsed_without_an_answer_from_the_platform() {
    let l = held().await;
    assert!(!l.has_lapsed(Instant::now()));
    advance(TTL).await;
    assert!(l.has_lapsed(Instant::now()));
}

#[tokio::test(start_paused = true)]
async fn last_order_of_a_holder_that_gave_none() {
    // What is known of the previous holder is passed on to the next one.
    let mut l = GroupLease::new(BETWEEN);
    let ordered = Instant::now();
    advance(Duration::from_secs(1)).await;
    let taken = Instant::now();
    join(&mut l, assigned(6, true));
    assert_eq!(l.last_order(), Some(taken), "the predecessor is unknown");
    l.set_predecessor(Predecessor::Ordered(ordered));
    assert_eq!(l.last_order(), Some(ordered));
    l.set_predecessor(Predecessor::Idle);
    assert_eq!(l.last_order(), None);
    l.record_order(taken);
    assert_eq!(l.last_order(), Some(taken));
}

#[tokio::test(start_paused = true)]
async fn fence_does_not_fall_after_a_restore_of_the_store() {
    // The group and its generation are restored to an older state; the next holder's fencing number is still the
    // highest.
    let before = held().await.fence(Instant::now()).expect("it is held");
    let mut next = GroupLease::new(BETWEEN);
    let taken = join(&mut next, assigned_in(1, 2, true));
    let Some(LeaseChange::Taken(fence)) = taken else {
        panic!("{taken:?}");
    };
    assert!(fence > before, "{fence} after {before}");
}

#[tokio::test(start_paused = true)]
async fn apply_assignment_keeps_the_lease_over_a_restore_of_the_store() {
    let mut l = held().await;
    let before = l.fence(Instant::now()).expect("it is held");
    assert_eq!(join(&mut l, assigned_in(1, 2, true)), None);
    let after = l.fence(Instant::now()).expect("it is still held");
    assert!(after > before, "{after} after {before}");
    assert_eq!(
        l.generation(),
        2,
        "the next join sends the generation of this era"
    );
}

#[tokio::test(start_paused = true)]
async fn apply_assignment_ignores_answers_of_a_former_era() {
    let mut l = GroupLease::new(BETWEEN);
    join(&mut l, assigned_in(1, 2, false));
    assert_eq!(join(&mut l, assigned_in(0, 9, true)), None);
    assert!(!l.is_held());
}

/// Guards against 13 seconds without orders after a store outage of six seconds. No other process can have held the
/// lease if the term is unchanged.
#[tokio::test(start_paused = true)]
async fn fence_of_a_lease_that_lapsed_in_an_outage() {
    let mut l = held().await;
    let ordered = Instant::now();
    l.record_order(ordered);
    advance(Duration::from_secs(6)).await;
    l.suspend();
    assert_eq!(l.fence(Instant::now()), None);
    assert_eq!(
        join(&mut l, assigned(4, true)),
        Some(LeaseChange::Resumed(4))
    );
    assert_eq!(l.fence(Instant::now()), Some(4));
    assert_eq!(l.last_order(), Some(ordered));
}

#[tokio::test(start_paused = true)]
async fn fence_of_a_lease_that_lapsed_before_its_first_order() {
    // It still waits for the previous holder's orders.
    let mut l = GroupLease::new(BETWEEN);
    join(&mut l, assigned(4, true));
    advance(Duration::from_secs(2)).await;
    l.suspend();
    assert_eq!(
        join(&mut l, assigned(4, true)),
        Some(LeaseChange::Resumed(4))
    );
    assert_eq!(l.fence(Instant::now()), None);
    advance(Duration::from_millis(1200)).await;
    join(&mut l, assigned(4, true));
    assert_eq!(l.fence(Instant::now()), Some(4));
}

#[tokio::test(start_paused = true)]
async fn fence_of_a_lease_that_lapsed_and_whose_term_ended() {
    for other in [
        assigned(5, true),
        assigned(5, false),
        assigned_in(1, 4, true),
    ] {
        let mut l = held().await;
        advance(Duration::from_secs(6)).await;
        l.suspend();
        join(&mut l, other);
        assert_eq!(l.fence(Instant::now()), None, "{other:?}");
        // A later answer doesn't restore the former term either.
        join(&mut l, assigned(4, true));
        assert_eq!(l.fence(Instant::now()), None, "{other:?}");
    }
}
