//! Measures how late this VM's tasks get their turn, while it has something to do.

use crate::edge::Protocol;
use crate::relay::millis;
use crate::site::Site;
use limehollow::own_delay::{OwnDelay, PROBE_INTERVAL, TOLERATED};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The number of turns of the probe after the last sign of work: a VM without callers needs no wake-ups.
const TURNS_AFTER_WORK: u32 = 20;

/// Whether this VM has had something to do lately.
#[derive(Debug, Default)]
pub struct RecentWork {
    is_recent: AtomicBool,
    began: Notify,
}

impl RecentWork {
    /// Records that this VM does something for a caller.
    pub(crate) fn record(&self) {
        if !self.is_recent.swap(true, Ordering::Relaxed) {
            self.began.notify_one();
        }
    }

    fn take(&self) -> bool {
        self.is_recent.swap(false, Ordering::Relaxed)
    }
}

/// Measures the delay of this VM's tasks for as long as the process lives.
pub async fn measure<P>(site: Arc<Site<P>>)
where
    P: Protocol,
{
    let mut late_since = None;
    loop {
        site.recent_work.began.notified().await;
        let mut busy = BusyTime::read(site.now());
        let mut left = TURNS_AFTER_WORK;
        while left > 0 {
            let due = site.now() + PROBE_INTERVAL;
            site.view().balance.own_delay.wait_until(due);
            site.clock.sleep_until(due).await;
            record_turn(&site, busy.advance(site.now()), &mut late_since);
            left = if site.recent_work.take() {
                TURNS_AFTER_WORK
            } else {
                left - 1
            };
        }
        site.view().balance.own_delay.rest();
    }
}

/// The time for which the thread of this VM's tasks has had work.
struct BusyTime {
    at: Instant,
    busy: Duration,
}

impl BusyTime {
    fn read(now: Instant) -> Self {
        Self {
            at: now,
            // All tasks run on one thread.
            busy: Handle::current().metrics().worker_total_busy_duration(0),
        }
    }

    /// Returns the share of the time since the last call for which the thread has had work.
    fn advance(&mut self, now: Instant) -> f64 {
        let before = std::mem::replace(self, Self::read(now));
        let time = self.at.duration_since(before.at).as_secs_f64();
        let busy = self.busy.saturating_sub(before.busy).as_secs_f64();
        if time > 0.0 { busy / time } else { 0.0 }
    }
}

fn record_turn<P>(site: &Site<P>, busy_share: f64, late_since: &mut Option<Instant>)
where
    P: Protocol,
{
    let now = site.now();
    let mut view = site.view();
    let delay = view.balance.own_delay.record_turn(now, busy_share);
    let standing = view.balance.own_delay.standing();
    drop(view);
    site.metrics.own_delay.observe(delay.as_secs_f64());
    match *late_since {
        None if standing > TOLERATED => {
            *late_since = Some(now);
            let ms = millis(standing);
            tracing::warn!(
                own_delay_ms = ms,
                busy_share,
                "tasks of this VM wait for the processor"
            );
        }
        Some(since) if standing.is_zero() => {
            *late_since = None;
            let lasted_ms = millis(now.saturating_duration_since(since));
            tracing::info!(
                lasted_ms,
                "tasks of this VM get the processor in time again"
            );
        }
        _ => {}
    }
}

/// Returns how late a task of this VM is that has its turn now, in ms, for a log line.
pub(crate) fn current_ms(delay: &OwnDelay, now: Instant) -> u64 {
    millis(delay.current(now))
}
