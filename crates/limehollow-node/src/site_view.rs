//! What a process knows of endpoints, load, demand, the other VMs and requests that crash endpoints.

use crate::edge::{Feed, Vm};
use crate::feed_reads::FeedReads;
use crate::follower::position;
use crate::logging::may_log;
use crate::outbox::Outbox;
use crate::quarantine_sync::ReportedDigest;
use crate::settings::NodeSettings;
use crate::unresponsive::UnresponsiveVms;
use limehollow::arrivals::Arrivals;
use limehollow::balance::{Balance, Taken};
use limehollow::candidacy::{Candidacy, Notice};
use limehollow::catalog::ColdSpec;
use limehollow::confirmation::Confirmation;
use limehollow::crash_record::{CrashRecord, StartTag};
use limehollow::crash_watch::{CrashWatch, CutOff};
use limehollow::fingerprint::Fingerprint;
use limehollow::id::{EndpointKey, ServiceName, VmName, ZoneName};
use limehollow::instance::Instance;
use limehollow::log_position::LogPosition;
use limehollow::peers::Peers;
use limehollow::quarantine::Quarantine;
use limehollow::quota::Quotas;
use limehollow::retry_window::RepeatWindow;
use limehollow::roster::{Endpoint, HoldingsReport, ModelRef, Roster, Update};
use limehollow::start_tree::StartTree;
use limehollow_wire::gossip::{ListChanges, Positions};
use smol_str::SmolStr;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// The removal of an endpoint from the list.
#[derive(Clone, Copy, Debug)]
pub struct Removal {
    at: Instant,
    era: u64,
}

/// A return of the store from a copy.
#[derive(Clone, Copy, Debug)]
pub struct StoreReturn {
    /// The era that began with it.
    pub era: u64,
    /// When this VM learnt of it.
    pub at: Instant,
}

/// How long a removal is remembered: a copy from which the store comes back is some seconds old.
const REMOVAL_REMEMBERED: Duration = Duration::from_secs(60);

