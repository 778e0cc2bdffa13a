//! Chooses the endpoints on which adapters are loaded.
//!
//! Adapters load in some ms, and the slots for them are few. Adapters for which a caller waits, or is about to
//! retry, come first, the most recently requested ones before others: if slots are short, a load in order of
//! arrival completes after its caller has left. An idle adapter is replaced if there is one. The next in order
//! are adapters that aren't loaded on any endpoint, by their demand and the time for which they have been
//! missing; then those whose replicas have a high load; then free slots are filled before any request.

use super::{ADAPTER_FAILED_BACKOFF, AdapterMove, HIGH_LOAD, Rebalancer, used};
use crate::catalog::{EngineSpec, ModelSpec};
use crate::id::{EndpointKey, ServiceName};
use crate::roster::{ModelRef, Roster, holds};
use smol_str::SmolStr;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

/// The load of one replica above which an adapter gets another one, in ms of work per second.
const ADAPTER_HIGH: f64 = 150.0;
/// The load of one replica above which an adapter is also loaded into free slots, so that its requests have a
/// choice of endpoints. Missing adapters are loaded first.
const ADAPTER_SPREAD: f64 = 8.0;
/// The factor by which the weight of a missing adapter has to exceed that of the adapter which it replaces.
const REPLACE_FACTOR: f64 = 1.5;
/// The factor on the weight of an adapter with other replicas, when one has to be replaced.
const SPARE_ADAPTER: f64 = 0.2;
/// The minimum time for which an adapter stays loaded, so that callers who were asked to retry find it.
const MIN_ADAPTER_STAY: Duration = Duration::from_millis(1500);
/// How long after a request an adapter is considered in use: as long as most streams run. An adapter in use
/// that is ordered to unload does so when its last stream ends, and blocks all other orders at its endpoint
/// until then.
const IN_USE_TIME: Duration = Duration::from_secs(3);
/// How long after the last report of a waiting caller it is assumed to be waiting, or about to retry.
const CALLER_WAIT_TIME: Duration = Duration::from_secs(1);
/// The time after which the weight of a missing adapter has doubled, in seconds. Adapters load in some ms, so
/// several rarely requested adapters can alternate in one slot.
const DOUBLE_WEIGHT_AFTER_S: f64 = 1.0;

impl Rebalancer {
    /// Returns the number of replicas of each adapter that is loaded on any endpoint.
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

    /// Chooses where missing adapters and those with too few replicas are loaded, and records the loads as in
    /// progress.
    ///
    /// `waited_for` holds the adapters for which callers wait, with the time of the last report; `can_take_order`
    /// returns `true` if an endpoint can execute an order for an adapter now.
    pub fn plan_adapters<F>(
        &mut self,
        now: Instant,
        roster: &Roster,
        service: &ServiceName,
        spec: &EngineSpec,
        waited_for: &BTreeMap<ModelRef, Instant>,
        can_take_order: F,
    ) -> Vec<(EndpointKey, AdapterMove)>
    where
        F: Fn(EndpointKey) -> bool,
    {
        let replicas = self.adapter_replicas(roster, service);
        self.fresh
            .retain(|_, t| now.duration_since(*t) < MIN_ADAPTER_STAY);
        self.adapter_failed
            .retain(|_, t| now.duration_since(*t) < ADAPTER_FAILED_BACKOFF);
        let is_there = |t: &Instant| now.duration_since(*t) < CALLER_WAIT_TIME;
        let waited_for: BTreeMap<&ModelRef, Instant> = waited_for
            .iter()
            .filter(|(_, t)| is_there(t))
            .map(|(m, t)| (m, *t))
            .collect();
        self.record_missing(now, &replicas);
        let to_load = self.adapters_to_load(now, &replicas, &waited_for);
        let placement = AdapterPlacement {
            rebalancer: self,
            roster,
            service,
            spec,
            replicas: &replicas,
            waited_for: &waited_for,
        };
        let failed = &self.adapter_failed;
        let can_take_order = |k: EndpointKey| can_take_order(k) && !failed.contains_key(&k);
        let mut out: Vec<(EndpointKey, AdapterMove)> = Vec::new();
        for (m, urgency) in to_load {
            let free = |k: EndpointKey| can_take_order(k) && out.iter().all(|(o, _)| *o != k);
            out.extend(placement.place(m, urgency, free));
        }
        let taken: BTreeSet<EndpointKey> = out.iter().map(|(k, _)| *k).collect();
        out.extend(placement.fill(|k| can_take_order(k) && !taken.contains(&k)));
        for (key, m) in &out {
            self.coming.insert(*key, m.load.clone());
            self.fresh.insert((*key, m.load.clone()), now);
        }
        out
    }

