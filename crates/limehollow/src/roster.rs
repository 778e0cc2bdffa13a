//! The endpoints of a site, as far as the platform's list and the controller's reports tell.
//!
//! The list lags, and doesn't say how old an entry is. A report that the controller read from the endpoint itself
//! goes before entries that come within [`REPORT_PREFERRED`] after it. Reports count the endpoint's orders, so of
//! two reports of one start the newer one is known.
//!
//! A key stands for one start of an endpoint ([`Instance`]). A later start gets a new key, so that all that is believed
//! of the former one, here and elsewhere, goes with the former key.

use crate::id::{EndpointKey, ServiceName, ZoneName};
use crate::instance::{Instance, StartOrder};
use serde::{Deserialize, Serialize};
use slotmap::SlotMap;
use smol_str::SmolStr;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// For how long a report goes before what the list says: the list's own lag, two heartbeats and some.
pub const REPORT_PREFERRED: Duration = Duration::from_millis(3000);
/// An entry that came so long after the last report was written after it: a heartbeat and the time that a change of
/// the list takes to be read.
const WRITTEN_AFTER: Duration = Duration::from_millis(2000);

/// A model with, perhaps, one of its adapters.
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
    /// The adapters that are there with it.
    pub adapters: BTreeSet<SmolStr>,
}

/// The models that an endpoint holds, by name.
pub type Holdings = BTreeMap<SmolStr, Held>;

/// Tells whether a model, and the adapter if one is named, is among what an endpoint holds.
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
    /// Which start of the endpoint it is.
    pub instance: Instance,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// For how long it was to stay cold when it wrote this, in ms.
    pub cold_ms: u32,
    /// What it holds.
    pub holdings: Holdings,
    /// The models whose weights it has a copy of in its memory or on its disk, and can load soon.
    pub copies: BTreeSet<SmolStr>,
}

/// What the controller knows of an endpoint's holdings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HoldingsReport {
    /// The start of the endpoint that it speaks of.
    pub instance: Instance,
    /// What it holds, less what is about to go.
    pub holdings: Holdings,
    /// How many orders it had taken.
    pub orders_taken: u64,
}

#[derive(Debug)]
struct Row {
    endpoint: Endpoint,
    /// When the last report came, and how many orders it counted.
    reported: Option<(Instant, u64)>,
    /// What the list said while the report went before it, and when.
    held_back: Option<(Instant, Holdings)>,
    /// Whether the list says when the endpoint started.
    lists_born: bool,
}

/// What a command changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Update {
    /// Whether anything is new: for an entry the endpoint or its start, for a report what it holds.
    pub is_new: bool,
    /// The key of a former start, which is gone: what is believed of it has to be forgotten.
    pub replaced: Option<EndpointKey>,
}

impl Update {
    /// Tells whether it shows that the endpoint started again.
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

    /// Tells whether a report of the same start was made before the last one.
    ///
    /// Where the endpoint doesn't say when it started, a lower count may also mean that it started again: after the
    /// time for which a report goes before the list, which is longer than a message is repeated, it is believed.
    /// Otherwise nothing would be known of it until its orders had caught up.
    fn is_older_report(&self, now: Instant, r: &HoldingsReport) -> bool {
        let Some((at, taken)) = self.reported else {
            return false;
        };
        let says_start = self.endpoint.instance.born.is_some() && r.instance.born.is_some();
        let is_recent = now.duration_since(at) < REPORT_PREFERRED;
        r.orders_taken < taken && (says_start || is_recent)
    }

    fn is_report_preferred(&self, now: Instant) -> bool {
        let preferred = |at: Instant| now.duration_since(at) < REPORT_PREFERRED;
        self.reported.is_some_and(|(at, _)| preferred(at))
    }
}

/// How many starts are remembered that said that they leave: an endpoint is gone seconds to minutes after it.
const MOST_LEFT: usize = 1024;

/// All endpoints.
#[derive(Debug, Default)]
pub struct Roster {
    rows: SlotMap<EndpointKey, Row>,
    /// The start that is known of each endpoint, by its id.
    keys: BTreeMap<SmolStr, EndpointKey>,
    /// The ids whose entries can't be read: they name no endpoint to use.
    unreadable: BTreeSet<SmolStr>,
    /// The zones whose endpoints get no new work, by the operators' word.
    evacuated: BTreeSet<ZoneName>,
    /// Starts that said themselves that they leave, the last ones first. That outlasts their entries, which may go and come back with the
    /// platform's store.
    left: VecDeque<Instance>,
}

/// Queries.
impl Roster {
    /// Gives an endpoint.
    #[must_use]
    pub fn get(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.rows.get(key).map(|r| &r.endpoint)
    }

    /// Gives the key of the start that is known of an endpoint.
    #[must_use]
    pub fn key(&self, id: &str) -> Option<EndpointKey> {
        self.keys.get(id).copied()
    }

