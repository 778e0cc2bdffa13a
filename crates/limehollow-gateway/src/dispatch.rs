//! The processing of a request: it is admitted, sent, retried where that is safe, and answered once.

use crate::answer::{ErrorAnswer, REPLAYED, VERDICT};
use crate::attempt::{read_full_answer, send_request};
use crate::claims::{Claim, ClaimOutcome, Fate};
use crate::relay::Relay;
use crate::request::ParsedRequest;
use crate::shared::Shared;
use crate::shared_admission::Slot;
use bytes::Bytes;
use limehollow::admission::{AdmissionRequest, Reason, Refusal, Subject};
use limehollow::intent::Priority;
use limehollow::load::AttemptOutcome;
use limehollow::retry::{Attempts, RetryDecision};
use limehollow::routing::{Route, Target};
use limehollow::verdict::{Failure, Verdict};
use poem::http::{HeaderMap, StatusCode};
use poem::{Body, Response};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// When a caller should ask again for the result of a request that is still running.
const RESULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request in progress and its attempts so far.
#[derive(Debug)]
pub struct ActiveRequest {
    /// The request.
    pub request: ParsedRequest,
    /// The request to admission.
    pub admission_request: AdmissionRequest,
    /// The attempts so far.
    pub attempts: Attempts,
}

impl ActiveRequest {
    /// Creates the state of a request before its first attempt.
    #[must_use]
    pub fn new(request: ParsedRequest, route: &Route) -> Self {
        let priority = request.meta.priority.unwrap_or(route.priority);
        let admission_request = AdmissionRequest {
            subject: request.subject.clone(),
            caller: request.meta.caller.clone(),
            priority,
            deadline: request.meta.deadline,
            tokens: request.tokens,
            affinity: request.affinity,
            failed: Vec::new(),
        };
        let attempts = Attempts::new(request.repeat, request.meta.deadline);
        Self {
            request,
            admission_request,
            attempts,
        }
    }

    /// Waits for a slot at an endpoint.
    ///
    /// # Errors
    ///
    /// Returns the error answer for the caller, with the verdict of all attempts.
    pub async fn admit(&self, shared: &Shared) -> Result<(Slot, Target), ErrorAnswer> {
        let verdict = self.attempts.verdict;
        let slot = shared.admission.admit(self.admission_request.clone()).await;
        let slot = slot.map_err(|r| {
            if let Subject::Model(m) = &self.request.subject {
                shared.unmet_demand.record(m);
            }
            ErrorAnswer::from_refusal(&r, verdict)
        })?;
        let table = shared.table.load();
        let target = route(&table, &self.request.subject)
            .and_then(|r| r.targets.iter().find(|t| t.key == slot.key).cloned());
        // The routing table may have changed in the meantime; an endpoint that is no longer in it gets
        // no new requests.
        let gone = Refusal {
            reason: Reason::NoTarget,
            retry_after: Duration::from_secs(1),
        };
        let target = target.ok_or_else(|| ErrorAnswer::from_refusal(&gone, verdict))?;
        Ok((slot, target))
    }

    /// Counts the request in the metrics with its outcome.
    pub fn record_outcome(&self, shared: &Shared, outcome: &'static str) {
        shared
            .metrics
            .record_request(self.request.kind(), self.priority(), outcome);
    }

    fn priority(&self) -> Priority {
        self.admission_request.priority
    }
}

/// Returns the route for a subject.
#[must_use]
pub fn route<'t>(table: &'t limehollow::routing::Table, subject: &Subject) -> Option<&'t Route> {
    match subject {
        Subject::Model(m) => table.model(m),
        Subject::Service(s) => table.service(s),
    }
}

