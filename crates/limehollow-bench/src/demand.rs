//! Seeded demand for many models: bursts, tenfold changes, peaks.

#![expect(
    clippy::cast_precision_loss,
    reason = "counts of a measurement are far below 2^52"
)]

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// The demand of one model over time, in requests a second.
#[derive(Clone, Copy, Debug)]
pub struct Curve {
    base: f64,
    peak_at: f64,
    factor: f64,
    width: f64,
}

impl Curve {
    /// Gives the rate at a time, in seconds.
    #[must_use]
    pub fn at(&self, t: f64) -> f64 {
        let x = (t - self.peak_at) / self.width;
        self.base * (1.0 + (self.factor - 1.0) * (-x * x).exp())
    }
}

/// Seeded demand for many models.
#[derive(Debug)]
pub struct Demand {
    /// One curve a model.
    pub curves: Vec<Curve>,
    rng: StdRng,
}

impl Demand {
    /// Makes curves whose sum is about `total` requests a second at rest: few models take most of it,
    /// and each rises up to tenfold once, at its own time, within `span` seconds.
    #[must_use]
    pub fn new(seed: u64, models: usize, total: f64, span: f64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let weights: Vec<f64> = (0..models).map(|n| 1.0 / (n as f64 + 1.0)).collect();
        let sum: f64 = weights.iter().sum();
        let curves = weights
            .iter()
            .map(|w| Curve {
                base: total * w / sum,
                peak_at: rng.random_range(0.0..span),
                factor: rng.random_range(1.0..10.0),
                width: span / 20.0,
            })
            .collect();
        Self { curves, rng }
    }

    /// Gives how many requests for a model come in a step of time.
    pub fn arrivals(&mut self, model: usize, t: f64, step: f64) -> u32 {
        let mean = self.curves[model].at(t) * step;
        // Poisson by multiplication: the means of one step are small.
        let limit = (-mean).exp();
        let mut product = self.rng.random_range(0.0..1.0);
        let mut n = 0;
        while product > limit {
            product *= self.rng.random_range(0.0..1.0);
            n += 1;
        }
        n
    }

    /// Gives a random index below a bound.
    pub fn index(&mut self, below: usize) -> usize {
        self.rng.random_range(0..below)
    }
}
