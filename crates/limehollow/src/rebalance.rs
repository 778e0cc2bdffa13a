//! Decides which models and adapters are loaded where as demand changes.
//!
//! Demand is reported in work per second. Each model's work is divided over its replicas, and an endpoint's
//! load is the sum over the models that it holds. `models` decides where another replica is worth most and
//! `adapters` where an adapter is loaded; this module tracks demand, moves in progress and the rate limit of
//! the weight store (`docs/design/system.md`).

use crate::catalog::EngineSpec;
use crate::id::{EndpointKey, ServiceName, SoftwareVersion};
use crate::late_loads::Reserve;
use crate::load_window::LoadWindow;
use crate::roster::{Endpoint, Holdings, ModelRef, Roster};
use crate::stream_origin::StreamOrigin;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

mod adapters;
mod models;
mod recent;
mod table;

use models::MoveEvaluation;
use recent::RecentRates;
use table::{ModelIx, Table};

/// The load above which a model has too few replicas, in ms of work per second.
pub const HIGH_LOAD: f64 = 350.0;
/// The minimum time for which a replica stays loaded, so that a swing of demand doesn't move it twice.
const MIN_STAY: Duration = Duration::from_secs(5);
/// How long after a load an endpoint gets no other model while adapters of its models are missing: its adapter
/// slots are filled in half of that time, and it accepts no adapter while it loads a model.
const ADAPTERS_FIRST: Duration = Duration::from_secs(1);
/// How long an endpoint gets no further model after a move of a model failed there.
const FAILED_BACKOFF: Duration = Duration::from_secs(3);
/// How long an endpoint gets no further adapter after a move of an adapter failed there. It is short because a
/// report is some hundred ms old.
const ADAPTER_FAILED_BACKOFF: Duration = Duration::from_millis(250);
/// How far demand is extrapolated from its present trend, in units of the smoothing's time constant.
const TREND_FACTOR: f64 = 1.0;
/// The time constant of the slower rates, which are used for adapters, in seconds: a few requests per minute
/// can't be measured within a second.
const SLOW_S: f64 = 5.0;
/// The maximum number of moves that one plan begins. The next plan follows a fraction of a second later and
/// includes their effect.
const MAX_MOVES: usize = 16;
/// The rate limit of the weight store, relative to its configured rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadCeiling {
    /// The length of the sliding window in which loads are counted.
    pub window: Duration,
    /// The factor by which the rate is multiplied.
    pub over: f64,
    /// The number of additional loads.
    pub slack: f64,
}

/// A model or adapter, not loaded where a request may run, that the request waits for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestedLoad {
    /// The model or adapter.
    pub model: ModelRef,
    /// The service and the version of the endpoints, if the request takes a stream up; else any endpoint will do.
    pub origin: Option<StreamOrigin>,
}

impl From<ModelRef> for RequestedLoad {
    fn from(model: ModelRef) -> Self {
        Self {
            model,
            origin: None,
        }
    }
}

/// A load of a model on an endpoint, after unloading others if necessary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelMove {
    /// The model to load.
    pub load: SmolStr,
    /// The models to unload, in this order.
    pub evict: Vec<SmolStr>,
}

/// A load of an adapter on an endpoint, after unloading another one if necessary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdapterMove {
    /// The adapter to load.
    pub load: ModelRef,
    /// The adapter to unload.
    pub evict: Option<ModelRef>,
}

/// An endpoint's report of its own state.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointReport {
    /// The time at which the endpoint started, by its own clock ([`crate::instance::Instance::born`]).
    pub born: Option<u64>,
    /// The number of orders that the endpoint has executed.
    pub orders_taken: u64,
    /// Whether the endpoint is executing an order for a model.
    pub busy: bool,
    /// The models and adapters that the endpoint holds.
    pub holdings: Holdings,
    /// The models of which the endpoint has a local copy; others are loaded from the weight store.
    pub copies: BTreeSet<SmolStr>,
    /// The number of adapters being loaded, which already occupy slots.
    pub coming: usize,
}

/// The next step of a move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Order the endpoint to unload this model.
    Unload(SmolStr),
    /// Order the endpoint to load the model of the move.
    Load,
    /// Wait until the endpoint has finished its present order.
    Wait,
    /// The endpoint holds the model.
    Done,
    /// The move can't be executed: there is no room even after all unloads.
    NoRoom,
}

impl ModelMove {
    /// Returns the next step, given a report that includes all orders issued so far.
    #[must_use]
    pub fn step(&self, r: &EndpointReport, spec: &EngineSpec, reserve: Reserve) -> Step {
        if r.busy {
            return Step::Wait;
        }
        if r.holdings.contains_key(&self.load) {
            return Step::Done;
        }
        let size = |m: &SmolStr| spec.models.get(m).map_or(0.0, |s| s.megabytes);
        let needed = size(&self.load);
        if used(&r.holdings, spec) + needed + reserve.megabytes <= spec.megabytes {
            return Step::Load;
        }
        let next = self.evict.iter().find(|m| r.holdings.contains_key(*m));
        next.map_or(Step::NoRoom, |m| Step::Unload(m.clone()))
    }
}

