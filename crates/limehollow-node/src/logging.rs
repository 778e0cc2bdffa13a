//! Log lines: bounded in number, and never waited for.
//!
//! Lines go through a bounded queue to a thread that writes them; when the reader of the output is
//! slow, lines are dropped, not requests. Lines on requests also pass [`may_log`], which allows a number
//! a second and counts the rest.

use std::sync::atomic::{AtomicU64, Ordering};
use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Lines on requests that are written in a second at most: about four for each request that a VM of
/// the largest deployment takes.
pub const LINES_PER_SECOND: u64 = 150;
/// Lines that wait to be written at most.
const QUEUE: usize = 4096;

static LEFT: AtomicU64 = AtomicU64::new(LINES_PER_SECOND);
static OUT: AtomicU64 = AtomicU64::new(0);

/// Tells whether a line on a request may be written now, and counts it.
pub fn may_log() -> bool {
    let left = LEFT.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| n.checked_sub(1));
    if left.is_err() {
        OUT.fetch_add(1, Ordering::Relaxed);
    }
    left.is_ok()
}

/// Begins another second. Gives how many lines were left out in the one before.
pub fn refill() -> u64 {
    LEFT.store(LINES_PER_SECOND, Ordering::Relaxed);
    OUT.swap(0, Ordering::Relaxed)
}

/// Starts the logs of this process: a JSON object a line, on standard output.
///
/// Lines are written as long as the guard lives.
///
/// # Errors
///
/// A level that can't be read.
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
    // A second start in one process changes nothing, which is what tests need.
    let _already = subscriber.try_init();
    Ok(guard)
}
