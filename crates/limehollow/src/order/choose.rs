//! Choice of plans and orders: steps of the plan in force first, then repairs.

use super::{Command, Driver};
use crate::fleet::{Accelerator, Endpoint, Fleet, Presence, ReplicaState};
use crate::id::{LogTime, ModelName, Offset, VmName, ZoneName};
use crate::intent::Intent;
use crate::listing::ListedKind;
use crate::membership::rendezvous;
use crate::placement;
use crate::plan::{AcceleratorRef, Action, ModelVersion, Step};
use crate::record::{Cause, OrderIssued, Outcome, PlanRefused, Record};
use smol_str::ToSmolStr;
use std::collections::HashSet;
use tokio::time::Instant;

impl Driver {
    /// Appends a plan for the latest intent, or the reason why there is none.
    pub(super) fn propose_plan(&mut self, now: Instant, fleet: &Fleet, out: &mut Vec<Command>) {
        let Some(latest) = fleet.latest_intent() else {
            return;
        };
        if fleet.proposed_plan().is_some() || fleet.plan_refusal().is_some() {
            return;
        }
        let since = match self.intent_seen {
            Some((o, at)) if o == latest.offset => at,
            _ => {
                self.intent_seen = Some((latest.offset, now));
                now
            }
        };
        // Holders are staggered by the order of their zones, so that only one of them proposes a plan. The
        // first one doesn't wait.
        let rank = fleet.leases().take_while(|(z, _)| **z != self.zone).count();
        let propose_at =
            since + self.rules.plan_timeout / 4 * u32::try_from(rank).unwrap_or(u32::MAX);
        let all_seen = self.all_listed_are_seen(fleet);
        if now < propose_at || !all_seen && now < propose_at + self.rules.plan_timeout {
            return;
        }
        let record = match placement::plan(fleet, latest.offset, &latest.intent) {
            Ok(plan) => Record::Plan(plan),
            Err(e) => {
                let refused = PlanRefused {
                    intent: latest.offset,
                    why: e.to_smolstr(),
                };
                Record::PlanRefused(refused)
            }
        };
        out.push(Command::Append(record));
    }

    fn all_listed_are_seen(&self, fleet: &Fleet) -> bool {
        let mut engines = self
            .list
            .values()
            .filter(|l| matches!(l.kind, ListedKind::Engine { .. }));
        self.list_known && engines.all(|l| l.leaving || fleet.endpoint(l.vm.as_str()).is_some())
    }

    /// Appends the next orders: steps of the plan in force in their order, then repairs, then additional
    /// replicas for models in demand. Returns the models that get an additional replica.
    pub(super) fn next_orders(
        &self,
        now: Instant,
        at: LogTime,
        fleet: &Fleet,
        epoch: Offset,
        in_demand: &[ModelName],
        out: &mut Vec<Command>,
    ) -> Vec<ModelName> {
        let Some(p) = fleet.plan_in_force() else {
            return Vec::new();
        };
        let mut round = Round::new(self, fleet, epoch, at);
        for s in &p.plan.steps {
            round.consider_step(s, p.offset);
        }
        for t in fleet.missing_targets() {
            round.consider_target(&t.zone, &t.place, &t.model);
        }
        round.unload_untracked_replicas();
        if round.loads < self.rules.max_loads {
            self.replace_lost_replicas(now, fleet, &mut round);
        }
        let added = self.meet_demand(fleet, in_demand, &mut round);
        out.extend(
            round
                .orders
                .into_iter()
                .map(|o| Command::Append(Record::OrderIssued(o))),
        );
        added
    }

