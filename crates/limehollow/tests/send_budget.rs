//! Tests of the send budget: the total stays within the rate, and urgent datagrams have priority.

use limehollow::send_budget::{SendBudget, Urgency};
use std::time::Duration;
use tokio::time::Instant;

const RATE: f64 = 100_000.0;
const DATAGRAM: usize = 800;
const STEP: Duration = Duration::from_millis(1);

/// Tries to send `copies` datagrams of each urgency every ms, and returns the bytes sent of each within `seconds`.
fn flood(per_step: &[(Urgency, usize)], seconds: u32) -> Vec<usize> {
    let began = Instant::now();
    let mut budget = SendBudget::new(began, RATE);
    let mut sent = vec![0; per_step.len()];
    for i in 0..seconds * 1000 {
        let now = began + STEP * i;
        for (sum, (urgency, copies)) in sent.iter_mut().zip(per_step) {
            let accepted = (0..*copies).filter(|_| budget.try_spend(now, DATAGRAM, *urgency));
            *sum += accepted.count() * DATAGRAM;
        }
    }
    sent
}

#[test]
fn try_spend_total_stays_within_the_rate() {
    for copies in [1, 10, 100] {
        let all = [
            (Urgency::Relayed, copies),
            (Urgency::Periodic, copies),
            (Urgency::Change, copies),
            (Urgency::Answer, copies),
        ];
        let sent: usize = flood(&all, 10).iter().sum();
        // The savings at the beginning come on top.
        let most = 10.0 * RATE + RATE / 2.0 + 1.0;
        #[expect(clippy::cast_precision_loss, reason = "tests count little")]
        let sent = sent as f64;
        assert!(sent <= most, "{sent} with {copies} copies");
        assert!(sent >= 0.9 * most, "{sent} with {copies} copies");
    }
}

#[test]
fn try_spend_leaves_room_for_answers_in_a_flood() {
    let began = Instant::now();
    let mut budget = SendBudget::new(began, RATE);
    for i in 0..2000 {
        let now = began + STEP * i;
        while budget.try_spend(now, DATAGRAM, Urgency::Change) {}
        if i % 80 == 0 {
            assert!(
                budget.try_spend(now, DATAGRAM, Urgency::Answer),
                "after {i} ms"
            );
        }
    }
}

#[test]
fn set_rate_drops_savings_above_the_new_maximum() {
    let now = Instant::now();
    let mut budget = SendBudget::new(now, RATE);
    budget.set_rate(now, RATE / 100.0);
    assert!(!budget.try_spend(now, DATAGRAM, Urgency::Answer));
    assert!(budget.try_spend(now + Duration::from_secs(1), 400, Urgency::Answer));
}