/// Returns the error answer after a failure that is not retried.
#[must_use]
pub fn failure_answer(failure: Failure, verdict: Verdict) -> ErrorAnswer {
    let (status, code, message) = match failure {
        Failure::Deadline => (
            StatusCode::GATEWAY_TIMEOUT,
            "deadline",
            "the answer was not ready by the deadline",
        ),
        Failure::Connect | Failure::Refused => (
            StatusCode::SERVICE_UNAVAILABLE,
            "unavailable",
            "no endpoint took the request",
        ),
        Failure::Broken | Failure::ServerError => (
            StatusCode::BAD_GATEWAY,
            "endpoint_failed",
            "the endpoint failed during the request",
        ),
    };
    ErrorAnswer::retryable(status, code, message, verdict, Duration::from_secs(1))
}

/// A complete answer of an endpoint.
#[derive(Clone, Debug)]
pub struct FullAnswer {
    /// The status code.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl FullAnswer {
    fn response(self) -> Response {
        let mut res = Response::builder().status(self.status).body(self.body);
        res.headers_mut().extend(self.headers);
        res
    }
}

/// Runs a request and returns its answer.
pub async fn run(shared: &Arc<Shared>, request: ParsedRequest) -> Response {
    let table = shared.table.load_full();
    let Some(route) = route(&table, &request.subject) else {
        let (kind, name) = match &request.subject {
            Subject::Model(m) => ("model", m),
            Subject::Service(s) => ("service", s),
        };
        let message = format!("there is no {kind} {name:?}");
        let code = if kind == "model" {
            "model_not_found"
        } else {
            "service_not_found"
        };
        return ErrorAnswer::permanent(StatusCode::NOT_FOUND, code, message).response();
    };
    let key = request.key_hash();
    let active = ActiveRequest::new(request, route);
    let Some(key) = key else {
        return answer(shared, active, None).await;
    };
    match shared
        .claim_client
        .claim(key, active.request.meta.deadline)
        .await
    {
        ClaimOutcome::Acquired(claim) => answer(shared, active, Some(claim)).await,
        ClaimOutcome::Duplicate(fate) => answer_duplicate(shared, &active, fate),
        ClaimOutcome::Undecided(after) => {
            active.record_outcome(shared, "refused");
            let message = "whether this key was used before can't be decided now";
            let status = StatusCode::SERVICE_UNAVAILABLE;
            ErrorAnswer::retryable(status, "undecided", message, Verdict::NotRun, after).response()
        }
    }
}

/// Answers a request whose key was claimed before.
fn answer_duplicate(shared: &Shared, active: &ActiveRequest, fate: Fate) -> Response {
    match fate {
        Fate::Done(w) => {
            active.record_outcome(shared, "replayed");
            let mut res = w.response();
            res.headers_mut()
                .insert(REPLAYED, crate::request::header_value("true"));
            res
        }
        Fate::Running => {
            active.record_outcome(shared, "unknown");
            let message = "a request with this key is under way";
            ErrorAnswer::retryable(
                StatusCode::CONFLICT,
                "running",
                message,
                Verdict::MayHaveRun,
                RESULT_RETRY_AFTER,
            )
            .response()
        }
        Fate::Released => {
            active.record_outcome(shared, "refused");
            let message =
                "an earlier request with this key did not run; its claim is being given back";
            let status = StatusCode::SERVICE_UNAVAILABLE;
            ErrorAnswer::retryable(
                status,
                "released",
                message,
                Verdict::NotRun,
                RESULT_RETRY_AFTER,
            )
            .response()
        }
        Fate::Unknown => {
            active.record_outcome(shared, "unknown");
            let message = "a request with this key may have run, and its result is not known";
            let mut error = ErrorAnswer::permanent(StatusCode::CONFLICT, "unknown_result", message);
            error.verdict = Verdict::MayHaveRun;
            error.response()
        }
    }
}

