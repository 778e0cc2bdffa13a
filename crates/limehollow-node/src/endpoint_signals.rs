//! Applies the load signals that endpoints send in their answers: rate limits, backoff, cold starts and leaving.
//!
//! The signals of every answer apply, whether it answers a caller's request, a report or an order.

use crate::attempt::Target;
use crate::edge::Protocol;
use crate::site::Site;
use limehollow::backpressure::{RateChange, RateKind, Signals};
use limehollow::balance::MESSAGE_LIFE;
use limehollow::instance::Instance;
use limehollow_wire::gossip::RateReport;
use std::time::Duration;
use tokio::time::Instant;

/// The maximum transit time of another VM's message, including queues: as long as messages are valid.
const MAX_TRANSIT: Duration = MESSAGE_LIFE;

/// Applies the signals of an answer to a request that was sent at `asked`.
pub fn apply<P>(site: &Site<P>, to: &Target, asked: Instant, s: Signals)
where
    P: Protocol,
{
    let now = site.now();
    let mut view = site.view();
    if view.roster.get(to.key).is_none() {
        // The instance is gone, and with it all that is known about it.
        return;
    }
    let change = view.balance.backpressure.observe(now, to.key, asked, s);
    if change.rate != RateChange::Unchanged {
        view.set_limit(now, to.key);
    }
    if let Some(left) = s.cold {
        view.record_cold(now, to.key, left);
    }
    let starts_leaving = s.leaving && view.record_leaving(now, &to.instance);
    drop(view);
    log_rate(
        &to.instance,
        RateKind::Requests,
        change.rate,
        "the endpoint",
    );
    log_rate(
        &to.instance,
        RateKind::Rejections,
        change.brittle,
        "the endpoint",
    );
    if let Some(rest) = change.backoff {
        site.metrics.rests.inc();
        tracing::info!(endpoint = %to.instance, rest_ms = rest.as_millis(), "an endpoint asks this VM for rest");
    }
    if starts_leaving {
        announce_leaving(site, &to.instance, "the endpoint");
        // The next message is sent at once, as the other VMs may send requests to the endpoint meanwhile.
        site.urgent_update.notify_one();
    }
}

/// Applies the rate limits of endpoints that another VM reports.
pub(crate) fn apply_rates<P>(site: &Site<P>, by: &str, rates: &[RateReport])
where
    P: Protocol,
{
    let now = site.now();
    let mut view = site.view();
    for r in rates {
        let Some(key) = view.roster.find(&r.instance) else {
            continue;
        };
        let observation = r.to_observation(now, MAX_TRANSIT);
        let change = view
            .balance
            .backpressure
            .merge(now, key, r.kind, observation);
        if change != RateChange::Unchanged {
            view.set_limit(now, key);
        }
        log_rate(&r.instance, r.kind, change, by);
    }
}

/// Applies another VM's report of endpoints that signalled that they leave.
pub(crate) fn apply_leaving<P>(site: &Site<P>, by: &str, leaving: &[Instance])
where
    P: Protocol,
{
    let now = site.now();
    for instance in leaving {
        let is_new = site.view().record_leaving(now, instance);
        if is_new {
            announce_leaving(site, instance, by);
        }
    }
}

fn announce_leaving<P>(site: &Site<P>, endpoint: &Instance, by: &str)
where
    P: Protocol,
{
    site.metrics.endpoints_said_leaving.inc();
    tracing::info!(%endpoint, by, "an endpoint says that it leaves");
    site.endpoints_changed.notify_waiters();
}

/// Logs a change of an endpoint's limit and its source.
fn log_rate(endpoint: &Instance, kind: RateKind, change: RateChange, by: &str) {
    match (kind, change) {
        (RateKind::Requests, RateChange::Limited(rate)) => {
            tracing::info!(%endpoint, rate, by, "an endpoint names a limit of requests a second");
        }
        (RateKind::Requests, RateChange::Ended) => {
            tracing::info!(%endpoint, by, "an endpoint's limit has ended");
        }
        (RateKind::Rejections, RateChange::Limited(rate)) => {
            tracing::info!(%endpoint, rate, by, "an endpoint is brittle: it bears so many rejections a second");
        }
        (RateKind::Rejections, RateChange::Ended) => {
            tracing::info!(%endpoint, by, "an endpoint is no longer brittle");
        }
        (_, RateChange::Unchanged) => {}
    }
}
