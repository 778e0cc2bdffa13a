//! Decides which models need another replica because of unmet demand.
//!
//! Gateways report how many requests they refused. Only demand that stays unmet for some time counts, so a
//! burst causes no move, and the gain has to exceed the cost of the moves by the weights that the operators
//! configured (`docs/design/demand.md`).

use crate::id::{ModelName, VmName};
use crate::intent::Intent;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// How long demand has to be unmet before a replica is added, and again before the next one.
pub const UP_AFTER: Duration = Duration::from_secs(20);
/// How long a gateway's report is counted.
pub const DEMAND_REPORT_LIFETIME: Duration = Duration::from_secs(10);
/// The time for which a new replica is expected to be useful, in seconds.
const HORIZON_S: f64 = 600.0;
/// The cost of a move in requests, at equal weights.
const MOVE_COST: f64 = 100.0;
/// The number of moves that an added replica costs: it has to be removed again later.
const MOVES_PER_REPLICA: f64 = 2.0;

/// One gateway's report of the requests for one model that it refused.
#[derive(Clone, Copy, Debug, PartialEq)]
struct DemandReport {
    per_second: f64,
    received: Instant,
}

/// The unmet demand of a zone.
#[derive(Debug, Default)]
pub struct Demand {
    reports: BTreeMap<ModelName, BTreeMap<VmName, DemandReport>>,
    /// The time since which each model's demand has been unmet, or a replica was last added, and the time of
    /// the last check. After a longer gap between checks the first time restarts, as the demand in between is
    /// unknown.
    unmet_since: BTreeMap<ModelName, (Instant, Instant)>,
}

impl Demand {
    /// Applies a gateway's report of how many requests per second it refused.
    pub fn report(&mut self, now: Instant, from: VmName, model: ModelName, per_second: f64) {
        let report = DemandReport {
            per_second: per_second.max(0.0),
            received: now,
        };
        self.reports.entry(model).or_default().insert(from, report);
    }

    /// Returns the unmet demand for a model, in requests per second.
    #[must_use]
    pub fn unmet(&self, now: Instant, model: &str) -> f64 {
        let reports = self
            .reports
            .get(model)
            .into_iter()
            .flat_map(BTreeMap::values);
        let fresh = reports.filter(|w| now.duration_since(w.received) < DEMAND_REPORT_LIFETIME);
        fresh.map(|w| w.per_second).sum()
    }

    /// Returns the models for which another replica is worth its moves, ordered by priority and then by gain.
    pub fn models_to_scale_up(&mut self, now: Instant, intent: &Intent) -> Vec<ModelName> {
        self.drop_expired(now);
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

    /// Records that a replica is being added, which restarts the wait before the next one.
    pub fn record_scale_up(&mut self, now: Instant, model: &ModelName) {
        self.unmet_since.insert(model.clone(), (now, now));
    }

    fn drop_expired(&mut self, now: Instant) {
        for reports in self.reports.values_mut() {
            reports.retain(|_, w| now.duration_since(w.received) < DEMAND_REPORT_LIFETIME);
        }
        self.reports.retain(|_, w| !w.is_empty());
    }
}

/// Returns the gain of another replica less the cost of its moves.
fn gain(intent: &Intent, unmet: f64) -> f64 {
    let attained = f64::from(intent.weights.attainment) * unmet * HORIZON_S;
    let moved = f64::from(intent.weights.moves) * MOVES_PER_REPLICA * MOVE_COST;
    if unmet > 0.0 { attained - moved } else { 0.0 }
}