    /// Adds a replica in this zone for each model with lasting demand, and returns the models that get one.
    /// If no accelerator has enough memory, a surplus replica of a model without demand is unloaded.
    fn meet_demand(
        &self,
        fleet: &Fleet,
        in_demand: &[ModelName],
        round: &mut Round<'_>,
    ) -> Vec<ModelName> {
        let Some(intent) = fleet.confirmed_intent().map(|p| &p.intent) else {
            return Vec::new();
        };
        let mut added = Vec::new();
        for m in in_demand.iter().filter_map(|n| intent.model(n.as_str())) {
            // The replicas that the intent asks for come first: additional ones would compete with them.
            if self.available_replicas(fleet, &m.name) < usize::from(m.replicas) {
                continue;
            }
            let model = m.model_version();
            let before = round.orders.len();
            match self.find_accelerator(fleet, intent, &model, m.bytes, round) {
                Some(place) => round.issue(place, Action::Load, model, m.bytes, Cause::Demand),
                None => self.unload_surplus_replica(fleet, intent, m.bytes, in_demand, round),
            }
            let loads = round.orders[before..]
                .iter()
                .any(|o| o.action == Action::Load);
            added.extend(loads.then(|| m.name.clone()));
        }
        added
    }

    /// Unloads one replica beyond what the intent asks for, if that frees enough memory.
    fn unload_surplus_replica(
        &self,
        fleet: &Fleet,
        intent: &Intent,
        bytes: u64,
        in_demand: &[ModelName],
        round: &mut Round<'_>,
    ) {
        let targets = fleet.plan_in_force().map_or(&[][..], |p| &p.plan.targets);
        for (place, a) in self.own_accelerators(fleet) {
            let headroom = a.capacity - intent.budget(a.capacity);
            let spare = a.replicas.iter().find(|(m, r)| {
                r.state == ReplicaState::Ready
                    && a.free() + r.bytes >= bytes + headroom
                    && !in_demand.contains(&m.name)
                    && round.has_surplus(&m.name)
                    && !targets.iter().any(|t| t.place == place && t.model == **m)
            });
            if let Some((m, r)) = spare {
                round.issue(place, Action::Unload, m.clone(), r.bytes, Cause::Demand);
                return;
            }
        }
    }

    /// Loads models whose accelerator is lost on another accelerator of this zone.
    fn replace_lost_replicas(&self, now: Instant, fleet: &Fleet, round: &mut Round<'_>) {
        let Some(intent) = fleet.confirmed_intent().map(|p| &p.intent) else {
            return;
        };
        let targets = fleet.plan_in_force().map_or(&[][..], |p| &p.plan.targets);
        let short: Vec<&ModelName> = targets
            .iter()
            .filter(|t| {
                self.is_lost(now, fleet, &t.place) && self.is_repaired_by_own_zone(fleet, t)
            })
            .map(|t| &t.model.name)
            .collect();
        let mut done = HashSet::new();
        for name in short {
            let Some(m) = intent.model(name.as_str()).filter(|_| done.insert(name)) else {
                continue;
            };
            let available = self.available_replicas(fleet, name);
            if available >= usize::from(m.replicas) {
                continue;
            }
            let version = m.model_version();
            if let Some(place) = self.find_accelerator(fleet, intent, &version, m.bytes, round) {
                round.issue(place, Action::Load, version, m.bytes, Cause::Repair);
            }
        }
    }

    /// Returns `true` if an accelerator isn't expected to come back soon.
    fn is_lost(&self, now: Instant, fleet: &Fleet, place: &AcceleratorRef) -> bool {
        let presence = fleet.endpoint(place.endpoint.as_str()).map(|e| e.presence);
        if presence == Some(Presence::Leaving) {
            return true;
        }
        let gone = presence.is_none_or(|p| p == Presence::Gone);
        let unlisted = self.unlisted_since.get(&place.endpoint);
        let failing = self
            .watches
            .get(&place.endpoint)
            .and_then(|w| w.failing_since);
        let since = unlisted.copied().or(failing);
        let long = since.is_none_or(|t| now >= t + self.rules.repair_after);
        (gone || unlisted.is_some()) && long
    }

