//! What one weighing of models starts from, in arenas.
//!
//! A weighing compares every model with every endpoint, several times a second and for hundreds of both. Names
//! become indices once, and each model knows its holders, so that the worth of a move is reckoned from the
//! endpoints that it changes alone (`docs/design/placement.md`).

use super::recent::RecentDemand;
use super::{Rebalancer, used};
use crate::catalog::EngineSpec;
use crate::id::{EndpointKey, ServiceName, ZoneName};
use crate::roster::{Endpoint, Roster};
use smol_str::SmolStr;
use std::collections::HashMap;

/// A model in a [`Table`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct ModelIx(usize);

/// An endpoint in a [`Table`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct PlaceIx(usize);

/// An endpoint as a plan sees it: what it will hold once all moves under way are done.
#[derive(Clone, Debug)]
pub(super) struct Place {
    pub(super) key: EndpointKey,
    pub(super) zone: ZoneName,
    pub(super) models: Vec<ModelIx>,
    /// The models of which it has copies at hand.
    copies: Vec<ModelIx>,
    pub(super) free: f64,
    pub(super) moving: bool,
    /// Whether it is to get adapters before it is ordered another model.
    pub(super) takes_adapters_first: bool,
    pub(super) load: f64,
}

impl Place {
    pub(super) fn holds(&self, m: ModelIx) -> bool {
        self.models.contains(&m)
    }

    pub(super) fn has_copy(&self, m: ModelIx) -> bool {
        self.copies.contains(&m)
    }
}

#[derive(Debug)]
struct ModelRow {
    name: SmolStr,
    megabytes: f64,
    has_adapters: bool,
    /// What a load from the weight store takes, in s.
    cold_load_s: f64,
    /// Whether the configuration names it; what it doesn't name may only go.
    is_served: bool,
    demand: f64,
    /// What it has been asked for over longer times.
    recent: RecentDemand,
    holders: Vec<PlaceIx>,
}

/// All models and endpoints of one weighing.
#[derive(Debug)]
pub(super) struct Table {
    places: Vec<Place>,
    rows: Vec<ModelRow>,
}

/// Queries.
impl Table {
    pub(super) fn places(&self) -> impl Iterator<Item = (PlaceIx, &Place)> {
        let places = self.places.iter().enumerate();
        places.map(|(i, p)| (PlaceIx(i), p))
    }

    pub(super) fn place(&self, p: PlaceIx) -> &Place {
        &self.places[p.0]
    }

    /// Gives the models that may be loaded, in the order of their names.
    pub(super) fn models(&self) -> impl Iterator<Item = ModelIx> {
        let rows = self.rows.iter().enumerate();
        rows.filter(|(_, r)| r.is_served).map(|(i, _)| ModelIx(i))
    }

    pub(super) fn name(&self, m: ModelIx) -> &SmolStr {
        &self.rows[m.0].name
    }

    pub(super) fn megabytes(&self, m: ModelIx) -> f64 {
        self.rows[m.0].megabytes
    }

    /// Gives what a load from the weight store takes, in s.
    pub(super) fn cold_load_s(&self, m: ModelIx) -> f64 {
        self.rows[m.0].cold_load_s
    }

    pub(super) fn has_adapters(&self, m: ModelIx) -> bool {
        self.rows[m.0].has_adapters
    }

    /// Gives a model's demand as it is foreseen, in ms of work a second.
    pub(super) fn demand(&self, m: ModelIx) -> f64 {
        self.rows[m.0].demand
    }

    /// Gives what a model will be asked for at most, in ms of work a second.
    pub(super) fn at_most(&self, m: ModelIx) -> f64 {
        self.rows[m.0].recent.at_most
    }

    /// Gives what a model will be asked for at least, in ms of work a second.
    pub(super) fn at_least(&self, m: ModelIx) -> f64 {
        self.rows[m.0].recent.at_least
    }

    /// Tells whether a model was asked for lately.
    pub(super) fn is_asked(&self, m: ModelIx) -> bool {
        self.rows[m.0].recent.is_asked
    }

    /// Tells whether a model's replicas stand for demand that is still to come.
    pub(super) fn is_expected(&self, m: ModelIx) -> bool {
        self.rows[m.0].recent.is_expected
    }

    /// Gives the endpoints that hold a model.
    pub(super) fn holders(&self, m: ModelIx) -> impl Iterator<Item = (PlaceIx, &Place)> {
        let holders = self.rows[m.0].holders.iter();
        holders.map(|p| (*p, &self.places[p.0]))
    }

