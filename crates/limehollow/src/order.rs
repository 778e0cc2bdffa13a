//! What the holder of a zone's lease does: it finds endpoints, gives orders and settles them.
//!
//! An order is written to the log before it is sent, and it is sent only if the fold of the log
//! admitted it. So whatever a paused holder may still send after it wakes is known to its successor
//! (`docs/design/two-sided-accounting.md`). An order whose outcome isn't known stays unsettled until
//! there is evidence; hope is none.

use crate::fleet::{Fleet, OrderState, Presence, ReplicaState};
use crate::id::{Incarnation, LogTime, ModelName, Offset, VmName, ZoneName};
use crate::intent::Intent;
use crate::listing::{Listed, ListedKind, Look};
use crate::membership::{Membership, rendezvous};
use crate::placement;
use crate::plan::{Action, ModelVersion, Place, Step};
use crate::record::{
    Cause, Departure, EndpointKind, EndpointLeft, EndpointSeen, Evidence, OrderIssued,
    OrderSettled, Outcome, PlanRefused, Record, ReplicaFound, ReplicaLost,
};
use smol_str::{SmolStr, ToSmolStr};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::time::Duration;
use tokio::time::Instant;

/// How often the whole fleet is gone through while nothing changes.
const ROUND_EVERY: Duration = Duration::from_secs(1);

/// The times and counts that a driver goes by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rules {
    /// By how much what an endpoint reports may be out of date.
    pub report_lag: Duration,
    /// The longest time that an order may still arrive after it was written down.
    pub longest_delay: Duration,
    /// How long an accepted order may show no effect before its outcome counts as in doubt.
    pub effect_patience: Duration,
    /// How long an endpoint may fail to answer before it counts as gone.
    pub dead_after: Duration,
    /// How long a lost replica is waited for before another accelerator takes its place.
    pub repair_after: Duration,
    /// How long a plan waits for endpoints that are listed but weren't seen yet.
    pub plan_patience: Duration,
    /// Within what time gateways stop sending to a replica that the log withdraws.
    pub withdraw_within: Duration,
    /// How often each endpoint is looked at.
    pub look_every: Duration,
    /// How many loads the zone has under way at once.
    pub max_loads: usize,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            report_lag: Duration::from_secs(2),
            longest_delay: Duration::from_millis(crate::fleet::DEFAULT_LONGEST_DELAY_MS),
            effect_patience: Duration::from_secs(30),
            dead_after: Duration::from_secs(10),
            repair_after: Duration::from_secs(30),
            plan_patience: Duration::from_secs(5),
            withdraw_within: Duration::from_secs(3),
            look_every: Duration::from_secs(1),
            max_loads: 4,
        }
    }
}

/// What the process is to do for the driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Append this record to the log, read on to its offset, then ask the driver again.
    Append(Record),
    /// Send an order that the log admitted.
    Send(Order),
    /// Tell an endpoint to refuse all orders with a lower number.
    Fence {
        /// The endpoint.
        endpoint: VmName,
        /// Where it listens.
        address: SmolStr,
        /// The number.
        number: Offset,
    },
    /// Look at an endpoint.
    Look {
        /// The endpoint.
        endpoint: VmName,
        /// Where it listens.
        address: SmolStr,
    },
}

/// An order as it is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Its number and fencing number.
    pub number: Offset,
    /// Where it goes.
    pub address: SmolStr,
    /// The place on the endpoint.
    pub place: Place,
    /// What is to be done.
    pub action: Action,
    /// To which model.
    pub model: ModelVersion,
    /// Its memory, in bytes.
    pub bytes: u64,
}

/// How sending an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendResult {
    /// The endpoint took it; its effect is still to be seen.
    Accepted,
    /// The endpoint refused it, so it never takes effect.
    Refused,
    /// No byte of it left.
    NeverSent,
    /// Nothing is known.
    Lost,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sent {
    /// The call is under way.
    Sending,
    /// The call ended, at that time.
    Ended(SendResult, Instant),
}

