//! One attempt to send a request to an endpoint.

use crate::answer_bounds::{self, CollectError, Exceeded};
use crate::edge::{AnswerClass, Protocol};
use crate::endpoint_signals;
use crate::keys::{self, Authorization};
use crate::pool::{ConnectError, Connection, HeadError, Pool};
use crate::reach;
use crate::site::Site;
use crate::site_view::SiteView;
use bytes::Bytes;
use http::{HeaderMap, Request, Response, header};
use http_body_util::Full;
use hyper::body::Incoming;
use limehollow::fingerprint::Causes;
use limehollow::id::EndpointKey;
use limehollow::instance::Instance;
use limehollow::quarantine::Standing;
use limehollow::quota::MAX_TRANSFER_TIME;
use limehollow::slot_ledger::{GRANT_LIFE, GrantId};
use limehollow::verdict::{Failure, Verdict};
use smol_str::{SmolStr, format_smolstr};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// What a failed attempt shows about the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointEvidence {
    /// Nothing that matters beyond this attempt.
    Nothing,
    /// No process listens at its address.
    NotListening,
    /// The connection ended while the request was running.
    ConnectionEnded,
    /// Another instance answers at its address.
    OtherInstance,
    /// The endpoint doesn't hold the requested model or adapter.
    NotHeld,
    /// Nothing about the endpoint: the caller's key is no longer valid.
    KeyRevoked,
}

/// Why an attempt failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptFailure {
    /// The kind of failure.
    pub failure: Failure,
    /// Whether the request may have run on the endpoint.
    pub verdict: Verdict,
    /// Whether the request reached the endpoint; only then the attempt counts against the rule's maximum.
    pub reached: bool,
    /// What the failure shows about the endpoint.
    pub evidence: EndpointEvidence,
    /// The error of the connection, or a description of the answer.
    pub why: SmolStr,
}

impl AttemptFailure {
    fn unsent(evidence: EndpointEvidence, why: SmolStr) -> Self {
        Self {
            failure: Failure::Connect,
            verdict: Verdict::NotRun,
            reached: false,
            evidence,
            why,
        }
    }

    fn unconnected(e: &ConnectError) -> Self {
        let evidence = match e {
            ConnectError::Io { source } if source.kind() == ErrorKind::ConnectionRefused => {
                EndpointEvidence::NotListening
            }
            ConnectError::Io { .. } | ConnectError::Silent | ConnectError::Http { .. } => {
                EndpointEvidence::Nothing
            }
        };
        Self::unsent(evidence, format_smolstr!("{e}"))
    }

    /// Creates the failure of an attempt whose endpoint left, or began to leave, before the request was sent.
    #[must_use]
    pub fn endpoint_gone() -> Self {
        Self::unsent(
            EndpointEvidence::Nothing,
            SmolStr::new_static("the endpoint leaves"),
        )
    }

    /// Creates the failure of an attempt whose endpoint stated a limit or asked for backoff before the request was
    /// sent.
    #[must_use]
    pub fn at_limit() -> Self {
        Self::unsent(
            EndpointEvidence::Nothing,
            SmolStr::new_static("the endpoint takes no more requests now"),
        )
    }

    /// Creates the failure of an attempt before which the request, or a part of its prompt, was quarantined.
    #[must_use]
    pub fn quarantined() -> Self {
        Self::unsent(
            EndpointEvidence::Nothing,
            SmolStr::new_static("the request is quarantined"),
        )
    }

    /// Creates the failure of an attempt before which the caller's key was removed or could no longer be confirmed.
    #[must_use]
    pub fn key_revoked() -> Self {
        Self::unsent(
            EndpointEvidence::KeyRevoked,
            SmolStr::new_static("the key is no longer valid"),
        )
    }

    /// Creates the failure of an attempt whose request was sent and whose answer can't be used.
    #[must_use]
    pub fn broken(why: SmolStr) -> Self {
        Self {
            failure: Failure::Broken,
            verdict: Verdict::MayHaveRun,
            reached: true,
            evidence: EndpointEvidence::Nothing,
            why,
        }
    }

    /// Creates the failure of an attempt whose connection ended before the answer was complete.
    #[must_use]
    pub fn cut_off(e: &hyper::Error) -> Self {
        Self {
            evidence: EndpointEvidence::ConnectionEnded,
            ..Self::broken(format_smolstr!("{e}"))
        }
    }

    /// Creates the failure of an attempt whose connection failed after the request was sent. Bytes that are no answer
    /// show that the endpoint hasn't crashed.
    #[must_use]
    pub fn of_connection(e: &hyper::Error) -> Self {
        if e.is_parse() {
            Self::broken(format_smolstr!("{e}"))
        } else {
            Self::cut_off(e)
        }
    }

    /// Creates the failure of an attempt whose answer was ended because it exceeded a bound.
    #[must_use]
    pub fn exceeded(x: Exceeded) -> Self {
        Self::broken(format_smolstr!("{x}"))
    }

