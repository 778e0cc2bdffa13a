//! What this VM measures of its own load, and whom it refuses for it ([`limehollow::overload`]).

use crate::edge::Protocol;
use crate::relay::millis;
use crate::site::Site;
use limehollow::overload::{MEASURE_EVERY, Overload, OverloadChange};
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How many measurements go on after the last caller: the wait is short by then, and a VM at rest needs no wake-ups.
const MEASURED_AFTER: u32 = 50;

/// The load of this VM.
#[derive(Debug)]
pub struct OwnLoad {
    overload: Mutex<Overload>,
    /// Told when a caller asks.
    asked: Notify,
}

impl OwnLoad {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            overload: Mutex::new(Overload::new(now)),
            asked: Notify::new(),
        }
    }

    /// Lets a request of a rank in, 0 being the most urgent.
    ///
    /// # Errors
    ///
    /// When its caller may come back, if this VM has too much to do.
    pub(crate) fn admit(&self, now: Instant, rank: u8) -> Result<(), Duration> {
        self.asked.notify_one();
        self.lock().admit(now, rank)
    }

    /// Gives how long tasks wait for their turn.
    pub fn wait(&self, now: Instant) -> Duration {
        self.lock().wait(now)
    }

    fn lock(&self) -> MutexGuard<'_, Overload> {
        // A panic elsewhere leaves a wait out at worst.
        self.overload.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Measures how long tasks wait for their turn, for as long as the process lives.
pub async fn measure<P>(site: Arc<Site<P>>)
where
    P: Protocol,
{
    let load = &site.own_load;
    loop {
        load.asked.notified().await;
        let mut left = MEASURED_AFTER;
        while left > 0 {
            let due = site.now() + MEASURE_EVERY;
            let mut asked = pin!(load.asked.notified());
            site.clock.sleep_until(due).await;
            left = if asked.as_mut().enable() {
                MEASURED_AFTER
            } else {
                left - 1
            };
            let now = site.now();
            let wait = now.saturating_duration_since(due);
            let change = load.lock().note_wait(now, wait);
            if let Some(c) = change {
                log(c, wait);
            }
        }
    }
}

fn log(c: OverloadChange, wait: Duration) {
    match c {
        OverloadChange::Begins => tracing::warn!(
            wait_ms = millis(wait),
            "this VM has too much to do: its tasks wait for the processor; requests are refused"
        ),
        OverloadChange::Ends(refused) => {
            tracing::warn!(refused, "this VM takes all requests again");
        }
    }
}
