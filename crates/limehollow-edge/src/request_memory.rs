//! Bounds the memory of all callers' request bodies together.
//!
//! A body's share is what it occupies, not what the caller announced: an announcement would cost the caller nothing and
//! everybody else the announced bytes. Pieces are copied into one buffer, since each would keep the whole buffer into
//! which it was read. If memory is short, unfinished bodies give way, since their requests haven't run; finished ones
//! keep their share until they are dropped (`docs/design/callers.md`).

use bytes::Bytes;
use slotmap::{SlotMap, new_key_type};
use std::cmp::Reverse;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The largest body that counts as small, in bytes. Small bodies may use all of the memory.
pub const SMALL_BODY: usize = 64 << 10;
/// A body makes progress while so many bytes arrive within [`PROGRESS_TIME`].
const PROGRESS_BYTES: usize = 16 << 10;
/// The time after which an unfinished body without progress gives way to any other.
const PROGRESS_TIME: Duration = Duration::from_secs(1);
/// The share of the memory that bodies larger than [`SMALL_BODY`] may use, as a fraction.
const LARGE_SHARE: (usize, usize) = (3, 4);

new_key_type! {
    struct UploadKey;
}

/// The bound on the memory of request bodies, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryBound {
    all: usize,
    large: usize,
}

impl MemoryBound {
    /// Returns the bound for a memory of `all` bytes, raised if a single body of the size limit wouldn't fit.
    #[must_use]
    pub fn new(all: usize, body_limit: usize) -> Self {
        let (part, whole) = LARGE_SHARE;
        let all = all.max(body_limit.saturating_mul(whole) / part + whole);
        let large = all / whole * part;
        Self { all, large }
    }
}

/// The memory that the bodies of all requests share.
#[derive(Clone, Debug, Default)]
pub struct RequestMemory {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    held: Held,
    peak: usize,
    uploads: SlotMap<UploadKey, Unfinished>,
}

/// The bytes that bodies occupy.
#[derive(Clone, Copy, Debug, Default)]
struct Held {
    all: usize,
    large: usize,
}

impl Held {
    fn add(&mut self, bytes: usize) {
        self.all += bytes;
        self.large += large_part(bytes);
    }

    fn remove(&mut self, bytes: usize) {
        self.all -= bytes;
        self.large -= large_part(bytes);
    }
}

fn large_part(bytes: usize) -> usize {
    if bytes > SMALL_BODY { bytes } else { 0 }
}

/// A body that is being read.
#[derive(Debug)]
struct Unfinished {
    bytes: Vec<u8>,
    /// The length up to which it has made progress, and when it had reached that.
    progress: (usize, Instant),
    end: Arc<Notify>,
}

impl Unfinished {
    fn append<F>(&mut self, piece: &[u8], now: F)
    where
        F: FnOnce() -> Instant,
    {
        self.bytes.extend_from_slice(piece);
        if self.bytes.len() - self.progress.0 >= PROGRESS_BYTES {
            self.progress = (self.bytes.len(), now());
        }
    }

    fn without_progress(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.progress.1)
    }
}

/// Why a body can't be read on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UploadError {
    /// There is no memory for it.
    Full,
    /// It had to give way to another one.
    Displaced,
}

impl RequestMemory {
    /// Begins a body.
    #[must_use]
    pub fn begin(&self, now: Instant) -> Upload {
        let end = Arc::new(Notify::new());
        let key = self.lock().uploads.insert(Unfinished {
            bytes: Vec::new(),
            progress: (0, now),
            end: Arc::clone(&end),
        });
        Upload {
            memory: self.clone(),
            key,
            end,
        }
    }

    /// Returns the bytes that bodies occupy now.
    #[must_use]
    pub fn held(&self) -> usize {
        self.lock().held.all
    }

    /// Returns the most bytes that bodies have occupied since the process started.
    #[must_use]
    pub fn peak(&self) -> usize {
        self.lock().peak
    }

