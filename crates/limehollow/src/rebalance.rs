//! Which model is loaded where next, as demand moves.
//!
//! Demand is told in work a second. Each model's work spreads over its replicas, and an endpoint's load
//! is the sum over what it holds. A model whose soonest replica is loaded above [`HIGH_LOAD`] gets
//! another one where the load is lowest once the least wanted duplicates have made way. The last
//! replica of a model never makes way (`docs/design/system.md`).

use crate::catalog::{EngineSpec, ModelSpec};
use crate::id::{EndpointKey, ServiceName, ZoneName};
use crate::roster::{Endpoint, Holdings, ModelRef, Roster};
use smol_str::SmolStr;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// The load above which a model's replicas are too few, in ms of work a second.
pub const HIGH_LOAD: f64 = 350.0;
/// What a move has to be worth, in units of an endpoint at [`HIGH_LOAD`]: it costs an order or two, and
/// the endpoint's prompts that were kept.
const MOVE_PAIN: f64 = 0.3;
/// What a load from the weight store costs more than one from a copy at hand: seconds of its use.
const COLD_PAIN: f64 = 0.3;
/// What a second replica may cost at most, and what it costs more in the zone of the first.
const SPARE_PAIN: f64 = 0.1;
/// The part of the replicas of a model with adapters that may be carrying out orders on models at once,
/// since they take none on adapters meanwhile; and the same for second replicas.
const MOVING_PART: f64 = 0.6;
const SPARE_MOVING_PART: f64 = 0.25;
/// Second replicas are loaded while fewer than this part of the endpoints are being ordered.
const SPARE_MOVES_PART: usize = 4;
/// Copies are made while fewer than this part of the endpoints are being ordered, and while more than so
/// many times the loads of the window are left of the ceiling.
const COPY_MOVES_PART: usize = 8;
const COPY_CEILING_PART: usize = 3;
/// Copies are made of each model until this part of the endpoints has one.
const COPIES_PART: usize = 2;
/// An endpoint whose load is below this part of [`HIGH_LOAD`] is at rest.
const REST_PART: f64 = 0.4;
/// A model with less demand than this, in ms of work a second, makes way for a copy.
const ASLEEP: f64 = 1.0;
/// What it costs to unload a model whose replica carries [`HIGH_LOAD`]: the unload waits for its runs, and
/// the endpoint takes no other order meanwhile.
const BUSY_PAIN: f64 = 2.0;
/// What a model costs that is nowhere: three endpoints at twice [`HIGH_LOAD`], and as much again for each
/// so many ms of work a second that are asked of it. A model that is hardly asked for doesn't push out one
/// that is hot.
const MISSING_PAIN: f64 = 24.0;
const MISSING_DEMAND: f64 = 240.0;
/// How long a replica stays at least, so that a swing of demand doesn't move it twice.
const MIN_STAY: Duration = Duration::from_secs(5);
/// How long an endpoint whose move failed gets no other.
const FAILED_REST: Duration = Duration::from_secs(3);
/// How far demand is foreseen from its present trend, in units of the smoothing's time constant.
const FORESIGHT: f64 = 1.0;
/// The time constant of the slower rates, which adapters go by: a few requests a minute say little in
/// a second.
const SLOW_S: f64 = 5.0;
/// An adapter gets another replica when one carries more than this, in ms of work a second.
const ADAPTER_HIGH: f64 = 150.0;
/// An adapter whose replicas carry more than this is loaded into free places as well, so that its
/// requests have a choice of endpoints; those that are missing go first.
const ADAPTER_SPREAD: f64 = 8.0;
const SPREAD_LAST: f64 = 1e6;
/// An adapter makes way for one that is wanted this many times more.
const ADAPTER_EDGE: f64 = 1.5;
/// What an adapter that has other replicas counts, when one has to make way.
const SPARE_ADAPTER: f64 = 0.2;
/// How long an adapter stays at least, so that callers who were told to come back find it.
const ADAPTER_STAY: Duration = Duration::from_millis(1500);
/// How long an adapter that is asked for and nowhere waits until it counts twice as much. Adapters load in
/// some ms, so one that is rarely asked for may take turns with others like it.
const PATIENCE_S: f64 = 1.0;
/// Loads that are left out of what the weight store allows, for orders that are carried out late.
const CEILING_MARGIN: f64 = 2.0;

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
    /// How many orders it has taken.
    pub orders_taken: u64,
    /// Whether it is carrying out an order on a model.
    pub busy: bool,
    /// What it holds.
    pub holdings: Holdings,
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
    pub fn step(&self, r: &EndpointReport, spec: &EngineSpec) -> Step {
        if r.busy {
            return Step::Wait;
        }
        if r.holdings.contains_key(&self.load) {
            return Step::Done;
        }
        let size = |m: &SmolStr| spec.models.get(m).map_or(0.0, |s| s.megabytes);
        let needed = size(&self.load);
        if used(&r.holdings, spec) + needed <= spec.megabytes {
            return Step::Load;
        }
        let next = self.evict.iter().find(|m| r.holdings.contains_key(*m));
        next.map_or(Step::NoRoom, |m| Step::Unload(m.clone()))
    }
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

