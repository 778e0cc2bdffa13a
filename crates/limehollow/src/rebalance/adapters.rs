//! Where adapters are loaded.
//!
//! Adapters load in some ms and their places are few. Those that are asked for and nowhere go first, by how
//! much and how long they have been asked for; then those whose replicas carry much; then free places are
//! filled before anybody asks.

use super::{ADAPTER_FAILED_REST, AdapterMove, HIGH_LOAD, Rebalancer, used};
use crate::catalog::{EngineSpec, ModelSpec};
use crate::id::{EndpointKey, ServiceName};
use crate::roster::{ModelRef, Roster, holds};
use smol_str::SmolStr;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

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
        let replicas = self.adapter_replicas(roster, service);
        self.fresh
            .retain(|_, t| now.duration_since(*t) < ADAPTER_STAY);
        self.adapter_failed
            .retain(|_, t| now.duration_since(*t) < ADAPTER_FAILED_REST);
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
        let failed = &self.adapter_failed;
        let resting = |k: EndpointKey| resting(k) && !failed.contains_key(&k);
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
