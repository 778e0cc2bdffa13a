//! The replicated state machine that is driven by the platform's log.
//!
//! Every process applies the same records in the same order, so all processes reach the same state
//! without exchanging messages. The invariants on memory, reachability and leases are enforced here:
//! a record that would violate one is void, for every reader alike (`docs/design/log-order.md`).

mod admit;
mod apply;

use crate::error::UnknownSnafu;
use crate::id::{AcceleratorIndex, Incarnation, LogTime, ModelName, Offset, VmName, ZoneName};
use crate::intent::{Intent, ModelIntent};
use crate::plan::{AcceleratorRef, Action, ModelVersion, Plan, Target};
use crate::record::{AnswerKind, Cause, EndpointKind, Evidence, Outcome};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::collections::BTreeMap;

/// The default for the longest time after its append in which an order can still arrive, in
/// milliseconds of log time.
pub const DEFAULT_MAX_ORDER_DELAY_MS: u64 = 300_000;

/// The number of orders that are retained so that `limectl explain` can explain past ones.
const HISTORY_LEN: usize = 512;

/// A replica of a model on an accelerator.
///
/// Memory accounting includes every replica; reachability includes only [`ReplicaState::Ready`] ones
/// (`docs/design/two-sided-accounting.md`).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// The accelerator memory that the replica takes, in bytes.
    pub bytes: u64,
    /// Whether the replica is known to be present.
    pub state: ReplicaState,
    /// The base model if this is a replica of an adapter.
    pub base: Option<ModelName>,
    /// The last order that loaded or unloaded the replica, if any.
    pub last_order: Option<Offset>,
}

/// Whether a replica is known to be present.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ReplicaState {
    /// A load was appended to the log and isn't settled: the replica may be present.
    Loading(Offset),
    /// The replica is present.
    Ready,
    /// An unload was appended to the log and isn't settled: the replica may be gone.
    Unloading(Offset),
}

/// One accelerator and the replicas on it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accelerator {
    /// The accelerator's memory, in bytes.
    pub capacity: u64,
    /// The replicas that are or may be present.
    #[serde(with = "pairs")]
    pub replicas: BTreeMap<ModelVersion, Replica>,
}

impl Accelerator {
    /// Returns the bytes reserved by replicas that are or may be present.
    #[must_use]
    pub fn used(&self) -> u64 {
        self.replicas.values().map(|r| r.bytes).sum()
    }

    /// Returns the bytes that no replica can be using.
    #[must_use]
    pub fn free(&self) -> u64 {
        self.capacity.saturating_sub(self.used())
    }
}

/// Whether an endpoint accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Presence {
    /// The endpoint accepts new work.
    Live,
    /// The endpoint finishes the requests in flight and gets no new ones.
    Leaving,
    /// The endpoint is off the membership list.
    Gone,
}

/// An endpoint as recorded in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The availability zone.
    pub zone: ZoneName,
    /// The current incarnation.
    pub incarnation: Incarnation,
    /// The address that the endpoint listens on, as `IP:PORT`.
    pub address: SmolStr,
    /// Whether the endpoint is a model engine or a plain service.
    pub kind: EndpointKind,
    /// Whether the endpoint accepts new work.
    pub presence: Presence,
    /// The accelerators; empty for a plain service.
    pub accelerators: Vec<Accelerator>,
    /// The unsettled order, if any. There is at most one.
    pub pending: Option<Offset>,
    /// The offset of the record that last changed the presence or the incarnation.
    pub since: Offset,
}

impl Endpoint {
    /// Returns `true` if the endpoint refuses orders with an old fencing number.
    #[must_use]
    pub fn checks_fencing(&self) -> bool {
        matches!(
            self.kind,
            EndpointKind::Engine {
                checks_fencing: true,
                ..
            }
        )
    }
}

/// The lease of a zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The offset of the takeover record, which is also the fencing number.
    pub epoch: Offset,
    /// The entry VM that holds the lease.
    pub holder: VmName,
    /// The incarnation of the holder's controller.
    pub incarnation: Incarnation,
    /// The log time of the takeover.
    pub at: LogTime,
}

