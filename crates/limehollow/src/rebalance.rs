//! Which model is loaded where next, as demand moves.
//!
//! Demand is told in work a second. Each model's work spreads over its replicas, and an endpoint's load
//! is the sum over what it holds. `models` weighs where another replica is worth most, `adapters` where an
//! adapter goes; this module keeps demand, what is under way, and the weight store's ceiling
//! (`docs/design/system.md`).

use crate::catalog::EngineSpec;
use crate::id::{EndpointKey, ServiceName};
use crate::late_loads::Reserve;
use crate::load_window::LoadWindow;
use crate::roster::{Endpoint, Holdings, ModelRef, Roster};
use smol_str::SmolStr;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

mod adapters;
mod models;
mod recent;
mod table;

use models::Weighing;
use recent::Recent;
use table::{ModelIx, Table};

/// The load above which a model's replicas are too few, in ms of work a second.
pub const HIGH_LOAD: f64 = 350.0;
/// How long a replica stays at least, so that a swing of demand doesn't move it twice.
const MIN_STAY: Duration = Duration::from_secs(5);
/// For how long after a load an endpoint gets no other model while adapters of those that it holds are missing: its places
/// for them are filled in half of that, and while it loads a model it takes none.
const ADAPTERS_FIRST: Duration = Duration::from_secs(1);
/// How long an endpoint whose move failed gets no other.
const FAILED_REST: Duration = Duration::from_secs(3);
/// The same for a move of an adapter: a report is as of some hundred ms ago.
const ADAPTER_FAILED_REST: Duration = Duration::from_millis(250);
/// How far demand is foreseen from its present trend, in units of the smoothing's time constant.
const FORESIGHT: f64 = 1.0;
/// The time constant of the slower rates, which adapters go by: a few requests a minute say little in
/// a second.
const SLOW_S: f64 = 5.0;
/// Moves that one plan begins at most; the next plan is a fraction of a second later, and sees what these change.
const MAX_MOVES: usize = 16;
/// What the weight store allows beyond its rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadCeiling {
    /// The window in which loads are counted.
    pub window: Duration,
    /// The factor on the rate.
    pub over: f64,
    /// Loads on top.
    pub slack: f64,
}

/// A model that takes the place of others on an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelMove {
    /// The model to load.
    pub load: SmolStr,
    /// The models that make way, in this order.
    pub evict: Vec<SmolStr>,
}

/// An adapter that is loaded on an endpoint, perhaps in the place of another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdapterMove {
    /// The adapter to load.
    pub load: ModelRef,
    /// The adapter that makes way.
    pub evict: Option<ModelRef>,
}

/// What an endpoint said of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointReport {
    /// When the endpoint started, by its own clock ([`crate::instance::Instance::born`]).
    pub born: Option<u64>,
    /// How many orders it has taken.
    pub orders_taken: u64,
    /// Whether it is carrying out an order on a model.
    pub busy: bool,
    /// What it holds.
    pub holdings: Holdings,
    /// The models of which it has a copy at hand; a load of another one comes from the weight store.
    pub copies: BTreeSet<SmolStr>,
    /// Adapters on their way to it, which take their places already.
    pub coming: usize,
}

/// The next thing to do for a move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Order it to unload this model.
    Unload(SmolStr),
    /// Order it to load the move's model.
    Load,
    /// Ask again later.
    Wait,
    /// The model is there.
    Done,
    /// It can't be done: even without all that was to make way there is no room.
    NoRoom,
}

impl ModelMove {
    /// Says what comes next, from a report that counts all orders given so far.
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

/// Counts the replicas of each model.
fn replicas_of(roster: &Roster, service: &ServiceName) -> BTreeMap<SmolStr, usize> {
    let mut out: BTreeMap<SmolStr, usize> = BTreeMap::new();
    for model in roster.open(service).flat_map(|(_, e)| e.holdings.keys()) {
        *out.entry(model.clone()).or_default() += 1;
    }
    out
}

/// Gives the megabytes that an endpoint's models and adapters take.
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

/// What a plan starts from.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadsSeen {
    /// Each model that is asked for: its demand in ms of work a second, and its replicas.
    pub models: Vec<(SmolStr, f64, f64)>,
    /// The endpoints' loads in ms of work a second, the lowest first.
    pub endpoints: Vec<f64>,
}

