//! The errors of this crate and the exit codes of all programs.

use snafu::Snafu;
use std::process::ExitCode;

/// The result type of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// An error of input, output or configuration.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The command line is invalid.
    #[snafu(display("{why}; see --help"))]
    Usage {
        /// What is wrong with the command line.
        why: String,
    },
    /// The settings are invalid.
    #[snafu(display("{file}:{line}: {why}"))]
    Settings {
        /// The path of the file.
        file: String,
        /// The line number, counted from 1.
        line: usize,
        /// The key and what is wrong with its value.
        why: String,
    },
    /// A file can't be read.
    #[snafu(display("{file}: {source}"))]
    File {
        /// The path of the file.
        file: String,
        /// The cause.
        source: std::io::Error,
    },
    /// An address can't be listened on.
    #[snafu(display("{address}: {why}"))]
    Listen {
        /// The address.
        address: String,
        /// The reason of the failure.
        why: String,
    },
    /// The connection failed, so no byte of the request was sent.
    #[snafu(display("{what}: no connection: {source}"))]
    Connect {
        /// The kind of call.
        what: &'static str,
        /// The cause.
        source: reqwest::Error,
    },
    /// The call failed and may have taken effect.
    #[snafu(display("{what}: {source}"))]
    Call {
        /// The kind of call.
        what: &'static str,
        /// The cause.
        source: reqwest::Error,
    },
    /// The answer is larger than answers may be. The call may have taken effect.
    #[snafu(display("{what}: the answer is too large"))]
    TooLarge {
        /// The kind of call.
        what: &'static str,
    },
    /// The answer can't be decoded. The call may have taken effect.
    #[snafu(display("{what}: {source}"))]
    Malformed {
        /// The kind of call.
        what: &'static str,
        /// The cause.
        source: serde_json::Error,
    },
    /// The service answered with a status code other than success.
    #[snafu(display("{what}: status {status}: {body}"))]
    Status {
        /// The kind of call.
        what: &'static str,
        /// The status code.
        status: u16,
        /// The beginning of the body.
        body: String,
    },
    /// A peer didn't answer or its answer was invalid.
    #[snafu(display("peer {address}: {why}"))]
    Peer {
        /// The address of the peer.
        address: String,
        /// The reason of the failure.
        why: String,
    },
    /// A message can't be decoded.
    #[snafu(display("{what}: {source}"))]
    Codec {
        /// The kind of message.
        what: &'static str,
        /// The cause.
        source: limehollow_wire::Error,
    },
}

impl Error {
    /// Returns `true` if the call certainly had no effect.
    #[must_use]
    pub fn had_no_effect(&self) -> bool {
        !matches!(
            self,
            Self::Call { .. }
                | Self::TooLarge { .. }
                | Self::Malformed { .. }
                | Self::Codec { .. }
                | Self::Status { status: 500.., .. }
        )
    }
}

/// The exit codes of all programs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The program succeeded.
    Ok,
    /// The program failed.
    Failed,
    /// The command line or a settings file is invalid.
    Usage,
    /// The request was refused, was superseded or named something that doesn't exist.
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
