//! Application of log records to the fleet's state.

use super::{
    Accelerator, DEFAULT_MAX_ORDER_DELAY_MS, Effect, Endpoint, Fleet, HISTORY_LEN, Lease,
    OrderState, PlanRefusal, PlanState, Presence, PublishedIntent, Replica, ReplicaState, Settled,
};
use super::{unknown, unknown_place};
use crate::error::{
    DuplicateMayArriveSnafu, IntentOvertakenSnafu, LeaseOvertakenSnafu, PlanAnsweredSnafu,
    PlanExistsSnafu, Result, StaleOffsetSnafu,
};
use crate::id::{LogTime, ModelName, Offset, VmName, ZoneName};
use crate::intent::{Intent, IntentChange};
use crate::plan::{AcceleratorRef, Action, ModelVersion, Plan, Target};
use crate::record::{
    Answer, AnswerKind, Departure, EndpointKind, EndpointLeft, EndpointSeen, Evidence, LeaseTaken,
    OrderIssued, OrderSettled, Outcome, PlanRefused, Record, ReplicaFound, ReplicaLost, Resident,
};
use std::collections::BTreeMap;

/// Commands.
impl Fleet {
    /// Applies the next record of the log.
    ///
    /// # Errors
    ///
    /// Returns the reason why the record is void. The offset still advances, except for
    /// [`crate::Error::StaleOffset`], which changes nothing.
    pub fn apply(&mut self, offset: Offset, at: LogTime, record: &Record) -> Result<Effect> {
        self.advance(offset, at)?;
        let res = self.apply_record(offset, at, record);
        if res.is_err() {
            self.void += 1;
        }
        res
    }

    /// Skips a record that this release can't decode, and counts it.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Error::StaleOffset`] if the offset isn't above that of the last applied record.
    pub fn skip_unreadable(&mut self, offset: Offset, at: LogTime) -> Result<Effect> {
        self.advance(offset, at)?;
        self.unread += 1;
        Ok(Effect::Nothing)
    }

    /// Skips a snapshot, which contains nothing new for a reader that is up to date.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Error::StaleOffset`] if the offset isn't above that of the last applied record.
    pub fn skip_snapshot(&mut self, offset: Offset, at: LogTime) -> Result<Effect> {
        self.advance(offset, at)?;
        Ok(Effect::Nothing)
    }

    fn advance(&mut self, offset: Offset, at: LogTime) -> Result<()> {
        if offset < self.next {
            let in_force = self.in_force_offset().unwrap_or_default();
            return StaleOffsetSnafu {
                got: offset,
                in_force,
            }
            .fail();
        }
        self.next = offset.next();
        self.at = self.at.max(at);
        Ok(())
    }

    fn apply_record(&mut self, offset: Offset, at: LogTime, record: &Record) -> Result<Effect> {
        match record {
            Record::Intent(r) => self.apply_intent(offset, at, r),
            Record::IntentChange(r) => self.apply_intent_change(offset, at, r),
            Record::Plan(r) => self.apply_plan(offset, r),
            Record::PlanRefused(r) => self.apply_refused(r),
            Record::Answer(r) => self.apply_answer(offset, r),
            Record::LeaseTaken(r) => self.apply_lease(offset, at, r),
            Record::EndpointSeen(r) => self.apply_seen(offset, r),
            Record::EndpointLeft(r) => self.apply_left(offset, r),
            Record::OrderIssued(r) => self.apply_issued(offset, at, r),
            Record::OrderSettled(r) => self.apply_settled(offset, at, r),
            Record::ReplicaLost(r) => self.apply_lost(r),
            Record::ReplicaFound(r) => self.apply_found(r),
        }
    }

    fn apply_intent(&mut self, offset: Offset, at: LogTime, r: &Intent) -> Result<Effect> {
        r.check()?;
        self.latest = Some(PublishedIntent {
            offset,
            at,
            intent: r.clone(),
        });
        self.proposed = None;
        self.refused = None;
        Ok(Effect::Configuration)
    }

