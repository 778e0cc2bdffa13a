//! Where another replica of a model is worth most.
//!
//! What an endpoint's load costs callers grows with its cube until it is full ([`load_cost`]); a move is worth how much the sum
//! over all endpoints falls. A model that is loaded above [`HIGH_LOAD`] somewhere may get another replica,
//! once the least wanted duplicates have made way; the last replica of a model never does. In quiet times
//! models get second replicas.

use super::table::{ModelIx, Place, PlaceIx, Table};
use super::{HIGH_LOAD, Rebalancer};
use crate::id::ZoneName;

/// What a move has to be worth, in units of an endpoint at [`HIGH_LOAD`]: it costs an order or two, and
/// the endpoint's prompts that were kept.
const MOVE_COST: f64 = 0.3;
/// What a load from the weight store costs more than one from a copy at hand: seconds of its use.
const COLD_COST: f64 = 0.3;
/// For how long a move is expected to be of use, in s: demand moves on about as often.
const HORIZON_S: f64 = 10.0;
/// What a load from a copy takes, in s: 0.6 from an endpoint's memory, 1.2 to 1.6 from its disk.
const COPY_LOAD_S: f64 = 1.3;
/// How much more a replica is worth than others of its model while it is the only one of its zone: a zone that is cut
/// off serves what it holds. Against none 0.005 +- 0.007 of a day's worth, in the worst seconds 0.007; against three
/// times 0.007 +- 0.009 (20 days each).
const ONLY_IN_ZONE: f64 = 1.5;
/// The least part of its worth that a move keeps, however long the load takes.
const LEAST_TIMELY: f64 = 0.1;
/// What a second replica may cost at most, and what it costs more in the zone of the first.
const SPARE_COST: f64 = 0.1;
/// The part of the replicas of a model with adapters that may be carrying out orders on models at once,
/// since they take none on adapters meanwhile; and the same for second replicas.
const MOVING_PART: f64 = 0.6;
const SPARE_MOVING_PART: f64 = 0.25;
/// Second replicas are loaded while fewer than this part of the endpoints are being ordered.
const SPARE_MOVES_PART: usize = 4;
/// What it costs to unload a model whose replica carries [`HIGH_LOAD`]: the unload waits for its runs, and
/// the endpoint takes no other order meanwhile.
const BUSY_COST: f64 = 2.0;
/// What a model costs that is nowhere: three endpoints at twice [`HIGH_LOAD`], and as much again for each
/// so many ms of work a second that are asked of it. A model that is hardly asked for doesn't push out one
/// that is hot.
const MISSING_COST: f64 = 6.0;
const MISSING_DEMAND: f64 = 60.0;

/// The load of an endpoint that has no time left, in ms of work a second.
const FULL_LOAD: f64 = 1000.0;

/// What a load costs callers: little while it is low, steeply more above [`HIGH_LOAD`]. What is above [`FULL_LOAD`] is
/// refused, so each ms of it costs as much as the last.
///
/// With the cube for all loads a model that was nowhere, and asked for six times over what an endpoint bears, made every
/// endpoint look worse than none: it was not loaded for fourteen seconds, and 2,000 requests were refused.
fn load_cost(load: f64) -> f64 {
    let cube = (load.clamp(0.0, FULL_LOAD) / HIGH_LOAD).powi(3);
    let slope = 3.0 * (FULL_LOAD / HIGH_LOAD).powi(2) / HIGH_LOAD;
    cube + slope * (load - FULL_LOAD).max(0.0)
}

/// A move of a model that was weighed.
#[derive(Debug)]
pub(super) struct Weighed {
    worth: f64,
    pub(super) at: PlaceIx,
    pub(super) load: ModelIx,
    pub(super) evict: Vec<ModelIx>,
}

/// Gives the one that is worth more; the first one if both are worth as much.
fn better(a: Option<Weighed>, b: Option<Weighed>) -> Option<Weighed> {
    match (a, b) {
        (Some(a), Some(b)) if b.worth > a.worth => Some(b),
        (None, b) => b,
        (a, _) => a,
    }
}

/// One weighing of all endpoints.
pub(super) struct Weighing<'a> {
    pub(super) rebalancer: &'a Rebalancer,
    pub(super) table: &'a Table,
}

