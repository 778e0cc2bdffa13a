//! When a process may give orders: the lease through a group, on paused time.

use limehollow::group_lease::{
    GroupAssignment, GroupLease, LeaseChange, ORDER_WITHIN, Predecessor, TTL, Term,
};
use std::time::Duration;
use tokio::time::{Instant, advance};

const BETWEEN: Duration = Duration::from_secs(3);

fn dealt(generation: u64, holds_lease: bool) -> GroupAssignment {
    dealt_in(0, generation, holds_lease)
}

fn dealt_in(era: u64, generation: u64, holds_lease: bool) -> GroupAssignment {
    let term = Term { era, generation };
    GroupAssignment { term, holds_lease }
}

/// Joins at once, with an answer.
fn join(l: &mut GroupLease, d: GroupAssignment) -> Option<LeaseChange> {
    let now = Instant::now();
    l.apply_assignment(now, now, d)
}

/// Holds the lease long enough for orders.
async fn held() -> GroupLease {
    let mut l = GroupLease::new(BETWEEN);
    assert_eq!(join(&mut l, dealt(4, true)), Some(LeaseChange::Taken(4)));
    for _ in 0..8 {
        advance(Duration::from_millis(450)).await;
        assert_eq!(join(&mut l, dealt(4, true)), None);
    }
    l
}

#[tokio::test(start_paused = true)]
async fn fence_only_after_the_holder_before() {
    let mut l = GroupLease::new(BETWEEN);
    join(&mut l, dealt(4, true));
    advance(Duration::from_millis(2900)).await;
    join(&mut l, dealt(4, true));
    assert_eq!(l.fence(Instant::now()), None);
    advance(Duration::from_millis(300)).await;
    assert_eq!(l.fence(Instant::now()), None, "it lapsed in between");
    assert_eq!(held().await.fence(Instant::now()), Some(4));
}

#[tokio::test(start_paused = true)]
async fn fence_of_a_holder_cut_from_the_store() {
    // It stops by itself, well before another can be dealt the lease.
    let l = held().await;
    advance(ORDER_WITHIN).await;
    assert_eq!(l.fence(Instant::now()), None);
    assert!(ORDER_WITHIN < TTL);
}

#[tokio::test(start_paused = true)]
async fn fence_of_a_holder_frozen_and_woken() {
    let mut l = held().await;
    advance(Duration::from_secs(8)).await;
    assert_eq!(l.fence(Instant::now()), None, "before it has asked");
    // Even if it is dealt the lease again, another may have given orders in between.
    assert_eq!(join(&mut l, dealt(4, true)), Some(LeaseChange::Taken(4)));
    assert_eq!(l.fence(Instant::now()), None);
    let mut l = held().await;
    advance(Duration::from_secs(8)).await;
    assert_eq!(join(&mut l, dealt(5, false)), Some(LeaseChange::Lost));
    assert_eq!(l.fence(Instant::now()), None);
    assert!(!l.is_held());
}

#[tokio::test(start_paused = true)]
async fn fence_counts_from_the_call_not_its_answer() {
    // The answer to a join that was under way during a freeze doesn't make the lease fresh.
    let mut l = held().await;
    let sent = Instant::now();
    advance(ORDER_WITHIN).await;
    l.apply_assignment(sent, Instant::now(), dealt(4, true));
    assert_eq!(l.fence(Instant::now()), None);
}

#[tokio::test(start_paused = true)]
async fn fence_rises_and_never_falls() {
    let mut l = held().await;
    join(&mut l, dealt(9, true));
    assert_eq!(l.fence(Instant::now()), Some(9));
    join(&mut l, dealt(7, true));
    assert_eq!(l.fence(Instant::now()), Some(9));
    assert_eq!(l.generation(), 9);
}

#[tokio::test(start_paused = true)]
async fn drop_it_ends_orders_at_once() {
    let mut l = held().await;
    l.release();
    assert_eq!(l.fence(Instant::now()), None);
}

#[tokio::test(start_paused = true)]
async fn fence_after_a_holder_that_resigned() {
    // It waits from the last order of the one before, not from its own start.
    let mut l = GroupLease::new(BETWEEN);
    let ordered = Instant::now();
    advance(Duration::from_secs(2)).await;
    join(&mut l, dealt(6, true));
    l.set_predecessor(Predecessor::Ordered(ordered));
    assert_eq!(l.fence(Instant::now()), None);
    advance(Duration::from_millis(900)).await;
    join(&mut l, dealt(6, true));
    advance(Duration::from_millis(200)).await;
    assert_eq!(l.fence(Instant::now()), Some(6));
}

