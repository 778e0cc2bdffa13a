//! The state that the platform's log agrees on.
//!
//! Every process folds the same records in the same order, so all reach the same state without
//! talking to each other. The promises about memory, reachability and leases are kept here: a
//! record that would break one is void, and it is void for every reader alike
//! (`docs/design/log-order.md`).

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

/// The longest time that an order can still arrive after it was written down, in milliseconds of
/// the log's time, unless the fleet's rules say otherwise.
pub const DEFAULT_MAX_ORDER_DELAY_MS: u64 = 300_000;

/// How many explanations of past orders are kept for `limectl explain`.
const HISTORY_LEN: usize = 512;

/// A replica of a model on an accelerator.
///
/// Memory counts every replica; reachability counts only the [`ReplicaState::Ready`] ones
/// (`docs/design/two-sided-accounting.md`).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// Its memory, in bytes.
    pub bytes: u64,
    /// How sure its presence is.
    pub state: ReplicaState,
    /// Whether the model is an adapter, and on which base.
    pub base: Option<ModelName>,
    /// The last order about it, if any.
    pub last_order: Option<Offset>,
}

/// How sure a replica's presence is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ReplicaState {
    /// A load was written down and isn't settled: it may be there.
    Loading(Offset),
    /// It is there.
    Ready,
    /// An unload was written down and isn't settled: it may be gone.
    Unloading(Offset),
}

/// The models of one accelerator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accelerator {
    /// Its memory, in bytes.
    pub capacity: u64,
    /// What may be there.
    #[serde(with = "pairs")]
    pub replicas: BTreeMap<ModelVersion, Replica>,
}

impl Accelerator {
    /// Gives the bytes that may be taken.
    #[must_use]
    pub fn used(&self) -> u64 {
        self.replicas.values().map(|r| r.bytes).sum()
    }

    /// Gives the bytes that are surely free.
    #[must_use]
    pub fn free(&self) -> u64 {
        self.capacity.saturating_sub(self.used())
    }
}

/// Whether an endpoint takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Presence {
    /// It takes work.
    Live,
    /// It ends what it has.
    Leaving,
    /// It is off the membership list.
    Gone,
}

/// An endpoint as the log knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Where it listens, as `IP:PORT`.
    pub address: SmolStr,
    /// What it is.
    pub kind: EndpointKind,
    /// Whether it takes work.
    pub presence: Presence,
    /// Its accelerators; none on a plain service.
    pub accelerators: Vec<Accelerator>,
    /// The order whose outcome isn't known, if any. There is at most one.
    pub pending: Option<Offset>,
    /// The offset of the record that last changed its presence or incarnation.
    pub since: Offset,
}

impl Endpoint {
    /// Tells whether it refuses orders with an old fencing number.
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
    /// The offset of its takeover, which is the fencing number.
    pub epoch: Offset,
    /// The entry VM that holds it.
    pub holder: VmName,
    /// The incarnation of its controller.
    pub incarnation: Incarnation,
    /// When it was taken.
    pub at: LogTime,
}

/// An intent with its place in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedIntent {
    /// Its offset.
    pub offset: Offset,
    /// When it was published.
    pub at: LogTime,
    /// The intent.
    pub intent: Intent,
}

/// Where a plan stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanState {
    /// Its offset.
    pub offset: Offset,
    /// The plan.
    pub plan: Plan,
    /// The answer, its operator, and the answer's offset.
    pub answer: Option<(AnswerKind, crate::id::OperatorName, Offset)>,
}

/// An order and what became of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderState {
    /// When it was written down.
    pub at: LogTime,
    /// The lease under which it was given.
    pub epoch: Offset,
    /// The holder that may send it, and its incarnation.
    pub sender: (VmName, Incarnation),
    /// Where.
    pub place: AcceleratorRef,
    /// What.
    pub action: Action,
    /// To which model.
    pub model: ModelVersion,
    /// Why.
    pub cause: Cause,
    /// Its memory, in bytes.
    pub bytes: u64,
    /// The outcome, once it is known.
    pub settled: Option<Settled>,
}

/// The known outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settled {
    /// What became of it.
    pub outcome: Outcome,
    /// How that is known.
    pub evidence: Evidence,
    /// The offset of the record that said so.
    pub offset: Offset,
    /// The log's time of that record.
    pub at: LogTime,
}

impl OrderState {
    /// Tells whether a copy of the order may still arrive at its endpoint.
    ///
    /// The time counts from the settlement: a paused sender may send an order long after it was
    /// written down, but not after its outcome is known.
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

/// What changed, for those who have to react to a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Intents, plans or answers.
    Configuration,
    /// A lease.
    Lease,
    /// Endpoints, orders or replicas.
    Endpoints,
    /// Only the offset.
    Nothing,
}