#[derive(Debug, Default)]
struct Watch {
    looking: bool,
    next_look: Option<Instant>,
    look: Option<Look>,
    failing_since: Option<Instant>,
    /// When this process last told the log that the endpoint is gone.
    departed: Option<Instant>,
    fencing: bool,
    /// The number that this incarnation was fenced with, and when it agreed.
    fenced: Option<(Incarnation, Offset, Instant)>,
    /// When a ready replica was first missed, by place and model.
    missed: BTreeMap<(Place, ModelVersion), Instant>,
    /// When a model that the log doesn't know was first seen, by place and model.
    strays: BTreeMap<(Place, ModelVersion), Instant>,
}

/// Drives one zone while this process holds its lease.
#[derive(Debug)]
pub struct Driver {
    zone: ZoneName,
    me: VmName,
    incarnation: Incarnation,
    rules: Rules,
    list: BTreeMap<VmName, Listed>,
    list_known: bool,
    unlisted_since: BTreeMap<VmName, Instant>,
    watches: BTreeMap<VmName, Watch>,
    sent: BTreeMap<Offset, Sent>,
    /// When this process first saw each unsettled order.
    first_seen: BTreeMap<Offset, Instant>,
    /// Since when this process has held the lease.
    held_since: Option<Instant>,
    /// Since when the sender of an unsettled order can't send it any more.
    released: BTreeMap<Offset, Instant>,
    intent_seen: Option<(Offset, Instant)>,
    /// The next offset and when it was first seen, for estimating the log's time.
    last_record: Option<(Offset, Instant)>,
    /// Whether something came in that a whole round has to consider.
    news: bool,
    /// The next offset and the time of the last whole round.
    last_round: Option<(Offset, Instant)>,
}

/// Events.
impl Driver {
    /// Makes the driver of one controller.
    #[must_use]
    pub fn new(zone: ZoneName, me: VmName, incarnation: Incarnation, rules: Rules) -> Self {
        Self {
            zone,
            me,
            incarnation,
            rules,
            list: BTreeMap::new(),
            list_known: false,
            unlisted_since: BTreeMap::new(),
            watches: BTreeMap::new(),
            sent: BTreeMap::new(),
            first_seen: BTreeMap::new(),
            held_since: None,
            released: BTreeMap::new(),
            intent_seen: None,
            last_record: None,
            news: true,
            last_round: None,
        }
    }

    /// Takes in the platform's membership list.
    pub fn on_list(&mut self, now: Instant, rows: Vec<Listed>) {
        self.news = true;
        let names: BTreeSet<VmName> = rows.iter().map(|l| l.vm.clone()).collect();
        for vm in self.list.keys().filter(|vm| !names.contains(*vm)) {
            self.unlisted_since.entry(vm.clone()).or_insert(now);
        }
        self.unlisted_since.retain(|vm, _| !names.contains(vm));
        self.list = rows.into_iter().map(|l| (l.vm.clone(), l)).collect();
        self.list_known = true;
    }

    /// Takes in a look at an endpoint, or nothing if it did not answer.
    pub fn on_look(&mut self, now: Instant, endpoint: &VmName, look: Option<Look>) {
        let w = self.watches.entry(endpoint.clone()).or_default();
        w.looking = false;
        let says_new = match (&w.look, &look) {
            (Some(old), Some(new)) => {
                w.failing_since.is_some()
                    || old.incarnation != new.incarnation
                    || old.residents != new.residents
                    || old.changing != new.changing
            }
            _ => true,
        };
        self.news |= says_new || !self.first_seen.is_empty();
        match look {
            Some(l) => {
                w.failing_since = None;
                w.look = Some(l);
            }
            None => {
                w.failing_since.get_or_insert(now);
            }
        }
    }

