//! Tracks the controller's view of one endpoint, from its last report and the orders since.
//!
//! An order contains the number of orders that the endpoint has executed, so an order based on an outdated book
//! is void at the endpoint. What gateways assume about an endpoint may be wrong for a while; free capacity is
//! computed only from the book.

use crate::catalog::EngineSpec;
use crate::late_loads::Reserve;
use crate::rebalance::{AdapterMove, EndpointReport, used};
use crate::roster::{Holdings, ModelRef, holds};

/// The state of an endpoint after its last report and the orders since.
#[derive(Clone, Debug, PartialEq)]
pub struct OrderBook {
    /// The number of orders that the endpoint has executed.
    pub orders_taken: u64,
    /// The models and adapters that the endpoint holds.
    pub holdings: Holdings,
    /// The number of adapters being loaded when the endpoint reported.
    coming: usize,
    /// Whether the endpoint was executing an order for a model.
    busy: bool,
    /// The time at which the endpoint started, as it reported.
    pub born: Option<u64>,
}

/// The next step of an adapter's move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdapterStep {
    /// Order the endpoint to unload this adapter.
    Unload(ModelRef),
    /// Order the endpoint to load the adapter of the move.
    Load,
    /// The endpoint holds the adapter.
    Done,
    /// The move can't be executed: the model isn't loaded, the endpoint is busy, or there is no room.
    Impossible,
}

impl From<EndpointReport> for OrderBook {
    fn from(r: EndpointReport) -> Self {
        Self {
            orders_taken: r.orders_taken,
            holdings: r.holdings,
            coming: r.coming,
            busy: r.busy,
            born: r.born,
        }
    }
}

impl OrderBook {
    /// Returns the next step of an adapter's move.
    #[must_use]
    pub fn adapter_step(
        &self,
        m: &AdapterMove,
        spec: &EngineSpec,
        reserve: Reserve,
    ) -> AdapterStep {
        if holds(&self.holdings, &m.load) {
            return AdapterStep::Done;
        }
        let known = spec.models.get(&m.load.model);
        let (Some(model), false) = (known, self.busy) else {
            return AdapterStep::Impossible;
        };
        if !self.holdings.contains_key(&m.load.model) {
            return AdapterStep::Impossible;
        }
        let there: usize = self.holdings.values().map(|h| h.adapters.len()).sum();
        let has_place = there + self.coming + reserve.adapters < spec.adapter_places;
        let needed = model.adapter_megabytes + reserve.megabytes;
        let has_room = used(&self.holdings, spec) + needed <= spec.megabytes;
        if has_place && has_room {
            return AdapterStep::Load;
        }
        let evict = m.evict.clone().filter(|e| holds(&self.holdings, e));
        evict.map_or(AdapterStep::Impossible, AdapterStep::Unload)
    }

    /// Records that an adapter was loaded. `counted` is whether the endpoint counted the order; it doesn't
    /// count one that had no effect.
    pub fn record_load(&mut self, m: &ModelRef, counted: bool) {
        self.orders_taken += u64::from(counted);
        if let (Some(h), Some(a)) = (self.holdings.get_mut(&m.model), &m.adapter) {
            h.adapters.insert(a.clone());
        }
    }

    /// Records that an adapter was unloaded, like [`OrderBook::record_load`].
    pub fn record_unload(&mut self, m: &ModelRef, counted: bool) {
        self.orders_taken += u64::from(counted);
        self.withdraw(m);
    }

    /// Removes an adapter from the reported holdings because it is about to be unloaded.
    pub fn withdraw(&mut self, m: &ModelRef) {
        if let (Some(h), Some(a)) = (self.holdings.get_mut(&m.model), &m.adapter) {
            h.adapters.remove(a);
        }
    }
}
