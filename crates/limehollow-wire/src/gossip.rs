//! Gossip datagrams and state transfers between the VMs of a site.
//!
//! Each is one byte with the schema version, then a postcard message. Postcard encodes by position: the order of fields
//! and variants is part of the format, their names are not. Points in time are sent as ages in milliseconds, since the
//! clocks of VMs differ.

use crate::error::{BinarySnafu, FieldSnafu, PackedSnafu, Result, VersionSnafu};
use limehollow::backpressure::{RateKind, RateObservation};
use limehollow::balance::Taken;
use limehollow::catalog::Catalog;
use limehollow::crash_record::CrashRecord;
use limehollow::fingerprint::Fingerprint;
use limehollow::freshness::Freshness;
use limehollow::id::ZoneName;
use limehollow::instance::Instance;
use limehollow::job::Job;
use limehollow::log_position::LogPosition;
use limehollow::quota::Subject;
use limehollow::rebalance::RequestedLoad;
use limehollow::roster::{Endpoint, HoldingsReport, ModelRef};
use limehollow::slot_ledger::{GrantId, Held, Progress};
use limehollow::stream_origin::{OriginRecord, StreamOrigin, StreamTag};
use limehollow::version_history::{ListedVersion, VersionsSeen};
use limehollow::wait_queue::{Ticket, Waiter};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use snafu::ResultExt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// The schema version that this release writes and reads.
pub const SCHEMA: u8 = 14;

/// The maximum decompressed size of a state, in bytes: many times the size of the largest deployment's state.
const MAX_STATE: usize = 64 << 20;

/// What a [`Message`] covers, and which VMs receive it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// The full update of the sending VM, for the VMs of its zone.
    #[default]
    Vm,
    /// The latest changes of the sending VM, for the VMs of its zone. The rest of the receivers' state of that VM stays
    /// as it is.
    Change,
    /// The summary of all VMs of the sender's zone, for other zones.
    Zone,
    /// Only what the controller did.
    News,
}

/// A change to the list of endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ListChange {
    /// An endpoint was added, or its entry changed.
    Listed(Endpoint),
    /// The endpoint with this ID was removed.
    Gone(SmolStr),
    /// The entry with this ID can't be parsed, so it gives no usable endpoint.
    Unreadable(SmolStr),
}

/// Changes to the list of endpoints, for VMs that have read it up to `from`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListChanges {
    /// The position before the changes.
    pub from: LogPosition,
    /// The position after the changes, in the same era as `from`.
    pub to: LogPosition,
    /// The changes.
    pub changes: Vec<ListChange>,
}

/// The lease state, as sent by a VM that holds the lease or has just resigned it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseNotice {
    /// The VM.
    pub vm: SmolStr,
    /// The fencing number of the lease.
    pub fence: u64,
    /// Whether the VM holds the lease; `false` if it has just resigned it.
    pub holds: bool,
    /// The age of the VM's last order, in ms; `None` if it issued none.
    pub ordered_ms_ago: Option<u32>,
}

/// The freshness of a copy, as ages, since the clocks of VMs differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ages {
    /// The time since the copy was known to be complete, in ms.
    pub complete_ms: u32,
    /// The time for which the store has been healthy, in ms.
    pub sound_ms: u32,
}

impl Ages {
    /// Returns the ages at `now`, rounded so that a receiver never takes the copy for fresher than it is.
    #[must_use]
    pub fn at(now: Instant, f: Freshness) -> Self {
        Self {
            complete_ms: millis(f.age(now)).saturating_add(1),
            sound_ms: millis(now.saturating_duration_since(f.healthy_since())),
        }
    }

    /// Converts ages received at `now` to a freshness on the local clock.
    #[must_use]
    pub fn to_freshness(self, now: Instant) -> Freshness {
        Freshness::new(before(now, self.complete_ms), before(now, self.sound_ms))
    }
}

