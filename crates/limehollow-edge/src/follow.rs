//! Reads the control stream of the log.

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

/// The most records in one read.
pub const READ_LIMIT: u32 = 512;
const LONG_POLL: Duration = Duration::from_secs(2);
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// A part of the log.
#[derive(Debug)]
pub struct Batch {
    /// When the read began: all that was appended before then and below `end` is in or before it.
    pub began: Instant,
    /// The offset that the next append will get.
    pub end: Offset,
    /// The entries.
    pub entries: Vec<Entry>,
}

/// Reads entries of the control stream from an offset on.
///
/// # Errors
///
/// If the log can't be reached or refuses.
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

/// Reads the control stream for ever and passes on each batch, or nothing for a failed read.
///
/// Ends when nobody takes the batches any more.
pub async fn tail<L>(log: L, mut from: Offset, tx: mpsc::Sender<Option<Batch>>)
where
    L: LogService,
{
    let mut pause = FIRST_PAUSE;
    // Until the end was reached there is nothing to wait for, and a process that starts waits for this.
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
            sleep(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        } else {
            pause = FIRST_PAUSE;
        }
    }
}

/// Turns a record of the log into an entry. Text that is no record counts as unknown: one bad append
/// must not stop every reader.
#[must_use]
pub fn entry(r: &LogRecord) -> Entry {
    let content = decode(&r.data).unwrap_or(Content::Unknown);
    Entry {
        offset: Offset(r.offset),
        at: LogTime(r.at_ms),
        content,
    }
}

/// Reads the text of a snapshot that a peer gave.
///
/// # Errors
///
/// [`crate::Error::Codec`] if it is none.
pub fn snapshot(text: &str) -> Result<Option<(Offset, limehollow::fleet::Fleet)>> {
    match decode(text).context(CodecSnafu { what: "snapshot" })? {
        Content::Snapshot { next, fleet } => Ok(Some((next, *fleet))),
        _ => Ok(None),
    }
}
