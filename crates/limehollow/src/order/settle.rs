//! Settlement of orders: the evidence that establishes an order's outcome.

use super::{Command, Driver, Order, SendResult, SendState};
use crate::fleet::{Fleet, OrderState, Presence};
use crate::id::{Incarnation, Offset, VmName};
use crate::listing::Observation;
use crate::membership::Membership;
use crate::plan::Action;
use crate::record::{Evidence, OrderSettled, Outcome, Record};
use smol_str::SmolStr;
use tokio::time::Instant;

impl Driver {
    /// Sends newly admitted orders, and settles orders whose outcome is known.
    pub(super) fn settle(
        &mut self,
        now: Instant,
        fleet: &Fleet,
        epoch: Offset,
        peers: &Membership,
        out: &mut Vec<Command>,
    ) {
        let open = fleet.orders().filter(|(_, o)| o.settled.is_none());
        for (number, o) in open {
            let Some(e) = fleet.endpoint(o.place.endpoint.as_str()) else {
                continue;
            };
            if e.zone != self.zone {
                continue;
            }
            let own = o.epoch == epoch;
            if own && !self.sent.contains_key(&number) {
                if o.action == Action::Unload && !self.is_drained(number, o) {
                    continue;
                }
                self.sent.insert(number, SendState::Sending);
                out.push(Command::Send(to_order(number, o, e.address.clone(), fleet)));
                continue;
            }
            let known = self.outcome(now, fleet, epoch, number, o, peers, out);
            if let Some((outcome, evidence)) = known {
                let zone = self.zone.clone();
                let settled = OrderSettled {
                    zone,
                    epoch,
                    order: number,
                    outcome,
                    evidence,
                };
                out.push(Command::Append(Record::OrderSettled(settled)));
            }
        }
    }

    /// Returns `true` if a replica that is to be unloaded runs no request any more: gateways have had the
    /// time to stop routing to it, and an observation that began after that shows no request.
    fn is_drained(&self, number: Offset, o: &OrderState) -> bool {
        let since = self.first_seen[&number] + self.rules.withdrawal_delay;
        let w = self
            .watches
            .get(&o.place.endpoint)
            .and_then(|w| w.observation.as_ref());
        let Some(observation) = w.filter(|l| l.began >= since + self.rules.report_lag) else {
            return false;
        };
        !observation
            .running
            .iter()
            .any(|(m, n)| *m == o.model.name && *n > 0)
    }