/// An intent with its position in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedIntent {
    /// The offset of the intent's record.
    pub offset: Offset,
    /// The log time at which the intent was published.
    pub at: LogTime,
    /// The intent.
    pub intent: Intent,
}

/// A plan and the operator's answer to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanState {
    /// The offset of the plan's record.
    pub offset: Offset,
    /// The plan.
    pub plan: Plan,
    /// The answer, the operator who gave it, and the offset of its record.
    pub answer: Option<(AnswerKind, crate::id::OperatorName, Offset)>,
}

/// An order and its outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderState {
    /// The log time at which the order was appended.
    pub at: LogTime,
    /// The epoch of the lease under which the order was issued.
    pub epoch: Offset,
    /// The lease holder that may send the order, and its incarnation.
    pub sender: (VmName, Incarnation),
    /// The accelerator that the order applies to.
    pub place: AcceleratorRef,
    /// Whether the order loads or unloads the model.
    pub action: Action,
    /// The model to load or unload.
    pub model: ModelVersion,
    /// Why the order was issued.
    pub cause: Cause,
    /// The accelerator memory that the model takes, in bytes.
    pub bytes: u64,
    /// The outcome, if it is known.
    pub settled: Option<Settled>,
}

/// The known outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settled {
    /// Whether the order took effect.
    pub outcome: Outcome,
    /// The evidence for the outcome.
    pub evidence: Evidence,
    /// The offset of the settling record.
    pub offset: Offset,
    /// The log time of the settling record.
    pub at: LogTime,
}

impl OrderState {
    /// Returns `true` if a copy of the order may still arrive at its endpoint.
    ///
    /// The delay is counted from the settlement: a paused sender may send an order long after it was
    /// appended to the log, but not after its outcome is known.
    #[must_use]
    pub fn may_arrive(&self, at: LogTime) -> bool {
        let Some(s) = &self.settled else { return true };
        match s.evidence {
            Evidence::NeverSent | Evidence::DelayPassed | Evidence::Fenced => false,
            Evidence::Answered | Evidence::EffectSeen => {
                at.millis_since(s.at) < DEFAULT_MAX_ORDER_DELAY_MS
            }
        }
    }
}

/// The part of the state that a record changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// An intent, a plan or an answer to a plan.
    Configuration,
    /// A lease.
    Lease,
    /// An endpoint, an order or a replica.
    Endpoints,
    /// Nothing but the offset.
    Nothing,
}

/// The state that results from applying the log's records in order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    /// The offset of the next record; records with a lower offset are refused.
    next: Offset,
    /// The log time of the last record.
    at: LogTime,
    /// The latest intent.
    latest: Option<PublishedIntent>,
    /// The intent whose plan was the last to be confirmed.
    confirmed: Option<PublishedIntent>,
    /// The plan of the latest intent.
    proposed: Option<PlanState>,
    /// Why the latest intent has no plan.
    refused: Option<PlanRefusal>,
    /// The plan in force.
    in_force: Option<PlanState>,
    /// The lease of each zone.
    leases: BTreeMap<ZoneName, Lease>,
    /// All endpoints that were ever seen, including those that are gone.
    endpoints: BTreeMap<VmName, Endpoint>,
    /// The newest few hundred orders, and all that are unsettled or may still arrive.
    #[serde(with = "pairs")]
    orders: BTreeMap<Offset, OrderState>,
    /// The version of each model that each zone serves. A zone switches to the confirmed version once
    /// it is ready there, and never reverts to an earlier one.
    #[serde(with = "pairs")]
    served: BTreeMap<(ZoneName, ModelName), SmolStr>,
    /// The number of loads and unloads that took effect.
    moves_done: u64,
    /// The number of void records.
    void: u64,
    /// The number of records that this release could not decode.
    unread: u64,
}

/// Why the latest intent has no plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanRefusal {
    /// The offset of the intent.
    pub intent: Offset,
    /// The reason.
    pub why: SmolStr,
}

/// Queries.
impl Fleet {
    /// Returns the offset of the last applied record, or `None` before the first one.
    #[must_use]
    pub fn in_force_offset(&self) -> Option<Offset> {
        self.next.0.checked_sub(1).map(Offset)
    }

