//! Takes in what endpoints say in their answers of what they want to be sent.
//!
//! Every answer is heard, whatever it answers: a caller's request, a report or an order.

use crate::attempt::Target;
use crate::edge::Protocol;
use crate::site::Site;
use limehollow::backpressure::{Heard, RateChange, Signals};
use limehollow::instance::Instance;
use tokio::time::Instant;

/// Takes in what an answer says, to a request that was sent at `asked`.
pub(crate) fn hear<P>(site: &Site<P>, to: &Target, asked: Instant, s: Signals)
where
    P: Protocol,
{
    let now = site.now();
    let mut known = site.known();
    if known.roster.get(to.key).is_none() {
        // Its start is gone, and with it all that was believed of it.
        return;
    }
    let heard = known.balance.backpressure.hear(now, to.key, asked, s);
    drop(known);
    log(site, &to.instance, heard, "the endpoint");
    if s.leaving {
        site.metrics.endpoints_said_leaving.inc();
        tracing::info!(endpoint = %to.instance, "the endpoint says that it leaves");
    }
}

/// Says what is new of an endpoint's wishes, and by whose word.
fn log<P>(site: &Site<P>, endpoint: &Instance, heard: Heard, by: &str)
where
    P: Protocol,
{
    match heard.rate {
        RateChange::Limited(rate) => {
            tracing::info!(%endpoint, rate, by, "an endpoint names a limit of requests a second");
        }
        RateChange::Ended => tracing::info!(%endpoint, by, "an endpoint's limit has ended"),
        RateChange::Unchanged => {}
    }
    if let Some(rest) = heard.rest {
        site.metrics.rests.inc();
        tracing::info!(%endpoint, rest_ms = rest.as_millis(), "an endpoint asks this VM for rest");
    }
}
