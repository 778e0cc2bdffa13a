//! Where another replica of a model is worth most.
//!
//! What an endpoint's load costs callers grows with its cube until it is full ([`load_cost`]); a move is worth how much the sum
//! over all endpoints falls. A model that is loaded above [`HIGH_LOAD`] somewhere may get another replica, once the least
//! wanted duplicates have made way. Where an endpoint holds none, the last replica of a model may make way, if it leaves a
//! copy at hand there and the move is worth more than that nobody can be served by the model meanwhile. In quiet times
//! models that nobody asks for come back, and models get second replicas.
//!
//! While last replicas never made way, nothing could move once each place held one: with twice as many models as places
//! 0.17 of the work of the busy models was done instead of 0.70, with a few more models than places 0.34 instead of 0.77
//! (`tests/placing.rs`, which shows too what it costs the others).

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

/// What a ms of work a second costs that is refused: as much as the last one that a full endpoint bears.
const FULL_SLOPE: f64 = 3.0 * (FULL_LOAD / HIGH_LOAD) * (FULL_LOAD / HIGH_LOAD) / HIGH_LOAD;
/// What a model costs that is nowhere and that nobody has asked for, where others would have to make way: less than any
/// replica that is of use.
const UNASKED_COST: f64 = 1.0;

/// What it costs that a model is nowhere that so many ms of work a second are asked of. It is the same for a model that
/// comes and for one that goes, so two that are asked for alike don't take turns. With half of it for the one that goes,
/// 0.56 of all requests were served on ten days of a site with 1.8 times as many models as places, with all of it 0.67,
/// with two and a half times as much 0.68.
fn missing_cost(demand: f64) -> f64 {
    MISSING_COST * (1.0 + demand / MISSING_DEMAND)
}

/// What a load costs callers: little while it is low, steeply more above [`HIGH_LOAD`]. What is above [`FULL_LOAD`] is
/// refused, so each ms of it costs as much as the last.
///
/// With the cube for all loads a model that was nowhere, and asked for six times over what an endpoint bears, made every
/// endpoint look worse than none: it was not loaded for fourteen seconds, and 2,000 requests were refused.
fn load_cost(load: f64) -> f64 {
    let cube = (load.clamp(0.0, FULL_LOAD) / HIGH_LOAD).powi(3);
    cube + FULL_SLOPE * (load - FULL_LOAD).max(0.0)
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

    /// Finds a place for a model that is nowhere and that nobody has asked for, or for a second replica of one that has one
    /// only: an endpoint that is lost takes its models with it, and a load from the weight store takes seconds.
    ///
    /// This is done while little else is, so that a shift of demand finds the weight store and the
    /// endpoints free. `left` is how many loads from the weight store may begin, `begun` how many have lately.
    pub(super) fn spare_move(&self, left: usize, begun: usize) -> Option<Weighed> {
        let places = self.table.places().count();
        let moving = self.table.moving();
        if moving >= (places / SPARE_MOVES_PART).max(1) || left <= begun {
            return None;
        }
        let t = self.table;
        let missing = t.models().filter(|m| t.replicas(*m) < 1.0);
        let back = missing.map(|m| self.best_place(m)).fold(None, better);
        let single = t.models().filter(|m| t.has_one_replica(*m));
        back.or_else(|| single.map(|m| self.best_spare(m)).fold(None, better))
    }

    /// Tells whether a model is asked for and nowhere, or loaded above [`HIGH_LOAD`] somewhere.
    fn is_short(&self, m: ModelIx) -> bool {
        let loads = self.table.holders(m).map(|(_, p)| p.load);
        let hottest = loads.max_by(f64::total_cmp);
        hottest.map_or(self.table.is_asked(m), |l| {
            l > HIGH_LOAD && self.table.demand(m) > 0.0
        })
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
            let Some(evict) = self
                .make_room(p, load, 1.0)
                .or_else(|| self.make_room(p, load, 0.0))
            else {
                continue;
            };
            let mut worth = self.gain(at, load, &evict) + self.reach(load, &evict);
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

    /// Gives what a move is worth because a model is nowhere before it, or after it.
    fn reach(&self, load: ModelIx, evict: &[ModelIx]) -> f64 {
        let t = self.table;
        let only = evict.iter().filter(|m| t.replicas(**m) < 2.0);
        let lost: Vec<f64> = only.map(|m| missing_cost(t.at_most(*m))).collect();
        let is_missing = t.replicas(load) < 1.0;
        let gained = match (is_missing, t.is_asked(load)) {
            (false, _) => 0.0,
            (true, true) if lost.is_empty() => missing_cost(t.demand(load)),
            // One request says too little for another model's last replica to make way.
            (true, true) => missing_cost(t.at_least(load)),
            (true, false) if evict.is_empty() => MISSING_COST,
            (true, false) => UNASKED_COST,
        };
        gained - lost.iter().sum::<f64>()
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
            let Some(evict) = self.make_room(p, load, 2.0) else {
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
        if p.moving || p.takes_adapters_first || p.holds(load) {
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

    /// Names what has to make way on an endpoint for a model, the least wanted first. Only models with more than so many
    /// replicas make way, a last one only if the endpoint keeps a copy of it, and those that are expected to be asked for
    /// only for one that is asked for already.
    fn make_room(&self, p: &Place, load: ModelIx, left: f64) -> Option<Vec<ModelIx>> {
        let t = self.table;
        let size = t.megabytes(load);
        let is_asked = t.is_asked(load);
        let mut free = p.free;
        let loaded = &self.rebalancer.loaded;
        let stays = |m: ModelIx| loaded.contains_key(&(p.key, t.name(m).clone()));
        let may_go = p.models.iter().copied();
        let has_way_back = |m: ModelIx| t.replicas(m) > 1.0 || p.has_copy(m);
        let may_go = may_go.filter(|m| {
            let is_free = t.replicas(*m) > left && !stays(*m);
            is_free && has_way_back(*m) && (is_asked || !t.is_expected(*m))
        });
        let mut may_go: Vec<ModelIx> = may_go.collect();
        let wanted = |m: ModelIx| {
            let here = t.holders(m).filter(|(_, o)| o.zone == p.zone).count();
            let last = if t.replicas(m) < 2.0 {
                t.at_most(m)
            } else {
                0.0
            };
            last + t.share(m, -1.0) * if here > 1 { 1.0 } else { ONLY_IN_ZONE }
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