    /// Returns the offset of the next record to read.
    #[must_use]
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// Returns the log time of the last record.
    #[must_use]
    pub fn at(&self) -> LogTime {
        self.at
    }

    /// Returns the latest intent, confirmed or not.
    #[must_use]
    pub fn latest_intent(&self) -> Option<&PublishedIntent> {
        self.latest.as_ref()
    }

    /// Returns the intent that is in force.
    #[must_use]
    pub fn confirmed_intent(&self) -> Option<&PublishedIntent> {
        self.confirmed.as_ref()
    }

    /// Returns the plan for the latest intent, if there is one yet.
    #[must_use]
    pub fn proposed_plan(&self) -> Option<&PlanState> {
        self.proposed.as_ref()
    }

    /// Returns the reason why the latest intent has no plan, if it was refused.
    #[must_use]
    pub fn plan_refusal(&self) -> Option<&PlanRefusal> {
        self.refused.as_ref()
    }

    /// Returns the plan in force.
    #[must_use]
    pub fn plan_in_force(&self) -> Option<&PlanState> {
        self.in_force.as_ref()
    }

    /// Returns a zone's lease.
    #[must_use]
    pub fn lease(&self, zone: &ZoneName) -> Option<&Lease> {
        self.leases.get(zone)
    }

    /// Returns the epoch of a zone's lease.
    #[must_use]
    pub fn epoch(&self, zone: &ZoneName) -> Option<Offset> {
        self.lease(zone).map(|l| l.epoch)
    }

    /// Iterates over all leases, in order of zone names.
    pub fn leases(&self) -> impl Iterator<Item = (&ZoneName, &Lease)> {
        self.leases.iter()
    }

    /// Returns the endpoint of the given name.
    #[must_use]
    pub fn endpoint(&self, name: &str) -> Option<&Endpoint> {
        self.endpoints.get(name)
    }

    /// Iterates over all endpoints, in order of names.
    pub fn endpoints(&self) -> impl Iterator<Item = (&VmName, &Endpoint)> {
        self.endpoints.iter()
    }

    /// Returns an order, unless it was settled long ago and has been dropped.
    #[must_use]
    pub fn order(&self, offset: Offset) -> Option<&OrderState> {
        self.orders.get(&offset)
    }

    /// Iterates over the retained orders, oldest first.
    pub fn orders(&self) -> impl Iterator<Item = (Offset, &OrderState)> {
        self.orders.iter().map(|(k, o)| (*k, o))
    }

    /// Returns the number of loads and unloads that took effect.
    #[must_use]
    pub fn moves_done(&self) -> u64 {
        self.moves_done
    }

    /// Returns the number of void records and the number of records that could not be decoded.
    #[must_use]
    pub fn void_and_unread(&self) -> (u64, u64) {
        (self.void, self.unread)
    }

    /// Iterates over the replicas that requests may be routed to: ready, in the version that the zone
    /// serves, on endpoints that accept new work.
    pub fn routable(&self) -> impl Iterator<Item = (&VmName, AcceleratorIndex, &ModelVersion)> {
        self.endpoints
            .iter()
            .filter(|(_, e)| e.presence == Presence::Live)
            .flat_map(|(name, e)| e.accelerators.iter().enumerate().map(move |a| (name, e, a)))
            .flat_map(move |(name, e, (i, a))| {
                let served = a
                    .replicas
                    .iter()
                    .filter(|(m, r)| self.is_routable(&e.zone, m, r));
                served.map(move |(m, _)| (name, index(i), m))
            })
    }

