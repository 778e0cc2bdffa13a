//! What the processes of a site say to each other by datagram: one version byte, then postcard.

use crate::error::{BinarySnafu, Result, VersionSnafu};
use limehollow::balance::Taken;
use limehollow::roster::{HoldingsReport, ModelRef};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use snafu::ResultExt;

/// The schema version that this release writes and reads.
pub const SCHEMA: u8 = 1;

/// What one process knows at first hand.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Word {
    /// The name of the VM.
    pub from: SmolStr,
    /// Where its datagrams arrive, as `IP:PORT`.
    pub address: SmolStr,
    /// Rises with each word of one start of the process; a later start begins higher.
    pub number: u64,
    /// What its requests take at each endpoint, by instance.
    pub taken: Vec<(SmolStr, Taken)>,
    /// What its callers ask of each model, in ms of work a second.
    pub demand: Vec<(ModelRef, f32)>,
    /// Whether a request waits for something that isn't loaded.
    pub urgent: bool,
    /// What the order giver knows of endpoints that changed lately.
    pub reports: Vec<HoldingsReport>,
    /// The version of the configuration in force there.
    pub catalog: u64,
}

/// Writes a word.
///
/// # Errors
///
/// [`crate::Error::Binary`] if the word can't be written.
pub fn encode(w: &Word) -> Result<Vec<u8>> {
    postcard::to_extend(w, vec![SCHEMA]).context(BinarySnafu { len: 0_usize })
}

/// Reads a word.
///
/// # Errors
///
/// [`crate::Error::Version`] or [`crate::Error::Binary`].
pub fn decode(bytes: &[u8]) -> Result<Word> {
    let (version, rest) = bytes.split_first().unwrap_or((&0, &[]));
    if *version != SCHEMA {
        return VersionSnafu {
            version: *version,
            known: SCHEMA,
        }
        .fail();
    }
    postcard::from_bytes(rest).context(BinarySnafu { len: bytes.len() })
}
