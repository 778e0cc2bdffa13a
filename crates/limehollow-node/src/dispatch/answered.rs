//! Passes an endpoint's answer on to the caller, or finds that another endpoint may be tried.

use super::{Chosen, Dispatch, with_budget};
use crate::answer::Outgoing;
use crate::answer_body::AnswerBody;
use crate::answer_memory::BodyRead;
use crate::attempt::{Answer, AttemptFailure};
use crate::edge::Protocol;
use crate::metrics::Metrics;
use crate::pool::Connection;
use crate::relay::{EndVerdict, Relay, RunningAttempt};
use bytes::Bytes;
use http::Response;
use http::response::Parts;
use http_body_util::{Either, Full};
use hyper::body::Body;
use limehollow::load::AttemptOutcome;
use limehollow::retry::Repeat;
use limehollow::retry_window::RepeatWindow;
use limehollow::verdict::Failure;
use smol_str::{SmolStr, format_smolstr};

impl<P> Dispatch<'_, P>
where
    P: Protocol,
{
    /// Passes an answer on. Streams are passed on as they come. Other answers are read first, so that another endpoint may
    /// be tried if they fail; what doesn't fit in memory is passed on as it comes, too.
    ///
    /// # Errors
    ///
    /// Returns an [`AttemptFailure`] if the caller has got nothing of the answer.
    pub(super) async fn answered(
        &self,
        c: &Chosen,
        answer: Answer,
        mut running: RunningAttempt<P>,
    ) -> Result<Response<Outgoing<P>>, AttemptFailure> {
        let (head, body) = answer.response.into_parts();
        let streamed = self.rule.stream && head.status.is_success();
        let answer_body = AnswerBody::new(&self.head.method, &head, streamed);
        running.begin_body(answer_body, head.status);
        let max = self.site.settings.load().max_answer_bytes(head.status);
        if body.size_hint().lower() > max {
            running.record_too_large(max);
            let f = AttemptFailure::broken(SmolStr::new_static("the answer is too large"));
            self.record_failure(&mut running, &c.to, &f);
            return Err(f);
        }
        if streamed {
            let relay = Relay::new(body, answer.connection, running, self.expiry, max);
            return Ok(self.forward(head, Either::Right(Either::Left(relay))));
        }
        running.record_first_result();
        let reading = self.site.answer_memory.read(body);
        let Ok(read) = self.site.clock.timeout_at(self.expiry, reading).await else {
            running.end(AttemptOutcome::Failed(Failure::Deadline), "expired");
            return Ok(self.expired());
        };
        let read = read.map_err(|e| {
            let f = AttemptFailure::cut_off(&e);
            self.record_failure(&mut running, &c.to, &f);
            f
        })?;
        match read {
            BodyRead::Whole(bytes) => {
                self.answered_whole(c, (head, bytes), answer.connection, running)
                    .await
            }
            BodyRead::Beginning(beginning, rest) => {
                if head.status.is_server_error() && self.may_try_another() {
                    running.end(
                        AttemptOutcome::Failed(Failure::ServerError),
                        "the endpoint failed",
                    );
                    return Err(failed(&head));
                }
                let relay = Relay::new(rest, answer.connection, running, self.expiry, max);
                let body = Either::Right(Either::Left(relay.after(beginning)));
                Ok(self.forward(head, body))
            }
        }
    }

    /// Passes an answer on whose end was read.
    async fn answered_whole(
        &self,
        c: &Chosen,
        (head, body): (Parts, Bytes),
        connection: Connection,
        mut running: RunningAttempt<P>,
    ) -> Result<Response<Outgoing<P>>, AttemptFailure> {
        let verdict = running.verify_end().verdict().await;
        if verdict == EndVerdict::BrokenOff {
            let f = AttemptFailure::crashed_at_the_end();
            self.record_failure(&mut running, &c.to, &f);
            return Err(f);
        }
        self.site.pool.put_in_background(connection, None);
        running.complete(verdict);
        if head.status.is_server_error() && self.may_try_another() {
            return Err(failed(&head));
        }
        Metrics::count(&self.site.metrics.requests, "answered");
        Ok(self.forward(head, Either::Left(Full::new(body))))
    }

    /// Returns `true` if the request may be sent to another endpoint although one has run it.
    fn may_try_another(&self) -> bool {
        self.rule.repeat == Repeat::Allowed
            && self.reached + 1 < self.rule.max_attempts
            && with_budget(self.site, &self.job.service, RepeatWindow::has_budget)
    }
}

/// Returns the failure of an attempt whose endpoint answered with a failure.
fn failed(head: &Parts) -> AttemptFailure {
    AttemptFailure::broken(format_smolstr!("status {}", head.status.as_u16()))
}