/// Returns the number of replicas of each model.
fn replicas_of(roster: &Roster, service: &ServiceName) -> BTreeMap<SmolStr, usize> {
    let mut out: BTreeMap<SmolStr, usize> = BTreeMap::new();
    for model in roster.open(service).flat_map(|(_, e)| e.holdings.keys()) {
        *out.entry(model.clone()).or_default() += 1;
    }
    out
}

/// Returns the memory that an endpoint's models and adapters use, in megabytes.
#[must_use]
pub fn used(holdings: &Holdings, spec: &EngineSpec) -> f64 {
    let size = |(name, held): (&SmolStr, &crate::roster::Held)| {
        #[expect(
            clippy::cast_precision_loss,
            reason = "an endpoint holds a few adapters"
        )]
        let adapters = held.adapters.len() as f64;
        let spec = spec.models.get(name);
        spec.map_or(0.0, |s| s.megabytes + adapters * s.adapter_megabytes)
    };
    holdings.iter().map(size).sum()
}

/// The demand and load from which a plan is computed.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadsSeen {
    /// The models with demand: name, demand in ms of work per second, and number of replicas.
    pub models: Vec<(SmolStr, f64, f64)>,
    /// The endpoints' loads in ms of work per second, lowest first.
    pub endpoints: Vec<f64>,
}

/// Chooses the moves of models and adapters for the endpoints of one service.
#[derive(Debug, Default)]
pub struct Rebalancer {
    fast: BTreeMap<SmolStr, f64>,
    trend: BTreeMap<SmolStr, f64>,
    slow: BTreeMap<ModelRef, f64>,
    /// The demand for models over longer times.
    recent: RecentRates,
    observed: Option<Instant>,
    moves: BTreeMap<EndpointKey, ModelMove>,
    /// The last reported rate of each adapter.
    last_rates: BTreeMap<ModelRef, f64>,
    /// The time at which the rate of each adapter last rose, which shows a request for it.
    requested: BTreeMap<ModelRef, Instant>,
    /// The time since which each adapter has been requested without being loaded on any endpoint.
    missing: BTreeMap<ModelRef, Instant>,
    /// The adapters that were loaded recently, and when each load began.
    fresh: BTreeMap<(EndpointKey, ModelRef), Instant>,
    /// The adapters being loaded.
    coming: BTreeMap<EndpointKey, ModelRef>,
    loaded: BTreeMap<(EndpointKey, SmolStr), Instant>,
    /// The time at which each endpoint last completed a model's move.
    settled: BTreeMap<EndpointKey, Instant>,
    /// The endpoints whose last move of a model failed, and when.
    failed: BTreeMap<EndpointKey, Instant>,
    /// The endpoints whose last move of an adapter failed, and when.
    adapter_failed: BTreeMap<EndpointKey, Instant>,
    /// The planned loads from the weight store.
    loads: LoadWindow,
    /// The endpoints that are listed but unreachable.
    lost: BTreeSet<EndpointKey>,
    /// The models for which streams wait that have to go on at a version of the endpoints' software.
    bound: BTreeSet<(SmolStr, SoftwareVersion)>,
}

/// Queries.
impl Rebalancer {
    /// Returns the demand and load from which a plan would be computed, for a log line.
    #[must_use]
    pub fn loads(&self, roster: &Roster, service: &ServiceName, spec: &EngineSpec) -> LoadsSeen {
        let t = Table::new(self, roster, service, spec);
        let models = t
            .models()
            .map(|m| (t.name(m).clone(), t.demand(m).round(), t.replicas(m)));
        let mut endpoints: Vec<f64> = t.endpoints().map(|(_, p)| p.load.round()).collect();
        endpoints.sort_by(f64::total_cmp);
        LoadsSeen {
            models: models.filter(|(_, d, _)| *d >= 1.0).collect(),
            endpoints,
        }
    }

    /// Returns a model's extrapolated demand, in ms of work per second.
    fn demand(&self, model: &str) -> f64 {
        let now = self.fast.get(model).copied().unwrap_or(0.0);
        let trend = self.trend.get(model).copied().unwrap_or(0.0);
        now + trend.max(0.0) * TREND_FACTOR
    }

    /// Returns `true` if an endpoint has to get adapters before it is ordered to load another model.
    fn needs_adapters_first(&self, key: EndpointKey, e: &Endpoint, spec: &EngineSpec) -> bool {
        let held: usize = e.holdings.values().map(|h| h.adapters.len()).sum();
        let has_place = held < spec.adapter_places;
        let is_missing = |m: &ModelRef| e.holdings.contains_key(&m.model);
        self.settled.contains_key(&key) && has_place && self.missing.keys().any(is_missing)
    }

