//! Log output: limited in rate, and never blocking.
//!
//! Lines go through a bounded queue to a thread that writes them. When the reader of the output is slow,
//! lines are dropped and requests aren't delayed. Lines on requests also pass [`may_log`], which allows a
//! number per second and counts the rest.

use std::sync::atomic::{AtomicU64, Ordering};
use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// The largest number of lines on requests per second: about four for each request that a VM of the largest
/// deployment serves.
pub const LINES_PER_SECOND: u64 = 150;
/// The largest number of lines that wait to be written.
const QUEUE: usize = 4096;

static LEFT: AtomicU64 = AtomicU64::new(LINES_PER_SECOND);
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Returns `true` if a line on a request may be written now, and counts it.
pub fn may_log() -> bool {
    let left = LEFT.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| n.checked_sub(1));
    if left.is_err() {
        DROPPED.fetch_add(1, Ordering::Relaxed);
    }
    left.is_ok()
}

/// Starts another second. Returns the number of lines that were dropped in the previous one.
pub fn refill() -> u64 {
    LEFT.store(LINES_PER_SECOND, Ordering::Relaxed);
    DROPPED.swap(0, Ordering::Relaxed)
}

/// Starts the log of this process: one JSON object per line on standard output.
///
/// Lines are written as long as the guard lives.
///
/// # Errors
///
/// If the level can't be parsed.
pub fn start(level: &str) -> Result<WorkerGuard, String> {
    let filter = EnvFilter::try_new(format!("poem=warn,{level}")).map_err(|e| e.to_string())?;
    let (writer, guard): (NonBlocking, WorkerGuard) = NonBlockingBuilder::default()
        .buffered_lines_limit(QUEUE)
        .lossy(true)
        .finish(std::io::stdout());
    let subscriber = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_env_filter(filter)
        .with_writer(writer);
    // A second call in one process changes nothing, as tests need it.
    let _already_started = subscriber.try_init();
    Ok(guard)
}