    /// Gives the key of just this start of an endpoint.
    #[must_use]
    pub fn find(&self, instance: &Instance) -> Option<EndpointKey> {
        let key = self.key(&instance.id)?;
        let known = &self.rows[key].endpoint.instance;
        known.is_same(instance).then_some(key)
    }

    /// Gives the ids whose entries can't be read.
    pub fn unreadable(&self) -> impl Iterator<Item = &SmolStr> {
        self.unreadable.iter()
    }

    /// Gives all endpoints, those that are leaving too, in the order of their instances' names.
    pub fn iter(&self) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        self.keys.values().map(|k| (*k, &self.rows[*k].endpoint))
    }

    /// Gives the endpoints of a service that take work.
    pub fn open<'r>(
        &'r self,
        service: &'r ServiceName,
    ) -> impl Iterator<Item = (EndpointKey, &'r Endpoint)> {
        self.iter()
            .filter(move |(_, e)| e.service == *service && self.is_open(e))
    }

    /// Tells whether an endpoint takes new work: it doesn't leave, nor is its zone evacuated.
    #[must_use]
    pub fn takes_work(&self, key: EndpointKey) -> bool {
        self.get(key).is_some_and(|e| self.is_open(e))
    }

    fn is_open(&self, e: &Endpoint) -> bool {
        !e.leaving && !self.evacuated.contains(&e.zone)
    }

    /// Gives the zones that are evacuated.
    pub fn evacuated(&self) -> impl Iterator<Item = &ZoneName> {
        self.evacuated.iter()
    }

    /// Tells how many endpoints there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Tells whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}

/// Commands.
impl Roster {
    /// Takes in an entry of the platform's list.
    ///
    /// An entry of an earlier start than the one that is known changes nothing: it was written before, and read late.
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
            // The endpoint says when it started with each heartbeat; another writer didn't know.
            let replaced = self.set_unreadable(entry.instance.id);
            return Update {
                is_new: false,
                replaced,
            };
        }
        // An endpoint that began to leave doesn't come back in the same start, whatever an entry that was read late
        // says.
        entry.leaving |= known.leaving;
        if (known.address, &known.service) != (entry.address, &entry.service) {
            // Connections and measurements belong to what was at the former address.
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

    /// Takes in what the controller knows.
    ///
    /// A report of a later start than the list shows is the first word of it: the endpoint is used from then on as the
    /// report says, with nothing at hand, since what the list says of copies was true of the former start.
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
        endpoint.leaving |= self.has_left(&endpoint.instance);
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

    /// Takes in what the list said while a report went before it, once the report is old. Gives whether anything
    /// changed.
    ///
    /// The list doesn't repeat an entry that hasn't changed: without this a report that came to nothing, such as
    /// that of an unload whose order was lost, would stand for good.
    pub fn apply_held_back(&mut self, now: Instant) -> bool {
        let mut news = false;
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
                news = true;
            }
        }
        news
    }

    /// Evacuates a zone or takes it back. Gives whether that is news.
    pub fn set_evacuated(&mut self, zone: &ZoneName, is_evacuated: bool) -> bool {
        if is_evacuated {
            self.evacuated.insert(zone.clone())
        } else {
            self.evacuated.remove(zone)
        }
    }

    /// Takes an endpoint out of use that is known to be gone, or to leave.
    pub fn mark_leaving(&mut self, key: EndpointKey) {
        if let Some(row) = self.rows.get_mut(key) {
            row.endpoint.leaving = true;
        }
    }

    /// Notes that a start of an endpoint said itself that it leaves, which is final: no entry that was read late, went or came
    /// back brings it into use again. Gives whether it is news.
    pub fn note_leaving(&mut self, instance: &Instance) -> bool {
        if !self.has_left(instance) {
            self.left.push_front(instance.clone());
            self.left.truncate(MOST_LEFT);
        }
        let Some(key) = self.find(instance) else {
            return false;
        };
        let is_new = !self.rows[key].endpoint.leaving;
        self.mark_leaving(key);
        is_new
    }

    fn has_left(&self, instance: &Instance) -> bool {
        self.left.iter().any(|i| i.is_same(instance))
    }

    /// Notes that an endpoint said itself that it doesn't hold something, until it is listed or reported
    /// anew.
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

    /// Takes an endpoint out of use whose entry can't be read: the entry names no endpoint. What it is sent already
    /// goes on; a later entry that can be read brings it back. Gives its key if it was in use.
    pub fn set_unreadable(&mut self, id: SmolStr) -> Option<EndpointKey> {
        let key = self.remove(&id);
        self.unreadable.insert(id);
        key
    }

    /// Leaves only those ids among the unreadable ones that a whole reading of the list showed.
    pub fn retain_unreadable(&mut self, shown: &BTreeSet<SmolStr>) {
        self.unreadable.retain(|id| shown.contains(id));
    }

    /// Drops an endpoint that is off the list.
    pub fn remove(&mut self, id: &str) -> Option<EndpointKey> {
        self.unreadable.remove(id);
        let key = self.keys.remove(id)?;
        self.rows.remove(key);
        Some(key)
    }
}