/// Counts the replicas of each adapter that is somewhere.
fn adapter_replicas(roster: &Roster, service: &ServiceName) -> BTreeMap<ModelRef, usize> {
    let mut out: BTreeMap<ModelRef, usize> = BTreeMap::new();
    for (_, e) in roster.open(service) {
        for (model, held) in &e.holdings {
            for a in &held.adapters {
                let m = ModelRef {
                    model: model.clone(),
                    adapter: Some(a.clone()),
                };
                *out.entry(m).or_default() += 1;
            }
        }
    }
    out
}

/// An endpoint as a plan sees it: what it will hold once all moves under way are done.
#[derive(Clone, Debug)]
struct Place {
    key: EndpointKey,
    zone: ZoneName,
    models: BTreeSet<SmolStr>,
    copies: BTreeSet<SmolStr>,
    free: f64,
    moving: bool,
    load: f64,
}

/// What a plan starts from.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadsSeen {
    /// Each model that is asked for: its demand in ms of work a second, and its replicas.
    pub models: Vec<(SmolStr, f64, f64)>,
    /// The endpoints' loads in ms of work a second, the lowest first.
    pub endpoints: Vec<f64>,
}

/// What a load costs callers: little while it is low, steeply more above [`HIGH_LOAD`].
fn pain(load: f64) -> f64 {
    (load.max(0.0) / HIGH_LOAD).powi(3)
}

/// Chooses the moves of one service's endpoints.
#[derive(Debug, Default)]
pub struct Rebalancer {
    fast: BTreeMap<SmolStr, f64>,
    trend: BTreeMap<SmolStr, f64>,
    slow: BTreeMap<ModelRef, f64>,
    heard: Option<Instant>,
    moves: BTreeMap<EndpointKey, ModelMove>,
    /// Since when adapters have been asked for that are nowhere.
    missing: BTreeMap<ModelRef, Instant>,
    /// Adapters that were loaded lately, and when that began.
    fresh: BTreeMap<(EndpointKey, ModelRef), Instant>,
    /// Adapters on their way.
    coming: BTreeMap<EndpointKey, ModelRef>,
    loaded: BTreeMap<(EndpointKey, SmolStr), Instant>,
    /// Endpoints whose last move failed, and when.
    failed: BTreeMap<EndpointKey, Instant>,
    loads: VecDeque<Instant>,
}

/// Queries.
impl Rebalancer {
    /// Gives the moves that are under way.
    #[must_use]
    pub fn moves(&self) -> &BTreeMap<EndpointKey, ModelMove> {
        &self.moves
    }

    /// Gives what a plan would start from, for a log line.
    #[must_use]
    pub fn loads(&self, roster: &Roster, service: &ServiceName, spec: &EngineSpec) -> LoadsSeen {
        let mut places = self.places(roster, service, spec);
        let replicas = self.spread(&mut places);
        let models = spec.models.keys().map(|m| {
            let n = replicas.get(m).copied().unwrap_or(0.0);
            (m.clone(), self.demand(m).round(), n)
        });
        let mut endpoints: Vec<f64> = places.iter().map(|p| p.load.round()).collect();
        endpoints.sort_by(f64::total_cmp);
        LoadsSeen {
            models: models.filter(|(_, d, _)| *d >= 1.0).collect(),
            endpoints,
        }
    }