/// The state that the log agrees on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    /// The offset of the next record; nothing below it applies again.
    next: Offset,
    /// The log's time of the last record.
    at: LogTime,
    /// The latest intent.
    latest: Option<PublishedIntent>,
    /// The intent whose plan was confirmed last.
    confirmed: Option<PublishedIntent>,
    /// The plan of the latest intent.
    proposed: Option<PlanState>,
    /// Why the latest intent has no plan.
    refused: Option<PlanRefusal>,
    /// The plan in force.
    in_force: Option<PlanState>,
    /// The lease of each zone.
    leases: BTreeMap<ZoneName, Lease>,
    /// All endpoints that were ever seen and not forgotten.
    endpoints: BTreeMap<VmName, Endpoint>,
    /// Orders, the newest few hundred and all unsettled ones.
    #[serde(with = "pairs")]
    orders: BTreeMap<Offset, OrderState>,
    /// The version of each model that each zone serves; it changes once, when the confirmed one is
    /// ready there, and never back.
    #[serde(with = "pairs")]
    served: BTreeMap<(ZoneName, ModelName), SmolStr>,
    /// How many moves were done.
    moves_done: u64,
    /// How many records were void.
    void: u64,
    /// How many records this release could not read.
    unread: u64,
}

/// Why the latest intent has no plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanRefusal {
    /// The intent.
    pub intent: Offset,
    /// The explanation.
    pub why: SmolStr,
}

/// Queries.
impl Fleet {
    /// Gives the offset in force, or nothing before the first record.
    #[must_use]
    pub fn in_force_offset(&self) -> Option<Offset> {
        self.next.0.checked_sub(1).map(Offset)
    }

    /// Gives the offset to read next.
    #[must_use]
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// Gives the log's time of the last record.
    #[must_use]
    pub fn at(&self) -> LogTime {
        self.at
    }

    /// Gives the latest intent, confirmed or not.
    #[must_use]
    pub fn latest_intent(&self) -> Option<&PublishedIntent> {
        self.latest.as_ref()
    }

    /// Gives the intent that is in force.
    #[must_use]
    pub fn confirmed_intent(&self) -> Option<&PublishedIntent> {
        self.confirmed.as_ref()
    }

    /// Gives the plan of the latest intent, if there is one yet.
    #[must_use]
    pub fn proposed_plan(&self) -> Option<&PlanState> {
        self.proposed.as_ref()
    }

    /// Gives why the latest intent has no plan, if it was refused.
    #[must_use]
    pub fn plan_refusal(&self) -> Option<&PlanRefusal> {
        self.refused.as_ref()
    }

    /// Gives the plan in force.
    #[must_use]
    pub fn plan_in_force(&self) -> Option<&PlanState> {
        self.in_force.as_ref()
    }

    /// Gives a zone's lease.
    #[must_use]
    pub fn lease(&self, zone: &ZoneName) -> Option<&Lease> {
        self.leases.get(zone)
    }

    /// Gives the epoch of a zone's lease.
    #[must_use]
    pub fn epoch(&self, zone: &ZoneName) -> Option<Offset> {
        self.lease(zone).map(|l| l.epoch)
    }

    /// Gives all leases by zone.
    pub fn leases(&self) -> impl Iterator<Item = (&ZoneName, &Lease)> {
        self.leases.iter()
    }

    /// Gives an endpoint.
    #[must_use]
    pub fn endpoint(&self, name: &str) -> Option<&Endpoint> {
        self.endpoints.get(name)
    }

    /// Gives all endpoints by name.
    pub fn endpoints(&self) -> impl Iterator<Item = (&VmName, &Endpoint)> {
        self.endpoints.iter()
    }

    /// Gives an order, if it is unsettled or not long past.
    #[must_use]
    pub fn order(&self, offset: Offset) -> Option<&OrderState> {
        self.orders.get(&offset)
    }

    /// Gives the orders that are remembered, the oldest first.
    pub fn orders(&self) -> impl Iterator<Item = (Offset, &OrderState)> {
        self.orders.iter().map(|(k, o)| (*k, o))
    }

    /// Gives how many loads and unloads took effect.
    #[must_use]
    pub fn moves_done(&self) -> u64 {
        self.moves_done
    }

    /// Gives how many records were void, and how many could not be read.
    #[must_use]
    pub fn void_and_unread(&self) -> (u64, u64) {
        (self.void, self.unread)
    }

    /// Gives the replicas that requests may go to: ready, in the version that the zone serves, on
    /// endpoints that take work.
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

    /// Gives the places of the replicas of one model that requests may go to.
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

    /// Gives a replica.
    #[must_use]
    pub fn replica(&self, place: &AcceleratorRef, model: &ModelVersion) -> Option<&Replica> {
        self.accelerator(place)?.replicas.get(model)
    }

    /// Gives an accelerator.
    #[must_use]
    pub fn accelerator(&self, place: &AcceleratorRef) -> Option<&Accelerator> {
        self.endpoints
            .get(&place.endpoint)?
            .accelerators
            .get(usize::from(place.accelerator))
    }

    /// Gives the models of the confirmed intent that have fewer ready replicas than were asked for, in
    /// the version that was asked for, with how many they have.
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

    /// Tells whether the plan in force is carried out: every model has its replicas, at the planned
    /// places or others; what was to go is gone; and no order's outcome is open.
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

    /// Gives the targets of the plan in force that aren't ready now.
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

/// Writes maps with keys that aren't text as lists of pairs, which JSON can carry.
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
