//! Messages between limehollow's own processes: one version byte, then postcard.

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

/// The longest name of a VM in a message, in bytes.
pub const MAX_NAME: usize = 128;

/// What one process asks of another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// A controller passes on what it has heard.
    Gossip(Digest),
    /// A process that starts asks for the state, since the log may be out of reach.
    State,
    /// A gateway asks the controller of its VM for news, and says what it had to refuse lately.
    News(Vec<WireUnmet>),
    /// A gateway asks another what became of a claim of its own.
    Claim {
        /// The incarnation that claimed.
        incarnation: Incarnation,
        /// The gateway's number for the request.
        number: u64,
    },
}

/// The answer to a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The message was taken in; what the answering controller has heard.
    Gossip(Digest),
    /// The state up to an offset, as a snapshot record's text; nothing if there is none yet.
    State(Option<String>),
    /// News for a gateway.
    News(News),
    /// What became of a claim.
    Claim(ClaimFate),
}

/// What one controller tells another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Heartbeats.
    pub heartbeats: Vec<WireHeartbeat>,
    /// Reports of endpoints' load.
    pub loads: Vec<WireLoad>,
    /// Endpoints that are on their way out.
    pub leaving: Vec<SmolStr>,
    /// What gateways of the zone had to refuse.
    pub unmet: Vec<WireUnmet>,
}

/// What a gateway had to refuse of one model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireUnmet {
    /// The gateway's VM; empty in the gateway's own word.
    pub vm: SmolStr,
    /// The model.
    pub model: SmolStr,
    /// Requests in a thousand seconds.
    pub rate: u32,
    /// How old the word was when the message was written, in milliseconds.
    pub age_ms: u32,
}

/// What a controller tells a gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// The next offset that the controller will read.
    pub next: u64,
    /// Reports of endpoints' load.
    pub loads: Vec<WireLoad>,
    /// Endpoints that are on their way out.
    pub leaving: Vec<SmolStr>,
}

/// What became of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimFate {
    /// The gateway doesn't know it: it is another incarnation, or has forgotten.
    Unknown,
    /// The request never left the gateway and never will; its claim is being released.
    NeverSent,
    /// The request is under way.
    Running,
    /// The request is done; the result is remembered.
    Done {
        /// The status code.
        status: u16,
        /// The headers that are passed through.
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
    /// Its incarnation.
    pub incarnation: u64,
    /// How old the report was when the message was written, in milliseconds.
    pub age_ms: u32,
    running: u32,
    waiting: u32,
    slots: u32,
}

impl WireLoad {
    /// Makes the message's form of a report.
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

    /// Gives the report.
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

/// Writes a message.
///
/// # Panics
///
/// Never: the types have no value that can't be written.
#[must_use]
pub fn encode<T>(msg: &T) -> Vec<u8>
where
    T: Serialize,
{
    let buf = vec![SCHEMA];
    postcard::to_extend(msg, buf).expect("a message has no unwritable value")
}

/// Reads a message.
///
/// # Errors
///
/// [`crate::Error::Version`] for another version, [`crate::Error::Binary`] for bytes that aren't a message.
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