    /// Spreads each model's demand over its replicas. Gives how many it has.
    fn spread(&self, places: &mut [Place]) -> BTreeMap<SmolStr, f64> {
        let mut replicas: BTreeMap<SmolStr, f64> = BTreeMap::new();
        for m in places.iter().flat_map(|p| &p.models) {
            *replicas.entry(m.clone()).or_default() += 1.0;
        }
        let share = |m: &SmolStr| self.demand(m) / replicas.get(m).copied().unwrap_or(1.0);
        for p in places.iter_mut() {
            p.load = p.models.iter().map(share).sum();
        }
        replicas
    }

    /// Gives a model's demand as it is foreseen, in ms of work a second.
    fn demand(&self, model: &str) -> f64 {
        let now = self.fast.get(model).copied().unwrap_or(0.0);
        let trend = self.trend.get(model).copied().unwrap_or(0.0);
        now + trend.max(0.0) * FORESIGHT
    }

    /// Gives how many loads from the weight store may begin now.
    fn ceiling(&self, spec: &EngineSpec, ceiling: LoadCeiling) -> usize {
        let per_window = spec.loads_per_second * ceiling.window.as_secs_f64() * ceiling.over;
        let allowed = per_window + ceiling.slack - CEILING_MARGIN;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a ceiling is a small number above zero"
        )]
        let allowed = allowed.max(1.0) as usize;
        allowed.saturating_sub(self.loads.len())
    }
}

/// Commands.
impl Rebalancer {
    /// Takes in the demand for each model and adapter, summed over all gateways.
    pub fn hear(&mut self, now: Instant, demand: &BTreeMap<ModelRef, f64>) {
        let passed = self
            .heard
            .map_or(SLOW_S, |t| now.duration_since(t).as_secs_f64());
        self.heard = Some(now);
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
        for (m, d) in &models {
            let slow: f64 = self
                .slow
                .iter()
                .filter(|(r, _)| r.model == *m)
                .map(|(_, v)| v)
                .sum();
            self.trend.insert(m.clone(), (d - slow) / SLOW_S);
        }
        self.trend.retain(|m, _| models.contains_key(m));
        self.fast = models;
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
        while self
            .loads
            .front()
            .is_some_and(|t| now.duration_since(*t) > ceiling.window)
        {
            self.loads.pop_front();
        }
        self.loaded.retain(|_, t| now.duration_since(*t) < MIN_STAY);
        self.failed
            .retain(|_, t| now.duration_since(*t) < FAILED_REST);
        let mut places = self.places(roster, service, spec);
        let mut out = Vec::new();
        while self.ceiling(spec, ceiling) > 0 {
            let best = self.best_move(&mut places, spec);
            let best = best.or_else(|| self.spare_move(&mut places, spec, ceiling));
            let Some((key, m)) = best else {
                break;
            };
            let cold = places
                .iter()
                .any(|p| p.key == key && !p.copies.contains(&m.load));
            if cold {
                self.loads.push_back(now);
            }
            self.loaded.insert((key, m.load.clone()), now);
            self.moves.insert(key, m.clone());
            if let Some(p) = places.iter_mut().find(|p| p.key == key) {
                p.moving = true;
                p.models.retain(|x| !m.evict.contains(x));
                p.models.insert(m.load.clone());
            }
            out.push((key, m));
        }
        out
    }

    /// Finds a place for a second replica of a model that has one only: an endpoint that is lost takes its
    /// models with it, and a load from the weight store takes seconds.
    ///
    /// This is done while little else is, so that a shift of demand finds the weight store and the
    /// endpoints free.
    fn spare_move(
        &self,
        places: &mut [Place],
        spec: &EngineSpec,
        ceiling: LoadCeiling,
    ) -> Option<(EndpointKey, ModelMove)> {
        let places_count = places.len();
        let moving = places.iter().filter(|p| p.moving).count();
        let left = self.ceiling(spec, ceiling);
        let is_quiet = moving < places_count / SPARE_MOVES_PART && left > self.loads.len();
        if !is_quiet {
            return None;
        }
        let replicas = self.spread(places);
        let w = Weighing {
            rebalancer: self,
            places,
            replicas: &replicas,
            spec,
        };
        let single = spec.models.keys().filter(|m| w.replicas(m) < 2.0);
        let found = single.filter_map(|m| w.best_spare(m));
        let best = found.max_by(|a, b| a.0.total_cmp(&b.0));
        // Copies are for later: they leave most of the weight store and of the endpoints free.
        let is_idle =
            moving * COPY_MOVES_PART < places_count && left > COPY_CEILING_PART * self.loads.len();
        let best = best.or_else(|| is_idle.then(|| w.best_copy()).flatten())?;
        Some((best.1, best.2))
    }