/// The freshness of a process's copies, by its own reads; `None` if its last read failed or it has read nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reading {
    /// The freshness of the operators' configuration.
    pub configuration: Option<Ages>,
    /// The freshness of the list of endpoints.
    pub endpoints: Option<Ages>,
}

/// A VM that reads the configuration in the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastReader {
    /// The VM.
    pub vm: SmolStr,
    /// The time since its last read began, in ms.
    pub read_ms_ago: u32,
}

impl LastReader {
    /// Returns the entry to send at `now` for a read that began at `began`.
    #[must_use]
    pub fn at(now: Instant, vm: SmolStr, began: Instant) -> Self {
        Self {
            vm,
            read_ms_ago: millis(now.saturating_duration_since(began)),
        }
    }

    /// Returns the approximate time at which the read began, for an entry received at `now`.
    #[must_use]
    pub fn read_began(&self, now: Instant) -> Instant {
        before(now, self.read_ms_ago)
    }
}

/// A gossip message from one process to others.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// What the message covers, and which VMs it is for.
    pub scope: Scope,
    /// Whether the receiver forwards the message within its own zone.
    pub forward: bool,
    /// The name of the sending VM.
    pub from: SmolStr,
    /// The availability zone of the sending VM.
    pub zone: SmolStr,
    /// The number of VMs that the message covers.
    pub vms: u16,
    /// The address at which the VM receives datagrams, as `IP:PORT`.
    pub address: SmolStr,
    /// The VM's CPU capacity, in thousandths of a core.
    pub millicores: u32,
    /// Whether the VM can be a candidate for the lease: it reaches the platform's store and wasn't asked to shut down.
    pub reaches_store: bool,
    /// A random number drawn at each start of the process. It distinguishes its messages from those of an earlier start
    /// without a clock.
    pub start: u64,
    /// The message's sequence number, which increases with each message of one start of the process.
    pub number: u64,
    /// The index of the part of `taken` that this message carries.
    pub part: u8,
    /// The number of parts into which `taken` is split.
    pub parts: u8,
    /// The load that requests of the covered VMs place on each endpoint.
    pub taken: Vec<(Instance, Taken)>,
    /// The endpoints that the VM failed to reach recently; sent only to the VMs of its zone.
    pub unreached: Vec<Instance>,
    /// Endpoint instances that are gone, since another instance answers at their address.
    pub gone: Vec<Instance>,
    /// Endpoint instances that announced in their answers that they are leaving.
    pub leaving: Vec<Instance>,
    /// The callers' demand for each model, in ms of work per second.
    pub demand: Vec<(ModelRef, f32)>,
    /// The models that requests wait for and that aren't loaded.
    pub requested_loads: Vec<RequestedLoad>,
    /// Changes to the list of endpoints that the VM read recently.
    pub list: Vec<ListChanges>,
    /// The state of the lease to issue orders, if known.
    pub lease: Option<LeaseNotice>,
    /// The controller's reports of endpoints that changed recently.
    pub reports: Vec<HoldingsReport>,
    /// The positions up to which the VM has read the configuration and the list of endpoints in the platform's store.
    pub positions: Positions,
    /// The freshness of the VM's copies, by its own reads.
    pub reading: Reading,
    /// The VM with the latest known read of the configuration, which may be the sender itself.
    pub last_reader: Option<LastReader>,
    /// Requests that recently crashed endpoints or were recently cleared.
    pub crashes: Vec<CrashRecord>,
    /// The digest of all crash records that the VM knows.
    pub crashes_digest: u64,
    /// The number of VMs that the sender knows, itself included. Limits are divided among this number of VMs.
    pub vms_known: u16,
    /// Whether the VM can read the list of endpoints in the platform's store, as far as its attempts have shown.
    pub reads_list: bool,
    /// The rate limits that endpoints stated, and those that ended recently.
    pub rates: Vec<RateReport>,
    /// The VMs among those that the message covers that reach no endpoint.
    pub cut_off: Vec<SmolStr>,
}

