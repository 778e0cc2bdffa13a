//! How fast an endpoint serves a model, learnt from the requests that it served.
//!
//! Two figures go into what a request takes of an endpoint: the time for which its prompt is read, and the time for
//! which it holds a place. Both differ eightfold between the models of one service.

/// What a token of a prompt takes as long as nothing was measured, in ms: a large model on the accelerators of the
/// first users, so that an unknown model is rather held for too slow.
const DEFAULT_TOKEN_MS: f64 = 0.055;
/// The part of the time to a first result that every request has, in ms: the network there and back and one step. It
/// was 17 to 22 ms in samples of prompts under 300 tokens.
const FIRST_MS: f64 = 20.0;
/// Shorter prompts say little of a token's time: what else is in the sample is as long as they take.
const MIN_TOKENS: u32 = 300;
/// The part by which a sample moves the figure: half of it at first, a tenth later.
const FIRST_STEP: f64 = 0.5;
const LAST_STEP: f64 = 0.1;
/// The bounds of a token's time, in ms.
const FASTEST_MS: f64 = 0.001;
const SLOWEST_MS: f64 = 1.0;
/// The weight that earlier requests keep in the time for which places are held, when another ends.
const KEEP: f64 = 0.98;

/// How fast one model is served.
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
    /// Gives what a token of a prompt takes to read, in ms.
    pub(crate) fn token_ms(&self) -> f64 {
        self.token_ms
    }

    /// Gives how long a request that may generate so many tokens holds a place, in ms; zero if none has ended yet.
    pub(crate) fn held_ms(&self, max_output: u32) -> f64 {
        if self.output <= 0.0 {
            return 0.0;
        }
        self.held_ms / self.output * f64::from(max_output)
    }

    /// Takes in the time to the first result of a prompt that no other was read before.
    ///
    /// The figure goes towards the middle one of the samples, each of which moves it by the same part: some hold
    /// long waits for what isn't known here, and some prompts are kept at the endpoint without this being known.
    pub(crate) fn first(&mut self, unread: u32, took_ms: f64) {
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

    /// Takes in for how long a whole request held a place that might have generated so many tokens.
    pub(crate) fn whole(&mut self, max_output: u32, held_ms: f64) {
        self.held_ms = self.held_ms * KEEP + held_ms;
        self.output = self.output * KEEP + f64::from(max_output);
    }
}