/// What is known of endpoints, load and demand.
#[derive(Debug)]
#[expect(clippy::struct_excessive_bools, reason = "each says another thing")]
pub struct SiteView {
    /// This VM.
    own_vm: Vm,
    /// The endpoints.
    pub roster: Roster,
    /// What is where.
    pub balance: Balance,
    /// The budget for repeats, by service.
    pub repeats: BTreeMap<ServiceName, RepeatWindow>,
    /// What this VM's callers ask for.
    pub arrivals: Arrivals,
    /// What the callers of other VMs, and of other zones, ask for, and when that was heard.
    pub demand: BTreeMap<VmName, (Instant, Vec<(ModelRef, f32)>)>,
    /// What other VMs have at the endpoints, as the VMs of this zone said it last.
    pub taken: BTreeMap<VmName, (Instant, Vec<(Instance, Taken)>)>,
    /// When each part of another zone's sums was passed on last, by this VM.
    pub relayed_at: BTreeMap<(SmolStr, u8), Instant>,
    /// In how many parts each zone said its sums last.
    pub zone_parts: BTreeMap<SmolStr, u8>,
    /// Starts of endpoints that are gone, though the list still shows them, and when that was learnt.
    pub gone: BTreeMap<Instance, Instant>,
    /// Starts of endpoints that said that they leave, and when that was heard.
    pub leaving: BTreeMap<Instance, Instant>,
    /// What requests wait for here that isn't loaded, until it is told.
    pub unsent_loads: BTreeSet<ModelRef>,
    /// What requests of any VM wait for, and when that was last heard.
    pub requested_loads: BTreeMap<ModelRef, Instant>,
    /// Who holds the lease to give orders, as far as is known.
    pub candidacy: Candidacy,
    /// What this VM says of the lease itself, and until when.
    pub lease_notice: Option<(Notice, Instant)>,
    /// Changes of the list that this VM read lately, for the VMs of its zone.
    pub recent_list_changes: VecDeque<(Instant, ListChanges)>,
    /// How far this process has read what it follows.
    pub positions: Positions,
    /// How fresh that is.
    pub feed_reads: FeedReads,
    /// Endpoints that vanished around an outage and may come back: they are still in use.
    pub held_removals: BTreeSet<SmolStr>,
    /// Endpoints that were removed lately, and in which era of the store.
    pub removed: BTreeMap<SmolStr, Removal>,
    /// Entries that the store shows since its return from a copy, of endpoints that were removed before: they are not in use.
    pub doubtful: BTreeMap<SmolStr, Endpoint>,
    /// The store's last return from a copy.
    pub store_return: Option<StoreReturn>,
    /// The VM that has read each feed furthest, and how far.
    pub furthest: BTreeMap<Feed, (SmolStr, LogPosition)>,
    /// The VM of this zone that has read the list furthest, and how far.
    pub furthest_in_zone: Option<(SmolStr, LogPosition)>,
    /// What the controller on this VM found out lately, for the other VMs.
    pub reports: Outbox,
    /// Whether this VM can't stand for the lease: its last call for it failed, or it was told to end.
    pub lease_failing: bool,
    /// The other VMs.
    pub peers: Peers,
    /// Which requests crash the endpoints that run them.
    pub quarantine: Quarantine,
    /// Endpoints that may have crashed, and what they ran.
    pub crash_watch: CrashWatch,
    /// Until when the configuration is known to have been the newest.
    pub confirmation: Confirmation,
    /// What this VM has of workspaces' limits.
    pub quotas: Quotas,
    /// What endpoints of each service bear while they are cold.
    pub cold_specs: BTreeMap<ServiceName, ColdSpec>,
    /// Whether the VMs of the site were read from the store.
    pub has_vms: bool,
    /// Whether another VM handed its state over at the start.
    pub has_peer_state: bool,
    /// Whether this VM is still getting to know the site.
    pub is_starting: bool,
    /// The VMs that the store shows.
    pub listed: BTreeMap<SmolStr, Vm>,
    /// Whether this VM is among them.
    pub is_listed: bool,
    /// VMs that the store doesn't show yet and that this one writes there.
    pub unlisted: BTreeMap<SmolStr, Vm>,
    /// From whom those get the state that asked this VM at their start.
    pub start_tree: StartTree,
    /// VMs that keep pools or places and were silent lately.
    pub unresponsive: UnresponsiveVms,
    /// What the other VMs said last of what they know of such requests, and where to ask for it.
    pub quarantines: BTreeMap<SmolStr, ReportedDigest>,
}

impl SiteView {
    /// Knows nothing yet.
    pub(crate) fn new(settings: &NodeSettings, now: Instant) -> Self {
        let zone = ZoneName::from(settings.availability_zone.as_str());
        Self {
            own_vm: Vm {
                name: SmolStr::new(settings.name.as_str()),
                zone: zone.clone(),
                address: settings.peer_address(),
                millicores: settings.millicores(),
            },
            roster: Roster::default(),
            balance: Balance::new(zone.clone()),
            repeats: BTreeMap::new(),
            arrivals: Arrivals::default(),
            demand: BTreeMap::new(),
            taken: BTreeMap::new(),
            relayed_at: BTreeMap::new(),
            zone_parts: BTreeMap::new(),
            gone: BTreeMap::new(),
            leaving: BTreeMap::new(),
            unsent_loads: BTreeSet::new(),
            requested_loads: BTreeMap::new(),
            candidacy: Candidacy::new(now),
            lease_notice: None,
            recent_list_changes: VecDeque::new(),
            positions: Positions::default(),
            feed_reads: FeedReads::default(),
            held_removals: BTreeSet::new(),
            removed: BTreeMap::new(),
            doubtful: BTreeMap::new(),
            store_return: None,
            furthest: BTreeMap::new(),
            furthest_in_zone: None,
            reports: Outbox::default(),
            lease_failing: false,
            peers: Peers::new(
                SmolStr::new(settings.name.as_str()),
                zone.clone(),
                settings.millicores(),
            ),
            quarantine: Quarantine::default(),
            crash_watch: CrashWatch::default(),
            confirmation: Confirmation::default(),
            quotas: Quotas::new(settings.quota_allowance()),
            cold_specs: BTreeMap::new(),
            has_vms: false,
            has_peer_state: false,
            is_starting: false,
            listed: BTreeMap::new(),
            is_listed: false,
            unlisted: BTreeMap::new(),
            start_tree: StartTree::default(),
            unresponsive: UnresponsiveVms::default(),
            quarantines: BTreeMap::new(),
        }
    }