/// Chooses the moves of one service's endpoints.
#[derive(Debug, Default)]
pub struct Rebalancer {
    fast: BTreeMap<SmolStr, f64>,
    trend: BTreeMap<SmolStr, f64>,
    slow: BTreeMap<ModelRef, f64>,
    /// How often models have been asked for over longer times.
    recent: Recent,
    observed: Option<Instant>,
    moves: BTreeMap<EndpointKey, ModelMove>,
    /// What each adapter was last told to be asked for, and when that last rose: a request for it came then.
    told: BTreeMap<ModelRef, f64>,
    asked: BTreeMap<ModelRef, Instant>,
    /// Since when adapters have been asked for that are nowhere.
    missing: BTreeMap<ModelRef, Instant>,
    /// Adapters that were loaded lately, and when that began.
    fresh: BTreeMap<(EndpointKey, ModelRef), Instant>,
    /// Adapters on their way.
    coming: BTreeMap<EndpointKey, ModelRef>,
    loaded: BTreeMap<(EndpointKey, SmolStr), Instant>,
    /// When endpoints last ended a model's move well.
    settled: BTreeMap<EndpointKey, Instant>,
    /// Endpoints whose last move failed, and when.
    failed: BTreeMap<EndpointKey, Instant>,
    /// Endpoints whose last move of an adapter found nothing that could be done, and when.
    adapter_failed: BTreeMap<EndpointKey, Instant>,
    /// Loads from the weight store that were planned.
    loads: LoadWindow,
    /// Endpoints that are listed but out of reach.
    lost: BTreeSet<EndpointKey>,
}

/// Queries.
impl Rebalancer {
    /// Gives what a plan would start from, for a log line.
    #[must_use]
    pub fn loads(&self, roster: &Roster, service: &ServiceName, spec: &EngineSpec) -> LoadsSeen {
        let t = Table::new(self, roster, service, spec);
        let models = t
            .models()
            .map(|m| (t.name(m).clone(), t.demand(m).round(), t.replicas(m)));
        let mut endpoints: Vec<f64> = t.places().map(|(_, p)| p.load.round()).collect();
        endpoints.sort_by(f64::total_cmp);
        LoadsSeen {
            models: models.filter(|(_, d, _)| *d >= 1.0).collect(),
            endpoints,
        }
    }

    /// Gives a model's demand as it is foreseen, in ms of work a second.
    fn demand(&self, model: &str) -> f64 {
        let now = self.fast.get(model).copied().unwrap_or(0.0);
        let trend = self.trend.get(model).copied().unwrap_or(0.0);
        now + trend.max(0.0) * FORESIGHT
    }

    /// Tells whether an endpoint is to get adapters before it is ordered another model.
    fn takes_adapters_first(&self, key: EndpointKey, e: &Endpoint, spec: &EngineSpec) -> bool {
        let held: usize = e.holdings.values().map(|h| h.adapters.len()).sum();
        let has_place = held < spec.adapter_places;
        let is_missing = |m: &ModelRef| e.holdings.contains_key(&m.model);
        self.settled.contains_key(&key) && has_place && self.missing.keys().any(is_missing)
    }

    /// Gives the endpoints that can be reached and take work.
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
    /// Takes in the demand for each model and adapter, summed over all gateways.
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
        // The difference to a slower rate is the trend over about the slower one's time constant.
        let mut slow: BTreeMap<&SmolStr, f64> = BTreeMap::new();
        for (m, d) in &self.slow {
            *slow.entry(&m.model).or_default() += d;
        }
        for (m, d) in &models {
            let slow = slow.get(m).copied().unwrap_or(0.0);
            self.trend.insert(m.clone(), (d - slow) / SLOW_S);
        }
        self.note_asked(now, demand);
        self.trend.retain(|m, _| models.contains_key(m));
        self.recent.observe(now, &models);
        self.fast = models;
    }

    /// Takes in which endpoints are listed but out of reach: what they hold has to be elsewhere, and they take no
    /// orders. The list drops an endpoint that crashed three to five seconds later.
    pub fn observe_lost(&mut self, lost: BTreeSet<EndpointKey>) {
        self.lost = lost;
    }

    /// Chooses the moves that begin now, and counts them as under way.
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
            .retain(|_, t| now.duration_since(*t) < FAILED_REST);
        self.recent.note_placement(|| replicas_of(roster, service));
        let mut table = Table::new(self, roster, service, spec);
        let mut out = Vec::new();
        while out.len() < MAX_MOVES {
            let left = self.loads.left(now, spec, ceiling);
            let w = Weighing {
                rebalancer: self,
                table: &table,
            };
            if left == 0 {
                break;
            }
            let begun = self.loads.begun(now, ceiling);
            let Some(best) = w.best_move().or_else(|| w.spare_move(left, begun)) else {
                break;
            };
            let p = table.place(best.at);
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

    /// Notes that a model's move has ended, well or not.
    pub fn model_ended(&mut self, now: Instant, key: EndpointKey, is_done: bool) {
        self.moves.remove(&key);
        if is_done {
            self.failed.remove(&key);
            self.settled.insert(key, now);
        } else {
            self.failed.insert(key, now);
        }
    }

    /// Notes that an adapter's move has ended, well or not.
    ///
    /// An endpoint where it could not be done gets no other for a moment: the plan rests on the list, and
    /// would choose the same move again and again until the list has caught up.
    pub fn adapter_ended(&mut self, now: Instant, key: EndpointKey, is_done: bool) {
        self.coming.remove(&key);
        if is_done {
            self.adapter_failed.remove(&key);
        } else {
            self.adapter_failed.insert(key, now);
        }
    }
}
