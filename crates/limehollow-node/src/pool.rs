//! A pool of connections to endpoints. Each carries one request at a time and is kept as long as the endpoint keeps it
//! open.

use crate::clock::Clock;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use limehollow::id::EndpointKey;
use snafu::{ResultExt, Snafu};
use socket2::{SockRef, TcpKeepalive};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// The timeout for opening a connection: some dozen round trips within a region, and half of the shortest objective, so
/// that a second endpoint can still answer in time.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// How long bytes may stay unacknowledged before the connection is considered cut: well above the retransmission of a
/// lost packet, well below callers' timeouts.
const USER_TIMEOUT: Duration = Duration::from_millis(1500);
/// The idle time before the first keep-alive probe, and the interval between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// The number of unanswered probes that end a connection.
const PROBES: u32 = 2;
/// The keep-alive timeout of an endpoint that doesn't state one.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(3);
/// How long before the endpoint's keep-alive timeout a connection is dropped, so that no request is sent while the
/// endpoint closes the connection.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);

/// The maximum size of a connection's read buffer, in bytes, and so of the head of an answer: several times that of callers'
/// requests. Hundreds of connections may have it full at once.
pub(crate) const MAX_READ_BUFFER: usize = 64 << 10;

/// The maximum size of a refusal's body that is drained to reuse its connection, in bytes.
const MAX_DRAIN_BYTES: u64 = 4096;
/// The maximum time for that: as long as a cut connection takes to fail by itself, so that lost packets close no sound one.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(3);

/// Why a connection can't be opened.
#[derive(Debug, Snafu)]
pub enum ConnectError {
    /// The endpoint refused the connection or can't be reached.
    #[snafu(display("{source}"))]
    Io {
        /// The I/O error.
        source: io::Error,
    },
    /// The connection was not established in time.
    #[snafu(display("no answer within {} ms", CONNECT_TIMEOUT.as_millis()))]
    Silent,
    /// The HTTP handshake failed.
    #[snafu(display("{source}"))]
    Http {
        /// The error of hyper.
        source: hyper::Error,
    },
}

/// A connection to an endpoint that carries one request at a time.
#[derive(Debug)]
pub struct Connection {
    key: EndpointKey,
    /// The sender of requests on this connection.
    pub sender: SendRequest<Full<Bytes>>,
    keep_alive: Duration,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
}

/// The idle connections.
#[derive(Clone, Debug)]
pub struct Pool {
    clock: Arc<Clock>,
    idle: Arc<Mutex<HashMap<EndpointKey, Vec<Idle>>>>,
}

impl Connection {
    /// Sets how long the endpoint keeps the connection open, by its answer: zero if it closes the connection, `None` if
    /// the answer doesn't say.
    pub fn set_keep_alive(&mut self, timeout: Option<Duration>) {
        self.keep_alive = timeout
            .unwrap_or(DEFAULT_KEEP_ALIVE)
            .saturating_sub(KEEP_ALIVE_MARGIN);
    }
}

impl Pool {
    /// Creates an empty pool, which measures idle times by this clock.
    #[must_use]
    pub fn new(clock: Arc<Clock>) -> Self {
        Self {
            clock,
            idle: Arc::default(),
        }
    }

