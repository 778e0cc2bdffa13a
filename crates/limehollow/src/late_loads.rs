//! Loads that were ordered without an answer, and may be carried out by a later start of the endpoint.
//!
//! An order names the endpoint's id and the number of orders that it has taken. Within one start that number makes an
//! order void once another was taken. A later start counts anew, so a late order may meet the right number there by
//! chance, when other orders have filled the endpoint. So room is kept for it until the count has passed its number, or
//! it can't come any more (`docs/design/system.md`, "Endpoints that start again").

use crate::catalog::EngineSpec;
use crate::instance::{Instance, StartOrder};
use crate::order_book::OrderBook;
use crate::roster::{ModelRef, holds};
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// For how long an order without an answer may still be carried out: the users' endpoints do so 2 to 12 seconds later.
pub const MAX_ORDER_DELAY: Duration = Duration::from_secs(15);

/// What has to stay free on an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Reserve {
    /// Megabytes of its memory for weights.
    pub megabytes: f64,
    /// Places for adapters.
    pub adapters: usize,
}

#[derive(Clone, Debug)]
struct LateLoad {
    ordered: Instant,
    to: Instance,
    subject: ModelRef,
    expected: u64,
}

/// The loads that one holder of the lease ordered without an answer, by the endpoint's id.
#[derive(Clone, Debug, Default)]
pub struct LateLoads {
    rows: BTreeMap<SmolStr, Vec<LateLoad>>,
}

/// Queries.
impl LateLoads {
    /// Gives what has to stay free at an endpoint, by what is known of it, when something else is loaded there.
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
            // Counts rise within a start, so one below the order's shows a later start too.
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
    /// Notes a load that was ordered of this start of an endpoint, and not answered.
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
