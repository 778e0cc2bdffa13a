//! Gossip between the controllers of a zone: liveness of peers, load of endpoints and unmet demand.

use limehollow::demand::DEMAND_REPORT_LIFETIME;
use limehollow::id::{Incarnation, Offset, VmName, ZoneName};
use limehollow::listing::{Listed, ListedKind, Observation};
use limehollow::load::{LoadReport, REPORT_LIFE};
use limehollow::membership::{FANOUT, Heartbeat, Membership, watches};
use limehollow_wire::peer::{Digest, News, WireHeartbeat, WireLoad, WireUnmet};
use rand::RngExt;
use rand::rngs::StdRng;
use smol_str::SmolStr;
use std::collections::{BTreeMap, BTreeSet};
use tokio::time::Instant;

/// The number of controllers that poll each endpoint for its load.
pub const WATCHERS: usize = 2;
/// The maximum number of unmet demand reports in one message.
pub const MAX_UNMET: usize = 8;
/// The maximum number of load reports in one message.
pub const MAX_LOADS: usize = 8;

#[derive(Debug)]
struct StoredLoad {
    incarnation: Incarnation,
    observed_at: Instant,
    report: LoadReport,
    times_sent: u32,
}

/// The gossip state of a controller.
#[derive(Debug)]
pub struct Gossip {
    zone: ZoneName,
    own_vm: VmName,
    /// The liveness of the zone's entry VMs.
    pub members: Membership,
    loads: BTreeMap<VmName, StoredLoad>,
    /// The zone's other entry VMs on the platform's list, with their peer addresses.
    peers: BTreeMap<VmName, String>,
    seeds: Vec<String>,
    leaving: BTreeSet<VmName>,
    /// Unmet demand that gateways reported, by VM and model: the rate in thousandths of a request per second
    /// and the time of the report.
    unmet: BTreeMap<(VmName, SmolStr), (u32, Instant)>,
    rng: StdRng,
}

impl Gossip {
    /// Creates the state with this VM as the only known member.
    #[must_use]
    pub fn new(
        now: Instant,
        zone: ZoneName,
        own_vm: VmName,
        incarnation: Incarnation,
        seeds: Vec<String>,
        rng: StdRng,
    ) -> Self {
        Self {
            members: Membership::new(now, own_vm.clone(), incarnation),
            zone,
            own_vm,
            loads: BTreeMap::new(),
            peers: BTreeMap::new(),
            seeds,
            leaving: BTreeSet::new(),
            unmet: BTreeMap::new(),
            rng,
        }
    }

    /// Applies the platform's membership list.
    pub fn on_list(&mut self, rows: &[Listed]) {
        let entries = rows
            .iter()
            .filter(|l| l.zone == self.zone && l.kind == ListedKind::Entry);
        self.peers = entries
            .filter(|l| l.vm != self.own_vm)
            .map(|l| (l.vm.clone(), l.address.to_string()))
            .collect();
        let endpoints = rows.iter().filter(|l| l.kind != ListedKind::Entry);
        self.leaving = endpoints
            .filter(|l| l.leaving)
            .map(|l| l.vm.clone())
            .collect();
    }

    /// Applies an observation of an endpoint.
    pub fn on_observation(&mut self, vm: &VmName, observation: &Observation) {
        self.merge_load(
            vm.clone(),
            observation.incarnation,
            observation.began,
            observation.load,
        );
    }

    /// Merges a peer's gossip message.
    pub fn on_digest(&mut self, now: Instant, d: Digest) {
        for h in d.heartbeats {
            if let Ok(h) = Heartbeat::try_from(h) {
                self.members.merge(now, h);
            }
        }
        for l in d.loads {
            let age = std::time::Duration::from_millis(u64::from(l.age_ms));
            let Some(observed_at) = now.checked_sub(age) else {
                continue;
            };
            self.merge_load(l.vm.as_str().into(), l.incarnation, observed_at, l.report());
        }
        self.on_unmet(now, d.unmet);
        // Reports of leaving endpoints hold only until the next read of the list, which replaces them.
        self.leaving
            .extend(d.leaving.iter().map(|s| VmName::from(s.as_str())));
    }

    /// Merges reports of unmet demand. The reports of this VM's gateway have an empty VM name.
    pub fn on_unmet(&mut self, now: Instant, reports: Vec<WireUnmet>) {
        for w in reports {
            let vm = if w.vm.is_empty() {
                self.own_vm.clone()
            } else {
                w.vm.as_str().into()
            };
            let age = std::time::Duration::from_millis(u64::from(w.age_ms));
            let Some(reported_at) = now.checked_sub(age) else {
                continue;
            };
            let row = self
                .unmet
                .entry((vm, w.model))
                .or_insert((w.rate, reported_at));
            if row.1 < reported_at {
                *row = (w.rate, reported_at);
            }
        }
    }

