//! Loads from the weight store, counted against what it allows.
//!
//! The store allows so many loads to begin in any window of some seconds, over all endpoints. A plan counts the loads that
//! it chooses, but an order comes later: what makes way first waits for its runs, for seconds where an endpoint is busy. So
//! loads are counted again when they are ordered, by what the endpoint says then that it has at hand.

use crate::catalog::EngineSpec;
use crate::rebalance::LoadCeiling;
use std::collections::VecDeque;
use tokio::time::Instant;

/// Loads that are left out of what the weight store allows, for orders that are carried out late.
const CEILING_MARGIN: f64 = 2.0;

/// The loads that have begun lately.
#[derive(Debug, Default)]
pub struct LoadWindow {
    begun: VecDeque<Instant>,
}

/// Queries.
impl LoadWindow {
    /// Counts the loads of the last window.
    #[must_use]
    pub fn begun(&self, now: Instant, ceiling: LoadCeiling) -> usize {
        let fresh = |t: &&Instant| now.duration_since(**t) <= ceiling.window;
        self.begun.iter().filter(fresh).count()
    }

    /// Gives how many loads from the weight store may begin now.
    #[must_use]
    pub fn left(&self, now: Instant, spec: &EngineSpec, ceiling: LoadCeiling) -> usize {
        allowed(spec, ceiling).saturating_sub(self.begun(now, ceiling))
    }
}

/// Commands.
impl LoadWindow {
    /// Counts a load that begins now.
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

    /// Begins a load, if one is left.
    pub fn try_begin(&mut self, now: Instant, spec: &EngineSpec, ceiling: LoadCeiling) -> bool {
        let may = self.left(now, spec, ceiling) > 0;
        if may {
            self.begin(now, ceiling);
        }
        may
    }

    /// Counts as many loads as are allowed as begun at a moment: another VM gave the orders until then, and nothing is
    /// known of them.
    pub fn assume_full(&mut self, at: Instant, spec: &EngineSpec, ceiling: LoadCeiling) {
        let earlier = self.begun.iter().filter(|t| **t < at).copied();
        let known: Vec<Instant> = earlier.collect();
        let later = self.begun.iter().filter(|t| **t >= at).copied();
        let assumed = std::iter::repeat_n(at, allowed(spec, ceiling));
        self.begun = known.into_iter().chain(assumed).chain(later).collect();
    }
}

/// Gives how many loads may begin in a window.
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
