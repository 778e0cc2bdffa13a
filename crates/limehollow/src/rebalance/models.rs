//! Where another replica of a model is worth most.
//!
//! What an endpoint's load costs callers grows with its cube ([`load_cost`]); a move is worth how much the sum
//! over all endpoints falls. A model that is loaded above [`HIGH_LOAD`] somewhere may get another replica,
//! once the least wanted duplicates have made way; the last replica of a model never does. In quiet times
//! models get second replicas and copies.

use super::{HIGH_LOAD, LoadCeiling, ModelMove, Place, Rebalancer};
use crate::catalog::EngineSpec;
use crate::id::{EndpointKey, ZoneName};
use smol_str::SmolStr;
use std::collections::{BTreeMap, BTreeSet};

/// What a move has to be worth, in units of an endpoint at [`HIGH_LOAD`]: it costs an order or two, and
/// the endpoint's prompts that were kept.
const MOVE_COST: f64 = 0.3;
/// What a load from the weight store costs more than one from a copy at hand: seconds of its use.
const COLD_COST: f64 = 0.3;
/// What a second replica may cost at most, and what it costs more in the zone of the first.
const SPARE_COST: f64 = 0.1;
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
const BUSY_COST: f64 = 2.0;
/// What a model costs that is nowhere: three endpoints at twice [`HIGH_LOAD`], and as much again for each
/// so many ms of work a second that are asked of it. A model that is hardly asked for doesn't push out one
/// that is hot.
const MISSING_COST: f64 = 24.0;
const MISSING_DEMAND: f64 = 240.0;

/// What a load costs callers: little while it is low, steeply more above [`HIGH_LOAD`].
fn load_cost(load: f64) -> f64 {
    (load.max(0.0) / HIGH_LOAD).powi(3)
}

impl Rebalancer {
    /// Finds the move that is worth most, if any is worth making.
    pub(super) fn best_move(
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

    /// Finds a place for a second replica of a model that has one only: an endpoint that is lost takes its
    /// models with it, and a load from the weight store takes seconds.
    ///
    /// This is done while little else is, so that a shift of demand finds the weight store and the
    /// endpoints free.
    pub(super) fn spare_move(
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
            gain -= evict.iter().map(|m| self.share(m, 0.0)).sum::<f64>() / HIGH_LOAD * BUSY_COST;
            if !p.copies.contains(model) {
                gain -= COLD_COST;
            }
            if is_missing {
                gain += MISSING_COST * (1.0 + self.rebalancer.demand(model) / MISSING_DEMAND);
            }
            if gain > MOVE_COST && best.as_ref().is_none_or(|(g, ..)| gain > *g) {
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
            if worth < -SPARE_COST {
                continue;
            }
            if zones.contains(&p.zone) {
                worth -= SPARE_COST;
            }
            if !p.copies.contains(model) {
                worth -= COLD_COST;
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

    /// Gives how much the endpoints' costs fall when a model takes the place of others.
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
            gain += load_cost(p.load) - load_cost(after);
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