    /// Takes in the answer to a fence: the endpoint's incarnation, or nothing if it did not agree.
    pub fn on_fenced(
        &mut self,
        now: Instant,
        endpoint: &VmName,
        number: Offset,
        incarnation: Option<Incarnation>,
    ) {
        let w = self.watches.entry(endpoint.clone()).or_default();
        w.fencing = false;
        self.news = true;
        let Some(i) = incarnation else { return };
        // A fence that says nothing new must not make the looks since the first one count as old.
        if w.fenced.is_some_and(|(j, n, _)| i == j && n >= number) {
            return;
        }
        w.fenced = Some((i, number, now));
        w.next_look = Some(now);
    }

    /// Takes in how sending an order ended.
    pub fn on_sent(&mut self, now: Instant, order: Offset, res: SendResult) {
        self.news = true;
        self.sent.insert(order, Sent::Ended(res, now));
    }
}

/// Decisions.
impl Driver {
    /// Gives what is to be done now.
    pub fn step(&mut self, now: Instant, fleet: &Fleet, peers: &Membership) -> Vec<Command> {
        let mine = fleet
            .lease(&self.zone)
            .filter(|l| l.holder == self.me && l.incarnation == self.incarnation);
        let Some(lease) = mine else {
            self.stand_by();
            return Vec::new();
        };
        let epoch = lease.epoch;
        self.held_since.get_or_insert(now);
        let mut out = Vec::new();
        self.look_around(now, fleet, &mut out);
        if !self.has_news(now, fleet) {
            return out;
        }
        self.note_orders(now, fleet);
        self.settle(now, fleet, epoch, peers, &mut out);
        self.find_endpoints(fleet, epoch, &mut out);
        self.find_departures(now, fleet, epoch, &mut out);
        self.find_losses(now, fleet, epoch, &mut out);
        self.find_strays(now, fleet, epoch, &mut out);
        self.answer_intent(now, fleet, &mut out);
        let at = self.log_time(now, fleet);
        self.next_orders(now, at, fleet, epoch, &mut out);
        out
    }

    /// Forgets what only a holder may rely on.
    fn stand_by(&mut self) {
        self.sent.clear();
        self.first_seen.clear();
        self.held_since = None;
        self.released.clear();
        self.intent_seen = None;
        self.last_round = None;
        for w in self.watches.values_mut() {
            w.fenced = None;
        }
    }

    /// Tells whether anything has changed since the last whole round, or that one is long past. A
    /// round looks at the whole fleet, which at the size to come costs milliseconds
    /// (`docs/CAPACITY.md`).
    fn has_news(&mut self, now: Instant, fleet: &Fleet) -> bool {
        let next = fleet.next_offset();
        let same = self
            .last_round
            .is_some_and(|(o, at)| o == next && now < at + ROUND_EVERY);
        if same && !self.news {
            return false;
        }
        self.news = false;
        self.last_round = Some((next, now));
        true
    }

    /// Estimates the log's time from the last record and the time since it was read. It is never
    /// ahead of the true one by more than the clocks' drift, and the log itself has the last word.
    fn log_time(&mut self, now: Instant, fleet: &Fleet) -> LogTime {
        let next = fleet.next_offset();
        let since = match self.last_record {
            Some((o, at)) if o == next => at,
            _ => {
                self.last_record = Some((next, now));
                now
            }
        };
        let ms = u64::try_from(now.duration_since(since).as_millis()).unwrap_or(u64::MAX);
        LogTime(fleet.at().0.saturating_add(ms))
    }

    fn note_orders(&mut self, now: Instant, fleet: &Fleet) {
        let open: BTreeSet<Offset> = fleet
            .orders()
            .filter(|(_, o)| o.settled.is_none())
            .map(|(k, _)| k)
            .collect();
        self.first_seen.retain(|k, _| open.contains(k));
        self.sent.retain(|k, _| open.contains(k));
        self.released.retain(|k, _| open.contains(k));
        for k in open {
            self.first_seen.entry(k).or_insert(now);
        }
    }

    fn own_listed(&self) -> impl Iterator<Item = &Listed> {
        let zone = &self.zone;
        self.list
            .values()
            .filter(move |l| l.zone == *zone && l.kind != ListedKind::Entry)
    }