    /// Returns `true` if this zone replaces a lost target. The target's own zone does if it still has
    /// engines, else one of the other zones, chosen by rendezvous hashing of the model's name.
    fn is_repaired_by_own_zone(&self, fleet: &Fleet, t: &crate::plan::Target) -> bool {
        let has_room = |z: &ZoneName| {
            let mut available = self.available_endpoints(fleet);
            available.any(|e| e.zone == *z && !e.accelerators.is_empty())
        };
        if has_room(&t.zone) {
            return t.zone == self.zone;
        }
        let zones = fleet.leases().map(|(z, _)| z).filter(|z| has_room(z));
        let owner = zones.max_by_key(|z| rendezvous(t.model.name.as_str(), z.as_str()));
        owner == Some(&self.zone)
    }

    /// Iterates over the endpoints of all zones that accept work and are on the platform's list. The list
    /// is checked as well, since no lease holder is left to record the loss of a whole zone in the log.
    fn available_endpoints<'f>(&'f self, fleet: &'f Fleet) -> impl Iterator<Item = &'f Endpoint> {
        fleet
            .endpoints()
            .filter(|(vm, e)| {
                e.presence == Presence::Live && !self.unlisted_since.contains_key(*vm)
            })
            .map(|(_, e)| e)
    }

    /// Returns the number of replicas of a model that are present or being loaded on available endpoints.
    fn available_replicas(&self, fleet: &Fleet, name: &ModelName) -> usize {
        self.available_endpoints(fleet)
            .flat_map(|e| &e.accelerators)
            .filter(|a| a.replicas.keys().any(|m| m.name == *name))
            .count()
    }

    /// Returns `true` if a model stays ready somewhere without one of its replicas. The log's own check also
    /// counts endpoints that are off the platform's list, so this check is stricter.
    fn stays_reachable(
        &self,
        fleet: &Fleet,
        without: &AcceleratorRef,
        model: &ModelVersion,
    ) -> bool {
        let intent = fleet.confirmed_intent().map(|p| &p.intent);
        if intent.is_none_or(|i| i.model(model.name.as_str()).is_none()) {
            return true;
        }
        fleet.routable().any(|(vm, accelerator, m)| {
            let is_removed_replica =
                *vm == without.endpoint && accelerator == without.accelerator && m == model;
            m.name == model.name && !is_removed_replica && !self.unlisted_since.contains_key(vm)
        })
    }

    /// Iterates over the accelerators of the own zone's endpoints that accept work.
    fn own_accelerators<'f>(
        &'f self,
        fleet: &'f Fleet,
    ) -> impl Iterator<Item = (AcceleratorRef, &'f Accelerator)> {
        let zone = &self.zone;
        fleet
            .endpoints()
            .filter(move |(_, e)| e.zone == *zone && e.presence == Presence::Live)
            .flat_map(|(vm, e)| (0_u16..).zip(&e.accelerators).map(move |a| (vm, a)))
            .map(|(vm, (accelerator, a))| {
                (
                    AcceleratorRef {
                        endpoint: vm.clone(),
                        accelerator,
                    },
                    a,
                )
            })
    }

    fn find_accelerator(
        &self,
        fleet: &Fleet,
        intent: &Intent,
        model: &ModelVersion,
        bytes: u64,
        round: &Round<'_>,
    ) -> Option<AcceleratorRef> {
        let mut best: Option<(u64, AcceleratorRef)> = None;
        for (place, a) in self.own_accelerators(fleet) {
            let headroom = a.capacity - intent.budget(a.capacity);
            let has_it = a.replicas.keys().any(|m| m.name == model.name);
            let better = best.as_ref().is_none_or(|(free, _)| a.free() > *free);
            let fits = a.free() >= bytes + headroom;
            if fits && !has_it && better && round.would_admit(&place, Action::Load, model, bytes) {
                best = Some((a.free(), place));
            }
        }
        best.map(|(_, p)| p)
    }
}

