//! The models and endpoints of one evaluation of moves, in arrays.
//!
//! An evaluation compares every model with every endpoint, several times per second and for hundreds of both.
//! Names are mapped to indices once, and each model has a list of its holders, so the value of a move is
//! computed only from the endpoints that it changes (`docs/design/placement.md`).

use super::recent::RecentDemand;
use super::{Rebalancer, used};
use crate::catalog::EngineSpec;
use crate::id::{EndpointKey, ServiceName, SoftwareVersion, ZoneName};
use crate::roster::{Endpoint, Roster};
use smol_str::SmolStr;
use std::collections::HashMap;

/// The index of a model in a [`Table`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct ModelIx(usize);

/// The index of an endpoint in a [`Table`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct EndpointIx(usize);

/// The state of an endpoint after all moves in progress.
#[derive(Clone, Debug)]
pub(super) struct EndpointState {
    pub(super) key: EndpointKey,
    pub(super) zone: ZoneName,
    pub(super) software: Option<SoftwareVersion>,
    pub(super) models: Vec<ModelIx>,
    /// The models of which the endpoint has a local copy.
    copies: Vec<ModelIx>,
    pub(super) free: f64,
    pub(super) moving: bool,
    /// Whether the endpoint has to get adapters before it is ordered to load another model.
    pub(super) needs_adapters_first: bool,
    pub(super) load: f64,
}

impl EndpointState {
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
    /// The duration of a load from the weight store, in seconds.
    cold_load_s: f64,
    /// Whether the configuration contains the model; other models may only be unloaded.
    is_served: bool,
    demand: f64,
    /// The demand for the model over longer times.
    recent: RecentDemand,
    holders: Vec<EndpointIx>,
}

/// All models and endpoints of one evaluation.
#[derive(Debug)]
pub(super) struct Table {
    endpoints: Vec<EndpointState>,
    rows: Vec<ModelRow>,
}

/// Queries.
impl Table {
    pub(super) fn endpoints(&self) -> impl Iterator<Item = (EndpointIx, &EndpointState)> {
        let endpoints = self.endpoints.iter().enumerate();
        endpoints.map(|(i, p)| (EndpointIx(i), p))
    }

    pub(super) fn endpoint(&self, p: EndpointIx) -> &EndpointState {
        &self.endpoints[p.0]
    }

    /// Returns the models that may be loaded, sorted by name.
    pub(super) fn models(&self) -> impl Iterator<Item = ModelIx> {
        let rows = self.rows.iter().enumerate();
        rows.filter(|(_, r)| r.is_served).map(|(i, _)| ModelIx(i))
    }

    /// Returns a model that may be loaded, by its name.
    pub(super) fn find(&self, name: &str) -> Option<ModelIx> {
        self.models().find(|m| self.name(*m) == name)
    }

    pub(super) fn name(&self, m: ModelIx) -> &SmolStr {
        &self.rows[m.0].name
    }

    pub(super) fn megabytes(&self, m: ModelIx) -> f64 {
        self.rows[m.0].megabytes
    }

    /// Returns the duration of a load from the weight store, in seconds.
    pub(super) fn cold_load_s(&self, m: ModelIx) -> f64 {
        self.rows[m.0].cold_load_s
    }

    pub(super) fn has_adapters(&self, m: ModelIx) -> bool {
        self.rows[m.0].has_adapters
    }

    /// Returns a model's extrapolated demand, in ms of work per second.
    pub(super) fn demand(&self, m: ModelIx) -> f64 {
        self.rows[m.0].demand
    }

    /// Returns the upper bound on the future demand for a model, in ms of work per second.
    pub(super) fn at_most(&self, m: ModelIx) -> f64 {
        self.rows[m.0].recent.at_most
    }

    /// Returns the lower bound on the future demand for a model, in ms of work per second.
    pub(super) fn at_least(&self, m: ModelIx) -> f64 {
        self.rows[m.0].recent.at_least
    }

