//! What the processes of a site say to each other by datagram: one version byte, then postcard.

use crate::error::{BinarySnafu, FieldSnafu, PackedSnafu, Result, VersionSnafu};
use limehollow::backpressure::RateObservation;
use limehollow::balance::Taken;
use limehollow::catalog::Catalog;
use limehollow::crash_record::CrashRecord;
use limehollow::freshness::Freshness;
use limehollow::id::ZoneName;
use limehollow::instance::Instance;
use limehollow::job::Job;
use limehollow::log_position::LogPosition;
use limehollow::quota::Subject;
use limehollow::roster::{Endpoint, HoldingsReport, ModelRef};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use snafu::ResultExt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// The schema version that this release writes and reads.
pub const SCHEMA: u8 = 10;

/// The largest state that is unpacked, in bytes: many times that of the largest deployment.
const MAX_STATE: usize = 64 << 20;

/// What a message speaks of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// The VM itself; it goes to the VMs of its zone.
    #[default]
    Vm,
    /// What has just changed of the VM itself; it goes to the VMs of its zone, and leaves what they know of the rest.
    Change,
    /// All VMs of its zone; it goes to other zones.
    Zone,
    /// Nothing but what the controller did.
    News,
}

/// A change of the list of endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ListChange {
    /// An endpoint is there, or says something else of itself.
    Listed(Endpoint),
    /// The endpoint with this id is off the list.
    Gone(SmolStr),
    /// The entry with this id can't be read, and names no endpoint to use.
    Unreadable(SmolStr),
}

/// Changes of the list of endpoints, for VMs that have read up to the first position.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListChanges {
    /// The position before them.
    pub from: LogPosition,
    /// The position after them, of the same era.
    pub to: LogPosition,
    /// The changes.
    pub changes: Vec<ListChange>,
}

/// What a VM that holds the lease, or has just resigned, says of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseNotice {
    /// The VM.
    pub vm: SmolStr,
    /// Its fencing number.
    pub fence: u64,
    /// Whether it holds the lease, or has just resigned.
    pub holds: bool,
    /// How long ago it gave its last order, in ms; none if it gave none.
    pub ordered_ms_ago: Option<u32>,
}

/// How fresh a copy is, in ages, since VMs' clocks differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ages {
    /// How long ago it was known to be complete, in ms.
    pub complete_ms: u32,
    /// For how long the store has been sound, in ms.
    pub sound_ms: u32,
}

impl Ages {
    /// Gives the ages at this moment, rounded so that nobody takes the copy for fresher than it is.
    #[must_use]
    pub fn at(now: Instant, f: Freshness) -> Self {
        Self {
            complete_ms: millis(f.age(now)).saturating_add(1),
            sound_ms: millis(now.saturating_duration_since(f.healthy_since())),
        }
    }

    /// Gives the freshness that was told at this moment.
    #[must_use]
    pub fn to_freshness(self, now: Instant) -> Freshness {
        Freshness::new(before(now, self.complete_ms), before(now, self.sound_ms))
    }
}

/// How fresh a process's copies are by its own reading; none where its last read failed, or it has read nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reading {
    /// The operators' configuration.
    pub configuration: Option<Ages>,
    /// The list of endpoints.
    pub endpoints: Option<Ages>,
}

/// A VM that reads the configuration in the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastReader {
    /// The VM.
    pub vm: SmolStr,
    /// How long ago its last read began, in ms.
    pub read_ms_ago: u32,
}

impl LastReader {
    /// Gives what is said of a read that began then.
    #[must_use]
    pub fn at(now: Instant, vm: SmolStr, began: Instant) -> Self {
        Self {
            vm,
            read_ms_ago: millis(now.saturating_duration_since(began)),
        }
    }

    /// Gives when the read began about that was told of at this moment.
    #[must_use]
    pub fn read_began(&self, now: Instant) -> Instant {
        before(now, self.read_ms_ago)
    }
}

