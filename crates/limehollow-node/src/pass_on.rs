//! Passes requests on to another VM while this VM reaches no endpoint, and takes over those of other VMs.
//!
//! A VM handles a request that it takes over as if the caller had sent it there: it checks the key and the limits, chooses
//! the endpoint and retries. It doesn't pass it on again (`docs/design/cut-off-vms.md`).

use crate::answer::{Outgoing, Reason, expired, lost, refuse};
use crate::dispatch::take_repeat;
use crate::edge::{HeaderPolicy, Protocol};
use crate::guarded_body::GuardedBody;
use crate::header_policy;
use crate::logging::may_log;
use crate::metrics::Metrics;
use crate::pool::{self, ResetOnDrop};
use crate::relay::{ExpiredSnafu, RelayError, millis};
use crate::request;
use crate::retry_delay::with_jitter;
use crate::site::Site;
use crate::unresponsive::QueryKind;
use bytes::Bytes;
use http::header::{HeaderMap, HeaderName, HeaderValue};
use http::request::Parts;
use http::{Request, Response, StatusCode};
use http_body_util::{Either, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use limehollow::catalog::Rule;
use limehollow::id::ServiceName;
use limehollow::retry::Repeat;
use limehollow::verdict::Verdict;
use rand::seq::IndexedRandom;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{Instant, timeout};

/// Marks a request that another VM passes on. Its value is the caller's address and the request's age in ms.
const PASSED_ON: HeaderName = HeaderName::from_static("x-limehollow-passed-on");
/// Marks the refusal of a VM that doesn't take a request over, so that another VM may be asked.
const DECLINED: HeaderName = HeaderName::from_static("x-limehollow-declined");
/// The timeout for opening a connection to another VM: some round trips between zones.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// The maximum size of the read buffer of a connection to another VM, in bytes: the largest head of an endpoint's answer, and
/// what the other VM adds to it.
const MAX_READ_BUFFER: usize = pool::MAX_READ_BUFFER + (16 << 10);
/// The maximum number of VMs that are asked to take a request over.
const MAX_ASKED: usize = 3;
/// How long a VM that didn't take a request over isn't asked again.
const NOT_ASKED_FOR: Duration = Duration::from_millis(500);
/// The retry delay while no VM reaches an endpoint: some rounds of probes.
const CUT_OFF_RETRY: Duration = Duration::from_millis(500);

/// What another VM says of a request that it passes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PassedOn {
    caller: IpAddr,
    age: Duration,
}

impl PassedOn {
    /// Returns what the headers of a request say, or `None` if it isn't passed on.
    pub(crate) fn of(headers: &HeaderMap) -> Option<Self> {
        let value = headers.get(PASSED_ON)?;
        let parsed = value.to_str().ok().and_then(|v| {
            let (caller, age) = v.split_once(' ')?;
            Some(Self {
                caller: caller.parse().ok()?,
                age: Duration::from_millis(age.parse().ok()?),
            })
        });
        if parsed.is_none() {
            tracing::warn!(
                ?value,
                "another VM passes a request on in a way that can't be read"
            );
        }
        parsed
    }

    fn to_value(self) -> Option<HeaderValue> {
        HeaderValue::from_str(&format!("{} {}", self.caller, millis(self.age))).ok()
    }
}

/// The answer to a request that was taken over, which counts as such until it ends.
type TakenOver<P> = GuardedBody<Outgoing<P>, OwnedSemaphorePermit>;

/// Handles a request that another VM passes on.
pub(crate) async fn take_over<P>(
    site: Arc<Site<P>>,
    p: PassedOn,
    mut req: Request<Incoming>,
) -> Response<Either<Full<Bytes>, TakenOver<P>>>
where
    P: Protocol + Unpin,
{
    let permit = Arc::clone(&site.taken_over).try_acquire_owned();
    let (Ok(permit), false) = (permit, site.is_stopping() || is_cut_off(&site)) else {
        return declined().map(Either::Left);
    };
    req.headers_mut().remove(PASSED_ON);
    let arrived = site.now().checked_sub(p.age).unwrap_or_else(|| site.now());
    let mut res = request::take_over(Arc::clone(&site), p.caller, arrived, req).await;
    if res.status() == StatusCode::SERVICE_UNAVAILABLE && is_cut_off(&site) {
        res.headers_mut()
            .insert(DECLINED, HeaderValue::from_static("1"));
    }
    res.map(|body| Either::Right(GuardedBody::new(body, permit)))
}

fn is_cut_off<P>(site: &Site<P>) -> bool
where
    P: Protocol,
{
    site.view().own_reach.is_cut()
}

fn declined() -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::default());
    *res.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    res.headers_mut()
        .insert(DECLINED, HeaderValue::from_static("1"));
    res
}

/// Why a VM didn't answer a request that was passed on to it.
#[derive(Debug)]
struct PassFailure {
    verdict: Verdict,
    why: String,
}

impl PassFailure {
    fn not_run<E>(why: E) -> Self
    where
        E: fmt::Display,
    {
        Self {
            verdict: Verdict::NotRun,
            why: why.to_string(),
        }
    }
}

/// A request to pass on to another VM.
pub(crate) struct Passage<'a, P>
where
    P: Protocol,
{
    pub(crate) site: &'a Arc<Site<P>>,
    pub(crate) rule: &'a Rule,
    pub(crate) service: &'a ServiceName,
    pub(crate) id: &'a str,
    /// The head as the caller sent it: the other VM checks the caller's key.
    pub(crate) head: &'a Parts,
    pub(crate) body: Bytes,
    pub(crate) caller: IpAddr,
    pub(crate) arrived: Instant,
    pub(crate) expiry: Instant,
}