/// A limit that an endpoint stated. Its times are ages, since the clocks of VMs differ.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RateReport {
    /// The endpoint.
    pub instance: Instance,
    /// What the limit counts.
    pub kind: RateKind,
    /// The limit in events per second for all VMs together; `None` if the endpoint no longer states a limit.
    pub rate: Option<f64>,
    /// The time since the request was sent, in ms.
    pub sent_ms_ago: u32,
    /// The time since its answer was received, in ms.
    pub received_ms_ago: u32,
}

impl RateReport {
    /// Returns the report to send at `now` for a limit of an endpoint.
    #[must_use]
    pub fn at(now: Instant, instance: Instance, kind: RateKind, w: RateObservation) -> Self {
        let ago = |t| millis(now.saturating_duration_since(t));
        Self {
            instance,
            kind,
            rate: w.rate,
            sent_ms_ago: ago(w.sent_at),
            received_ms_ago: ago(w.received_at),
        }
    }

    /// Converts a report received at `now` to an observation on the local clock.
    ///
    /// The report may have been in transit for up to `transit`, which makes the endpoint's statement seem later than it
    /// was. The interval in which the endpoint wrote it therefore begins earlier by `transit`, so that the observation
    /// isn't taken for newer than it is.
    #[must_use]
    pub fn to_observation(&self, now: Instant, transit: Duration) -> RateObservation {
        let sent_at = before(now, self.sent_ms_ago);
        RateObservation {
            rate: self.rate,
            sent_at: sent_at.checked_sub(transit).unwrap_or(sent_at),
            received_at: before(now, self.received_ms_ago),
        }
    }
}

/// Returns a duration in whole milliseconds, as ages are sent.
#[must_use]
pub fn millis(d: Duration) -> u32 {
    u32::try_from(d.as_millis()).unwrap_or(u32::MAX)
}

fn before(now: Instant, ms: u32) -> Instant {
    let ago = Duration::from_millis(u64::from(ms));
    now.checked_sub(ago).unwrap_or(now)
}

/// A query to another VM, to be answered immediately.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Query {
    /// The query's number, which the answer repeats.
    pub number: u64,
    /// What the query asks for.
    pub body: QueryBody,
}

/// A VM's description of itself for a VM that doesn't know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Introduction {
    /// The name of the VM.
    pub name: SmolStr,
    /// The availability zone of the VM.
    pub zone: SmolStr,
    /// The address at which the VM receives datagrams, as `IP:PORT`.
    pub address: SmolStr,
    /// The VM's CPU capacity, in thousandths of a core.
    pub millicores: u32,
}

/// An entry of [`Members`]: a VM that the sender knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The VM.
    pub vm: Introduction,
    /// Whether the platform's store lists the VM.
    pub is_listed: bool,
}

/// The VMs that one VM knows, itself included.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// The VMs.
    pub vms: Vec<Member>,
    /// Whether the list holds all VMs in the store: the sender has read them all, or received them from a VM that has.
    pub has_all: bool,
}

/// What a [`Query`] asks for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum QueryBody {
    /// The position and the maximum age of the receiver's configuration.
    Configuration,
    /// The VM from which the sender, which has just started, can fetch the site's state.
    Start(Introduction),
    /// Tokens of a rate limit, for a request.
    Tokens {
        /// The subject of the limit.
        subject: Subject,
        /// The number of tokens.
        tokens: f64,
    },
    /// An endpoint for a job. The receiver coordinates the endpoints of the job's model.
    Assignment {
        /// The job.
        job: Job,
        /// Endpoints that were already tried.
        tried: Vec<Instance>,
        /// The sending VM, for which a slot is granted if the service is brittle.
        vm: SmolStr,
        /// The request's claim to a place in the model's queue; `None` if it doesn't wait.
        claim: Option<QueueClaim>,
    },
    /// A request no longer waits in the queue of a model.
    Leave {
        /// The sending VM.
        vm: SmolStr,
        /// The request's number at that VM.
        number: u64,
        /// The model.
        model: SmolStr,
    },
    /// The tokens of these limits that the receiver has earned and hands over to the sender.
    Earnings {
        /// The VM that coordinates the limits' pools.
        coordinator: SmolStr,
        /// The number of VMs that the coordinator knows.
        vms_known: u16,
        /// The subjects of the limits.
        subjects: Vec<Subject>,
    },
    /// What began a stream.
    StreamOrigin(StreamTag),
    /// The versions of the endpoints' software that the receiver has seen.
    Versions,
}

