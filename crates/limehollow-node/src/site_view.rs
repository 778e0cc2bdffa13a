//! This VM's view of the deployment: endpoints, load, demand, the other VMs, and requests that crash
//! endpoints.

use crate::assignment::RecentAssignments;
use crate::edge::{Feed, Vm};
use crate::feed_reads::FeedReads;
use crate::follower::position;
use crate::logging::may_log;
use crate::outbox::Outbox;
use crate::quarantine_sync::ReportedDigest;
use crate::settings::NodeSettings;
use crate::slots::BrittleServices;
use crate::unresponsive::UnresponsiveVms;
use crate::waiting::HeldRequests;
use limehollow::arrivals::Arrivals;
use limehollow::backlog::Backlog;
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
use limehollow::own_reach::OwnReach;
use limehollow::peers::Peers;
use limehollow::quarantine::Quarantine;
use limehollow::quota::Quotas;
use limehollow::rebalance::RequestedLoad;
use limehollow::retry_window::RepeatWindow;
use limehollow::roster::{Endpoint, HoldingsReport, ModelRef, Roster, Update};
use limehollow::slot_ledger::{SlotHoldings, SlotLedger};
use limehollow::start_tree::StartTree;
use limehollow::stream_origin::StreamOrigins;
use limehollow::version_history::{ListedVersion, VersionHistory};
use limehollow::wait_queue::WaitQueues;
use limehollow_wire::gossip::{ListChanges, Positions};
use smol_str::SmolStr;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// A removal of an endpoint from the list, and the era of the store in which it was read.
#[derive(Clone, Copy, Debug)]
pub struct Removal {
    at: Instant,
    era: u64,
}

/// A restore of the store from a copy.
#[derive(Clone, Copy, Debug)]
pub struct StoreReturn {
    /// The era that began with the restore.
    pub era: u64,
    /// When this VM learned of the restore.
    pub at: Instant,
}

/// How long a removal is remembered. A copy from which the store is restored is only some seconds old.
const REMOVAL_REMEMBERED: Duration = Duration::from_secs(60);

/// How often it is determined anew which services have a brittle endpoint.
const BRITTLE_CHECKED_EVERY: Duration = Duration::from_millis(100);

