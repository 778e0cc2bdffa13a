//! When the caller of a refused request is told to come back.

use crate::edge::Protocol;
use crate::site::Site;
use limehollow::catalog::Catalog;
use limehollow::job::Job;
use std::time::Duration;

/// The share of the objective that is left for a caller's second try.
const SECOND_TRY_SHARE: f64 = 0.6;
/// The shortest retry delay that a refusal states.
pub(crate) const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The retry delay of a refusal for which there is no estimate.
pub(crate) const DEFAULT_RETRY_DELAY: Duration = Duration::from_secs(1);
/// The longest retry delay that is derived from the expected time of the first result.
const MAX_BUSY_RETRY_DELAY: Duration = Duration::from_secs(5);
/// The jitter of a retry delay that many callers get at the same time, as a share of the delay.
const RETRY_JITTER: f64 = 0.25;
/// The retry delay for a model of which an endpoint has a local copy: it covers the order, the unloads that make room,
/// and the load.
const LOCAL_COPY_RETRY: Duration = Duration::from_millis(2500);
/// The time around a load from the weight store: the demand is reported, the order sent, and the result announced.
const LOAD_OVERHEAD: Duration = Duration::from_millis(1000);
/// The retry delay for an adapter: it loads within milliseconds, and up to a second if it waits behind an order on a
/// model.
pub(crate) const ADAPTER_RETRY: Duration = Duration::from_millis(500);

/// Returns the retry delay for a model that no endpoint holds: the time to load it, from a local copy if an endpoint has
/// one, otherwise from the weight store.
pub(crate) fn until_loaded<P>(site: &Site<P>, catalog: &Catalog, job: &Job) -> Duration
where
    P: Protocol,
{
    let Some(model) = &job.model else {
        return DEFAULT_RETRY_DELAY;
    };
    let view = site.view();
    let mut open = view.roster.open(&job.service);
    if open.any(|(_, e)| job.may_run_at(e) && e.copies.contains(&model.model)) {
        return LOCAL_COPY_RETRY;
    }
    let engine = catalog.engine(&job.service);
    let spec = engine.and_then(|e| e.models.get(&model.model));
    spec.map_or(DEFAULT_RETRY_DELAY, |s| s.cold_load + LOAD_OVERHEAD)
}

/// Returns the retry delay for a request that is refused because its first result would take too long, given the expected
/// time and the objective, in ms.
pub(crate) fn until_less_busy(expected_ms: f64, objective_ms: f64) -> Duration {
    let excess_ms = (expected_ms - objective_ms * SECOND_TRY_SHARE).max(0.0);
    Duration::from_secs_f64(excess_ms / 1000.0).clamp(MIN_RETRY_DELAY, MAX_BUSY_RETRY_DELAY)
}

/// Adds jitter to the retry delay of one of many refused callers: if all came back at the moment at which there is
/// capacity again, all but the first would be refused again.
pub(crate) fn with_jitter(wait: Duration) -> Duration {
    wait.max(MIN_RETRY_DELAY)
        .mul_f64(1.0 + rand::random_range(0.0..RETRY_JITTER))
}