/// What decides on the place of a request in the queue of its model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueueClaim {
    /// The request's number at its VM.
    pub number: u64,
    /// The workspace, or the caller where there are no workspaces.
    pub tenant: SmolStr,
    /// The workspace's weight among the others.
    pub weight: f32,
    /// The request's fingerprint.
    pub request: Fingerprint,
    /// The time until the latest start with which the request meets its objective, in ms; negative if it has passed.
    pub start_by_ms: i32,
    /// The time until the latest start with which the request can be served, in ms; negative if it has passed.
    pub serve_by_ms: i32,
}

impl QueueClaim {
    /// Returns the claim to send at `now`.
    #[must_use]
    pub fn at(now: Instant, w: &Waiter) -> Self {
        #[expect(clippy::cast_possible_truncation, reason = "rounding is harmless")]
        let weight = w.weight as f32;
        Self {
            number: w.ticket.number,
            tenant: w.tenant.clone(),
            weight,
            request: w.request,
            start_by_ms: signed_millis(now, w.start_by),
            serve_by_ms: signed_millis(now, w.serve_by),
        }
    }

    /// Converts a claim of a request of `vm`, received at `now`, to the local clock.
    #[must_use]
    pub fn to_waiter(&self, now: Instant, vm: &SmolStr, rank: u8) -> Waiter {
        Waiter {
            ticket: Ticket {
                vm: vm.clone(),
                number: self.number,
            },
            rank,
            tenant: self.tenant.clone(),
            weight: f64::from(self.weight),
            request: self.request,
            start_by: at_signed(now, self.start_by_ms),
            serve_by: at_signed(now, self.serve_by_ms),
        }
    }
}

fn signed_millis(now: Instant, at: Instant) -> i32 {
    let until = i32::try_from(at.saturating_duration_since(now).as_millis());
    let since = i32::try_from(now.saturating_duration_since(at).as_millis());
    until.unwrap_or(i32::MAX) - since.unwrap_or(i32::MAX)
}

fn at_signed(now: Instant, ms: i32) -> Instant {
    let distance = Duration::from_millis(u64::from(ms.unsigned_abs()));
    if ms < 0 {
        now.checked_sub(distance).unwrap_or(now)
    } else {
        now + distance
    }
}

/// The endpoint assigned to a job, or the reason why there is none.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Assignment {
    /// The endpoint, and the expected time to its first result, in ms.
    Endpoint(Instance, f32),
    /// All endpoints that hold the model have too many prompts to process; the expected time to a first result, in ms.
    Overloaded(f32),
    /// The queried VM knows no endpoint for the job.
    NoEndpoint,
    /// A brittle endpoint, the expected time to its first result, in ms, and the grant of a slot there.
    Slot(Instance, f32, GrantId),
    /// No slot of a brittle endpoint can be granted; one is expected after this time, in ms.
    NoSlot(u32),
    /// The request waits in the model's queue, and asks again after this time, in ms.
    Queued(u32),
    /// The request can't start in time; its turn comes after this time, in ms, or not in the time that its caller has left.
    NoTurn(Option<u32>),
}

/// A VM's requests at a brittle endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotUsage {
    /// The endpoint.
    pub instance: Instance,
    /// The requests that the VM has there or is about to send.
    pub held: Held,
    /// The number of the VM's requests that the endpoint has rejected since the VM started.
    pub rejected: u32,
}

