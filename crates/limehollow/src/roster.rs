//! The endpoints of a site, as far as the platform's list and the controller's reports tell.
//!
//! The list lags, and doesn't say how old an entry is. A report that the controller read from the endpoint itself
//! goes before entries that come within [`REPORT_PREFERRED`] after it. Reports count the endpoint's orders, so of
//! two reports the newer one is known.

use crate::id::{EndpointKey, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};
use slotmap::SlotMap;
use smol_str::SmolStr;
use std::collections::{BTreeMap, BTreeSet};
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
    /// The name of this start of the endpoint; no other start has it.
    pub instance: SmolStr,
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
    /// What it holds.
    pub holdings: Holdings,
    /// The models whose weights it has a copy of in its memory or on its disk, and can load soon.
    pub copies: BTreeSet<SmolStr>,
}

/// What the controller knows of an endpoint's holdings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HoldingsReport {
    /// The endpoint.
    pub instance: SmolStr,
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
}

impl Row {
    fn is_report_preferred(&self, now: Instant) -> bool {
        let preferred = |at: Instant| now.duration_since(at) < REPORT_PREFERRED;
        self.reported.is_some_and(|(at, _)| preferred(at))
    }
}

/// All endpoints.
#[derive(Debug, Default)]
pub struct Roster {
    rows: SlotMap<EndpointKey, Row>,
    keys: BTreeMap<SmolStr, EndpointKey>,
}

/// Queries.
impl Roster {
    /// Gives an endpoint.
    #[must_use]
    pub fn get(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.rows.get(key).map(|r| &r.endpoint)
    }

    /// Gives the key of an instance.
    #[must_use]
    pub fn key(&self, instance: &str) -> Option<EndpointKey> {
        self.keys.get(instance).copied()
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
            .filter(move |(_, e)| e.service == *service && !e.leaving)
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
    /// Takes in an entry of the platform's list. Gives whether it is a new endpoint.
    pub fn list(&mut self, now: Instant, mut entry: Endpoint) -> bool {
        let Some(key) = self.key(&entry.instance) else {
            let instance = entry.instance.clone();
            let row = Row {
                endpoint: entry,
                reported: None,
                held_back: None,
            };
            let key = self.rows.insert(row);
            self.keys.insert(instance, key);
            return true;
        };
        let row = &mut self.rows[key];
        row.held_back = None;
        if row.is_report_preferred(now) {
            let reported = std::mem::take(&mut row.endpoint.holdings);
            row.held_back = Some((now, std::mem::replace(&mut entry.holdings, reported)));
        }
        // An endpoint that began to leave doesn't come back under the same name, whatever an entry
        // that was read late says.
        entry.leaving |= row.endpoint.leaving;
        row.endpoint = entry;
        false
    }

    /// Takes in what the controller knows. Gives whether it was news.
    pub fn report(&mut self, now: Instant, r: &HoldingsReport) -> bool {
        let Some(key) = self.key(&r.instance) else {
            return false;
        };
        let row = &mut self.rows[key];
        if row
            .reported
            .is_some_and(|(_, taken)| r.orders_taken < taken)
        {
            return false;
        }
        row.reported = Some((now, r.orders_taken));
        row.held_back = None;
        let news = row.endpoint.holdings != r.holdings;
        if news {
            row.endpoint.holdings = r.holdings.clone();
        }
        news
    }

    /// Takes in what the list said while a report went before it, once the report is old. Gives whether anything
    /// changed.
    ///
    /// The list doesn't repeat an entry that hasn't changed: without this a report that came to nothing, such as
    /// that of an unload whose order was lost, would stand for good.
    pub fn settle(&mut self, now: Instant) -> bool {
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

    /// Notes that an endpoint said itself that it leaves.
    pub fn leave(&mut self, key: EndpointKey) {
        if let Some(row) = self.rows.get_mut(key) {
            row.endpoint.leaving = true;
        }
    }

    /// Notes that an endpoint said itself that it doesn't hold something, until it is listed or reported
    /// anew.
    pub fn unhold(&mut self, key: EndpointKey, missing: &ModelRef) {
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

    /// Drops an endpoint that is off the list.
    pub fn remove(&mut self, instance: &str) -> Option<EndpointKey> {
        let key = self.keys.remove(instance)?;
        self.rows.remove(key);
        Some(key)
    }
}
