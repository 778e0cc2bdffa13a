//! Relays an answer to the caller as it comes and records the progress of one attempt.

use crate::answer_body::AnswerBody;
use crate::crash_probe::{self, Finding};
use crate::edge::Protocol;
use crate::logging::may_log;
use crate::metrics::{AnswerEndLabels, Metrics};
use crate::pool::Connection;
use crate::resumption::ResumableStream;
use crate::site::Site;
use bytes::Bytes;
use http::StatusCode;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use limehollow::answer_end::{Completeness, Progress};
use limehollow::balance::Sent;
use limehollow::crash_record::{OUTLIVED, Timing};
use limehollow::crash_watch::CutOff;
use limehollow::fingerprint::Causes;
use limehollow::instance::Instance;
use limehollow::load::AttemptOutcome;
use limehollow::verdict::Failure;
use smol_str::SmolStr;
use snafu::Snafu;
use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::time::Instant;

/// Why a relayed answer ends early. The caller's connection is closed, so that the answer doesn't look complete.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RelayError {
    /// The connection to the endpoint failed.
    #[snafu(display("the endpoint broke off: {source}"))]
    Endpoint {
        /// The connection's error.
        source: hyper::Error,
    },
    /// The connection to the endpoint ended in order, but the answer is incomplete.
    #[snafu(display("the endpoint broke off: the connection ended {progress}"))]
    Incomplete {
        /// How far the answer had come.
        progress: &'static str,
    },
    /// The answer is larger than answers may be.
    #[snafu(display("the answer has more than {max} bytes"))]
    TooLarge {
        /// The bound, in bytes.
        max: u64,
    },
    /// The request's deadline has passed.
    #[snafu(display("the request's time has passed"))]
    Expired,
}

/// One attempt at an endpoint that is under way.
///
/// If it is dropped before [`RunningAttempt::end`], the caller has disconnected, and it is recorded as such.
#[derive(Debug)]
pub struct RunningAttempt<P>
where
    P: Protocol,
{
    site: Arc<Site<P>>,
    sent: Option<Sent>,
    id: SmolStr,
    causes: Causes,
    /// When the first result arrived.
    first_at: Option<Instant>,
    /// The status of the endpoint's answer.
    status: Option<StatusCode>,
    /// Whether the run has shown that the parts of its prompt don't crash endpoints.
    is_proven: bool,
    instance: Instance,
    began: Instant,
    arrived: Instant,
    /// The answer's body, from the answer's head on.
    body: Option<AnswerBody>,
    /// The stream that the attempt may begin or go on with, if it may be taken up later.
    stream: Option<ResumableStream>,
    /// When the last part of a streamed answer arrived.
    last_part: Option<Instant>,
    /// The longest pause between two parts of a streamed answer.
    longest_pause: Duration,
}

