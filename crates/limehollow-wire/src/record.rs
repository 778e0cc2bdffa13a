//! Codec for the records of the control stream: JSON text with a schema version.

use crate::error::{JsonSnafu, Result};
use limehollow::fleet::Fleet;
use limehollow::id::{Incarnation, ModelName, Offset, OperatorName, VmName, ZoneName};
use limehollow::intent::{Intent, IntentChange, ModelIntent, Weights};
use limehollow::plan::{AcceleratorRef, Action, ModelVersion, Plan, Step, Target};
use limehollow::record as core;
use limehollow::record::{
    AnswerKind, Cause, Content, Departure, EndpointKind, Evidence, Outcome, Record, Resident,
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use snafu::ResultExt;

/// The name of the stream that carries these records.
pub const STREAM: &str = "control";

/// The schema version that this release writes.
pub const SCHEMA: u16 = 1;

/// The state up to an offset.
///
/// [`Fleet`]'s own serde form is the format: a release that changes [`Fleet`] raises [`SCHEMA`], and older releases
/// skip the snapshot.
#[derive(Debug, Serialize, Deserialize)]
struct WireSnapshot {
    next: Offset,
    fleet: Box<Fleet>,
}

/// Defines a wire type with the same fields as a core type, and the conversions in both directions.
macro_rules! mirror {
    ($(#[$doc:meta])* $wire:ident of $core:path { $($field:ident: $ty:ty,)* }) => {
        $(#[$doc])*
        #[derive(Debug, Serialize, Deserialize)]
        struct $wire { $($field: $ty,)* }

        impl From<&$core> for $wire {
            fn from(c: &$core) -> Self {
                Self { $($field: c.$field.clone(),)* }
            }
        }

        impl From<$wire> for $core {
            fn from(w: $wire) -> Self {
                Self { $($field: w.$field,)* }
            }
        }
    };
}

mirror! {
    WireIntent of Intent {
        operator: OperatorName,
        models: Vec<ModelIntent>,
        weights: Weights,
        kv_headroom_percent: u8,
    }
}
mirror! {
    WireIntentChange of IntentChange {
        replaces: Offset,
        operator: OperatorName,
        set: Vec<ModelIntent>,
        removed: Vec<ModelName>,
        weights: Weights,
        kv_headroom_percent: u8,
    }
}
mirror! {
    WirePlan of Plan {
        intent: Offset,
        made_at: Offset,
        base: Option<Offset>,
        changed: Vec<ModelName>,
        targets: Vec<Target>,
        steps: Vec<Step>,
    }
}
mirror! {
    WirePlanRefused of core::PlanRefused {
        intent: Offset,
        why: SmolStr,
    }
}
mirror! {
    WireAnswer of core::Answer {
        plan: Offset,
        operator: OperatorName,
        kind: AnswerKind,
    }
}
mirror! {
    WireLeaseTaken of core::LeaseTaken {
        zone: ZoneName,
        holder: VmName,
        incarnation: Incarnation,
        replaces: Option<Offset>,
    }
}
mirror! {
    WireEndpointSeen of core::EndpointSeen {
        zone: ZoneName,
        epoch: Offset,
        endpoint: VmName,
        incarnation: Incarnation,
        address: SmolStr,
        kind: EndpointKind,
        residents: Vec<Resident>,
    }
}
mirror! {
    WireEndpointLeft of core::EndpointLeft {
        zone: ZoneName,
        epoch: Offset,
        endpoint: VmName,
        departure: Departure,
    }
}
mirror! {
    WireOrderIssued of core::OrderIssued {
        zone: ZoneName,
        epoch: Offset,
        incarnation: Incarnation,
        place: AcceleratorRef,
        action: Action,
        model: ModelVersion,
        bytes: u64,
        cause: Cause,
    }
}
mirror! {
    WireOrderSettled of core::OrderSettled {
        zone: ZoneName,
        epoch: Offset,
        order: Offset,
        outcome: Outcome,
        evidence: Evidence,
    }
}
mirror! {
    WireReplicaLost of core::ReplicaLost {
        zone: ZoneName,
        epoch: Offset,
        place: AcceleratorRef,
        model: ModelVersion,
    }
}

mirror! {
    WireReplicaFound of core::ReplicaFound {
        zone: ZoneName,
        epoch: Offset,
        resident: Resident,
    }
}

/// The body of a record. The field `rec` holds its kind.
#[derive(Debug, Serialize, Deserialize)]
#[serde(tag = "rec", content = "body", rename_all = "snake_case")]
enum Body {
    Intent(WireIntent),
    IntentChange(WireIntentChange),
    Plan(WirePlan),
    PlanRefused(WirePlanRefused),
    Answer(WireAnswer),
    LeaseTaken(WireLeaseTaken),
    EndpointSeen(WireEndpointSeen),
    EndpointLeft(WireEndpointLeft),
    OrderIssued(WireOrderIssued),
    OrderSettled(WireOrderSettled),
    ReplicaLost(WireReplicaLost),
    ReplicaFound(WireReplicaFound),
    Snapshot(WireSnapshot),
}

/// The record kinds that this release reads; the names of the variants of [`Body`].
const KINDS: [&str; 13] = [
    "intent",
    "intent_change",
    "plan",
    "plan_refused",
    "answer",
    "lease_taken",
    "endpoint_seen",
    "endpoint_left",
    "order_issued",
    "order_settled",
    "replica_lost",
    "replica_found",
    "snapshot",
];

#[derive(Debug, Deserialize)]
struct Head {
    v: u16,
    rec: SmolStr,
}

#[derive(Debug, Serialize, Deserialize)]
struct Envelope {
    v: u16,
    #[serde(flatten)]
    body: Body,
}

/// Encodes a record as JSON text.
///
/// # Panics
///
/// Never panics: every value of these types can be written as JSON.
#[must_use]
pub fn encode(r: &Record) -> String {
    write(match r {
        Record::Intent(c) => Body::Intent(c.into()),
        Record::IntentChange(c) => Body::IntentChange(c.into()),
        Record::Plan(c) => Body::Plan(c.into()),
        Record::PlanRefused(c) => Body::PlanRefused(c.into()),
        Record::Answer(c) => Body::Answer(c.into()),
        Record::LeaseTaken(c) => Body::LeaseTaken(c.into()),
        Record::EndpointSeen(c) => Body::EndpointSeen(c.into()),
        Record::EndpointLeft(c) => Body::EndpointLeft(c.into()),
        Record::OrderIssued(c) => Body::OrderIssued(c.into()),
        Record::OrderSettled(c) => Body::OrderSettled(c.into()),
        Record::ReplicaLost(c) => Body::ReplicaLost(c.into()),
        Record::ReplicaFound(c) => Body::ReplicaFound(c.into()),
    })
}

/// Encodes a snapshot of the fleet as JSON text.
///
/// # Panics
///
/// Never panics: every value of these types can be written as JSON.
#[must_use]
pub fn encode_snapshot(fleet: &Fleet) -> String {
    let next = fleet.next_offset();
    write(Body::Snapshot(WireSnapshot {
        next,
        fleet: Box::new(fleet.clone()),
    }))
}

fn write(body: Body) -> String {
    serde_json::to_string(&Envelope { v: SCHEMA, body })
        .expect("every record can be written as JSON")
}

/// Decodes the text of a record.
///
/// # Errors
///
/// Returns [`crate::Error::Json`] with line and column if the text isn't a record. A record of an unknown kind or
/// schema version isn't an error: it decodes to [`Content::Unknown`].
pub fn decode(text: &str) -> Result<Content> {
    let head: Head = serde_json::from_str(text).context(JsonSnafu)?;
    if head.v != SCHEMA || !KINDS.contains(&head.rec.as_str()) {
        return Ok(Content::Unknown);
    }
    let envelope: Envelope = serde_json::from_str(text).context(JsonSnafu)?;
    Ok(Content::from(envelope.body))
}

impl From<Body> for Content {
    fn from(body: Body) -> Self {
        Self::Record(match body {
            Body::Intent(w) => Record::Intent(w.into()),
            Body::IntentChange(w) => Record::IntentChange(w.into()),
            Body::Plan(w) => Record::Plan(w.into()),
            Body::PlanRefused(w) => Record::PlanRefused(w.into()),
            Body::Answer(w) => Record::Answer(w.into()),
            Body::LeaseTaken(w) => Record::LeaseTaken(w.into()),
            Body::EndpointSeen(w) => Record::EndpointSeen(w.into()),
            Body::EndpointLeft(w) => Record::EndpointLeft(w.into()),
            Body::OrderIssued(w) => Record::OrderIssued(w.into()),
            Body::OrderSettled(w) => Record::OrderSettled(w.into()),
            Body::ReplicaLost(w) => Record::ReplicaLost(w.into()),
            Body::ReplicaFound(w) => Record::ReplicaFound(w.into()),
            Body::Snapshot(s) => {
                return Self::Snapshot {
                    next: s.next,
                    fleet: s.fleet,
                };
            }
        })
    }
}