/// What one process tells others.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// For whom it is said.
    pub scope: Scope,
    /// Whether who hears it passes it on inside its own zone.
    pub forward: bool,
    /// The name of the VM.
    pub from: SmolStr,
    /// Its availability zone.
    pub zone: SmolStr,
    /// How many VMs it covers.
    pub vms: u16,
    /// Where its datagrams arrive, as `IP:PORT`.
    pub address: SmolStr,
    /// Its processor, in thousandths of a core.
    pub millicores: u32,
    /// Whether it can stand for the lease: it reaches the platform's store and isn't told to end.
    pub reaches_store: bool,
    /// Drawn anew by each start of the process, so that its messages are told from those of a former start without a
    /// clock.
    pub start: u64,
    /// Rises with each message of one start of the process.
    pub number: u64,
    /// Which part of what is taken this is, of so many.
    pub part: u8,
    /// Of how many parts.
    pub parts: u8,
    /// What its requests take at each endpoint.
    pub taken: Vec<(Instance, Taken)>,
    /// The endpoints that it could not reach lately; only for the VMs of its zone.
    pub unreached: Vec<Instance>,
    /// Starts of endpoints that are gone: another start answers at their address.
    pub gone: Vec<Instance>,
    /// Starts of endpoints that said in their answers that they leave.
    pub leaving: Vec<Instance>,
    /// What its callers ask of each model, in ms of work a second.
    pub demand: Vec<(ModelRef, f32)>,
    /// What requests wait for that isn't loaded.
    pub requested_loads: Vec<ModelRef>,
    /// Changes of the list that this VM read lately.
    pub list: Vec<ListChanges>,
    /// What is known of the lease to give orders.
    pub lease: Option<LeaseNotice>,
    /// What the controller knows of endpoints that changed lately.
    pub reports: Vec<HoldingsReport>,
    /// How far it has read the configuration and the list of endpoints in the platform's store.
    pub positions: Positions,
    /// How fresh its copies are, by its own reading.
    pub reading: Reading,
    /// The VM that read the configuration last, itself or another, of all that it has heard of.
    pub last_reader: Option<LastReader>,
    /// Requests under which endpoints crashed, or that were cleared, lately.
    pub crashes: Vec<CrashRecord>,
    /// The digest of all such requests that it knows.
    pub crashes_digest: u64,
    /// How many VMs it knows of, this one too: limits are shared among so many.
    pub vms_known: u16,
    /// Whether it can read the list of endpoints in the platform's store, as far as it has tried.
    pub reads_list: bool,
    /// The limits that endpoints name, and those that have ended lately.
    pub rates: Vec<RateReport>,
}

/// The limit that an endpoint named, in ages, since VMs' clocks differ.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RateReport {
    /// The endpoint.
    pub instance: Instance,
    /// Requests a second of all VMs together; none if it named no limit any more.
    pub rate: Option<f64>,
    /// How long ago the request was sent, in ms.
    pub sent_ms_ago: u32,
    /// How long ago its answer was heard, in ms.
    pub received_ms_ago: u32,
}

impl RateReport {
    /// Gives what is said of an endpoint at this moment.
    #[must_use]
    pub fn at(now: Instant, instance: Instance, w: RateObservation) -> Self {
        let ago = |t| millis(now.saturating_duration_since(t));
        Self {
            instance,
            rate: w.rate,
            sent_ms_ago: ago(w.sent_at),
            received_ms_ago: ago(w.received_at),
        }
    }

    /// Gives the word that was told at this moment, by a message that may have been on its way for so long.
    ///
    /// What was on its way seems to have been said later than it was. The span in which it was written begins that much earlier, so that
    /// nothing is taken for newer than it is.
    #[must_use]
    pub fn to_observation(&self, now: Instant, transit: Duration) -> RateObservation {
        let asked = before(now, self.sent_ms_ago);
        RateObservation {
            rate: self.rate,
            sent_at: asked.checked_sub(transit).unwrap_or(asked),
            received_at: before(now, self.received_ms_ago),
        }
    }
}

