//! What a controller has heard of its zone's peers and endpoints, and passes on.

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

/// How many controllers look at each endpoint for its load.
pub const WATCHERS: usize = 2;
/// The most rows of unmet demand in one message.
pub const MAX_UNMET: usize = 8;
/// The most load reports in one message.
pub const MAX_LOADS: usize = 8;

#[derive(Debug)]
struct StoredLoad {
    incarnation: Incarnation,
    observed_at: Instant,
    report: LoadReport,
    times_sent: u32,
}

/// What a controller has heard.
#[derive(Debug)]
pub struct Gossip {
    zone: ZoneName,
    own_vm: VmName,
    /// The entry VMs of the zone.
    pub members: Membership,
    loads: BTreeMap<VmName, StoredLoad>,
    /// Entry VMs of the zone on the platform's list, with their peer addresses.
    peers: BTreeMap<VmName, String>,
    seeds: Vec<String>,
    leaving: BTreeSet<VmName>,
    /// What gateways had to refuse, by VM and model: the rate and when it was said.
    unmet: BTreeMap<(VmName, SmolStr), (u32, Instant)>,
    rng: StdRng,
}

impl Gossip {
    /// Starts with only this VM known.
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

    /// Takes in the platform's list.
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

    /// Takes in a look at an endpoint.
    pub fn on_observation(&mut self, vm: &VmName, observation: &Observation) {
        self.merge_load(vm.clone(), observation.incarnation, observation.began, observation.load);
    }

    /// Takes in what a peer has heard.
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
        // News of leaving endpoints only lasts until the list is next read; then the list counts.
        self.leaving
            .extend(d.leaving.iter().map(|s| VmName::from(s.as_str())));
    }

    /// Takes in what a gateway had to refuse; the own gateway's word has no VM.
    pub fn on_unmet(&mut self, now: Instant, reports: Vec<WireUnmet>) {
        for w in reports {
            let vm = if w.vm.is_empty() {
                self.own_vm.clone()
            } else {
                w.vm.as_str().into()
            };
            let age = std::time::Duration::from_millis(u64::from(w.age_ms));
            let Some(said) = now.checked_sub(age) else {
                continue;
            };
            let row = self.unmet.entry((vm, w.model)).or_insert((w.rate, said));
            if row.1 < said {
                *row = (w.rate, said);
            }
        }
    }

    /// Gives what gateways had to refuse lately: VM, model, requests a second, when it was said.
    pub fn unmet(&self) -> impl Iterator<Item = (&VmName, &SmolStr, f64, Instant)> {
        self.unmet
            .iter()
            .map(|((vm, model), (rate, said))| (vm, model, f64::from(*rate) / 1e3, *said))
    }

    fn merge_load(&mut self, vm: VmName, incarnation: Incarnation, observed_at: Instant, r: LoadReport) {
        let newer = self.loads.get(&vm).is_none_or(|h| h.observed_at < observed_at);
        if newer {
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

    /// Counts up the heartbeat and forgets old reports.
    pub fn tick(&mut self, now: Instant, next: Offset) {
        self.members.tick(now, next);
        self.unmet
            .retain(|_, (_, said)| now.duration_since(*said) < DEMAND_REPORT_LIFETIME);
        self.loads
            .retain(|_, h| now.duration_since(h.observed_at) < REPORT_LIFE);
    }

    /// Gives what to tell a peer: the reports that were told least, the youngest first, and what it
    /// hasn't just said itself.
    pub fn digest(&mut self, now: Instant, said: &[WireHeartbeat]) -> Digest {
        let known: Vec<Heartbeat> = said
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
            .map(|((vm, model), (rate, said))| WireUnmet {
                vm: vm.as_str().into(),
                model: model.clone(),
                rate: *rate,
                age_ms: u32::try_from(now.duration_since(*said).as_millis()).unwrap_or(u32::MAX),
            });
        let unmet = unmet.collect();
        Digest {
            heartbeats,
            loads,
            leaving,
            unmet,
        }
    }

    /// Gives what the gateway of this VM wants to know.
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

    /// Gives the endpoints that are known to leave.
    #[must_use]
    pub fn leaving(&self) -> &BTreeSet<VmName> {
        &self.leaving
    }

    /// Chooses the peers to speak to now; the seeds while none is known.
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

    /// Tells whether this controller is one of the few that look at an endpoint for its load.
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
