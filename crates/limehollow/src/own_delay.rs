//! Measures how late a VM's own tasks get their turn.
//!
//! A VM that is short of processor time reads answers late, and would take its own delay for that of endpoints. A probe waits
//! for a time again and again; how much later it gets its turn is the delay of all tasks of its thread. A process that is
//! stopped, or whose share of the processor is spent, is late as well (`docs/design/own-delay.md`).
//!
//! ```
//! use limehollow::own_delay::{OwnDelay, PROBE_INTERVAL};
//! use std::time::Duration;
//! use tokio::time::Instant;
//!
//! let start = Instant::now();
//! let mut delay = OwnDelay::default();
//! delay.wait_until(start + PROBE_INTERVAL);
//! let turn = start + PROBE_INTERVAL + Duration::from_millis(80);
//! assert_eq!(delay.record_turn(turn, 1.0), Duration::from_millis(80));
//! // One late turn may be a pause. Delay that stands is late at each turn.
//! assert_eq!(delay.standing(), Duration::ZERO);
//! ```

use std::time::Duration;
use tokio::time::Instant;

/// How long the probe waits from turn to turn.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(25);
/// The delay of a VM that isn't short of processor time: some tasks before this one, and the gaps of a slow core.
pub const TOLERATED: Duration = Duration::from_millis(20);
/// The share of the time since its last turn for which the thread has had work, from which a late turn shows load. A thread
/// that was late and idle was kept from running, as by a processor that it shares.
const LOADED_FROM: f64 = 0.6;
/// The number of turns in a row that are late if delay stands. Together they are longer than the tenth of a second after
/// which a process gets its share of the processor again.
const STANDING_TURNS: usize = 4;

/// How late the tasks of one thread get their turn.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnDelay {
    /// The time for which the probe waits, if it does.
    due: Option<Instant>,
    /// The delay of the last turn.
    last: Duration,
    /// The delays of the last turns that load caused, the newest first.
    turns: [Duration; STANDING_TURNS],
    /// The sum of all delays beyond what is tolerated.
    late: Duration,
}

/// Queries.
impl OwnDelay {
    /// Returns the delay of a task that has its turn now: that of the last turn of the probe, or more if the probe waits for
    /// its turn.
    #[must_use]
    pub fn current(&self, now: Instant) -> Duration {
        self.last.max(self.overdue(now))
    }

    /// Returns the delay by load that all of the last turns had, so that a pause isn't taken for load.
    #[must_use]
    pub fn standing(&self) -> Duration {
        self.turns.iter().copied().min().unwrap_or_default()
    }

    /// Returns the mean delay by load of the last turns.
    #[must_use]
    pub fn mean(&self) -> Duration {
        let turns = u32::try_from(STANDING_TURNS).unwrap_or(u32::MAX);
        self.turns.iter().sum::<Duration>() / turns
    }

    /// Returns the time by which tasks were late so far, beyond what is tolerated. It grows while they are; the difference of
    /// two values is the part of the time between that the VM itself has caused.
    #[must_use]
    pub fn late(&self, now: Instant) -> Duration {
        self.late + self.overdue(now).saturating_sub(TOLERATED)
    }

    /// Returns the time for which the probe waits, if it does.
    #[must_use]
    pub fn due(&self) -> Option<Instant> {
        self.due
    }

    /// Returns for how long the probe has waited for its turn.
    #[must_use]
    pub fn overdue(&self, now: Instant) -> Duration {
        self.due
            .map_or(Duration::ZERO, |due| now.saturating_duration_since(due))
    }
}

/// Commands.
impl OwnDelay {
    /// Records that the probe waits until `due`.
    pub fn wait_until(&mut self, due: Instant) {
        self.due = Some(due);
    }

    /// Records that the probe got its turn, and the share of the time since its last one for which the thread has had work.
    /// Returns by how much it was late.
    pub fn record_turn(&mut self, now: Instant, busy_share: f64) -> Duration {
        let delay = self.overdue(now);
        self.due = None;
        self.turns.rotate_right(1);
        self.turns[0] = if busy_share >= LOADED_FROM {
            delay
        } else {
            Duration::ZERO
        };
        self.last = delay;
        self.late += delay.saturating_sub(TOLERATED);
        delay
    }

    /// Records that the probe rests, since the VM has nothing to do.
    pub fn rest(&mut self) {
        self.due = None;
        self.last = Duration::ZERO;
        self.turns = [Duration::ZERO; STANDING_TURNS];
    }
}
