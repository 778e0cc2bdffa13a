//! One try at an endpoint.

use crate::edge::{AnswerClass, Protocol};
use crate::endpoint_signals;
use crate::keys::{self, Authorization};
use crate::pool::{ConnectError, Connection, Pool};
use crate::site::Site;
use bytes::Bytes;
use http::{HeaderMap, Request, Response, header};
use http_body_util::Full;
use hyper::body::Incoming;
use limehollow::id::EndpointKey;
use limehollow::instance::Instance;
use limehollow::quota::MAX_TRANSFER_TIME;
use limehollow::verdict::{Failure, Verdict};
use smol_str::{SmolStr, format_smolstr};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// What a failed try shows of the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointEvidence {
    /// Nothing that outlasts the try.
    Nothing,
    /// Nobody listens at its address.
    NotListening,
    /// The connection ended under the request.
    ConnectionEnded,
    /// Another instance answers at its address.
    OtherInstance,
    /// It doesn't hold what was asked for.
    NotHeld,
    /// Nothing of the endpoint: the caller's key doesn't count any more.
    KeyRevoked,
}

/// How a try failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptFailure {
    /// What happened.
    pub failure: Failure,
    /// Whether the request may have run there.
    pub verdict: Verdict,
    /// Whether the request reached the endpoint, which counts as a try.
    pub reached: bool,
    /// What it shows of the endpoint.
    pub evidence: EndpointEvidence,
    /// What the connection or the answer said.
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

    /// Makes the failure of a try at an endpoint that began to leave, or went, before the request was sent.
    #[must_use]
    pub fn gone() -> Self {
        Self::unsent(EndpointEvidence::Nothing, SmolStr::new_static("it leaves"))
    }

    /// Makes the failure of a try at an endpoint that named a limit, or asked for rest, before the request was sent.
    #[must_use]
    pub fn no_room() -> Self {
        Self::unsent(
            EndpointEvidence::Nothing,
            SmolStr::new_static("it takes no more requests now"),
        )
    }

    /// Makes the failure of a try before which the caller's key was taken away, or could not be confirmed any more.
    #[must_use]
    pub fn key_gone() -> Self {
        Self::unsent(
            EndpointEvidence::KeyRevoked,
            SmolStr::new_static("the key doesn't count"),
        )
    }

    /// Makes the failure of a try whose request left and whose answer can't be used.
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

    /// Makes the failure of a try whose connection ended before the whole answer was there.
    #[must_use]
    pub fn cut_off(e: &hyper::Error) -> Self {
        Self {
            evidence: EndpointEvidence::ConnectionEnded,
            ..Self::broken(format_smolstr!("{e}"))
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

/// What a request has of the limit that its endpoint may name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitGrant {
    /// Nothing: it goes only where no limit is named.
    Unlimited,
    /// One request's part, since this moment.
    Granted(Instant),
    /// It needs nothing: what isn't a request for the endpoint's work doesn't count.
    Exempt,
}

/// The endpoint that a request is sent to.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its key in this process's arena.
    pub key: EndpointKey,
    /// The only instance that may run the request.
    pub instance: Instance,
    /// Where it listens.
    pub address: SocketAddr,
    /// What the request has of its limit.
    pub grant: LimitGrant,
}

/// An answer whose body is still to come, and the connection that it comes on.
#[derive(Debug)]
pub struct Answer {
    /// Head and body.
    pub response: Response<Incoming>,
    /// The connection.
    pub connection: Connection,
}

/// Sends a request to an endpoint, on a kept connection if there is one, and reads the answer's head.
///
/// Opening a connection takes up to [`crate::pool::CONNECT_TIMEOUT`], so the endpoint, its limit and the caller's key are looked up
/// again before each send.
///
/// # Errors
///
/// [`AttemptFailure`] says whether the request may have run.
pub async fn send<P>(
    site: &Site<P>,
    pool: &Pool,
    to: &Target,
    mut req: Request<Full<Bytes>>,
    id: &str,
    authorization: Option<&Authorization>,
) -> Result<Answer, AttemptFailure>
where
    P: Protocol,
{
    // A kept connection that turns out to be closed gives the request back unsent.
    while let Some(mut c) = pool.take(to.key) {
        may_send(site, to, authorization)?;
        let asked = site.now();
        match c.sender.try_send_request(req).await {
            Ok(response) => return check_answer(site, pool, response, c, (to, id, asked)),
            Err(mut e) => match e.take_message() {
                Some(unsent) => req = unsent,
                None => return Err(AttemptFailure::cut_off(e.error())),
            },
        }
    }
    may_send(site, to, authorization)?;
    let opened = pool.open(to.key, to.address).await;
    site.metrics.connections_opened.inc();
    let mut c = opened.map_err(|e| AttemptFailure::unconnected(&e))?;
    may_send(site, to, authorization)?;
    let asked = site.now();
    match c.sender.try_send_request(req).await {
        Ok(response) => check_answer(site, pool, response, c, (to, id, asked)),
        Err(mut e) => Err(match e.take_message() {
            Some(_) => {
                AttemptFailure::unsent(EndpointEvidence::Nothing, format_smolstr!("{}", e.error()))
            }
            None => AttemptFailure::cut_off(e.error()),
        }),
    }
}

/// Looks at the last moment before a request is sent whether it still may be. Between the choice of its endpoint and now a
/// connection may have been opened, and all that allowed it may have changed.
///
/// # Errors
///
/// [`AttemptFailure`], as of a request that was not sent.
pub fn may_send<P>(
    site: &Site<P>,
    to: &Target,
    authorization: Option<&Authorization>,
) -> Result<(), AttemptFailure>
where
    P: Protocol,
{
    if !authorization.is_none_or(|p| keys::is_valid(site, p)) {
        return Err(AttemptFailure::key_gone());
    }
    let view = site.view();
    if !view.roster.takes_work(to.key) {
        return Err(AttemptFailure::gone());
    }
    let (now, wishes) = (site.now(), &view.balance.backpressure);
    let has_room = match to.grant {
        LimitGrant::Exempt => true,
        LimitGrant::Unlimited => wishes.rate(to.key).is_none(),
        // The sum over all VMs reckons with so much time between the grant and the sending.
        LimitGrant::Granted(at) => now.saturating_duration_since(at) <= MAX_TRANSFER_TIME,
    };
    if has_room && !wishes.is_backing_off(now, to.key) {
        Ok(())
    } else {
        Err(AttemptFailure::no_room())
    }
}

/// Tells whether an answer is from the endpoint that was asked, so that what it says of itself counts.
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
        // The bytes on this connection can't be told apart any more: it is closed by the drop.
        AnswerClass::Foreign => Err(AttemptFailure::broken(SmolStr::new_static(
            "the answer is another request's",
        ))),
        AnswerClass::Invalid => Err(AttemptFailure::broken(format_smolstr!(
            "status {} without the endpoint's mark",
            status.as_u16()
        ))),
    }
}

/// Reads how long an endpoint keeps a connection: its own word, zero if it closes, none if it says
/// nothing.
#[must_use]
pub fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = |name| headers.get(name).and_then(|v| v.to_str().ok());
    let closes = text(header::CONNECTION).is_some_and(|v| {
        v.split(',')
            .any(|word| word.trim().eq_ignore_ascii_case("close"))
    });
    if closes {
        return Some(Duration::ZERO);
    }
    let words = text(header::HeaderName::from_static("keep-alive"))?;
    let secs = words
        .split(',')
        .find_map(|w| w.trim().strip_prefix("timeout="))?;
    secs.trim().parse().ok().map(Duration::from_secs)
}