impl<P> RunningAttempt<P>
where
    P: Protocol,
{
    /// Starts recording an attempt.
    pub fn new(
        site: Arc<Site<P>>,
        sent: Sent,
        id: SmolStr,
        causes: Causes,
        instance: Instance,
        arrived: Instant,
    ) -> Self {
        Self {
            began: site.now(),
            site,
            sent: Some(sent),
            id,
            causes,
            first_at: None,
            status: None,
            is_proven: false,
            instance,
            arrived,
            body: None,
            stream: None,
            last_part: None,
            longest_pause: Duration::ZERO,
        }
    }

    fn elapsed(&self) -> Duration {
        self.site.now().saturating_duration_since(self.began)
    }

    /// Has the stream's origin recorded with its first event.
    pub(crate) fn set_stream(&mut self, stream: ResumableStream) {
        self.stream = Some(stream);
    }

    /// Records that the head of the answer arrived.
    pub(crate) fn begin_body(&mut self, body: AnswerBody, status: StatusCode) {
        self.status = Some(status);
        self.body = Some(body);
    }

    /// Returns whether the endpoint answers with success: a failure may come without a run.
    fn succeeds(&self) -> bool {
        self.status.is_some_and(|s| s.is_success())
    }

    /// Records that a part of a relayed answer arrived.
    fn record_part(&mut self, part: &Frame<Bytes>) {
        if let Some(b) = &mut self.body {
            b.push(part);
        }
        self.record_first_result();
        self.site.recent_work.record();
        let begins = self.succeeds();
        if let Some(stream) = self.stream.as_mut().filter(|_| begins) {
            stream.begin(&self.site);
        }
        let now = self.site.now();
        self.site.view().own_reach.record_heard(now);
        if self
            .first_at
            .is_some_and(|t| now.duration_since(t) >= OUTLIVED)
        {
            self.prove_parts();
        }
        if let Some(last) = self.last_part.replace(now) {
            self.longest_pause = self.longest_pause.max(now.duration_since(last));
        }
    }

    /// Records that the first result arrived.
    pub fn record_first_result(&mut self) {
        let Some(sent) = &mut self.sent else { return };
        if sent.first().is_some() {
            return;
        }
        let now = self.site.now();
        self.first_at = Some(now);
        self.site.view().balance.record_first_result(now, sent);
        self.site.capacity_freed.notify_waiters();
        let since = now.duration_since(self.arrived);
        self.site.metrics.first_byte.observe(since.as_secs_f64());
    }

    /// Records that the connection to the endpoint ended before the answer was complete.
    pub fn record_cut_off(&mut self) {
        let Some(sent) = &self.sent else { return };
        let since_first = sent.first().map(|t| self.elapsed().saturating_sub(t));
        let (timing, origin) = (Timing::of(since_first), self.causes.origin);
        for request in self.causes.all() {
            let c = CutOff {
                request,
                origin,
                timing,
            };
            crash_probe::on_cut_off(&self.site, sent.endpoint(), c);
        }
    }

    /// Records that the endpoint ran the request to its end, which shows that the request doesn't crash endpoints.
    pub fn record_ran_to_end(&mut self) {
        self.site.record_completed(self.causes.request());
        self.prove_parts();
    }

    /// Records that the run outlived its beginning, which shows that the parts of its prompt don't crash endpoints.
    fn prove_parts(&mut self) {
        let began = self.first_at.filter(|_| self.succeeds() && !self.is_proven);
        let Some(began) = began else {
            return;
        };
        self.is_proven = true;
        for part in self.causes.parts() {
            self.site.record_proof(part, began);
        }
    }

    /// Records that the answer is larger than answers may be.
    pub(crate) fn record_too_large(&self, max: u64) {
        self.site.metrics.answers_too_large.inc();
        if may_log() {
            tracing::warn!(
                id = %self.id,
                endpoint = %self.instance,
                status = self.status.map(|s| s.as_u16()),
                max,
                "an answer is too large"
            );
        }
    }

    fn progress(&self) -> Progress {
        self.body
            .as_ref()
            .map_or(Progress::NotEvents, AnswerBody::progress)
    }

    /// Records that the answer's body ended in order, and decides whether the answer is complete.
    pub(crate) fn verify_end(&self) -> EndCheck {
        let (Some(b), Some(sent)) = (&self.body, &self.sent) else {
            return EndCheck::Known(EndVerdict::BrokenOff);
        };
        let labels = AnswerEndLabels {
            framing: b.framing().as_str(),
            progress: b.progress().as_str(),
        };
        let ends = &self.site.metrics.answer_ends;
        ends.get_or_create(&labels).inc();
        match b.completeness() {
            Completeness::Proven => EndCheck::Known(EndVerdict::Complete),
            Completeness::BrokenOff => EndCheck::Known(EndVerdict::BrokenOff),
            Completeness::Assumed => {
                let site = Arc::clone(&self.site);
                let probe = crash_probe::after_unframed_answer(site, sent.endpoint());
                EndCheck::Probing(Box::pin(async { EndVerdict::from(probe.await) }))
            }
        }
    }

    /// Ends the attempt with a complete answer, which may be a failure of the endpoint.
    pub(crate) fn complete(&mut self, verdict: EndVerdict) {
        if verdict == EndVerdict::Complete {
            self.record_ran_to_end();
        }
        if self.status.is_some_and(|s| s.is_server_error()) {
            let failed = AttemptOutcome::Failed(Failure::ServerError);
            return self.end(failed, "the endpoint failed");
        }
        let first = self.sent.as_ref().and_then(Sent::first);
        let first = first.unwrap_or_else(|| self.elapsed());
        self.end(AttemptOutcome::Completed { first }, "whole");
    }

    /// Ends the attempt and logs its outcome.
    pub fn end(&mut self, ending: AttemptOutcome, what: &'static str) {
        let Some(sent) = self.sent.take() else { return };
        if let Some(stream) = self.stream.take() {
            stream.end(&self.site);
        }
        let first_ms = sent.first().map(millis);
        let now = self.site.now();
        let mut view = self.site.view();
        view.balance.finish(now, sent, ending);
        if view.balance.backpressure.has_brittle(now) {
            self.site.slots_changed.notify_one();
        }
        drop(view);
        if may_log() {
            tracing::info!(
                id = %self.id,
                endpoint = %self.instance,
                outcome = what,
                framing = self.body.as_ref().map(|b| b.framing().as_str()),
                progress = self.body.as_ref().map(|b| b.progress().as_str()),
                first_ms,
                longest_pause_ms = self.last_part.map(|_| millis(self.longest_pause)),
                ms = millis(self.elapsed()),
                "try ended"
            );
        }
    }
}

