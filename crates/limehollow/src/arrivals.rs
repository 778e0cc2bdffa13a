//! How much work callers ask of each model, refused requests included.

use crate::roster::ModelRef;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// The time constant of the rates: short enough that a shift of demand shows within a second or two,
/// long enough that a handful of requests isn't one.
pub const TIME_CONSTANT: Duration = Duration::from_millis(1500);
/// Below this rate (work a second) a model counts as asleep, and its row is dropped.
const ASLEEP: f64 = 0.01;

#[derive(Clone, Copy, Debug)]
struct Rate {
    per_second: f64,
    at: Instant,
}

impl Rate {
    fn now(self, now: Instant) -> f64 {
        let age = now.duration_since(self.at).as_secs_f64();
        self.per_second * (-age / TIME_CONSTANT.as_secs_f64()).exp()
    }
}

/// The rates of one gateway.
#[derive(Debug, Default)]
pub struct Arrivals {
    rates: BTreeMap<ModelRef, Rate>,
}

impl Arrivals {
    /// Notes a request that asks for so much work, in any unit that all gateways share.
    pub fn record(&mut self, now: Instant, wanted: &ModelRef, work: f64) {
        let more = work / TIME_CONSTANT.as_secs_f64();
        match self.rates.get_mut(wanted) {
            Some(r) => {
                r.per_second = r.now(now) + more;
                r.at = now;
            }
            None => {
                let rate = Rate {
                    per_second: more,
                    at: now,
                };
                self.rates.insert(wanted.clone(), rate);
            }
        }
    }

    /// Gives the rates, and forgets what is asleep.
    pub fn rates(&mut self, now: Instant) -> Vec<(ModelRef, f64)> {
        self.rates.retain(|_, r| r.now(now) > ASLEEP);
        let rates = self.rates.iter();
        rates.map(|(m, r)| (m.clone(), r.now(now))).collect()
    }
}