    /// Tells whether another VM has read a feed further than this one.
    pub(crate) fn is_behind(&self, feed: Feed) -> bool {
        let theirs = self.furthest.get(&feed).map(|(_, at)| *at);
        theirs > Some(position(self.positions, feed))
    }

    /// Takes in how far a VM of this zone has read the list.
    pub(crate) fn record_furthest_in_zone(&mut self, vm: &SmolStr, position: LogPosition) {
        let best = self.furthest_in_zone.as_ref().map(|(_, at)| *at);
        if Some(position) >= best && !position.is_start() {
            self.furthest_in_zone = Some((vm.clone(), position));
        }
    }

    /// Tells whether a VM of this zone has read the list further than this one. Other zones are read for at other moments: what
    /// they are ahead comes by the own zone's reader.
    pub(crate) fn is_behind_zone(&self) -> bool {
        let theirs = self.furthest_in_zone.as_ref().map(|(_, at)| *at);
        theirs > Some(self.positions.endpoints)
    }

    /// Gives the VM from which a list is got that is further: one of this zone, if there is one.
    pub(crate) fn furthest_in_list(&self) -> Option<&SmolStr> {
        let here = self
            .furthest_in_zone
            .as_ref()
            .filter(|_| self.is_behind_zone());
        let any = self.furthest.get(&Feed::Endpoints);
        here.or(any).map(|(vm, _)| vm)
    }

    /// Takes in that a request waits here for something that isn't loaded.
    pub(crate) fn request_load(&mut self, now: Instant, m: &ModelRef) {
        self.unsent_loads.insert(m.clone());
        self.requested_loads.insert(m.clone(), now);
    }

    /// Takes in where a VM is.
    pub(crate) fn add_vm(&mut self, vm: &Vm) -> bool {
        let (name, zone) = (vm.name.clone(), vm.zone.clone());
        self.peers.upsert(name, zone, vm.address, vm.millicores)
    }

    /// Notes that the store shows a VM.
    pub(crate) fn record_listed(&mut self, vm: Vm) {
        if self.unlisted.get(&vm.name) == Some(&vm) {
            self.unlisted.remove(&vm.name);
        }
        self.is_listed |= vm == self.own_vm;
        self.listed.insert(vm.name.clone(), vm);
    }

    /// Takes in all VMs that the store shows. Gives whether it has lost some that it showed before: they are to be written again.
    pub(crate) fn record_all_listed(&mut self, vms: Vec<Vm>) -> bool {
        let before = std::mem::take(&mut self.listed);
        self.is_listed = false;
        for vm in vms {
            self.record_listed(vm);
        }
        let lost = before
            .into_iter()
            .filter(|(name, _)| !self.listed.contains_key(name));
        let lost: Vec<_> = lost.collect();
        let has_lost = !lost.is_empty();
        self.unlisted.extend(lost);
        has_lost
    }

    /// Tells whether an entry that the store shows in this era was removed in an earlier one: it may be the copy's.
    pub(crate) fn may_be_from_copy(&self, id: &str, era: u64) -> bool {
        let is_known = self.roster.key(id).is_some();
        !is_known && self.removed.get(id).is_some_and(|r| r.era < era)
    }

    /// Forgets removals that no copy can undo any more.
    pub(crate) fn forget_removals(&mut self, now: Instant) {
        self.removed
            .retain(|_, r| now.duration_since(r.at) < REMOVAL_REMEMBERED);
    }

    /// Takes in how many VMs another one knows of; limits are shared among the most that any knows. It is zero where that
    /// one doesn't know yet.
    pub fn update_vm_count(&mut self, now: Instant, told: usize) {
        let read = if self.has_vms {
            self.peers.known_vms()
        } else {
            0
        };
        self.quotas.set_vms(now, told.max(read));
    }

    /// Takes in an entry of the list.
    pub fn list(&mut self, now: Instant, e: Endpoint) -> Update {
        let former = self.start_of(&e.instance.id);
        let (id, cold) = (e.instance.id.clone(), millis(e.cold_ms));
        let update = self.roster.apply_entry(now, e);
        self.forget(now, update.replaced, former);
        if let Some(key) = self.roster.key(&id) {
            self.record_cold(now, key, cold);
        }
        update
    }