    /// Orders looks: each endpoint in turn, those with an open order twice as often.
    fn look_around(&mut self, now: Instant, fleet: &Fleet, out: &mut Vec<Command>) {
        let rows: Vec<(VmName, SmolStr)> = self
            .own_listed()
            .map(|l| (l.vm.clone(), l.address.clone()))
            .collect();
        for (vm, address) in rows {
            let busy = fleet
                .endpoint(vm.as_str())
                .is_some_and(|e| e.pending.is_some());
            let every = if busy {
                self.rules.look_every / 2
            } else {
                self.rules.look_every
            };
            let w = self.watches.entry(vm.clone()).or_default();
            if w.looking || w.next_look.is_some_and(|t| now < t) {
                continue;
            }
            w.looking = true;
            w.next_look = Some(now + every);
            out.push(Command::Look {
                endpoint: vm,
                address,
            });
        }
    }

    /// Sends orders that were just admitted, and settles those whose outcome is known.
    fn settle(
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
                self.sent.insert(number, Sent::Sending);
                out.push(Command::Send(order(number, o, e.address.clone(), fleet)));
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

    /// Tells whether a replica that is to be unloaded has no request any more: gateways have had the
    /// time to stop sending, and a look that began after that shows none.
    fn is_drained(&self, number: Offset, o: &OrderState) -> bool {
        let since = self.first_seen[&number] + self.rules.withdraw_within;
        let w = self
            .watches
            .get(&o.place.endpoint)
            .and_then(|w| w.look.as_ref());
        let Some(look) = w.filter(|l| l.began >= since + self.rules.report_lag) else {
            return false;
        };
        !look
            .running
            .iter()
            .any(|(m, n)| *m == o.model.name && *n > 0)
    }

    /// Gives the outcome of an open order if there is evidence for it.
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
            Some(Sent::Sending) => return None,
            Some(Sent::Ended(SendResult::Refused, _)) => {
                return Some((Outcome::NotDone, Evidence::Answered));
            }
            Some(Sent::Ended(SendResult::NeverSent, _)) => {
                return Some((Outcome::NotDone, Evidence::NeverSent));
            }
            Some(Sent::Ended(res, at)) => Some((res, at)),
            None => None,
        };
        let began = ended.map_or(self.first_seen[&number], |(_, at)| at);
        let e = fleet.endpoint(o.place.endpoint.as_str())?;
        let released = ended.is_some() || self.sender_is_gone(o, epoch, peers);
        if e.presence == Presence::Gone {
            // Nothing can be seen there any more. What it holds is looked at anew if it comes back.
            let waited = self.has_waited(now, number, ended.map(|(_, at)| at), released);
            return waited.then_some((Outcome::NotDone, Evidence::DelayPassed));
        }
        let look = self.fresh_look(&o.place.endpoint, e.incarnation, began);
        let accepted = matches!(ended, Some((SendResult::Accepted, _)));
        if accepted && let Some(l) = look {
            let changing = l.is_changing(&o.place, &o.model);
            if !changing && l.has(&o.place, &o.model) == (o.action == Action::Load) {
                return Some((Outcome::Done, Evidence::EffectSeen));
            }
            if changing || now < began + self.rules.effect_patience {
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

    /// Settles an order at an endpoint that refuses old numbers: fence it, then look.
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
            // A restarted endpoint is fenced when it is found anew, not for the sake of this order.
            let same = w
                .look
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
        let look = self.fresh_look(endpoint, incarnation, at)?;
        if look.is_changing(&o.place, &o.model) {
            return None;
        }
        Some((effect(o, look), Evidence::Fenced))
    }

    /// Settles an order at an endpoint that takes any: either its effect is seen, or the longest
    /// delay has passed since its sender was known to be gone. The delay doesn't count from the
    /// order's own time, since a paused sender may send it whenever it wakes.
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
        let look = self.fresh_look(&o.place.endpoint, incarnation, first_seen)?;
        if look.is_changing(&o.place, &o.model) {
            return None;
        }
        if effect(o, look) == Outcome::Done {
            return Some((Outcome::Done, Evidence::EffectSeen));
        }
        waited.then_some((Outcome::NotDone, Evidence::DelayPassed))
    }