    /// Returns the endpoints that are reachable and accept requests.
    fn open<'r>(
        &'r self,
        roster: &'r Roster,
        service: &'r ServiceName,
    ) -> impl Iterator<Item = (EndpointKey, &'r Endpoint)> {
        let open = roster.open(service);
        open.filter(|(k, _)| !self.lost.contains(k))
    }
}

/// Commands.
impl Rebalancer {
    /// Applies the demand for each model and adapter, summed over all gateways.
    pub fn observe(&mut self, now: Instant, demand: &BTreeMap<ModelRef, f64>) {
        let passed = self
            .observed
            .map_or(SLOW_S, |t| now.duration_since(t).as_secs_f64());
        self.observed = Some(now);
        let weight = 1.0 - (-passed / SLOW_S).exp();
        for v in self.slow.values_mut() {
            *v -= *v * weight;
        }
        let mut models: BTreeMap<SmolStr, f64> = BTreeMap::new();
        for (m, d) in demand {
            *models.entry(m.model.clone()).or_default() += d;
            *self.slow.entry(m.clone()).or_default() += d * weight;
        }
        self.slow.retain(|_, v| *v > 0.01);
        // The difference to a slower rate is the trend over about the time constant of the slower rate.
        let mut slow: BTreeMap<&SmolStr, f64> = BTreeMap::new();
        for (m, d) in &self.slow {
            *slow.entry(&m.model).or_default() += d;
        }
        for (m, d) in &models {
            let slow = slow.get(m).copied().unwrap_or(0.0);
            self.trend.insert(m.clone(), (d - slow) / SLOW_S);
        }
        self.record_requested(now, demand);
        self.trend.retain(|m, _| models.contains_key(m));
        self.recent.observe(now, &models);
        self.fast = models;
    }

    /// Sets the endpoints that are listed but unreachable: their models have to be loaded elsewhere, and they
    /// get no orders.
    ///
    /// The list drops a crashed endpoint only three to five seconds later.
    pub fn observe_lost(&mut self, lost: BTreeSet<EndpointKey>) {
        self.lost = lost;
    }

    /// Sets the models for which streams wait that have to go on at a version of the endpoints' software.
    pub fn observe_bound(&mut self, bound: BTreeSet<(SmolStr, SoftwareVersion)>) {
        self.bound = bound;
    }

    /// Chooses the moves that begin now, and records them as in progress.
    pub fn plan(
        &mut self,
        now: Instant,
        roster: &Roster,
        service: &ServiceName,
        spec: &EngineSpec,
        ceiling: LoadCeiling,
    ) -> Vec<(EndpointKey, ModelMove)> {
        self.loaded.retain(|_, t| now.duration_since(*t) < MIN_STAY);
        self.settled
            .retain(|_, t| now.duration_since(*t) < ADAPTERS_FIRST);
        self.failed
            .retain(|_, t| now.duration_since(*t) < FAILED_BACKOFF);
        self.recent
            .record_placement(|| replicas_of(roster, service));
        let mut table = Table::new(self, roster, service, spec);
        let mut out = Vec::new();
        while out.len() < MAX_MOVES {
            let left = self.loads.left(now, spec, ceiling);
            let w = MoveEvaluation {
                rebalancer: self,
                table: &table,
            };
            if left == 0 {
                break;
            }
            let begun = self.loads.begun(now, ceiling);
            let best = w.best_move().or_else(|| w.bound_move());
            let Some(best) = best.or_else(|| w.spare_move(left, begun)) else {
                break;
            };
            let p = table.endpoint(best.at);
            let key = p.key;
            if !p.has_copy(best.load) {
                self.loads.begin(now, ceiling);
            }
            let name = |m: &ModelIx| table.name(*m).clone();
            let m = ModelMove {
                load: name(&best.load),
                evict: best.evict.iter().map(name).collect(),
            };
            table.begin(best.at, best.load, &best.evict);
            self.loaded.insert((key, m.load.clone()), now);
            self.moves.insert(key, m.clone());
            out.push((key, m));
        }
        out
    }

    /// Records the end of a model's move; `is_done` is whether it succeeded.
    pub fn model_ended(&mut self, now: Instant, key: EndpointKey, is_done: bool) {
        self.moves.remove(&key);
        if is_done {
            self.failed.remove(&key);
            self.settled.insert(key, now);
        } else {
            self.failed.insert(key, now);
        }
    }

    /// Records the end of an adapter's move; `is_done` is whether it succeeded.
    ///
    /// An endpoint at which the move failed gets no other adapter for a moment: the plan is based on the list,
    /// and would choose the same move repeatedly until the list is up to date.
    pub fn adapter_ended(&mut self, now: Instant, key: EndpointKey, is_done: bool) {
        self.coming.remove(&key);
        if is_done {
            self.adapter_failed.remove(&key);
        } else {
            self.adapter_failed.insert(key, now);
        }
    }
}
