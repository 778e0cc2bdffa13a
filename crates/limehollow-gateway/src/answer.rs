//! Error answers that the gateway itself sends when there is no result from an endpoint.

use limehollow::admission::{Reason, Refusal};
use limehollow::verdict::Verdict;
use poem::Response;
use poem::http::StatusCode;
use serde_json::json;
use std::time::Duration;

/// Response header that states whether the request ran: `not-run` or `unknown`.
pub const VERDICT: &str = "x-limehollow-verdict";
/// Response header of a result that was stored for an earlier request with the same key.
pub const REPLAYED: &str = "x-limehollow-replayed";

/// An error answer of the gateway, sent in place of an endpoint's result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ErrorAnswer {
    /// The status code.
    pub status: StatusCode,
    /// The machine-readable error code.
    pub code: &'static str,
    /// The human-readable message.
    pub message: String,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// When a retry may succeed; `None` if the same request always fails.
    pub retry_after: Option<Duration>,
}

impl ErrorAnswer {
    /// Creates the answer to a request that did not run and that fails again if repeated unchanged.
    #[must_use]
    pub fn permanent<S>(status: StatusCode, code: &'static str, message: S) -> Self
    where
        S: Into<String>,
    {
        let (verdict, retry_after) = (Verdict::NotRun, None);
        Self {
            status,
            code,
            message: message.into(),
            verdict,
            retry_after,
        }
    }

    /// Creates the answer to a request that may succeed if it is retried after `after`.
    #[must_use]
    pub fn retryable<S>(
        status: StatusCode,
        code: &'static str,
        message: S,
        verdict: Verdict,
        after: Duration,
    ) -> Self
    where
        S: Into<String>,
    {
        Self {
            status,
            code,
            message: message.into(),
            verdict,
            retry_after: Some(after),
        }
    }

    /// Creates the answer to a request that admission refused.
    ///
    /// `verdict` is the verdict of the attempts made before the refusal.
    #[must_use]
    pub fn from_refusal(r: &Refusal, verdict: Verdict) -> Self {
        let (status, code, message) = match r.reason {
            Reason::NoTarget => (
                StatusCode::SERVICE_UNAVAILABLE,
                "unavailable",
                "nothing serves this now",
            ),
            Reason::TooLate => (
                StatusCode::SERVICE_UNAVAILABLE,
                "deadline",
                "the answer could not be ready by the deadline",
            ),
            Reason::QueueFull => (
                StatusCode::TOO_MANY_REQUESTS,
                "queue_full",
                "too many requests wait",
            ),
            Reason::Shed => (
                StatusCode::TOO_MANY_REQUESTS,
                "shed",
                "more important requests took the place",
            ),
        };
        Self::retryable(status, code, message, verdict, r.retry_after)
    }

    /// Returns the JSON body. The last event of a truncated stream has the same content.
    #[must_use]
    pub fn body(&self) -> String {
        let kind = if self.status.is_client_error() && self.retry_after.is_none() {
            "invalid_request_error"
        } else {
            "server_error"
        };
        json!({ "error": { "message": self.message, "type": kind, "code": self.code } }).to_string()
    }

    /// Returns the HTTP response.
    #[must_use]
    pub fn response(&self) -> Response {
        let mut b = Response::builder()
            .status(self.status)
            .content_type("application/json")
            .header(VERDICT, self.verdict.as_str());
        if let Some(after) = self.retry_after {
            let secs = after.as_secs() + u64::from(after.subsec_nanos() > 0);
            b = b.header("retry-after", secs.max(1).to_string());
        }
        b.body(self.body())
    }
}
