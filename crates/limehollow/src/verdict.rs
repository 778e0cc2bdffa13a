//! Describes whether a request may have run.
//!
//! The retry rules and the answer to the caller both use this type, so no code path can report "not run" to a
//! caller without evidence (`docs/design/at-most-once.md`).

use std::fmt;

/// What is known about a request without a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Verdict {
    /// The request did not run: no byte of it was sent, or the endpoint's protocol states that it was refused
    /// beforehand.
    NotRun,
    /// The request may have run.
    MayHaveRun,
}

impl Verdict {
    /// Combines the verdicts of several attempts of one request.
    #[must_use]
    pub fn and(self, other: Self) -> Self {
        self.max(other)
    }

    /// Returns the value of the `x-limehollow-verdict` header.
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

/// The failure of one attempt at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection could not be established, so no byte was sent.
    Connect,
    /// The endpoint answered that it refused the request before running it.
    Refused,
    /// The connection broke or stopped responding after bytes were sent.
    Broken,
    /// The endpoint answered with an error.
    ServerError,
    /// The deadline passed while the endpoint processed the request.
    Deadline,
}

impl Failure {
    /// Returns what is known about the attempt's request.
    #[must_use]
    pub fn verdict(self) -> Verdict {
        match self {
            Self::Connect | Self::Refused => Verdict::NotRun,
            Self::Broken | Self::ServerError | Self::Deadline => Verdict::MayHaveRun,
        }
    }
}