impl Weighing<'_> {
    /// Finds the move that is worth most, if any is worth making.
    pub(super) fn best_move(&self) -> Option<Weighed> {
        let short = self.table.models().filter(|m| self.is_short(*m));
        short.map(|m| self.best_place(m)).fold(None, better)
    }

    /// Finds a place for a second replica of a model that has one only: an endpoint that is lost takes its
    /// models with it, and a load from the weight store takes seconds.
    ///
    /// This is done while little else is, so that a shift of demand finds the weight store and the
    /// endpoints free. `left` is how many loads from the weight store may begin.
    pub(super) fn spare_move(&self, left: usize) -> Option<Weighed> {
        let places = self.table.places().count();
        let moving = self.table.moving();
        let begun = self.rebalancer.loads.len();
        if moving >= places / SPARE_MOVES_PART || left <= begun {
            return None;
        }
        let single = self
            .table
            .models()
            .filter(|m| self.table.replicas(*m) < 2.0);
        single.map(|m| self.best_spare(m)).fold(None, better)
    }

    /// Tells whether a model is nowhere, or loaded above [`HIGH_LOAD`] somewhere.
    fn is_short(&self, m: ModelIx) -> bool {
        let loads = self.table.holders(m).map(|(_, p)| p.load);
        let hottest = loads.max_by(f64::total_cmp);
        hottest.is_none_or(|l| l > HIGH_LOAD && self.table.demand(m) > 0.0)
    }

    /// Finds where another replica of a model is worth most.
    fn best_place(&self, load: ModelIx) -> Option<Weighed> {
        let t = self.table;
        let is_missing = t.replicas(load) < 1.0;
        let mut best = None;
        for (at, p) in t.places() {
            // A model that is nowhere waits for no adapters: with the bound a hot one stayed away for thirty seconds,
            // while each endpoint held some model with adapters that was nowhere else.
            let part = if is_missing {
                f64::INFINITY
            } else {
                MOVING_PART
            };
            if !self.may_move(p, load, part) {
                continue;
            }
            let Some(evict) = self.make_room(p, t.megabytes(load), 1.0) else {
                continue;
            };
            let mut worth = self.gain(at, load, &evict);
            if is_missing {
                worth += MISSING_COST * (1.0 + t.demand(load) / MISSING_DEMAND);
            }
            worth *= self.timely_part(p, load);
            if worth > 0.0 && t.holders(load).all(|(_, o)| o.zone != p.zone) {
                worth *= ONLY_IN_ZONE;
            }
            worth -= evict.iter().map(|m| t.share(*m, 0.0)).sum::<f64>() / HIGH_LOAD * BUSY_COST;
            if !p.has_copy(load) {
                worth -= COLD_COST;
            }
            let weighed = Weighed {
                worth,
                at,
                load,
                evict,
            };
            best = better(best, (worth > MOVE_COST).then_some(weighed));
        }
        best
    }

    /// Gives the part of [`HORIZON_S`] for which a replica would be there.
    fn timely_part(&self, p: &Place, load: ModelIx) -> f64 {
        let ready_s = if p.has_copy(load) {
            COPY_LOAD_S
        } else {
            self.table.cold_load_s(load)
        };
        (1.0 - ready_s / HORIZON_S).max(LEAST_TIMELY)
    }

    /// Finds where a second replica of a model costs least.
    fn best_spare(&self, load: ModelIx) -> Option<Weighed> {
        let t = self.table;
        let zones: Vec<&ZoneName> = t.holders(load).map(|(_, p)| &p.zone).collect();
        let mut best = None;
        for (at, p) in t.places() {
            if !self.may_move(p, load, SPARE_MOVING_PART) {
                continue;
            }
            // What makes way has to leave two replicas behind.
            let Some(evict) = self.make_room(p, t.megabytes(load), 2.0) else {
                continue;
            };
            let mut worth = self.gain(at, load, &evict);
            if worth < -SPARE_COST {
                continue;
            }
            if zones.contains(&&p.zone) {
                worth -= SPARE_COST;
            }
            if !p.has_copy(load) {
                worth -= COLD_COST;
            }
            let weighed = Weighed {
                worth,
                at,
                load,
                evict,
            };
            best = better(best, Some(weighed));
        }
        best
    }

    /// Tells whether an endpoint may be ordered to load a model: it isn't being ordered, and enough replicas
    /// of the models with adapters that it holds stay at rest.
    ///
    /// Where each endpoint holds some model with adapters that is nowhere else, a bound without exception kept a hot
    /// model at one replica for ten seconds, and one that was nowhere away for thirty.
    fn may_move(&self, p: &Place, load: ModelIx, part: f64) -> bool {
        if p.moving || p.holds(load) {
            return false;
        }
        // A replica that is needed may take the only endpoint of a model with adapters; a spare one may not.
        let least = if part < MOVING_PART { 0.0 } else { 1.0 };
        p.models.iter().all(|m| {
            let moving = self.table.holders(*m).filter(|(_, o)| o.moving).count();
            #[expect(clippy::cast_precision_loss, reason = "a service has few endpoints")]
            let moving = moving as f64 + 1.0;
            !self.table.has_adapters(*m) || moving <= (self.table.replicas(*m) * part).max(least)
        })
    }

    /// Gives how much the endpoints' costs fall when a model takes the place of others: at the target, at the
    /// model's other replicas, and at those of what makes way.
    fn gain(&self, target: PlaceIx, load: ModelIx, evict: &[ModelIx]) -> f64 {
        let t = self.table;
        let mut changes: Vec<(PlaceIx, f64)> = Vec::new();
        let mut add = |at: PlaceIx, change: f64| match changes.iter_mut().find(|(p, _)| *p == at) {
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
        let cost = |(at, change): &(PlaceIx, f64)| {
            let before = t.place(*at).load;
            load_cost(before) - load_cost(before + change)
        };
        changes.iter().map(cost).sum()
    }

    /// Names what has to make way on an endpoint for a model of this size, the least wanted first. Only
    /// models with more than so many replicas make way.
    fn make_room(&self, p: &Place, size: f64, left: f64) -> Option<Vec<ModelIx>> {
        let t = self.table;
        let mut free = p.free;
        let loaded = &self.rebalancer.loaded;
        let stays = |m: ModelIx| loaded.contains_key(&(p.key, t.name(m).clone()));
        let may_go = p.models.iter().copied();
        let may_go = may_go.filter(|m| t.replicas(*m) > left && !stays(*m));
        let mut may_go: Vec<ModelIx> = may_go.collect();
        let wanted = |m: ModelIx| {
            let here = t.holders(m).filter(|(_, o)| o.zone == p.zone).count();
            t.share(m, -1.0) * if here > 1 { 1.0 } else { ONLY_IN_ZONE }
        };
        may_go.sort_by(|a, b| wanted(*a).total_cmp(&wanted(*b)));
        let mut evict = Vec::new();
        for m in may_go {
            if free >= size {
                break;
            }
            free += t.megabytes(m);
            evict.push(m);
        }
        (free >= size).then_some(evict)
    }
}