impl<P> Passage<'_, P>
where
    P: Protocol,
{
    /// Passes the request on, and returns the other VM's answer, or a refusal if no VM takes the request over.
    pub(crate) async fn run(self) -> Response<Outgoing<P>> {
        let mut asked = Vec::new();
        while let Some(vm) = self.next_vm(&asked) {
            asked.push(vm);
            let sent = self.site.clock.timeout_at(self.expiry, self.send(vm));
            let Ok(answered) = sent.await else {
                return expired(self.site, self.id, self.waited());
            };
            let f = match answered {
                Ok(res) => return res,
                Err(f) => f,
            };
            tracing::info!(id = self.id, %vm, verdict = %f.verdict, why = f.why, "not passed on");
            if f.verdict == Verdict::MayHaveRun && !self.may_repeat() {
                return lost(self.site, self.id, "the VM that took it over is gone");
            }
        }
        refuse(
            self.site,
            self.id,
            Reason::CutOff,
            with_jitter(CUT_OFF_RETRY),
        )
    }

    /// Returns the next VM to ask, drawn at random so that no VM gets the requests of all that are cut off.
    fn next_vm(&self, asked: &[SocketAddr]) -> Option<SocketAddr> {
        if asked.len() >= MAX_ASKED {
            return None;
        }
        let now = self.site.now();
        let view = self.site.view();
        let mut vms = view.peers.reaching_endpoints(now);
        vms.retain(|vm| {
            !asked.contains(vm) && !view.unresponsive.contains(now, QueryKind::Request, *vm)
        });
        vms.choose(&mut rand::rng()).copied()
    }

    /// Returns `true` if a request that may have run at another VM may be sent once more.
    fn may_repeat(&self) -> bool {
        self.rule.repeat == Repeat::Allowed && take_repeat(self.site, self.service)
    }

    async fn send(&self, vm: SocketAddr) -> Result<Response<Outgoing<P>>, PassFailure> {
        let answered = self.send_once(vm).await;
        if answered.is_err() {
            let now = self.site.now();
            let mut view = self.site.view();
            view.unresponsive
                .record(now, QueryKind::Request, vm, NOT_ASKED_FOR);
        }
        answered
    }

    async fn send_once(&self, vm: SocketAddr) -> Result<Response<Outgoing<P>>, PassFailure> {
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(vm)).await;
        let stream = connected
            .map_err(PassFailure::not_run)?
            .map_err(PassFailure::not_run)?;
        let stream = ResetOnDrop::new(stream).map_err(PassFailure::not_run)?;
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_READ_BUFFER)
            .handshake(TokioIo::new(stream))
            .await;
        let (mut sender, driver) = handshake.map_err(PassFailure::not_run)?;
        tokio::spawn(async move {
            // An error of the connection also fails the request that it carries.
            if let Err(e) = driver.await {
                tracing::debug!(%vm, error = %e, "connection to another VM ended");
            }
        });
        let sent = sender.try_send_request(self.request()).await;
        let res = sent.map_err(|mut e| PassFailure {
            verdict: match e.take_message() {
                Some(_unsent) => Verdict::NotRun,
                None => Verdict::MayHaveRun,
            },
            why: e.error().to_string(),
        })?;
        if res.headers().contains_key(DECLINED) {
            return Err(PassFailure::not_run("it declines"));
        }
        Ok(self.forward(vm, res))
    }

    fn request(&self) -> Request<Full<Bytes>> {
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.head.method.clone();
        *req.uri_mut() = self.head.uri.clone();
        *req.headers_mut() = self.head.headers.clone();
        header_policy::clean(req.headers_mut(), |n| {
            match self.site.protocol.request_header(n) {
                HeaderPolicy::Credential => HeaderPolicy::Required,
                p => p,
            }
        });
        let p = PassedOn {
            caller: self.caller,
            age: self.waited(),
        };
        if let Some(value) = p.to_value() {
            req.headers_mut().insert(PASSED_ON, value);
        }
        req
    }

    fn forward(&self, vm: SocketAddr, res: Response<Incoming>) -> Response<Outgoing<P>> {
        let (mut head, inner) = res.into_parts();
        let protocol = &self.site.protocol;
        header_policy::clean(&mut head.headers, |n| protocol.answer_header(n));
        Metrics::count(&self.site.metrics.requests, "passed on");
        if may_log() {
            let (status, ms) = (head.status.as_u16(), millis(self.waited()));
            tracing::info!(id = self.id, %vm, status, ms, "passed on");
        }
        let (clock, expiry) = (Arc::clone(&self.site.clock), self.expiry);
        let body = PassedBody {
            inner,
            expiry: Box::pin(async move { clock.sleep_until(expiry).await }),
        };
        Response::from_parts(head, Either::Right(Either::Right(body)))
    }

    fn waited(&self) -> Duration {
        self.site.now().saturating_duration_since(self.arrived)
    }
}

/// The body of another VM's answer. It always states its length or comes in chunks, so its end is a proof.
pub struct PassedBody {
    inner: Incoming,
    expiry: Pin<Box<dyn Future<Output = ()> + Send>>,
}

impl fmt::Debug for PassedBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PassedBody").finish_non_exhaustive()
    }
}

impl Body for PassedBody {
    type Data = Bytes;
    type Error = RelayError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        if self.expiry.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(ExpiredSnafu.fail()));
        }
        let frame = ready!(Pin::new(&mut self.inner).poll_frame(cx));
        Poll::Ready(frame.map(|f| f.map_err(|source| RelayError::Endpoint { source })))
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
