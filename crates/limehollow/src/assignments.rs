//! What one VM has promised an endpoint's requests to others, as it knows without hearing from them.

use std::time::Duration;
use tokio::time::Instant;

/// The requests that were promised a place at one endpoint.
///
/// Others tell what they have there a quarter of a second late, in which an endpoint reads several prompts. Who promised the
/// places knows at once, and reckons when each is free again by what requests take on average.
#[derive(Debug, Default)]
pub(crate) struct Assignments {
    /// Until when the endpoint reads the prompts that it was promised.
    read_until: Option<Instant>,
    /// When each request is expected to end.
    ends: Vec<Instant>,
}

impl Assignments {
    /// Notes a request whose prompt takes `work` to read, and that is expected to be held for `held`.
    pub(crate) fn add(&mut self, now: Instant, work: Duration, held: Duration) {
        self.ends.retain(|t| *t > now);
        self.ends.push(now + held);
        self.read_until = Some(self.read_until.map_or(now, |t| t.max(now)) + work);
    }

    /// Counts the requests that are expected to run.
    pub(crate) fn requests(&self, now: Instant) -> f32 {
        let running = self.ends.iter().filter(|t| **t > now).count();
        #[expect(clippy::cast_precision_loss, reason = "an endpoint has few requests")]
        let running = running as f32;
        running
    }

    /// Gives for how long the endpoint is expected to read prompts, in ms.
    pub(crate) fn ahead_ms(&self, now: Instant) -> f32 {
        let left = self.read_until.map(|t| t.saturating_duration_since(now));
        left.unwrap_or_default().as_secs_f32() * 1000.0
    }
}
