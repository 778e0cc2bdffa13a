//! How long a model's prompts take to read, learnt from the times to first results.
//!
//! The time to a first result is a part that every request has and a part that grows with the prompt. A line is
//! fitted through both by least squares, older samples counting less. What a sample holds beside (waits for other
//! prompts, for a place) doesn't depend on its own prompt, so it moves the line but hardly tilts it; a share of the
//! lowest samples, tried before, came out at a half to a tenth of the real pace where prompts were partly kept.

/// What a token of a prompt takes as long as nothing was measured, in ms: a large model on the accelerators of the
/// first users, so that an unknown model is rather held for too slow.
const DEFAULT_TOKEN_MS: f64 = 0.055;
/// The part of the time to a first result that every request has, as long as nothing was measured, in ms.
const DEFAULT_BASE_MS: f64 = 25.0;
/// Prompts of this length stand for the defaults, in tokens: the usual ones of all users are about as long.
const TYPICAL_TOKENS: f64 = 1000.0;
/// How many samples the defaults count for at each end of the line.
const PRIOR_SAMPLES: f64 = 2.0;
/// The weight that earlier samples keep when another comes: 50 samples are remembered, which a busy model has in
/// seconds.
const KEEP: f64 = 0.98;
/// A sample counts at most so many times the time that was expected of it, and so many ms more: one that waited
/// for something else says nothing of its prompt.
const CLIP_TIMES: f64 = 2.0;
const CLIP_MS: f64 = 30.0;
/// The least that a token takes, in ms.
const MIN_TOKEN_MS: f64 = 0.001;

/// The line through the times to first results of one model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Pace {
    n: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl Default for Pace {
    fn default() -> Self {
        let mut p = Self {
            n: 0.0,
            x: 0.0,
            y: 0.0,
            xx: 0.0,
            xy: 0.0,
        };
        p.add(0.0, DEFAULT_BASE_MS, PRIOR_SAMPLES);
        let whole = DEFAULT_BASE_MS + TYPICAL_TOKENS * DEFAULT_TOKEN_MS;
        p.add(TYPICAL_TOKENS, whole, PRIOR_SAMPLES);
        p
    }
}

impl Pace {
    /// Gives what a token takes, in ms.
    pub(crate) fn token_ms(&self) -> f64 {
        let spread = self.xx - self.x * self.x / self.n;
        if spread <= 0.0 {
            return DEFAULT_TOKEN_MS;
        }
        ((self.xy - self.x * self.y / self.n) / spread).max(MIN_TOKEN_MS)
    }

    /// Takes in that a prompt with so many unread tokens had its first result after so many ms.
    pub(crate) fn learn(&mut self, unread: u32, took_ms: f64) {
        let x = f64::from(unread);
        let slope = self.token_ms();
        let base = ((self.y - slope * self.x) / self.n).max(0.0);
        let most = (base + slope * x) * CLIP_TIMES + CLIP_MS;
        for v in [
            &mut self.n,
            &mut self.x,
            &mut self.y,
            &mut self.xx,
            &mut self.xy,
        ] {
            *v *= KEEP;
        }
        self.add(x, took_ms.min(most), 1.0);
    }

    fn add(&mut self, x: f64, y: f64, weight: f64) {
        self.n += weight;
        self.x += weight * x;
        self.y += weight * y;
        self.xx += weight * x * x;
        self.xy += weight * x * y;
    }
}