/// What this VM knows of the deployment, from the store and from other VMs.
#[derive(Debug)]
#[expect(clippy::struct_excessive_bools, reason = "each says another thing")]
pub struct SiteView {
    /// This VM, as the store should list it.
    own_vm: Vm,
    /// The known endpoints and what each holds.
    pub roster: Roster,
    /// The load of the endpoints, by which a request's endpoint is chosen.
    pub balance: Balance,
    /// The retry budget of each service.
    pub repeats: BTreeMap<ServiceName, RepeatWindow>,
    /// The demand of this VM's callers.
    pub arrivals: Arrivals,
    /// The demand of the callers of each other VM and zone, with the time of the report.
    pub demand: BTreeMap<VmName, (Instant, Vec<(ModelRef, f32)>)>,
    /// The usage of endpoints that each other VM of this zone reported last, with the time of the report.
    pub taken: BTreeMap<VmName, (Instant, Vec<(Instance, Taken)>)>,
    /// When this VM last relayed each part of another zone's summary.
    pub relayed_at: BTreeMap<(SmolStr, u8), Instant>,
    /// The number of parts of the last summary of each zone.
    pub zone_parts: BTreeMap<SmolStr, u8>,
    /// Instances of endpoints that are gone although the list still has them, with the time at which this
    /// VM learned that.
    pub gone: BTreeMap<Instance, Instant>,
    /// Instances of endpoints that announced that they leave, with the time at which this VM learned that.
    pub leaving: BTreeMap<Instance, Instant>,
    /// Models and adapters that requests on this VM wait for and that the controller hasn't been sent yet.
    pub unsent_loads: BTreeSet<RequestedLoad>,
    /// Models and adapters that requests on any VM wait for, with the time of the last report.
    pub requested_loads: BTreeMap<RequestedLoad, Instant>,
    /// The holder of the lease to give orders, as far as this VM knows, and whether this VM should apply
    /// for it.
    pub candidacy: Candidacy,
    /// The notice that this VM publishes about the lease, and until when.
    pub lease_notice: Option<(Notice, Instant)>,
    /// Changes of the list that this VM has read recently, to be sent to the VMs of its zone.
    pub recent_list_changes: VecDeque<(Instant, ListChanges)>,
    /// The position up to which this VM has read each feed.
    pub positions: Positions,
    /// How fresh the copy of each feed is.
    pub feed_reads: FeedReads,
    /// Endpoints that vanished around an outage of the store and may reappear. They stay in use meanwhile.
    pub held_removals: BTreeSet<SmolStr>,
    /// Endpoints that were removed recently.
    pub removed: BTreeMap<SmolStr, Removal>,
    /// Entries that the store shows since its restore, for endpoints that were removed before it. They
    /// aren't in use.
    pub doubtful: BTreeMap<SmolStr, Endpoint>,
    /// The last restore of the store from a copy.
    pub store_return: Option<StoreReturn>,
    /// The VM that has read each feed furthest, with its position.
    pub furthest: BTreeMap<Feed, (SmolStr, LogPosition)>,
    /// The VM of this zone that has read the list furthest, with its position.
    pub furthest_in_zone: Option<(SmolStr, LogPosition)>,
    /// Reports of the controller on this VM, to be sent to the other VMs.
    pub reports: Outbox,
    /// Whether this VM can't apply for the lease: its last call for the lease failed, or the process is
    /// stopping.
    pub lease_failing: bool,
    /// The other VMs.
    pub peers: Peers,
    /// Whether this VM reaches endpoints at all.
    pub own_reach: OwnReach,
    /// The requests that crash the endpoints that run them.
    pub quarantine: Quarantine,
    /// Endpoints that may have crashed, with the requests that they ran.
    pub crash_watch: CrashWatch,
    /// Until when the configuration is known to have been the newest.
    pub confirmation: Confirmation,
    /// The tokens that this VM has of the limits of workspaces and endpoints.
    pub quotas: Quotas,
    /// The rate that endpoints of each service accept while they are cold.
    pub cold_specs: BTreeMap<ServiceName, ColdSpec>,
    /// Whether the list of the site's VMs has been read from the store.
    pub has_vms: bool,
    /// Whether another VM handed its state over when this VM started.
    pub has_peer_state: bool,
    /// Whether this VM is still fetching the site's state at its start.
    pub is_starting: bool,
    /// The VMs that the store lists.
    pub listed: BTreeMap<SmolStr, Vm>,
    /// Whether the store lists this VM.
    pub is_listed: bool,
    /// VMs that the store doesn't list yet and that this VM writes to the store.
    pub unlisted: BTreeMap<SmolStr, Vm>,
    /// The assignment of a parent to each VM that asked this VM for one at its start.
    pub start_tree: StartTree,
    /// Coordinators that didn't answer recently.
    pub unresponsive: UnresponsiveVms,
    /// What began the streams of this VM, and those of which other VMs told it.
    pub stream_origins: StreamOrigins,
    /// The versions of the endpoints' software that were listed lately.
    pub version_history: VersionHistory,
    /// The versions that this VM, as the holder of the lease, has stored.
    pub versions_kept: Option<BTreeSet<ListedVersion>>,
    /// The slots of brittle endpoints that this VM has granted, as their coordinator.
    pub slot_ledger: SlotLedger,
    /// The slots of brittle endpoints that this VM holds.
    pub slot_holdings: SlotHoldings,
    /// The queues of the models that this VM coordinates.
    pub wait_queues: WaitQueues,
    /// The endpoints that this VM assigned to requests of its queues lately.
    pub recent_assignments: RecentAssignments,
    /// The requests of this VM that wait for their turn.
    pub held_requests: HeldRequests,
    /// The callers who were told to come back for a slot, by model, or by service where there are no models.
    pub slot_backlogs: BTreeMap<SmolStr, Backlog>,
    /// The services that have a brittle endpoint, and when that was determined.
    brittle: (Instant, BrittleServices),
    /// The digest that each other VM last sent of its quarantine records, and the address to fetch them
    /// from.
    pub quarantines: BTreeMap<SmolStr, ReportedDigest>,
}

