//! Answers that the gateway itself produces.

use crate::edge::Protocol;
use crate::logging::may_log;
use crate::metrics::Metrics;
use crate::pass_on::PassedBody;
use crate::relay::{Relay, millis};
use crate::site::Site;
use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::{Response, StatusCode};
use http_body_util::{Either, Full};
use std::time::Duration;

/// The body of an answer: this VM's own, an endpoint's stream, or another VM's.
pub type Outgoing<P> = Either<Full<Bytes>, Either<Relay<P>, PassedBody>>;

/// Why a request that did not run is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reason {
    NoConfiguration,
    NoEndpoint,
    NoModel,
    NoAdapter,
    Busy,
    /// The endpoints that could serve the request have reached the limits that they stated.
    AtLimit,
    EndpointRefused,
    Unreached,
    /// This VM reaches no endpoint, and no other VM could take the request over.
    CutOff,
    /// The validity of the request's key can't be confirmed at present.
    KeyUnconfirmed,
    /// The request's workspace has used up its limit.
    OverLimit,
    /// The limit of the request's workspace can't be looked up at present.
    LimitUnknown,
    /// The request has crashed endpoints that ran it.
    Quarantined,
    /// A part of the request's prompt has crashed endpoints.
    PartQuarantined,
    /// Nobody knows at which version the stream to take up began.
    StreamUnknown,
    /// The stream to take up began at a service to which the rule leads no more.
    StreamElsewhere,
    /// No endpoint of the version at which the stream to take up began takes work.
    NoVersion,
    /// There is no memory for the request's body.
    NoMemory,
    /// The request's body was unfinished when other callers needed its memory or its connection.
    Displaced,
}

impl Reason {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no configuration yet",
            Self::NoEndpoint => "no endpoint takes work",
            Self::NoModel => "no endpoint holds the model",
            Self::NoAdapter => "no endpoint holds the adapter",
            Self::Busy => "the endpoints are busy",
            Self::AtLimit => "the endpoints take no more requests now",
            Self::EndpointRefused => "the endpoint refused it",
            Self::Unreached => "no endpoint could be reached",
            Self::CutOff => "no endpoint is in reach of this VM",
            Self::KeyUnconfirmed => "the key can't be confirmed now",
            Self::OverLimit => "the workspace is over its limit",
            Self::LimitUnknown => "the workspace's limit can't be looked up now",
            Self::Quarantined => "the request crashes the endpoints that run it",
            Self::PartQuarantined => "a part of the prompt crashes the endpoints that run it",
            Self::StreamUnknown => "the version that began the stream is unknown",
            Self::StreamElsewhere => "the stream began at another service",
            Self::NoVersion => "no endpoint of the version that began the stream takes work",
            Self::NoMemory => "there is no memory for the body now",
            Self::Displaced => "the unfinished body gave way to other requests",
        }
    }
}

impl Reason {
    fn status(self) -> StatusCode {
        match self {
            Self::OverLimit => StatusCode::TOO_MANY_REQUESTS,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// Builds the answer to a request that is refused and did not run, and counts and logs it.
pub(crate) fn refuse<P>(
    site: &Site<P>,
    id: &str,
    reason: Reason,
    after: Duration,
) -> Response<Outgoing<P>>
where
    P: Protocol,
{
    Metrics::count(&site.metrics.requests, "refused");
    Metrics::count(&site.metrics.refusals, reason.as_str());
    if may_log() {
        tracing::info!(
            id,
            reason = reason.as_str(),
            retry_after_ms = millis(after),
            "refused"
        );
    }
    let text = format!("{}\n", reason.as_str());
    let mut res = plain(site, reason.status(), id, &text);
    let after = HeaderValue::from_str(&format!("{:.2}", after.as_secs_f64()));
    if let Ok(after) = after {
        res.headers_mut().insert(header::RETRY_AFTER, after);
    }
    res
}

/// Builds the answer to a request that may have run and has no answer.
pub(crate) fn lost<P>(site: &Site<P>, id: &str, reason: &str) -> Response<Outgoing<P>>
where
    P: Protocol,
{
    tracing::info!(id, reason, "no answer; the request may have run");
    Metrics::count(&site.metrics.requests, "lost");
    let text = "the endpoint gave no answer\n";
    plain(site, StatusCode::BAD_GATEWAY, id, text)
}

/// Builds the answer to a request whose time has passed while it was sent.
pub(crate) fn expired<P>(site: &Site<P>, id: &str, waited: Duration) -> Response<Outgoing<P>>
where
    P: Protocol,
{
    tracing::info!(id, ms = millis(waited), "the request's time has passed");
    Metrics::count(&site.metrics.requests, "expired");
    plain(site, StatusCode::GATEWAY_TIMEOUT, id, "time has passed\n")
}

/// Builds a plain-text answer.
pub(crate) fn plain<P>(
    site: &Site<P>,
    status: StatusCode,
    id: &str,
    text: &str,
) -> Response<Outgoing<P>>
where
    P: Protocol,
{
    let body = Full::new(Bytes::copy_from_slice(text.as_bytes()));
    let mut res = Response::new(Either::Left(body));
    *res.status_mut() = status;
    if !id.is_empty() {
        site.protocol.set_request_id(res.headers_mut(), id);
    }
    res
}
