//! Discovery: records differences between the observed endpoints of the zone and the log's state.

use super::{Command, Driver};
use crate::fleet::{Fleet, Presence, ReplicaState};
use crate::id::{Offset, VmName};
use crate::listing::{Listed, ListedKind};
use crate::plan::AcceleratorRef;
use crate::record::{
    Departure, EndpointKind, EndpointLeft, EndpointSeen, Record, ReplicaFound, ReplicaLost,
};
use smol_str::SmolStr;
use std::collections::BTreeMap;
use tokio::time::Instant;

impl Driver {
    /// Polls each listed endpoint of the zone, those with an unsettled order twice as often.
    pub(super) fn poll_endpoints(&mut self, now: Instant, fleet: &Fleet, out: &mut Vec<Command>) {
        let rows: Vec<(VmName, SmolStr)> = self
            .own_listed()
            .map(|l| (l.vm.clone(), l.address.clone()))
            .collect();
        for (vm, address) in rows {
            let busy = fleet
                .endpoint(vm.as_str())
                .is_some_and(|e| e.pending.is_some());
            let every = if busy {
                self.rules.poll_interval / 2
            } else {
                self.rules.poll_interval
            };
            let w = self.watches.entry(vm.clone()).or_default();
            if w.poll_in_flight || w.next_poll.is_some_and(|t| now < t) {
                continue;
            }
            w.poll_in_flight = true;
            w.next_poll = Some(now + every);
            out.push(Command::Poll {
                endpoint: vm,
                address,
            });
        }
    }

    /// Records endpoints that are listed, answer polls, and differ from the log's state.
    pub(super) fn find_endpoints(&mut self, fleet: &Fleet, epoch: Offset, out: &mut Vec<Command>) {
        let rows: Vec<Listed> = self.own_listed().filter(|l| !l.leaving).cloned().collect();
        for l in rows {
            let known = fleet.endpoint(l.vm.as_str());
            let Some(w) = self.watches.get_mut(&l.vm) else {
                continue;
            };
            let Some(observation) = &w.observation else {
                continue;
            };
            let same = known.is_some_and(|e| {
                e.incarnation == observation.incarnation
                    && e.presence == Presence::Live
                    && e.address == l.address
            });
            if same || w.failing_since.is_some() {
                continue;
            }
            let needs_fence = matches!(
                l.kind,
                ListedKind::Engine {
                    checks_fencing: true
                }
            );
            let fenced = w.fenced.filter(|(i, ..)| *i == observation.incarnation);
            if needs_fence && fenced.is_none() {
                if !w.fencing {
                    w.fencing = true;
                    let number = fleet.next_offset();
                    let (endpoint, address) = (l.vm.clone(), l.address.clone());
                    out.push(Command::Fence {
                        endpoint,
                        address,
                        number,
                    });
                }
                continue;
            }
            // The observation must begin after the fence, or an old order may have arrived in between. It
            // must also begin after the departure was recorded and after this process acquired the lease,
            // so that it shows the effect of every order that was settled before.
            let since = [
                self.held_since,
                w.departure_recorded_at,
                fenced.map(|(.., at)| at),
            ];
            let since = since.into_iter().flatten().max();
            if since.is_some_and(|t| observation.began < t + self.rules.report_lag) {
                continue;
            }
            let seen = EndpointSeen {
                zone: self.zone.clone(),
                epoch,
                endpoint: l.vm.clone(),
                incarnation: observation.incarnation,
                address: l.address.clone(),
                kind: kind_of(&l.kind, &observation.kind),
                residents: observation.residents.clone(),
            };
            out.push(Command::Append(Record::EndpointSeen(seen)));
        }
    }

    /// Records endpoints that are leaving, are off the list or don't answer polls any more.
    pub(super) fn find_departures(
        &mut self,
        now: Instant,
        fleet: &Fleet,
        epoch: Offset,
        out: &mut Vec<Command>,
    ) {
        if !self.list_known {
            return;
        }
        for (vm, e) in fleet.endpoints().filter(|(_, e)| e.zone == self.zone) {
            let failing = self.watches.get(vm).and_then(|w| w.failing_since);
            let dead = failing.is_some_and(|t| now >= t + self.rules.dead_after);
            let departure = match self.list.get(vm) {
                None => Departure::Gone,
                Some(_) if dead => Departure::Gone,
                Some(l) if l.leaving => Departure::Leaving,
                Some(_) => continue,
            };
            let so_already = match departure {
                Departure::Gone => e.presence == Presence::Gone,
                Departure::Leaving => e.presence != Presence::Live,
            };
            if so_already {
                continue;
            }
            if departure == Departure::Gone {
                self.watches
                    .entry(vm.clone())
                    .or_default()
                    .departure_recorded_at = Some(now);
            }
            let (zone, endpoint) = (self.zone.clone(), vm.clone());
            let left = EndpointLeft {
                zone,
                epoch,
                endpoint,
                departure,
            };
            out.push(Command::Append(Record::EndpointLeft(left)));
        }
    }

