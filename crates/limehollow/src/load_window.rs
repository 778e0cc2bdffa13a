//! Limits the rate of loads from the weight store.
//!
//! The store limits how many loads may begin within a sliding window of some seconds, over all endpoints. A
//! plan counts the loads that it chooses, but the order for a load may come seconds later, as the models that
//! it replaces are unloaded only after their requests end. Loads are therefore counted again when they are
//! ordered, by the copies that the endpoint reports at that time.

use crate::catalog::EngineSpec;
use crate::rebalance::LoadCeiling;
use std::collections::VecDeque;
use tokio::time::Instant;

/// The number of loads subtracted from the store's limit, for orders that are executed late.
const CEILING_MARGIN: f64 = 2.0;

/// The loads that began recently.
#[derive(Debug, Default)]
pub struct LoadWindow {
    begun: VecDeque<Instant>,
}

/// Queries.
impl LoadWindow {
    /// Returns the number of loads that began within the window.
    #[must_use]
    pub fn begun(&self, now: Instant, ceiling: LoadCeiling) -> usize {
        let fresh = |t: &&Instant| now.duration_since(**t) <= ceiling.window;
        self.begun.iter().filter(fresh).count()
    }

    /// Returns the number of loads from the weight store that may begin now.
    #[must_use]
    pub fn left(&self, now: Instant, spec: &EngineSpec, ceiling: LoadCeiling) -> usize {
        allowed(spec, ceiling).saturating_sub(self.begun(now, ceiling))
    }
}

/// Commands.
impl LoadWindow {
    /// Records a load that begins now.
    pub fn begin(&mut self, now: Instant, ceiling: LoadCeiling) {
        while self
            .begun
            .front()
            .is_some_and(|t| now.duration_since(*t) > ceiling.window)
        {
            self.begun.pop_front();
        }
        self.begun.push_back(now);
    }

    /// Records a load that begins now if the limit allows it, and returns whether it does.
    pub fn try_begin(&mut self, now: Instant, spec: &EngineSpec, ceiling: LoadCeiling) -> bool {
        let may = self.left(now, spec, ceiling) > 0;
        if may {
            self.begin(now, ceiling);
        }
        may
    }

    /// Records as many loads as are allowed as begun at `at`: another VM issued the orders until then, and its
    /// loads are unknown.
    pub fn assume_full(&mut self, at: Instant, spec: &EngineSpec, ceiling: LoadCeiling) {
        let earlier = self.begun.iter().filter(|t| **t < at).copied();
        let known: Vec<Instant> = earlier.collect();
        let later = self.begun.iter().filter(|t| **t >= at).copied();
        let assumed = std::iter::repeat_n(at, allowed(spec, ceiling));
        self.begun = known.into_iter().chain(assumed).chain(later).collect();
    }
}

/// Returns the number of loads that may begin within a window.
fn allowed(spec: &EngineSpec, ceiling: LoadCeiling) -> usize {
    let per_window = spec.loads_per_second * ceiling.window.as_secs_f64() * ceiling.over;
    let allowed = per_window + ceiling.slack - CEILING_MARGIN;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a ceiling is a small number above zero"
    )]
    let allowed = allowed.max(1.0) as usize;
    allowed
}
