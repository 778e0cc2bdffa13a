//! Streams an answer to the caller, event by event, and goes on elsewhere when an endpoint breaks.
//!
//! Only whole events are passed on, so a break in the middle of one leaves nothing half-said. At
//! most one event and one network buffer are held: the next is read when the caller took the last
//! (`docs/design/streams.md`).

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
/// How long the last event of a cut stream has to leave before the connection is broken off.
const FLUSH_TIME: Duration = Duration::from_millis(20);
const DONE: &[u8] = b"data: [DONE]";

/// A stream under way.
#[derive(Debug)]
pub struct Relay {
    shared: Arc<Shared>,
    active: ActiveRequest,
    slot: Option<Slot>,
    body: reqwest::Response,
    buf: BytesMut,
    version: SmolStr,
    /// Tokens that the caller was given.
    delivered: u32,
    first: Option<Instant>,
    sent_at: Instant,
    outcome_recorded: bool,
}

/// What follows in the caller's stream.
enum StreamItem {
    /// An event.
    Event(Bytes),
    /// The last event of a whole answer.
    Last(Bytes),
    /// The stream is cut; this says so, and no `[DONE]` follows.
    Cut(Bytes),
}

impl Relay {
    /// Starts to relay an answer whose head has come.
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

    /// Gives the caller's stream. It ends with an error, not cleanly, if the answer isn't whole.
    pub fn into_stream(self) -> impl Stream<Item = std::io::Result<Bytes>> + Send + 'static {
        futures_util::stream::unfold(State::Open(Box::new(self)), |state| async move {
            match state {
                State::Open(mut relay) => match relay.next().await {
                    StreamItem::Event(b) => Some((Ok(b), State::Open(relay))),
                    StreamItem::Last(b) => Some((Ok(b), State::Closed)),
                    StreamItem::Cut(b) => Some((Ok(b), State::Cut(relay))),
                },
                State::Cut(relay) => {
                    relay.abort_connection().await;
                    Some((Err(std::io::Error::other("cut")), State::Closed))
                }
                State::Closed => None,
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
                return self.cut(&error);
            }
        }
    }

    /// Reads the next whole event.
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
                // The end without `[DONE]` isn't the end of an answer.
                Ok(Err(_) | Ok(None)) => return Err(Failure::Broken),
                Ok(Ok(Some(chunk))) => self.buf.extend_from_slice(chunk.chunk()),
            }
        }
    }

    /// Goes on at another endpoint from the last event that was delivered.
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
                // Another version's words don't continue this one's.
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

    /// Breaks the caller's connection off, once what was written last is on its way.
    async fn abort_connection(&self) {
        sleep(FLUSH_TIME).await;
        if let Some(remote) = self.active.request.meta.remote {
            self.shared.connections.abort(remote);
        }
    }

    fn cut(&mut self, error: &ErrorAnswer) -> StreamItem {
        self.outcome_recorded = true;
        self.active.record_outcome(&self.shared, "cut");
        StreamItem::Cut(Bytes::from(format!("data: {}\n\n", error.body())))
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.outcome_recorded {
            self.active.record_outcome(&self.shared, "left");
        }
    }
}

/// Where the caller's stream stands.
enum State {
    Open(Box<Relay>),
    Cut(Box<Relay>),
    Closed,
}

/// Finds the end of the first event: the byte after its empty line.
fn find_end(buf: &[u8]) -> Option<usize> {
    let lf = buf.windows(2).position(|w| w == b"\n\n").map(|i| i + 2);
    let crlf = buf.windows(4).position(|w| w == b"\r\n\r\n").map(|i| i + 4);
    match (lf, crlf) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}