    /// Creates the failure of an attempt whose answer couldn't be read whole.
    #[must_use]
    pub fn of_body(e: &CollectError) -> Self {
        match e {
            CollectError::Exceeded(x) => Self::exceeded(*x),
            CollectError::Connection(e) => Self::of_connection(e),
        }
    }

    /// Creates the failure of an attempt whose endpoint crashed when the connection ended, which would have been the end
    /// of the answer.
    #[must_use]
    pub fn crashed_at_the_end() -> Self {
        Self {
            evidence: EndpointEvidence::ConnectionEnded,
            ..Self::broken(SmolStr::new_static(
                "the endpoint crashed at the end of an answer without a length",
            ))
        }
    }

    fn not_run(why: SmolStr, evidence: EndpointEvidence) -> Self {
        Self {
            failure: Failure::Refused,
            verdict: Verdict::NotRun,
            reached: true,
            evidence,
            why,
        }
    }
}

/// A request's share of the rate limit that its endpoint may state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitGrant {
    /// No share: the request may be sent only if the endpoint states no limit.
    Unlimited,
    /// The share of one request, granted at this time.
    Granted(Instant),
    /// No share is needed: the limit counts only requests for the endpoint's work.
    Exempt,
}

/// The endpoint to which a request is sent.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its key in this process's arena.
    pub key: EndpointKey,
    /// The only instance that may run the request.
    pub instance: Instance,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// The request's share of the endpoint's limit.
    pub grant: LimitGrant,
    /// The slot that was granted to the request, which it needs if the endpoint is brittle.
    pub slot: Option<SlotGrant>,
    /// What in a caller's request may crash the endpoint; `None` for requests of this VM's own.
    pub causes: Option<Causes>,
}

/// A slot of a brittle endpoint that was granted to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotGrant {
    /// The grant.
    pub id: GrantId,
    /// When it was asked for, so that its age isn't underestimated.
    pub asked: Instant,
}

/// An answer whose body is still to be read, and its connection.
#[derive(Debug)]
pub struct Answer {
    /// The head, and the body to read.
    pub response: Response<Incoming>,
    /// The connection on which the body arrives.
    pub connection: Connection,
}

/// Sends a request to an endpoint, on a pooled connection if there is one, and reads the answer's head.
///
/// Opening a connection takes up to [`crate::pool::CONNECT_TIMEOUT`], so the endpoint, its limit and the caller's key
/// are checked again before each send.
///
/// # Errors
///
/// Returns an [`AttemptFailure`], which says whether the request may have run.
pub async fn send<P>(
    site: &Arc<Site<P>>,
    pool: &Pool,
    to: &Target,
    mut req: Request<Full<Bytes>>,
    id: &str,
    authorization: Option<&Authorization>,
) -> Result<Answer, AttemptFailure>
where
    P: Protocol,
{
    // A pooled connection that turns out to be closed returns the request unsent.
    while let Some(mut c) = pool.take(to.key) {
        may_send(site, to, authorization)?;
        let asked = site.now();
        record_sent(site, to);
        match c.send(req).await {
            Ok(response) => return check_answer(site, pool, response, c, (to, id, asked)),
            Err(HeadError::Unsent(unsent, _)) => req = *unsent,
            Err(HeadError::Connection(e)) => return Err(AttemptFailure::of_connection(&e)),
            Err(HeadError::Exceeded(x)) => return Err(head_exceeded(site, to, id, x)),
        }
    }
    may_send(site, to, authorization)?;
    let opened = reach::open(site, pool, to.key, to.address).await;
    let mut c = opened.map_err(|e| AttemptFailure::unconnected(&e))?;
    may_send(site, to, authorization)?;
    let asked = site.now();
    record_sent(site, to);
    match c.send(req).await {
        Ok(response) => check_answer(site, pool, response, c, (to, id, asked)),
        Err(HeadError::Unsent(_, e)) => Err(AttemptFailure::unsent(
            EndpointEvidence::Nothing,
            format_smolstr!("{e}"),
        )),
        Err(HeadError::Connection(e)) => Err(AttemptFailure::of_connection(&e)),
        Err(HeadError::Exceeded(x)) => Err(head_exceeded(site, to, id, x)),
    }
}

fn head_exceeded<P>(site: &Site<P>, to: &Target, id: &str, x: Exceeded) -> AttemptFailure
where
    P: Protocol,
{
    answer_bounds::record(site, &to.instance, id, x);
    AttemptFailure::exceeded(x)
}

/// Records that a request with a slot of a brittle endpoint is sent now.
fn record_sent<P>(site: &Site<P>, to: &Target)
where
    P: Protocol,
{
    if let Some(slot) = to.slot {
        site.view().slot_holdings.send(site.now(), slot.id);
        site.slots_changed.notify_one();
    }
}

