//! Takes in what endpoints say in their answers of what they want to be sent.
//!
//! Every answer is heard, whatever it answers: a caller's request, a report or an order.

use crate::attempt::Target;
use crate::edge::Protocol;
use crate::site::Site;
use limehollow::backpressure::{RateChange, Signals};
use limehollow::balance::MESSAGE_LIFE;
use limehollow::instance::Instance;
use limehollow_wire::gossip::RateSaid;
use std::time::Duration;
use tokio::time::Instant;

/// How long another VM's message may have been on its way, in a queue too: as long as what VMs say counts.
const MOST_ON_THE_WAY: Duration = MESSAGE_LIFE;

/// Takes in what an answer says, to a request that was sent at `asked`.
pub fn apply<P>(site: &Site<P>, to: &Target, asked: Instant, s: Signals)
where
    P: Protocol,
{
    let now = site.now();
    let mut view = site.view();
    if view.roster.get(to.key).is_none() {
        // Its start is gone, and with it all that was believed of it.
        return;
    }
    let heard = view.balance.backpressure.observe(now, to.key, asked, s);
    if heard.rate != RateChange::Unchanged {
        view.set_limit(now, to.key);
    }
    if let Some(left) = s.cold {
        view.record_cold(now, to.key, left);
    }
    let leaves = s.leaving && view.record_leaving(now, &to.instance);
    drop(view);
    log_rate(&to.instance, heard.rate, "the endpoint");
    if let Some(rest) = heard.backoff {
        site.metrics.rests.inc();
        tracing::info!(endpoint = %to.instance, rest_ms = rest.as_millis(), "an endpoint asks this VM for rest");
    }
    if leaves {
        note_leaving(site, &to.instance, "the endpoint");
        // The other VMs may send to it meanwhile.
        site.urgent_update.notify_one();
    }
}

/// Takes in what another VM says of the limits that endpoints name.
pub(crate) fn apply_rates<P>(site: &Site<P>, by: &str, rates: &[RateSaid])
where
    P: Protocol,
{
    let now = site.now();
    let mut view = site.view();
    for r in rates {
        let Some(key) = view.roster.find(&r.instance) else {
            continue;
        };
        let word = r.told(now, MOST_ON_THE_WAY);
        let change = view.balance.backpressure.merge(now, key, word);
        if change != RateChange::Unchanged {
            view.set_limit(now, key);
        }
        log_rate(&r.instance, change, by);
    }
}

/// Takes in which endpoints said to other VMs that they leave.
pub(crate) fn apply_leaving<P>(site: &Site<P>, by: &str, leaving: &[Instance])
where
    P: Protocol,
{
    let now = site.now();
    for instance in leaving {
        let is_news = site.view().record_leaving(now, instance);
        if is_news {
            note_leaving(site, instance, by);
        }
    }
}

fn note_leaving<P>(site: &Site<P>, endpoint: &Instance, by: &str)
where
    P: Protocol,
{
    site.metrics.endpoints_said_leaving.inc();
    tracing::info!(%endpoint, by, "an endpoint says that it leaves");
    site.endpoints_changed.notify_waiters();
}

/// Says what changed of an endpoint's limit, and by whose word.
fn log_rate(endpoint: &Instance, change: RateChange, by: &str) {
    match change {
        RateChange::Limited(rate) => {
            tracing::info!(%endpoint, rate, by, "an endpoint names a limit of requests a second");
        }
        RateChange::Ended => tracing::info!(%endpoint, by, "an endpoint's limit has ended"),
        RateChange::Unchanged => {}
    }
}
