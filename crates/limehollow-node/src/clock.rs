//! The clock for ages and deadlines in this process: the runtime's clock plus the time for which the
//! machine was suspended.
//!
//! The monotonic clock that the runtime reads stops while the machine is suspended. After ten seconds of
//! suspension a renewal of the lease would still look 200 ms old although another VM holds the lease by
//! now. The system's boot clock continues meanwhile. All code that compares times in this process reads
//! [`Clock::now`], and all code that waits for a time waits with this clock.

use nix::time::{ClockId, clock_gettime};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{self, Instant};

/// The source of the time that was lost to suspensions.
#[derive(Debug)]
enum Source {
    /// The system's clocks. `ahead` is how far the boot clock was ahead of the monotonic clock at the
    /// start.
    System { ahead: Duration },
    /// A value that a test sets, in microseconds.
    Manual(AtomicU64),
}

/// The clock of one process.
#[derive(Debug)]
pub struct Clock {
    source: Source,
    /// The largest lost time found so far, in microseconds. A measurement that is interrupted between
    /// reading the two clocks finds less.
    lost: AtomicU64,
    /// The part of the lost time that was already reported, in microseconds.
    reported: AtomicU64,
    resumed: Notify,
}

/// The error of [`Clock::timeout_at`]: the time came first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Elapsed;

impl Clock {
    /// Creates the clock of a process, by the system's clocks.
    #[must_use]
    pub fn system() -> Self {
        Self::new(Source::System {
            ahead: boot_ahead().unwrap_or_default(),
        })
    }

    /// Creates a clock that loses time only when a test sets it.
    #[must_use]
    pub fn settable() -> Self {
        Self::new(Source::Manual(AtomicU64::new(0)))
    }

    fn new(source: Source) -> Self {
        Self {
            source,
            lost: AtomicU64::new(0),
            reported: AtomicU64::new(0),
            resumed: Notify::new(),
        }
    }

    /// Simulates a suspension of the machine. Has an effect only on a clock that a test sets.
    pub fn simulate_suspension(&self, time: Duration) {
        if let Source::Manual(lost) = &self.source {
            lost.fetch_add(micros(time), Ordering::Relaxed);
        }
    }

    /// Returns the current time, which continues while the machine is suspended.
    #[must_use]
    pub fn now(&self) -> Instant {
        Instant::now() + self.lost()
    }

    /// Returns how long the machine was suspended since the start.
    fn lost(&self) -> Duration {
        let found = match &self.source {
            Source::System { ahead } => {
                boot_ahead().map_or(0, |now| micros(now.saturating_sub(*ahead)))
            }
            Source::Manual(lost) => lost.load(Ordering::Relaxed),
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

    /// Waits for a future until a time.
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

    /// Returns the time that was lost since the last call, if it counts as a suspension. In that case,
    /// everything that waits with this clock recomputes its deadline.
    pub fn detect_suspension(&self) -> Option<Duration> {
        let lost = micros(self.lost());
        let reported = self.reported.load(Ordering::Relaxed);
        let more = Duration::from_micros(lost.saturating_sub(reported));
        if more < MIN_SUSPENSION {
            return None;
        }
        self.reported.store(lost, Ordering::Relaxed);
        self.resumed.notify_waiters();
        Some(more)
    }
}

/// The least time that counts as a suspension: small corrections of the clocks make them differ by less.
const MIN_SUSPENSION: Duration = Duration::from_millis(20);

/// Returns how far the boot clock is ahead of the monotonic clock, or `None` if the system has no boot
/// clock.
///
/// The monotonic clock is read last. If the process is interrupted between the two, the result is too
/// small, never too large.
fn boot_ahead() -> Option<Duration> {
    let boot = clock_gettime(ClockId::CLOCK_BOOTTIME).ok()?;
    let monotonic = clock_gettime(ClockId::CLOCK_MONOTONIC).ok()?;
    Some(Duration::from(boot).saturating_sub(Duration::from(monotonic)))
}

fn micros(d: Duration) -> u64 {
    u64::try_from(d.as_micros()).unwrap_or(u64::MAX)
}
