//! The memory that the bodies of all requests share: what fits, and who gives way.

use bytes::Bytes;
use limehollow_edge::request_memory::{
    MemoryBound, RequestMemory, SMALL_BODY, Upload, UploadError,
};
use std::time::Duration;
use tokio::time::Instant;

const LIMIT: usize = 1 << 20;
/// Room for three bodies of the limit, and a part for small ones.
const ALL: usize = 4 << 20;
/// Longer than an unfinished body may make no progress.
const LONG: Duration = Duration::from_secs(2);

struct Bodies {
    memory: RequestMemory,
    bound: MemoryBound,
    now: Instant,
}

impl Bodies {
    fn new() -> Self {
        Self {
            memory: RequestMemory::default(),
            bound: MemoryBound::new(ALL, LIMIT),
            now: Instant::now(),
        }
    }

    fn push(&self, u: &Upload, bytes: usize) -> Result<(), UploadError> {
        u.push(&vec![0; bytes], LIMIT, self.bound, || self.now)
    }

    /// Begins a body of so many bytes.
    fn begin(&self, bytes: usize) -> Result<Upload, UploadError> {
        let u = self.memory.begin(self.now);
        self.push(&u, bytes).map(|()| u)
    }

    fn whole(&self, bytes: usize) -> Bytes {
        let u = self.begin(bytes).expect("it fits");
        u.finish().expect("it is whole")
    }
}

#[test]
fn push_chunk_by_chunk_costs_its_bytes() {
    let b = Bodies::new();
    let u = b.memory.begin(b.now);
    for _ in 0..100_000 {
        b.push(&u, 1).expect("it fits");
    }
    assert!(b.memory.held() <= 2 * 100_000, "{}", b.memory.held());
    assert_eq!(u.finish().expect("it is whole").len(), 100_000);
    assert_eq!(b.memory.held(), 0);
}

#[test]
fn finish_keeps_memory_until_the_last_copy_is_dropped() {
    let b = Bodies::new();
    let body = b.whole(1_000);
    let copy = body.clone();
    drop(body);
    assert!(b.memory.held() >= 1_000);
    drop(copy);
    assert_eq!(b.memory.held(), 0);
    assert!(b.memory.peak() >= 1_000);
}

#[test]
fn push_beyond_the_bound_is_refused() {
    let b = Bodies::new();
    let held: Vec<Bytes> = (0..3).map(|_| b.whole(LIMIT)).collect();
    assert_eq!(b.begin(LIMIT).err(), Some(UploadError::Full));
    drop(held);
    assert!(b.begin(LIMIT).is_ok());
}

#[test]
fn push_small_beside_large_ones_fits() {
    let b = Bodies::new();
    let _held: Vec<Bytes> = (0..3).map(|_| b.whole(LIMIT)).collect();
    let small: Vec<Bytes> = (0..16).map(|_| b.whole(SMALL_BODY)).collect();
    assert_eq!(small.len(), 16);
    assert_eq!(b.begin(SMALL_BODY).err(), Some(UploadError::Full));
}

#[test]
fn push_displaces_the_largest_without_progress() {
    let mut b = Bodies::new();
    let stopped: Vec<Upload> = (0..3)
        .map(|_| b.begin(LIMIT - 1).expect("it fits"))
        .collect();
    assert_eq!(b.begin(LIMIT).err(), Some(UploadError::Full));
    b.now += LONG;
    let u = b.begin(LIMIT).expect("one gives way");
    let displaced = stopped.into_iter().filter(Upload::is_empty);
    assert_eq!(displaced.count(), 1);
    assert!(u.finish().is_ok());
}

#[test]
fn push_small_displaces_a_larger_one_at_once() {
    let b = Bodies::new();
    let _held: Vec<Bytes> = (0..2).map(|_| b.whole(LIMIT)).collect();
    let large = b.begin(LIMIT).expect("it fits");
    let small: Vec<Bytes> = (0..16).map(|_| b.whole(SMALL_BODY)).collect();
    assert!(!large.is_empty());
    assert!(b.begin(SMALL_BODY).is_ok());
    assert_eq!(small.len(), 16);
    assert_eq!(large.finish().err(), Some(UploadError::Displaced));
}

/// Guards against large bodies that have only begun displacing those that are almost whole.
#[test]
fn push_large_leaves_others_that_make_progress() {
    let b = Bodies::new();
    let uploads: Vec<Upload> = (0..3)
        .map(|_| b.begin(LIMIT - 1).expect("it fits"))
        .collect();
    assert_eq!(b.begin(2 * SMALL_BODY).err(), Some(UploadError::Full));
    assert!(uploads.into_iter().all(|u| u.finish().is_ok()));
}

/// Guards against bodies that displace each other, so that none ends.
#[test]
fn push_of_many_large_ones_lets_some_end() {
    let b = Bodies::new();
    let mut uploads: Vec<Upload> = (0..12).map(|_| b.memory.begin(b.now)).collect();
    while uploads.iter().any(|u| u.len() < LIMIT) {
        uploads.retain(|u| u.len() == LIMIT || b.push(u, LIMIT / 16).is_ok());
        assert!(!uploads.is_empty(), "none ends");
    }
    assert_eq!(uploads.len(), 3);
}

#[test]
fn end_stalled_ends_the_one_without_progress_for_longest() {
    let mut b = Bodies::new();
    let first = b.begin(3).expect("it fits");
    b.now += LONG;
    let second = b.begin(3).expect("it fits");
    assert!(b.memory.end_stalled(b.now, LONG));
    assert!(!b.memory.end_stalled(b.now, LONG));
    assert_eq!(first.finish().err(), Some(UploadError::Displaced));
    assert_eq!(second.finish().expect("it is left alone").len(), 3);
}

/// Guards against a VM that is so small that it could take no body of the limit.
#[test]
fn bound_fits_one_body_of_the_limit() {
    for limit in [1, 1_000, LIMIT, 16 << 20] {
        let memory = RequestMemory::default();
        let now = Instant::now();
        let u = memory.begin(now);
        let bound = MemoryBound::new(0, limit);
        u.push(&vec![0; limit], limit, bound, || now)
            .expect("it fits alone");
        assert_eq!(u.finish().expect("it is whole").len(), limit);
    }
}
