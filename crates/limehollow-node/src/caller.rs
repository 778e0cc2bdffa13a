//! Callers' connections, the answer to the balancer's question, and how the process ends.

use crate::edge::Protocol;
use crate::logging::may_log;
use crate::request;
use crate::site::Site;
use crate::small_server::{self, ACCEPT_PAUSE};
use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::{Response, StatusCode};
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// How long a caller's connection may be at rest as long as no configuration says it.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);
/// The least that the HTTP library takes as the bound of a head.
const MIN_HEAD: usize = 8192;
/// The bound of a head as long as no configuration says it.
const DEFAULT_HEAD: usize = 16 << 10;
/// How long a process that was told to end goes on taking connections: the balancer asks every second
/// and turns away after two misses. Requests that come later can't be sure to end in the grace.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(2800);
/// The part of a short grace that this takes at most: what was taken last has to end in the rest.
const ACCEPT_AFTER_STOP_SHARE: f64 = 0.35;
/// How much before the end of the grace what is left is cut, so that the process ends by itself.
const CUT_BEFORE: Duration = Duration::from_millis(300);

/// Serves callers until the process is told to end and what it has is done.
pub async fn serve<P>(site: Arc<Site<P>>, listener: TcpListener, mut stop: watch::Receiver<bool>)
where
    P: Protocol + Unpin,
{
    let grace = Duration::from_millis(site.settings.load().grace_ms);
    let accept_after_stop = accept_after_stop(grace);
    let (closing_tx, closing) = watch::channel(false);
    let mut connections = JoinSet::new();
    let crowd = Arc::new(Crowd::default());
    let stopped = async move {
        // The sender lives as long as the process.
        drop(stop.wait_for(|s| *s).await);
        sleep(accept_after_stop).await;
    };
    tokio::pin!(stopped);
    loop {
        let most = site.settings.load().max_caller_connections();
        crowd.note(connections.len(), most);
        tokio::select! {
            () = &mut stopped => break,
            accepted = listener.accept(), if connections.len() < most => match accepted {
                Ok((stream, from)) => {
                    let (site, crowd) = (Arc::clone(&site), Arc::clone(&crowd));
                    connections.spawn(connection(site, crowd, stream, from.ip(), closing.clone()));
                }
                Err(e) => {
                    tracing::warn!(error = %e, "a connection could not be accepted");
                    sleep(ACCEPT_PAUSE).await;
                }
            },
            Some(_ended) = connections.join_next() => {}
        }
    }
    drop(listener);
    let _nobody = closing_tx.send(true);
    let end = site.now() + grace.saturating_sub(accept_after_stop + CUT_BEFORE);
    while let Ok(Some(_ended)) = site.clock.timeout_at(end, connections.join_next()).await {}
    tracing::info!(left = connections.len(), "callers served");
}

/// Whether so many callers have connections open that those at rest are better closed.
#[derive(Debug, Default)]
struct Crowd {
    is_large: AtomicBool,
}

impl Crowd {
    fn note(&self, open: usize, most: usize) {
        let was_large = self.is_large();
        // It ends well below where it begins, or it would change with each connection.
        let is_large = open >= if was_large { most / 4 } else { most / 2 };
        self.is_large.store(is_large, Ordering::Relaxed);
        if is_large && !was_large && may_log() {
            tracing::warn!(
                open,
                most,
                "many callers: each connection is closed with its answer"
            );
        }
    }

    fn is_large(&self) -> bool {
        self.is_large.load(Ordering::Relaxed)
    }
}

/// Gives how long a process with this grace goes on taking connections after it was told to end.
#[must_use]
pub fn accept_after_stop(grace: Duration) -> Duration {
    ACCEPT_AFTER_STOP.min(grace.mul_f64(ACCEPT_AFTER_STOP_SHARE))
}

async fn connection<P>(
    site: Arc<Site<P>>,
    crowd: Arc<Crowd>,
    stream: TcpStream,
    from: IpAddr,
    mut closing: watch::Receiver<bool>,
) where
    P: Protocol + Unpin,
{
    if let Err(e) = stream.set_nodelay(true) {
        tracing::debug!(error = %e, "a caller's connection can't be tuned");
    }
    let limits = site.catalog.load().as_ref().map(|c| c.limits);
    let idle = limits.map_or(DEFAULT_IDLE, |l| l.idle_timeout);
    let head = limits.map_or(DEFAULT_HEAD, |l| l.head_bytes).max(MIN_HEAD);
    let service = service_fn(move |req| {
        let (site, crowd) = (Arc::clone(&site), Arc::clone(&crowd));
        async move {
            let mut res = request::handle(site, from, req).await?;
            if crowd.is_large() {
                let close = HeaderValue::from_static("close");
                res.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(res)
        }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(head)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(served);
    // The guard that the wait gives isn't held over what follows.
    let told = async { drop(closing.wait_for(|c| *c).await) };
    let ended = tokio::select! {
        ended = &mut served => ended,
        () = told => {
            served.as_mut().graceful_shutdown();
            served.await
        }
    };
    // A caller that leaves is no event; a streamed answer that breaks off has its line already.
    if let Err(e) = ended {
        tracing::debug!(error = %e, "a caller's connection ended");
    }
}

/// Answers the balancer's question until the process ends.
pub async fn serve_readiness<P>(site: Arc<Site<P>>, listener: TcpListener)
where
    P: Protocol,
{
    let answer = move |_path: &str| {
        let status = if site.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        let mut res = Response::new(Full::<Bytes>::default());
        *res.status_mut() = status;
        res
    };
    small_server::serve(listener, "balancer", DEFAULT_IDLE, answer).await;
}
