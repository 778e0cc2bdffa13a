//! Whether a failed attempt is tried again.
//!
//! Three things bound retries: the verdict (a request that may not be repeated needs
//! [`Verdict::NotRun`]), a budget that is a share of the traffic, so that an outage can't multiply
//! the load, and the deadline (`docs/design/retries.md`).

use crate::verdict::{Failure, Verdict};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::time::Instant;

/// What each request adds to the budget, in thousandths of a retry.
pub const DEPOSIT: u32 = 100;
/// The most that the budget can hold, in thousandths of a retry.
pub const MAX_BALANCE: u32 = 20_000;
/// The most attempts at one request.
pub const MAX_ATTEMPTS: u32 = 4;
const RETRY_COST: u32 = 1000;
const BASE_PAUSE: Duration = Duration::from_millis(10);

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// It is idempotent, as a completion is.
    #[default]
    Allowed,
    /// It runs at most once.
    Never,
}

/// The retries that the traffic has paid for.
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

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try another endpoint after this pause.
    Retry(Duration),
    /// Give the caller this verdict now.
    GiveUp(Verdict),
}

/// A request's attempts so far.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    /// Whether it may run more than once.
    pub repeat: Repeat,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// How many attempts were made.
    pub made: u32,
    /// What is known from all of them.
    pub verdict: Verdict,
}

impl Attempts {
    /// Starts with no attempt made.
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
    /// Notes a first attempt, which pays for a share of a retry.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + DEPOSIT).min(MAX_BALANCE);
    }

    /// Decides what follows a failed attempt.
    ///
    /// `jitter` is a random number from 0 to 1 that spreads the pauses of many gateways.
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
