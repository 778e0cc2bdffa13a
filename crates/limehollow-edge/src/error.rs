//! What can go wrong at the edges, and the exit codes.

use snafu::Snafu;
use std::process::ExitCode;

/// What an edge gives.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why something at an edge failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The command line is wrong.
    #[snafu(display("{why}; see --help"))]
    Usage {
        /// What is wrong.
        why: String,
    },
    /// The settings are wrong.
    #[snafu(display("{file}:{line}: {why}"))]
    Settings {
        /// The file.
        file: String,
        /// The line, from 1.
        line: usize,
        /// The key and what would be valid.
        why: String,
    },
    /// A file can't be read.
    #[snafu(display("{file}: {source}"))]
    File {
        /// The file.
        file: String,
        /// Why.
        source: std::io::Error,
    },
    /// An address can't be listened on.
    #[snafu(display("{address}: {why}"))]
    Listen {
        /// The address.
        address: String,
        /// Why.
        why: String,
    },
    /// The other side could not be reached: no byte left.
    #[snafu(display("{what}: no connection: {source}"))]
    Connect {
        /// What was called.
        what: &'static str,
        /// Why.
        source: reqwest::Error,
    },
    /// The call failed after it may have taken effect.
    #[snafu(display("{what}: {source}"))]
    Call {
        /// What was called.
        what: &'static str,
        /// Why.
        source: reqwest::Error,
    },
    /// The other side answered with a status that isn't a success.
    #[snafu(display("{what}: status {status}: {body}"))]
    Status {
        /// What was called.
        what: &'static str,
        /// The status code.
        status: u16,
        /// The beginning of the body.
        body: String,
    },
    /// A peer did not answer, or not as it should.
    #[snafu(display("peer {address}: {why}"))]
    Peer {
        /// The peer.
        address: String,
        /// Why.
        why: String,
    },
    /// A message can't be read.
    #[snafu(display("{what}: {source}"))]
    Codec {
        /// What was read.
        what: &'static str,
        /// Why.
        source: limehollow_wire::Error,
    },
}

impl Error {
    /// Tells whether the call surely had no effect.
    #[must_use]
    pub fn had_no_effect(&self) -> bool {
        !matches!(
            self,
            Self::Call { .. } | Self::Codec { .. } | Self::Status { status: 500.., .. }
        )
    }
}

/// The exit codes of all programs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// It did what it was asked.
    Ok,
    /// It could not do it.
    Failed,
    /// The command line or a settings file is wrong.
    Usage,
    /// It was asked for something that is refused, overtaken or not there.
    Refused,
}

impl From<Exit> for ExitCode {
    fn from(e: Exit) -> Self {
        Self::from(match e {
            Exit::Ok => 0_u8,
            Exit::Failed => 1,
            Exit::Usage => 2,
            Exit::Refused => 3,
        })
    }
}

impl From<&Error> for Exit {
    fn from(e: &Error) -> Self {
        match e {
            Error::Usage { .. } | Error::Settings { .. } | Error::File { .. } => Self::Usage,
            _ => Self::Failed,
        }
    }
}
