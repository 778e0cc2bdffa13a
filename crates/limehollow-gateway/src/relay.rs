//! Streams an answer to the caller event by event, and resumes it at another endpoint on failure.
//!
//! Only complete events are forwarded, so a failure in the middle of an event leaves no partial event
//! with the caller. At most one event and one network buffer are held: the next event is read after
//! the caller has received the last one (`docs/design/streams.md`).

use crate::answer::ErrorAnswer;
use crate::attempt::{AnswerHead, send_request};
use crate::dispatch::{ActiveRequest, failure_answer};
use crate::shared::Shared;
use crate::shared_admission::Slot;
use bytes::{Buf, Bytes, BytesMut};
use futures_util::Stream;
use limehollow::load::AttemptOutcome;
use limehollow::retry::RetryDecision;
use limehollow::verdict::Failure;
use smol_str::SmolStr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout_at};

/// The largest event, in bytes.
const MAX_EVENT: usize = 1 << 20;
/// How long the last event of a truncated stream has to be sent before the connection is aborted.
const FLUSH_TIME: Duration = Duration::from_millis(20);
const DONE: &[u8] = b"data: [DONE]";

/// A stream in progress.
#[derive(Debug)]
pub struct Relay {
    shared: Arc<Shared>,
    active: ActiveRequest,
    slot: Option<Slot>,
    body: reqwest::Response,
    buf: BytesMut,
    version: SmolStr,
    /// Number of tokens delivered to the caller.
    delivered: u32,
    first: Option<Instant>,
    sent_at: Instant,
    outcome_recorded: bool,
}

/// The next item of the caller's stream.
enum StreamItem {
    /// An event.
    Event(Bytes),
    /// The last event of a complete answer.
    Last(Bytes),
    /// The error event that ends a truncated stream; no `[DONE]` follows.
    Truncated(Bytes),
}

impl Relay {
    /// Creates the relay of an answer whose status and headers have arrived.
    #[must_use]
    pub fn new(
        shared: Arc<Shared>,
        active: ActiveRequest,
        slot: Slot,
        head: AnswerHead,
        version: SmolStr,
        sent_at: Instant,
    ) -> Self {
        Self {
            shared,
            active,
            slot: Some(slot),
            body: head.body,
            buf: BytesMut::new(),
            version,
            delivered: 0,
            first: None,
            sent_at,
            outcome_recorded: false,
        }
    }

