//! Messages of the platform's services, such as the log and the membership list: JSON over HTTP (`docs/interfaces.md`).

use crate::error::{FieldSnafu, Result};
use limehollow::id::{ServiceName, VmName, ZoneName};
use limehollow::listing::{Listed, ListedKind};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The body of `POST /log/STREAM/append`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// The records, which are appended together and in this order.
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
    /// The lowest offset that the log still retains.
    pub first: u64,
    /// The offset of the next record to be appended.
    pub next: u64,
    /// The records.
    pub records: Vec<LogRecord>,
}

/// A record as stored in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// The record's offset.
    pub offset: u64,
    /// The time of the append by the log's clock, in milliseconds.
    pub at_ms: u64,
    /// The record's text.
    pub data: String,
}

/// The answer to `GET /members`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// The rows of the membership list.
    pub members: Vec<Member>,
}

/// One row of the membership list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// The VM.
    pub vm: VmName,
    /// The VM's availability zone.
    pub zone: ZoneName,
    /// The address on which the VM listens, as `IP:PORT`.
    pub address: SmolStr,
    /// The kind of the VM: `entry`, `engine` or `service`.
    pub kind: SmolStr,
    /// Whether the VM is leaving.
    #[serde(default)]
    pub leaving: bool,
    /// For an engine, whether it refuses orders with an outdated fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// For a plain service, the name of the service.
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

/// The body of `POST /weights/load`, with which an engine requests a model's weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightLoad {
    /// The model's name.
    pub model: SmolStr,
    /// The model's version.
    pub version: SmolStr,
}
