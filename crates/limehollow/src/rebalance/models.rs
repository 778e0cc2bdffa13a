//! Chooses where another replica of a model is worth most.
//!
//! The cost of an endpoint's load to callers grows with its cube until the endpoint is full ([`load_cost`]);
//! the value of a move is the decrease of the sum over all endpoints. A model that is loaded above
//! [`HIGH_LOAD`] on some endpoint may get another replica after the least needed duplicates were unloaded. If
//! an endpoint holds no duplicates, the last replica of a model may be unloaded, provided that a local copy
//! remains on the endpoint and that the move is worth more than the loss of that model meanwhile. At low load,
//! models without demand are loaded again, and models get second replicas.
//!
//! When last replicas were never unloaded, no move was possible once each slot held one: with twice as many
//! models as slots 0.17 of the work of the busy models was done instead of 0.70, with a few more models than
//! slots 0.34 instead of 0.77 (`tests/placing.rs`, which also shows the cost for the other models).

use super::table::{EndpointIx, EndpointState, ModelIx, Table};
use super::{HIGH_LOAD, Rebalancer};
use crate::id::{SoftwareVersion, ZoneName};

/// The minimum value of a move, in units of an endpoint at [`HIGH_LOAD`]: a move costs one or two orders and
/// the endpoint's prefix cache.
const MOVE_COST: f64 = 0.3;
/// The additional cost of a load from the weight store instead of a local copy: seconds of use.
const COLD_COST: f64 = 0.3;
/// The time for which a move is expected to be useful, in seconds: demand changes about that often.
const HORIZON_S: f64 = 10.0;
/// The duration of a load from a local copy, in seconds: 0.6 from an endpoint's memory, 1.2 to 1.6 from its
/// disk.
const COPY_LOAD_S: f64 = 1.3;
/// The factor on the value of a replica that is the only one of its model in a zone: a zone that is cut off can
/// serve only the models that it holds. Compared with no factor, the gain was 0.005 +- 0.007 of a day's value,
/// 0.007 in the worst seconds; compared with a factor of three, 0.007 +- 0.009 (20 days each).
const ONLY_IN_ZONE: f64 = 1.5;
/// The smallest fraction of its value that a move keeps, however long the load takes.
const MIN_TIMELY_PART: f64 = 0.1;
/// The maximum cost of a second replica, and its additional cost in the zone of the first, or at another version.
const SPARE_COST: f64 = 0.1;
/// The fraction of the replicas of a model with adapters whose endpoints may be executing orders for models at
/// the same time, since these accept no adapters meanwhile; and the same for second replicas.
const MOVING_PART: f64 = 0.6;
const SPARE_MOVING_PART: f64 = 0.25;
/// Second replicas are loaded only while less than one in this number of endpoints is executing orders.
const SPARE_MOVES_PART: usize = 4;
/// The cost of unloading a model whose replica has a load of [`HIGH_LOAD`]: the unload waits for its streams,
/// and the endpoint accepts no other order meanwhile.
const BUSY_COST: f64 = 2.0;
/// The cost of a model without a replica: that of three endpoints at twice [`HIGH_LOAD`], and the same again
/// for each [`MISSING_DEMAND`] ms of work per second requested of it. A rarely requested model therefore
/// doesn't displace a heavily requested one.
const MISSING_COST: f64 = 6.0;
const MISSING_DEMAND: f64 = 60.0;

/// The load of a fully used endpoint, in ms of work per second.
const FULL_LOAD: f64 = 1000.0;

/// The cost of each ms of work per second that is refused: that of the last one which a full endpoint serves.
const FULL_SLOPE: f64 = 3.0 * (FULL_LOAD / HIGH_LOAD) * (FULL_LOAD / HIGH_LOAD) / HIGH_LOAD;
/// The cost of a model without a replica and without demand, if others would have to be unloaded: less than
/// that of any useful replica.
const UNREQUESTED_COST: f64 = 1.0;

/// Returns the cost of a model without a replica for a demand in ms of work per second.
///
/// The cost is the same for loading a model and for unloading one, so two models with equal demand don't
/// alternate. With half of it for the unloaded model, 0.56 of all requests were served on ten days of a site
/// with 1.8 times as many models as slots, with all of it 0.67, with two and a half times as much 0.68.
fn missing_cost(demand: f64) -> f64 {
    MISSING_COST * (1.0 + demand / MISSING_DEMAND)
}

