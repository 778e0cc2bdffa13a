//! Routes requests to endpoints.
//!
//! A [`Table`] is built whenever the fleet's state changes; traffic threads read it without a lock. [`pick`]
//! combines it with the current [`Loads`] (`docs/design/routing.md`).

use crate::fleet::{Fleet, Presence};
use crate::id::{EndpointKey, Incarnation, ModelName, ServiceName, VmName, ZoneName};
use crate::intent::Priority;
use crate::load::Loads;
use crate::record::EndpointKind;
use slotmap::SlotMap;
use smol_str::SmolStr;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use tokio::time::Instant;

/// The factor above the mean load up to which an endpoint is chosen by affinity.
pub const LOAD_BOUND: f64 = 1.25;

/// An endpoint that can be routed to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The endpoint's key in this gateway's arena.
    pub key: EndpointKey,
    /// The endpoint's name.
    pub name: VmName,
    /// The endpoint's availability zone.
    pub zone: ZoneName,
    /// The address that the endpoint listens on, as `IP:PORT`.
    pub address: SmolStr,
    /// The version of the model that the endpoint serves; empty for a plain service.
    pub version: SmolStr,
}

/// The endpoints for one model or service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Route {
    /// The priority of requests that don't set one.
    pub priority: Priority,
    /// The endpoints that requests can be routed to.
    pub targets: Vec<Target>,
}

/// All routes as of one log offset.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// The log offset from which the table was built.
    pub offset: u64,
    models: HashMap<ModelName, Route>,
    services: HashMap<ServiceName, Route>,
}

impl Table {
    /// Returns the route of a model. The route has no targets if the model is in force but not ready on any
    /// endpoint.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&Route> {
        self.models.get(name)
    }

    /// Returns the route of a plain service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Route> {
        self.services.get(name)
    }

    /// Returns the names of all models that are in force, sorted.
    #[must_use]
    pub fn model_names(&self) -> Vec<&ModelName> {
        let mut names: Vec<_> = self.models.keys().collect();
        names.sort();
        names
    }
}

/// Builds routing tables, and assigns each incarnation of an endpoint a key that stays the same for its
/// lifetime.
#[derive(Debug, Default)]
pub struct TableBuilder {
    arena: SlotMap<EndpointKey, VmName>,
    keys: BTreeMap<VmName, (Incarnation, EndpointKey)>,
}

impl TableBuilder {
    /// Builds the table from the fleet's state.
    ///
    /// `leaving` names endpoints that are known to be leaving before the log records it; they receive no new
    /// requests.
    pub fn build(&mut self, fleet: &Fleet, leaving: &BTreeSet<VmName>) -> Table {
        self.update_keys(fleet);
        let accepts_work = |name: &VmName| !leaving.contains(name);
        let offset = fleet.next_offset().0;
        let mut table = Table {
            offset,
            ..Table::default()
        };
        let intent = fleet.confirmed_intent().map(|p| &p.intent);
        for m in intent.iter().flat_map(|i| &i.models) {
            let route = Route {
                priority: m.priority,
                targets: Vec::new(),
            };
            table.models.insert(m.name.clone(), route);
        }
        for (name, _, model) in fleet.routable().filter(|(n, ..)| accepts_work(n)) {
            let Some(route) = table.models.get_mut(&model.name) else {
                continue;
            };
            let Some(target) = self.target(fleet, name, &model.version) else {
                continue;
            };
            if route.targets.last() != Some(&target) {
                route.targets.push(target);
            }
        }
        for m in intent.iter().flat_map(|i| &i.models) {
            prefer_version(table.models.get_mut(&m.name), &m.version);
        }
        for (name, e) in fleet.endpoints().filter(|(n, _)| accepts_work(n)) {
            let EndpointKind::Service { name: service } = &e.kind else {
                continue;
            };
            let route = table.services.entry(service.clone()).or_default();
            if e.presence == Presence::Live {
                route
                    .targets
                    .extend(self.target(fleet, name, &SmolStr::default()));
            }
        }
        table
    }

    /// Returns the key of an endpoint.
    #[must_use]
    pub fn key(&self, name: &str) -> Option<EndpointKey> {
        self.keys.get(name).map(|(_, k)| *k)
    }

