//! Measures how often each model was requested recently, over seconds and over a minute.
//!
//! The last replica of a model may be unloaded for a model with more demand. That needs an upper bound on the
//! future demand for the unloaded model, and a lower bound on that for the loaded one. A single request is
//! little evidence for either, so each bound allows for one request more or less in each window.

use crate::arrivals::TIME_CONSTANT;
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// The time constants, in seconds, of the rates computed in addition to the gateways' reports. A shift of
/// demand shows in the reports, and rarely requested models show in the longest window: a minute contains
/// several requests for them, and demand from more than a minute ago says little about the future.
const WINDOWS_S: [f64; 2] = [8.0, 60.0];

/// How long after the first request the initial placement is used as evidence of expected demand: a multiple of
/// the time that a rate takes to show. Without it, replicas of busy models were unloaded for models without
/// demand before the first request arrived, and were loaded again in the first seconds.
const EXPECTED_TIME: Duration = Duration::from_secs(8);

/// The work of one request, in ms of an endpoint's time: a prompt of 1,500 tokens, or its share of the slots
/// for two seconds.
const REQUEST_MS: f64 = 100.0;

/// The smallest fraction of a window that counts as observed, to avoid a division by zero.
const MIN_OBSERVED: f64 = 1e-3;
/// The rate below which a model counts as not requested, in ms of work per second: that of one request some
/// minutes ago.
const MIN_RATE: f64 = 0.01;

/// The rates of one model, in ms of work per second.
#[derive(Clone, Copy, Debug, Default)]
struct Rates {
    /// The last rate reported by the gateways, over [`TIME_CONSTANT`].
    reported: f64,
    /// The rates over [`WINDOWS_S`].
    longer: [f64; WINDOWS_S.len()],
}

/// The recent demand for one model.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RecentDemand {
    /// The upper bound on the future demand, in ms of work per second, from the window with the lowest one.
    pub(super) at_most: f64,
    /// The lower bound on the future demand, from the window with the highest one.
    pub(super) at_least: f64,
    /// Whether the model was requested recently.
    pub(super) is_requested: bool,
    /// Whether the initial replicas of the model indicate future demand: several replicas were placed on
    /// purpose, and there are too few requests yet to judge otherwise.
    pub(super) is_expected: bool,
}

/// The rates of all models.
#[derive(Debug, Default)]
pub(super) struct RecentRates {
    began: Option<Instant>,
    observed: Option<Instant>,
    rows: BTreeMap<SmolStr, Rates>,
    /// The number of replicas of each model when this process began to issue orders.
    found: Option<BTreeMap<SmolStr, usize>>,
    /// The time of the first request for any model.
    first_requested: Option<Instant>,
}

/// Queries.
impl RecentRates {
    /// Returns the recent demand for a model.
    pub(super) fn of(&self, model: &str) -> RecentDemand {
        let at_most = self.rates(model).map(|(r, one)| r + one);
        let at_least = self.rates(model).map(|(r, one)| r - one);
        RecentDemand {
            at_most: at_most.fold(f64::INFINITY, f64::min),
            at_least: at_least.fold(0.0, f64::max),
            is_requested: self.rows.contains_key(model),
            is_expected: self.is_expected(model),
        }
    }

    /// Returns a model's rate in each window, with the rate that corresponds to one request in it.
    fn rates(&self, model: &str) -> impl Iterator<Item = (f64, f64)> {
        let row = self.rows.get(model).copied().unwrap_or_default();
        let observed_s = self.observed_s();
        let longer = row.longer.into_iter().zip(WINDOWS_S);
        let longer = longer.map(move |(r, window)| {
            // The part of the window before the first observation contains no data.
            let full = (1.0 - (-observed_s / window).exp()).max(MIN_OBSERVED);
            (r / full, REQUEST_MS / window / full)
        });
        let reported = (row.reported, REQUEST_MS / TIME_CONSTANT.as_secs_f64());
        std::iter::once(reported).chain(longer)
    }

    fn is_expected(&self, model: &str) -> bool {
        let found = self.found.as_ref().and_then(|f| f.get(model));
        let is_new = match (self.first_requested, self.observed) {
            (Some(first_requested), Some(observed)) => {
                observed.duration_since(first_requested) < EXPECTED_TIME
            }
            _ => true,
        };
        is_new && found.is_some_and(|n| *n > 1)
    }

    fn observed_s(&self) -> f64 {
        match (self.began, self.observed) {
            (Some(began), Some(observed)) => observed.duration_since(began).as_secs_f64(),
            _ => 0.0,
        }
    }
}

/// Commands.
impl RecentRates {
    /// Records the initial placement; later calls have no effect.
    pub(super) fn record_placement<F>(&mut self, placement: F)
    where
        F: FnOnce() -> BTreeMap<SmolStr, usize>,
    {
        if self.found.is_none() {
            self.found = Some(placement());
        }
    }

    /// Applies the demand for each model that the gateways reported, in ms of work per second.
    pub(super) fn observe(&mut self, now: Instant, demand: &BTreeMap<SmolStr, f64>) {
        self.began.get_or_insert(now);
        let before = self.observed.replace(now).unwrap_or(now);
        let passed = now.duration_since(before).as_secs_f64();
        if !demand.is_empty() {
            self.first_requested.get_or_insert(now);
        }
        for m in demand.keys() {
            self.rows.entry(m.clone()).or_default();
        }
        for (m, row) in &mut self.rows {
            row.reported = demand.get(m).copied().unwrap_or(0.0);
            for (r, window) in row.longer.iter_mut().zip(WINDOWS_S) {
                *r += (row.reported - *r) * (1.0 - (-passed / window).exp());
            }
        }
        self.rows.retain(|_, row| {
            let longest = row.longer.iter().copied().fold(row.reported, f64::max);
            longest > MIN_RATE
        });
    }
}