/// Sends a request, with retries, until it is answered or no retry is allowed.
async fn answer(shared: &Arc<Shared>, mut active: ActiveRequest, claim: Option<Claim>) -> Response {
    shared.budget().deposit();
    loop {
        let (slot, target) = match active.admit(shared).await {
            Ok(admitted) => admitted,
            Err(error) => return finish_with_error(shared, &active, claim, &error),
        };
        if claim.as_ref().is_some_and(|c| !c.is_valid()) {
            let failure = Failure::Deadline;
            let error = failure_answer(failure, active.attempts.verdict);
            return finish_with_error(shared, &active, claim, &error);
        }
        let sent_at = Instant::now();
        shared.metrics.attempts.inc();
        if active.attempts.made > 0 {
            shared.metrics.retries.inc();
        }
        if let Some(c) = &claim {
            c.mark_dispatched();
        }
        let failure = match send_request(shared, &active.request, &target, 0).await {
            Ok(h) if active.request.stream && h.status.is_success() => {
                observe_first(shared, sent_at);
                let (status, headers) = (h.status, h.headers.clone());
                if let Some(c) = claim {
                    c.complete(None);
                }
                let relay = Relay::new(
                    Arc::clone(shared),
                    active,
                    slot,
                    h,
                    target.version.clone(),
                    sent_at,
                );
                let mut res = Response::builder()
                    .status(status)
                    .body(Body::from_bytes_stream(relay.into_stream()));
                res.headers_mut().extend(headers);
                return res;
            }
            Ok(h) if is_engine_failure(&active.request, h.status) => Failure::ServerError,
            Ok(h) => {
                observe_first(shared, sent_at);
                let first = h.at - sent_at;
                match read_full_answer(h, active.request.meta.deadline).await {
                    Ok((status, headers, body)) => {
                        slot.finish(AttemptOutcome::Completed { first });
                        let w = FullAnswer {
                            status,
                            headers,
                            body,
                        };
                        return finish_with_answer(shared, &active, claim, w, sent_at);
                    }
                    Err(f) => f,
                }
            }
            Err(f) => f,
        };
        active.admission_request.failed.push(slot.key);
        slot.finish(AttemptOutcome::Failed(failure));
        let now = Instant::now();
        let next = shared
            .budget()
            .after(now, &mut active.attempts, failure, rand::random());
        match next {
            RetryDecision::Retry(pause) => sleep(pause).await,
            RetryDecision::GiveUp(verdict) => {
                return finish_with_error(
                    shared,
                    &active,
                    claim,
                    &failure_answer(failure, verdict),
                );
            }
        }
    }
}

/// Returns `true` if a status is a failure of a model engine. The status of a plain service is always
/// passed to the caller as its answer.
fn is_engine_failure(request: &ParsedRequest, status: StatusCode) -> bool {
    matches!(request.subject, Subject::Model(_)) && status.is_server_error()
}

fn observe_first(shared: &Shared, sent_at: Instant) {
    shared
        .metrics
        .first_byte
        .observe(sent_at.elapsed().as_secs_f64());
}

fn finish_with_answer(
    shared: &Shared,
    active: &ActiveRequest,
    claim: Option<Claim>,
    w: FullAnswer,
    sent_at: Instant,
) -> Response {
    let now = Instant::now();
    let subject = &active.request.subject;
    shared
        .admission
        .with(|a| a.record_answer(subject, now - sent_at, Duration::ZERO, 1));
    let outcome = if now <= active.request.meta.deadline {
        "attained"
    } else {
        "late"
    };
    active.record_outcome(shared, outcome);
    if let Some(c) = claim {
        c.complete(Some(w.clone()));
    }
    w.response()
}

fn finish_with_error(
    shared: &Shared,
    active: &ActiveRequest,
    claim: Option<Claim>,
    error: &ErrorAnswer,
) -> Response {
    match (error.verdict, claim) {
        (Verdict::NotRun, Some(c)) => c.release(),
        (Verdict::MayHaveRun, Some(c)) => c.complete(None),
        (_, None) => {}
    }
    let outcome = if error.verdict == Verdict::NotRun {
        "refused"
    } else {
        "unknown"
    };
    active.record_outcome(shared, outcome);
    debug_assert!(
        error.response().headers().contains_key(VERDICT),
        "every error answer has a verdict"
    );
    error.response()
}
