//! Acquires a request's share of the rate limit that its endpoint states.
//!
//! An overloaded endpoint states how many requests a second it takes from all VMs together. The VMs share this limit as
//! they share a workspace's limit; their sum stays bounded even when VMs fail (`docs/design/backpressure.md`).

use crate::attempt::{LimitGrant, Target};
use crate::edge::Protocol;
use crate::limits::{self, COORDINATOR_TAKEOVER, TokenOutcome};
use crate::site::Site;
use limehollow::id::EndpointKey;
use limehollow::quota::Subject;
use std::time::Duration;

/// Endpoints that are at their limit, and the time until the first of them takes requests again.
#[derive(Debug, Default)]
pub(crate) struct EndpointsAtLimit {
    keys: Vec<EndpointKey>,
    opens_in: Option<Duration>,
}

impl EndpointsAtLimit {
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

/// Acquires a request's share of an endpoint's limit.
///
/// # Errors
///
/// Returns the estimated time until the limit allows another request.
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
        // The grant is dated from before the query, so its age isn't underestimated.
        TokenOutcome::Granted => Ok(LimitGrant::Granted(asked)),
        TokenOutcome::OverLimit(wait) => Err(wait),
        // Without a grant no request may be sent.
        TokenOutcome::Unanswered => Err(COORDINATOR_TAKEOVER),
    }
}