fn millis(d: Duration) -> u32 {
    u32::try_from(d.as_millis()).unwrap_or(u32::MAX)
}

fn before(now: Instant, ms: u32) -> Instant {
    let ago = Duration::from_millis(u64::from(ms));
    now.checked_sub(ago).unwrap_or(now)
}

/// What one VM asks of another by datagram, to be answered at once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Query {
    /// Names the question in its answer.
    pub number: u64,
    /// What is asked.
    pub body: QueryBody,
}

/// What a VM says of itself to one that doesn't know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Introduction {
    /// Its name.
    pub name: SmolStr,
    /// Its availability zone.
    pub zone: SmolStr,
    /// Where its datagrams arrive, as `IP:PORT`.
    pub address: SmolStr,
    /// Its processor, in thousandths of a core.
    pub millicores: u32,
}

/// A VM that another one knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The VM.
    pub vm: Introduction,
    /// Whether the platform's store shows it.
    pub is_listed: bool,
}

/// The VMs that one VM knows, itself too.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// The VMs.
    pub vms: Vec<Member>,
    /// Whether it has read all that the store shows, or heard from one that has.
    pub has_all: bool,
}

/// What a question is about.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum QueryBody {
    /// How old the other's configuration is at most.
    Configuration,
    /// From whom this VM, which has just started, gets the site's state.
    Start(Introduction),
    /// Tokens of a limit for a request.
    Tokens {
        /// Whose limit.
        subject: Subject,
        /// How many.
        tokens: f64,
    },
    /// Where a job goes; the other keeps the places of its endpoints.
    Assignment {
        /// The job.
        job: Job,
        /// Endpoints that were tried already.
        tried: Vec<Instance>,
    },
    /// What the other has earned of these limits.
    Earnings {
        /// The VM that keeps their pools.
        coordinator: SmolStr,
        /// How many VMs that one knows of.
        vms_known: u16,
        /// Whose limits.
        subjects: Vec<Subject>,
    },
}

/// Where a job goes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Assignment {
    /// To this endpoint, which is expected to give a first result after so many ms.
    Endpoint(Instance, f32),
    /// All that hold its model have too many prompts to read; the first result would come after so many ms.
    Overloaded(f32),
    /// The VM that was asked knows of no endpoint.
    NoEndpoint,
}

/// The answer to a question.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The question's number.
    pub number: u64,
    /// What is said.
    pub reply: Reply,
}

/// What is answered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// How far the configuration was read, and how long ago it was known to be the newest, in ms; none if it isn't known.
    Configuration {
        /// The position.
        position: LogPosition,
        /// The age.
        confirmed_ms: Option<u32>,
        /// How many VMs the other knows of.
        vms_known: u16,
    },
    /// The VM that hands the state over, as the address of its datagrams; none for the one that was asked.
    Parent(Option<SocketAddr>),
    /// The tokens were taken out of the pool for who asked.
    Granted,
    /// The pool has too few; in how many ms it has enough.
    Short(u32),
    /// Another VM keeps the pool, as far as this one knows.
    NotCoordinator,
    /// Where the job goes.
    Assignment(Assignment),
    /// What was handed over of each limit, in the order of the question; none where another VM keeps the pool.
    Earnings(Vec<Option<f64>>),
}

/// A datagram between VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// What a VM tells others several times a second.
    Message(Box<Message>),
    /// A question.
    Query(Query),
    /// An answer.
    Answer(Answer),
}

/// How far a process has read what it follows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Positions {
    /// The operators' configuration.
    pub configuration: LogPosition,
    /// The list of endpoints.
    pub endpoints: LogPosition,
}