    /// Notes that a model's move has ended, well or not.
    pub fn model_ended(&mut self, now: Instant, key: EndpointKey, is_done: bool) {
        self.moves.remove(&key);
        if is_done {
            self.failed.remove(&key);
        } else {
            self.failed.insert(key, now);
        }
    }

    /// Notes that an adapter's move has ended, well or not.
    pub fn adapter_ended(&mut self, key: EndpointKey) {
        self.coming.remove(&key);
    }

    fn places(&self, roster: &Roster, service: &ServiceName, spec: &EngineSpec) -> Vec<Place> {
        let place = |(key, e): (EndpointKey, &Endpoint)| {
            let mut models: BTreeSet<SmolStr> = e.holdings.keys().cloned().collect();
            let m = self.moves.get(&key);
            if let Some(m) = m {
                models.retain(|x| !m.evict.contains(x));
                models.insert(m.load.clone());
            }
            Place {
                key,
                zone: e.zone.clone(),
                models,
                copies: e.copies.clone(),
                free: spec.megabytes - used(&e.holdings, spec),
                moving: m.is_some()
                    || self.coming.contains_key(&key)
                    || self.failed.contains_key(&key),
                load: 0.0,
            }
        };
        roster.open(service).map(place).collect()
    }

    /// Finds the move that is worth most, if any is worth making.
    fn best_move(
        &self,
        places: &mut [Place],
        spec: &EngineSpec,
    ) -> Option<(EndpointKey, ModelMove)> {
        let replicas = self.spread(places);
        let mut best: Option<(f64, EndpointKey, ModelMove)> = None;
        for model in spec.models.keys() {
            let held = places.iter().filter(|p| p.models.contains(model));
            let hottest = held.map(|p| p.load).max_by(f64::total_cmp);
            let is_short = hottest.is_none_or(|l| l > HIGH_LOAD && self.demand(model) > 0.0);
            if !is_short {
                continue;
            }
            let w = Weighing {
                rebalancer: self,
                places,
                replicas: &replicas,
                spec,
            };
            let found = w.best_place(model);
            if let Some((gain, key, m)) = found
                && best.as_ref().is_none_or(|(g, ..)| gain > *g)
            {
                best = Some((gain, key, m));
            }
        }
        best.map(|(_, key, m)| (key, m))
    }

    /// Chooses where adapters are loaded that are asked for and not there, or not often enough, and
    /// counts them as on their way.
    ///
    /// `resting` tells whether an endpoint can take an order on an adapter now.
    pub fn plan_adapters<F>(
        &mut self,
        now: Instant,
        roster: &Roster,
        service: &ServiceName,
        spec: &EngineSpec,
        resting: F,
    ) -> Vec<(EndpointKey, AdapterMove)>
    where
        F: Fn(EndpointKey) -> bool,
    {
        let replicas = adapter_replicas(roster, service);
        self.fresh
            .retain(|_, t| now.duration_since(*t) < ADAPTER_STAY);
        self.note_missing(now, &replicas);
        let mut wanted: Vec<(f64, &ModelRef, bool)> = Vec::new();
        for (m, demand) in self.slow.iter().filter(|(m, _)| m.adapter.is_some()) {
            let coming = self.coming.values().filter(|c| *c == m).count();
            #[expect(clippy::cast_precision_loss, reason = "a service has few endpoints")]
            let n = (replicas.get(m).copied().unwrap_or(0) + coming) as f64;
            let since = self
                .missing
                .get(m)
                .map(|t| now.duration_since(*t).as_secs_f64());
            let weight = demand * (1.0 + since.unwrap_or(0.0) / PATIENCE_S);
            if n < 1.0 || demand / n > ADAPTER_HIGH {
                wanted.push((weight, m, true));
            } else if demand / n > ADAPTER_SPREAD {
                wanted.push((demand / n / SPREAD_LAST, m, false));
            }
        }
        wanted.sort_by(|a, b| b.0.total_cmp(&a.0));
        let weighing = AdapterWeighing {
            rebalancer: self,
            roster,
            service,
            spec,
            replicas: &replicas,
        };
        let mut out: Vec<(EndpointKey, AdapterMove)> = Vec::new();
        for (weight, m, may_evict) in wanted {
            let free = |k: EndpointKey| resting(k) && out.iter().all(|(o, _)| *o != k);
            let weight = if may_evict { weight } else { 0.0 };
            out.extend(weighing.place(m, weight, free));
        }
        let taken: BTreeSet<EndpointKey> = out.iter().map(|(k, _)| *k).collect();
        out.extend(weighing.fill(|k| resting(k) && !taken.contains(&k)));
        for (key, m) in &out {
            self.coming.insert(*key, m.load.clone());
            self.fresh.insert((*key, m.load.clone()), now);
        }
        out
    }

