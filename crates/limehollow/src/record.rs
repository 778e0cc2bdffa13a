//! The records that processes append to the platform's log.
//!
//! A record is a request to change the shared state. [`crate::fleet::Fleet::apply`] decides whether it
//! takes effect, with the same result for every reader.

use crate::id::{Incarnation, LogTime, Offset, OperatorName, ServiceName, VmName, ZoneName};
use crate::intent::{Intent, IntentChange};
use crate::plan::{AcceleratorRef, Action, ModelVersion, Plan};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// One record of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// An operator publishes the models to serve.
    Intent(Intent),
    /// An operator changes the latest intent.
    IntentChange(IntentChange),
    /// A controller proposes a plan for an intent.
    Plan(Plan),
    /// A controller reports why an intent can't be met.
    PlanRefused(PlanRefused),
    /// An operator confirms or rejects a plan.
    Answer(Answer),
    /// A controller takes over a zone's lease.
    LeaseTaken(LeaseTaken),
    /// The holder of a zone's lease discovered an endpoint, or a new incarnation of it.
    EndpointSeen(EndpointSeen),
    /// The holder of a zone's lease found that an endpoint is leaving or gone.
    EndpointLeft(EndpointLeft),
    /// The holder of a zone's lease is about to send an order.
    OrderIssued(OrderIssued),
    /// The outcome of an order is known.
    OrderSettled(OrderSettled),
    /// A ready replica is no longer observed.
    ReplicaLost(ReplicaLost),
    /// A replica was observed that no order explains.
    ReplicaFound(ReplicaFound),
}

/// Why an intent has no plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlanRefused {
    /// The offset of the intent.
    pub intent: Offset,
    /// A short explanation that includes how to fix the problem.
    pub why: SmolStr,
}

/// Whether an operator confirms or rejects a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AnswerKind {
    /// The plan is carried out.
    Confirm,
    /// The plan is dropped.
    Reject,
}

/// An operator's answer to a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The offset of the plan.
    pub plan: Offset,
    /// The operator who answers.
    pub operator: OperatorName,
    /// Whether the plan is confirmed or rejected.
    pub kind: AnswerKind,
}

/// A takeover of a zone's lease; the offset of the record is the new epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseTaken {
    /// The zone.
    pub zone: ZoneName,
    /// The entry VM that takes over the lease.
    pub holder: VmName,
    /// The incarnation of the holder's controller.
    pub incarnation: Incarnation,
    /// The epoch that the takeover replaces. The record is void if it isn't the current one.
    pub replaces: Option<Offset>,
}

/// The kind of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointKind {
    /// A model engine with accelerators.
    Engine {
        /// Whether the engine refuses orders with an old fencing number.
        checks_fencing: bool,
        /// The memory of each accelerator, in bytes.
        accelerators: Vec<u64>,
    },
    /// A plain service.
    Service {
        /// The service's name in request paths.
        name: ServiceName,
    },
}

/// A model that was observed on an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resident {
    /// The accelerator.
    pub place: AcceleratorRef,
    /// The model.
    pub model: ModelVersion,
    /// The accelerator memory that the model takes, in bytes.
    pub bytes: u64,
}

/// An endpoint as discovered by the lease holder of its zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointSeen {
    /// The endpoint's zone.
    pub zone: ZoneName,
    /// The epoch of the lease under which the record is appended.
    pub epoch: Offset,
    /// The endpoint.
    pub endpoint: VmName,
    /// The endpoint's incarnation.
    pub incarnation: Incarnation,
    /// The address that the endpoint listens on, as `IP:PORT`.
    pub address: SmolStr,
    /// The endpoint's kind.
    pub kind: EndpointKind,
    /// The models on the endpoint, observed after it was fenced if it checks fencing numbers.
    pub residents: Vec<Resident>,
}

/// How an endpoint left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Departure {
    /// The endpoint gets no new work and finishes the requests in flight.
    Leaving,
    /// The endpoint is off the membership list or doesn't answer any more.
    Gone,
}

/// The departure of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointLeft {
    /// The endpoint's zone.
    pub zone: ZoneName,
    /// The epoch of the lease under which the record is appended.
    pub epoch: Offset,
    /// The endpoint.
    pub endpoint: VmName,
    /// Whether the endpoint is leaving or gone.
    pub departure: Departure,
}

/// The reason for which an order is issued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Cause {
    /// The order is a step of the plan in force.
    Plan,
    /// The order replaces a lost replica or removes an untracked one.
    Repair,
    /// The order serves lasting demand, within the confirmed intent.
    Demand,
}

/// An order, appended before it is sent; the offset of the record is its number and fencing number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderIssued {
    /// The zone.
    pub zone: ZoneName,
    /// The epoch of the lease under which the order is issued.
    pub epoch: Offset,
    /// The incarnation of the endpoint.
    pub incarnation: Incarnation,
    /// The accelerator that the order applies to.
    pub place: AcceleratorRef,
    /// Whether to load or unload the model.
    pub action: Action,
    /// The model to load or unload.
    pub model: ModelVersion,
    /// The accelerator memory that the model takes, in bytes.
    pub bytes: u64,
    /// The reason for the order.
    pub cause: Cause,
}

/// Whether an order took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    /// The order took effect.
    Done,
    /// The order didn't take effect and can't any more.
    NotDone,
}

/// The evidence for the outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Evidence {
    /// The endpoint's answer to the order.
    Answered,
    /// No byte of the order was sent.
    NeverSent,
    /// The endpoint was fenced above the order's number and then observed.
    Fenced,
    /// The effect was observed by a poll that began after the longest lag of a report.
    EffectSeen,
    /// The sender is gone and the longest delay of an order has passed.
    DelayPassed,
}

/// The known outcome of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderSettled {
    /// The zone.
    pub zone: ZoneName,
    /// The epoch of the lease under which the record is appended.
    pub epoch: Offset,
    /// The offset of the order.
    pub order: Offset,
    /// Whether the order took effect.
    pub outcome: Outcome,
    /// The evidence for the outcome.
    pub evidence: Evidence,
}

/// A replica that recent observations no longer show.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaLost {
    /// The zone.
    pub zone: ZoneName,
    /// The epoch of the lease under which the record is appended.
    pub epoch: Offset,
    /// The accelerator that held the replica.
    pub place: AcceleratorRef,
    /// The model of the replica.
    pub model: ModelVersion,
}

/// A replica that observations keep showing and that no order explains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaFound {
    /// The zone.
    pub zone: ZoneName,
    /// The epoch of the lease under which the record is appended.
    pub epoch: Offset,
    /// The model and the accelerator that holds it.
    pub resident: Resident,
}

/// The content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Content {
    /// A record.
    Record(Record),
    /// A snapshot of the state up to an offset; see [`crate::replay`].
    Snapshot {
        /// The first offset that the snapshot doesn't include.
        next: Offset,
        /// The state.
        fleet: Box<crate::fleet::Fleet>,
    },
    /// An entry that this release can't decode.
    Unknown,
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The entry's offset.
    pub offset: Offset,
    /// The log time of the append.
    pub at: LogTime,
    /// The entry's content.
    pub content: Content,
}
