//! The endpoints of a site, as far as the platform's list and the controller's reports tell.
//!
//! The list lags. A report that the controller read from the endpoint itself is newer than a list
//! entry that counts fewer orders; where both count the same, the report is preferred for
//! [`REPORT_PREFERRED`].

use crate::id::{EndpointKey, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};
use slotmap::SlotMap;
use smol_str::SmolStr;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// For how long a report goes before a list entry that counts as many orders: the list's own lag, two
/// heartbeats and some.
pub const REPORT_PREFERRED: Duration = Duration::from_millis(3000);

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
    /// How many orders it has taken since it started.
    pub orders_taken: u64,
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
    reported: Option<(Instant, u64)>,
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
            };
            let key = self.rows.insert(row);
            self.keys.insert(instance, key);
            return true;
        };
        let row = &mut self.rows[key];
        let newer = row.reported.is_some_and(|(at, taken)| {
            let preferred = now.duration_since(at) < REPORT_PREFERRED;
            taken > entry.orders_taken || (taken == entry.orders_taken && preferred)
        });
        if newer {
            entry.holdings = std::mem::take(&mut row.endpoint.holdings);
            entry.orders_taken = row.endpoint.orders_taken;
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
        if r.orders_taken < row.endpoint.orders_taken {
            return false;
        }
        row.reported = Some((now, r.orders_taken));
        let news = row.endpoint.holdings != r.holdings;
        row.endpoint.orders_taken = r.orders_taken;
        if news {
            row.endpoint.holdings = r.holdings.clone();
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