/// One evaluation of the fleet that chooses the next orders.
struct Round<'a> {
    driver: &'a Driver,
    fleet: &'a Fleet,
    epoch: Offset,
    at: LogTime,
    loads: usize,
    busy: HashSet<VmName>,
    /// Models and accelerators with an earlier step that isn't done. Later steps on them wait, so that the
    /// order that the plan was checked in is kept even if zones progress at different speeds.
    blocked_models: HashSet<&'a ModelName>,
    blocked_accelerators: HashSet<&'a AcceleratorRef>,
    unloads: HashSet<(&'a AcceleratorRef, &'a ModelVersion)>,
    orders: Vec<OrderIssued>,
}

impl<'a> Round<'a> {
    fn new(driver: &'a Driver, fleet: &'a Fleet, epoch: Offset, at: LogTime) -> Self {
        let open = fleet
            .orders()
            .filter(|(_, o)| o.settled.is_none() && o.action == Action::Load);
        let in_zone = |vm: &VmName| {
            fleet
                .endpoint(vm.as_str())
                .is_some_and(|e| e.zone == driver.zone)
        };
        let loads = open.filter(|(_, o)| in_zone(&o.place.endpoint)).count();
        Self {
            driver,
            fleet,
            epoch,
            at,
            loads,
            busy: HashSet::new(),
            blocked_models: HashSet::new(),
            blocked_accelerators: HashSet::new(),
            unloads: HashSet::new(),
            orders: Vec::new(),
        }
    }

    fn consider_step(&mut self, s: &'a Step, plan: Offset) {
        if s.action == Action::Unload {
            self.unloads.insert((&s.place, &s.model));
        }
        let Some(e) = self.fleet.endpoint(s.place.endpoint.as_str()) else {
            return;
        };
        if e.presence == Presence::Gone || self.is_achieved(s) {
            return;
        }
        let free = !self.blocked_models.contains(&s.model.name)
            && !self.blocked_accelerators.contains(&s.place);
        self.blocked_models.insert(&s.model.name);
        self.blocked_accelerators.insert(&s.place);
        if free && s.zone == self.driver.zone {
            let is_repeat = self.was_done(s, plan);
            if is_repeat && self.has_enough(&s.model.name) {
                return;
            }
            let cause = if is_repeat {
                Cause::Repair
            } else {
                Cause::Plan
            };
            self.issue(s.place.clone(), s.action, s.model.clone(), s.bytes, cause);
        }
    }

    /// Issues a load for a target that the plan keeps unchanged and that is missing now.
    fn consider_target(
        &mut self,
        zone: &ZoneName,
        place: &'a AcceleratorRef,
        model: &'a ModelVersion,
    ) {
        let held =
            self.fleet.replica(place, model).is_some() || self.blocked_accelerators.contains(place);
        if held || *zone != self.driver.zone || self.has_enough(&model.name) {
            return;
        }
        let intent = self
            .fleet
            .confirmed_intent()
            .and_then(|p| p.intent.model(model.name.as_str()));
        let Some(bytes) = intent.map(|m| m.bytes) else {
            return;
        };
        self.issue(
            place.clone(),
            Action::Load,
            model.clone(),
            bytes,
            Cause::Repair,
        );
    }

    /// Returns `true` if a model has all its replicas, on the planned accelerators or on others. In that
    /// case a lost replica isn't loaded again, since the move would bring nothing.
    fn has_enough(&self, model: &ModelName) -> bool {
        let intent = self
            .fleet
            .confirmed_intent()
            .and_then(|p| p.intent.model(model.as_str()));
        intent.is_some_and(|m| {
            self.driver.available_replicas(self.fleet, model) >= usize::from(m.replicas)
        })
    }

