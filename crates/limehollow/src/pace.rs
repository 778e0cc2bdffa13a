//! Measures how fast endpoints serve a model.
//!
//! Two values determine the share of an endpoint that a request uses: the time for which its prompt is
//! processed, and the time for which it occupies a slot. Both differ by a factor of eight between the models of
//! one service.

/// The processing time per prompt token before a first result is known, in ms. It is that of a large model on the
/// accelerators of the first users, so an unknown model is assumed to be slow rather than fast.
const DEFAULT_TOKEN_MS: f64 = 0.055;
/// The constant part of the time to a first result, in ms: a network round trip and one step.
const FIRST_MS: f64 = 20.0;
/// The shortest prompt that is used as a sample, in tokens. With shorter ones the rest of the sample takes as
/// long as the prompt.
const MIN_TOKENS: u32 = 300;
/// The fraction by which a sample changes the value: half of it at first, a tenth later.
const FIRST_STEP: f64 = 0.5;
const LAST_STEP: f64 = 0.1;
/// The bounds of the time per token, in ms.
const FASTEST_MS: f64 = 0.001;
const SLOWEST_MS: f64 = 1.0;
/// The weight that earlier requests keep in the slot occupancy time when another request ends.
const DECAY: f64 = 0.98;

/// The processing times of one model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Pace {
    token_ms: f64,
    samples: u32,
    held_ms: f64,
    output: f64,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            token_ms: DEFAULT_TOKEN_MS,
            samples: 0,
            held_ms: 0.0,
            output: 0.0,
        }
    }
}

impl Pace {
    /// Returns the processing time per prompt token, in ms.
    pub(crate) fn token_ms(&self) -> f64 {
        self.token_ms
    }

    /// Returns how long a request that generates up to `max_output` tokens occupies a slot, in ms; zero if no
    /// request has ended yet.
    pub(crate) fn held_ms(&self, max_output: u32) -> f64 {
        if self.output <= 0.0 {
            return 0.0;
        }
        self.held_ms / self.output * f64::from(max_output)
    }

    /// Records the time to the first result of a prompt that was processed alone.
    ///
    /// The value converges to the median of the samples, as each sample changes it by the same fraction: some
    /// samples contain long waits of unknown cause, and some prompts are in the endpoint's prefix cache without
    /// this being known.
    pub(crate) fn record_first_result(&mut self, unread: u32, took_ms: f64) {
        if unread < MIN_TOKENS {
            return;
        }
        let sample = (took_ms - FIRST_MS) / f64::from(unread);
        self.samples = self.samples.saturating_add(1);
        let step = (FIRST_STEP / f64::from(self.samples).sqrt()).max(LAST_STEP);
        let factor = if sample < self.token_ms {
            1.0 - step
        } else {
            1.0 + step
        };
        self.token_ms = (self.token_ms * factor).clamp(FASTEST_MS, SLOWEST_MS);
    }

    /// Records how long a complete request that could have generated `max_output` tokens occupied a slot.
    pub(crate) fn record_completed(&mut self, max_output: u32, held_ms: f64) {
        self.held_ms = self.held_ms * DECAY + held_ms;
        self.output = self.output * DECAY + f64::from(max_output);
    }
}