    /// Returns `true` if a key belongs to a known endpoint.
    #[must_use]
    pub fn contains(&self, key: EndpointKey) -> bool {
        self.arena.contains_key(key)
    }

    fn target(&self, fleet: &Fleet, name: &VmName, version: &SmolStr) -> Option<Target> {
        let e = fleet.endpoint(name.as_str())?;
        let key = self.key(name.as_str())?;
        Some(Target {
            key,
            name: name.clone(),
            zone: e.zone.clone(),
            address: e.address.clone(),
            version: version.clone(),
        })
    }

    fn update_keys(&mut self, fleet: &Fleet) {
        let arena = &mut self.arena;
        self.keys.retain(|name, (incarnation, key)| {
            let same = fleet
                .endpoint(name.as_str())
                .is_some_and(|e| e.incarnation == *incarnation);
            if !same {
                arena.remove(*key);
            }
            same
        });
        for (name, e) in fleet.endpoints() {
            if !self.keys.contains_key(name) {
                let key = self.arena.insert(name.clone());
                self.keys.insert(name.clone(), (e.incarnation, key));
            }
        }
    }
}

/// Removes the targets with another version if any target has the confirmed one.
fn prefer_version(route: Option<&mut Route>, version: &SmolStr) {
    let Some(route) = route else { return };
    if route.targets.iter().any(|t| t.version == *version) {
        route.targets.retain(|t| t.version == *version);
    }
}

/// The inputs of a routing decision.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// The gateway's own zone, which is preferred.
    pub zone: &'a ZoneName,
    /// The hash of what requests could share in an endpoint's cache: the model and the beginning of the prompt.
    pub affinity: u64,
    /// The endpoints at which earlier attempts of this request failed.
    pub failed: &'a [EndpointKey],
}

/// Picks an endpoint with free capacity, or returns `None` if all eligible endpoints are full.
///
/// Ejected endpoints are skipped unless all are ejected. Endpoints of other zones are used only if those of the
/// own zone are full.
#[must_use]
pub fn pick<'t>(
    now: Instant,
    route: &'t Route,
    loads: &Loads,
    query: &RouteQuery<'_>,
) -> Option<&'t Target> {
    let fresh = |t: &&Target| !query.failed.contains(&t.key);
    let usable: Vec<&Target> = route.targets.iter().filter(fresh).collect();
    let healthy: Vec<&Target> = usable
        .iter()
        .copied()
        .filter(|t| !loads.is_ejected(now, t.key))
        .collect();
    let from = if healthy.is_empty() { usable } else { healthy };
    let (local, remote): (Vec<&Target>, Vec<&Target>) =
        from.iter().partition(|t| t.zone == *query.zone);
    pick_among(now, &local, loads, query).or_else(|| pick_among(now, &remote, loads, query))
}

/// Picks the first target in affinity order whose load is within [`LOAD_BOUND`] of the mean, or the least
/// loaded one.
fn pick_among<'t>(
    now: Instant,
    targets: &[&'t Target],
    loads: &Loads,
    query: &RouteQuery<'_>,
) -> Option<&'t Target> {
    let total: f64 = targets.iter().map(|t| loads.estimate(now, t.key)).sum();
    #[expect(
        clippy::cast_precision_loss,
        reason = "a route has far fewer than 2^52 targets"
    )]
    let mean = total / targets.len().max(1) as f64;
    let bound = (mean * LOAD_BOUND).max(mean + 1.0);
    let mut open: Vec<(u64, f64, &Target)> = targets
        .iter()
        .filter(|t| loads.has_room(t.key))
        .map(|t| (weight(query.affinity, t), loads.estimate(now, t.key), *t))
        .collect();
    open.sort_by_key(|(w, _, _)| std::cmp::Reverse(*w));
    let within = open.iter().find(|(_, load, _)| *load < bound);
    let least = || open.iter().min_by(|a, b| a.1.total_cmp(&b.1));
    within.or_else(least).map(|(_, _, t)| *t)
}

/// Returns the rendezvous-hashing weight of a target.
fn weight(affinity: u64, t: &Target) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(t.name.as_str().as_bytes(), affinity)
}
