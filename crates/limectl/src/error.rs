//! What can go wrong for an operator.

use limehollow::id::Offset;
use limehollow_edge::Exit;
use snafu::Snafu;

/// What a command gives.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a command did not do what was asked.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// Something at an edge failed.
    #[snafu(display("{source}"), context(false))]
    Edge {
        /// What.
        source: limehollow_edge::Error,
    },
    /// The record is void.
    #[snafu(display("refused at offset {offset}: {source}"))]
    Refused {
        /// The offset that the record was given.
        offset: Offset,
        /// Why.
        source: limehollow::Error,
    },
    /// What was asked for isn't there.
    #[snafu(display("{source}"), context(false))]
    Core {
        /// Why.
        source: limehollow::Error,
    },
    /// The intent has no plan and won't get one as it is.
    #[snafu(display("intent {intent} has no plan: {why}"))]
    NoPlan {
        /// The intent.
        intent: Offset,
        /// Why.
        why: String,
    },
    /// Something did not happen in time.
    #[snafu(display("{what} within {ms} ms"))]
    Timeout {
        /// What did not happen.
        what: String,
        /// The time.
        ms: u64,
    },
    /// The log no longer holds what is needed and no snapshot covers the gap.
    #[snafu(display("the log's beginning is gone and it holds no snapshot yet; try again later"))]
    Gap,
    /// The answer to an append was lost, and the record isn't in the log.
    #[snafu(display("nothing was appended: {source}"))]
    NotAppended {
        /// What the log said.
        source: limehollow_edge::Error,
    },
}

impl Error {
    /// Gives the exit code.
    #[must_use]
    pub fn exit(&self) -> Exit {
        match self {
            Self::Edge { source } => Exit::from(source),
            Self::Refused { .. } | Self::Core { .. } | Self::NoPlan { .. } => Exit::Refused,
            Self::Timeout { .. } | Self::Gap | Self::NotAppended { .. } => Exit::Failed,
        }
    }
}
