//! Admission of orders: the invariants on memory and reachability.

use super::{Accelerator, DEFAULT_MAX_ORDER_DELAY_MS, Endpoint, Fleet, Presence, ReplicaState};
use super::{has_ready, unknown, unknown_place};
use crate::error::{
    AdapterBaseSnafu, AlreadyInStateSnafu, DuplicateMayArriveSnafu, LastReplicaSnafu, MemorySnafu,
    NotConfirmedSnafu, NotHolderSnafu, OrderPendingSnafu, Result,
};
use crate::id::{LogTime, Offset, ZoneName};
use crate::intent::ModelIntent;
use crate::plan::{AcceleratorRef, Action, ModelVersion};
use crate::record::OrderIssued;
use std::collections::BTreeMap;

impl Fleet {
    /// Checks whether an order would take effect as the next record of the log.
    ///
    /// # Errors
    ///
    /// Returns the reason why the order would be void.
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
                self.check_duplicate_unload(at, o, e)?;
                self.check_load(at, o, acc)
            }
            Action::Unload => self.check_unload(o, acc),
        }
    }

    pub(super) fn check_epoch(&self, zone: &ZoneName, epoch: Offset) -> Result<()> {
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

    /// Rejects a load while a duplicate of an earlier unload may still arrive, since the duplicate would
    /// remove the new replica. An endpoint that checks fencing numbers refuses the duplicate itself.
    fn check_duplicate_unload(&self, at: LogTime, o: &OrderIssued, e: &Endpoint) -> Result<()> {
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
        let wait_ms = DEFAULT_MAX_ORDER_DELAY_MS.saturating_sub(at.millis_since(since));
        DuplicateMayArriveSnafu {
            endpoint: o.place.endpoint.clone(),
            order: *order,
            wait_ms,
        }
        .fail()
    }

    /// Returns the bytes of models that are no longer counted, but that a duplicate of an earlier load
    /// may still load again.
    fn duplicate_load_bytes(&self, at: LogTime, place: &AcceleratorRef, acc: &Accelerator) -> u64 {
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
            return already_in_state(o);
        }
        if self
            .endpoint(o.place.endpoint.as_str())
            .is_none_or(|e| e.presence != Presence::Live)
        {
            return Err(unknown("live endpoint", &o.place.endpoint));
        }
        // An order must not reserve less memory than the confirmed intent states for the model.
        let needed = o.bytes.max(intent.bytes);
        let duplicate_bytes = self.duplicate_load_bytes(at, &o.place, acc);
        let is_own_duplicate = self.orders.values().any(|p| {
            p.action == Action::Load && p.place == o.place && p.model == o.model && p.may_arrive(at)
        });
        let free = acc.free().saturating_sub(duplicate_bytes)
            + if is_own_duplicate {
                needed.min(duplicate_bytes)
            } else {
                0
            };
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
            return already_in_state(o);
        }
        let has_adapters = acc
            .replicas
            .values()
            .any(|r| r.base.as_ref() == Some(&o.model.name));
        let other_version = acc.replicas.iter().any(|(m, r)| {
            m.name == o.model.name && *m != o.model && r.state == ReplicaState::Ready
        });
        if has_adapters && !other_version {
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

    /// Returns `true` if a replica of the order's model is known to be ready on another accelerator.
    fn has_other_replica(&self, o: &OrderIssued) -> bool {
        self.ready_replicas(o.model.name.as_str())
            .any(|p| p != o.place)
    }

    pub(super) fn confirmed_model(&self, model: &ModelVersion) -> Result<&ModelIntent> {
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

fn already_in_state(o: &OrderIssued) -> Result<()> {
    let (endpoint, accelerator) = (o.place.endpoint.clone(), o.place.accelerator);
    AlreadyInStateSnafu {
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