    /// Records which adapters were requested since the last call: without a request, a rate only falls.
    pub(super) fn record_requested(&mut self, now: Instant, demand: &BTreeMap<ModelRef, f64>) {
        self.requested
            .retain(|_, t| now.duration_since(*t) < IN_USE_TIME);
        let adapters = demand.iter().filter(|(m, _)| m.adapter.is_some());
        for (m, d) in adapters.clone() {
            if self.last_rates.get(m).is_none_or(|before| d > before) {
                self.requested.insert(m.clone(), now);
            }
        }
        self.last_rates = adapters.map(|(m, d)| (m.clone(), *d)).collect();
    }

    /// Returns the adapters to be loaded, most urgent first.
    fn adapters_to_load<'r>(
        &'r self,
        now: Instant,
        replicas: &BTreeMap<ModelRef, usize>,
        waited_for: &BTreeMap<&'r ModelRef, Instant>,
    ) -> Vec<(&'r ModelRef, Urgency)> {
        let missing = waited_for.iter().filter(|(m, _)| {
            let is_coming = self.coming.values().any(|c| c == **m);
            m.adapter.is_some() && !is_coming && !replicas.contains_key(**m)
        });
        let mut out: Vec<(&ModelRef, Urgency)> = missing
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

    /// Returns the weight of a missing adapter, from its demand and the time for which it has been missing.
    fn weight(&self, now: Instant, m: &ModelRef) -> f64 {
        let demand = self.slow.get(m).copied().unwrap_or(0.0);
        let since = self.missing.get(m).map(|t| now.duration_since(*t));
        demand * (1.0 + since.unwrap_or_default().as_secs_f64() / DOUBLE_WEIGHT_AFTER_S)
    }

    fn record_missing(&mut self, now: Instant, replicas: &BTreeMap<ModelRef, usize>) {
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

/// The urgency of loading an adapter.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Urgency {
    /// A caller waits for the adapter or is about to retry; holds the time of the last report.
    CallerWaits(Instant),
    /// The adapter isn't loaded or has too few replicas; holds its weight.
    Missed(f64),
    /// Another replica would give the adapter's requests a choice of endpoints; holds the demand per replica.
    Spread(f64),
}

impl Urgency {
    /// Returns `true` if an adapter with the weight `worth` may be replaced for this urgency.
    fn outweighs(self, worth: f64) -> bool {
        match self {
            Self::CallerWaits(_) => true,
            Self::Missed(weight) => worth * REPLACE_FACTOR <= weight,
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

/// The inputs for choosing the endpoints of adapters.
struct AdapterPlacement<'a> {
    rebalancer: &'a Rebalancer,
    roster: &'a Roster,
    service: &'a ServiceName,
    spec: &'a EngineSpec,
    replicas: &'a BTreeMap<ModelRef, usize>,
    /// The adapters for which callers wait, with the time of the last report.
    waited_for: &'a BTreeMap<&'a ModelRef, Instant>,
}

impl AdapterPlacement<'_> {
    /// Finds the best endpoint for an adapter among those that match a predicate.
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
            let loaded = e.holdings.iter();
            let loaded = loaded.flat_map(|(n, h)| h.adapters.iter().map(move |a| (n, a)));
            let loaded: Vec<(f64, ModelRef)> = loaded.map(|(n, a)| self.worth(n, a)).collect();
            let load: f64 = loaded.iter().map(|(d, _)| d).sum();
            let is_full = loaded.len() >= self.spec.adapter_places
                || used(&e.holdings, self.spec) + size > self.spec.megabytes;
            let can_unload = loaded.into_iter().filter(|(_, r)| self.can_unload(key, r));
            let can_unload =
                can_unload.map(|(d, r)| (self.rebalancer.requested.contains_key(&r), d, r));
            let least = can_unload.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
            // Replacing an adapter costs more than using a free slot.
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

    /// Returns `true` if an adapter may be unloaded from an endpoint: it has been loaded for a while, and no
    /// caller waits for it or it has other replicas.
    fn can_unload(&self, at: EndpointKey, m: &ModelRef) -> bool {
        let is_fresh = self.rebalancer.fresh.contains_key(&(at, m.clone()));
        let is_spare = self.replicas.get(m).is_some_and(|n| *n > 1);
        !is_fresh && (is_spare || !self.waited_for.contains_key(m))
    }

    /// Fills free slots with adapters that aren't loaded on any endpoint, before they are requested: they load
    /// in some ms, but a request for a missing one waits for the load and for the order.
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
            let loaded: usize = e.holdings.values().map(|h| h.adapters.len()).sum();
            if loaded >= self.spec.adapter_places {
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

    /// Returns the weight of an adapter at one of the endpoints that hold it.
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