    /// Takes in what the controller knows of an endpoint.
    pub(crate) fn report(&mut self, now: Instant, r: &HoldingsReport) -> Update {
        let former = self.start_of(&r.instance.id);
        let update = self.roster.apply_report(now, r);
        self.forget(now, update.replaced, former);
        if update.is_restart() {
            self.record_new_start(now, &r.instance.id);
        }
        update
    }

    /// Puts in force what an endpoint takes of all VMs together, after something changed of it.
    pub(crate) fn set_limit(&mut self, now: Instant, key: EndpointKey) {
        let Some(e) = self.roster.get(key) else {
            return;
        };
        let id = &e.instance.id;
        match self.balance.backpressure.limit(key) {
            Some(l) if l.is_cold => self.quotas.limit_cold_endpoint(now, id, l.rate),
            Some(l) => self.quotas.limit_endpoint(now, id, l.rate),
            None => self.quotas.remove_endpoint_limit(id),
        }
    }

    /// Takes in what endpoints of each service bear while they are cold.
    pub(crate) fn set_cold_specs<I>(&mut self, now: Instant, specs: I)
    where
        I: IntoIterator<Item = (ServiceName, ColdSpec)>,
    {
        self.cold_specs = specs.into_iter().collect();
        let cold = self.roster.iter().filter(|(_, e)| e.cold_ms > 0);
        let cold: Vec<_> = cold.map(|(k, e)| (k, millis(e.cold_ms))).collect();
        for (key, left) in cold {
            self.record_cold(now, key, left);
        }
    }

    /// Takes in that an endpoint is cold for so long, and bears less meanwhile.
    pub(crate) fn record_cold(&mut self, now: Instant, key: EndpointKey, left: Duration) {
        let Some(e) = self.roster.get(key).filter(|_| !left.is_zero()) else {
            return;
        };
        let Some(spec) = self.cold_specs.get(&e.service) else {
            return;
        };
        let was_cold = self.balance.backpressure.is_cold(key);
        if !was_cold && may_log() {
            let left_ms = left.as_millis();
            tracing::info!(endpoint = %e.instance, left_ms, rate = spec.rate, "an endpoint is cold");
        }
        self.balance
            .backpressure
            .mark_cold(key, now + left, spec.rate);
        self.set_limit(now, key);
    }

    /// Takes in that a start of an endpoint is new, of which only another VM's report tells: the list says later how cold it is.
    fn record_new_start(&mut self, now: Instant, id: &SmolStr) {
        let key = self.roster.key(id);
        let service = key.and_then(|k| Some(&self.roster.get(k)?.service));
        let spec = service.and_then(|s| self.cold_specs.get(s)).copied();
        if let (Some(key), Some(spec)) = (key, spec) {
            self.record_cold(now, key, spec.start);
        }
    }

    /// Ends the cold times that are over.
    pub(crate) fn warm_up(&mut self, now: Instant) {
        for key in self.balance.backpressure.end_cold_periods(now) {
            self.set_limit(now, key);
        }
    }

    /// Drops the limits of endpoints that are gone.
    pub(crate) fn drop_limits(&mut self) {
        let (roster, balance) = (&self.roster, &self.balance);
        let is_limited = |id: &str| {
            let key = roster.key(id);
            key.is_some_and(|k| balance.backpressure.rate(k).is_some())
        };
        self.quotas.retain_endpoints(is_limited);
    }

    /// Takes an endpoint out of use whose entry can't be read. Gives whether it was in use.
    pub fn set_unreadable(&mut self, id: &SmolStr) -> bool {
        self.held_removals.remove(id);
        let gone = self.roster.set_unreadable(id.clone());
        if let Some(key) = gone {
            // Its endpoint may well live: this says nothing of a crash.
            self.balance.forget(key);
        }
        gone.is_some()
    }

