//! The endpoints of a site, merged from the platform's list and the controller's reports.
//!
//! The list lags and has no timestamps. A report that the controller read from the endpoint itself takes precedence
//! over entries that arrive within [`REPORT_PREFERRED`] after it. Reports count the endpoint's orders, which shows the
//! newer of two reports of one start.
//!
//! A key stands for one start of an endpoint ([`Instance`]). A later start gets a new key, so that everything recorded
//! about the former start, here and in other modules, is dropped with its key.

use crate::id::{EndpointKey, ServiceName, SoftwareVersion, ZoneName};
use crate::instance::{Instance, StartOrder};
use serde::{Deserialize, Serialize};
use slotmap::SlotMap;
use smol_str::SmolStr;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// The time for which a report takes precedence over the list: the list's lag, two heartbeats and a margin.
pub const REPORT_PREFERRED: Duration = Duration::from_millis(3000);
/// The time after the last report from which on an arriving entry was certainly written later than the report: a
/// heartbeat, and the time until a change of the list is read.
const WRITTEN_AFTER: Duration = Duration::from_millis(2000);

/// A model, optionally with one of its adapters.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ModelRef {
    /// The model.
    pub model: SmolStr,
    /// The adapter.
    pub adapter: Option<SmolStr>,
}

/// A model that an endpoint holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The version of its weights.
    pub version: u64,
    /// Its adapters that are loaded.
    pub adapters: BTreeSet<SmolStr>,
}

/// The models that an endpoint holds, by name.
pub type Holdings = BTreeMap<SmolStr, Held>;

/// Returns `true` if `holdings` contains a model and, if one is named, its adapter.
#[must_use]
pub fn holds(holdings: &Holdings, wanted: &ModelRef) -> bool {
    let Some(held) = holdings.get(&wanted.model) else {
        return false;
    };
    wanted
        .adapter
        .as_ref()
        .is_none_or(|a| held.adapters.contains(a))
}

/// One endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The start of the endpoint.
    pub instance: Instance,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// The address that it listens at.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The version of its software; that of the weights is in [`Held`]. `None` if it has started again and the list
    /// doesn't show that start yet.
    pub software: Option<SoftwareVersion>,
    /// The number of requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving and accepts no new work.
    pub leaving: bool,
    /// The remaining time for which it is cold, as of the writing of the entry, in ms.
    pub cold_ms: u32,
    /// The models that it holds.
    pub holdings: Holdings,
    /// The models whose weights are in its memory or on its disk, so that it can load them quickly.
    pub copies: BTreeSet<SmolStr>,
}

/// The controller's report of an endpoint's holdings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HoldingsReport {
    /// The start of the endpoint that the report is about.
    pub instance: Instance,
    /// The models that it holds, without those that are about to be unloaded.
    pub holdings: Holdings,
    /// The number of orders that it had accepted.
    pub orders_taken: u64,
}

#[derive(Debug)]
struct Row {
    endpoint: Endpoint,
    /// When the last report arrived, and the number of orders in it.
    reported: Option<(Instant, u64)>,
    /// The holdings of the last entry that arrived while the report took precedence, and when it arrived.
    held_back: Option<(Instant, Holdings)>,
    /// Whether the list has the time of the endpoint's start.
    lists_born: bool,
}

/// The result of a command.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Update {
    /// Whether anything changed: for an entry the endpoint or its start, for a report the holdings.
    pub is_new: bool,
    /// The key of a former start, which is gone: state that is recorded under it has to be dropped.
    pub replaced: Option<EndpointKey>,
}

impl Update {
    /// Returns `true` if the update shows that the endpoint restarted.
    #[must_use]
    pub fn is_restart(self) -> bool {
        self.is_new && self.replaced.is_some()
    }
}

impl Row {
    fn new(endpoint: Endpoint, lists_born: bool) -> Self {
        Self {
            lists_born,
            endpoint,
            reported: None,
            held_back: None,
        }
    }

    /// Returns `true` if a report of the same start is older than the last one.
    ///
    /// If the endpoint doesn't report the time of its start, a lower count may also mean that it restarted. Such a
    /// report is accepted after [`REPORT_PREFERRED`], which is longer than messages are repeated. Otherwise all reports
    /// would be ignored until the new start's count had caught up.
    fn is_older_report(&self, now: Instant, r: &HoldingsReport) -> bool {
        let Some((at, taken)) = self.reported else {
            return false;
        };
        let has_start_time = self.endpoint.instance.born.is_some() && r.instance.born.is_some();
        let is_recent = now.duration_since(at) < REPORT_PREFERRED;
        r.orders_taken < taken && (has_start_time || is_recent)
    }

    /// Returns `true` if the last report takes precedence over the list.
    fn is_report_preferred(&self, now: Instant) -> bool {
        let preferred = |at: Instant| now.duration_since(at) < REPORT_PREFERRED;
        self.reported.is_some_and(|(at, _)| preferred(at))
    }
}

/// The number of starts remembered as leaving: an endpoint is gone seconds to minutes after it announces this.
const MAX_LEAVING_STARTS: usize = 1024;