/// What a process has read of the platform's store, for one that can't read it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// How far it has read.
    pub positions: Positions,
    /// How fresh that is, by its own reading or another VM's.
    pub reading: Reading,
    /// The configuration in force.
    pub catalog: Option<Catalog>,
    /// The endpoints, without those whose removal is held back: who takes this in decides on them by itself, and
    /// would never hear of a removal that came before these positions.
    pub endpoints: Vec<Endpoint>,
    /// The ids whose entries can't be read.
    pub unreadable: Vec<SmolStr>,
    /// The zones that are evacuated.
    pub evacuated: Vec<ZoneName>,
    /// The VMs of the site.
    pub members: Members,
}

/// Writes a state.
///
/// # Errors
///
/// [`crate::Error::Binary`] if the state can't be written.
pub fn encode_state(s: &State) -> Result<Vec<u8>> {
    let plain = postcard::to_stdvec(s).context(BinarySnafu { len: 0_usize })?;
    // The same names stand in it thousands of times.
    let mut out = vec![SCHEMA];
    out.extend(lz4_flex::compress_prepend_size(&plain));
    Ok(out)
}

/// Reads a state.
///
/// # Errors
///
/// [`crate::Error::Version`], [`crate::Error::Binary`], or [`crate::Error::Packed`], [`crate::Error::Field`] if it is too large.
pub fn decode_state(bytes: &[u8]) -> Result<State> {
    let packed = body(bytes)?;
    let (plain_len, _) = lz4_flex::block::uncompressed_size(packed).context(PackedSnafu)?;
    if plain_len > MAX_STATE {
        return FieldSnafu {
            field: "state",
            why: "is larger than any site's",
        }
        .fail();
    }
    let plain = lz4_flex::decompress_size_prepended(packed).context(PackedSnafu)?;
    postcard::from_bytes(&plain).context(BinarySnafu { len: bytes.len() })
}

/// Writes the VMs that one knows.
///
/// # Errors
///
/// [`crate::Error::Binary`] if they can't be written.
pub fn encode_members(m: &Members) -> Result<Vec<u8>> {
    postcard::to_extend(m, vec![SCHEMA]).context(BinarySnafu { len: 0_usize })
}

/// Reads the VMs that another one knows.
///
/// # Errors
///
/// [`crate::Error::Version`] or [`crate::Error::Binary`].
pub fn decode_members(bytes: &[u8]) -> Result<Members> {
    postcard::from_bytes(body(bytes)?).context(BinarySnafu { len: bytes.len() })
}

/// Writes records of requests under which endpoints crashed.
///
/// # Errors
///
/// [`crate::Error::Binary`] if they can't be written.
pub fn encode_crashes(records: &[CrashRecord]) -> Result<Vec<u8>> {
    postcard::to_extend(records, vec![SCHEMA]).context(BinarySnafu { len: 0_usize })
}

/// Reads records of requests under which endpoints crashed.
///
/// # Errors
///
/// [`crate::Error::Version`] or [`crate::Error::Binary`].
pub fn decode_crashes(bytes: &[u8]) -> Result<Vec<CrashRecord>> {
    postcard::from_bytes(body(bytes)?).context(BinarySnafu { len: bytes.len() })
}

/// Writes a datagram.
///
/// # Errors
///
/// [`crate::Error::Binary`] if it can't be written.
pub fn encode(w: &Datagram) -> Result<Vec<u8>> {
    postcard::to_extend(w, vec![SCHEMA]).context(BinarySnafu { len: 0_usize })
}

/// Reads a datagram.
///
/// # Errors
///
/// [`crate::Error::Version`] or [`crate::Error::Binary`].
pub fn decode(bytes: &[u8]) -> Result<Datagram> {
    postcard::from_bytes(body(bytes)?).context(BinarySnafu { len: bytes.len() })
}

/// Gives what follows the version byte, if this release reads that version.
fn body(bytes: &[u8]) -> Result<&[u8]> {
    let (version, rest) = bytes.split_first().unwrap_or((&0, &[]));
    if *version != SCHEMA {
        return VersionSnafu {
            version: *version,
            known: SCHEMA,
        }
        .fail();
    }
    Ok(rest)
}
