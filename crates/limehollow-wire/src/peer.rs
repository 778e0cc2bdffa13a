//! Messages between limehollow's own processes, the gateways and the controllers: one byte with the schema version,
//! then a postcard message.
//!
//! Postcard encodes by position: the order of fields and variants is part of the format, their names are not.

use crate::error::{BinarySnafu, FieldSnafu, Result, VersionSnafu};
use limehollow::id::{Incarnation, Offset, VmName};
use limehollow::load::LoadReport;
use limehollow::membership::Heartbeat;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use snafu::ResultExt;

/// The schema version that this release writes and reads.
pub const SCHEMA: u8 = 1;

/// The maximum length of a VM's name in a message, in bytes.
pub const MAX_NAME: usize = 128;

/// A request from one process to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// A controller forwards what it has received.
    Gossip(Digest),
    /// A starting process fetches the state, since the log may be unreachable.
    State,
    /// A gateway fetches updates from the controller of its VM, and reports the demand that it recently refused.
    News(Vec<WireUnmet>),
    /// A gateway queries the state of a request that another gateway claimed.
    Claim {
        /// The incarnation of the gateway that made the claim.
        incarnation: Incarnation,
        /// The number that the claiming gateway gave to the request.
        number: u64,
    },
}

/// The answer to a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The digest was applied; carries what the answering controller has received.
    Gossip(Digest),
    /// The state up to an offset, as the text of a snapshot record; `None` if there is no state yet.
    State(Option<String>),
    /// Updates for a gateway.
    News(News),
    /// The state of a claimed request.
    Claim(ClaimFate),
}

/// The gossip that controllers exchange.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Heartbeats of VMs.
    pub heartbeats: Vec<WireHeartbeat>,
    /// Load reports of endpoints.
    pub loads: Vec<WireLoad>,
    /// Endpoints that are leaving.
    pub leaving: Vec<SmolStr>,
    /// The demand that gateways of the zone refused.
    pub unmet: Vec<WireUnmet>,
}

/// The demand for one model that a gateway refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireUnmet {
    /// The gateway's VM; empty in the report that the gateway itself sends.
    pub vm: SmolStr,
    /// The model.
    pub model: SmolStr,
    /// The rate of refused requests, in requests per 1,000 seconds.
    pub rate: u32,
    /// The age of the report when the message was encoded, in milliseconds.
    pub age_ms: u32,
}

/// Updates from a controller to a gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// The next offset that the controller will read.
    pub next: u64,
    /// Load reports of endpoints.
    pub loads: Vec<WireLoad>,
    /// Endpoints that are leaving.
    pub leaving: Vec<SmolStr>,
}

/// The state of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimFate {
    /// The gateway doesn't know the claim: it has another incarnation, or no longer remembers the claim.
    Unknown,
    /// The request wasn't sent and never will be; its claim is being released.
    NeverSent,
    /// The request is running.
    Running,
    /// The request is done, and the gateway still has its result.
    Done {
        /// The status code.
        status: u16,
        /// The headers that are forwarded to the caller.
        headers: Vec<(String, String)>,
        /// The body.
        body: Vec<u8>,
    },
}

/// A heartbeat in a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireHeartbeat {
    vm: SmolStr,
    incarnation: u64,
    counter: u64,
    next: u64,
}

impl From<&Heartbeat> for WireHeartbeat {
    fn from(h: &Heartbeat) -> Self {
        let (incarnation, counter, next) = (h.incarnation, h.counter, h.next.0);
        Self {
            vm: h.vm.as_str().into(),
            incarnation,
            counter,
            next,
        }
    }
}

impl TryFrom<WireHeartbeat> for Heartbeat {
    type Error = crate::Error;

    fn try_from(w: WireHeartbeat) -> Result<Self> {
        let vm = name(&w.vm)?;
        Ok(Self {
            vm,
            incarnation: w.incarnation,
            counter: w.counter,
            next: Offset(w.next),
        })
    }
}

/// A report of an endpoint's load in a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireLoad {
    /// The endpoint.
    pub vm: SmolStr,
    /// The endpoint's incarnation.
    pub incarnation: u64,
    /// The age of the report when the message was encoded, in milliseconds.
    pub age_ms: u32,
    running: u32,
    waiting: u32,
    slots: u32,
}

impl WireLoad {
    /// Creates the encodable form of a load report.
    #[must_use]
    pub fn new(vm: &VmName, incarnation: Incarnation, age_ms: u32, r: LoadReport) -> Self {
        let vm = vm.as_str().into();
        Self {
            vm,
            incarnation,
            age_ms,
            running: r.running,
            waiting: r.waiting,
            slots: r.slots,
        }
    }

    /// Returns the load report.
    #[must_use]
    pub fn report(&self) -> LoadReport {
        LoadReport {
            running: self.running,
            waiting: self.waiting,
            slots: self.slots,
        }
    }
}

fn name(s: &SmolStr) -> Result<VmName> {
    if s.is_empty() || s.len() > MAX_NAME {
        return FieldSnafu {
            field: "vm",
            why: "must have 1 to 128 bytes",
        }
        .fail();
    }
    Ok(VmName::from(s.as_str()))
}

/// Encodes a message.
///
/// # Panics
///
/// Never panics: every value of the message types can be encoded.
#[must_use]
pub fn encode<T>(msg: &T) -> Vec<u8>
where
    T: Serialize,
{
    let buf = vec![SCHEMA];
    postcard::to_extend(msg, buf).expect("every message can be encoded as postcard")
}

/// Decodes a message.
///
/// # Errors
///
/// Returns [`crate::Error::Version`] for another schema version, and [`crate::Error::Binary`] if the bytes can't be
/// decoded.
pub fn decode<T>(buf: &[u8]) -> Result<T>
where
    T: DeserializeOwned,
{
    let (version, rest) = buf.split_first().unwrap_or((&0, &[]));
    if *version != SCHEMA {
        return VersionSnafu {
            version: *version,
            known: SCHEMA,
        }
        .fail();
    }
    postcard::from_bytes(rest).context(BinarySnafu { len: buf.len() })
}
