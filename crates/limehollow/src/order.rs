//! What the holder of a zone's lease does: it finds endpoints, gives orders and settles them.
//!
//! An order is written to the log before it is sent, and it is sent only if the fold of the log
//! admitted it. So whatever a paused holder may still send after it wakes is known to its successor
//! (`docs/design/two-sided-accounting.md`). An order whose outcome isn't known stays unsettled until
//! there is evidence; hope is none.

mod choose;
mod find;
mod settle;

use crate::demand::Demand;
use crate::fleet::Fleet;
use crate::id::{Incarnation, LogTime, ModelName, Offset, VmName, ZoneName};
use crate::listing::{Listed, ListedKind, Observation};
use crate::membership::Membership;
use crate::plan::{Action, ModelVersion, Place};
use crate::record::Record;
use smol_str::SmolStr;
use std::collections::{BTreeMap, BTreeSet};
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
    look: Option<Observation>,
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
    demand: Demand,
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
            demand: Demand::default(),
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
    pub fn on_look(&mut self, now: Instant, endpoint: &VmName, look: Option<Observation>) {
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

    /// Takes in how many requests for a model a second a gateway of the zone had to refuse.
    pub fn on_unmet(&mut self, now: Instant, from: VmName, model: ModelName, per_second: f64) {
        self.demand.hear(now, from, model, per_second);
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
        let intent = fleet.confirmed_intent().map(|p| &p.intent);
        let wanting = intent
            .map(|i| self.demand.wanting(now, i))
            .unwrap_or_default();
        let added = self.next_orders(now, at, fleet, epoch, &wanting, &mut out);
        for model in added {
            self.demand.acted(now, &model);
        }
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
}
