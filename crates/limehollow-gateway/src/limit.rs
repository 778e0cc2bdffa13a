//! Counts the connections of callers and bounds them.

use poem::http::uri::Scheme;
use poem::listener::Acceptor;
use poem::web::{LocalAddr, RemoteAddr};
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::sleep;

/// How many connections above the limit are opened to be told so; further ones wait unopened.
const ABOVE: usize = 64;
const PAUSE: Duration = Duration::from_millis(5);

/// An acceptor that counts.
#[derive(Debug)]
pub struct Limited<A> {
    inner: A,
    open: Arc<AtomicUsize>,
    limit: usize,
}

impl<A> Limited<A> {
    /// Bounds an acceptor; the count is shown in `open`.
    #[must_use]
    pub fn new(inner: A, open: Arc<AtomicUsize>, limit: usize) -> Self {
        Self { inner, open, limit }
    }
}

impl<A> Acceptor for Limited<A>
where
    A: Acceptor,
{
    type Io = Counted<A::Io>;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.inner.local_addr()
    }

    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, Scheme)> {
        while self.open.load(Ordering::Relaxed) >= self.limit + ABOVE {
            sleep(PAUSE).await;
        }
        let (io, local, remote, scheme) = self.inner.accept().await?;
        self.open.fetch_add(1, Ordering::Relaxed);
        Ok((
            Counted {
                io,
                open: Arc::clone(&self.open),
            },
            local,
            remote,
            scheme,
        ))
    }
}

/// A connection that counts itself out when it closes.
#[derive(Debug)]
pub struct Counted<T> {
    io: T,
    open: Arc<AtomicUsize>,
}

impl<T> Drop for Counted<T> {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl<T> AsyncRead for Counted<T>
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

impl<T> AsyncWrite for Counted<T>
where
    T: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
