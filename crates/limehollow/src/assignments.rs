//! Tracks the requests that one VM has assigned to an endpoint, before other VMs report them.

use std::time::Duration;
use tokio::time::Instant;

/// The requests that were assigned to one endpoint.
///
/// Other VMs report their requests a quarter of a second late, in which time an endpoint processes several
/// prompts. The VM that assigned the endpoint knows its assignments at once, and estimates when each slot is
/// free again from the mean time for which requests occupy one.
#[derive(Debug, Default)]
pub(crate) struct Assignments {
    /// The time until which the endpoint processes the assigned prompts.
    busy_until: Option<Instant>,
    /// The time at which each request is expected to end.
    ends: Vec<Instant>,
}

impl Assignments {
    /// Records a request whose prompt takes `work` to process, and that is expected to occupy a slot for
    /// `held`.
    pub(crate) fn add(&mut self, now: Instant, work: Duration, held: Duration) {
        self.ends.retain(|t| *t > now);
        self.ends.push(now + held);
        self.busy_until = Some(self.busy_until.map_or(now, |t| t.max(now)) + work);
    }

    /// Returns the number of requests that are expected to be running.
    pub(crate) fn requests(&self, now: Instant) -> f32 {
        let running = self.ends.iter().filter(|t| **t > now).count();
        #[expect(clippy::cast_precision_loss, reason = "an endpoint has few requests")]
        let running = running as f32;
        running
    }

    /// Returns how long the endpoint is expected to process assigned prompts, in ms.
    pub(crate) fn ahead_ms(&self, now: Instant) -> f32 {
        let left = self.busy_until.map(|t| t.saturating_duration_since(now));
        left.unwrap_or_default().as_secs_f32() * 1000.0
    }
}
