//! A request's part of the limit that its endpoint names.
//!
//! An endpoint in need names the requests a second that it takes of all VMs together. The VMs share that as they share a
//! workspace's limit, with a sum that holds whatever happens to them (`docs/design/backpressure.md`).

use crate::attempt::{LimitGrant, Target};
use crate::edge::Protocol;
use crate::limits::{self, COORDINATOR_TAKEOVER, TokenOutcome};
use crate::site::Site;
use limehollow::id::EndpointKey;
use limehollow::quota::Subject;
use std::time::Duration;

/// Endpoints that take no more requests now, and in how long the first of them does.
#[derive(Debug, Default)]
pub(crate) struct Closed {
    keys: Vec<EndpointKey>,
    opens_in: Option<Duration>,
}

impl Closed {
    pub(crate) fn add(&mut self, key: EndpointKey, wait: Duration) {
        self.keys.push(key);
        self.opens_in = Some(self.opens_in.map_or(wait, |w| w.min(wait)));
    }

    pub(crate) fn keys(&self) -> &[EndpointKey] {
        &self.keys
    }

    pub(crate) fn opens_in(&self) -> Option<Duration> {
        self.opens_in
    }
}

/// Takes a request's part of an endpoint's limit.
///
/// # Errors
///
/// In how long there is room, as far as is known.
pub async fn acquire<P>(site: &Site<P>, to: &Target) -> Result<LimitGrant, Duration>
where
    P: Protocol,
{
    if site.view().balance.backpressure.rate(to.key).is_none() {
        return Ok(LimitGrant::Unlimited);
    }
    let asked = site.now();
    let subject = Subject::Endpoint(to.instance.id.clone());
    match limits::acquire(site, &subject, 1.0).await {
        // It was granted after it was asked for.
        TokenOutcome::Granted => Ok(LimitGrant::Granted(asked)),
        TokenOutcome::OverLimit(wait) => Err(wait),
        // Who doesn't know that there is room sends nothing.
        TokenOutcome::Unanswered => Err(COORDINATOR_TAKEOVER),
    }
}