    /// Ends the unfinished body that has made no progress for longest, if that is at least `min`. Returns whether there
    /// was one.
    #[must_use]
    pub fn end_stalled(&self, now: Instant, min: Duration) -> bool {
        let mut inner = self.lock();
        let stalled = inner.uploads.iter();
        let stalled = stalled.filter(|(_, u)| u.without_progress(now) >= min);
        let longest = stalled.max_by_key(|(_, u)| u.without_progress(now));
        let Some(key) = longest.map(|(k, _)| k) else {
            return false;
        };
        inner.end(key);
        true
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // A panic while the lock was held leaves counters slightly wrong at worst.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Makes room for a body to grow to `needed` bytes, which may be up to `max`. Other bodies may have to give way.
    fn grow(
        &mut self,
        key: UploadKey,
        (needed, max): (usize, usize),
        bound: MemoryBound,
        now: Instant,
    ) -> Result<(), UploadError> {
        let capacity = self.uploads.get(key).map_or(0, |u| u.bytes.capacity());
        let doubled = needed.max(capacity.saturating_mul(2).min(max));
        let size = if self.fits(capacity, doubled, bound) {
            doubled
        } else {
            needed
        };
        while !self.fits(capacity, size, bound) {
            let Some(other) = self.gives_way(key, (capacity, size), bound, now) else {
                return Err(UploadError::Full);
            };
            self.end(other);
        }
        let Some(u) = self.uploads.get_mut(key) else {
            return Err(UploadError::Displaced);
        };
        u.bytes.reserve_exact(size - u.bytes.len());
        self.held.remove(capacity);
        self.held.add(u.bytes.capacity());
        self.peak = self.peak.max(self.held.all);
        Ok(())
    }

    fn fits(&self, capacity: usize, size: usize, bound: MemoryBound) -> bool {
        let mut held = self.held;
        held.remove(capacity);
        held.add(size);
        held.all <= bound.all && (size <= SMALL_BODY || held.large <= bound.large)
    }

    /// Returns the unfinished body that gives way to one that grows to `size` bytes: the largest one without progress, or
    /// else, to a small one, the largest. Large bodies that make progress don't displace each other, or none of them would ever end.
    fn gives_way(
        &self,
        to: UploadKey,
        (capacity, size): (usize, usize),
        bound: MemoryBound,
        now: Instant,
    ) -> Option<UploadKey> {
        // If there is room but not for large bodies, only the end of a large one helps.
        let least = if self.held.all - capacity + size <= bound.all {
            SMALL_BODY
        } else {
            0
        };
        let others = || {
            let others = self.uploads.iter().filter(|(k, _)| *k != to);
            others.filter(|(_, u)| u.bytes.capacity() > least)
        };
        let stalled = others().filter(|(_, u)| u.without_progress(now) >= PROGRESS_TIME);
        let stalled = stalled.max_by_key(|(_, u)| (u.bytes.capacity(), Reverse(u.progress.1)));
        let larger = others().filter(|(_, u)| size <= SMALL_BODY && u.bytes.capacity() > size);
        let larger = larger.max_by_key(|(_, u)| (u.bytes.capacity(), Reverse(u.progress.1)));
        stalled.or(larger).map(|(k, _)| k)
    }

    /// Ends an unfinished body and returns its memory at once.
    fn end(&mut self, key: UploadKey) {
        let Some(u) = self.uploads.remove(key) else {
            return;
        };
        self.held.remove(u.bytes.capacity());
        u.end.notify_one();
    }
}

/// A body that is being read. It returns its memory on drop.
#[derive(Debug)]
pub struct Upload {
    memory: RequestMemory,
    key: UploadKey,
    end: Arc<Notify>,
}

impl Upload {
    /// Appends a piece. The body may have up to `max` bytes. The time is read only if it matters: a body may have a million
    /// pieces.
    ///
    /// # Errors
    ///
    /// Returns why the body can't be read on.
    pub fn push<F>(
        &self,
        piece: &[u8],
        max: usize,
        bound: MemoryBound,
        now: F,
    ) -> Result<(), UploadError>
    where
        F: Fn() -> Instant,
    {
        let mut inner = self.memory.lock();
        let Some(u) = inner.uploads.get_mut(self.key) else {
            return Err(UploadError::Displaced);
        };
        let needed = u.bytes.len() + piece.len();
        if needed <= u.bytes.capacity() {
            u.append(piece, now);
            return Ok(());
        }
        inner.grow(self.key, (needed, max), bound, now())?;
        if let Some(u) = inner.uploads.get_mut(self.key) {
            u.append(piece, now);
        }
        Ok(())
    }

    /// Returns the number of bytes read.
    #[must_use]
    pub fn len(&self) -> usize {
        let inner = self.memory.lock();
        inner.uploads.get(self.key).map_or(0, |u| u.bytes.len())
    }

    /// Returns `true` if nothing was read yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Waits until the body has to give way.
    pub async fn displaced(&self) {
        self.end.notified().await;
    }

    /// Ends the body, which keeps its memory until the last copy of it is dropped.
    ///
    /// # Errors
    ///
    /// Returns [`UploadError::Displaced`] if it had to give way.
    pub fn finish(self) -> Result<Bytes, UploadError> {
        let finished = self.memory.lock().uploads.remove(self.key);
        let Some(u) = finished else {
            return Err(UploadError::Displaced);
        };
        if u.bytes.is_empty() {
            return Ok(Bytes::new());
        }
        Ok(Bytes::from_owner(FinishedBody {
            memory: self.memory.clone(),
            bytes: u.bytes,
        }))
    }
}

impl Drop for Upload {
    fn drop(&mut self) {
        self.memory.lock().end(self.key);
    }
}

/// A whole body, which returns its memory on drop.
#[derive(Debug)]
struct FinishedBody {
    memory: RequestMemory,
    bytes: Vec<u8>,
}

impl AsRef<[u8]> for FinishedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for FinishedBody {
    fn drop(&mut self) {
        self.memory.lock().held.remove(self.bytes.capacity());
    }
}