    fn apply_intent_change(
        &mut self,
        offset: Offset,
        at: LogTime,
        r: &IntentChange,
    ) -> Result<Effect> {
        self.check_latest(r.replaces)?;
        let Some(latest) = &self.latest else {
            return Err(unknown("intent", &r.replaces));
        };
        let changed = latest.intent.with_change(r);
        self.apply_intent(offset, at, &changed)
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
        if r.base != self.in_force.as_ref().map(|p| p.offset) {
            return Err(unknown("plan in force that this one builds on", &r.made_at));
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

    /// Rejects a record that refers to an intent other than the latest one.
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
            return Err(self.no_plan_error(r.plan));
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
            let mut state = p.clone();
            state.plan.targets = merged_targets(self.in_force.as_ref(), &state.plan);
            self.in_force = Some(state);
            self.confirmed.clone_from(&self.latest);
            self.update_all_served_versions();
        }
        Ok(Effect::Configuration)
    }

    /// Returns the error for an answer to a plan that isn't proposed, naming the intent that replaced it.
    fn no_plan_error(&self, plan: Offset) -> crate::Error {
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
        let known = self.endpoints.get(&r.endpoint);
        if known.is_some_and(|e| e.zone != r.zone && e.presence != Presence::Gone) {
            return Err(unknown("endpoint", &r.endpoint));
        }
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
        let pending = self.carry_over_pending(&r.endpoint, &mut accelerators);
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
            self.update_served_version(&r.zone, &res.model);
        }
        Ok(Effect::Endpoints)
    }

    /// Carries the reservation of an unsettled order over a restart of its endpoint, since the order
    /// may still arrive at the new incarnation.
    fn carry_over_pending(
        &self,
        name: &VmName,
        accelerators: &mut [Accelerator],
    ) -> Option<Offset> {
        let old = self.endpoints.get(name)?;
        let order = old.pending?;
        let o = self.orders.get(&order)?;
        let slot = usize::from(o.place.accelerator);
        let acc = accelerators.get_mut(slot)?;
        match o.action {
            Action::Load => {
                let old = old
                    .accelerators
                    .get(slot)
                    .and_then(|a| a.replicas.get(&o.model));
                if let Some(replica) = old {
                    acc.replicas.insert(o.model.clone(), replica.clone());
                }
            }
            Action::Unload => {
                // The replica may be gone already, but the order may still arrive.
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
        let Some(e) = self
            .endpoints
            .get_mut(&r.endpoint)
            .filter(|e| e.zone == r.zone)
        else {
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
        self.drop_old_orders(at);
        Ok(Effect::Endpoints)
    }

    fn apply_settled(&mut self, offset: Offset, at: LogTime, r: &OrderSettled) -> Result<Effect> {
        self.check_epoch(&r.zone, r.epoch)?;
        let open = self.orders.get(&r.order).filter(|o| o.settled.is_none());
        let Some(place) = open
            .map(|o| o.place.clone())
            .filter(|p| self.is_in_zone(&p.endpoint, &r.zone))
        else {
            return Err(unknown("unsettled order", &r.order));
        };
        self.check_delay(at, r)?;
        let Some(o) = self.orders.get_mut(&r.order) else {
            return Err(unknown("unsettled order", &r.order));
        };
        o.settled = Some(Settled {
            outcome: r.outcome,
            evidence: r.evidence,
            offset,
            at,
        });
        let (model, action) = (o.model.clone(), o.action);
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
            self.update_served_version(&r.zone, &model);
        }
        Ok(Effect::Endpoints)
    }

    /// Rejects a settlement by delay if too little log time has passed since the order: the lease
    /// holder's clock may have stopped or run fast.
    fn check_delay(&self, at: LogTime, r: &OrderSettled) -> Result<()> {
        let Some(o) = self.orders.get(&r.order) else {
            return Ok(());
        };
        let waited = at.millis_since(o.at);
        if r.evidence != Evidence::DelayPassed || waited >= DEFAULT_MAX_ORDER_DELAY_MS {
            return Ok(());
        }
        let wait_ms = DEFAULT_MAX_ORDER_DELAY_MS - waited;
        DuplicateMayArriveSnafu {
            endpoint: o.place.endpoint.clone(),
            order: r.order,
            wait_ms,
        }
        .fail()
    }

    /// Returns `true` if an endpoint is known in a zone.
    fn is_in_zone(&self, endpoint: &VmName, zone: &ZoneName) -> bool {
        self.endpoints
            .get(endpoint)
            .is_some_and(|e| e.zone == *zone)
    }

    fn apply_lost(&mut self, r: &ReplicaLost) -> Result<Effect> {
        self.check_epoch(&r.zone, r.epoch)?;
        if !self.is_in_zone(&r.place.endpoint, &r.zone) {
            return Err(unknown_place(&r.place));
        }
        let acc = self
            .accelerator_mut(&r.place)
            .ok_or_else(|| unknown_place(&r.place))?;
        // A replica with an unsettled order changes by that order's outcome, not by an observation.
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

    fn apply_found(&mut self, r: &ReplicaFound) -> Result<Effect> {
        self.check_epoch(&r.zone, r.epoch)?;
        let Resident {
            place,
            model,
            bytes,
        } = &r.resident;
        if !self.is_in_zone(&place.endpoint, &r.zone) {
            return Err(unknown_place(place));
        }
        let base = self.base_of(&model.name);
        let acc = self
            .accelerator_mut(place)
            .ok_or_else(|| unknown_place(place))?;
        if acc.replicas.contains_key(model) {
            return Err(unknown("uncounted replica", &model.name));
        }
        // The replica is present whether or not it fits. If it exceeds the capacity, no load is admitted
        // until enough memory is free again.
        let state = ReplicaState::Ready;
        let replica = Replica {
            bytes: *bytes,
            state,
            base,
            last_order: None,
        };
        acc.replicas.insert(model.clone(), replica);
        self.update_served_version(&r.zone, model);
        Ok(Effect::Endpoints)
    }

    /// Switches a zone to the version of a replica that became ready, if operators confirmed that version
    /// or the zone serves none yet.
    fn update_served_version(&mut self, zone: &ZoneName, model: &ModelVersion) {
        let confirmed = self.confirmed_model(model).is_ok();
        let key = (zone.clone(), model.name.clone());
        if confirmed || !self.served.contains_key(&key) {
            self.served.insert(key, model.version.clone());
        }
    }

    /// Switches zones to confirmed versions whose replicas were ready before the confirmation.
    fn update_all_served_versions(&mut self) {
        let ready: Vec<(ZoneName, ModelVersion)> = self
            .endpoints
            .values()
            .flat_map(|e| e.accelerators.iter().map(move |a| (e, a)))
            .flat_map(|(e, a)| a.replicas.iter().map(move |r| (e, r)))
            .filter(|(_, (_, r))| r.state == ReplicaState::Ready)
            .map(|(e, (m, _))| (e.zone.clone(), m.clone()))
            .collect();
        for (zone, model) in ready {
            self.update_served_version(&zone, &model);
        }
    }

    fn accelerator_mut(&mut self, place: &AcceleratorRef) -> Option<&mut Accelerator> {
        let e = self.endpoints.get_mut(&place.endpoint)?;
        e.accelerators.get_mut(usize::from(place.accelerator))
    }

    /// Drops the oldest settled orders that can no longer arrive, down to [`HISTORY_LEN`] orders.
    fn drop_old_orders(&mut self, at: LogTime) {
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

/// Returns all targets of a plan that comes into force: its own, and those of its base for models that
/// it doesn't change.
fn merged_targets(base: Option<&PlanState>, plan: &Plan) -> Vec<Target> {
    let old = base.into_iter().flat_map(|p| &p.plan.targets);
    let kept = old.filter(|t| plan.changed.binary_search(&t.model.name).is_err());
    let mut all: Vec<Target> = kept.chain(&plan.targets).cloned().collect();
    all.sort();
    all
}
