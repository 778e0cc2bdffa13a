//! Tests the budget for repeats that all gateways share.

use limehollow::retry_window::{RepeatAllowance, RepeatWindow};
use std::time::Duration;
use tokio::time::{Instant, advance};

const RULES: RepeatAllowance = RepeatAllowance {
    ratio: 0.2,
    slack: 50.0,
    window: Duration::from_secs(10),
};

fn acquire_all(w: &mut RepeatWindow, gateways: usize) -> usize {
    (0..1000)
        .take_while(|_| w.acquire(Instant::now(), RULES, gateways))
        .count()
}

#[test]
fn acquire_shares_the_slack_between_gateways() {
    // The sum over all gateways stays below the site's allowance without coordination.
    let together: usize = (0..10)
        .map(|_| acquire_all(&mut RepeatWindow::default(), 10))
        .sum();
    assert!(together > 0 && together <= 50, "{together}");
}

#[test]
fn acquire_grows_with_requests() {
    let mut w = RepeatWindow::default();
    for _ in 0..100 {
        w.request(Instant::now());
    }
    let acquired = acquire_all(&mut w, 10);
    assert!((15..=25).contains(&acquired), "{acquired}");
}

#[tokio::test(start_paused = true)]
async fn acquire_within_a_sliding_window() {
    let mut w = RepeatWindow::default();
    let first = acquire_all(&mut w, 1);
    assert_eq!(acquire_all(&mut w, 1), 0);
    advance(RULES.window / 2).await;
    assert_eq!(acquire_all(&mut w, 1), 0);
    advance(RULES.window).await;
    assert_eq!(acquire_all(&mut w, 1), first);
}

#[test]
fn has_budget_acquires_nothing() {
    let mut w = RepeatWindow::default();
    assert!(w.has_budget(Instant::now(), RULES, 1));
    let acquired = acquire_all(&mut w, 1);
    assert!(!w.has_budget(Instant::now(), RULES, 1));
    assert_eq!(acquire_all(&mut RepeatWindow::default(), 1), acquired);
}
