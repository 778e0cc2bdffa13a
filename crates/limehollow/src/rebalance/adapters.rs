//! Where adapters are loaded.
//!
//! Adapters load in some ms and their places are few. Those go first for which a caller waits, or is about to come
//! back, the latest first: where places are short, a load in the order of asking comes after its caller has left. What makes
//! way is idle, if anything is. Then those that are nowhere, by how much and how long they have been asked for; then those
//! whose replicas carry much; then free places are filled before anybody asks.

use super::{ADAPTER_FAILED_REST, AdapterMove, HIGH_LOAD, Rebalancer, used};
use crate::catalog::{EngineSpec, ModelSpec};
use crate::id::{EndpointKey, ServiceName};
use crate::roster::{ModelRef, Roster, holds};
use smol_str::SmolStr;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

/// An adapter gets another replica when one carries more than this, in ms of work a second.
const ADAPTER_HIGH: f64 = 150.0;
/// An adapter whose replicas carry more than this is loaded into free places as well, so that its
/// requests have a choice of endpoints; those that are missing go first.
const ADAPTER_SPREAD: f64 = 8.0;
/// An adapter makes way for one that is wanted this many times more.
const ADAPTER_EDGE: f64 = 1.5;
/// What an adapter that has other replicas counts, when one has to make way.
const SPARE_ADAPTER: f64 = 0.2;
/// How long an adapter stays at least, so that callers who were told to come back find it.
const ADAPTER_STAY: Duration = Duration::from_millis(1500);
/// For how long after a request for an adapter it is taken to be in use: as long as most streams run. One in use that is told to go
/// does so when its last run ends, and keeps its endpoint from all other orders until then.
const IN_USE_FOR: Duration = Duration::from_secs(3);
/// For how long after a caller was last heard to wait for an adapter it is there, or about to come back.
const CALLER_THERE_FOR: Duration = Duration::from_secs(1);
/// How long an adapter that is asked for and nowhere waits until it counts twice as much. Adapters load in
/// some ms, so one that is rarely asked for may take turns with others like it.
const PATIENCE_S: f64 = 1.0;

