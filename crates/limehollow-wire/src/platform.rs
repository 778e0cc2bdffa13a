//! What the platform's services say, as JSON over HTTP (`docs/interfaces.md`).

use crate::error::{FieldSnafu, Result};
use limehollow::id::{ServiceName, VmName, ZoneName};
use limehollow::listing::{Listed, ListedKind};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The body of `POST /log/STREAM/append`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// The records, appended together and in this order.
    pub records: Vec<String>,
}

/// The answer to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// The offset of the first record.
    pub first: u64,
}

/// The answer to `GET /log/STREAM/read?from=N&limit=N&wait_ms=N`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Records {
    /// The lowest offset that is still kept.
    pub first: u64,
    /// The offset that the next append will get.
    pub next: u64,
    /// The records.
    pub records: Vec<LogRecord>,
}

/// One record as the log keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Its offset.
    pub offset: u64,
    /// The log's time of the append, in milliseconds.
    pub at_ms: u64,
    /// Its text.
    pub data: String,
}

/// The answer to `GET /members`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// The rows.
    pub members: Vec<Member>,
}

/// One row of the membership list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// The VM.
    pub vm: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it listens, as `IP:PORT`.
    pub address: SmolStr,
    /// `entry`, `engine` or `service`.
    pub kind: SmolStr,
    /// Whether it is on its way out.
    #[serde(default)]
    pub leaving: bool,
    /// For an engine, whether it refuses orders with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// For a plain service, its name.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceName>,
}

impl TryFrom<Member> for Listed {
    type Error = crate::Error;

    fn try_from(m: Member) -> Result<Self> {
        let kind = match (m.kind.as_str(), m.service) {
            ("entry", _) => ListedKind::Entry,
            ("engine", _) => ListedKind::Engine {
                checks_fencing: m.checks_fencing,
            },
            ("service", Some(name)) => ListedKind::Service { name },
            ("service", None) => {
                return FieldSnafu {
                    field: "service",
                    why: "a plain service needs a name",
                }
                .fail();
            }
            _ => {
                let why = "must be \"entry\", \"engine\" or \"service\"";
                return FieldSnafu { field: "kind", why }.fail();
            }
        };
        Ok(Self {
            vm: m.vm,
            zone: m.zone,
            address: m.address,
            leaving: m.leaving,
            kind,
        })
    }
}

/// The body of `POST /weights/load`, with which an engine fetches a model's weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightLoad {
    /// The model.
    pub model: SmolStr,
    /// Its version.
    pub version: SmolStr,
}
