//! One operator's view of the log.

use crate::error::{GapSnafu, NotAppendedSnafu, RefusedSnafu, Result, TimeoutSnafu};
use limehollow::fleet::Fleet;
use limehollow::id::Offset;
use limehollow::record::{Content, Record};
use limehollow::replay::Replay;
use limehollow_edge::follow::read;
use limehollow_edge::log::{HttpLog, LogService};
use limehollow_wire::record::{STREAM, encode};
use snafu::{IntoError, ResultExt};
use std::time::Duration;
use tokio::time::Instant;

const POLL: Duration = Duration::from_millis(500);

/// One operator's view of the log.
#[derive(Debug)]
pub struct Session {
    log: HttpLog,
    replay: Replay,
    deadline: Instant,
    timeout: Duration,
}

impl Session {
    /// Reads the log to its end.
    ///
    /// # Errors
    ///
    /// If the log can't be read, or what is left of it doesn't give the state.
    pub async fn open(platform: &str, timeout: Duration) -> Result<Self> {
        let log = HttpLog::new(platform)?;
        let deadline = Instant::now() + timeout;
        let mut s = Self {
            log,
            replay: Replay::default(),
            deadline,
            timeout,
        };
        s.catch_up().await?;
        Ok(s)
    }

    /// Gives the state.
    #[must_use]
    pub fn fleet(&self) -> &Fleet {
        self.replay.fleet()
    }

    async fn catch_up(&mut self) -> Result<()> {
        loop {
            let batch = read(&self.log, self.replay.next_to_read(), Duration::ZERO).await?;
            for e in batch.entries {
                self.replay.push_entry(e);
            }
            if self.replay.next_to_read() >= batch.end {
                break;
            }
        }
        if self.replay.has_gap() {
            GapSnafu.fail()
        } else {
            Ok(())
        }
    }

    /// Appends a record and says at which offset it took effect.
    ///
    /// An append whose answer was lost is looked for in the log, so that it isn't made twice.
    ///
    /// # Errors
    ///
    /// [`crate::error::Error::Refused`] if the record is void, with the reason that every reader has.
    pub async fn append(&mut self, record: &Record) -> Result<Offset> {
        let from = self.replay.next_to_read();
        let res = self.log.append(STREAM, vec![encode(record)]).await;
        let (at, lost) = match res {
            Ok(first) => (Some(Offset(first)), None),
            Err(e) => (None, Some(e)),
        };
        loop {
            let batch = read(&self.log, self.replay.next_to_read(), Duration::ZERO).await?;
            for e in batch.entries {
                let offset = e.offset;
                let same = matches!(&e.content, Content::Record(r) if r == record);
                let is_it = at.map_or(same && offset >= from, |a| a == offset);
                let applied = self.replay.push_entry(e);
                if is_it {
                    let res = applied.into_iter().find(|(o, _)| *o == offset);
                    return match res {
                        Some((_, Err(source))) => Err(RefusedSnafu { offset }.into_error(source)),
                        _ => Ok(offset),
                    };
                }
            }
            if self.replay.next_to_read() >= batch.end
                && let Some(e) = lost
            {
                return Err(e).context(NotAppendedSnafu);
            }
        }
    }

    /// Reads on until a question has an answer.
    ///
    /// # Errors
    ///
    /// [`crate::error::Error::Timeout`] if it has none in time.
    pub async fn until<F, T>(&mut self, what: &str, mut f: F) -> Result<T>
    where
        F: FnMut(&Fleet) -> Option<T>,
    {
        loop {
            if let Some(t) = f(self.fleet()) {
                return Ok(t);
            }
            if Instant::now() >= self.deadline {
                let ms = u64::try_from(self.timeout.as_millis()).unwrap_or(u64::MAX);
                return TimeoutSnafu { what, ms }.fail();
            }
            let batch = read(&self.log, self.replay.next_to_read(), POLL).await?;
            for e in batch.entries {
                self.replay.push_entry(e);
            }
        }
    }
}
