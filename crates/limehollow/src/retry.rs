//! Decides whether a failed attempt is retried.
//!
//! Retries are limited by the verdict (a request that must not be repeated needs [`Verdict::NotRun`]), by a
//! budget that is a fraction of the traffic, so that an outage can't multiply the load, and by the deadline
//! (`docs/design/retries.md`).

use crate::verdict::{Failure, Verdict};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::time::Instant;

/// The amount that each request adds to the budget, in thousandths of a retry.
pub const DEPOSIT: u32 = 100;
/// The maximum balance of the budget, in thousandths of a retry.
pub const MAX_BALANCE: u32 = 20_000;
/// The maximum number of attempts for one request.
pub const MAX_ATTEMPTS: u32 = 4;
const RETRY_COST: u32 = 1000;
const BASE_PAUSE: Duration = Duration::from_millis(10);

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// The request may be repeated: it is idempotent, as a completion is.
    #[default]
    Allowed,
    /// The request has to run at most once.
    Never,
}

/// A retry budget that is a fraction of the traffic.
#[derive(Debug)]
pub struct RetryBudget {
    balance: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance: MAX_BALANCE / 2,
        }
    }
}

/// The decision after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry at another endpoint after this delay.
    Retry(Duration),
    /// Return this verdict to the caller.
    GiveUp(Verdict),
}

/// The attempts made so far for one request.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    /// Whether the request may run more than once.
    pub repeat: Repeat,
    /// The time after which the caller no longer waits for the answer.
    pub deadline: Instant,
    /// The number of attempts made.
    pub made: u32,
    /// The combined verdict of all attempts.
    pub verdict: Verdict,
}

impl Attempts {
    /// Creates the state of a request before its first attempt.
    #[must_use]
    pub fn new(repeat: Repeat, deadline: Instant) -> Self {
        Self {
            repeat,
            deadline,
            made: 0,
            verdict: Verdict::NotRun,
        }
    }
}

impl RetryBudget {
    /// Records a first attempt, which adds a fraction of a retry to the budget.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + DEPOSIT).min(MAX_BALANCE);
    }

    /// Decides what follows a failed attempt.
    ///
    /// `jitter` is a random number from 0 to 1 that spreads the delays of many gateways.
    pub fn after(
        &mut self,
        now: Instant,
        a: &mut Attempts,
        failure: Failure,
        jitter: f64,
    ) -> RetryDecision {
        a.made += 1;
        a.verdict = a.verdict.and(failure.verdict());
        let pause = BASE_PAUSE.mul_f64(f64::from(1_u32 << a.made.min(6)) * (0.5 + jitter / 2.0));
        let may_repeat = a.repeat == Repeat::Allowed || a.verdict == Verdict::NotRun;
        let in_time = failure != Failure::Deadline && now + pause < a.deadline;
        if !may_repeat || !in_time || a.made >= MAX_ATTEMPTS || self.balance < RETRY_COST {
            return RetryDecision::GiveUp(a.verdict);
        }
        self.balance -= RETRY_COST;
        RetryDecision::Retry(pause)
    }
}