    /// Unloads replicas that no order explains and that exceed what the intent asks for.
    fn unload_untracked_replicas(&mut self) {
        let own_endpoints = self
            .fleet
            .endpoints()
            .filter(|(_, e)| e.zone == self.driver.zone);
        let targets: HashSet<(&AcceleratorRef, &ModelVersion)> = self
            .fleet
            .plan_in_force()
            .into_iter()
            .flat_map(|p| &p.plan.targets)
            .map(|t| (&t.place, &t.model))
            .collect();
        let mut untracked = Vec::new();
        for (vm, e) in own_endpoints {
            for (accelerator, a) in (0_u16..).zip(&e.accelerators) {
                let place = AcceleratorRef {
                    endpoint: vm.clone(),
                    accelerator,
                };
                let unordered = a.replicas.iter().filter(|(_, r)| r.last_order.is_none());
                let unwanted = unordered.filter(|(m, _)| !targets.contains(&(&place, *m)));
                untracked.extend(unwanted.map(|(m, r)| (place.clone(), m.clone(), r.bytes)));
            }
        }
        for (place, model, bytes) in untracked {
            if self.has_surplus(&model.name) {
                self.issue(place, Action::Unload, model, bytes, Cause::Repair);
            }
        }
    }

    /// Returns `true` if a model has more replicas than the intent asks for, or isn't part of the intent.
    fn has_surplus(&self, model: &ModelName) -> bool {
        let intent = self
            .fleet
            .confirmed_intent()
            .and_then(|p| p.intent.model(model.as_str()));
        intent.is_none_or(|m| {
            self.driver.available_replicas(self.fleet, model) > usize::from(m.replicas)
        })
    }

    fn is_achieved(&self, s: &Step) -> bool {
        let replica = self.fleet.replica(&s.place, &s.model);
        match s.action {
            Action::Load => replica.is_some_and(|r| r.state == ReplicaState::Ready),
            Action::Unload => replica.is_none(),
        }
    }

    fn was_done(&self, s: &Step, plan: Offset) -> bool {
        self.fleet.orders().any(|(k, o)| {
            let done = o.settled.is_some_and(|s| s.outcome == Outcome::Done);
            k > plan && done && o.action == s.action && o.place == s.place && o.model == s.model
        })
    }

    fn would_admit(
        &self,
        place: &AcceleratorRef,
        action: Action,
        model: &ModelVersion,
        bytes: u64,
    ) -> bool {
        let planned_away = action == Action::Load && self.unloads.contains(&(place, model));
        let o = self.order(place.clone(), action, model.clone(), bytes, Cause::Repair);
        let busy = self.busy.contains(&place.endpoint);
        !busy && !planned_away && o.is_some_and(|o| self.fleet.check_order(self.at, &o).is_ok())
    }

    fn issue(
        &mut self,
        place: AcceleratorRef,
        action: Action,
        model: ModelVersion,
        bytes: u64,
        cause: Cause,
    ) {
        if action == Action::Load && self.loads >= self.driver.rules.max_loads {
            return;
        }
        let Some(o) = self.order(place, action, model, bytes, cause) else {
            return;
        };
        let cuts = action == Action::Unload
            && !self.driver.stays_reachable(self.fleet, &o.place, &o.model);
        let admitted = !cuts && self.fleet.check_order(self.at, &o).is_ok();
        if admitted && self.busy.insert(o.place.endpoint.clone()) {
            self.loads += usize::from(action == Action::Load);
            self.orders.push(o);
        }
    }

    fn order(
        &self,
        place: AcceleratorRef,
        action: Action,
        model: ModelVersion,
        bytes: u64,
        cause: Cause,
    ) -> Option<OrderIssued> {
        let incarnation = self.fleet.endpoint(place.endpoint.as_str())?.incarnation;
        let (zone, epoch) = (self.driver.zone.clone(), self.epoch);
        Some(OrderIssued {
            zone,
            epoch,
            incarnation,
            place,
            action,
            model,
            bytes,
            cause,
        })
    }
}