    /// Takes the most recently used connection to an endpoint that is still usable, if any.
    #[must_use]
    pub fn take(&self, key: EndpointKey) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = self.lock();
        let found = idle.get_mut(&key)?;
        while let Some(i) = found.pop() {
            let fresh = now.duration_since(i.since) < i.connection.keep_alive;
            if fresh && i.connection.sender.is_ready() {
                return Some(i.connection);
            }
        }
        None
    }

    /// Returns `true` if there is an idle connection to an endpoint that is still usable.
    #[must_use]
    pub fn has(&self, key: EndpointKey) -> bool {
        let now = self.clock.now();
        let idle = self.lock();
        let found = idle.get(&key).into_iter().flatten();
        let is_usable = |i: &Idle| {
            let fresh = now.duration_since(i.since) < i.connection.keep_alive;
            fresh && i.connection.sender.is_ready()
        };
        found.into_iter().any(is_usable)
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns a [`ConnectError`]; no byte of a request has been sent then.
    pub async fn open(
        &self,
        key: EndpointKey,
        address: SocketAddr,
    ) -> Result<Connection, ConnectError> {
        let Ok(connected) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await else {
            return SilentSnafu.fail();
        };
        let stream = connected.context(IoSnafu)?;
        let stream = ResetOnDrop::new(stream).context(IoSnafu)?;
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(MAX_READ_BUFFER)
            .handshake(TokioIo::new(stream))
            .await
            .context(HttpSnafu)?;
        tokio::spawn(async move {
            // An error of the connection also fails the request that it carries, if any; on an idle connection it is
            // harmless.
            if let Err(e) = driver.await {
                tracing::debug!(%address, error = %e, "connection to an endpoint ended");
            }
        });
        let keep_alive = DEFAULT_KEEP_ALIVE.saturating_sub(KEEP_ALIVE_MARGIN);
        Ok(Connection {
            key,
            sender,
            keep_alive,
        })
    }

    /// Returns a connection to the pool once it can carry another request.
    pub async fn put(&self, mut c: Connection) {
        if c.keep_alive.is_zero() || c.sender.ready().await.is_err() {
            return;
        }
        let since = self.clock.now();
        let mut idle = self.lock();
        idle.entry(c.key).or_default().push(Idle {
            connection: c,
            since,
        });
    }

    /// Returns a connection to the pool from a task of its own, after draining the rest of an answer that isn't needed.
    pub fn put_in_background(&self, c: Connection, rest: Option<Incoming>) {
        let pool = self.clone();
        tokio::spawn(async move {
            let is_drained = match rest {
                // Most refusals have no body, and need no timer.
                Some(body) if !body.is_end_stream() => {
                    matches!(timeout(DRAIN_TIMEOUT, is_short(body)).await, Ok(true))
                }
                Some(_) | None => true,
            };
            if is_drained {
                pool.put(c).await;
            }
        });
    }

    /// Closes connections that were idle for too long, and all connections to endpoints that are gone.
    pub fn sweep<F>(&self, is_listed: F)
    where
        F: Fn(EndpointKey) -> bool,
    {
        let now = self.clock.now();
        let mut idle = self.lock();
        for found in idle.values_mut() {
            found.retain(|i| {
                let fresh = now.duration_since(i.since) < i.connection.keep_alive;
                fresh && !i.connection.sender.is_closed()
            });
        }
        idle.retain(|k, found| !found.is_empty() && is_listed(*k));
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<EndpointKey, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reads a body, and returns `true` if it ends in order within [`MAX_DRAIN_BYTES`].
async fn is_short(mut body: Incoming) -> bool {
    let mut left = MAX_DRAIN_BYTES;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return false };
        let bytes = frame.data_ref().map_or(0, Bytes::len) as u64;
        let Some(rest) = left.checked_sub(bytes) else {
            return false;
        };
        left = rest;
    }
    true
}

/// A stream that is reset when it is dropped, instead of being closed in order ([`set_options`] sets the linger time to
/// zero): after a close the system would still send the bytes that it has buffered.
pub(crate) struct ResetOnDrop(TcpStream);

impl ResetOnDrop {
    /// Wraps a connection and sets its options.
    ///
    /// # Errors
    ///
    /// Returns the error of an option that can't be set.
    pub(crate) fn new(stream: TcpStream) -> io::Result<Self> {
        set_options(&stream)?;
        Ok(Self(stream))
    }
}

impl AsyncRead for ResetOnDrop {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_read(cx, buf)
    }
}

impl AsyncWrite for ResetOnDrop {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.is_write_vectored()
    }
}

/// Sets socket options so that a cut connection is detected within seconds, and so that bytes held up by a cut are
/// dropped with the connection: a request or an order that was given up must not arrive once the cut is over.
fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_linger(Some(Duration::ZERO))?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)
}