    /// Returns the outcome of an unsettled order if there is evidence for it.
    #[expect(
        clippy::too_many_arguments,
        reason = "each is a different source of evidence"
    )]
    fn outcome(
        &mut self,
        now: Instant,
        fleet: &Fleet,
        epoch: Offset,
        number: Offset,
        o: &OrderState,
        peers: &Membership,
        out: &mut Vec<Command>,
    ) -> Option<(Outcome, Evidence)> {
        let own = o.epoch == epoch;
        let sent = self.sent.get(&number).copied().filter(|_| own);
        let ended = match sent {
            Some(SendState::Sending) => return None,
            Some(SendState::Ended(SendResult::Refused, _)) => {
                return Some((Outcome::NotDone, Evidence::Answered));
            }
            Some(SendState::Ended(SendResult::NeverSent, _)) => {
                return Some((Outcome::NotDone, Evidence::NeverSent));
            }
            Some(SendState::Ended(res, at)) => Some((res, at)),
            None => None,
        };
        let began = ended.map_or(self.first_seen[&number], |(_, at)| at);
        let e = fleet.endpoint(o.place.endpoint.as_str())?;
        let released = ended.is_some() || self.sender_is_gone(o, epoch, peers);
        if e.presence == Presence::Gone {
            // The endpoint can't be observed any more. Its replicas are recorded anew if it comes back.
            let waited = self.has_waited(now, number, ended.map(|(_, at)| at), released);
            return waited.then_some((Outcome::NotDone, Evidence::DelayPassed));
        }
        let observation = self.fresh_observation(&o.place.endpoint, e.incarnation, began);
        let accepted = matches!(ended, Some((SendResult::Accepted, _)));
        if accepted && let Some(l) = observation {
            let changing = l.is_changing(&o.place, &o.model);
            if !changing && l.has(&o.place, &o.model) == (o.action == Action::Load) {
                return Some((Outcome::Done, Evidence::EffectSeen));
            }
            if changing || now < began + self.rules.effect_timeout {
                return None;
            }
        }
        if e.checks_fencing() {
            return self.outcome_fenced(number, o, e.incarnation, &e.address, out);
        }
        self.outcome_unfenced(
            now,
            number,
            o,
            e.incarnation,
            ended.map(|(_, at)| at),
            released,
        )
    }

    /// Settles an order at an endpoint that checks fencing numbers: fence it, then observe it.
    fn outcome_fenced(
        &mut self,
        number: Offset,
        o: &OrderState,
        incarnation: Incarnation,
        address: &SmolStr,
        out: &mut Vec<Command>,
    ) -> Option<(Outcome, Evidence)> {
        let endpoint = &o.place.endpoint;
        let w = self.watches.entry(endpoint.clone()).or_default();
        let fenced = w
            .fenced
            .filter(|(i, n, _)| *i == incarnation && *n > number);
        let Some((_, _, at)) = fenced else {
            // A restarted endpoint is fenced when it is discovered, not in order to settle this order.
            let same = w
                .observation
                .as_ref()
                .is_some_and(|l| l.incarnation == incarnation);
            if !w.fencing && same {
                w.fencing = true;
                let (endpoint, address) = (endpoint.clone(), address.clone());
                out.push(Command::Fence {
                    endpoint,
                    address,
                    number: number.next(),
                });
            }
            return None;
        };
        let observation = self.fresh_observation(endpoint, incarnation, at)?;
        if observation.is_changing(&o.place, &o.model) {
            return None;
        }
        Some((observed_outcome(o, observation), Evidence::Fenced))
    }

    /// Settles an order at an endpoint that doesn't check fencing numbers: either the effect is observed,
    /// or the longest delay has passed since the sender was known to be gone. The delay doesn't count from
    /// the order's own time, since a paused sender may send the order whenever it resumes.
    fn outcome_unfenced(
        &mut self,
        now: Instant,
        number: Offset,
        o: &OrderState,
        incarnation: Incarnation,
        ended: Option<Instant>,
        released: bool,
    ) -> Option<(Outcome, Evidence)> {
        let first_seen = self.first_seen[&number];
        let waited = self.has_waited(now, number, ended, released);
        let observation = self.fresh_observation(&o.place.endpoint, incarnation, first_seen)?;
        if observation.is_changing(&o.place, &o.model) {
            return None;
        }
        if observed_outcome(o, observation) == Outcome::Done {
            return Some((Outcome::Done, Evidence::EffectSeen));
        }
        waited.then_some((Outcome::NotDone, Evidence::DelayPassed))
    }

    /// Returns `true` if the longest delay has passed since no process could send the order any more.
    fn has_waited(
        &mut self,
        now: Instant,
        number: Offset,
        ended: Option<Instant>,
        released: bool,
    ) -> bool {
        if released {
            self.sender_gone_since
                .entry(number)
                .or_insert(ended.unwrap_or(now));
        }
        let since = self.sender_gone_since.get(&number);
        since.is_some_and(|t| now >= *t + self.rules.max_order_delay)
    }

    /// Returns `true` if the process that may send an order is certain not to send it any more: it has a
    /// later incarnation, it is off the platform's list, or it has itself read past the takeover.
    fn sender_is_gone(&self, o: &OrderState, epoch: Offset, peers: &Membership) -> bool {
        let (vm, incarnation) = &o.sender;
        // The sender is this process under an earlier epoch, or an earlier incarnation of it: in both cases
        // it won't send the order any more.
        if *vm == self.own_vm {
            return true;
        }
        let off_list = self.list_known && !self.list.contains_key(vm);
        let Some(h) = peers.heartbeat(vm.as_str()) else {
            return off_list;
        };
        let read_takeover = h.incarnation == *incarnation && h.next > epoch;
        off_list || h.incarnation > *incarnation || read_takeover
    }

    /// Returns the last observation of an endpoint if no part of it can be older than `since`.
    fn fresh_observation(
        &self,
        vm: &VmName,
        incarnation: Incarnation,
        since: Instant,
    ) -> Option<&Observation> {
        let observation = self.watches.get(vm)?.observation.as_ref()?;
        let fresh = observation.began >= since + self.rules.report_lag;
        (fresh && observation.incarnation == incarnation).then_some(observation)
    }
}

fn to_order(number: Offset, o: &OrderState, address: SmolStr, fleet: &Fleet) -> Order {
    let bytes = fleet.replica(&o.place, &o.model).map_or(0, |r| r.bytes);
    let (place, model) = (o.place.clone(), o.model.clone());
    Order {
        number,
        address,
        place,
        action: o.action,
        model,
        bytes,
    }
}

/// Returns the outcome of an order as shown by an observation that is newer than the order.
fn observed_outcome(o: &OrderState, observation: &Observation) -> Outcome {
    if observation.has(&o.place, &o.model) == (o.action == Action::Load) {
        return Outcome::Done;
    }
    Outcome::NotDone
}
