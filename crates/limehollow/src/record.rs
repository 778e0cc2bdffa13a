//! What processes append to the platform's log.
//!
//! A record is a request to everybody who reads the log: [`crate::fleet::Fleet::apply`] says whether it
//! takes effect, and says the same to every reader.

use crate::id::{Incarnation, LogTime, Offset, OperatorName, ServiceName, VmName, ZoneName};
use crate::intent::{Intent, IntentChange};
use crate::plan::{AcceleratorRef, Action, ModelVersion, Plan};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// One record of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// An operator says what is to be served.
    Intent(Intent),
    /// An operator changes the latest intent.
    IntentChange(IntentChange),
    /// A controller answers an intent.
    Plan(Plan),
    /// A controller says why an intent can't be met.
    PlanRefused(PlanRefused),
    /// An operator answers a plan.
    Answer(Answer),
    /// A controller takes a zone's lease.
    LeaseTaken(LeaseTaken),
    /// The holder of a zone's lease has seen an endpoint, or a new incarnation of it.
    EndpointSeen(EndpointSeen),
    /// The holder of a zone's lease says that an endpoint leaves or is gone.
    EndpointLeft(EndpointLeft),
    /// The holder of a zone's lease is about to send an order.
    OrderIssued(OrderIssued),
    /// The outcome of an order is known.
    OrderSettled(OrderSettled),
    /// A replica was found to be gone.
    ReplicaLost(ReplicaLost),
    /// A replica was found that no order accounts for.
    ReplicaFound(ReplicaFound),
}

/// Why an intent has no plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlanRefused {
    /// The intent.
    pub intent: Offset,
    /// The shortest explanation, and what would mend it.
    pub why: SmolStr,
}

/// What an operator says to a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AnswerKind {
    /// Carry it out.
    Confirm,
    /// Drop it.
    Reject,
}

/// An operator's answer to a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The offset of the plan.
    pub plan: Offset,
    /// Who answers.
    pub operator: OperatorName,
    /// What is said.
    pub kind: AnswerKind,
}

/// A takeover of a zone's lease; its own offset is the new epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseTaken {
    /// The zone.
    pub zone: ZoneName,
    /// The entry VM that takes the lease.
    pub holder: VmName,
    /// The incarnation of its controller.
    pub incarnation: Incarnation,
    /// The epoch that it replaces; void if that isn't the current one.
    pub replaces: Option<Offset>,
}

/// What an endpoint is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointKind {
    /// A model engine with accelerators.
    Engine {
        /// Whether it refuses orders with an old fencing number.
        checks_fencing: bool,
        /// The memory of each accelerator, in bytes.
        accelerators: Vec<u64>,
    },
    /// A plain service.
    Service {
        /// Its name in request paths.
        name: ServiceName,
    },
}

/// A model found on an endpoint when it was first looked at.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resident {
    /// The accelerator.
    pub place: AcceleratorRef,
    /// The model.
    pub model: ModelVersion,
    /// Its memory, in bytes.
    pub bytes: u64,
}

/// An endpoint, as the lease holder of its zone found it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointSeen {
    /// Its zone.
    pub zone: ZoneName,
    /// The lease under which it is said.
    pub epoch: Offset,
    /// The endpoint.
    pub endpoint: VmName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Where it listens, as `IP:PORT`.
    pub address: SmolStr,
    /// What it is.
    pub kind: EndpointKind,
    /// The models on it, seen after it was fenced if it checks fencing numbers.
    pub residents: Vec<Resident>,
}

/// How an endpoint left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Departure {
    /// It leaves: no new work, what is in flight ends.
    Leaving,
    /// It is off the membership list.
    Gone,
}

/// An endpoint that leaves or is gone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointLeft {
    /// Its zone.
    pub zone: ZoneName,
    /// The lease under which it is said.
    pub epoch: Offset,
    /// The endpoint.
    pub endpoint: VmName,
    /// How it left.
    pub departure: Departure,
}

/// Why an order is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Cause {
    /// It is a step of the plan in force.
    Plan,
    /// It mends what the fleet lost.
    Repair,
    /// It meets lasting demand, within what operators confirmed.
    Demand,
}

/// An order, written down before it is sent; its own offset is its number and fencing number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderIssued {
    /// The zone.
    pub zone: ZoneName,
    /// The lease under which it is given.
    pub epoch: Offset,
    /// The incarnation of the endpoint.
    pub incarnation: Incarnation,
    /// Where.
    pub place: AcceleratorRef,
    /// What is to be done.
    pub action: Action,
    /// To which model.
    pub model: ModelVersion,
    /// Its memory, in bytes.
    pub bytes: u64,
    /// Why.
    pub cause: Cause,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    /// It took effect.
    Done,
    /// It did not and can't any more.
    NotDone,
}

/// How the outcome of an order is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Evidence {
    /// The endpoint answered the order itself.
    Answered,
    /// No byte of it left.
    NeverSent,
    /// The endpoint was fenced above the order and then looked at.
    Fenced,
    /// The effect was seen in a report that began after the longest lag.
    EffectSeen,
    /// Its sender is gone and the longest delay of an order has passed.
    DelayPassed,
}

/// The known outcome of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderSettled {
    /// The zone.
    pub zone: ZoneName,
    /// The lease under which it is said.
    pub epoch: Offset,
    /// The order.
    pub order: Offset,
    /// What became of it.
    pub outcome: Outcome,
    /// How that is known.
    pub evidence: Evidence,
}

/// A replica that a fresh look no longer showed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaLost {
    /// The zone.
    pub zone: ZoneName,
    /// The lease under which it is said.
    pub epoch: Offset,
    /// Where it was.
    pub place: AcceleratorRef,
    /// Which model.
    pub model: ModelVersion,
}

/// A replica that looks keep showing and that no order accounts for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaFound {
    /// The zone.
    pub zone: ZoneName,
    /// The lease under which it is said.
    pub epoch: Offset,
    /// What was found, and where.
    pub resident: Resident,
}

/// What stands at one place of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Content {
    /// A record.
    Record(Record),
    /// The state up to an offset; see [`crate::replay`].
    Snapshot {
        /// The first offset that the state doesn't include.
        next: Offset,
        /// The state.
        fleet: Box<crate::fleet::Fleet>,
    },
    /// Something that this release can't read.
    Unknown,
}

/// One place of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Its offset.
    pub offset: Offset,
    /// The log's time of the append.
    pub at: LogTime,
    /// What stands there.
    pub content: Content,
}
