//! The one error type of the decisions.

use crate::id::{LogTime, ModelName, Offset, OperatorName, VmName, ZoneName};
use snafu::Snafu;

/// What a decision gives when it can fail.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a record is void or a plan can't be made.
///
/// Ask [`Error::category`] when only the kind of reaction matters.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The record's offset isn't after the one in force.
    #[snafu(display("offset {got} is not after {in_force}, which is in force"))]
    StaleOffset {
        /// The record's offset.
        got: Offset,
        /// The offset in force.
        in_force: Offset,
    },
    /// The lease was taken by another holder first.
    #[snafu(display("the lease of zone {zone} was taken at offset {current}"))]
    LeaseOvertaken {
        /// The zone of the lease.
        zone: ZoneName,
        /// The epoch that stands.
        current: Offset,
    },
    /// The sender doesn't hold the zone's lease at this point of the log.
    #[snafu(display("epoch {epoch} of zone {zone} is not the current one"))]
    NotHolder {
        /// The zone of the lease.
        zone: ZoneName,
        /// The epoch that the record names.
        epoch: Offset,
    },
    /// The plan answers an intent that a later one has replaced.
    #[snafu(display(
        "intent {intent} was overtaken by intent {by}, published by {operator} at {at_ms} ms",
        at_ms = at.0
    ))]
    IntentOvertaken {
        /// The intent that the plan answers.
        intent: Offset,
        /// The later intent.
        by: Offset,
        /// Who published the later intent.
        operator: OperatorName,
        /// When it was published.
        at: LogTime,
    },
    /// The plan already has its answer.
    #[snafu(display("plan {plan} was already {answer} by {operator} at offset {by}"))]
    PlanAnswered {
        /// The plan.
        plan: Offset,
        /// "confirmed" or "rejected".
        answer: &'static str,
        /// Who answered first.
        operator: OperatorName,
        /// The offset of that answer.
        by: Offset,
    },
    /// Another plan for the same intent came first.
    #[snafu(display("intent {intent} is already answered by plan {plan}"))]
    PlanExists {
        /// The intent.
        intent: Offset,
        /// The plan that stands.
        plan: Offset,
    },
    /// Nothing is known under that number or name.
    #[snafu(display("there is no {what} {name}"))]
    Unknown {
        /// What kind of thing was looked for.
        what: &'static str,
        /// Its number or name.
        name: String,
    },
    /// The accelerator has too little memory left.
    #[snafu(display("{endpoint}/{accelerator} has {free} bytes free, {needed} are needed"))]
    Memory {
        /// The endpoint.
        endpoint: VmName,
        /// The accelerator on it.
        accelerator: u16,
        /// Free bytes, counting all that may be there.
        free: u64,
        /// The bytes that the load needs.
        needed: u64,
    },
    /// The order would take away the last replica that is surely ready.
    #[snafu(display("{model} has no other ready replica"))]
    LastReplica {
        /// The model.
        model: ModelName,
    },
    /// The endpoint has an order whose outcome isn't known yet.
    #[snafu(display("{endpoint} has order {order} unsettled"))]
    OrderPending {
        /// The endpoint.
        endpoint: VmName,
        /// The order in the way.
        order: Offset,
    },
    /// A duplicate of an earlier order may still arrive at an endpoint that checks no fencing number.
    #[snafu(display("order {order} to {endpoint} may still arrive again for {wait_ms} ms"))]
    DuplicateMayArrive {
        /// The endpoint.
        endpoint: VmName,
        /// The earlier order.
        order: Offset,
        /// How long until it can't arrive any more, in milliseconds of the log's time.
        wait_ms: u64,
    },
    /// An adapter's base isn't where it is needed, or still has adapters on it.
    #[snafu(display("{model} at {endpoint}/{accelerator} {why}"))]
    AdapterBase {
        /// The adapter, or the base that still carries adapters.
        model: ModelName,
        /// The endpoint.
        endpoint: VmName,
        /// The accelerator on it.
        accelerator: u16,
        /// What is wrong.
        why: &'static str,
    },
    /// The order repeats what is already so.
    #[snafu(display("{model} is already in that state at {endpoint}/{accelerator}"))]
    AlreadyInState {
        /// The model.
        model: ModelName,
        /// The endpoint.
        endpoint: VmName,
        /// The accelerator on it.
        accelerator: u16,
    },
    /// The order isn't part of what operators confirmed.
    #[snafu(display("{model} is not part of the confirmed intent"))]
    NotConfirmed {
        /// The model.
        model: ModelName,
    },
    /// The intent itself is wrong.
    #[snafu(display("intent: {why}"))]
    BadIntent {
        /// What is wrong and what would be right.
        why: String,
    },
    /// The intent can't be met by the accelerators that are there.
    #[snafu(display(
        "{model} needs {needed} bytes on one accelerator in {place}; the most that is free is {free}: \
         free {short} bytes there, add an accelerator, or lower its replicas",
        short = needed.saturating_sub(*free)
    ))]
    Unsatisfiable {
        /// The model that doesn't fit.
        model: ModelName,
        /// Where it was to go.
        place: String,
        /// Bytes that it needs on one accelerator.
        needed: u64,
        /// The largest free room there.
        free: u64,
    },
    /// There is no order of steps within the memory.
    #[snafu(display("no order of steps keeps {model} reachable within the memory of {endpoint}"))]
    NoStepOrder {
        /// The model that would be cut.
        model: ModelName,
        /// The endpoint that is short.
        endpoint: VmName,
    },
}

/// The kinds of reaction that an [`Error`] asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Category {
    /// Another one was first; read on and decide anew.
    Overtaken,
    /// A promise would break now; it may be right later.
    NotYet,
    /// The input is wrong and stays so.
    Invalid,
    /// The fleet is too small for the intent.
    Unsatisfiable,
}

impl Error {
    /// Gives the kind of reaction that this error asks for.
    #[must_use]
    pub fn category(&self) -> Category {
        match self {
            Self::StaleOffset { .. }
            | Self::LeaseOvertaken { .. }
            | Self::NotHolder { .. }
            | Self::IntentOvertaken { .. }
            | Self::PlanAnswered { .. }
            | Self::PlanExists { .. }
            | Self::AlreadyInState { .. } => Category::Overtaken,
            Self::Memory { .. }
            | Self::LastReplica { .. }
            | Self::OrderPending { .. }
            | Self::DuplicateMayArrive { .. }
            | Self::AdapterBase { .. } => Category::NotYet,
            Self::Unknown { .. } | Self::NotConfirmed { .. } | Self::BadIntent { .. } => {
                Category::Invalid
            }
            Self::Unsatisfiable { .. } | Self::NoStepOrder { .. } => Category::Unsatisfiable,
        }
    }
}
