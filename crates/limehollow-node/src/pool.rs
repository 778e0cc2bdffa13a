//! Connections to endpoints: one request at a time on each, kept as long as the endpoint keeps them.

use crate::clock::Clock;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
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

/// How long a new connection may take: some dozen times the way there and back within a region, and half of the tightest
/// objective, so that a second endpoint can still answer in time.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// After how long unacknowledged bytes mean that the way is cut: well above a lost packet's
/// retransmission, well below what callers wait.
const USER_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long a connection without traffic goes unprobed, and the time between probes. Two probes without
/// an answer end it.
const PROBE_EVERY: Duration = Duration::from_secs(1);
const PROBES: u32 = 2;
/// How long a connection is kept when the endpoint doesn't say.
const DEFAULT_KEEP: Duration = Duration::from_secs(3);
/// How much before the endpoint's own time a connection is given up, so that no request crosses the
/// endpoint's close.
const KEEP_MARGIN: Duration = Duration::from_millis(700);

/// The most bytes of a refusal's body that are read to keep its connection.
const MAX_REST: usize = 4096;

/// Why there is no connection.
#[derive(Debug, Snafu)]
pub enum ConnectError {
    /// The endpoint refused, or can't be reached.
    #[snafu(display("{source}"))]
    Io {
        /// What the system said.
        source: io::Error,
    },
    /// It did not answer in time.
    #[snafu(display("no answer within {} ms", CONNECT_TIMEOUT.as_millis()))]
    Silent,
    /// The HTTP library refused.
    #[snafu(display("{source}"))]
    Http {
        /// What it said.
        source: hyper::Error,
    },
}

/// A connection that serves one request.
#[derive(Debug)]
pub struct Connection {
    key: EndpointKey,
    /// Where requests go in.
    pub sender: SendRequest<Full<Bytes>>,
    keep: Duration,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
}

/// The connections at rest.
#[derive(Clone, Debug)]
pub struct Pool {
    clock: Arc<Clock>,
    idle: Arc<Mutex<HashMap<EndpointKey, Vec<Idle>>>>,
}

impl Connection {
    /// Notes how long the endpoint keeps the connection open, by its answer; zero if it closes it.
    pub fn set_keep_alive(&mut self, keep: Option<Duration>) {
        self.keep = keep.unwrap_or(DEFAULT_KEEP).saturating_sub(KEEP_MARGIN);
    }
}

impl Pool {
    /// Makes a pool that has no connection, and reckons by this clock how long they rest.
    #[must_use]
    pub fn new(clock: Arc<Clock>) -> Self {
        Self {
            clock,
            idle: Arc::default(),
        }
    }

    /// Takes the connection that was used last, or none.
    #[must_use]
    pub fn take(&self, key: EndpointKey) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = self.lock();
        let found = idle.get_mut(&key)?;
        while let Some(i) = found.pop() {
            let fresh = now.duration_since(i.since) < i.connection.keep;
            if fresh && i.connection.sender.is_ready() {
                return Some(i.connection);
            }
        }
        None
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// [`ConnectError`]; no byte of a request has left.
    pub async fn open(
        &self,
        key: EndpointKey,
        address: SocketAddr,
    ) -> Result<Connection, ConnectError> {
        let Ok(connected) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await else {
            return SilentSnafu.fail();
        };
        let stream = connected.context(IoSnafu)?;
        tune(&stream).context(IoSnafu)?;
        let (sender, driver) = http1::handshake(TokioIo::new(ResetOnDrop(stream)))
            .await
            .context(HttpSnafu)?;
        tokio::spawn(async move {
            // What ends the connection shows at the request that it serves; at rest it is of no matter.
            if let Err(e) = driver.await {
                tracing::debug!(%address, error = %e, "connection to an endpoint ended");
            }
        });
        let keep = DEFAULT_KEEP.saturating_sub(KEEP_MARGIN);
        Ok(Connection { key, sender, keep })
    }

    /// Puts a connection back once it can take another request.
    pub async fn put(&self, mut c: Connection) {
        if c.keep.is_zero() || c.sender.ready().await.is_err() {
            return;
        }
        let since = self.clock.now();
        let mut idle = self.lock();
        idle.entry(c.key).or_default().push(Idle {
            connection: c,
            since,
        });
    }

    /// Puts a connection back in a task of its own, once the rest of an answer that nobody needs is read.
    pub fn put_in_background(&self, c: Connection, rest: Option<Incoming>) {
        let pool = self.clone();
        tokio::spawn(async move {
            let limited = rest.map(|b| Limited::new(b, MAX_REST));
            if let Some(rest) = limited
                && rest.collect().await.is_err()
            {
                return;
            }
            pool.put(c).await;
        });
    }

    /// Closes what has rested too long, and all connections of endpoints that are gone.
    pub fn sweep<F>(&self, is_there: F)
    where
        F: Fn(EndpointKey) -> bool,
    {
        let now = self.clock.now();
        let mut idle = self.lock();
        for found in idle.values_mut() {
            found.retain(|i| {
                let fresh = now.duration_since(i.since) < i.connection.keep;
                fresh && !i.connection.sender.is_closed()
            });
        }
        idle.retain(|k, found| !found.is_empty() && is_there(*k));
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<EndpointKey, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A stream that isn't closed in order but reset when it is dropped ([`tune`] has it so): a close would
/// have the system send on what it still holds.
struct ResetOnDrop(TcpStream);

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

/// Makes a cut connection show within seconds, and drops what a cut holds up when it is given up: a
/// request, or an order, that was given up must not arrive after the cut.
fn tune(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_linger(Some(Duration::ZERO))?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_EVERY)
        .with_interval(PROBE_EVERY)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)
}
