//! What the controller knows of one endpoint, from its report and the orders since.
//!
//! An order names the number of orders that the endpoint has taken, so an order that rests on an outdated
//! book is void there. What gateways believe of an endpoint may be wrong for a while; room is reckoned
//! from the book alone.

use crate::catalog::EngineSpec;
use crate::late_loads::Reserve;
use crate::rebalance::{AdapterMove, EndpointReport, used};
use crate::roster::{Holdings, ModelRef, holds};

/// An endpoint as its last report and the orders since leave it.
#[derive(Clone, Debug, PartialEq)]
pub struct OrderBook {
    /// How many orders it has taken.
    pub orders_taken: u64,
    /// What it holds.
    pub holdings: Holdings,
    /// Adapters that were on their way when it reported.
    coming: usize,
    /// Whether it was carrying out an order on a model.
    busy: bool,
    /// When the endpoint started, as it reported.
    pub born: Option<u64>,
}

/// The next thing to do for a move of an adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdapterStep {
    /// Order it to drop this adapter.
    Unload(ModelRef),
    /// Order it to load the move's adapter.
    Load,
    /// The adapter is there.
    Done,
    /// It can't be done: the model isn't there, the endpoint is busy, or there is no room.
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
    /// Says what comes next for a move of an adapter.
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

    /// Notes that an adapter was dropped or loaded. `counted` tells whether the endpoint counted the
    /// order, which it doesn't where there was nothing to do.
    pub fn record_load(&mut self, m: &ModelRef, counted: bool) {
        self.orders_taken += u64::from(counted);
        if let (Some(h), Some(a)) = (self.holdings.get_mut(&m.model), &m.adapter) {
            h.adapters.insert(a.clone());
        }
    }

    /// Notes that an adapter was dropped, as [`OrderBook::record_load`] does.
    pub fn record_unload(&mut self, m: &ModelRef, counted: bool) {
        self.orders_taken += u64::from(counted);
        self.withdraw(m);
    }

    /// Takes an adapter off what is told of the endpoint: it is about to go.
    pub fn withdraw(&mut self, m: &ModelRef) {
        if let (Some(h), Some(a)) = (self.holdings.get_mut(&m.model), &m.adapter) {
            h.adapters.remove(a);
        }
    }
}