/// Returns the cost of a load to callers: small for low loads, and growing steeply above [`HIGH_LOAD`]. Work
/// above [`FULL_LOAD`] is refused, so its cost is linear.
///
/// With the cube for all loads, a model without a replica whose demand was six times an endpoint's capacity
/// made every endpoint look worse than no load at all: it was not loaded for fourteen seconds, and 2,000
/// requests were refused.
fn load_cost(load: f64) -> f64 {
    let cube = (load.clamp(0.0, FULL_LOAD) / HIGH_LOAD).powi(3);
    cube + FULL_SLOPE * (load - FULL_LOAD).max(0.0)
}

/// A possible move of a model with its value.
#[derive(Debug)]
pub(super) struct RatedMove {
    worth: f64,
    pub(super) at: EndpointIx,
    pub(super) load: ModelIx,
    pub(super) evict: Vec<ModelIx>,
}

/// Returns the more valuable move, or the first one if both have the same value.
fn better(a: Option<RatedMove>, b: Option<RatedMove>) -> Option<RatedMove> {
    match (a, b) {
        (Some(a), Some(b)) if b.worth > a.worth => Some(b),
        (None, b) => b,
        (a, _) => a,
    }
}

/// The evaluation of moves over all endpoints.
pub(super) struct MoveEvaluation<'a> {
    pub(super) rebalancer: &'a Rebalancer,
    pub(super) table: &'a Table,
}

