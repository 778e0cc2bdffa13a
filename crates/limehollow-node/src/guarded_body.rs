//! A body that keeps something until it ends.

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};

/// A body, and a guard that is dropped with it.
pub(crate) struct GuardedBody<B, G> {
    body: B,
    _guard: G,
}

impl<B, G> GuardedBody<B, G> {
    pub(crate) fn new(body: B, guard: G) -> Self {
        Self {
            body,
            _guard: guard,
        }
    }
}

impl<B, G> Body for GuardedBody<B, G>
where
    B: Body<Data = Bytes> + Unpin,
    G: Unpin,
{
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