    /// Returns the recent unmet demand: VM, model, requests per second and the time of the report.
    pub fn unmet(&self) -> impl Iterator<Item = (&VmName, &SmolStr, f64, Instant)> {
        self.unmet.iter().map(|((vm, model), (rate, reported_at))| {
            (vm, model, f64::from(*rate) / 1e3, *reported_at)
        })
    }

    fn merge_load(
        &mut self,
        vm: VmName,
        incarnation: Incarnation,
        observed_at: Instant,
        r: LoadReport,
    ) {
        let is_newer = self
            .loads
            .get(&vm)
            .is_none_or(|h| h.observed_at < observed_at);
        if is_newer {
            self.loads.insert(
                vm,
                StoredLoad {
                    incarnation,
                    observed_at,
                    report: r,
                    times_sent: 0,
                },
            );
        }
    }

    /// Advances the own heartbeat and drops expired reports.
    pub fn tick(&mut self, now: Instant, next: Offset) {
        self.members.tick(now, next);
        self.unmet.retain(|_, (_, reported_at)| {
            now.duration_since(*reported_at) < DEMAND_REPORT_LIFETIME
        });
        self.loads
            .retain(|_, h| now.duration_since(h.observed_at) < REPORT_LIFE);
    }

    /// Returns the message for a peer. Load reports that were sent least often come first, and the most
    /// recent first among these. Heartbeats that the peer has just sent (`received`) are left out.
    pub fn digest(&mut self, now: Instant, received: &[WireHeartbeat]) -> Digest {
        let known: Vec<Heartbeat> = received
            .iter()
            .filter_map(|h| Heartbeat::try_from(h.clone()).ok())
            .collect();
        let heartbeats = self.members.digest(now, &known);
        let heartbeats = heartbeats.iter().map(WireHeartbeat::from).collect();
        let mut rows: Vec<(&VmName, &mut StoredLoad)> = self.loads.iter_mut().collect();
        rows.sort_by_key(|(_, h)| (h.times_sent, std::cmp::Reverse(h.observed_at)));
        rows.truncate(MAX_LOADS);
        let loads = rows
            .into_iter()
            .map(|(vm, h)| {
                h.times_sent += 1;
                wire_load(now, vm, h)
            })
            .collect();
        let leaving = self.leaving.iter().map(|v| v.as_str().into()).collect();
        let mut rows: Vec<_> = self.unmet.iter().collect();
        rows.sort_by_key(|(_, (rate, _))| std::cmp::Reverse(*rate));
        let unmet = rows
            .into_iter()
            .take(MAX_UNMET)
            .map(|((vm, model), (rate, reported_at))| WireUnmet {
                vm: vm.as_str().into(),
                model: model.clone(),
                rate: *rate,
                age_ms: u32::try_from(now.duration_since(*reported_at).as_millis())
                    .unwrap_or(u32::MAX),
            });
        let unmet = unmet.collect();
        Digest {
            heartbeats,
            loads,
            leaving,
            unmet,
        }
    }

    /// Returns the load and the leaving endpoints for the gateway of this VM.
    #[must_use]
    pub fn news(&self, now: Instant, next: Offset) -> News {
        let loads = self
            .loads
            .iter()
            .map(|(vm, h)| wire_load(now, vm, h))
            .collect();
        let leaving = self.leaving.iter().map(|v| v.as_str().into()).collect();
        News {
            next: next.0,
            loads,
            leaving,
        }
    }

    /// Returns the endpoints that are known to be leaving.
    #[must_use]
    pub fn leaving(&self) -> &BTreeSet<VmName> {
        &self.leaving
    }

    /// Chooses random peers to send gossip to, from the seeds while no peer is known.
    pub fn choose_peers(&mut self) -> Vec<String> {
        let mut from: Vec<String> = self.peers.values().cloned().collect();
        if from.is_empty() {
            from.clone_from(&self.seeds);
        }
        let mut out = Vec::new();
        while out.len() < FANOUT && !from.is_empty() {
            let i = self.rng.random_range(0..from.len());
            out.push(from.swap_remove(i));
        }
        out
    }

    /// Returns `true` if this controller is one of the [`WATCHERS`] that poll the endpoint for its load.
    #[must_use]
    pub fn watches(&self, now: Instant, endpoint: &VmName) -> bool {
        let alive: Vec<VmName> = self.members.alive(now).map(|h| h.vm.clone()).collect();
        watches(&self.own_vm, alive.iter(), endpoint.as_str(), WATCHERS)
    }
}

fn wire_load(now: Instant, vm: &VmName, h: &StoredLoad) -> WireLoad {
    let age = u32::try_from(now.duration_since(h.observed_at).as_millis()).unwrap_or(u32::MAX);
    WireLoad::new(vm, h.incarnation, age, h.report)
}
