//! Tracks which requests completed recently, and which parts of prompts were in runs that did no harm.

use crate::fingerprint::Fingerprint;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// How long after its completion a request isn't considered the cause of a crash. A request that many callers
/// repeat runs on several endpoints, which may crash at the same time for another reason. The time is limited
/// because a request that an endpoint completes may crash it under a new version of the model.
const ANSWER_LIFE: Duration = Duration::from_mins(1);
/// The maximum number of completions remembered: those of a minute at 68 per second, twice the rate of one VM
/// at the largest site.
const MAX_ANSWERS: usize = 4096;

/// The requests that one endpoint completed recently.
#[derive(Debug, Default)]
pub(crate) struct RecentAnswers {
    /// The completions in order of time; a request that completed several times is contained several times.
    queue: VecDeque<(Instant, Fingerprint)>,
    last: BTreeMap<Fingerprint, Instant>,
}

impl RecentAnswers {
    /// Returns `true` if a request completed recently.
    pub(crate) fn contains(&self, now: Instant, request: Fingerprint) -> bool {
        let at = self.last.get(&request);
        at.is_some_and(|t| now.saturating_duration_since(*t) < ANSWER_LIFE)
    }

    /// Records that a request completed.
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

/// How long a proof is remembered.
const PROOF_LIFE: Duration = Duration::from_mins(1);
const PROOF_SWEEP_EVERY: Duration = Duration::from_secs(1);
/// The maximum number of parts of which a proof is remembered.
const MAX_PROOFS: usize = 4096;

/// When the last run with each part of a prompt began that outlived its beginning.
#[derive(Debug, Default)]
pub(crate) struct PartProofs {
    began: BTreeMap<Fingerprint, Instant>,
    swept: Option<Instant>,
}

impl PartProofs {
    /// Returns when the last run with a part began that outlived its beginning.
    pub(crate) fn last_began(&self, part: Fingerprint) -> Option<Instant> {
        self.began.get(&part).copied()
    }

    /// Returns `true` if a part was in a run that did no harm within the last minute.
    pub(crate) fn contains(&self, now: Instant, part: Fingerprint) -> bool {
        let began = self.last_began(part);
        began.is_some_and(|t| now.saturating_duration_since(t) < PROOF_LIFE)
    }

    /// Records a run with a part that outlived its beginning.
    pub(crate) fn record(&mut self, now: Instant, part: Fingerprint, began: Instant) {
        let last = self.began.entry(part).or_insert(began);
        *last = (*last).max(began);
        let is_recent = |t: Instant| now.saturating_duration_since(t) < PROOF_LIFE;
        let is_swept = |t: Instant| now.saturating_duration_since(t) < PROOF_SWEEP_EVERY;
        if self.began.len() > MAX_PROOFS || !self.swept.is_some_and(is_swept) {
            self.swept = Some(now);
            self.began.retain(|_, t| is_recent(*t));
        }
        while self.began.len() > MAX_PROOFS {
            self.began.pop_first();
        }
    }
}
