//! What can be wrong with a message.

use snafu::Snafu;

/// What a codec gives.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a message can't be read.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The text isn't a record at all.
    #[snafu(display("line {}, column {}: {source}", source.line(), source.column()))]
    Json {
        /// What the parser said.
        source: serde_json::Error,
    },
    /// The bytes aren't a message.
    #[snafu(display("message of {len} bytes: {source}"))]
    Binary {
        /// What the parser said.
        source: postcard::Error,
        /// The length of the message.
        len: usize,
    },
    /// The bytes can't be unpacked.
    #[snafu(display("packed message: {source}"))]
    Packed {
        /// What the codec said.
        source: lz4_flex::block::DecompressError,
    },
    /// The message is of a version that this release doesn't know.
    #[snafu(display("schema version {version} is not known; this release reads {known}"))]
    Version {
        /// The message's version.
        version: u8,
        /// The version that is read here.
        known: u8,
    },
    /// A field has a value that it can't have.
    #[snafu(display("{field}: {why}"))]
    Field {
        /// The field.
        field: &'static str,
        /// What is wrong with it.
        why: &'static str,
    },
}