/// All endpoints.
#[derive(Debug, Default)]
pub struct Roster {
    rows: SlotMap<EndpointKey, Row>,
    /// The key of each endpoint's known start, by id.
    keys: BTreeMap<SmolStr, EndpointKey>,
    /// The ids whose entries can't be parsed; such an entry yields no endpoint.
    unreadable: BTreeSet<SmolStr>,
    /// The zones that operators evacuated; their endpoints get no new work.
    evacuated: BTreeSet<ZoneName>,
    /// The starts that announced that they leave, the latest first. They are kept independently of the entries, which
    /// may disappear and reappear with the platform's store.
    leaving_starts: VecDeque<Instance>,
}

/// Queries.
impl Roster {
    /// Returns an endpoint.
    #[must_use]
    pub fn get(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.rows.get(key).map(|r| &r.endpoint)
    }

    /// Returns the key of an endpoint's known start.
    #[must_use]
    pub fn key(&self, id: &str) -> Option<EndpointKey> {
        self.keys.get(id).copied()
    }

    /// Returns the key of exactly this start of an endpoint.
    #[must_use]
    pub fn find(&self, instance: &Instance) -> Option<EndpointKey> {
        let key = self.key(&instance.id)?;
        let known = &self.rows[key].endpoint.instance;
        known.is_same(instance).then_some(key)
    }

    /// Returns the ids whose entries can't be parsed.
    pub fn unreadable(&self) -> impl Iterator<Item = &SmolStr> {
        self.unreadable.iter()
    }

    /// Returns all endpoints, including leaving ones, ordered by id.
    pub fn iter(&self) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        self.keys.values().map(|k| (*k, &self.rows[*k].endpoint))
    }

    /// Returns the endpoints of a service that accept new work.
    pub fn open<'r>(
        &'r self,
        service: &'r ServiceName,
    ) -> impl Iterator<Item = (EndpointKey, &'r Endpoint)> {
        self.iter()
            .filter(move |(_, e)| e.service == *service && self.is_open(e))
    }

    /// Returns `true` if an endpoint accepts new work: it isn't leaving and its zone isn't evacuated.
    #[must_use]
    pub fn takes_work(&self, key: EndpointKey) -> bool {
        self.get(key).is_some_and(|e| self.is_open(e))
    }

    fn is_open(&self, e: &Endpoint) -> bool {
        !e.leaving && !self.evacuated.contains(&e.zone)
    }

    /// Returns the evacuated zones.
    pub fn evacuated(&self) -> impl Iterator<Item = &ZoneName> {
        self.evacuated.iter()
    }

    /// Returns the number of endpoints.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns `true` if there are no endpoints.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}

/// Commands.
impl Roster {
    /// Applies an entry of the platform's list.
    ///
    /// An entry of an earlier start than the known one is ignored: it was written before, and read late.
    pub fn apply_entry(&mut self, now: Instant, mut entry: Endpoint) -> Update {
        let lists_born = entry.instance.born.is_some();
        let Some(key) = self.key(&entry.instance.id) else {
            return self.insert(entry, lists_born);
        };
        let row = &mut self.rows[key];
        let known = &row.endpoint;
        match entry.instance.compare(&known.instance) {
            StartOrder::Earlier => return Update::default(),
            StartOrder::Later => return self.replace(key, entry, lists_born),
            StartOrder::Same => {}
        }
        if row.lists_born && !lists_born {
            // The endpoint writes the time of its start with each heartbeat, so this entry is by another writer.
            let replaced = self.set_unreadable(entry.instance.id);
            return Update {
                is_new: false,
                replaced,
            };
        }
        entry.software = entry.software.or_else(|| known.software.clone());
        // An endpoint that began to leave doesn't return within the same start, even if a late entry indicates it.
        entry.leaving |= known.leaving;
        let has_other_software = known.software.is_some() && known.software != entry.software;
        if has_other_software || (known.address, &known.service) != (entry.address, &entry.service)
        {
            // Connections and measurements belong to the endpoint at the former address or version.
            return self.replace(key, entry, lists_born);
        }
        row.held_back = None;
        if row.is_report_preferred(now) {
            let reported = std::mem::take(&mut row.endpoint.holdings);
            row.held_back = Some((now, std::mem::replace(&mut entry.holdings, reported)));
        }
        entry.instance.born = entry.instance.born.or(row.endpoint.instance.born);
        row.lists_born |= lists_born;
        row.endpoint = entry;
        Update::default()
    }

    /// Applies a report of the controller.
    ///
    /// A report of a later start than the listed one replaces the endpoint. Its copies are cleared, since the listed
    /// copies were those of the former start.
    pub fn apply_report(&mut self, now: Instant, r: &HoldingsReport) -> Update {
        let Some(key) = self.key(&r.instance.id) else {
            return Update::default();
        };
        let row = &mut self.rows[key];
        match r.instance.compare(&row.endpoint.instance) {
            StartOrder::Earlier => return Update::default(),
            StartOrder::Later => {
                let started = Endpoint {
                    instance: r.instance.clone(),
                    leaving: false,
                    cold_ms: 0,
                    software: None,
                    holdings: r.holdings.clone(),
                    copies: BTreeSet::new(),
                    ..row.endpoint.clone()
                };
                let lists_born = row.lists_born;
                let update = self.replace(key, started, lists_born);
                self.note_report(now, r);
                return update;
            }
            StartOrder::Same => {}
        }
        if row.is_older_report(now, r) {
            return Update::default();
        }
        row.endpoint.instance.born = row.endpoint.instance.born.or(r.instance.born);
        row.held_back = None;
        let is_new = row.endpoint.holdings != r.holdings;
        if is_new {
            row.endpoint.holdings = r.holdings.clone();
        }
        self.note_report(now, r);
        Update {
            is_new,
            replaced: None,
        }
    }