impl<P> Drop for RunningAttempt<P>
where
    P: Protocol,
{
    fn drop(&mut self) {
        if self.sent.is_some() {
            Metrics::count(&self.site.metrics.requests, "caller left");
            self.end(AttemptOutcome::Cancelled, "caller left");
        }
    }
}

/// Returns a duration in whole milliseconds, as log lines state it.
#[must_use]
pub fn millis(d: Duration) -> u64 {
    u64::try_from(d.as_millis()).unwrap_or(u64::MAX)
}

/// Whether an answer whose body ended in order is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndVerdict {
    /// It is, and the endpoint survived the request.
    Complete,
    /// It is as far as can be known; whether the endpoint survived isn't known.
    Unconfirmed,
    /// The endpoint broke it off.
    BrokenOff,
}

impl From<Finding> for EndVerdict {
    fn from(f: Finding) -> Self {
        match f {
            Finding::Listens => Self::Complete,
            Finding::Unclear => Self::Unconfirmed,
            Finding::HasCrashed => Self::BrokenOff,
        }
    }
}

type VerdictFuture = Pin<Box<dyn Future<Output = EndVerdict> + Send>>;

/// The decision whether an answer is complete, which may need a probe of the endpoint.
pub(crate) enum EndCheck {
    Known(EndVerdict),
    Probing(VerdictFuture),
}

impl EndCheck {
    pub(crate) async fn verdict(self) -> EndVerdict {
        match self {
            Self::Known(v) => v,
            Self::Probing(probe) => probe.await,
        }
    }
}

/// The body of an answer that is passed on as it comes.
pub struct Relay<P>
where
    P: Protocol,
{
    /// What was read of the body before.
    beginning: Option<Bytes>,
    inner: Incoming,
    /// The maximum size of the body, in bytes.
    max: u64,
    /// How many bytes may still come.
    left: u64,
    connection: Option<Connection>,
    running: RunningAttempt<P>,
    expiry: Pin<Box<dyn Future<Output = ()> + Send>>,
    /// The probe of the endpoint after the body has ended, if it is needed.
    end_probe: Option<VerdictFuture>,
}

