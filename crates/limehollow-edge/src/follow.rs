//! Reads the control stream of the platform's log.

use crate::error::{CodecSnafu, Result};
use crate::log::LogService;
use limehollow::id::{LogTime, Offset};
use limehollow::record::{Content, Entry};
use limehollow_wire::platform::{LogRecord, Records};
use limehollow_wire::record::{STREAM, decode};
use snafu::ResultExt;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

/// The maximum number of records in one read.
pub const READ_LIMIT: u32 = 512;
const LONG_POLL: Duration = Duration::from_secs(2);
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// A batch of consecutive log entries.
#[derive(Debug)]
pub struct Batch {
    /// When the read began. If the batch reaches `end`, it and the batches before it contain every record
    /// that was appended before this time.
    pub began: Instant,
    /// The offset of the next record to be appended.
    pub end: Offset,
    /// The entries, in the order of their offsets.
    pub entries: Vec<Entry>,
}

/// Reads entries of the control stream, starting at offset `from`.
///
/// # Errors
///
/// Returns an error if the log can't be reached or rejects the request.
pub async fn read<L>(log: &L, from: Offset, wait: Duration) -> Result<Batch>
where
    L: LogService,
{
    let began = Instant::now();
    let records: Records = log.read(STREAM, from.0, READ_LIMIT, wait).await?;
    let entries = records.records.iter().map(entry).collect();
    Ok(Batch {
        began,
        end: Offset(records.next),
        entries,
    })
}

/// Reads the control stream in a loop and sends each batch to `tx`, or `None` for a failed read.
///
/// Returns when the receiver is dropped.
pub async fn tail<L>(log: L, mut from: Offset, tx: mpsc::Sender<Option<Batch>>)
where
    L: LogService,
{
    let mut retry_delay = MIN_RETRY_DELAY;
    // Long polling starts only at the end of the log: until then every read has records to return, and a
    // starting process waits for them.
    let mut wait = Duration::ZERO;
    loop {
        let batch = read(&log, from, wait).await.ok();
        let failed = batch.is_none();
        if let Some(last) = batch.as_ref().and_then(|b| b.entries.last()) {
            from = last.offset.next();
        }
        let at_end = batch.as_ref().is_some_and(|b| from >= b.end);
        wait = if at_end { LONG_POLL } else { Duration::ZERO };
        if tx.send(batch).await.is_err() {
            return;
        }
        if failed {
            sleep(retry_delay).await;
            retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
        } else {
            retry_delay = MIN_RETRY_DELAY;
        }
    }
}

/// Converts a record of the log into an entry. Text that can't be decoded becomes
/// [`Content::Unknown`], as one malformed append must not stop all readers.
#[must_use]
pub fn entry(r: &LogRecord) -> Entry {
    let content = decode(&r.data).unwrap_or(Content::Unknown);
    Entry {
        offset: Offset(r.offset),
        at: LogTime(r.at_ms),
        content,
    }
}

/// Decodes the text of a snapshot that a peer sent. Returns `None` if the text is a record of another
/// kind.
///
/// # Errors
///
/// Returns [`crate::Error::Codec`] if the text can't be decoded.
pub fn snapshot(text: &str) -> Result<Option<(Offset, limehollow::fleet::Fleet)>> {
    match decode(text).context(CodecSnafu { what: "snapshot" })? {
        Content::Snapshot { next, fleet } => Ok(Some((next, *fleet))),
        _ => Ok(None),
    }
}
