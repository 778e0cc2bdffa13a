//! Tests that loads from the weight store never exceed its rate limit, whenever they were planned.

mod site;

use limehollow::load_window::LoadWindow;
use site::{CEILING, engine};
use std::time::Duration;
use tokio::time::{Instant, advance};

/// Two loads per second over five seconds plus three, less two for late orders.
const ALLOWED: usize = 11;

#[tokio::test(start_paused = true)]
async fn try_begin_for_delayed_orders() {
    // Each plan chooses the maximum number of loads every five seconds, and each order waits up to five seconds
    // for an unload. When loads were counted only at planning time, the orders of two plans fell into one
    // window: 22.
    let spec = engine(2);
    let mut w = LoadWindow::default();
    let mut waiting: Vec<Instant> = Vec::new();
    let mut begun: Vec<Instant> = Vec::new();
    for tenth in 0_u64..300 {
        let now = Instant::now();
        if tenth.is_multiple_of(50) {
            let late = |i: u64| now + Duration::from_millis(4900 - (tenth / 50 % 2) * 4800 + i);
            waiting.extend((0..ALLOWED as u64).map(late));
        }
        waiting.retain(|due| {
            let begins = *due <= now && w.try_begin(now, &spec, CEILING);
            begun.extend(begins.then_some(now));
            !begins
        });
        let recent = |t: &&Instant| now.duration_since(**t) <= CEILING.window;
        assert!(begun.iter().filter(recent).count() <= ALLOWED);
        advance(Duration::from_millis(100)).await;
    }
    assert!(
        begun.len() >= ALLOWED * 4,
        "no load is delayed forever: {}",
        begun.len()
    );
}

#[tokio::test(start_paused = true)]
async fn assume_full_after_a_change_of_holder() {
    let spec = engine(2);
    let mut w = LoadWindow::default();
    let began = Instant::now();
    advance(Duration::from_secs(3)).await;
    w.assume_full(began, &spec, CEILING);
    assert_eq!(w.left(Instant::now(), &spec, CEILING), 0);
    advance(Duration::from_millis(2100)).await;
    assert_eq!(w.left(Instant::now(), &spec, CEILING), ALLOWED);
}