    /// Tells whether the longest delay has passed since nobody could send an order any more.
    fn has_waited(
        &mut self,
        now: Instant,
        number: Offset,
        ended: Option<Instant>,
        released: bool,
    ) -> bool {
        if released {
            self.released.entry(number).or_insert(ended.unwrap_or(now));
        }
        let since = self.released.get(&number);
        since.is_some_and(|t| now >= *t + self.rules.longest_delay)
    }

    /// Tells whether the process that may send an order surely won't any more: it has another
    /// incarnation, it is off the platform's list, or it has itself read past the takeover.
    fn sender_is_gone(&self, o: &OrderState, epoch: Offset, peers: &Membership) -> bool {
        let (vm, incarnation) = &o.sender;
        // An earlier epoch of this process, or an earlier life of it: either way it is past.
        if *vm == self.me {
            return true;
        }
        let off_list = self.list_known && !self.list.contains_key(vm);
        let Some(h) = peers.heartbeat(vm.as_str()) else {
            return off_list;
        };
        let read_takeover = h.incarnation == *incarnation && h.next > epoch;
        off_list || h.incarnation > *incarnation || read_takeover
    }

    /// Gives the last look at an endpoint if nothing in it can be older than `since`.
    fn fresh_look(&self, vm: &VmName, incarnation: Incarnation, since: Instant) -> Option<&Look> {
        let look = self.watches.get(vm)?.look.as_ref()?;
        let fresh = look.began >= since + self.rules.report_lag;
        (fresh && look.incarnation == incarnation).then_some(look)
    }