    fn note_missing(&mut self, now: Instant, replicas: &BTreeMap<ModelRef, usize>) {
        let slow = &self.slow;
        self.missing
            .retain(|m, _| slow.contains_key(m) && !replicas.contains_key(m));
        for m in slow.keys() {
            if m.adapter.is_some() && !replicas.contains_key(m) {
                self.missing.entry(m.clone()).or_insert(now);
            }
        }
    }
}

/// One weighing of all places for adapters.
struct AdapterWeighing<'a> {
    rebalancer: &'a Rebalancer,
    roster: &'a Roster,
    service: &'a ServiceName,
    spec: &'a EngineSpec,
    replicas: &'a BTreeMap<ModelRef, usize>,
}

impl AdapterWeighing<'_> {
    /// Finds where an adapter is loaded best, among the endpoints for which the predicate holds.
    fn place<F>(&self, m: &ModelRef, weight: f64, free: F) -> Option<(EndpointKey, AdapterMove)>
    where
        F: Fn(EndpointKey) -> bool,
    {
        let size = self.spec.models.get(&m.model)?.adapter_megabytes;
        let mut best: Option<(f64, EndpointKey, Option<ModelRef>)> = None;
        for (key, e) in self.roster.open(self.service).filter(|(k, _)| free(*k)) {
            let has_model = e.holdings.contains_key(&m.model);
            if !has_model || crate::roster::holds(&e.holdings, m) {
                continue;
            }
            let there = e.holdings.iter();
            let there = there.flat_map(|(n, h)| h.adapters.iter().map(move |a| (n, a)));
            let there: Vec<(f64, ModelRef)> = there.map(|(n, a)| self.worth(n, a)).collect();
            let load: f64 = there.iter().map(|(d, _)| d).sum();
            let is_full = there.len() >= self.spec.adapter_places
                || used(&e.holdings, self.spec) + size > self.spec.megabytes;
            let fresh = &self.rebalancer.fresh;
            let may_go = there
                .into_iter()
                .filter(|(_, r)| !fresh.contains_key(&(key, r.clone())));
            let least = may_go.min_by(|a, b| a.0.total_cmp(&b.0));
            // One that makes way is dearer than a free place.
            let (cost, evict) = match least {
                _ if !is_full => (load, None),
                Some((d, r)) if weight > 0.0 && d * ADAPTER_EDGE <= weight => {
                    (load + d + HIGH_LOAD, Some(r))
                }
                _ => continue,
            };
            if best.as_ref().is_none_or(|(c, ..)| cost < *c) {
                best = Some((cost, key, evict));
            }
        }
        let (_, key, evict) = best?;
        let load = m.clone();
        Some((key, AdapterMove { load, evict }))
    }

    /// Fills free places with adapters that are nowhere, before they are asked for: they load in some ms,
    /// but a request that finds none waits for that and for the order.
    fn fill<F>(&self, free: F) -> Vec<(EndpointKey, AdapterMove)>
    where
        F: Fn(EndpointKey) -> bool,
    {
        let coming: BTreeSet<&ModelRef> = self.rebalancer.coming.values().collect();
        let mut out: Vec<(EndpointKey, AdapterMove)> = Vec::new();
        for (key, e) in self.roster.open(self.service).filter(|(k, _)| free(*k)) {
            let there: usize = e.holdings.values().map(|h| h.adapters.len()).sum();
            if there >= self.spec.adapter_places {
                continue;
            }
            let specs = e.holdings.keys().filter_map(|m| self.spec.models.get(m));
            let fits = |s: &&ModelSpec| {
                used(&e.holdings, self.spec) + s.adapter_megabytes <= self.spec.megabytes
            };
            let refs = specs
                .filter(fits)
                .flat_map(|s| s.adapters.iter().map(move |a| (s, a)));
            let mut refs = refs.map(|(s, a)| ModelRef {
                model: s.name.clone(),
                adapter: Some(a.clone()),
            });
            let found = refs.find(|m| {
                let is_chosen = out.iter().any(|(_, o)| o.load == *m);
                !is_chosen && !self.replicas.contains_key(m) && !coming.contains(m)
            });
            out.extend(found.map(|load| (key, AdapterMove { load, evict: None })));
        }
        out
    }

    /// Gives how much an adapter is wanted at one of the endpoints that have it.
    fn worth(&self, model: &SmolStr, adapter: &SmolStr) -> (f64, ModelRef) {
        let m = ModelRef {
            model: model.clone(),
            adapter: Some(adapter.clone()),
        };
        let demand = self.rebalancer.slow.get(&m).copied().unwrap_or(0.0);
        let is_spare = self.replicas.get(&m).is_some_and(|n| *n > 1);
        let worth = if is_spare {
            demand * SPARE_ADAPTER
        } else {
            demand
        };
        (worth, m)
    }
}

