//! Whether a VM takes another request, by how long its own tasks wait for their turn.
//!
//! A VM that gets more than it bears must not take in everything: then all is late, callers leave, and what it has done for them
//! is lost. So it measures for how long a task that could go on waits for the processor. While that is short all requests are let
//! in, while it is long none; between, the most urgent first. What runs already goes on, so the wait shows soon whether there is
//! room again.
//!
//! What counts is the less of two waits in a row. One alone may be a machine that stood still, or a processor that is shared by
//! quota and gives nothing for the rest of a tenth of a second (`docs/design/overload.md`).
//!
//! ```
//! use limehollow::overload::Overload;
//! use std::time::Duration;
//! use tokio::time::Instant;
//!
//! let now = Instant::now();
//! let mut overload = Overload::new(now);
//! assert!(overload.admit(now, 0).is_ok());
//! overload.note_wait(now, Duration::from_millis(300));
//! assert!(overload.admit(now, 0).is_ok());
//! overload.note_wait(now, Duration::from_millis(200));
//! assert!(overload.admit(now, 0).is_err());
//! ```

use std::time::Duration;
use tokio::time::Instant;

/// How often the wait is measured.
pub const MEASURE_EVERY: Duration = Duration::from_millis(20);
/// The wait up to which requests of all ranks are let in: a VM of an eighth of a core takes some ms for a single one.
const SHORT_WAIT: Duration = Duration::from_millis(20);
/// By how much longer the wait may be for each rank that is more urgent.
const RANK_STEP: Duration = Duration::from_millis(10);
/// The ranks that are told apart; all after them are as urgent as the last.
const RANKS: u8 = 4;
/// How many are let in at most between two measurements while somebody is refused: so many times what is let in on average, and
/// some. What they cost shows only in the next one.
const AT_ONCE: f64 = 1.5;
const SOME: f64 = 1.0;
/// The weight of a new sample in that average.
const SMOOTHING: f64 = 0.05;
/// Over how long callers are counted to say when those that are refused may come back.
const COUNTED_FOR: Duration = Duration::from_secs(1);
/// When they may at the earliest and at the latest.
const RETURN: (Duration, Duration) = (Duration::from_millis(1000), Duration::from_secs(5));
/// After how long without a refusal the overload has ended.
const CALM_FOR: Duration = Duration::from_secs(3);

/// A change that is worth a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverloadChange {
    /// This VM begins to refuse requests for its own sake.
    Begins,
    /// It takes all again, after so many refusals.
    Ends(u64),
}

/// Callers that asked since a moment.
#[derive(Clone, Copy, Debug)]
struct Asked {
    since: Instant,
    admitted: u32,
    refused: u32,
}

/// What a VM knows of its own load.
#[derive(Clone, Copy, Debug)]
pub struct Overload {
    /// The last two waits, and when the last one ended.
    waits: [Duration; 2],
    measured: Instant,
    /// How many were let in since, and on average between two measurements.
    let_in: u32,
    usual: f64,
    asked: Asked,
    /// How many asked for each that was let in, when that was counted last.
    asked_for_each: f64,
    /// When somebody was refused last, and how many were since it began; none while nobody is.
    refusing: Option<(Instant, u64)>,
}

impl Overload {
    /// Makes the state of a VM that has nothing to do.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            waits: [Duration::ZERO; 2],
            measured: now,
            let_in: 0,
            usual: 0.0,
            asked: Asked {
                since: now,
                admitted: 0,
                refused: 0,
            },
            asked_for_each: 1.0,
            refusing: None,
        }
    }

    /// Gives how long tasks wait for their turn. The task that measures may itself be waiting for longer than ever before.
    #[must_use]
    pub fn wait(&self, now: Instant) -> Duration {
        let [before, last] = self.waits;
        let pending = now
            .saturating_duration_since(self.measured)
            .saturating_sub(MEASURE_EVERY);
        last.min(before.max(pending))
    }

    /// Lets a request of a rank in, 0 being the most urgent.
    ///
    /// # Errors
    ///
    /// When its caller may come back, if there is too much to do.
    pub fn admit(&mut self, now: Instant, rank: u8) -> Result<(), Duration> {
        self.count(now);
        let ranks_below = RANKS - 1 - rank.min(RANKS - 1);
        let is_soon = self.wait(now) <= SHORT_WAIT + RANK_STEP * u32::from(ranks_below);
        let most = self.usual * AT_ONCE + SOME;
        let is_few = self.refusing.is_none() || f64::from(self.let_in) < most;
        if is_soon && is_few {
            self.asked.admitted += 1;
            self.let_in += 1;
            return Ok(());
        }
        self.asked.refused += 1;
        let (_, refused) = self.refusing.unwrap_or((now, 0));
        self.refusing = Some((now, refused + 1));
        Err(self.return_after())
    }

    /// Takes in for how long a task waited that could go on.
    pub fn note_wait(&mut self, now: Instant, wait: Duration) -> Option<OverloadChange> {
        let [before, last] = self.waits;
        let was_short = before.min(last) <= SHORT_WAIT;
        self.waits = [last, wait];
        self.measured = now;
        self.usual += (f64::from(self.let_in) - self.usual) * SMOOTHING;
        self.let_in = 0;
        match self.refusing {
            None if was_short && last.min(wait) > SHORT_WAIT => {
                self.refusing = Some((now, 0));
                Some(OverloadChange::Begins)
            }
            Some((last, refused)) if now.saturating_duration_since(last) >= CALM_FOR => {
                self.refusing = None;
                Some(OverloadChange::Ends(refused))
            }
            _ => None,
        }
    }

    fn count(&mut self, now: Instant) {
        if now.saturating_duration_since(self.asked.since) < COUNTED_FOR {
            return;
        }
        let (admitted, refused) = (self.asked.admitted, self.asked.refused);
        self.asked_for_each = f64::from(admitted + refused) / f64::from(admitted.max(1));
        self.asked = Asked {
            since: now,
            admitted: 0,
            refused: 0,
        };
    }

    /// Gives when a refused caller may come back: the more ask for each that is let in, the later.
    fn return_after(&self) -> Duration {
        let (earliest, latest) = RETURN;
        earliest
            .mul_f64(self.asked_for_each.clamp(1.0, 100.0))
            .min(latest)
    }
}
