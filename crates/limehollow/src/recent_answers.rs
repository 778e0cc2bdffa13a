//! Which requests ran to their end lately.

use crate::fingerprint::Fingerprint;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// For how long a request that ran to its end can't be the cause of a crash: what is asked again and again, by many callers, runs on
/// several endpoints that may crash together. What an endpoint runs well may crash it under a new version of the model, so it is
/// no more than this.
const ANSWER_LIFE: Duration = Duration::from_mins(1);
/// Answers that are remembered at most: those of a minute at 68 a second, twice what a VM takes at the largest site.
const MAX_ANSWERS: usize = 4096;

/// The requests that an endpoint ran to their end lately.
#[derive(Debug, Default)]
pub(crate) struct RecentAnswers {
    /// In order; a request that ran several times is there as often.
    queue: VecDeque<(Instant, Fingerprint)>,
    last: BTreeMap<Fingerprint, Instant>,
}

impl RecentAnswers {
    /// Tells whether a request ran to its end lately.
    pub(crate) fn contains(&self, now: Instant, request: Fingerprint) -> bool {
        let at = self.last.get(&request);
        at.is_some_and(|t| now.saturating_duration_since(*t) < ANSWER_LIFE)
    }

    /// Notes that a request ran to its end.
    pub(crate) fn record(&mut self, now: Instant, request: Fingerprint) {
        self.queue.push_back((now, request));
        self.last.insert(request, now);
        while let Some((at, oldest)) = self.queue.front().copied() {
            let is_old = now.saturating_duration_since(at) >= ANSWER_LIFE;
            if !is_old && self.queue.len() <= MAX_ANSWERS {
                return;
            }
            self.queue.pop_front();
            if self.last.get(&oldest) == Some(&at) {
                self.last.remove(&oldest);
            }
        }
    }
}