/// One weighing of all places for a model.
struct Weighing<'a> {
    rebalancer: &'a Rebalancer,
    places: &'a [Place],
    replicas: &'a BTreeMap<SmolStr, f64>,
    spec: &'a EngineSpec,
}

impl Weighing<'_> {
    fn replicas(&self, model: &SmolStr) -> f64 {
        self.replicas.get(model).copied().unwrap_or(0.0)
    }

    /// Gives what a replica of a model carries when there are so many more of them.
    fn share(&self, model: &SmolStr, more: f64) -> f64 {
        self.rebalancer.demand(model) / (self.replicas(model) + more).max(1.0)
    }

    /// Finds where another replica of a model is worth most. Gives what it is worth, too.
    fn best_place(&self, model: &SmolStr) -> Option<(f64, EndpointKey, ModelMove)> {
        let size = self.spec.models.get(model)?.megabytes;
        let is_missing = self.replicas(model) < 1.0;
        let mut best: Option<(f64, EndpointKey, Vec<SmolStr>)> = None;
        let may_take = |p: &&Place| self.may_move(p, model, MOVING_PART);
        for p in self.places.iter().filter(may_take) {
            let Some(evict) = self.make_room(p, size, 1.0) else {
                continue;
            };
            let mut gain = self.gain(p, model, &evict);
            gain -= evict.iter().map(|m| self.share(m, 0.0)).sum::<f64>() / HIGH_LOAD * BUSY_PAIN;
            if !p.copies.contains(model) {
                gain -= COLD_PAIN;
            }
            if is_missing {
                gain += MISSING_PAIN * (1.0 + self.rebalancer.demand(model) / MISSING_DEMAND);
            }
            if gain > MOVE_PAIN && best.as_ref().is_none_or(|(g, ..)| gain > *g) {
                best = Some((gain, p.key, evict));
            }
        }
        let (gain, key, evict) = best?;
        let load = model.clone();
        Some((gain, key, ModelMove { load, evict }))
    }

    /// Finds where a second replica of a model costs least. Gives what it is worth, too.
    fn best_spare(&self, model: &SmolStr) -> Option<(f64, EndpointKey, ModelMove)> {
        let size = self.spec.models.get(model)?.megabytes;
        let held = self.places.iter().filter(|p| p.models.contains(model));
        let zones: BTreeSet<&ZoneName> = held.map(|p| &p.zone).collect();
        let mut best: Option<(f64, EndpointKey, Vec<SmolStr>)> = None;
        let may_take = |p: &&Place| self.may_move(p, model, SPARE_MOVING_PART);
        for p in self.places.iter().filter(may_take) {
            // What makes way has to leave two replicas behind.
            let Some(evict) = self.make_room(p, size, 2.0) else {
                continue;
            };
            let mut worth = self.gain(p, model, &evict);
            if worth < -SPARE_PAIN {
                continue;
            }
            if zones.contains(&p.zone) {
                worth -= SPARE_PAIN;
            }
            if !p.copies.contains(model) {
                worth -= COLD_PAIN;
            }
            if best.as_ref().is_none_or(|(w, ..)| worth > *w) {
                best = Some((worth, p.key, evict));
            }
        }
        let (worth, key, evict) = best?;
        let load = model.clone();
        Some((worth, key, ModelMove { load, evict }))
    }

    /// Finds an endpoint at rest for the model of which the fewest endpoints have a copy: when its demand
    /// rises, a load from a copy takes a second or two, not eight.
    fn best_copy(&self) -> Option<(f64, EndpointKey, ModelMove)> {
        let has_copy = |p: &&Place, m: &SmolStr| p.models.contains(m) || p.copies.contains(m);
        let copies = |m: &SmolStr| self.places.iter().filter(|p| has_copy(p, m)).count();
        let mut models: Vec<(usize, &SmolStr)> =
            self.spec.models.keys().map(|m| (copies(m), m)).collect();
        models.sort_by_key(|(n, _)| *n);
        for (n, model) in models {
            if n * COPIES_PART >= self.places.len() {
                return None;
            }
            let size = self.spec.models.get(model)?.megabytes;
            let at_rest = |p: &&Place| {
                p.load < HIGH_LOAD * REST_PART
                    && !has_copy(p, model)
                    && self.may_move(p, model, SPARE_MOVING_PART)
            };
            let mut places: Vec<&Place> = self.places.iter().filter(at_rest).collect();
            places.sort_by(|a, b| a.load.total_cmp(&b.load));
            let found = places.into_iter().find_map(|p| {
                let evict = self.make_room(p, size, 1.0)?;
                let asleep = evict.iter().all(|m| self.rebalancer.demand(m) < ASLEEP);
                asleep.then_some((p.key, evict))
            });
            if let Some((key, evict)) = found {
                let load = model.clone();
                return Some((0.0, key, ModelMove { load, evict }));
            }
        }
        None
    }

    /// Tells whether an endpoint may be ordered to load a model: it isn't being ordered, and enough replicas
    /// of the models with adapters that it holds stay at rest.
    fn may_move(&self, p: &Place, model: &SmolStr, part: f64) -> bool {
        if p.moving || p.models.contains(model) {
            return false;
        }
        p.models.iter().all(|m| {
            let has_adapters = self
                .spec
                .models
                .get(m)
                .is_some_and(|s| !s.adapters.is_empty());
            let held = self.places.iter().filter(|o| o.models.contains(m));
            let moving = held.filter(|o| o.moving).count();
            #[expect(clippy::cast_precision_loss, reason = "a service has few endpoints")]
            let moving = moving as f64 + 1.0;
            !has_adapters || moving <= self.replicas(m) * part
        })
    }

    /// Gives how much the endpoints' pain falls when a model takes the place of others.
    fn gain(&self, target: &Place, model: &SmolStr, evict: &[SmolStr]) -> f64 {
        let (alone, before) = (self.share(model, 1.0), self.share(model, 0.0));
        let mut gain = 0.0;
        for p in self.places {
            let mut after = p.load;
            if p.key == target.key {
                after += alone;
                after -= evict.iter().map(|m| self.share(m, 0.0)).sum::<f64>();
            } else {
                if p.models.contains(model) {
                    after += alone - before;
                }
                let gone = evict.iter().filter(|m| p.models.contains(*m));
                after += gone
                    .map(|m| self.share(m, -1.0) - self.share(m, 0.0))
                    .sum::<f64>();
            }
            gain += pain(p.load) - pain(after);
        }
        gain
    }

    /// Names what has to make way on an endpoint for a model of this size, the least wanted first. Only
    /// models with more than so many replicas make way.
    fn make_room(&self, p: &Place, size: f64, left: f64) -> Option<Vec<SmolStr>> {
        let mut free = p.free;
        let mut may_go: Vec<(f64, &SmolStr)> = Vec::new();
        for m in &p.models {
            let stays = self.rebalancer.loaded.contains_key(&(p.key, m.clone()));
            if self.replicas(m) > left && !stays {
                may_go.push((self.share(m, -1.0), m));
            }
        }
        may_go.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut evict = Vec::new();
        for (_, m) in may_go {
            if free >= size {
                break;
            }
            free += self.spec.models.get(m).map_or(0.0, |s| s.megabytes);
            evict.push(m.clone());
        }
        (free >= size).then_some(evict)
    }
}
