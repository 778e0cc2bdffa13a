//! Measures how late this VM's tasks get their turn, while it has something to do.

use crate::edge::Protocol;
use crate::relay::millis;
use crate::site::Site;
use limehollow::own_delay::{OwnDelay, PROBE_INTERVAL, TOLERATED};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
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
        let mut left = TURNS_AFTER_WORK;
        while left > 0 {
            let due = site.now() + PROBE_INTERVAL;
            site.view().balance.own_delay.wait_until(due);
            site.clock.sleep_until(due).await;
            record_turn(&site, &mut late_since);
            left = if site.recent_work.take() {
                TURNS_AFTER_WORK
            } else {
                left - 1
            };
        }
        site.view().balance.own_delay.rest();
    }
}

fn record_turn<P>(site: &Site<P>, late_since: &mut Option<Instant>)
where
    P: Protocol,
{
    let now = site.now();
    let mut view = site.view();
    let delay = view.balance.own_delay.record_turn(now);
    let standing = view.balance.own_delay.standing();
    drop(view);
    site.metrics.own_delay.observe(delay.as_secs_f64());
    match *late_since {
        None if standing > TOLERATED => {
            *late_since = Some(now);
            let ms = millis(standing);
            tracing::warn!(own_delay_ms = ms, "tasks of this VM wait for the processor");
        }
        Some(since) if standing.is_zero() || delay <= TOLERATED => {
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