impl<P> Relay<P>
where
    P: Protocol,
{
    /// Creates the body of an answer that has to end by `expiry` and within `max` bytes.
    #[must_use]
    pub fn new(
        inner: Incoming,
        connection: Connection,
        running: RunningAttempt<P>,
        expiry: Instant,
        max: u64,
    ) -> Self {
        let clock = Arc::clone(&running.site.clock);
        Self {
            beginning: None,
            inner,
            max,
            left: max,
            connection: Some(connection),
            running,
            expiry: Box::pin(async move { clock.sleep_until(expiry).await }),
            end_probe: None,
        }
    }

    /// Passes on what was read of the body before.
    #[must_use]
    pub fn after(mut self, beginning: Bytes) -> Self {
        self.beginning = Some(beginning).filter(|b| !b.is_empty());
        self
    }

    /// Passes a part on, unless the answer is too large with it.
    fn pass(&mut self, part: Frame<Bytes>) -> Result<Frame<Bytes>, RelayError> {
        let Some(data) = part.data_ref() else {
            return Ok(part);
        };
        let bytes = u64::try_from(data.len()).unwrap_or(u64::MAX);
        let Some(left) = self.left.checked_sub(bytes) else {
            self.running.record_too_large(self.max);
            self.break_off(Failure::Broken, "too large");
            return TooLargeSnafu { max: self.max }.fail();
        };
        self.left = left;
        self.running.record_part(&part);
        Ok(part)
    }

    /// Ends the answer as this verdict says.
    fn end(&mut self, verdict: EndVerdict) -> Option<Result<Frame<Bytes>, RelayError>> {
        match verdict {
            EndVerdict::Complete | EndVerdict::Unconfirmed => {
                self.finish(verdict);
                None
            }
            EndVerdict::BrokenOff => {
                self.running.record_cut_off();
                self.break_off(Failure::Broken, "broken off");
                let progress = self.running.progress().as_str();
                Some(IncompleteSnafu { progress }.fail())
            }
        }
    }

    fn finish(&mut self, verdict: EndVerdict) {
        self.running.complete(verdict);
        if let Some(c) = self.connection.take() {
            Metrics::count(&self.running.site.metrics.requests, "answered");
            self.running.site.pool.put_in_background(c, None);
        }
    }

    fn break_off(&mut self, failure: Failure, what: &'static str) {
        if self.connection.take().is_some() {
            Metrics::count(&self.running.site.metrics.requests, what);
        }
        self.running.end(AttemptOutcome::Failed(failure), what);
    }
}

impl<P> fmt::Debug for Relay<P>
where
    P: Protocol + fmt::Debug,
{
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Relay")
            .field("running", &self.running)
            .finish_non_exhaustive()
    }
}

impl<P> Body for Relay<P>
where
    P: Protocol + Unpin,
{
    type Data = Bytes;
    type Error = RelayError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        if let Some(probe) = &mut self.end_probe {
            let verdict = ready!(probe.as_mut().poll(cx));
            return Poll::Ready(self.end(verdict));
        }
        if self.expiry.as_mut().poll(cx).is_ready() {
            self.break_off(Failure::Deadline, "expired");
            return Poll::Ready(Some(ExpiredSnafu.fail()));
        }
        if let Some(beginning) = self.beginning.take() {
            return Poll::Ready(Some(self.pass(Frame::data(beginning))));
        }
        match ready!(Pin::new(&mut self.inner).poll_frame(cx)) {
            Some(Ok(frame)) => Poll::Ready(Some(self.pass(frame))),
            Some(Err(source)) => {
                self.running.record_cut_off();
                self.break_off(Failure::Broken, "broken off");
                Poll::Ready(Some(Err(RelayError::Endpoint { source })))
            }
            None => match self.running.verify_end() {
                EndCheck::Known(verdict) => Poll::Ready(self.end(verdict)),
                EndCheck::Probing(probe) => {
                    self.end_probe = Some(probe);
                    self.poll_frame(cx)
                }
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        // The poll that finds the end completes the attempt, so hyper must not skip it.
        false
    }

    fn size_hint(&self) -> SizeHint {
        let inner = self.inner.size_hint();
        let Some(beginning) = &self.beginning else {
            return inner;
        };
        let begun = u64::try_from(beginning.len()).unwrap_or(u64::MAX);
        let mut hint = SizeHint::new();
        hint.set_lower(inner.lower().saturating_add(begun));
        if let Some(upper) = inner.upper() {
            hint.set_upper(upper.saturating_add(begun));
        }
        hint
    }
}
