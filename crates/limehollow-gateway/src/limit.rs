//! Counts the connections of callers and limits their number.

use poem::http::uri::Scheme;
use poem::listener::Acceptor;
use poem::web::{LocalAddr, RemoteAddr};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::sleep;

/// How many connections above the limit are accepted in order to be rejected with an answer; further
/// ones are not accepted until a connection closes.
const MAX_REJECTED_CONNECTIONS: usize = 64;
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// The open connections of callers.
#[derive(Debug, Default)]
pub struct Connections {
    open: AtomicUsize,
    abort_flags: Mutex<HashMap<SocketAddr, Arc<AtomicBool>>>,
}

impl Connections {
    /// Returns the number of open connections.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Aborts a caller's connection: no further bytes are written.
    ///
    /// The HTTP library terminates a chunked body properly even if the body fails, so that a
    /// truncated answer would look complete.
    pub fn abort(&self, caller: SocketAddr) {
        if let Some(flag) = self.lock().get(&caller) {
            flag.store(true, Ordering::Relaxed);
        }
    }

    fn opened(&self, caller: Option<SocketAddr>) -> Arc<AtomicBool> {
        self.open.fetch_add(1, Ordering::Relaxed);
        let flag = Arc::new(AtomicBool::new(false));
        if let Some(c) = caller {
            self.lock().insert(c, Arc::clone(&flag));
        }
        flag
    }

    fn closed(&self, caller: Option<SocketAddr>) {
        self.open.fetch_sub(1, Ordering::Relaxed);
        if let Some(c) = caller {
            self.lock().remove(&c);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<AtomicBool>>> {
        self.abort_flags
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// An acceptor that counts connections and pauses accepting above a limit.
#[derive(Debug)]
pub struct LimitedAcceptor<A> {
    inner: A,
    connections: Arc<Connections>,
    limit: usize,
}

impl<A> LimitedAcceptor<A> {
    /// Wraps an acceptor with a connection limit.
    #[must_use]
    pub fn new(inner: A, connections: Arc<Connections>, limit: usize) -> Self {
        Self {
            inner,
            connections,
            limit,
        }
    }
}

impl<A> Acceptor for LimitedAcceptor<A>
where
    A: Acceptor,
{
    type Io = CountedConnection<A::Io>;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.inner.local_addr()
    }

    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, Scheme)> {
        while self.connections.open() >= self.limit + MAX_REJECTED_CONNECTIONS {
            sleep(ACCEPT_RETRY_INTERVAL).await;
        }
        let (io, local, remote, scheme) = self.inner.accept().await?;
        let caller = remote.as_socket_addr().copied();
        let aborted = self.connections.opened(caller);
        let connections = Arc::clone(&self.connections);
        Ok((
            CountedConnection {
                io,
                caller,
                aborted,
                connections,
            },
            local,
            remote,
            scheme,
        ))
    }
}

/// A connection that is removed from the count on drop, and that can be aborted.
#[derive(Debug)]
pub struct CountedConnection<T> {
    io: T,
    caller: Option<SocketAddr>,
    aborted: Arc<AtomicBool>,
    connections: Arc<Connections>,
}

impl<T> CountedConnection<T> {
    fn check(&self) -> io::Result<()> {
        if self.aborted.load(Ordering::Relaxed) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }
}

impl<T> Drop for CountedConnection<T> {
    fn drop(&mut self) {
        self.connections.closed(self.caller);
    }
}

impl<T> AsyncRead for CountedConnection<T>
where
    T: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl<T> AsyncWrite for CountedConnection<T>
where
    T: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check()?;
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.check()?;
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
