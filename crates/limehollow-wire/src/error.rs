//! Errors of the codecs.

use snafu::Snafu;

/// The result of a codec.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// The reason why a message can't be encoded or decoded.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The text isn't valid JSON, or isn't a record.
    #[snafu(display("line {}, column {}: {source}", source.line(), source.column()))]
    Json {
        /// The underlying error.
        source: serde_json::Error,
    },
    /// The bytes aren't a valid postcard message, or a message can't be encoded.
    #[snafu(display("postcard message of {len} bytes: {source}"))]
    Binary {
        /// The underlying error.
        source: postcard::Error,
        /// The length of the message in bytes; 0 if it couldn't be encoded.
        len: usize,
    },
    /// The bytes can't be decompressed.
    #[snafu(display("message can't be decompressed: {source}"))]
    Packed {
        /// The underlying error.
        source: lz4_flex::block::DecompressError,
    },
    /// The message has a schema version that this release doesn't know.
    #[snafu(display("schema version {version} is not known; this release reads {known}"))]
    Version {
        /// The message's schema version.
        version: u8,
        /// The schema version that this release reads.
        known: u8,
    },
    /// A field has an invalid value.
    #[snafu(display("{field}: {why}"))]
    Field {
        /// The field's name.
        field: &'static str,
        /// What is wrong with the value.
        why: &'static str,
    },
}