    /// Takes in that another start answers at an endpoint's address. Gives whether that is news: the other VMs are told
    /// then.
    ///
    /// The list shows a start that crashed for three heartbeats. While each of 300 VMs had to find out by itself, 805
    /// requests were sent to a former start within four seconds after 50 endpoints of 240 had crashed and come back.
    pub(crate) fn record_gone(&mut self, now: Instant, instance: &Instance) -> bool {
        let Some(key) = self.roster.find(instance) else {
            return false;
        };
        let is_news = self.roster.get(key).is_some_and(|e| !e.leaving);
        if is_news {
            self.roster.mark_leaving(key);
            self.gone.insert(instance.clone(), now);
            self.record_crash(now, instance);
        }
        is_news
    }

    /// Takes in that an endpoint says itself that it leaves. Gives whether that is news: the other VMs are told then.
    ///
    /// Its entry on the list may say so much later: an endpoint that leaves while the store is away can't write it.
    pub(crate) fn record_leaving(&mut self, now: Instant, instance: &Instance) -> bool {
        let is_news = self.roster.note_leaving(instance);
        if is_news {
            self.leaving.insert(instance.clone(), now);
        }
        is_news
    }

    /// Drops an endpoint that is off the list. Gives whether it was there.
    pub fn drop_endpoint(&mut self, now: Instant, id: &str) -> bool {
        self.held_removals.remove(id);
        let former = self.start_of(id);
        let gone = self.roster.remove(id);
        self.forget(now, gone, former);
        if gone.is_some() {
            let era = self.positions.endpoints.era();
            self.removed
                .insert(SmolStr::new(id), Removal { at: now, era });
        }
        gone.is_some()
    }

    /// Gives the start that is known of an endpoint, unless it has said that it leaves.
    fn start_of(&self, id: &str) -> Option<Instance> {
        let e = self.roster.get(self.roster.key(id)?)?;
        (!e.leaving).then(|| e.instance.clone())
    }

    /// Forgets what is believed of a start of an endpoint that is gone. If it hadn't said that it leaves, and connections to
    /// it had ended, it crashed.
    fn forget(&mut self, now: Instant, gone: Option<EndpointKey>, start: Option<Instance>) {
        let Some(key) = gone else { return };
        self.balance.forget(key);
        if let Some(start) = start {
            self.record_crash(now, &start);
        }
    }

    /// Takes in that a start of an endpoint has crashed: what it ran is suspect. Gives whether it ran anything.
    pub(crate) fn record_crash(&mut self, now: Instant, start: &Instance) -> bool {
        let cut_off = self.crash_watch.record_crash(start);
        for c in &cut_off {
            self.record_suspect(now, start, *c);
        }
        !cut_off.is_empty()
    }

    /// Takes in that a request ran on a start of an endpoint when that crashed.
    pub(crate) fn record_suspect(&mut self, now: Instant, start: &Instance, c: CutOff) {
        let tag = StartTag::from(start);
        let from = (c.request, c.origin);
        let outcome = self.quarantine.record_crash(now, from, tag, c.timing);
        if may_log() {
            let record = self.quarantine.record(now, c.request);
            tracing::info!(
                request = %c.request,
                endpoint = %start,
                timing = ?c.timing,
                crashes = record.map_or(0, |r| r.crashes.len()),
                "an endpoint crashed under the request"
            );
        }
        if outcome.is_quarantined {
            self.log_quarantined(now, c.request, "this VM");
        }
    }

    /// Takes in what another VM knows of a request that endpoints crashed under.
    pub(crate) fn merge_crashes(&mut self, now: Instant, by: &str, r: &CrashRecord) -> bool {
        let outcome = self.quarantine.merge(now, r);
        if outcome.is_quarantined {
            self.log_quarantined(now, r.request, by);
            if self.peers.is_zone_leader(now) {
                // Which VM's word was the last one needed is another one on each VM.
                self.quarantine.mark_unsaved(r.request);
            }
        }
        outcome.is_new
    }

    fn log_quarantined(&self, now: Instant, request: Fingerprint, by: &str) {
        let record = self.quarantine.record(now, request);
        let crashes = record.map(|r| r.crashes).unwrap_or_default();
        tracing::warn!(%request, by, ?crashes, "the request is quarantined");
    }
}

fn millis(ms: u32) -> Duration {
    Duration::from_millis(u64::from(ms))
}