impl Rebalancer {
    /// Counts the replicas of each adapter that is somewhere.
    fn adapter_replicas(
        &self,
        roster: &Roster,
        service: &ServiceName,
    ) -> BTreeMap<ModelRef, usize> {
        let mut out: BTreeMap<ModelRef, usize> = BTreeMap::new();
        for (_, e) in self.open(roster, service) {
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

    /// Chooses where adapters are loaded that are asked for and not there, or not often enough, and
    /// counts them as on their way.
    ///
    /// `waited_for` says what callers wait for and when that was last heard, `resting` whether an endpoint can take an order on
    /// an adapter now.
    pub fn plan_adapters<F>(
        &mut self,
        now: Instant,
        roster: &Roster,
        service: &ServiceName,
        spec: &EngineSpec,
        waited_for: &BTreeMap<ModelRef, Instant>,
        resting: F,
    ) -> Vec<(EndpointKey, AdapterMove)>
    where
        F: Fn(EndpointKey) -> bool,
    {
        let replicas = self.adapter_replicas(roster, service);
        self.fresh
            .retain(|_, t| now.duration_since(*t) < ADAPTER_STAY);
        self.adapter_failed
            .retain(|_, t| now.duration_since(*t) < ADAPTER_FAILED_REST);
        let is_there = |t: &Instant| now.duration_since(*t) < CALLER_THERE_FOR;
        let waited_for: BTreeMap<&ModelRef, Instant> = waited_for
            .iter()
            .filter(|(_, t)| is_there(t))
            .map(|(m, t)| (m, *t))
            .collect();
        self.note_missing(now, &replicas);
        let wanted = self.wanted_adapters(now, &replicas, &waited_for);
        let weighing = AdapterWeighing {
            rebalancer: self,
            roster,
            service,
            spec,
            replicas: &replicas,
            waited_for: &waited_for,
        };
        let failed = &self.adapter_failed;
        let resting = |k: EndpointKey| resting(k) && !failed.contains_key(&k);
        let mut out: Vec<(EndpointKey, AdapterMove)> = Vec::new();
        for (m, urgency) in wanted {
            let free = |k: EndpointKey| resting(k) && out.iter().all(|(o, _)| *o != k);
            out.extend(weighing.place(m, urgency, free));
        }
        let taken: BTreeSet<EndpointKey> = out.iter().map(|(k, _)| *k).collect();
        out.extend(weighing.fill(|k| resting(k) && !taken.contains(&k)));
        for (key, m) in &out {
            self.coming.insert(*key, m.load.clone());
            self.fresh.insert((*key, m.load.clone()), now);
        }
        out
    }

    /// Takes in which adapters were asked for since the last time: rates fall but for requests.
    pub(super) fn note_asked(&mut self, now: Instant, demand: &BTreeMap<ModelRef, f64>) {
        self.asked
            .retain(|_, t| now.duration_since(*t) < IN_USE_FOR);
        let adapters = demand.iter().filter(|(m, _)| m.adapter.is_some());
        for (m, d) in adapters.clone() {
            if self.told.get(m).is_none_or(|before| d > before) {
                self.asked.insert(m.clone(), now);
            }
        }
        self.told = adapters.map(|(m, d)| (m.clone(), *d)).collect();
    }

    /// Gives the adapters that are to be loaded, the most urgent first.
    fn wanted_adapters<'r>(
        &'r self,
        now: Instant,
        replicas: &BTreeMap<ModelRef, usize>,
        waited_for: &BTreeMap<&'r ModelRef, Instant>,
    ) -> Vec<(&'r ModelRef, Urgency)> {
        let nowhere = waited_for.iter().filter(|(m, _)| {
            let is_coming = self.coming.values().any(|c| c == **m);
            m.adapter.is_some() && !is_coming && !replicas.contains_key(**m)
        });
        let mut out: Vec<(&ModelRef, Urgency)> = nowhere
            .map(|(m, t)| (*m, Urgency::CallerWaits(*t)))
            .collect();
        for (m, demand) in self.slow.iter().filter(|(m, _)| m.adapter.is_some()) {
            let coming = self.coming.values().filter(|c| *c == m).count();
            #[expect(clippy::cast_precision_loss, reason = "a service has few endpoints")]
            let n = (replicas.get(m).copied().unwrap_or(0) + coming) as f64;
            if n < 1.0 && waited_for.contains_key(m) {
                continue;
            }
            if n < 1.0 || demand / n > ADAPTER_HIGH {
                out.push((m, Urgency::Missed(self.weight(now, m))));
            } else if demand / n > ADAPTER_SPREAD {
                out.push((m, Urgency::Spread(demand / n)));
            }
        }
        out.sort_by(|a, b| b.1.total_cmp(a.1));
        out
    }

    /// Gives how much an adapter is wanted that is nowhere, by how much and how long it has been asked for.
    fn weight(&self, now: Instant, m: &ModelRef) -> f64 {
        let demand = self.slow.get(m).copied().unwrap_or(0.0);
        let since = self.missing.get(m).map(|t| now.duration_since(*t));
        demand * (1.0 + since.unwrap_or_default().as_secs_f64() / PATIENCE_S)
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

/// How urgently an adapter is wanted.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Urgency {
    /// A caller waits for it, or comes back; when that was last heard.
    CallerWaits(Instant),
    /// It is nowhere, or has too few replicas; by demand, and by how long it has been nowhere.
    Missed(f64),
    /// Another replica would give its requests a choice; by the demand for one.
    Spread(f64),
}

impl Urgency {
    /// Tells whether one that is worth so much makes way for it.
    fn outweighs(self, worth: f64) -> bool {
        match self {
            Self::CallerWaits(_) => true,
            Self::Missed(weight) => worth * ADAPTER_EDGE <= weight,
            Self::Spread(_) => false,
        }
    }

    fn total_cmp(self, other: Self) -> Ordering {
        match (self, other) {
            (Self::CallerWaits(a), Self::CallerWaits(b)) => a.cmp(&b),
            (Self::Missed(a), Self::Missed(b)) | (Self::Spread(a), Self::Spread(b)) => {
                a.total_cmp(&b)
            }
            _ => self.rank().cmp(&other.rank()),
        }
    }

    fn rank(self) -> u8 {
        match self {
            Self::CallerWaits(_) => 2,
            Self::Missed(_) => 1,
            Self::Spread(_) => 0,
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
    /// What callers wait for, and when that was last heard.
    waited_for: &'a BTreeMap<&'a ModelRef, Instant>,
}

impl AdapterWeighing<'_> {
    /// Finds where an adapter is loaded best, among the endpoints for which the predicate holds.
    fn place<F>(
        &self,
        m: &ModelRef,
        urgency: Urgency,
        free: F,
    ) -> Option<(EndpointKey, AdapterMove)>
    where
        F: Fn(EndpointKey) -> bool,
    {
        let size = self.spec.models.get(&m.model)?.adapter_megabytes;
        let mut best: Option<(f64, EndpointKey, Option<ModelRef>)> = None;
        for (key, e) in self
            .rebalancer
            .open(self.roster, self.service)
            .filter(|(k, _)| free(*k))
        {
            let has_model = e.holdings.contains_key(&m.model);
            if !has_model || holds(&e.holdings, m) {
                continue;
            }
            let there = e.holdings.iter();
            let there = there.flat_map(|(n, h)| h.adapters.iter().map(move |a| (n, a)));
            let there: Vec<(f64, ModelRef)> = there.map(|(n, a)| self.worth(n, a)).collect();
            let load: f64 = there.iter().map(|(d, _)| d).sum();
            let is_full = there.len() >= self.spec.adapter_places
                || used(&e.holdings, self.spec) + size > self.spec.megabytes;
            let may_go = there.into_iter().filter(|(_, r)| self.may_go(key, r));
            let may_go = may_go.map(|(d, r)| (self.rebalancer.asked.contains_key(&r), d, r));
            let least = may_go.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
            // One that makes way is dearer than a free place.
            let (cost, evict) = match least {
                _ if !is_full => (load, None),
                Some((_, d, r)) if urgency.outweighs(d) => (load + d + HIGH_LOAD, Some(r)),
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

    /// Tells whether an adapter may make way at an endpoint: it has been there for a while, and no caller waits for it.
    fn may_go(&self, at: EndpointKey, m: &ModelRef) -> bool {
        let is_fresh = self.rebalancer.fresh.contains_key(&(at, m.clone()));
        let is_spare = self.replicas.get(m).is_some_and(|n| *n > 1);
        !is_fresh && (is_spare || !self.waited_for.contains_key(m))
    }

    /// Fills free places with adapters that are nowhere, before they are asked for: they load in some ms,
    /// but a request that finds none waits for that and for the order.
    fn fill<F>(&self, free: F) -> Vec<(EndpointKey, AdapterMove)>
    where
        F: Fn(EndpointKey) -> bool,
    {
        let coming: BTreeSet<&ModelRef> = self.rebalancer.coming.values().collect();
        let mut out: Vec<(EndpointKey, AdapterMove)> = Vec::new();
        for (key, e) in self
            .rebalancer
            .open(self.roster, self.service)
            .filter(|(k, _)| free(*k))
        {
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
