//! The state that the platform's log agrees on.
//!
//! Every process folds the same records in the same order, so all reach the same state without
//! talking to each other. The promises about memory, reachability and leases are kept here: a
//! record that would break one is void, and it is void for every reader alike
//! (`docs/design/log-order.md`).

use crate::error::{
    AdapterBaseSnafu, AlreadySoSnafu, BackwardsSnafu, IntentOvertakenSnafu, LastReplicaSnafu,
    LeaseOvertakenSnafu, MayArriveLateSnafu, MemorySnafu, NotConfirmedSnafu, NotHolderSnafu,
    OrderPendingSnafu, PlanAnsweredSnafu, PlanExistsSnafu, Result, UnknownSnafu,
};
use crate::id::{AcceleratorIndex, Incarnation, LogTime, ModelName, Offset, VmName, ZoneName};
use crate::intent::{Intent, ModelIntent};
use crate::plan::{Action, ModelVersion, Place, Plan, Target};
use crate::record::{
    Answer, AnswerKind, Cause, Departure, EndpointKind, EndpointLeft, EndpointSeen, Evidence,
    LeaseTaken, OrderIssued, OrderSettled, Outcome, PlanRefused, Record, ReplicaLost,
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::collections::BTreeMap;

/// The longest time that an order can still arrive after it was written down, in milliseconds of
/// the log's time, unless the fleet's rules say otherwise.
pub const DEFAULT_LONGEST_DELAY_MS: u64 = 300_000;

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
pub struct Published {
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
    pub place: Place,
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
                at.millis_since(s.at) < DEFAULT_LONGEST_DELAY_MS
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
    latest: Option<Published>,
    /// The intent whose plan was confirmed last.
    confirmed: Option<Published>,
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
    pub fn latest_intent(&self) -> Option<&Published> {
        self.latest.as_ref()
    }

    /// Gives the intent that is in force.
    #[must_use]
    pub fn confirmed_intent(&self) -> Option<&Published> {
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
    pub fn ready<'a>(&'a self, model: &'a str) -> impl Iterator<Item = Place> + 'a {
        self.routable()
            .filter(move |(_, _, m)| m.name.as_str() == model)
            .map(|(name, i, _)| Place {
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
    pub fn replica(&self, place: &Place, model: &ModelVersion) -> Option<&Replica> {
        self.accelerator(place)?.replicas.get(model)
    }

    /// Gives an accelerator.
    #[must_use]
    pub fn accelerator(&self, place: &Place) -> Option<&Accelerator> {
        self.endpoints
            .get(&place.endpoint)?
            .accelerators
            .get(usize::from(place.accelerator))
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

    /// Tells whether an order would be admitted if it stood next in the log.
    ///
    /// # Errors
    ///
    /// The reason why it would be void.
    pub fn check_order(&self, at: LogTime, o: &OrderIssued) -> Result<()> {
        self.check_epoch(&o.zone, o.epoch)?;
        let e = self.check_endpoint(o)?;
        if let Some(order) = e.pending {
            return OrderPendingSnafu {
                endpoint: o.place.endpoint.clone(),
                order,
            }
            .fail();
        }
        let acc = self
            .accelerator(&o.place)
            .ok_or_else(|| unknown_place(&o.place))?;
        match o.action {
            Action::Load => {
                self.check_late(at, o, e)?;
                self.check_load(at, o, acc)
            }
            Action::Unload => self.check_unload(o, acc),
        }
    }

    fn check_epoch(&self, zone: &ZoneName, epoch: Offset) -> Result<()> {
        if self.epoch(zone) == Some(epoch) {
            return Ok(());
        }
        NotHolderSnafu {
            zone: zone.clone(),
            epoch,
        }
        .fail()
    }

    fn check_endpoint(&self, o: &OrderIssued) -> Result<&Endpoint> {
        let known = self.endpoints.get(&o.place.endpoint).filter(|e| {
            e.zone == o.zone && e.incarnation == o.incarnation && e.presence != Presence::Gone
        });
        known.ok_or_else(|| unknown("endpoint", &o.place.endpoint))
    }

    /// Voids a load while a second copy of an earlier unload may still arrive and take the new
    /// replica away. An endpoint that checks fencing numbers refuses the copy itself.
    fn check_late(&self, at: LogTime, o: &OrderIssued, e: &Endpoint) -> Result<()> {
        if e.checks_fencing() {
            return Ok(());
        }
        let earlier = self.orders.iter().rev().find(|(_, p)| {
            p.action == Action::Unload
                && p.place == o.place
                && p.model == o.model
                && p.may_arrive(at)
        });
        let Some((order, p)) = earlier else {
            return Ok(());
        };
        let since = p.settled.as_ref().map_or(at, |s| s.at);
        let wait_ms = DEFAULT_LONGEST_DELAY_MS.saturating_sub(at.millis_since(since));
        MayArriveLateSnafu {
            endpoint: o.place.endpoint.clone(),
            order: *order,
            wait_ms,
        }
        .fail()
    }

    /// Gives the bytes of models that aren't counted any more, but that a second copy of an earlier
    /// load may still bring back.
    fn may_come_back(&self, at: LogTime, place: &Place, acc: &Accelerator) -> u64 {
        let checks = self
            .endpoint(place.endpoint.as_str())
            .is_some_and(Endpoint::checks_fencing);
        if checks {
            return 0;
        }
        let mut models: BTreeMap<&ModelVersion, u64> = BTreeMap::new();
        for o in self.orders.values() {
            let load = o.action == Action::Load && o.place == *place && o.may_arrive(at);
            if load && !acc.replicas.contains_key(&o.model) {
                models.insert(&o.model, o.bytes);
            }
        }
        models.values().sum()
    }

    fn check_load(&self, at: LogTime, o: &OrderIssued, acc: &Accelerator) -> Result<()> {
        let intent = self.confirmed_model(&o.model)?;
        if acc.replicas.contains_key(&o.model) {
            return already(o);
        }
        if self
            .endpoint(o.place.endpoint.as_str())
            .is_none_or(|e| e.presence != Presence::Live)
        {
            return Err(unknown("live endpoint", &o.place.endpoint));
        }
        // The order's own figure must not undercut what operators confirmed.
        let needed = o.bytes.max(intent.bytes);
        let back = self.may_come_back(at, &o.place, acc);
        let own = self.orders.values().any(|p| {
            p.action == Action::Load && p.place == o.place && p.model == o.model && p.may_arrive(at)
        });
        let free = acc.free().saturating_sub(back) + if own { needed.min(back) } else { 0 };
        if free < needed {
            let (endpoint, accelerator) = (o.place.endpoint.clone(), o.place.accelerator);
            return MemorySnafu {
                endpoint,
                accelerator,
                free,
                needed,
            }
            .fail();
        }
        let Some(base) = &intent.base else {
            return Ok(());
        };
        if has_ready(acc, base.as_str()) {
            return Ok(());
        }
        base_error(o, "needs its base ready there first")
    }

    fn check_unload(&self, o: &OrderIssued, acc: &Accelerator) -> Result<()> {
        let ready = acc
            .replicas
            .get(&o.model)
            .is_some_and(|r| r.state == ReplicaState::Ready);
        if !ready {
            return already(o);
        }
        let carries = acc
            .replicas
            .values()
            .any(|r| r.base.as_ref() == Some(&o.model.name));
        let other_version = acc.replicas.iter().any(|(m, r)| {
            m.name == o.model.name && *m != o.model && r.state == ReplicaState::Ready
        });
        if carries && !other_version {
            return base_error(o, "still carries adapters");
        }
        let served = self
            .confirmed
            .as_ref()
            .is_some_and(|p| p.intent.model(o.model.name.as_str()).is_some());
        if served && !other_version && !self.has_other_replica(o) {
            return LastReplicaSnafu {
                model: o.model.name.clone(),
            }
            .fail();
        }
        Ok(())
    }

    /// Tells whether another replica of the order's model is surely ready elsewhere.
    fn has_other_replica(&self, o: &OrderIssued) -> bool {
        self.ready(o.model.name.as_str()).any(|p| p != o.place)
    }

    fn confirmed_model(&self, model: &ModelVersion) -> Result<&ModelIntent> {
        let m = self
            .confirmed
            .as_ref()
            .and_then(|p| p.intent.model(model.name.as_str()));
        match m {
            Some(m) if m.version == model.version => Ok(m),
            _ => NotConfirmedSnafu {
                model: model.name.clone(),
            }
            .fail(),
        }
    }
}

/// Commands.
impl Fleet {
    /// Takes the next record of the log.
    ///
    /// # Errors
    ///
    /// The reason why the record is void. The offset moves on all the same, save for
    /// [`crate::Error::Backwards`], which changes nothing.
    pub fn apply(&mut self, offset: Offset, at: LogTime, record: &Record) -> Result<Effect> {
        self.advance(offset, at)?;
        let res = self.apply_kind(offset, at, record);
        if res.is_err() {
            self.void += 1;
        }
        res
    }

    /// Passes over a record that this release can't read, and counts it.
    ///
    /// # Errors
    ///
    /// [`crate::Error::Backwards`] if the offset isn't after the one in force.
    pub fn pass_over(&mut self, offset: Offset, at: LogTime) -> Result<Effect> {
        self.advance(offset, at)?;
        self.unread += 1;
        Ok(Effect::Nothing)
    }

    /// Passes over a snapshot, which says nothing new to those who are up to date.
    ///
    /// # Errors
    ///
    /// [`crate::Error::Backwards`] if the offset isn't after the one in force.
    pub fn step_over(&mut self, offset: Offset, at: LogTime) -> Result<Effect> {
        self.advance(offset, at)?;
        Ok(Effect::Nothing)
    }

    fn advance(&mut self, offset: Offset, at: LogTime) -> Result<()> {
        if offset < self.next {
            let in_force = self.in_force_offset().unwrap_or_default();
            return BackwardsSnafu {
                got: offset,
                in_force,
            }
            .fail();
        }
        self.next = offset.next();
        self.at = self.at.max(at);
        Ok(())
    }

    fn apply_kind(&mut self, offset: Offset, at: LogTime, record: &Record) -> Result<Effect> {
        match record {
            Record::Intent(r) => self.apply_intent(offset, at, r),
            Record::Plan(r) => self.apply_plan(offset, r),
            Record::PlanRefused(r) => self.apply_refused(r),
            Record::Answer(r) => self.apply_answer(offset, r),
            Record::LeaseTaken(r) => self.apply_lease(offset, at, r),
            Record::EndpointSeen(r) => self.apply_seen(offset, r),
            Record::EndpointLeft(r) => self.apply_left(offset, r),
            Record::OrderIssued(r) => self.apply_issued(offset, at, r),
            Record::OrderSettled(r) => self.apply_settled(offset, at, r),
            Record::ReplicaLost(r) => self.apply_lost(r),
        }
    }

    fn apply_intent(&mut self, offset: Offset, at: LogTime, r: &Intent) -> Result<Effect> {
        r.check()?;
        self.latest = Some(Published {
            offset,
            at,
            intent: r.clone(),
        });
        self.proposed = None;
        self.refused = None;
        Ok(Effect::Configuration)
    }

    fn apply_plan(&mut self, offset: Offset, r: &Plan) -> Result<Effect> {
        self.check_latest(r.intent)?;
        if let Some(p) = &self.proposed {
            return PlanExistsSnafu {
                intent: r.intent,
                plan: p.offset,
            }
            .fail();
        }
        self.proposed = Some(PlanState {
            offset,
            plan: r.clone(),
            answer: None,
        });
        self.refused = None;
        Ok(Effect::Configuration)
    }

    fn apply_refused(&mut self, r: &PlanRefused) -> Result<Effect> {
        self.check_latest(r.intent)?;
        if let Some(p) = &self.proposed {
            return PlanExistsSnafu {
                intent: r.intent,
                plan: p.offset,
            }
            .fail();
        }
        self.refused = Some(PlanRefusal {
            intent: r.intent,
            why: r.why.clone(),
        });
        Ok(Effect::Configuration)
    }

    /// Refuses what answers an intent that isn't the latest any more.
    fn check_latest(&self, intent: Offset) -> Result<()> {
        let Some(latest) = &self.latest else {
            return Err(unknown("intent", &intent));
        };
        if latest.offset == intent {
            return Ok(());
        }
        IntentOvertakenSnafu {
            intent,
            by: latest.offset,
            operator: latest.intent.operator.clone(),
            at: latest.at,
        }
        .fail()
    }

    fn apply_answer(&mut self, offset: Offset, r: &Answer) -> Result<Effect> {
        let Some(p) = self.proposed.as_mut().filter(|p| p.offset == r.plan) else {
            return Err(self.why_no_plan(r.plan));
        };
        if let Some((kind, operator, by)) = &p.answer {
            let answer = match kind {
                AnswerKind::Confirm => "confirmed",
                AnswerKind::Reject => "rejected",
            };
            let (operator, by) = (operator.clone(), *by);
            return PlanAnsweredSnafu {
                plan: r.plan,
                answer,
                operator,
                by,
            }
            .fail();
        }
        p.answer = Some((r.kind, r.operator.clone(), offset));
        if r.kind == AnswerKind::Confirm {
            self.in_force = Some(p.clone());
            self.confirmed.clone_from(&self.latest);
            self.note_all_ready();
        }
        Ok(Effect::Configuration)
    }

    /// Explains an answer to a plan that doesn't stand, naming the intent that replaced it.
    fn why_no_plan(&self, plan: Offset) -> crate::Error {
        match &self.latest {
            Some(l) if l.offset > plan => IntentOvertakenSnafu {
                intent: plan,
                by: l.offset,
                operator: l.intent.operator.clone(),
                at: l.at,
            }
            .build(),
            _ => unknown("plan", &plan),
        }
    }

    fn apply_lease(&mut self, offset: Offset, at: LogTime, r: &LeaseTaken) -> Result<Effect> {
        if let Some(current) = self.epoch(&r.zone)
            && r.replaces != Some(current)
        {
            return LeaseOvertakenSnafu {
                zone: r.zone.clone(),
                current,
            }
            .fail();
        }
        let lease = Lease {
            epoch: offset,
            holder: r.holder.clone(),
            incarnation: r.incarnation,
            at,
        };
        self.leases.insert(r.zone.clone(), lease);
        Ok(Effect::Lease)
    }

    fn apply_seen(&mut self, offset: Offset, r: &EndpointSeen) -> Result<Effect> {
        self.check_epoch(&r.zone, r.epoch)?;
        let capacities: &[u64] = match &r.kind {
            EndpointKind::Engine { accelerators, .. } => accelerators,
            EndpointKind::Service { .. } => &[],
        };
        let mut accelerators: Vec<Accelerator> = capacities
            .iter()
            .map(|&capacity| Accelerator {
                capacity,
                replicas: BTreeMap::new(),
            })
            .collect();
        for res in &r.residents {
            let base = self.base_of(&res.model.name);
            let Some(acc) = accelerators.get_mut(usize::from(res.place.accelerator)) else {
                continue;
            };
            let state = ReplicaState::Ready;
            let replica = Replica {
                bytes: res.bytes,
                state,
                base,
                last_order: None,
            };
            acc.replicas.insert(res.model.clone(), replica);
        }
        let pending = self.carry_pending(&r.endpoint, &mut accelerators);
        let endpoint = Endpoint {
            zone: r.zone.clone(),
            incarnation: r.incarnation,
            address: r.address.clone(),
            kind: r.kind.clone(),
            presence: Presence::Live,
            accelerators,
            pending,
            since: offset,
        };
        self.endpoints.insert(r.endpoint.clone(), endpoint);
        for res in &r.residents {
            self.note_ready(&r.zone, &res.model);
        }
        Ok(Effect::Endpoints)
    }

    /// Keeps the reservation of an unsettled order over a restart of its endpoint, since the order
    /// may still arrive at the new incarnation.
    fn carry_pending(&self, name: &VmName, accelerators: &mut [Accelerator]) -> Option<Offset> {
        let old = self.endpoints.get(name)?;
        let order = old.pending?;
        let o = self.orders.get(&order)?;
        let acc = accelerators.get_mut(usize::from(o.place.accelerator))?;
        let replica = old
            .accelerators
            .get(usize::from(o.place.accelerator))?
            .replicas
            .get(&o.model)?
            .clone();
        match o.action {
            Action::Load => {
                acc.replicas.insert(o.model.clone(), replica);
            }
            Action::Unload => {
                if let Some(r) = acc.replicas.get_mut(&o.model) {
                    r.state = ReplicaState::Unloading(order);
                }
            }
        }
        Some(order)
    }

    fn base_of(&self, model: &ModelName) -> Option<ModelName> {
        self.confirmed
            .as_ref()?
            .intent
            .model(model.as_str())?
            .base
            .clone()
    }

    fn apply_left(&mut self, offset: Offset, r: &EndpointLeft) -> Result<Effect> {
        self.check_epoch(&r.zone, r.epoch)?;
        let Some(e) = self.endpoints.get_mut(&r.endpoint) else {
            return Err(unknown("endpoint", &r.endpoint));
        };
        e.presence = match r.departure {
            Departure::Leaving => Presence::Leaving,
            Departure::Gone => Presence::Gone,
        };
        e.since = offset;
        Ok(Effect::Endpoints)
    }

    fn apply_issued(&mut self, offset: Offset, at: LogTime, r: &OrderIssued) -> Result<Effect> {
        self.check_order(at, r)?;
        let base = self.base_of(&r.model.name);
        let bytes = self
            .confirmed_model(&r.model)
            .map_or(r.bytes, |m| m.bytes.max(r.bytes));
        let sender = self
            .leases
            .get(&r.zone)
            .map(|l| (l.holder.clone(), l.incarnation))
            .ok_or_else(|| unknown("lease", &r.zone))?;
        let acc = self
            .accelerator_mut(&r.place)
            .ok_or_else(|| unknown_place(&r.place))?;
        match r.action {
            Action::Load => {
                let state = ReplicaState::Loading(offset);
                let replica = Replica {
                    bytes,
                    state,
                    base,
                    last_order: Some(offset),
                };
                acc.replicas.insert(r.model.clone(), replica);
            }
            Action::Unload => {
                if let Some(replica) = acc.replicas.get_mut(&r.model) {
                    replica.state = ReplicaState::Unloading(offset);
                    replica.last_order = Some(offset);
                }
            }
        }
        if let Some(e) = self.endpoints.get_mut(&r.place.endpoint) {
            e.pending = Some(offset);
        }
        let order = OrderState {
            at,
            epoch: r.epoch,
            sender,
            place: r.place.clone(),
            action: r.action,
            model: r.model.clone(),
            cause: r.cause,
            bytes,
            settled: None,
        };
        self.orders.insert(offset, order);
        self.forget_old_orders(at);
        Ok(Effect::Endpoints)
    }

    fn apply_settled(&mut self, offset: Offset, at: LogTime, r: &OrderSettled) -> Result<Effect> {
        self.check_epoch(&r.zone, r.epoch)?;
        let Some(o) = self
            .orders
            .get_mut(&r.order)
            .filter(|o| o.settled.is_none())
        else {
            return Err(unknown("unsettled order", &r.order));
        };
        o.settled = Some(Settled {
            outcome: r.outcome,
            evidence: r.evidence,
            offset,
            at,
        });
        let (place, model, action) = (o.place.clone(), o.model.clone(), o.action);
        if let Some(e) = self.endpoints.get_mut(&place.endpoint) {
            e.pending = None;
        }
        self.moves_done += u64::from(r.outcome == Outcome::Done);
        let Some(acc) = self.accelerator_mut(&place) else {
            return Ok(Effect::Endpoints);
        };
        let stays = matches!(
            (action, r.outcome),
            (Action::Load, Outcome::Done) | (Action::Unload, Outcome::NotDone)
        );
        if !stays {
            acc.replicas.remove(&model);
        } else if let Some(replica) = acc.replicas.get_mut(&model) {
            replica.state = ReplicaState::Ready;
            self.note_ready(&r.zone, &model);
        }
        Ok(Effect::Endpoints)
    }

    fn apply_lost(&mut self, r: &ReplicaLost) -> Result<Effect> {
        self.check_epoch(&r.zone, r.epoch)?;
        let acc = self
            .accelerator_mut(&r.place)
            .ok_or_else(|| unknown_place(&r.place))?;
        // A replica with an order on its way is settled by that order's outcome, not by a look.
        let ready = acc
            .replicas
            .get(&r.model)
            .is_some_and(|x| x.state == ReplicaState::Ready);
        if !ready {
            return Err(unknown("ready replica", &r.model.name));
        }
        acc.replicas.remove(&r.model);
        Ok(Effect::Endpoints)
    }

    /// Notes that a replica is ready, and switches its zone to it if operators confirmed its version.
    fn note_ready(&mut self, zone: &ZoneName, model: &ModelVersion) {
        let confirmed = self.confirmed_model(model).is_ok();
        let key = (zone.clone(), model.name.clone());
        if confirmed || !self.served.contains_key(&key) {
            self.served.insert(key, model.version.clone());
        }
    }

    /// Switches zones to confirmed versions that were already there before the confirmation.
    fn note_all_ready(&mut self) {
        let ready: Vec<(ZoneName, ModelVersion)> = self
            .endpoints
            .values()
            .flat_map(|e| e.accelerators.iter().map(move |a| (e, a)))
            .flat_map(|(e, a)| a.replicas.iter().map(move |r| (e, r)))
            .filter(|(_, (_, r))| r.state == ReplicaState::Ready)
            .map(|(e, (m, _))| (e.zone.clone(), m.clone()))
            .collect();
        for (zone, model) in ready {
            self.note_ready(&zone, &model);
        }
    }

    fn accelerator_mut(&mut self, place: &Place) -> Option<&mut Accelerator> {
        let e = self.endpoints.get_mut(&place.endpoint)?;
        e.accelerators.get_mut(usize::from(place.accelerator))
    }

    /// Forgets settled orders that can't arrive any more, the oldest first.
    fn forget_old_orders(&mut self, at: LogTime) {
        let excess = self.orders.len().saturating_sub(HISTORY_LEN);
        let old: Vec<Offset> = self
            .orders
            .iter()
            .filter(|(_, o)| !o.may_arrive(at))
            .map(|(k, _)| *k)
            .take(excess)
            .collect();
        for k in old {
            self.orders.remove(&k);
        }
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

fn unknown_place(place: &Place) -> crate::Error {
    unknown(
        "accelerator",
        &format!("{}/{}", place.endpoint, place.accelerator),
    )
}

fn already(o: &OrderIssued) -> Result<()> {
    let (endpoint, accelerator) = (o.place.endpoint.clone(), o.place.accelerator);
    AlreadySoSnafu {
        model: o.model.name.clone(),
        endpoint,
        accelerator,
    }
    .fail()
}

fn base_error(o: &OrderIssued, why: &'static str) -> Result<()> {
    let (endpoint, accelerator) = (o.place.endpoint.clone(), o.place.accelerator);
    AdapterBaseSnafu {
        model: o.model.name.clone(),
        endpoint,
        accelerator,
        why,
    }
    .fail()
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