    /// Records ready replicas that observations no longer show. A single observation isn't enough, since
    /// it may be older than the load.
    pub(super) fn find_losses(
        &mut self,
        now: Instant,
        fleet: &Fleet,
        epoch: Offset,
        out: &mut Vec<Command>,
    ) {
        let lag = self.rules.report_lag;
        for (vm, e) in fleet.endpoints().filter(|(_, e)| e.zone == self.zone) {
            let Some(w) = self.watches.get_mut(vm) else {
                continue;
            };
            let Some(observation) = w
                .observation
                .as_ref()
                .filter(|l| l.incarnation == e.incarnation)
            else {
                continue;
            };
            let mut missing_since = BTreeMap::new();
            for (accelerator, a) in (0_u16..).zip(&e.accelerators) {
                let place = AcceleratorRef {
                    endpoint: vm.clone(),
                    accelerator,
                };
                let ready = a
                    .replicas
                    .iter()
                    .filter(|(_, r)| r.state == ReplicaState::Ready);
                for (model, _) in ready.filter(|(m, _)| !observation.has(&place, m)) {
                    let key = (place.clone(), model.clone());
                    let since = w.missing_since.get(&key).copied().unwrap_or(now);
                    missing_since.insert(key, since);
                }
            }
            for ((place, model), since) in &missing_since {
                if observation.began > *since + lag {
                    let (zone, place, model) = (self.zone.clone(), place.clone(), model.clone());
                    let lost = ReplicaLost {
                        zone,
                        epoch,
                        place,
                        model,
                    };
                    out.push(Command::Append(Record::ReplicaLost(lost)));
                }
            }
            w.missing_since = missing_since;
        }
    }

    /// Records models that observations keep showing and that aren't in the log's state. They come from a
    /// duplicate of an old load or from an order of another client, and their memory has to be counted.
    pub(super) fn find_untracked_replicas(
        &mut self,
        now: Instant,
        fleet: &Fleet,
        epoch: Offset,
        out: &mut Vec<Command>,
    ) {
        let lag = self.rules.report_lag;
        for (vm, e) in fleet.endpoints().filter(|(_, e)| e.zone == self.zone) {
            let Some(w) = self.watches.get_mut(vm) else {
                continue;
            };
            let observation = w
                .observation
                .as_ref()
                .filter(|l| l.incarnation == e.incarnation);
            let Some(observation) = observation.filter(|_| e.pending.is_none()) else {
                w.untracked_since.clear();
                continue;
            };
            let mut untracked_since = BTreeMap::new();
            for r in observation
                .residents
                .iter()
                .filter(|r| fleet.replica(&r.place, &r.model).is_none())
            {
                let key = (r.place.clone(), r.model.clone());
                let since = w.untracked_since.get(&key).copied().unwrap_or(now);
                untracked_since.insert(key, since);
                if observation.began > since + lag {
                    let (zone, resident) = (self.zone.clone(), r.clone());
                    out.push(Command::Append(Record::ReplicaFound(ReplicaFound {
                        zone,
                        epoch,
                        resident,
                    })));
                }
            }
            w.untracked_since = untracked_since;
        }
    }
}

/// Combines an endpoint's kind on the membership list with the observed one.
fn kind_of(listed: &ListedKind, observed: &EndpointKind) -> EndpointKind {
    match (listed, observed) {
        (ListedKind::Engine { checks_fencing }, EndpointKind::Engine { accelerators, .. }) => {
            let accelerators = accelerators.clone();
            EndpointKind::Engine {
                checks_fencing: *checks_fencing,
                accelerators,
            }
        }
        (ListedKind::Service { name }, _) => EndpointKind::Service { name: name.clone() },
        _ => observed.clone(),
    }
}