    /// Returns the caller's stream. It ends with an error if the answer is incomplete.
    pub fn into_stream(self) -> impl Stream<Item = std::io::Result<Bytes>> + Send + 'static {
        futures_util::stream::unfold(StreamState::Open(Box::new(self)), |state| async move {
            match state {
                StreamState::Open(mut relay) => match relay.next().await {
                    StreamItem::Event(b) => Some((Ok(b), StreamState::Open(relay))),
                    StreamItem::Last(b) => Some((Ok(b), StreamState::Closed)),
                    StreamItem::Truncated(b) => Some((Ok(b), StreamState::Truncated(relay))),
                },
                StreamState::Truncated(relay) => {
                    relay.abort_connection().await;
                    Some((Err(std::io::Error::other("cut")), StreamState::Closed))
                }
                StreamState::Closed => None,
            }
        })
    }

    async fn next(&mut self) -> StreamItem {
        loop {
            let failure = match self.read_event().await {
                Ok(event) if event.starts_with(DONE) => return self.finish(event),
                Ok(event) => {
                    self.delivered += 1;
                    self.first.get_or_insert_with(Instant::now);
                    return StreamItem::Event(event);
                }
                Err(f) => f,
            };
            if let Err(error) = self.resume(failure).await {
                return self.truncate(&error);
            }
        }
    }

    /// Reads the next complete event.
    async fn read_event(&mut self) -> Result<Bytes, Failure> {
        loop {
            if let Some(end) = find_end(&self.buf) {
                return Ok(self.buf.split_to(end).freeze());
            }
            if self.buf.len() > MAX_EVENT {
                return Err(Failure::Broken);
            }
            let deadline = self.active.request.meta.deadline;
            match timeout_at(deadline, self.body.chunk()).await {
                Err(_) => return Err(Failure::Deadline),
                // A body that ends without `[DONE]` is truncated.
                Ok(Err(_) | Ok(None)) => return Err(Failure::Broken),
                Ok(Ok(Some(chunk))) => self.buf.extend_from_slice(chunk.chunk()),
            }
        }
    }

    /// Resumes the stream at another endpoint after the last event that was delivered.
    async fn resume(&mut self, failure: Failure) -> Result<(), ErrorAnswer> {
        let mut failure = failure;
        loop {
            if let Some(slot) = self.slot.take() {
                self.active.admission_request.failed.push(slot.key);
                slot.finish(AttemptOutcome::Failed(failure));
            }
            self.buf.clear();
            let now = Instant::now();
            let attempts = &mut self.active.attempts;
            let next = self
                .shared
                .budget()
                .after(now, attempts, failure, rand::random());
            match next {
                RetryDecision::GiveUp(verdict) => return Err(failure_answer(failure, verdict)),
                RetryDecision::Retry(pause) => sleep(pause).await,
            }
            let (slot, target) = self.active.admit(&self.shared).await?;
            if target.version != self.version {
                // The tokens of another model version don't continue this version's output.
                slot.finish(AttemptOutcome::Cancelled);
                return Err(failure_answer(failure, self.active.attempts.verdict));
            }
            self.shared.metrics.retries.inc();
            self.shared.metrics.attempts.inc();
            match send_request(&self.shared, &self.active.request, &target, self.delivered).await {
                Ok(h) if h.status.is_success() => {
                    self.shared.metrics.resumed.inc();
                    self.body = h.body;
                    self.slot = Some(slot);
                    return Ok(());
                }
                Ok(_) => failure = Failure::ServerError,
                Err(f) => failure = f,
            }
            self.slot = Some(slot);
        }
    }

    fn finish(&mut self, event: Bytes) -> StreamItem {
        self.outcome_recorded = true;
        let now = Instant::now();
        let first = self.first.unwrap_or(now);
        if let Some(slot) = self.slot.take() {
            slot.finish(AttemptOutcome::Completed {
                first: first - self.sent_at,
            });
        }
        let (subject, tokens) = (self.active.request.subject.clone(), self.delivered);
        let (to_first, rest) = (first - self.sent_at, now - first);
        self.shared
            .admission
            .with(|a| a.record_answer(&subject, to_first, rest, tokens));
        let outcome = if now <= self.active.request.meta.deadline {
            "attained"
        } else {
            "late"
        };
        self.active.record_outcome(&self.shared, outcome);
        StreamItem::Last(event)
    }

    /// Aborts the caller's connection after [`FLUSH_TIME`], in which the last event is sent.
    async fn abort_connection(&self) {
        sleep(FLUSH_TIME).await;
        if let Some(remote) = self.active.request.meta.remote {
            self.shared.connections.abort(remote);
        }
    }

    fn truncate(&mut self, error: &ErrorAnswer) -> StreamItem {
        self.outcome_recorded = true;
        self.active.record_outcome(&self.shared, "cut");
        StreamItem::Truncated(Bytes::from(format!("data: {}\n\n", error.body())))
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.outcome_recorded {
            self.active.record_outcome(&self.shared, "left");
        }
    }
}

/// The state of the caller's stream.
enum StreamState {
    Open(Box<Relay>),
    Truncated(Box<Relay>),
    Closed,
}

/// Returns the end of the first event: the index after the empty line that terminates it.
fn find_end(buf: &[u8]) -> Option<usize> {
    let lf = buf.windows(2).position(|w| w == b"\n\n").map(|i| i + 2);
    let crlf = buf.windows(4).position(|w| w == b"\r\n\r\n").map(|i| i + 4);
    match (lf, crlf) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}
