//! Where a request may go, and where it goes.
//!
//! A [`Table`] is made anew whenever the fleet's state changes; traffic threads read it without a
//! lock. [`pick`] joins it with the [`Loads`] (`docs/design/routing.md`).

use crate::fleet::{Fleet, Presence};
use crate::id::{EndpointKey, Incarnation, ModelName, ServiceName, VmName, ZoneName};
use crate::intent::Priority;
use crate::load::Loads;
use crate::record::EndpointKind;
use slotmap::SlotMap;
use smol_str::SmolStr;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use tokio::time::Instant;

/// How far above the mean an endpoint's load may be before affinity gives way, as a factor.
pub const LOAD_BOUND: f64 = 1.25;

/// An endpoint that requests may go to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Its key in this gateway's arena.
    pub key: EndpointKey,
    /// Its name.
    pub name: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it listens, as `IP:PORT`.
    pub address: SmolStr,
    /// The version of the model that it serves; empty for a plain service.
    pub version: SmolStr,
}

/// Where the requests for one model or service may go.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Route {
    /// How much the model matters when the request doesn't say.
    pub priority: Priority,
    /// The endpoints.
    pub targets: Vec<Target>,
}

/// All routes at one offset.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// The offset in force when it was made.
    pub offset: u64,
    models: HashMap<ModelName, Route>,
    services: HashMap<ServiceName, Route>,
}

impl Table {
    /// Gives the route of a model; one without targets if it is in force but not ready anywhere.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&Route> {
        self.models.get(name)
    }

    /// Gives the route of a plain service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Route> {
        self.services.get(name)
    }

    /// Gives the names of all models that are in force, in order.
    #[must_use]
    pub fn model_names(&self) -> Vec<&ModelName> {
        let mut names: Vec<_> = self.models.keys().collect();
        names.sort();
        names
    }
}

/// Makes tables, and gives each incarnation of an endpoint one key for as long as it lives.
#[derive(Debug, Default)]
pub struct TableBuilder {
    arena: SlotMap<EndpointKey, VmName>,
    keys: BTreeMap<VmName, (Incarnation, EndpointKey)>,
}

impl TableBuilder {
    /// Makes the table of a fleet's state.
    ///
    /// `leaving` names endpoints that are known to leave before the log says so; they get no new
    /// work.
    pub fn build(&mut self, fleet: &Fleet, leaving: &BTreeSet<VmName>) -> Table {
        self.update_keys(fleet);
        let takes_work = |name: &VmName| !leaving.contains(name);
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
        for (name, _, model) in fleet.routable().filter(|(n, ..)| takes_work(n)) {
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
        for (name, e) in fleet.endpoints().filter(|(n, _)| takes_work(n)) {
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

    /// Gives the key of an endpoint that has one.
    #[must_use]
    pub fn key(&self, name: &str) -> Option<EndpointKey> {
        self.keys.get(name).map(|(_, k)| *k)
    }

    /// Tells whether a key still names a known endpoint.
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

/// Drops the targets with an older version once the confirmed one is ready somewhere.
fn prefer_version(route: Option<&mut Route>, version: &SmolStr) {
    let Some(route) = route else { return };
    if route.targets.iter().any(|t| t.version == *version) {
        route.targets.retain(|t| t.version == *version);
    }
}

/// What a request asks of routing.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// The gateway's own zone.
    pub zone: &'a ZoneName,
    /// The hash of what a cache could share between requests: the model and the prompt's beginning.
    pub affinity: u64,
    /// Endpoints that already failed this request.
    pub failed: &'a [EndpointKey],
}

/// Picks an endpoint that has room, or none if all that may be asked are full.
///
/// Ejected endpoints are passed over, unless all are ejected. The own zone comes first; others are
/// asked when it is full.
#[must_use]
pub fn pick<'t>(
    now: Instant,
    route: &'t Route,
    loads: &Loads,
    query: &RouteQuery<'_>,
) -> Option<&'t Target> {
    let fresh = |t: &&Target| !query.failed.contains(&t.key);
    let usable: Vec<&Target> = route.targets.iter().filter(fresh).collect();
    let sound: Vec<&Target> = usable
        .iter()
        .copied()
        .filter(|t| !loads.is_ejected(now, t.key))
        .collect();
    let from = if sound.is_empty() { usable } else { sound };
    let (near, far): (Vec<&Target>, Vec<&Target>) =
        from.iter().partition(|t| t.zone == *query.zone);
    pick_among(now, &near, loads, query).or_else(|| pick_among(now, &far, loads, query))
}

/// Takes the first in the order of affinity whose load isn't far above the mean.
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

/// Gives the rendezvous weight of a target for what the request shares with others.
fn weight(affinity: u64, t: &Target) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(t.name.as_str().as_bytes(), affinity)
}
