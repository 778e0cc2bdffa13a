//! Codec for the batches of the claims stream: JSON text with a schema version.

use crate::error::{FieldSnafu, JsonSnafu, Result};
use limehollow::claim::{ClaimRecord, Claimant, KeyHash};
use limehollow::id::VmName;
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};
use snafu::ResultExt;

/// The name of the stream that carries these batches.
pub const STREAM: &str = "claims";

/// The schema version that this release writes.
pub const SCHEMA: u16 = 1;

#[derive(Debug, Serialize, Deserialize)]
struct Batch {
    v: u16,
    claims: Vec<WireClaim>,
}

/// One claim or release. The key is hexadecimal text, since JSON numbers can't represent 128 bits.
#[derive(Debug, Serialize, Deserialize)]
struct WireClaim {
    key: SmolStr,
    vm: VmName,
    inc: u64,
    num: u64,
    at: SmolStr,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    release: bool,
}

impl From<&ClaimRecord> for WireClaim {
    fn from(r: &ClaimRecord) -> Self {
        let (key, claimant, release) = match r {
            ClaimRecord::Claim(k, c) => (k, c, false),
            ClaimRecord::Release(k, c) => (k, c, true),
        };
        let key = format_smolstr!("{key:032x}");
        let (vm, at) = (claimant.vm.clone(), claimant.address.clone());
        Self {
            key,
            vm,
            inc: claimant.incarnation,
            num: claimant.number,
            at,
            release,
        }
    }
}

impl TryFrom<WireClaim> for ClaimRecord {
    type Error = crate::Error;

    fn try_from(w: WireClaim) -> Result<Self> {
        let Ok(key) = KeyHash::from_str_radix(&w.key, 16) else {
            return FieldSnafu {
                field: "key",
                why: "must be 32 hexadecimal digits",
            }
            .fail();
        };
        let claimant = Claimant {
            vm: w.vm,
            incarnation: w.inc,
            number: w.num,
            address: w.at,
        };
        Ok(if w.release {
            Self::Release(key, claimant)
        } else {
            Self::Claim(key, claimant)
        })
    }
}

/// Encodes a batch as JSON text.
///
/// # Panics
///
/// Never panics: every value of these types can be written as JSON.
#[must_use]
pub fn encode(records: &[ClaimRecord]) -> String {
    let batch = Batch {
        v: SCHEMA,
        claims: records.iter().map(WireClaim::from).collect(),
    };
    serde_json::to_string(&batch).expect("every claim batch can be written as JSON")
}

/// Decodes the text of a batch. Returns `None` for a schema version that this release doesn't know.
///
/// # Errors
///
/// Returns [`crate::Error::Json`] with line and column if the text isn't a batch, and [`crate::Error::Field`] with the
/// field's name if a field is invalid.
pub fn decode(text: &str) -> Result<Option<Vec<ClaimRecord>>> {
    #[derive(Deserialize)]
    struct Head {
        v: u16,
    }
    let head: Head = serde_json::from_str(text).context(JsonSnafu)?;
    if head.v != SCHEMA {
        return Ok(None);
    }
    let batch: Batch = serde_json::from_str(text).context(JsonSnafu)?;
    batch
        .claims
        .into_iter()
        .map(ClaimRecord::try_from)
        .collect::<Result<_>>()
        .map(Some)
}