/// A VM's report of the slots that it holds, for the VMs that grant them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slots {
    /// The VM.
    pub vm: SmolStr,
    /// A number that was drawn when the VM started.
    pub start: u64,
    /// The number of the report.
    pub number: u64,
    /// What became of the grants, by ledger.
    pub progress: Vec<Progress>,
    /// The endpoints at which the VM has requests, or had some rejected lately.
    pub usage: Vec<SlotUsage>,
}

/// What the queried VM knows of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OriginReply {
    /// Nothing.
    Unknown,
    /// It was told of two origins.
    Conflicting,
    /// What began the stream, and the time since the VM recorded it, in ms.
    Began(StreamOrigin, u32),
}

/// The answer to a [`Query`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The number of the query.
    pub number: u64,
    /// The content of the answer.
    pub reply: Reply,
}

/// The content of an [`Answer`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The position of the configuration and its age.
    Configuration {
        /// The position up to which the configuration was read.
        position: LogPosition,
        /// The time since the configuration was known to be the newest, in ms; `None` if that isn't known.
        confirmed_ms: Option<u32>,
        /// The number of VMs that the sender of the answer knows.
        vms_known: u16,
    },
    /// The datagram address of the VM from which to fetch the state; `None` if it is the queried VM itself.
    Parent(Option<SocketAddr>),
    /// The request was removed from the queue, if it was there.
    Left,
    /// The tokens were taken from the pool for the VM that sent the query.
    Granted,
    /// The pool has too few tokens; the time until it has enough, in ms.
    Short(u32),
    /// The queried VM isn't the coordinator of the pool, as far as it knows.
    NotCoordinator,
    /// The assignment of the job.
    Assignment(Assignment),
    /// The tokens handed over for each limit, in the order of the query; `None` where another VM coordinates the pool.
    Earnings(Vec<Option<f64>>),
    /// What the VM knows of the stream.
    StreamOrigin(OriginReply),
    /// The versions that the VM has seen; `None` if it has read no list.
    Versions(Option<VersionsSeen>),
}

/// A datagram between VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// A gossip message, sent several times per second.
    Message(Box<Message>),
    /// A query.
    Query(Query),
    /// An answer.
    Answer(Answer),
    /// What began some streams, for VMs that store it.
    Origins(Vec<OriginRecord>),
    /// The slots of brittle endpoints that a VM holds, for the VMs that grant them.
    Slots(Slots),
}

/// The positions up to which a process has read the feeds that it follows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Positions {
    /// The position in the operators' configuration.
    pub configuration: LogPosition,
    /// The position in the list of endpoints.
    pub endpoints: LogPosition,
}

/// A copy of what a process has read from the platform's store, for a process that can't read the store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// The positions up to which the sender has read.
    pub positions: Positions,
    /// The freshness of the copy, by the sender's own reads or another VM's.
    pub reading: Reading,
    /// The configuration in force.
    pub catalog: Option<Catalog>,
    /// The endpoints, without those whose removal is held back. The receiver decides on removals by itself, and would
    /// never receive a removal that precedes these positions.
    pub endpoints: Vec<Endpoint>,
    /// The IDs of entries that can't be parsed.
    pub unreadable: Vec<SmolStr>,
    /// The evacuated zones.
    pub evacuated: Vec<ZoneName>,
    /// The VMs of the site.
    pub members: Members,
    /// The versions of the endpoints' software that the list has shown lately.
    pub versions: Option<VersionsSeen>,
}

/// Encodes and compresses a state.
///
/// # Errors
///
/// Returns [`crate::Error::Binary`] if the state can't be encoded.
pub fn encode_state(s: &State) -> Result<Vec<u8>> {
    let plain = postcard::to_stdvec(s).context(BinarySnafu { len: 0_usize })?;
    // The state is compressed because it repeats the same names thousands of times.
    let mut out = vec![SCHEMA];
    out.extend(lz4_flex::compress_prepend_size(&plain));
    Ok(out)
}