#[tokio::test(start_paused = true)]
async fn fence_after_a_holder_that_gave_no_order() {
    let mut l = GroupLease::new(BETWEEN);
    join(&mut l, dealt(6, true));
    l.set_predecessor(Predecessor::Idle);
    assert_eq!(l.fence(Instant::now()), Some(6));
    // Another may have held it since: what is known of the one before counts no more.
    join(&mut l, dealt(7, false));
    join(&mut l, dealt(8, true));
    assert_eq!(l.fence(Instant::now()), None);
}

#[tokio::test(start_paused = true)]
async fn has_lapsed_without_a_word_from_the_platform() {
    let l = held().await;
    assert!(!l.has_lapsed(Instant::now()));
    advance(TTL).await;
    assert!(l.has_lapsed(Instant::now()));
}

#[tokio::test(start_paused = true)]
async fn last_order_of_a_holder_that_gave_none() {
    // What is known of the one before goes on to the next.
    let mut l = GroupLease::new(BETWEEN);
    let ordered = Instant::now();
    advance(Duration::from_secs(1)).await;
    let taken = Instant::now();
    join(&mut l, dealt(6, true));
    assert_eq!(l.last_order(), Some(taken), "nothing is known");
    l.set_predecessor(Predecessor::Ordered(ordered));
    assert_eq!(l.last_order(), Some(ordered));
    l.set_predecessor(Predecessor::Idle);
    assert_eq!(l.last_order(), None);
    l.record_order(taken);
    assert_eq!(l.last_order(), Some(taken));
}

#[tokio::test(start_paused = true)]
async fn fence_does_not_fall_where_the_store_came_back_from_a_copy() {
    // The group is an older one again, and its generation with it: whoever holds the lease next is above all before.
    let before = held().await.fence(Instant::now()).expect("it is held");
    let mut next = GroupLease::new(BETWEEN);
    let taken = join(&mut next, dealt_in(1, 2, true));
    let Some(LeaseChange::Taken(fence)) = taken else {
        panic!("{taken:?}");
    };
    assert!(fence > before, "{fence} after {before}");
}

#[tokio::test(start_paused = true)]
async fn dealt_the_holder_keeps_the_lease_over_a_return_from_a_copy() {
    let mut l = held().await;
    let before = l.fence(Instant::now()).expect("it is held");
    assert_eq!(join(&mut l, dealt_in(1, 2, true)), None);
    let after = l.fence(Instant::now()).expect("it goes on");
    assert!(after > before, "{after} after {before}");
    assert_eq!(l.generation(), 2, "the next join names what this era knows");
}

#[tokio::test(start_paused = true)]
async fn dealt_an_answer_from_before_the_return_is_void() {
    let mut l = GroupLease::new(BETWEEN);
    join(&mut l, dealt_in(1, 2, false));
    assert_eq!(join(&mut l, dealt_in(0, 9, true)), None);
    assert!(!l.is_held());
}

/// Guards against 13 seconds without orders after an outage of the store of six: nobody else can have held the lease in a term
/// that goes on.
#[tokio::test(start_paused = true)]
async fn fence_of_a_lease_that_lapsed_in_an_outage() {
    let mut l = held().await;
    let ordered = Instant::now();
    l.record_order(ordered);
    advance(Duration::from_secs(6)).await;
    l.suspend();
    assert_eq!(l.fence(Instant::now()), None);
    assert_eq!(join(&mut l, dealt(4, true)), Some(LeaseChange::Resumed(4)));
    assert_eq!(l.fence(Instant::now()), Some(4));
    assert_eq!(l.last_order(), Some(ordered));
}

#[tokio::test(start_paused = true)]
async fn fence_of_a_lease_that_lapsed_before_its_first_order() {
    // It still waits for the holder before it.
    let mut l = GroupLease::new(BETWEEN);
    join(&mut l, dealt(4, true));
    advance(Duration::from_secs(2)).await;
    l.suspend();
    assert_eq!(join(&mut l, dealt(4, true)), Some(LeaseChange::Resumed(4)));
    assert_eq!(l.fence(Instant::now()), None);
    advance(Duration::from_millis(1200)).await;
    join(&mut l, dealt(4, true));
    assert_eq!(l.fence(Instant::now()), Some(4));
}

#[tokio::test(start_paused = true)]
async fn fence_of_a_lease_that_lapsed_and_whose_term_ended() {
    for other in [dealt(5, true), dealt(5, false), dealt_in(1, 4, true)] {
        let mut l = held().await;
        advance(Duration::from_secs(6)).await;
        l.suspend();
        join(&mut l, other);
        assert_eq!(l.fence(Instant::now()), None, "{other:?}");
        // Nor does a later answer bring the former term back.
        join(&mut l, dealt(4, true));
        assert_eq!(l.fence(Instant::now()), None, "{other:?}");
    }
}
