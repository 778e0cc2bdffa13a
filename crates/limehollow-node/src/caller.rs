//! Accepts callers' connections, answers the load balancer's readiness checks, and drains connections on shutdown.

use crate::connections::Idle;
use crate::edge::Protocol;
use crate::guarded_body::GuardedBody;
use crate::logging::may_log;
use crate::metrics::Metrics;
use crate::relay::RelayError;
use crate::request;
use crate::site::Site;
use crate::small_server::{self, ACCEPT_PAUSE};
use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::{Request, Response, StatusCode, Version};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use limehollow::intake::{CLOSES_FROM, Intake};
use socket2::SockRef;
use std::convert::Infallible;
use std::error::Error;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// The idle timeout of a caller's connection while there is no configuration.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// How long the head of a request may take while there is no configuration.
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(3);
/// How often room is made for further connections while there are as many as there may be.
const MAKE_ROOM_EVERY: Duration = Duration::from_millis(50);
/// The smallest head limit that hyper accepts, in bytes.
const MIN_HEAD_BYTES: usize = 8192;
/// The head limit while there is no configuration, in bytes.
const DEFAULT_HEAD_BYTES: usize = 16 << 10;
/// How long a process goes on accepting connections after the signal to stop: the load balancer checks every second
/// and stops routing after two failed checks. Requests that arrive later aren't sure to end within the grace period.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(2800);
/// The maximum share of a short grace period for [`ACCEPT_AFTER_STOP`]: the requests accepted last have to end within
/// the rest of the period.
const ACCEPT_AFTER_STOP_SHARE: f64 = 0.35;
/// How long before the end of the grace period open connections are cut, so that the process exits by itself.
const CUT_MARGIN: Duration = Duration::from_millis(300);

/// Serves callers until the signal to stop, then until their requests have ended or the grace period is over.
pub async fn serve<P>(site: Arc<Site<P>>, listener: TcpListener, mut stop: watch::Receiver<bool>)
where
    P: Protocol + Unpin,
{
    let grace = Duration::from_millis(site.settings.load().grace_ms);
    let accept_after_stop = accept_after_stop(grace);
    let (closing_tx, closing) = watch::channel(false);
    let mut connections = JoinSet::new();
    let pressure = Arc::new(ConnectionPressure::default());
    let mut intake = Intake::new(site.now());
    let stopped = async move {
        // The sender lives as long as the process, so the wait can't fail.
        drop(stop.wait_for(|s| *s).await);
        sleep(accept_after_stop).await;
    };
    tokio::pin!(stopped);
    loop {
        let most = site.settings.load().max_caller_connections();
        pressure.update(connections.len(), most);
        let is_full = connections.len() >= most;
        if is_full {
            make_room(&site);
        }
        tokio::select! {
            () = &mut stopped => break,
            accepted = listener.accept(), if !is_full => match accepted {
                Ok((stream, from)) => {
                    site.recent_work.record();
                    if !takes(&site, &mut intake) {
                        continue;
                    }
                    let (site, pressure) = (Arc::clone(&site), Arc::clone(&pressure));
                    connections.spawn(connection(site, pressure, stream, from.ip(), closing.clone()));
                }
                Err(e) => {
                    Metrics::count(&site.metrics.caller_connections, "failed");
                    tracing::warn!(error = %e, "a caller's connection could not be accepted");
                    sleep(ACCEPT_PAUSE).await;
                }
            },
            Some(_ended) = connections.join_next() => {}
            () = async { sleep(MAKE_ROOM_EVERY).await }, if is_full => {}
        }
    }
    drop(listener);
    let _nobody = closing_tx.send(true);
    let end = site.now() + grace.saturating_sub(accept_after_stop + CUT_MARGIN);
    while let Ok(Some(_ended)) = site.clock.timeout_at(end, connections.join_next()).await {}
    let taken_over = site.end_taking_over();
    // After the end of the grace period what is left breaks off with the process.
    let _served = site.clock.timeout_at(end, taken_over).await;
    tracing::info!(left = connections.len(), "callers served");
}

/// Has one connection closed whose caller has let the time for a request's head pass: one without any request first, then one
/// whose body has stopped, then one that is kept open without a request.
fn make_room<P>(site: &Site<P>)
where
    P: Protocol,
{
    let limits = site.catalog.load().as_ref().map(|c| c.limits);
    let head_timeout = limits.map_or(DEFAULT_HEAD_TIMEOUT, |l| l.head_timeout);
    let now = site.now();
    let what = if site.connections.close_one(Idle::New, now, head_timeout) {
        "closed without a request"
    } else if site.request_memory.end_stalled(now, head_timeout) {
        "closed without progress"
    } else if site.connections.close_one(Idle::AtRest, now, head_timeout) {
        "closed at rest"
    } else {
        return;
    };
    Metrics::count(&site.metrics.caller_connections, what);
}

/// Decides whether a new connection is served; otherwise it is to be closed with nothing read from it.
fn takes<P>(site: &Site<P>, intake: &mut Intake) -> bool
where
    P: Protocol,
{
    let takes = intake.accepts(site.now(), &site.view().balance.own_delay);
    let what = if takes { "accepted" } else { "closed unread" };
    Metrics::count(&site.metrics.caller_connections, what);
    takes
}