    /// Tells the log of endpoints that are listed, answer, and aren't known as they are now.
    fn find_endpoints(&mut self, fleet: &Fleet, epoch: Offset, out: &mut Vec<Command>) {
        let rows: Vec<Listed> = self.own_listed().filter(|l| !l.leaving).cloned().collect();
        for l in rows {
            let known = fleet.endpoint(l.vm.as_str());
            let Some(w) = self.watches.get_mut(&l.vm) else {
                continue;
            };
            let Some(look) = &w.look else { continue };
            let same = known.is_some_and(|e| {
                e.incarnation == look.incarnation
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
            let fenced = w.fenced.filter(|(i, ..)| *i == look.incarnation);
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
            // What the look shows must be from after the fence, or an old order may have come between;
            // and from after the last order that could settle here before it went.
            let since = [self.held_since, w.departed, fenced.map(|(.., at)| at)];
            let since = since.into_iter().flatten().max();
            if since.is_some_and(|t| look.began < t + self.rules.report_lag) {
                continue;
            }
            let seen = EndpointSeen {
                zone: self.zone.clone(),
                epoch,
                endpoint: l.vm.clone(),
                incarnation: look.incarnation,
                address: l.address.clone(),
                kind: kind_of(&l.kind, &look.kind),
                residents: look.residents.clone(),
            };
            out.push(Command::Append(Record::EndpointSeen(seen)));
        }
    }

    /// Tells the log of endpoints that leave or don't answer any more.
    fn find_departures(
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
                self.watches.entry(vm.clone()).or_default().departed = Some(now);
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

    /// Tells the log of ready replicas that looks no longer show. One look isn't enough, since it
    /// may be older than the load.
    fn find_losses(&mut self, now: Instant, fleet: &Fleet, epoch: Offset, out: &mut Vec<Command>) {
        let lag = self.rules.report_lag;
        for (vm, e) in fleet.endpoints().filter(|(_, e)| e.zone == self.zone) {
            let Some(w) = self.watches.get_mut(vm) else {
                continue;
            };
            let Some(look) = w.look.as_ref().filter(|l| l.incarnation == e.incarnation) else {
                continue;
            };
            let mut missed = BTreeMap::new();
            for (accelerator, a) in (0_u16..).zip(&e.accelerators) {
                let place = Place {
                    endpoint: vm.clone(),
                    accelerator,
                };
                let ready = a
                    .replicas
                    .iter()
                    .filter(|(_, r)| r.state == ReplicaState::Ready);
                for (model, _) in ready.filter(|(m, _)| !look.has(&place, m)) {
                    let key = (place.clone(), model.clone());
                    let since = w.missed.get(&key).copied().unwrap_or(now);
                    missed.insert(key, since);
                }
            }
            for ((place, model), since) in &missed {
                if look.began > *since + lag {
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
            w.missed = missed;
        }
    }

    /// Tells the log of models that looks keep showing and that it doesn't know: a second copy of an
    /// old load, or an order of somebody else. Their memory has to count.
    fn find_strays(&mut self, now: Instant, fleet: &Fleet, epoch: Offset, out: &mut Vec<Command>) {
        let lag = self.rules.report_lag;
        for (vm, e) in fleet.endpoints().filter(|(_, e)| e.zone == self.zone) {
            let Some(w) = self.watches.get_mut(vm) else {
                continue;
            };
            let look = w.look.as_ref().filter(|l| l.incarnation == e.incarnation);
            let Some(look) = look.filter(|_| e.pending.is_none()) else {
                w.strays.clear();
                continue;
            };
            let mut strays = BTreeMap::new();
            for r in look
                .residents
                .iter()
                .filter(|r| fleet.replica(&r.place, &r.model).is_none())
            {
                let key = (r.place.clone(), r.model.clone());
                let since = w.strays.get(&key).copied().unwrap_or(now);
                strays.insert(key, since);
                if look.began > since + lag {
                    let (zone, resident) = (self.zone.clone(), r.clone());
                    out.push(Command::Append(Record::ReplicaFound(ReplicaFound {
                        zone,
                        epoch,
                        resident,
                    })));
                }
            }
            w.strays = strays;
        }
    }

    /// Proposes a plan for the latest intent, or says why there is none.
    fn answer_intent(&mut self, now: Instant, fleet: &Fleet, out: &mut Vec<Command>) {
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
        // The holders of several zones wait for each other, the first in order of zones not at all.
        let rank = fleet.leases().take_while(|(z, _)| **z != self.zone).count();
        let turn = since + self.rules.plan_patience / 4 * u32::try_from(rank).unwrap_or(u32::MAX);
        let complete = self.all_listed_are_seen(fleet);
        if now < turn || !complete && now < turn + self.rules.plan_patience {
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

    /// Gives the next orders: steps of the plan in force in their order, then repairs.
    fn next_orders(
        &self,
        now: Instant,
        at: LogTime,
        fleet: &Fleet,
        epoch: Offset,
        out: &mut Vec<Command>,
    ) {
        let Some(p) = fleet.plan_in_force() else {
            return;
        };
        let mut round = Round::new(self, fleet, epoch, at);
        for s in &p.plan.steps {
            round.consider_step(s, p.offset);
        }
        for t in fleet.missing_targets() {
            round.consider_target(&t.zone, &t.place, &t.model);
        }
        round.clear_strays();
        if round.loads < self.rules.max_loads {
            self.substitute(now, fleet, &mut round);
        }
        out.extend(
            round
                .orders
                .into_iter()
                .map(|o| Command::Append(Record::OrderIssued(o))),
        );
    }

    /// Gives models whose place is gone for good another one in this zone.
    fn substitute(&self, now: Instant, fleet: &Fleet, round: &mut Round<'_>) {
        let Some(intent) = fleet.confirmed_intent().map(|p| &p.intent) else {
            return;
        };
        let short: Vec<&ModelName> = fleet
            .missing_targets()
            .filter(|t| self.is_lost(now, fleet, &t.place) && self.is_mine_to_mend(fleet, t))
            .map(|t| &t.model.name)
            .collect();
        let mut done = HashSet::new();
        for name in short {
            let Some(m) = intent.model(name.as_str()).filter(|_| done.insert(name)) else {
                continue;
            };
            let there = replicas_in_reach(fleet, name);
            if there >= usize::from(m.replicas) {
                continue;
            }
            let version = ModelVersion {
                name: m.name.clone(),
                version: m.version.clone(),
            };
            if let Some(place) = self.free_place(fleet, intent, &version, m.bytes, round) {
                round.issue(place, Action::Load, version, m.bytes, Cause::Repair);
            }
        }
    }

    /// Tells whether a place won't come back soon.
    fn is_lost(&self, now: Instant, fleet: &Fleet, place: &Place) -> bool {
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

    /// Tells whether this zone mends a lost target: its own zone does if it still has endpoints,
    /// else the one that a hash of the model names among the others.
    fn is_mine_to_mend(&self, fleet: &Fleet, t: &crate::plan::Target) -> bool {
        let has_room = |z: &ZoneName| {
            fleet.endpoints().any(|(vm, e)| {
                e.zone == *z
                    && e.presence == Presence::Live
                    && !e.accelerators.is_empty()
                    && !self.unlisted_since.contains_key(vm)
            })
        };
        if has_room(&t.zone) {
            return t.zone == self.zone;
        }
        let zones = fleet.leases().map(|(z, _)| z).filter(|z| has_room(z));
        let owner = zones.max_by_key(|z| rendezvous(t.model.name.as_str(), z.as_str()));
        owner == Some(&self.zone)
    }

    fn free_place(
        &self,
        fleet: &Fleet,
        intent: &Intent,
        model: &ModelVersion,
        bytes: u64,
        round: &Round<'_>,
    ) -> Option<Place> {
        let mut best: Option<(u64, Place)> = None;
        let mine = |e: &crate::fleet::Endpoint| e.zone == self.zone && e.presence == Presence::Live;
        for (vm, e) in fleet.endpoints().filter(|(_, e)| mine(e)) {
            for (accelerator, a) in (0_u16..).zip(&e.accelerators) {
                let place = Place {
                    endpoint: vm.clone(),
                    accelerator,
                };
                let headroom = a.capacity - intent.budget(a.capacity);
                let has_it = a.replicas.keys().any(|m| m.name == model.name);
                let better = best.as_ref().is_none_or(|(free, _)| a.free() > *free);
                let fits = a.free() >= bytes + headroom;
                if fits
                    && !has_it
                    && better
                    && round.would_admit(&place, Action::Load, model, bytes)
                {
                    best = Some((a.free(), place));
                }
            }
        }
        best.map(|(_, p)| p)
    }
}

/// One round of choosing orders.
struct Round<'a> {
    driver: &'a Driver,
    fleet: &'a Fleet,
    epoch: Offset,
    at: LogTime,
    loads: usize,
    busy: HashSet<VmName>,
    /// Models and places with an earlier step that isn't done: later steps wait, so that the order
    /// that the plan proved is kept also when zones go at different speeds.
    blocked_models: HashSet<&'a ModelName>,
    blocked_places: HashSet<&'a Place>,
    unloads: HashSet<(&'a Place, &'a ModelVersion)>,
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
            blocked_places: HashSet::new(),
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
        let free =
            !self.blocked_models.contains(&s.model.name) && !self.blocked_places.contains(&s.place);
        self.blocked_models.insert(&s.model.name);
        self.blocked_places.insert(&s.place);
        if free && s.zone == self.driver.zone {
            let again = self.was_done(s, plan);
            if again && self.has_enough(&s.model.name) {
                return;
            }
            let cause = if again { Cause::Repair } else { Cause::Plan };
            self.issue(s.place.clone(), s.action, s.model.clone(), s.bytes, cause);
        }
    }

    /// Considers a replica that stood before the plan, was to stay, and is missing now.
    fn consider_target(&mut self, zone: &ZoneName, place: &'a Place, model: &'a ModelVersion) {
        let held =
            self.fleet.replica(place, model).is_some() || self.blocked_places.contains(place);
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

    /// Tells whether a model has all its replicas, perhaps at other places than planned. Then a lost
    /// one isn't loaded again: that would be a move for nothing.
    fn has_enough(&self, model: &ModelName) -> bool {
        let intent = self
            .fleet
            .confirmed_intent()
            .and_then(|p| p.intent.model(model.as_str()));
        intent.is_some_and(|m| replicas_in_reach(self.fleet, model) >= usize::from(m.replicas))
    }

    /// Unloads models that nobody ordered and nobody needs.
    fn clear_strays(&mut self) {
        let mine = self
            .fleet
            .endpoints()
            .filter(|(_, e)| e.zone == self.driver.zone);
        let targets: HashSet<(&Place, &ModelVersion)> = self
            .fleet
            .plan_in_force()
            .into_iter()
            .flat_map(|p| &p.plan.targets)
            .map(|t| (&t.place, &t.model))
            .collect();
        let mut strays = Vec::new();
        for (vm, e) in mine {
            for (accelerator, a) in (0_u16..).zip(&e.accelerators) {
                let place = Place {
                    endpoint: vm.clone(),
                    accelerator,
                };
                let unordered = a.replicas.iter().filter(|(_, r)| r.last_order.is_none());
                let unwanted = unordered.filter(|(m, _)| !targets.contains(&(&place, *m)));
                strays.extend(unwanted.map(|(m, r)| (place.clone(), m.clone(), r.bytes)));
            }
        }
        for (place, model, bytes) in strays {
            if self.has_more_than_enough(&model.name) {
                self.issue(place, Action::Unload, model, bytes, Cause::Repair);
            }
        }
    }

    /// Tells whether a model has more replicas than are wanted, or isn't wanted at all.
    fn has_more_than_enough(&self, model: &ModelName) -> bool {
        let intent = self
            .fleet
            .confirmed_intent()
            .and_then(|p| p.intent.model(model.as_str()));
        intent.is_none_or(|m| replicas_in_reach(self.fleet, model) > usize::from(m.replicas))
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

    fn would_admit(&self, place: &Place, action: Action, model: &ModelVersion, bytes: u64) -> bool {
        let planned_away = action == Action::Load && self.unloads.contains(&(place, model));
        let o = self.order(place.clone(), action, model.clone(), bytes, Cause::Repair);
        let busy = self.busy.contains(&place.endpoint);
        !busy && !planned_away && o.is_some_and(|o| self.fleet.check_order(self.at, &o).is_ok())
    }

    fn issue(
        &mut self,
        place: Place,
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
        let admitted = self.fleet.check_order(self.at, &o).is_ok();
        if admitted && self.busy.insert(o.place.endpoint.clone()) {
            self.loads += usize::from(action == Action::Load);
            self.orders.push(o);
        }
    }

    fn order(
        &self,
        place: Place,
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

fn order(number: Offset, o: &OrderState, address: SmolStr, fleet: &Fleet) -> Order {
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

/// Reads the outcome of an order off a look that surely shows it.
fn effect(o: &OrderState, look: &Look) -> Outcome {
    if look.has(&o.place, &o.model) == (o.action == Action::Load) {
        return Outcome::Done;
    }
    Outcome::NotDone
}

/// Counts the replicas of a model that are ready or being loaded on endpoints that take work.
fn replicas_in_reach(fleet: &Fleet, name: &ModelName) -> usize {
    fleet
        .endpoints()
        .filter(|(_, e)| e.presence == Presence::Live)
        .flat_map(|(_, e)| &e.accelerators)
        .filter(|a| a.replicas.keys().any(|m| m.name == *name))
        .count()
}

/// Joins what the list says of an endpoint with what a look showed.
fn kind_of(listed: &ListedKind, looked: &EndpointKind) -> EndpointKind {
    match (listed, looked) {
        (ListedKind::Engine { checks_fencing }, EndpointKind::Engine { accelerators, .. }) => {
            let accelerators = accelerators.clone();
            EndpointKind::Engine {
                checks_fencing: *checks_fencing,
                accelerators,
            }
        }
        (ListedKind::Service { name }, _) => EndpointKind::Service { name: name.clone() },
        _ => looked.clone(),
    }
}
