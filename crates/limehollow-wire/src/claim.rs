//! Batches of the claims stream, as JSON text with a schema version.

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

/// One claim. The key is hexadecimal text, since JSON numbers don't carry 128 bits.
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
        let (key, who, release) = match r {
            ClaimRecord::Claim(k, c) => (k, c, false),
            ClaimRecord::Release(k, c) => (k, c, true),
        };
        let key = format_smolstr!("{key:032x}");
        let (vm, at) = (who.vm.clone(), who.address.clone());
        Self {
            key,
            vm,
            inc: who.incarnation,
            num: who.number,
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
        let who = Claimant {
            vm: w.vm,
            incarnation: w.inc,
            number: w.num,
            address: w.at,
        };
        Ok(if w.release {
            Self::Release(key, who)
        } else {
            Self::Claim(key, who)
        })
    }
}

/// Writes a batch as text.
///
/// # Panics
///
/// Never: the types have no value that JSON can't carry.
#[must_use]
pub fn encode(records: &[ClaimRecord]) -> String {
    let batch = Batch {
        v: SCHEMA,
        claims: records.iter().map(WireClaim::from).collect(),
    };
    serde_json::to_string(&batch).expect("a batch has no unwritable value")
}

/// Reads a batch's text; nothing if it is of a version that this release doesn't know.
///
/// # Errors
///
/// [`crate::Error`] says where the text is no batch, or which field is wrong.
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
