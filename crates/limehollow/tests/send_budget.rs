//! What VMs say to each other stays within a budget, and the most urgent goes first.

use limehollow::send_budget::{SendBudget, Urgency};
use std::time::Duration;
use tokio::time::Instant;

const RATE: f64 = 100_000.0;
const DATAGRAM: usize = 800;
const STEP: Duration = Duration::from_millis(1);

/// Asks for as much as a sender would like, each ms, and gives the bytes of each urgency that went in so many seconds.
fn flood(per_step: &[(Urgency, usize)], seconds: u32) -> Vec<usize> {
    let began = Instant::now();
    let mut budget = SendBudget::new(began, RATE);
    let mut went = vec![0; per_step.len()];
    for i in 0..seconds * 1000 {
        let now = began + STEP * i;
        for (sum, (urgency, copies)) in went.iter_mut().zip(per_step) {
            let taken = (0..*copies).filter(|_| budget.try_spend(now, DATAGRAM, *urgency));
            *sum += taken.count() * DATAGRAM;
        }
    }
    went
}

#[test]
fn take_sum_stays_within_the_rate() {
    for copies in [1, 10, 100] {
        let all = [
            (Urgency::Relayed, copies),
            (Urgency::Periodic, copies),
            (Urgency::Change, copies),
            (Urgency::Answer, copies),
        ];
        let went: usize = flood(&all, 10).iter().sum();
        // What was saved at the beginning comes on top.
        let most = 10.0 * RATE + RATE / 2.0 + 1.0;
        #[expect(clippy::cast_precision_loss, reason = "tests count little")]
        let went = went as f64;
        assert!(went <= most, "{went} with {copies} copies");
        assert!(went >= 0.9 * most, "{went} with {copies} copies");
    }
}

#[test]
fn take_answers_go_before_a_flood_of_all_else() {
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
fn set_rate_takes_back_what_was_saved_above_it() {
    let now = Instant::now();
    let mut budget = SendBudget::new(now, RATE);
    budget.set_rate(now, RATE / 100.0);
    assert!(!budget.try_spend(now, DATAGRAM, Urgency::Answer));
    assert!(budget.try_spend(now + Duration::from_secs(1), 400, Urgency::Answer));
}
