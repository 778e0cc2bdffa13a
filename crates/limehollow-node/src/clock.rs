//! The clock by which this process reckons ages: the runtime's, and the time for which the machine was suspended.
//!
//! A suspended machine stands still, and so does the steady clock that the runtime reads: ten seconds later a renewal of
//! the lease would still look 200 ms old, while another VM holds it by now. The system's boot clock goes on meanwhile. All
//! that compares times in this process reads [`Clock::now`]; what waits for a time waits with this clock, too.

use nix::time::{ClockId, clock_gettime};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{self, Instant};

/// Where the time that was lost is known from.
#[derive(Debug)]
enum Source {
    /// The system's clocks, and how far the boot clock was ahead of the steady one at the start.
    System { ahead: Duration },
    /// A test.
    Set(AtomicU64),
}

/// The clock of one process.
#[derive(Debug)]
pub struct Clock {
    source: Source,
    /// The most that was found to be lost, in microseconds: a reading that was held up between two clocks shows less.
    lost: AtomicU64,
    /// What of it was said, in microseconds.
    said: AtomicU64,
    resumed: Notify,
}

/// The time that a wait was given has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Elapsed;

impl Clock {
    /// Makes the clock of a process, by the system's clocks.
    #[must_use]
    pub fn system() -> Self {
        Self::new(Source::System {
            ahead: boot_ahead().unwrap_or_default(),
        })
    }

    /// Makes a clock that loses time only as a test says.
    #[must_use]
    pub fn settable() -> Self {
        Self::new(Source::Set(AtomicU64::new(0)))
    }

    fn new(source: Source) -> Self {
        Self {
            source,
            lost: AtomicU64::new(0),
            said: AtomicU64::new(0),
            resumed: Notify::new(),
        }
    }

    /// Lets the machine have been suspended for so long; only where a test sets the clock.
    pub fn simulate_suspension(&self, time: Duration) {
        if let Source::Set(lost) = &self.source {
            lost.fetch_add(micros(time), Ordering::Relaxed);
        }
    }

    /// Gives the time now. It goes on while the machine is suspended.
    #[must_use]
    pub fn now(&self) -> Instant {
        Instant::now() + self.lost()
    }

    /// Gives for how long the machine was suspended since the start.
    fn lost(&self) -> Duration {
        let found = match &self.source {
            Source::System { ahead } => {
                boot_ahead().map_or(0, |now| micros(now.saturating_sub(*ahead)))
            }
            Source::Set(lost) => lost.load(Ordering::Relaxed),
        };
        let before = self.lost.fetch_max(found, Ordering::Relaxed);
        Duration::from_micros(found.max(before))
    }

    /// Waits until a time.
    pub async fn sleep_until(&self, at: Instant) {
        loop {
            let resumed = self.resumed.notified();
            let left = at.saturating_duration_since(self.now());
            if left.is_zero() {
                return;
            }
            tokio::select! {
                () = time::sleep(left) => {}
                () = resumed => {}
            }
        }
    }

    /// Waits for something until a time.
    ///
    /// # Errors
    ///
    /// [`Elapsed`] if the time comes first.
    pub async fn timeout_at<F>(&self, at: Instant, f: F) -> Result<F::Output, Elapsed>
    where
        F: Future,
    {
        tokio::select! {
            biased;
            out = f => Ok(out),
            () = self.sleep_until(at) => Err(Elapsed),
        }
    }

    /// Looks whether time was lost since the last look; if so, all that waits with this clock reckons anew. Gives how much
    /// it was.
    pub fn detect_suspension(&self) -> Option<Duration> {
        let lost = micros(self.lost());
        let said = self.said.load(Ordering::Relaxed);
        let more = Duration::from_micros(lost.saturating_sub(said));
        if more < NOTICED {
            return None;
        }
        self.said.store(lost, Ordering::Relaxed);
        self.resumed.notify_waiters();
        Some(more)
    }
}

/// What counts as a suspension: clocks that are corrected a little differ by less.
const NOTICED: Duration = Duration::from_millis(20);

/// Gives how far the boot clock is ahead of the steady one; none where the system has no such clock.
///
/// The steady clock is read last: held up between the two, the result is too small, never too large.
fn boot_ahead() -> Option<Duration> {
    let boot = clock_gettime(ClockId::CLOCK_BOOTTIME).ok()?;
    let steady = clock_gettime(ClockId::CLOCK_MONOTONIC).ok()?;
    Some(Duration::from(boot).saturating_sub(Duration::from(steady)))
}

fn micros(d: Duration) -> u64 {
    u64::try_from(d.as_micros()).unwrap_or(u64::MAX)
}
