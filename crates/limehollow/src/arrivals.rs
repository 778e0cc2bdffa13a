//! Measures the rate of requested work per model, including refused requests.

use crate::roster::ModelRef;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// The time constant of the rates. It is short enough that a shift of demand shows within one or two seconds,
/// and long enough that a handful of requests doesn't look like one.
pub const TIME_CONSTANT: Duration = Duration::from_millis(1500);
/// The rate, in work per second, below which a model's row is dropped.
const MIN_RATE: f64 = 0.01;

#[derive(Clone, Copy, Debug)]
struct Rate {
    per_second: f64,
    at: Instant,
}

impl Rate {
    fn decayed(self, now: Instant) -> f64 {
        let age = now.duration_since(self.at).as_secs_f64();
        self.per_second * (-age / TIME_CONSTANT.as_secs_f64()).exp()
    }
}

/// The arrival rates of one gateway.
#[derive(Debug, Default)]
pub struct Arrivals {
    rates: BTreeMap<ModelRef, Rate>,
}

impl Arrivals {
    /// Records a request for `work`, in any unit that all gateways share.
    pub fn record(&mut self, now: Instant, wanted: &ModelRef, work: f64) {
        let added = work / TIME_CONSTANT.as_secs_f64();
        match self.rates.get_mut(wanted) {
            Some(r) => {
                r.per_second = r.decayed(now) + added;
                r.at = now;
            }
            None => {
                let rate = Rate {
                    per_second: added,
                    at: now,
                };
                self.rates.insert(wanted.clone(), rate);
            }
        }
    }

    /// Returns the rates, and drops the models whose rate is negligible.
    pub fn rates(&mut self, now: Instant) -> Vec<(ModelRef, f64)> {
        self.rates.retain(|_, r| r.decayed(now) > MIN_RATE);
        let rates = self.rates.iter();
        rates.map(|(m, r)| (m.clone(), r.decayed(now))).collect()
    }
}