    fn note_report(&mut self, now: Instant, r: &HoldingsReport) {
        if let Some(key) = self.key(&r.instance.id) {
            self.rows[key].reported = Some((now, r.orders_taken));
        }
    }

    fn insert(&mut self, mut endpoint: Endpoint, lists_born: bool) -> Update {
        let id = endpoint.instance.id.clone();
        endpoint.leaving |= self.has_announced_leaving(&endpoint.instance);
        self.unreadable.remove(&id);
        let key = self.rows.insert(Row::new(endpoint, lists_born));
        self.keys.insert(id, key);
        Update {
            is_new: true,
            replaced: None,
        }
    }

    fn replace(&mut self, old: EndpointKey, endpoint: Endpoint, lists_born: bool) -> Update {
        self.rows.remove(old);
        Update {
            replaced: Some(old),
            ..self.insert(endpoint, lists_born)
        }
    }

    /// Applies entries that were held back once the reports that took precedence are old. Returns `true` if anything
    /// changed.
    ///
    /// The list doesn't repeat unchanged entries. Without this, a report that never took effect, such as that of an
    /// unload whose order was lost, would stay in force forever.
    pub fn apply_held_back(&mut self, now: Instant) -> bool {
        let mut has_changed = false;
        for row in self.rows.values_mut() {
            if row.is_report_preferred(now) {
                continue;
            }
            let (Some((reported, _)), Some((listed, holdings))) =
                (row.reported, row.held_back.take())
            else {
                continue;
            };
            if listed.duration_since(reported) >= WRITTEN_AFTER && row.endpoint.holdings != holdings
            {
                row.endpoint.holdings = holdings;
                has_changed = true;
            }
        }
        has_changed
    }

    /// Evacuates a zone or ends its evacuation. Returns `true` if this changed anything.
    pub fn set_evacuated(&mut self, zone: &ZoneName, is_evacuated: bool) -> bool {
        if is_evacuated {
            self.evacuated.insert(zone.clone())
        } else {
            self.evacuated.remove(zone)
        }
    }

    /// Marks an endpoint as leaving or gone, so that it gets no new work.
    pub fn mark_leaving(&mut self, key: EndpointKey) {
        if let Some(row) = self.rows.get_mut(key) {
            row.endpoint.leaving = true;
        }
    }

    /// Records that a start of an endpoint announced that it leaves. Returns `true` if it wasn't marked as leaving
    /// before.
    ///
    /// This is final: no entry that is read late, disappears or reappears brings the start into use again.
    pub fn note_leaving(&mut self, instance: &Instance) -> bool {
        if !self.has_announced_leaving(instance) {
            self.leaving_starts.push_front(instance.clone());
            self.leaving_starts.truncate(MAX_LEAVING_STARTS);
        }
        let Some(key) = self.find(instance) else {
            return false;
        };
        let is_new = !self.rows[key].endpoint.leaving;
        self.mark_leaving(key);
        is_new
    }

    fn has_announced_leaving(&self, instance: &Instance) -> bool {
        self.leaving_starts.iter().any(|i| i.is_same(instance))
    }

    /// Removes a model or adapter that an endpoint answered not to hold, until the next entry or report.
    pub fn remove_holding(&mut self, key: EndpointKey, missing: &ModelRef) {
        let Some(row) = self.rows.get_mut(key) else {
            return;
        };
        let holdings = &mut row.endpoint.holdings;
        match &missing.adapter {
            None => {
                holdings.remove(&missing.model);
            }
            Some(a) => {
                if let Some(h) = holdings.get_mut(&missing.model) {
                    h.adapters.remove(a);
                }
            }
        }
    }

    /// Removes an endpoint whose entry can't be parsed and returns its key if it was in use.
    ///
    /// Requests that were already sent to it continue. A later valid entry adds it again.
    pub fn set_unreadable(&mut self, id: SmolStr) -> Option<EndpointKey> {
        let key = self.remove(&id);
        self.unreadable.insert(id);
        key
    }

    /// Keeps only those unreadable ids that a full read of the list showed.
    pub fn retain_unreadable(&mut self, shown: &BTreeSet<SmolStr>) {
        self.unreadable.retain(|id| shown.contains(id));
    }

    /// Removes an endpoint that is no longer listed and returns its key.
    pub fn remove(&mut self, id: &str) -> Option<EndpointKey> {
        self.unreadable.remove(id);
        let key = self.keys.remove(id)?;
        self.rows.remove(key);
        Some(key)
    }
}
