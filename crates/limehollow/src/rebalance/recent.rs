//! How often each model has been asked for lately, over seconds and over a minute.
//!
//! The last replica of a model may make way for one that is asked for more. That wants two different figures: how often
//! the one that goes will be asked for at most, and how often the one that comes will be asked for at least. A single
//! request says little of either, so each figure allows for one request more or less in each window.

use crate::arrivals::TIME_CONSTANT;
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// The time constants of the rates that are kept beside what gateways tell, in s: a shift of demand shows in what they
/// tell, rare models in the last. A minute holds several requests of the models that are asked for rarely, and demand
/// that was there a minute ago tells little.
const WINDOWS_S: [f64; 2] = [8.0, 60.0];

/// For how long after the first request the placement that was found speaks for what is expected: some times as long
/// as a rate takes to show. Without it the replicas of the busy models made way for models that nobody asked for before the
/// first request came, and were loaded anew in the first seconds.
const EXPECTED_FOR: Duration = Duration::from_secs(8);

/// The work of one request, in ms of an endpoint's time: a prompt of 1,500 tokens, or its part of the places for two seconds.
const REQUEST_MS: f64 = 100.0;

/// The least part of a window that counts as seen, so that nothing is divided by zero.
const LEAST_SEEN: f64 = 1e-3;
/// The rate below which a model counts as not asked for, in ms of work a second: a request some minutes ago.
const FORGOTTEN: f64 = 0.01;

/// The rates of one model, in ms of work a second.
#[derive(Clone, Copy, Debug, Default)]
struct Rates {
    /// What gateways told last, over [`TIME_CONSTANT`].
    told: f64,
    /// Over [`WINDOWS_S`].
    longer: [f64; WINDOWS_S.len()],
}

/// What is known of one model.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RecentDemand {
    /// How much it will be asked for at most, in ms of work a second, by the window that allows least.
    pub(super) at_most: f64,
    /// How much it will be asked for at least, by the window that shows most.
    pub(super) at_least: f64,
    /// Whether it was asked for lately.
    pub(super) is_asked: bool,
    /// Whether its replicas, as they were found, stand for demand that is still to come: who placed several expected to
    /// need them, and too little has been asked for to know better.
    pub(super) is_expected: bool,
}

/// The rates of all models.
#[derive(Debug, Default)]
pub(super) struct Recent {
    began: Option<Instant>,
    observed: Option<Instant>,
    rows: BTreeMap<SmolStr, Rates>,
    /// How many replicas each model had when this process began to give orders.
    found: Option<BTreeMap<SmolStr, usize>>,
    /// When anything was first asked for.
    asked: Option<Instant>,
}

/// Queries.
impl Recent {
    /// Gives what is known of a model.
    pub(super) fn of(&self, model: &str) -> RecentDemand {
        let at_most = self.rates(model).map(|(r, one)| r + one);
        let at_least = self.rates(model).map(|(r, one)| r - one);
        RecentDemand {
            at_most: at_most.fold(f64::INFINITY, f64::min),
            at_least: at_least.fold(0.0, f64::max),
            is_asked: self.rows.contains_key(model),
            is_expected: self.is_expected(model),
        }
    }

    /// Gives a model's rate in each window, and what one request is in it.
    fn rates(&self, model: &str) -> impl Iterator<Item = (f64, f64)> {
        let row = self.rows.get(model).copied().unwrap_or_default();
        let seen = self.seen_s();
        let longer = row.longer.into_iter().zip(WINDOWS_S);
        let longer = longer.map(move |(r, window)| {
            // Nothing was seen of the part of the window that lies before the first observation.
            let full = (1.0 - (-seen / window).exp()).max(LEAST_SEEN);
            (r / full, REQUEST_MS / window / full)
        });
        let told = (row.told, REQUEST_MS / TIME_CONSTANT.as_secs_f64());
        std::iter::once(told).chain(longer)
    }

    fn is_expected(&self, model: &str) -> bool {
        let found = self.found.as_ref().and_then(|f| f.get(model));
        let is_new = match (self.asked, self.observed) {
            (Some(asked), Some(observed)) => observed.duration_since(asked) < EXPECTED_FOR,
            _ => true,
        };
        is_new && found.is_some_and(|n| *n > 1)
    }

    fn seen_s(&self) -> f64 {
        match (self.began, self.observed) {
            (Some(began), Some(observed)) => observed.duration_since(began).as_secs_f64(),
            _ => 0.0,
        }
    }
}

/// Commands.
impl Recent {
    /// Takes in the placement that is found, the first time only.
    pub(super) fn note_placement<F>(&mut self, placement: F)
    where
        F: FnOnce() -> BTreeMap<SmolStr, usize>,
    {
        if self.found.is_none() {
            self.found = Some(placement());
        }
    }

    /// Takes in what gateways tell is asked of each model, in ms of work a second.
    pub(super) fn observe(&mut self, now: Instant, demand: &BTreeMap<SmolStr, f64>) {
        self.began.get_or_insert(now);
        let before = self.observed.replace(now).unwrap_or(now);
        let passed = now.duration_since(before).as_secs_f64();
        if !demand.is_empty() {
            self.asked.get_or_insert(now);
        }
        for m in demand.keys() {
            self.rows.entry(m.clone()).or_default();
        }
        for (m, row) in &mut self.rows {
            row.told = demand.get(m).copied().unwrap_or(0.0);
            for (r, window) in row.longer.iter_mut().zip(WINDOWS_S) {
                *r += (row.told - *r) * (1.0 - (-passed / window).exp());
            }
        }
        self.rows.retain(|_, row| {
            let longest = row.longer.iter().copied().fold(row.told, f64::max);
            longest > FORGOTTEN
        });
    }
}
