//! The budget for repeats that all gateways share.

use limehollow::retry_window::{RepeatAllowance, RepeatWindow};
use std::time::Duration;
use tokio::time::{Instant, advance};

const RULES: RepeatAllowance = RepeatAllowance {
    ratio: 0.2,
    slack: 50.0,
    window: Duration::from_secs(10),
};

fn take_all(w: &mut RepeatWindow, gateways: usize) -> usize {
    (0..1000)
        .take_while(|_| w.acquire(Instant::now(), RULES, gateways))
        .count()
}

#[test]
fn take_gateways_share_the_slack() {
    // All of them together stay below what the site allows, whatever each knows of the others.
    let together: usize = (0..10)
        .map(|_| take_all(&mut RepeatWindow::default(), 10))
        .sum();
    assert!(together > 0 && together <= 50, "{together}");
}

#[test]
fn take_grows_with_requests() {
    let mut w = RepeatWindow::default();
    for _ in 0..100 {
        w.request(Instant::now());
    }
    let taken = take_all(&mut w, 10);
    assert!((15..=25).contains(&taken), "{taken}");
}

#[tokio::test(start_paused = true)]
async fn take_window_slides() {
    let mut w = RepeatWindow::default();
    let first = take_all(&mut w, 1);
    assert_eq!(take_all(&mut w, 1), 0);
    advance(RULES.window / 2).await;
    assert_eq!(take_all(&mut w, 1), 0);
    advance(RULES.window).await;
    assert_eq!(take_all(&mut w, 1), first);
}

#[test]
fn has_takes_nothing() {
    let mut w = RepeatWindow::default();
    assert!(w.has_budget(Instant::now(), RULES, 1));
    let taken = take_all(&mut w, 1);
    assert!(!w.has_budget(Instant::now(), RULES, 1));
    assert_eq!(take_all(&mut RepeatWindow::default(), 1), taken);
}