/// Checks directly before a request is sent whether it still may be. Since the endpoint was chosen a connection may
/// have been opened, and the endpoint's state, its limit and the caller's key may have changed meanwhile.
///
/// # Errors
///
/// Returns an [`AttemptFailure`] of a request that was not sent.
pub fn may_send<P>(
    site: &Site<P>,
    to: &Target,
    authorization: Option<&Authorization>,
) -> Result<(), AttemptFailure>
where
    P: Protocol,
{
    if !authorization.is_none_or(|p| keys::is_valid(site, p)) {
        return Err(AttemptFailure::key_revoked());
    }
    let now = site.now();
    let mut view = site.view();
    if !view.roster.takes_work(to.key) {
        return Err(AttemptFailure::endpoint_gone());
    }
    if to.grant != LimitGrant::Exempt && !has_slot(now, &mut view, to) {
        return Err(AttemptFailure::at_limit());
    }
    if let Some(c) = &to.causes
        && let Some((_, Standing::Quarantined(_))) = view.quarantine.strictest(now, c.all())
    {
        return Err(AttemptFailure::quarantined());
    }
    let backpressure = &view.balance.backpressure;
    let is_within_limit = match to.grant {
        LimitGrant::Exempt => true,
        LimitGrant::Unlimited => backpressure.rate(to.key).is_none(),
        // The bound on the sum over all VMs assumes at most this time between the grant and the send.
        LimitGrant::Granted(at) => now.saturating_duration_since(at) <= MAX_TRANSFER_TIME,
    };
    if is_within_limit && !backpressure.is_backing_off(now, to.key) {
        Ok(())
    } else {
        Err(AttemptFailure::at_limit())
    }
}

/// Returns `true` if a request has a slot at its endpoint, or needs none because the endpoint isn't brittle.
fn has_slot(now: Instant, view: &mut SiteView, to: &Target) -> bool {
    let is_fresh = |s: SlotGrant| now.saturating_duration_since(s.asked) <= GRANT_LIFE;
    if to.slot.is_some_and(is_fresh) {
        return true;
    }
    let service = view.roster.get(to.key).map(|e| e.service.clone());
    service.is_none_or(|s| view.brittle(now, &s).is_none())
}

/// Returns `true` if an answer comes from the endpoint to which the request was sent, so that its signals apply to it.
fn is_from_target(j: AnswerClass) -> bool {
    match j {
        AnswerClass::Genuine
        | AnswerClass::NotRun
        | AnswerClass::Invalid
        | AnswerClass::Misdirected {
            other_instance: false,
        } => true,
        AnswerClass::Foreign
        | AnswerClass::Misdirected {
            other_instance: true,
        } => false,
    }
}

fn check_answer<P>(
    site: &Site<P>,
    pool: &Pool,
    response: Response<Incoming>,
    mut connection: Connection,
    (to, id, asked): (&Target, &str, Instant),
) -> Result<Answer, AttemptFailure>
where
    P: Protocol,
{
    let (status, headers) = (response.status(), response.headers());
    connection.set_keep_alive(keep_alive_timeout(headers));
    site.view().own_reach.record_heard(site.now());
    let class = site
        .protocol
        .classify_answer(status, headers, id, &to.instance.id);
    if is_from_target(class) {
        endpoint_signals::apply(site, to, asked, site.protocol.signals(status, headers));
    }
    match class {
        AnswerClass::Genuine => Ok(Answer {
            response,
            connection,
        }),
        AnswerClass::NotRun => {
            let why = format_smolstr!("status {}, not run", status.as_u16());
            pool.put_in_background(connection, Some(response.into_body()));
            Err(AttemptFailure::not_run(why, EndpointEvidence::Nothing))
        }
        AnswerClass::Misdirected { other_instance } => {
            pool.put_in_background(connection, Some(response.into_body()));
            let why = SmolStr::new_static("misdirected, not run");
            let evidence = if other_instance {
                EndpointEvidence::OtherInstance
            } else {
                EndpointEvidence::NotHeld
            };
            Err(AttemptFailure::not_run(why, evidence))
        }
        // The answers on this connection can no longer be matched to requests, so the connection is dropped and closed.
        AnswerClass::Foreign => Err(AttemptFailure::broken(SmolStr::new_static(
            "the answer belongs to another request",
        ))),
        AnswerClass::Invalid => Err(AttemptFailure::broken(format_smolstr!(
            "status {} without the endpoint's mark",
            status.as_u16()
        ))),
    }
}

/// Returns how long an endpoint keeps a connection open by its answer's headers: zero if it closes the connection,
/// `None` if the headers don't say.
#[must_use]
pub fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = |name| headers.get(name).and_then(|v| v.to_str().ok());
    let closes = text(header::CONNECTION).is_some_and(|v| {
        v.split(',')
            .any(|token| token.trim().eq_ignore_ascii_case("close"))
    });
    if closes {
        return Some(Duration::ZERO);
    }
    let parameters = text(header::HeaderName::from_static("keep-alive"))?;
    let secs = parameters
        .split(',')
        .find_map(|w| w.trim().strip_prefix("timeout="))?;
    secs.trim().parse().ok().map(Duration::from_secs)
}
