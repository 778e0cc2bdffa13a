//! Which idle connection of callers is told to close.

use limehollow_node::clock::Clock;
use limehollow_node::connections::{Connections, Idle, OpenConnection};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

const MIN: Duration = Duration::from_secs(3);

/// Returns whether a connection is told to close, and in which way it is idle.
async fn told(c: &OpenConnection) -> Option<Idle> {
    timeout(Duration::ZERO, c.told_to_close()).await.ok()
}

#[tokio::test(start_paused = true)]
async fn close_one_takes_the_longest_idle() {
    let table = Connections::default();
    let began = Instant::now();
    let first = table.add(began);
    let second = table.add(began + MIN);
    assert!(!table.close_one(Idle::New, began + MIN / 2, MIN));
    assert!(table.close_one(Idle::New, began + MIN, MIN));
    assert!(!table.close_one(Idle::New, began + MIN, MIN));
    assert!(!table.close_one(Idle::AtRest, began + 2 * MIN, MIN));
    assert_eq!(told(&first).await, Some(Idle::New));
    assert_eq!(told(&second).await, None);
}

#[tokio::test(start_paused = true)]
async fn close_one_leaves_connections_with_a_request() {
    let table = Connections::default();
    let clock = Arc::new(Clock::system());
    let c = table.add(clock.now());
    let busy = c.begin_request(Arc::clone(&clock));
    let later = clock.now() + 2 * MIN;
    assert!(!table.close_one(Idle::New, later, MIN));
    assert!(!table.close_one(Idle::AtRest, later, MIN));
    drop(busy);
    assert!(table.close_one(Idle::AtRest, clock.now() + 2 * MIN, MIN));
    assert_eq!(told(&c).await, Some(Idle::AtRest));
}

/// Guards against cutting a request that began just as its connection was told to close.
#[tokio::test(start_paused = true)]
async fn told_to_close_is_void_once_a_request_has_begun() {
    let table = Connections::default();
    let clock = Arc::new(Clock::system());
    let c = table.add(clock.now());
    assert!(table.close_one(Idle::New, clock.now() + MIN, MIN));
    let _busy = c.begin_request(clock);
    assert_eq!(told(&c).await, None);
}

#[tokio::test(start_paused = true)]
async fn drop_removes_a_connection() {
    let table = Connections::default();
    let now = Instant::now();
    drop(table.add(now));
    assert!(!table.close_one(Idle::New, now + MIN, MIN));
}