    /// Iterates over the accelerators that hold a routable replica of a model.
    pub fn ready_replicas<'a>(
        &'a self,
        model: &'a str,
    ) -> impl Iterator<Item = AcceleratorRef> + 'a {
        self.routable()
            .filter(move |(_, _, m)| m.name.as_str() == model)
            .map(|(name, i, _)| AcceleratorRef {
                endpoint: name.clone(),
                accelerator: i,
            })
    }

    fn is_routable(&self, zone: &ZoneName, model: &ModelVersion, replica: &Replica) -> bool {
        replica.state == ReplicaState::Ready
            && self.served.get(&(zone.clone(), model.name.clone())) == Some(&model.version)
    }

    /// Returns the replica of a model on an accelerator, whatever its state.
    #[must_use]
    pub fn replica(&self, place: &AcceleratorRef, model: &ModelVersion) -> Option<&Replica> {
        self.accelerator(place)?.replicas.get(model)
    }

    /// Returns an accelerator.
    #[must_use]
    pub fn accelerator(&self, place: &AcceleratorRef) -> Option<&Accelerator> {
        self.endpoints
            .get(&place.endpoint)?
            .accelerators
            .get(usize::from(place.accelerator))
    }

    /// Iterates over the models of the confirmed intent that have fewer ready replicas of the requested
    /// version than the intent asks for, each with the number that it has.
    pub fn underreplicated_models(&self) -> impl Iterator<Item = (&ModelIntent, usize)> {
        let mut ready: BTreeMap<(&ModelName, &SmolStr), usize> = BTreeMap::new();
        for (_, _, m) in self.routable() {
            *ready.entry((&m.name, &m.version)).or_default() += 1;
        }
        let intent = self.confirmed.as_ref().map(|p| &p.intent);
        let models = intent.into_iter().flat_map(|i| &i.models);
        models
            .map(move |m| (m, ready.get(&(&m.name, &m.version)).copied().unwrap_or(0)))
            .filter(|(m, ready)| *ready < usize::from(m.replicas))
    }

    /// Returns `true` if the plan in force is carried out: every model has its replicas, on the planned
    /// accelerators or on others; all planned unloads are done; and no order is unsettled.
    #[must_use]
    pub fn is_carried_out(&self) -> bool {
        let Some(p) = &self.in_force else {
            return false;
        };
        let open = self.orders.values().any(|o| o.settled.is_none());
        let mut unloads = p.plan.steps.iter().filter(|s| s.action == Action::Unload);
        let unloaded = unloads.all(|s| {
            let e = self.endpoint(s.place.endpoint.as_str());
            let gone = e.is_none_or(|e| e.presence == Presence::Gone);
            gone || self.replica(&s.place, &s.model).is_none()
        });
        !open && unloaded && self.underreplicated_models().next().is_none()
    }

    /// Iterates over the targets of the plan in force that aren't ready.
    pub fn missing_targets(&self) -> impl Iterator<Item = &Target> {
        let targets = self.in_force.iter().flat_map(|p| &p.plan.targets);
        targets.filter(|t| {
            let live = self
                .endpoint(t.place.endpoint.as_str())
                .is_some_and(|e| e.presence == Presence::Live);
            let replica = self.replica(&t.place, &t.model);
            !live || replica.is_none_or(|r| r.state != ReplicaState::Ready)
        })
    }
}

fn has_ready(acc: &Accelerator, model: &str) -> bool {
    acc.replicas
        .iter()
        .any(|(m, r)| m.name.as_str() == model && r.state == ReplicaState::Ready)
}

fn index(i: usize) -> AcceleratorIndex {
    AcceleratorIndex::try_from(i).unwrap_or(AcceleratorIndex::MAX)
}

fn unknown(what: &'static str, name: &dyn std::fmt::Display) -> crate::Error {
    UnknownSnafu {
        what,
        name: name.to_string(),
    }
    .build()
}

fn unknown_place(place: &AcceleratorRef) -> crate::Error {
    unknown(
        "accelerator",
        &format!("{}/{}", place.endpoint, place.accelerator),
    )
}

/// Serializes maps as lists of pairs, since JSON object keys have to be strings.
mod pairs {
    use serde::{Deserialize, Deserializer, Serialize, Serializer};
    use std::collections::BTreeMap;

    pub(super) fn serialize<K, V, S>(map: &BTreeMap<K, V>, s: S) -> Result<S::Ok, S::Error>
    where
        K: Serialize,
        V: Serialize,
        S: Serializer,
    {
        s.collect_seq(map)
    }

    pub(super) fn deserialize<'de, K, V, D>(d: D) -> Result<BTreeMap<K, V>, D::Error>
    where
        K: Deserialize<'de> + Ord,
        V: Deserialize<'de>,
        D: Deserializer<'de>,
    {
        Ok(Vec::<(K, V)>::deserialize(d)?.into_iter().collect())
    }
}