impl MoveEvaluation<'_> {
    /// Returns the most valuable move, if any exceeds its cost.
    pub(super) fn best_move(&self) -> Option<RatedMove> {
        let short = self.table.models().filter(|m| self.is_short(*m));
        short.map(|m| self.best_move_for(m)).fold(None, better)
    }

    /// Returns a move for a model without a replica and without demand, or a second replica for a model with
    /// only one: an endpoint that is lost takes its models with it, and a load from the weight store takes
    /// seconds.
    ///
    /// Such moves are made only at low activity, so that the weight store and the endpoints are free for a
    /// shift of demand. `left` is the number of loads from the weight store that may begin, `begun` the number
    /// that began recently.
    pub(super) fn spare_move(&self, left: usize, begun: usize) -> Option<RatedMove> {
        let endpoints = self.table.endpoints().count();
        let moving = self.table.moving();
        if moving >= (endpoints / SPARE_MOVES_PART).max(1) || left <= begun {
            return None;
        }
        let t = self.table;
        let missing = t.models().filter(|m| t.replicas(*m) < 1.0);
        let back = missing.map(|m| self.best_move_for(m)).fold(None, better);
        let single = t.models().filter(|m| t.has_one_replica(*m));
        back.or_else(|| single.map(|m| self.best_spare(m)).fold(None, better))
    }

    /// Returns a move that brings a model to a version of the software at which a stream waits to go on. Only models
    /// that keep a replica make room for it.
    pub(super) fn bound_move(&self) -> Option<RatedMove> {
        let bound = self.rebalancer.bound.iter();
        let moves = bound.map(|(name, version)| {
            let load = self.table.find(name)?;
            self.best_move_to(load, version)
        });
        moves.fold(None, better)
    }

    /// Returns the move at the lowest cost that brings a model to a version, unless an endpoint of the version has it.
    fn best_move_to(&self, load: ModelIx, version: &SoftwareVersion) -> Option<RatedMove> {
        let t = self.table;
        let has_version = |p: &EndpointState| p.software.as_ref() == Some(version);
        if t.holders(load).any(|(_, p)| has_version(p)) {
            return None;
        }
        let mut best = None;
        for (at, p) in t.endpoints().filter(|(_, p)| has_version(p)) {
            if !self.may_move(p, load, f64::INFINITY) {
                continue;
            }
            let Some(mut m) = self.move_beside((at, p), load, 1.0) else {
                continue;
            };
            if !p.has_copy(load) {
                m.worth -= COLD_COST;
            }
            best = better(best, Some(m));
        }
        best
    }

    /// Returns a move that unloads only models with more than `left` replicas, rated by the load of the endpoints alone.
    fn move_beside(
        &self,
        (at, p): (EndpointIx, &EndpointState),
        load: ModelIx,
        left: f64,
    ) -> Option<RatedMove> {
        let evict = self.make_room(p, load, left)?;
        Some(RatedMove {
            worth: self.gain(at, load, &evict),
            at,
            load,
            evict,
        })
    }

    /// Returns `true` if a model is requested and has no replica, or if an endpoint that holds it is loaded
    /// above [`HIGH_LOAD`].
    fn is_short(&self, m: ModelIx) -> bool {
        let loads = self.table.holders(m).map(|(_, p)| p.load);
        let hottest = loads.max_by(f64::total_cmp);
        hottest.map_or(self.table.is_requested(m), |l| {
            l > HIGH_LOAD && self.table.demand(m) > 0.0
        })
    }

    /// Returns the most valuable move that adds a replica of a model.
    fn best_move_for(&self, load: ModelIx) -> Option<RatedMove> {
        let t = self.table;
        let is_missing = t.replicas(load) < 1.0;
        let mut best = None;
        for (at, p) in t.endpoints() {
            // A model without a replica doesn't wait for adapters: with the bound, a heavily requested model
            // was missing for thirty seconds while each endpoint held the only replica of some model with
            // adapters.
            let part = if is_missing {
                f64::INFINITY
            } else {
                MOVING_PART
            };
            if !self.may_move(p, load, part) {
                continue;
            }
            let Some(evict) = self
                .make_room(p, load, 1.0)
                .or_else(|| self.make_room(p, load, 0.0))
            else {
                continue;
            };
            let mut worth = self.gain(at, load, &evict) + self.missing_gain(load, &evict);
            worth *= self.timely_part(p, load);
            if worth > 0.0 && t.holders(load).all(|(_, o)| o.zone != p.zone) {
                worth *= ONLY_IN_ZONE;
            }
            worth -= evict.iter().map(|m| t.share(*m, 0.0)).sum::<f64>() / HIGH_LOAD * BUSY_COST;
            if !p.has_copy(load) {
                worth -= COLD_COST;
            }
            let rated = RatedMove {
                worth,
                at,
                load,
                evict,
            };
            best = better(best, (worth > MOVE_COST).then_some(rated));
        }
        best
    }

    /// Returns the value of a move from models that have no replica before or after it.
    fn missing_gain(&self, load: ModelIx, evict: &[ModelIx]) -> f64 {
        let t = self.table;
        let only = evict.iter().filter(|m| t.replicas(**m) < 2.0);
        let lost: Vec<f64> = only.map(|m| missing_cost(t.at_most(*m))).collect();
        let is_missing = t.replicas(load) < 1.0;
        let gained = match (is_missing, t.is_requested(load)) {
            (false, _) => 0.0,
            (true, true) if lost.is_empty() => missing_cost(t.demand(load)),
            // A single request is too little evidence to unload another model's last replica.
            (true, true) => missing_cost(t.at_least(load)),
            (true, false) if evict.is_empty() => MISSING_COST,
            (true, false) => UNREQUESTED_COST,
        };
        gained - lost.iter().sum::<f64>()
    }

    /// Returns the fraction of [`HORIZON_S`] for which a replica would be ready.
    fn timely_part(&self, p: &EndpointState, load: ModelIx) -> f64 {
        let ready_s = if p.has_copy(load) {
            COPY_LOAD_S
        } else {
            self.table.cold_load_s(load)
        };
        (1.0 - ready_s / HORIZON_S).max(MIN_TIMELY_PART)
    }

    /// Returns the move that adds a second replica of a model at the lowest cost.
    fn best_spare(&self, load: ModelIx) -> Option<RatedMove> {
        let t = self.table;
        let zones: Vec<&ZoneName> = t.holders(load).map(|(_, p)| &p.zone).collect();
        let versions: Vec<_> = t.holders(load).map(|(_, p)| &p.software).collect();
        let mut best = None;
        for (at, p) in t.endpoints() {
            if !self.may_move(p, load, SPARE_MOVING_PART) {
                continue;
            }
            // Only models that keep two replicas may be unloaded.
            let Some(mut m) = self.move_beside((at, p), load, 2.0) else {
                continue;
            };
            if m.worth < -SPARE_COST {
                continue;
            }
            if zones.contains(&&p.zone) {
                m.worth -= SPARE_COST;
            }
            // The streams of the first replica couldn't go on there.
            if !versions.contains(&&p.software) {
                m.worth -= SPARE_COST;
            }
            if !p.has_copy(load) {
                m.worth -= COLD_COST;
            }
            best = better(best, Some(m));
        }
        best
    }

    /// Returns `true` if an endpoint may be ordered to load a model: it executes no other order, and enough
    /// other replicas of its models with adapters aren't being moved.
    ///
    /// When each endpoint held the only replica of some model with adapters, a bound without exception kept a
    /// heavily requested model at one replica for ten seconds, and one without a replica missing for thirty.
    fn may_move(&self, p: &EndpointState, load: ModelIx, part: f64) -> bool {
        if p.moving || p.needs_adapters_first || p.holds(load) {
            return false;
        }
        // A necessary replica may use the only endpoint of a model with adapters; a second replica may not.
        let least = if part < MOVING_PART { 0.0 } else { 1.0 };
        p.models.iter().all(|m| {
            let moving = self.table.holders(*m).filter(|(_, o)| o.moving).count();
            #[expect(clippy::cast_precision_loss, reason = "a service has few endpoints")]
            let moving = moving as f64 + 1.0;
            !self.table.has_adapters(*m) || moving <= (self.table.replicas(*m) * part).max(least)
        })
    }

    /// Returns the decrease of the endpoints' costs if a model replaces others: at the target, at the model's
    /// other replicas, and at the other replicas of the unloaded models.
    fn gain(&self, target: EndpointIx, load: ModelIx, evict: &[ModelIx]) -> f64 {
        let t = self.table;
        let mut changes: Vec<(EndpointIx, f64)> = Vec::new();
        let mut add = |at: EndpointIx, change: f64| match changes.iter_mut().find(|(p, _)| *p == at)
        {
            Some((_, sum)) => *sum += change,
            None => changes.push((at, change)),
        };
        let (alone, before) = (t.share(load, 1.0), t.share(load, 0.0));
        add(target, alone);
        for (at, _) in t.holders(load) {
            add(at, alone - before);
        }
        for m in evict {
            let (now, then) = (t.share(*m, 0.0), t.share(*m, -1.0));
            for (at, _) in t.holders(*m) {
                add(at, if at == target { -now } else { then - now });
            }
        }
        let cost = |(at, change): &(EndpointIx, f64)| {
            let before = t.endpoint(*at).load;
            load_cost(before) - load_cost(before + change)
        };
        changes.iter().map(cost).sum()
    }

    /// Returns the models to unload from an endpoint so that another one fits, the least valuable first, or
    /// `None` if too little memory can be freed.
    ///
    /// A model is unloaded only if it has more than `left` replicas, a last replica only if the endpoint keeps
    /// a local copy, and a model with expected demand only for one that was already requested.
    fn make_room(&self, p: &EndpointState, load: ModelIx, left: f64) -> Option<Vec<ModelIx>> {
        let t = self.table;
        let size = t.megabytes(load);
        let is_requested = t.is_requested(load);
        let mut free = p.free;
        let loaded = &self.rebalancer.loaded;
        let stays = |m: ModelIx| loaded.contains_key(&(p.key, t.name(m).clone()));
        let can_unload = p.models.iter().copied();
        let can_reload = |m: ModelIx| t.replicas(m) > 1.0 || p.has_copy(m);
        let can_unload = can_unload.filter(|m| {
            let is_free = t.replicas(*m) > left && !stays(*m);
            is_free && can_reload(*m) && (is_requested || !t.is_expected(*m))
        });
        let mut can_unload: Vec<ModelIx> = can_unload.collect();
        let wanted = |m: ModelIx| {
            let here = t.holders(m).filter(|(_, o)| o.zone == p.zone).count();
            let last = if t.replicas(m) < 2.0 {
                t.at_most(m)
            } else {
                0.0
            };
            last + t.share(m, -1.0) * if here > 1 { 1.0 } else { ONLY_IN_ZONE }
        };
        can_unload.sort_by(|a, b| wanted(*a).total_cmp(&wanted(*b)));
        let mut evict = Vec::new();
        for m in can_unload {
            if free >= size {
                break;
            }
            free += t.megabytes(m);
            evict.push(m);
        }
        (free >= size).then_some(evict)
    }
}
