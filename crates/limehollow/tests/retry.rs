//! Tests the decision after a failed attempt.

use limehollow::retry::{Attempts, MAX_ATTEMPTS, Repeat, RetryBudget, RetryDecision};
use limehollow::verdict::{Failure, Verdict};
use std::time::Duration;
use tokio::time::Instant;

fn attempts(repeat: Repeat) -> Attempts {
    Attempts::new(repeat, Instant::now() + Duration::from_secs(10))
}

fn is_retry(n: RetryDecision) -> bool {
    matches!(n, RetryDecision::Retry(_))
}

#[test]
fn after_by_verdict() {
    use Failure::{Broken, Connect, Deadline, Refused, ServerError};
    use Repeat::{Allowed, Never};
    let cases = [
        (Allowed, Connect, true),
        (Allowed, Refused, true),
        (Allowed, Broken, true),
        (Allowed, ServerError, true),
        (Allowed, Deadline, false),
        (Never, Connect, true),
        (Never, Refused, true),
        (Never, Broken, false),
        (Never, ServerError, false),
        (Never, Deadline, false),
    ];
    for (repeat, failure, retried) in cases {
        let mut a = attempts(repeat);
        let next = RetryBudget::default().after(Instant::now(), &mut a, failure, 0.5);
        assert_eq!(is_retry(next), retried, "{repeat:?} after {failure:?}");
    }
}

#[test]
fn after_combines_verdicts() {
    // A request that may have run keeps this verdict, whatever later attempts return.
    let mut a = attempts(Repeat::Allowed);
    let (mut b, now) = (RetryBudget::default(), Instant::now());
    b.after(now, &mut a, Failure::Broken, 0.5);
    b.after(now, &mut a, Failure::Connect, 0.5);
    assert_eq!(a.verdict, Verdict::MayHaveRun);
}

#[test]
fn after_of_a_request_that_must_not_be_repeated() {
    let mut a = attempts(Repeat::Never);
    let (mut b, now) = (RetryBudget::default(), Instant::now());
    assert!(is_retry(b.after(now, &mut a, Failure::Refused, 0.5)));
    assert_eq!(
        b.after(now, &mut a, Failure::Broken, 0.5),
        RetryDecision::GiveUp(Verdict::MayHaveRun)
    );
}

#[test]
fn after_attempts_bounded() {
    let mut a = attempts(Repeat::Allowed);
    let (mut b, now) = (RetryBudget::default(), Instant::now());
    let made = (0..100)
        .take_while(|_| is_retry(b.after(now, &mut a, Failure::Connect, 0.5)))
        .count();
    assert_eq!(made + 1, MAX_ATTEMPTS as usize);
}

#[test]
fn after_past_deadline() {
    let now = Instant::now();
    let mut a = Attempts::new(Repeat::Allowed, now + Duration::from_millis(5));
    let next = RetryBudget::default().after(now, &mut a, Failure::Connect, 0.5);
    assert_eq!(next, RetryDecision::GiveUp(Verdict::NotRun));
}

#[test]
fn budget_in_outage() {
    // If all attempts fail, the endpoints receive the traffic plus a tenth of it, not four times the traffic.
    let (mut b, now) = (RetryBudget::default(), Instant::now());
    let requests = 10_000;
    let mut sent = 0;
    for _ in 0..requests {
        b.deposit();
        let mut a = attempts(Repeat::Allowed);
        sent += 1;
        while is_retry(b.after(now, &mut a, Failure::Connect, 0.5)) {
            sent += 1;
        }
    }
    assert!(
        sent <= requests * 11 / 10 + 20,
        "{sent} attempts for {requests} requests"
    );
}
