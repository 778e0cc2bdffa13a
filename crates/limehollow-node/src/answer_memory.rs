//! Reads the bodies of endpoints' answers into memory, within a bound for each answer and one for all answers.
//!
//! An answer of which the caller has got nothing can still be replaced by that of another endpoint, so answers that
//! aren't streams are read before they are passed on. An endpoint in trouble may send a body without end, so what exceeds
//! the bounds is left in the connection, and its reader passes it on as it comes, or gives it up. Nothing waits for
//! memory: a slow answer holds up no other (`docs/design/streams.md`).

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The least memory of an answer without a stated length, in bytes.
const MIN_GROWTH: usize = 1 << 10;

/// The memory that several answers share.
#[derive(Clone, Debug)]
pub struct AnswerMemory {
    max_each: usize,
    free: Arc<Semaphore>,
}

/// A body, as far as it was read.
#[derive(Debug)]
pub enum BodyRead<B> {
    /// All of it.
    Whole(Bytes),
    /// Its beginning; the rest doesn't fit in memory.
    Beginning(Bytes, B),
}

impl AnswerMemory {
    /// Creates a memory of `all` bytes, of which an answer gets at most `max_each`.
    #[must_use]
    pub fn new(max_each: usize, all: usize) -> Self {
        Self {
            max_each,
            free: Arc::new(Semaphore::new(all)),
        }
    }

    /// Reads a body to its end, or as far as it fits in memory.
    ///
    /// # Errors
    ///
    /// Returns the error of the body if it fails before that.
    pub async fn read<B>(&self, mut body: B) -> Result<BodyRead<B>, B::Error>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let mut held = HeldBody::default();
        let stated = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        if !self.reserve(&mut held, stated) {
            return Ok(BodyRead::Beginning(Bytes::new(), body));
        }
        while let Some(frame) = body.frame().await {
            let Ok(piece) = frame?.into_data() else {
                continue;
            };
            let fits = self.reserve(&mut held, piece.len());
            // A piece that doesn't fit is kept all the same: it is no larger than the connection's buffer.
            held.bytes.extend_from_slice(&piece);
            if !fits {
                return Ok(BodyRead::Beginning(held.into(), body));
            }
        }
        Ok(BodyRead::Whole(held.into()))
    }

    /// Makes room for more bytes. Returns `false` if they exceed a bound.
    fn reserve(&self, held: &mut HeldBody, more: usize) -> bool {
        let (len, capacity) = (held.bytes.len(), held.bytes.capacity());
        let needed = len.saturating_add(more);
        if needed > self.max_each {
            return false;
        }
        if needed <= capacity {
            return true;
        }
        let grown = needed.max(capacity * 2).max(MIN_GROWTH).min(self.max_each);
        let Ok(growth) = u32::try_from(grown - capacity) else {
            return false;
        };
        // The semaphore is never closed, so an error means that too little is free.
        let Ok(permit) = Arc::clone(&self.free).try_acquire_many_owned(growth) else {
            return false;
        };
        match &mut held.permit {
            Some(p) => p.merge(permit),
            none => *none = Some(permit),
        }
        held.bytes.reserve_exact(grown - len);
        true
    }
}

/// The beginning of a body, and its share of the memory, which is returned once its reader has dropped it.
///
/// Pieces are copied: each would keep the whole buffer into which it was read.
#[derive(Debug, Default)]
struct HeldBody {
    bytes: Vec<u8>,
    permit: Option<OwnedSemaphorePermit>,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl From<HeldBody> for Bytes {
    fn from(held: HeldBody) -> Self {
        Self::from_owner(held)
    }
}