    #[expect(clippy::cast_precision_loss, reason = "a service has few endpoints")]
    pub(super) fn replicas(&self, m: ModelIx) -> f64 {
        self.rows[m.0].holders.len() as f64
    }

    pub(super) fn has_one_replica(&self, m: ModelIx) -> bool {
        self.rows[m.0].holders.len() == 1
    }

    /// Gives what a replica of a model carries when there are so many more of them.
    pub(super) fn share(&self, m: ModelIx, more: f64) -> f64 {
        self.demand(m) / (self.replicas(m) + more).max(1.0)
    }

    /// Counts the endpoints that are being ordered.
    pub(super) fn moving(&self) -> usize {
        self.places.iter().filter(|p| p.moving).count()
    }
}

/// Commands.
impl Table {
    pub(super) fn new(
        rebalancer: &Rebalancer,
        roster: &Roster,
        service: &ServiceName,
        spec: &EngineSpec,
    ) -> Self {
        let rows = spec.models.values().map(|s| ModelRow {
            name: s.name.clone(),
            megabytes: s.megabytes,
            has_adapters: !s.adapters.is_empty(),
            cold_load_s: s.cold_load.as_secs_f64(),
            is_served: true,
            demand: rebalancer.demand(&s.name),
            recent: rebalancer.recent.of(&s.name),
            holders: Vec::new(),
        });
        let mut names = Names {
            rows: rows.collect(),
            index: HashMap::new(),
        };
        let served = names.rows.iter().enumerate();
        names.index = served.map(|(i, r)| (r.name.clone(), ModelIx(i))).collect();
        let mut place = |(key, e): (EndpointKey, &Endpoint)| {
            let mut models: Vec<ModelIx> = e.holdings.keys().map(|m| names.index(m)).collect();
            let under_way = rebalancer.moves.get(&key);
            if let Some(m) = under_way {
                let evicted: Vec<ModelIx> = m.evict.iter().map(|m| names.index(m)).collect();
                models.retain(|x| !evicted.contains(x));
                let load = names.index(&m.load);
                if !models.contains(&load) {
                    models.push(load);
                }
            }
            Place {
                key,
                zone: e.zone.clone(),
                models,
                copies: e.copies.iter().map(|m| names.index(m)).collect(),
                free: spec.megabytes - used(&e.holdings, spec),
                moving: under_way.is_some()
                    || rebalancer.coming.contains_key(&key)
                    || rebalancer.failed.contains_key(&key),
                takes_adapters_first: rebalancer.takes_adapters_first(key, e, spec),
                load: 0.0,
            }
        };
        let places: Vec<Place> = rebalancer.open(roster, service).map(&mut place).collect();
        let mut t = Self {
            places,
            rows: names.rows,
        };
        for (i, p) in t.places.iter().enumerate() {
            for m in &p.models {
                t.rows[m.0].holders.push(PlaceIx(i));
            }
        }
        t.spread();
        t
    }

    /// Counts a move as under way.
    pub(super) fn begin(&mut self, at: PlaceIx, load: ModelIx, evict: &[ModelIx]) {
        let p = &mut self.places[at.0];
        p.moving = true;
        p.models.retain(|m| !evict.contains(m));
        p.models.push(load);
        for m in evict {
            self.rows[m.0].holders.retain(|h| *h != at);
        }
        self.rows[load.0].holders.push(at);
        self.spread();
    }

    /// Spreads each model's demand over its replicas.
    fn spread(&mut self) {
        let shares: Vec<f64> = (0..self.rows.len())
            .map(|i| self.share(ModelIx(i), 0.0))
            .collect();
        for p in &mut self.places {
            p.load = p.models.iter().map(|m| shares[m.0]).sum();
        }
    }
}

/// The models while a table is made.
struct Names {
    rows: Vec<ModelRow>,
    index: HashMap<SmolStr, ModelIx>,
}

impl Names {
    /// Gives the index of a model; one that the configuration doesn't name takes no room and isn't asked for.
    fn index(&mut self, name: &SmolStr) -> ModelIx {
        if let Some(m) = self.index.get(name) {
            return *m;
        }
        let m = ModelIx(self.rows.len());
        self.rows.push(ModelRow {
            name: name.clone(),
            megabytes: 0.0,
            has_adapters: false,
            cold_load_s: 0.0,
            is_served: false,
            demand: 0.0,
            recent: RecentDemand::default(),
            holders: Vec::new(),
        });
        self.index.insert(name.clone(), m);
        m
    }
}
