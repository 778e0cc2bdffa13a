//! The error type of this crate.

use crate::id::{LogTime, ModelName, Offset, OperatorName, VmName, ZoneName};
use snafu::Snafu;

/// The result type of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// The reason why a record is void or a plan can't be made.
///
/// [`Error::category`] returns the kind of reaction that an error calls for.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The record's offset isn't above that of the last applied record.
    #[snafu(display("offset {got} is not after {in_force}, which is in force"))]
    StaleOffset {
        /// The record's offset.
        got: Offset,
        /// The offset of the last applied record.
        in_force: Offset,
    },
    /// The lease was taken by another holder first.
    #[snafu(display("the lease of zone {zone} was taken at offset {current}"))]
    LeaseOvertaken {
        /// The zone of the lease.
        zone: ZoneName,
        /// The current epoch of the lease.
        current: Offset,
    },
    /// The sender doesn't hold the zone's lease at this offset of the log.
    #[snafu(display("epoch {epoch} of zone {zone} is not the current one"))]
    NotHolder {
        /// The zone of the lease.
        zone: ZoneName,
        /// The epoch given in the record.
        epoch: Offset,
    },
    /// The record refers to an intent that a later one has replaced.
    #[snafu(display(
        "intent {intent} was overtaken by intent {by}, published by {operator} at {at_ms} ms",
        at_ms = at.0
    ))]
    IntentOvertaken {
        /// The offset of the intent that the record refers to, or of its plan.
        intent: Offset,
        /// The offset of the later intent.
        by: Offset,
        /// The operator who published the later intent.
        operator: OperatorName,
        /// The log time at which the later intent was published.
        at: LogTime,
    },
    /// The plan is already confirmed or rejected.
    #[snafu(display("plan {plan} was already {answer} by {operator} at offset {by}"))]
    PlanAnswered {
        /// The offset of the plan.
        plan: Offset,
        /// "confirmed" or "rejected".
        answer: &'static str,
        /// The operator who answered first.
        operator: OperatorName,
        /// The offset of that answer.
        by: Offset,
    },
    /// Another plan for the same intent came first.
    #[snafu(display("intent {intent} is already answered by plan {plan}"))]
    PlanExists {
        /// The offset of the intent.
        intent: Offset,
        /// The offset of the first plan.
        plan: Offset,
    },
    /// There is nothing of the given number or name.
    #[snafu(display("there is no {what} {name}"))]
    Unknown {
        /// The kind of object that was looked up.
        what: &'static str,
        /// The number or name that was looked up.
        name: String,
    },
    /// The accelerator has too little free memory.
    #[snafu(display("{endpoint}/{accelerator} has {free} bytes free, {needed} are needed"))]
    Memory {
        /// The endpoint.
        endpoint: VmName,
        /// The accelerator on it.
        accelerator: u16,
        /// The free bytes, after subtracting all replicas that may be present.
        free: u64,
        /// The bytes that the load needs.
        needed: u64,
    },
    /// The order would remove the last replica that is known to be ready.
    #[snafu(display("{model} has no other ready replica"))]
    LastReplica {
        /// The model.
        model: ModelName,
    },
    /// The endpoint has an unsettled order.
    #[snafu(display("{endpoint} has order {order} unsettled"))]
    OrderPending {
        /// The endpoint.
        endpoint: VmName,
        /// The offset of the unsettled order.
        order: Offset,
    },
    /// A duplicate of an earlier order may still arrive at an endpoint that doesn't check fencing numbers,
    /// or an order is settled by delay too early.
    #[snafu(display("order {order} to {endpoint} may still arrive again for {wait_ms} ms"))]
    DuplicateMayArrive {
        /// The endpoint.
        endpoint: VmName,
        /// The offset of the earlier order.
        order: Offset,
        /// The time until the order can't arrive any more, in milliseconds of log time.
        wait_ms: u64,
    },
    /// An adapter's base isn't ready on the accelerator, or a base still has adapters on it.
    #[snafu(display("{model} at {endpoint}/{accelerator} {why}"))]
    AdapterBase {
        /// The adapter, or the base that still has adapters on it.
        model: ModelName,
        /// The endpoint.
        endpoint: VmName,
        /// The accelerator on it.
        accelerator: u16,
        /// The problem.
        why: &'static str,
    },
    /// The order wouldn't change the replica's state.
    #[snafu(display("{model} is already in that state at {endpoint}/{accelerator}"))]
    AlreadyInState {
        /// The model.
        model: ModelName,
        /// The endpoint.
        endpoint: VmName,
        /// The accelerator on it.
        accelerator: u16,
    },
    /// The model or its version isn't part of the confirmed intent.
    #[snafu(display("{model} is not part of the confirmed intent"))]
    NotConfirmed {
        /// The model.
        model: ModelName,
    },
    /// The intent is invalid.
    #[snafu(display("intent: {why}"))]
    BadIntent {
        /// The problem and the valid values.
        why: String,
    },
    /// The existing accelerators can't hold the models of the intent.
    #[snafu(display(
        "{model} needs {needed} bytes on one accelerator in {place}; the most that is free is {free}: \
         free {short} bytes there, add an accelerator, or lower its replicas",
        short = needed.saturating_sub(*free)
    ))]
    Unsatisfiable {
        /// The model that doesn't fit.
        model: ModelName,
        /// The zone or accelerators that were tried.
        place: String,
        /// The bytes that the model needs on one accelerator.
        needed: u64,
        /// The most free bytes on any of these accelerators.
        free: u64,
    },
    /// No order of steps fits in memory and keeps all models reachable.
    #[snafu(display("no order of steps keeps {model} reachable within the memory of {endpoint}"))]
    NoStepOrder {
        /// The model that would become unreachable.
        model: ModelName,
        /// The endpoint without enough memory.
        endpoint: VmName,
    },
}

/// The kind of reaction that an [`Error`] calls for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Category {
    /// Another record came first: read the log and decide again.
    Overtaken,
    /// The record would violate an invariant now, but may be valid later.
    NotYet,
    /// The input is invalid, and a retry can't succeed.
    Invalid,
    /// The fleet is too small for the intent.
    Unsatisfiable,
}

impl Error {
    /// Returns the kind of reaction that this error calls for.
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