/// Whether so many connections of callers are open that each is closed after its answer instead of being kept idle.
#[derive(Debug, Default)]
struct ConnectionPressure {
    is_high: AtomicBool,
}

impl ConnectionPressure {
    fn update(&self, open: usize, most: usize) {
        let was_high = self.is_high();
        // Hysteresis: the pressure ends well below the count at which it begins, or it would change with each
        // connection.
        let is_high = open >= if was_high { most / 4 } else { most / 2 };
        self.is_high.store(is_high, Ordering::Relaxed);
        if is_high && !was_high && may_log() {
            tracing::warn!(
                open,
                most,
                "many callers: each connection is closed with its answer"
            );
        }
    }

    fn is_high(&self) -> bool {
        self.is_high.load(Ordering::Relaxed)
    }
}

/// Returns how long a process with this grace period goes on accepting connections after the signal to stop.
#[must_use]
pub fn accept_after_stop(grace: Duration) -> Duration {
    ACCEPT_AFTER_STOP.min(grace.mul_f64(ACCEPT_AFTER_STOP_SHARE))
}

async fn connection<P>(
    site: Arc<Site<P>>,
    pressure: Arc<ConnectionPressure>,
    stream: TcpStream,
    from: IpAddr,
    mut closing: watch::Receiver<bool>,
) where
    P: Protocol + Unpin,
{
    if let Err(e) = stream.set_nodelay(true) {
        tracing::debug!(error = %e, "can't set TCP_NODELAY on a caller's connection");
    }
    let limits = site.catalog.load().as_ref().map(|c| c.limits);
    let idle = limits.map_or(DEFAULT_IDLE_TIMEOUT, |l| l.idle_timeout);
    let head = limits
        .map_or(DEFAULT_HEAD_BYTES, |l| l.head_bytes)
        .max(MIN_HEAD_BYTES);
    let accepted = site.now();
    let open = Arc::new(site.connections.add(accepted));
    let used = Arc::clone(&open);
    let has_read = AtomicBool::new(false);
    let is_unframed = Arc::new(AtomicBool::new(false));
    let unframed = Arc::clone(&is_unframed);
    let service = service_fn(move |req: Request<Incoming>| {
        let (site, pressure) = (Arc::clone(&site), Arc::clone(&pressure));
        if !has_read.swap(true, Ordering::Relaxed) {
            record_first_read(&site, accepted);
        }
        unframed.store(req.version() < Version::HTTP_11, Ordering::Relaxed);
        let busy = used.begin_request(Arc::clone(&site.clock));
        async move {
            let mut res = request::handle(Arc::clone(&site), from, req).await?;
            if pressure.is_high() || is_late(&site) {
                let close = HeaderValue::from_static("close");
                res.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(res.map(|body| GuardedBody::new(body, busy)))
        }
    });
    let mut served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(head)
        .serve_connection(TokioIo::new(stream), service);
    // The guard that `wait_for` returns is dropped at once: it must not be held across the shutdown.
    let shutdown = async { drop(closing.wait_for(|c| *c).await) };
    let told_to_close = async {
        tokio::select! {
            () = shutdown => None,
            idle = open.told_to_close() => Some(idle),
        }
    };
    let ended = tokio::select! {
        ended = &mut served => ended,
        idle = told_to_close => {
            // The library doesn't close a connection before its first request.
            if idle == Some(Idle::New) {
                return;
            }
            std::pin::Pin::new(&mut served).graceful_shutdown();
            (&mut served).await
        }
    };
    // A caller that disconnects isn't worth more than a debug line; a streamed answer that breaks off is logged
    // already.
    let Err(e) = ended else { return };
    tracing::debug!(error = %e, "a caller's connection ended");
    if is_unframed.load(Ordering::Relaxed) && is_broken_answer(&e) {
        reset(served.into_parts().io.inner());
    }
}

/// Returns `true` if this VM takes hardly any new connections, so that callers with an open one should go elsewhere too.
fn is_late<P>(site: &Site<P>) -> bool
where
    P: Protocol,
{
    site.view().balance.own_delay.standing() >= CLOSES_FROM
}

/// Records how long the first request on a connection took to be read.
fn record_first_read<P>(site: &Site<P>, accepted: Instant)
where
    P: Protocol,
{
    let took = site.now().saturating_duration_since(accepted);
    site.metrics.first_read.observe(took.as_secs_f64());
}

/// Returns `true` if a caller's connection ended because the answer on it was broken off.
fn is_broken_answer(e: &hyper::Error) -> bool {
    e.source().is_some_and(<dyn Error>::is::<RelayError>)
}

/// Resets a caller's connection: an answer that ends with its connection would look complete after a close.
fn reset(stream: &TcpStream) {
    if let Err(e) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        tracing::warn!(error = %e, "a broken answer may look complete: its connection can't be reset");
    }
}

/// Answers the load balancer's readiness checks until the process ends.
pub async fn serve_readiness<P>(site: Arc<Site<P>>, listener: TcpListener)
where
    P: Protocol,
{
    let answer = move |_req| {
        let status = if site.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        let mut res = Response::new(Full::<Bytes>::default());
        *res.status_mut() = status;
        std::future::ready(res)
    };
    small_server::serve(listener, "balancer", DEFAULT_IDLE_TIMEOUT, answer).await;
}
