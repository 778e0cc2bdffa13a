//! Whether a request may have run.
//!
//! The retry rules and the answer to the caller both rest on this one type, so that no code path
//! can tell a caller "not run" by guesswork (`docs/design/at-most-once.md`).

use std::fmt;

/// What is known about a request that has no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Verdict {
    /// No byte of the request left, or the endpoint's protocol says that it refused before running.
    NotRun,
    /// Anything else.
    MayHaveRun,
}

impl Verdict {
    /// Joins the verdicts of several attempts of one request.
    #[must_use]
    pub fn and(self, other: Self) -> Self {
        self.max(other)
    }

    /// Gives the value of the `x-limehollow-verdict` header.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "unknown",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// What happened to one attempt at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection could not be made, so no byte left.
    Connect,
    /// The endpoint answered that it refuses before running.
    Refused,
    /// The connection broke or fell silent after bytes had left.
    Broken,
    /// The endpoint answered that it failed.
    ServerError,
    /// The deadline passed while the endpoint was at work.
    Deadline,
}

impl Failure {
    /// Gives what is known about the attempt's request.
    #[must_use]
    pub fn verdict(self) -> Verdict {
        match self {
            Self::Connect | Self::Refused => Verdict::NotRun,
            Self::Broken | Self::ServerError | Self::Deadline => Verdict::MayHaveRun,
        }
    }
}
