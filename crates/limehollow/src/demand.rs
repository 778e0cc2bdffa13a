//! Which models need another replica for their demand, and when that is worth a move.
//!
//! Gateways say how many requests they had to refuse. Only what lasts counts, so that a burst causes
//! no move; and it has to be worth the move by the weights that operators gave
//! (`docs/design/demand.md`).

use crate::id::{ModelName, VmName};
use crate::intent::Intent;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// How long demand has to be unmet before a replica is added, and again before the next one.
pub const UP_AFTER: Duration = Duration::from_secs(20);
/// How long a word of a gateway counts.
pub const DEMAND_REPORT_LIFETIME: Duration = Duration::from_secs(10);
/// For how long a new replica is expected to be of use, in seconds.
const HORIZON: f64 = 600.0;
/// What a move is worth in requests, at equal weights.
const MOVE_PRICE: f64 = 100.0;
/// A replica that is added will have to go some day.
const MOVES: f64 = 2.0;

/// What one gateway refused of one model.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Word {
    per_second: f64,
    heard: Instant,
}

/// The unmet demand of a zone.
#[derive(Debug, Default)]
pub struct Demand {
    words: BTreeMap<ModelName, BTreeMap<VmName, Word>>,
    /// Since when each model's demand has been unmet, or a replica was last added; and when that was
    /// last looked at. After a gap nobody knows what was in between.
    unmet_since: BTreeMap<ModelName, (Instant, Instant)>,
}

impl Demand {
    /// Takes in how many requests a second a gateway had to refuse.
    pub fn report(&mut self, now: Instant, from: VmName, model: ModelName, per_second: f64) {
        let word = Word {
            per_second: per_second.max(0.0),
            heard: now,
        };
        self.words.entry(model).or_default().insert(from, word);
    }

    /// Gives what is unmet of a model, in requests a second.
    #[must_use]
    pub fn unmet(&self, now: Instant, model: &str) -> f64 {
        let words = self.words.get(model).into_iter().flat_map(BTreeMap::values);
        let fresh = words.filter(|w| now.duration_since(w.heard) < DEMAND_REPORT_LIFETIME);
        fresh.map(|w| w.per_second).sum()
    }

    /// Gives the models for which another replica is worth its moves, the most worthwhile first.
    pub fn models_to_scale_up(&mut self, now: Instant, intent: &Intent) -> Vec<ModelName> {
        self.forget(now);
        let mut out = Vec::new();
        for m in &intent.models {
            let unmet = self.unmet(now, m.name.as_str());
            let gain = gain(intent, unmet);
            if gain <= 0.0 {
                self.unmet_since.remove(&m.name);
                continue;
            }
            let row = self.unmet_since.entry(m.name.clone()).or_insert((now, now));
            if now >= row.1 + DEMAND_REPORT_LIFETIME {
                row.0 = now;
            }
            row.1 = now;
            let since = row.0;
            if now >= since + UP_AFTER {
                out.push((m.priority, gain, m.name.clone()));
            }
        }
        out.sort_by(|a, b| b.0.cmp(&a.0).then(b.1.total_cmp(&a.1)).then(a.2.cmp(&b.2)));
        out.into_iter().map(|(_, _, name)| name).collect()
    }

    /// Notes that a replica is on its way: the demand is given time to show whether it is enough.
    pub fn record_scale_up(&mut self, now: Instant, model: &ModelName) {
        self.unmet_since.insert(model.clone(), (now, now));
    }

    fn forget(&mut self, now: Instant) {
        for words in self.words.values_mut() {
            words.retain(|_, w| now.duration_since(w.heard) < DEMAND_REPORT_LIFETIME);
        }
        self.words.retain(|_, w| !w.is_empty());
    }
}

/// Weighs what another replica would attain against the moves that it costs.
fn gain(intent: &Intent, unmet: f64) -> f64 {
    let attained = f64::from(intent.weights.attainment) * unmet * HORIZON;
    let moved = f64::from(intent.weights.moves) * MOVES * MOVE_PRICE;
    if unmet > 0.0 { attained - moved } else { 0.0 }
}