/// Decompresses and decodes a state.
///
/// # Errors
///
/// Returns [`crate::Error::Version`] for another schema version, [`crate::Error::Packed`] if the state can't be
/// decompressed, [`crate::Error::Field`] if it is too large, and [`crate::Error::Binary`] if it can't be decoded.
pub fn decode_state(bytes: &[u8]) -> Result<State> {
    let packed = body(bytes)?;
    let (plain_len, _) = lz4_flex::block::uncompressed_size(packed).context(PackedSnafu)?;
    if plain_len > MAX_STATE {
        return FieldSnafu {
            field: "state",
            why: "exceeds the maximum decompressed size",
        }
        .fail();
    }
    let plain = lz4_flex::decompress_size_prepended(packed).context(PackedSnafu)?;
    postcard::from_bytes(&plain).context(BinarySnafu { len: bytes.len() })
}

/// Encodes the list of the VMs that a VM knows.
///
/// # Errors
///
/// Returns [`crate::Error::Binary`] if they can't be encoded.
pub fn encode_members(m: &Members) -> Result<Vec<u8>> {
    postcard::to_extend(m, vec![SCHEMA]).context(BinarySnafu { len: 0_usize })
}

/// Decodes the list of the VMs that another VM knows.
///
/// # Errors
///
/// Returns [`crate::Error::Version`] for another schema version, and [`crate::Error::Binary`] if the bytes can't be
/// decoded.
pub fn decode_members(bytes: &[u8]) -> Result<Members> {
    postcard::from_bytes(body(bytes)?).context(BinarySnafu { len: bytes.len() })
}

/// Encodes records of requests that crashed endpoints.
///
/// # Errors
///
/// Returns [`crate::Error::Binary`] if they can't be encoded.
pub fn encode_crashes(records: &[CrashRecord]) -> Result<Vec<u8>> {
    postcard::to_extend(records, vec![SCHEMA]).context(BinarySnafu { len: 0_usize })
}

/// Decodes records of requests that crashed endpoints.
///
/// # Errors
///
/// Returns [`crate::Error::Version`] for another schema version, and [`crate::Error::Binary`] if the bytes can't be
/// decoded.
pub fn decode_crashes(bytes: &[u8]) -> Result<Vec<CrashRecord>> {
    postcard::from_bytes(body(bytes)?).context(BinarySnafu { len: bytes.len() })
}

/// Encodes the versions that are listed.
///
/// # Errors
///
/// Returns [`crate::Error::Binary`] if they can't be encoded.
pub fn encode_versions(versions: &[ListedVersion]) -> Result<Vec<u8>> {
    postcard::to_extend(versions, vec![SCHEMA]).context(BinarySnafu { len: 0_usize })
}

/// Decodes the versions that are listed.
///
/// # Errors
///
/// Returns [`crate::Error::Version`] for another schema version, and [`crate::Error::Binary`] if the bytes can't be
/// decoded.
pub fn decode_versions(bytes: &[u8]) -> Result<Vec<ListedVersion>> {
    postcard::from_bytes(body(bytes)?).context(BinarySnafu { len: bytes.len() })
}

/// Encodes a datagram.
///
/// # Errors
///
/// Returns [`crate::Error::Binary`] if it can't be encoded.
pub fn encode(w: &Datagram) -> Result<Vec<u8>> {
    postcard::to_extend(w, vec![SCHEMA]).context(BinarySnafu { len: 0_usize })
}

/// Decodes a datagram.
///
/// # Errors
///
/// Returns [`crate::Error::Version`] for another schema version, and [`crate::Error::Binary`] if the bytes can't be
/// decoded.
pub fn decode(bytes: &[u8]) -> Result<Datagram> {
    postcard::from_bytes(body(bytes)?).context(BinarySnafu { len: bytes.len() })
}

/// Returns the bytes after the version byte, if this release supports that version.
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
