//! Tracks load orders that received no answer and may be executed after a restart of the endpoint.
//!
//! An order contains the endpoint's id and the number of orders that the endpoint has executed. Within one
//! start of the endpoint, the number voids an order once another order was executed. A later start counts from
//! zero, so a late order may match the number by chance after other orders have filled the endpoint. Memory is
//! therefore reserved for the order until the count has passed its number, or until it can't arrive any more
//! (`docs/design/system.md`, "Endpoints that start again").

use crate::catalog::EngineSpec;
use crate::instance::{Instance, StartOrder};
use crate::order_book::OrderBook;
use crate::roster::{ModelRef, holds};
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// The longest delay after which an unanswered order may still be executed. The users' endpoints execute such
/// orders 2 to 12 seconds later.
pub const MAX_ORDER_DELAY: Duration = Duration::from_secs(15);

/// The capacity of an endpoint that has to stay free.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Reserve {
    /// Memory for weights, in megabytes.
    pub megabytes: f64,
    /// Adapter slots.
    pub adapters: usize,
}

#[derive(Clone, Debug)]
struct LateLoad {
    ordered: Instant,
    to: Instance,
    subject: ModelRef,
    expected: u64,
}

/// The unanswered load orders of one lease holder, by the endpoint's id.
#[derive(Clone, Debug, Default)]
pub struct LateLoads {
    rows: BTreeMap<SmolStr, Vec<LateLoad>>,
}

/// Queries.
impl LateLoads {
    /// Returns the capacity that has to stay free when `loading` is loaded on an endpoint in the state of
    /// `book`.
    #[must_use]
    pub fn reserve(
        &self,
        now: Instant,
        id: &str,
        book: &OrderBook,
        loading: &ModelRef,
        spec: &EngineSpec,
    ) -> Reserve {
        let reporting = Instance {
            id: SmolStr::new(id),
            born: book.born,
        };
        let mut reserve = Reserve::default();
        for l in self.rows.get(id).into_iter().flatten() {
            let is_due =
                now.duration_since(l.ordered) < MAX_ORDER_DELAY && l.expected >= book.orders_taken;
            // Counts only rise within a start, so a count below the order's number also shows a later start.
            let is_other_start =
                reporting.compare(&l.to) == StartOrder::Later || book.orders_taken < l.expected;
            if !is_due
                || !is_other_start
                || l.subject == *loading
                || holds(&book.holdings, &l.subject)
            {
                continue;
            }
            let Some(model) = spec.models.get(&l.subject.model) else {
                continue;
            };
            if l.subject.adapter.is_some() {
                reserve.megabytes += model.adapter_megabytes;
                reserve.adapters += 1;
            } else {
                reserve.megabytes += model.megabytes;
            }
        }
        reserve
    }
}

/// Commands.
impl LateLoads {
    /// Records a load order to one start of an endpoint that received no answer.
    pub fn record(&mut self, now: Instant, to: &Instance, subject: &ModelRef, expected: u64) {
        self.rows.retain(|_, loads| {
            loads.retain(|l| now.duration_since(l.ordered) < MAX_ORDER_DELAY);
            !loads.is_empty()
        });
        self.rows.entry(to.id.clone()).or_default().push(LateLoad {
            ordered: now,
            to: to.clone(),
            subject: subject.clone(),
            expected,
        });
    }
}