    /// Returns `true` if a model was requested recently.
    pub(super) fn is_requested(&self, m: ModelIx) -> bool {
        self.rows[m.0].recent.is_requested
    }

    /// Returns `true` if a model's replicas indicate future demand.
    pub(super) fn is_expected(&self, m: ModelIx) -> bool {
        self.rows[m.0].recent.is_expected
    }

    /// Returns the endpoints that hold a model.
    pub(super) fn holders(&self, m: ModelIx) -> impl Iterator<Item = (EndpointIx, &EndpointState)> {
        let holders = self.rows[m.0].holders.iter();
        holders.map(|p| (*p, &self.endpoints[p.0]))
    }

    #[expect(clippy::cast_precision_loss, reason = "a service has few endpoints")]
    pub(super) fn replicas(&self, m: ModelIx) -> f64 {
        self.rows[m.0].holders.len() as f64
    }

    pub(super) fn has_one_replica(&self, m: ModelIx) -> bool {
        self.rows[m.0].holders.len() == 1
    }

    /// Returns the load of each replica of a model if it had `more` additional replicas.
    pub(super) fn share(&self, m: ModelIx, more: f64) -> f64 {
        self.demand(m) / (self.replicas(m) + more).max(1.0)
    }

    /// Returns the number of endpoints that are executing orders.
    pub(super) fn moving(&self) -> usize {
        self.endpoints.iter().filter(|p| p.moving).count()
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
        let mut endpoint = |(key, e): (EndpointKey, &Endpoint)| {
            let mut models: Vec<ModelIx> = e.holdings.keys().map(|m| names.index(m)).collect();
            let in_progress = rebalancer.moves.get(&key);
            if let Some(m) = in_progress {
                let evicted: Vec<ModelIx> = m.evict.iter().map(|m| names.index(m)).collect();
                models.retain(|x| !evicted.contains(x));
                let load = names.index(&m.load);
                if !models.contains(&load) {
                    models.push(load);
                }
            }
            EndpointState {
                key,
                zone: e.zone.clone(),
                software: e.software.clone(),
                models,
                copies: e.copies.iter().map(|m| names.index(m)).collect(),
                free: spec.megabytes - used(&e.holdings, spec),
                moving: in_progress.is_some()
                    || rebalancer.coming.contains_key(&key)
                    || rebalancer.failed.contains_key(&key),
                needs_adapters_first: rebalancer.needs_adapters_first(key, e, spec),
                load: 0.0,
            }
        };
        let endpoints: Vec<EndpointState> = rebalancer
            .open(roster, service)
            .map(&mut endpoint)
            .collect();
        let mut t = Self {
            endpoints,
            rows: names.rows,
        };
        for (i, p) in t.endpoints.iter().enumerate() {
            for m in &p.models {
                t.rows[m.0].holders.push(EndpointIx(i));
            }
        }
        t.spread();
        t
    }

    /// Records a move as in progress.
    pub(super) fn begin(&mut self, at: EndpointIx, load: ModelIx, evict: &[ModelIx]) {
        let p = &mut self.endpoints[at.0];
        p.moving = true;
        p.models.retain(|m| !evict.contains(m));
        p.models.push(load);
        for m in evict {
            self.rows[m.0].holders.retain(|h| *h != at);
        }
        self.rows[load.0].holders.push(at);
        self.spread();
    }

    /// Divides each model's demand over its replicas.
    fn spread(&mut self) {
        let shares: Vec<f64> = (0..self.rows.len())
            .map(|i| self.share(ModelIx(i), 0.0))
            .collect();
        for p in &mut self.endpoints {
            p.load = p.models.iter().map(|m| shares[m.0]).sum();
        }
    }
}

/// The index of models during the construction of a table.
struct Names {
    rows: Vec<ModelRow>,
    index: HashMap<SmolStr, ModelIx>,
}

impl Names {
    /// Returns the index of a model. A model that the configuration doesn't contain gets a row without size and
    /// demand.
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