impl SiteView {
    /// Creates the view of a VM that has read nothing yet.
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
            own_reach: OwnReach::default(),
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
            stream_origins: StreamOrigins::default(),
            version_history: VersionHistory::new(settings.first_start),
            versions_kept: None,
            slot_ledger: SlotLedger::new(now, rand::random()),
            slot_holdings: SlotHoldings::new(SmolStr::new(settings.name.as_str()), rand::random()),
            wait_queues: WaitQueues::default(),
            recent_assignments: RecentAssignments::default(),
            held_requests: HeldRequests::default(),
            slot_backlogs: BTreeMap::new(),
            brittle: (now, BrittleServices::new()),
        }
    }

    /// Returns `true` if another VM has read a feed further than this VM.
    pub(crate) fn is_behind(&self, feed: Feed) -> bool {
        let theirs = self.furthest.get(&feed).map(|(_, at)| *at);
        theirs > Some(position(self.positions, feed))
    }

    /// Records how far a VM of this zone has read the list.
    pub(crate) fn record_furthest_in_zone(&mut self, vm: &SmolStr, position: LogPosition) {
        let best = self.furthest_in_zone.as_ref().map(|(_, at)| *at);
        if Some(position) >= best && !position.is_start() {
            self.furthest_in_zone = Some((vm.clone(), position));
        }
    }

    /// Returns `true` if a VM of this zone has read the list further than this VM.
    ///
    /// Other zones are read for at other times. How far they are ahead is learned from the reader of the
    /// own zone.
    pub(crate) fn is_behind_zone(&self) -> bool {
        let theirs = self.furthest_in_zone.as_ref().map(|(_, at)| *at);
        theirs > Some(self.positions.endpoints)
    }

    /// Returns the VM from which to fetch a later list, preferably one of this zone.
    pub(crate) fn furthest_in_list(&self) -> Option<&SmolStr> {
        let here = self
            .furthest_in_zone
            .as_ref()
            .filter(|_| self.is_behind_zone());
        let any = self.furthest.get(&Feed::Endpoints);
        here.or(any).map(|(vm, _)| vm)
    }

    /// Records that a request on this VM waits for a model or adapter that isn't loaded.
    pub(crate) fn request_load(&mut self, now: Instant, r: RequestedLoad) {
        self.unsent_loads.insert(r.clone());
        self.requested_loads.insert(r, now);
    }

    /// Adds a VM, or updates its address and zone. Returns `true` if it was unknown.
    pub(crate) fn add_vm(&mut self, vm: &Vm) -> bool {
        let (name, zone) = (vm.name.clone(), vm.zone.clone());
        self.peers.upsert(name, zone, vm.address, vm.millicores)
    }

    /// Records that the store lists a VM.
    pub(crate) fn record_listed(&mut self, vm: Vm) {
        if self.unlisted.get(&vm.name) == Some(&vm) {
            self.unlisted.remove(&vm.name);
        }
        self.is_listed |= vm == self.own_vm;
        self.listed.insert(vm.name.clone(), vm);
    }

    /// Applies the complete list of VMs of the store. Returns `true` if the store has lost some that it
    /// listed before; they are queued to be written again.
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

    /// Returns `true` if an entry that the store shows in this era was removed in an earlier era: it may
    /// come from the copy.
    pub(crate) fn may_be_from_copy(&self, id: &str, era: u64) -> bool {
        let is_known = self.roster.key(id).is_some();
        !is_known && self.removed.get(id).is_some_and(|r| r.era < era)
    }

    /// Forgets removals that are older than any copy from which the store may be restored.
    pub(crate) fn forget_removals(&mut self, now: Instant) {
        self.removed
            .retain(|_, r| now.duration_since(r.at) < REMOVAL_REMEMBERED);
    }

    /// Applies the number of VMs that another VM knows, or 0 if it doesn't know yet. Limits are shared
    /// among the largest number that any VM knows.
    pub fn update_vm_count(&mut self, now: Instant, reported: usize) {
        let read = if self.has_vms {
            self.peers.known_vms()
        } else {
            0
        };
        self.quotas.set_vms(now, reported.max(read));
    }

    /// Applies an entry of the list.
    pub fn list(&mut self, now: Instant, e: Endpoint) -> Update {
        self.version_history
            .record(now, &e.service, e.software.as_ref());
        let former = self.instance_of(&e.instance.id);
        let (id, cold) = (e.instance.id.clone(), millis(e.cold_ms));
        let update = self.roster.apply_entry(now, e);
        self.forget(now, update.replaced, former);
        if let Some(key) = self.roster.key(&id) {
            self.record_cold(now, key, cold);
        }
        update
    }

    /// Applies the controller's report on an endpoint.
    pub(crate) fn report(&mut self, now: Instant, r: &HoldingsReport) -> Update {
        let former = self.instance_of(&r.instance.id);
        let update = self.roster.apply_report(now, r);
        self.forget(now, update.replaced, former);
        if update.is_restart() {
            self.record_new_start(now, &r.instance.id);
        }
        update
    }

    /// Updates the limit of an endpoint over all VMs from its current backpressure.
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

    /// Returns how many rejections a second each endpoint of a service bears, if one of them said that it is brittle.
    ///
    /// One endpoint's statement stands for its siblings: those that have just started have answered nothing yet.
    pub(crate) fn brittle(&mut self, now: Instant, service: &ServiceName) -> Option<f64> {
        self.brittle_services(now).get(service).copied()
    }

    /// Returns the services that have a brittle endpoint.
    pub(crate) fn brittle_services(&mut self, now: Instant) -> &BrittleServices {
        let (at, _) = self.brittle;
        if now.saturating_duration_since(at) >= BRITTLE_CHECKED_EVERY {
            self.brittle = (now, self.find_brittle(now));
        }
        &self.brittle.1
    }

    fn find_brittle(&self, now: Instant) -> BrittleServices {
        let mut services = BrittleServices::new();
        let backpressure = &self.balance.backpressure;
        if !backpressure.has_brittle(now) {
            return services;
        }
        for (key, e) in self.roster.iter() {
            if let Some(bears) = backpressure.bears(now, key) {
                let least = services.entry(e.service.clone()).or_insert(bears);
                *least = least.min(bears);
            }
        }
        services
    }

    /// Sets the rates that endpoints of each service accept while they are cold.
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

    /// Records that an endpoint is cold for the given time and accepts a lower rate until then.
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

    /// Treats a new instance that is known only from another VM's report as cold, until the list has its
    /// remaining time.
    fn record_new_start(&mut self, now: Instant, id: &SmolStr) {
        let key = self.roster.key(id);
        let service = key.and_then(|k| Some(&self.roster.get(k)?.service));
        let spec = service.and_then(|s| self.cold_specs.get(s)).copied();
        if let (Some(key), Some(spec)) = (key, spec) {
            self.record_cold(now, key, spec.start);
        }
    }

    /// Ends the cold periods that are over.
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

    /// Takes an endpoint with an unreadable entry out of use. Returns `true` if it was in use.
    pub fn set_unreadable(&mut self, id: &SmolStr) -> bool {
        self.held_removals.remove(id);
        let gone = self.roster.set_unreadable(id.clone());
        if let Some(key) = gone {
            // The endpoint may still run, so this isn't counted as a crash.
            self.balance.forget(key);
        }
        gone.is_some()
    }

    /// Records that another instance answers at an endpoint's address. Returns `true` if this VM didn't
    /// know, in which case it informs the other VMs.
    ///
    /// The list shows a crashed instance for three heartbeats. While each of 300 VMs had to find out by
    /// itself, 805 requests were sent to a former instance within four seconds after 50 of 240 endpoints
    /// had crashed and come back.
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

    /// Records that an endpoint announced that it leaves. Returns `true` if this VM didn't know, in which
    /// case it informs the other VMs.
    ///
    /// The endpoint's entry on the list may follow much later: an endpoint that leaves while the store is
    /// away can't write it.
    pub(crate) fn record_leaving(&mut self, now: Instant, instance: &Instance) -> bool {
        let is_news = self.roster.note_leaving(instance);
        if is_news {
            self.leaving.insert(instance.clone(), now);
        }
        is_news
    }

    /// Drops an endpoint that is off the list. Returns `true` if it was known.
    pub fn drop_endpoint(&mut self, now: Instant, id: &str) -> bool {
        self.held_removals.remove(id);
        let former = self.instance_of(id);
        let gone = self.roster.remove(id);
        self.forget(now, gone, former);
        if gone.is_some() {
            let era = self.positions.endpoints.era();
            self.removed
                .insert(SmolStr::new(id), Removal { at: now, era });
        }
        gone.is_some()
    }

    /// Returns the known instance of an endpoint, unless it is leaving.
    fn instance_of(&self, id: &str) -> Option<Instance> {
        let e = self.roster.get(self.roster.key(id)?)?;
        (!e.leaving).then(|| e.instance.clone())
    }

    /// Forgets the load of an endpoint's instance that is gone. If the instance hadn't announced that it
    /// leaves and connections to it were cut off, it crashed.
    fn forget(&mut self, now: Instant, gone: Option<EndpointKey>, start: Option<Instance>) {
        let Some(key) = gone else { return };
        self.balance.forget(key);
        if let Some(start) = start {
            self.record_crash(now, &start);
        }
    }

    /// Records that an instance of an endpoint has crashed, which makes the requests that it ran suspect.
    /// Returns `true` if it ran any.
    pub(crate) fn record_crash(&mut self, now: Instant, start: &Instance) -> bool {
        let cut_off = self.crash_watch.record_crash(start);
        for c in &cut_off {
            self.record_suspect(now, start, *c);
        }
        !cut_off.is_empty()
    }

    /// Records that a request ran on an instance of an endpoint when the instance crashed.
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

    /// Begins a trial of a quarantined part of prompts, if one is due and this VM is the one that makes it.
    pub(crate) fn begin_trial(&mut self, now: Instant, part: Fingerprint) -> bool {
        let is_coordinator = self.peers.is_coordinator(now, &part.to_string());
        is_coordinator && self.quarantine.begin_trial(now, part)
    }

    /// Merges another VM's record of a request under which endpoints crashed. Returns `true` if it contains
    /// something new.
    pub(crate) fn merge_crashes(&mut self, now: Instant, by: &str, r: &CrashRecord) -> bool {
        let outcome = self.quarantine.merge(now, r);
        if outcome.is_quarantined {
            self.log_quarantined(now, r.request, by);
            if self.peers.is_zone_leader(now) {
                // The record that completes the evidence differs from VM to VM, so only the zone's leader
                // writes the quarantine to the store.
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
