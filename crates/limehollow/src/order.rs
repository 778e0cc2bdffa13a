//! The driver of a zone's lease holder: it discovers endpoints, issues orders and settles them.
//!
//! An order is appended to the log before it is sent, and it is sent only if [`Fleet`] admitted the
//! record. So every order that a paused holder may send after it resumes is known to its successor
//! (`docs/design/two-sided-accounting.md`). An order whose outcome isn't known stays unsettled until
//! there is evidence for an outcome.

mod choose;
mod find;
mod settle;

use crate::demand::Demand;
use crate::fleet::Fleet;
use crate::id::{Incarnation, LogTime, ModelName, Offset, VmName, ZoneName};
use crate::listing::{Listed, ListedKind, Observation};
use crate::membership::Membership;
use crate::plan::{AcceleratorRef, Action, ModelVersion};
use crate::record::Record;
use smol_str::SmolStr;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

/// The interval between two evaluations of the whole fleet while nothing changes.
const ROUND_EVERY: Duration = Duration::from_secs(1);

/// The timeouts and limits of a driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rules {
    /// The longest time by which an endpoint's report may be out of date.
    pub report_lag: Duration,
    /// The longest time after which a sent order may still arrive at its endpoint.
    pub max_order_delay: Duration,
    /// How long an accepted order may show no effect before its outcome counts as unknown.
    pub effect_timeout: Duration,
    /// How long an endpoint may fail to answer polls before it counts as gone.
    pub dead_after: Duration,
    /// How long a lost replica may take to come back before it is loaded on another accelerator.
    pub repair_after: Duration,
    /// How long a plan waits for endpoints that are listed but not recorded in the log yet.
    pub plan_timeout: Duration,
    /// The time within which gateways stop routing to a replica that an order unloads.
    pub withdrawal_delay: Duration,
    /// The interval between two polls of an endpoint.
    pub poll_interval: Duration,
    /// The maximum number of loads in progress in the zone.
    pub max_loads: usize,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            report_lag: Duration::from_secs(2),
            max_order_delay: Duration::from_millis(crate::fleet::DEFAULT_MAX_ORDER_DELAY_MS),
            effect_timeout: Duration::from_secs(30),
            dead_after: Duration::from_secs(10),
            repair_after: Duration::from_secs(30),
            plan_timeout: Duration::from_secs(5),
            withdrawal_delay: Duration::from_secs(3),
            poll_interval: Duration::from_secs(1),
            max_loads: 4,
        }
    }
}

/// An action that the process carries out for the driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Append the record to the log, read up to its offset, then call [`Driver::step`] again.
    Append(Record),
    /// Send an order that the log admitted.
    Send(Order),
    /// Make an endpoint refuse all orders with a lower number.
    Fence {
        /// The endpoint.
        endpoint: VmName,
        /// The address that the endpoint listens on.
        address: SmolStr,
        /// The lowest order number that the endpoint still accepts.
        number: Offset,
    },
    /// Poll an endpoint for its state.
    Poll {
        /// The endpoint.
        endpoint: VmName,
        /// The address that the endpoint listens on.
        address: SmolStr,
    },
}

/// An order as it is sent to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The order's number, which is also its fencing number.
    pub number: Offset,
    /// The address of the endpoint.
    pub address: SmolStr,
    /// The accelerator that the order applies to.
    pub place: AcceleratorRef,
    /// Whether to load or unload the model.
    pub action: Action,
    /// The model to load or unload.
    pub model: ModelVersion,
    /// The accelerator memory that the model takes, in bytes.
    pub bytes: u64,
}

/// The result of sending an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendResult {
    /// The endpoint accepted the order; the effect isn't observed yet.
    Accepted,
    /// The endpoint refused the order, so it never takes effect.
    Refused,
    /// No byte of the order was sent.
    NeverSent,
    /// No answer came, so it isn't known whether the endpoint received the order.
    Lost,
}

/// The progress of sending an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SendState {
    /// The call is in progress.
    Sending,
    /// The call ended with the result, at the given time.
    Ended(SendResult, Instant),
}

/// The polls, observations and fences of one endpoint.
#[derive(Debug, Default)]
struct EndpointWatch {
    poll_in_flight: bool,
    next_poll: Option<Instant>,
    observation: Option<Observation>,
    failing_since: Option<Instant>,
    /// When this process last recorded the endpoint as gone.
    departure_recorded_at: Option<Instant>,
    fencing: bool,
    /// The incarnation that was fenced, the fencing number, and the time of the answer.
    fenced: Option<(Incarnation, Offset, Instant)>,
    /// When a ready replica was first absent from an observation, by accelerator and model.
    missing_since: BTreeMap<(AcceleratorRef, ModelVersion), Instant>,
    /// When a model that isn't in the log's state was first observed, by accelerator and model.
    untracked_since: BTreeMap<(AcceleratorRef, ModelVersion), Instant>,
}

/// Drives one zone while this process holds its lease.
#[derive(Debug)]
pub struct Driver {
    zone: ZoneName,
    own_vm: VmName,
    incarnation: Incarnation,
    rules: Rules,
    list: BTreeMap<VmName, Listed>,
    list_known: bool,
    unlisted_since: BTreeMap<VmName, Instant>,
    watches: BTreeMap<VmName, EndpointWatch>,
    sent: BTreeMap<Offset, SendState>,
    /// When this process first read each unsettled order.
    first_seen: BTreeMap<Offset, Instant>,
    /// The time at which this process acquired the lease.
    held_since: Option<Instant>,
    /// The time since which the sender of an unsettled order can no longer send it.
    sender_gone_since: BTreeMap<Offset, Instant>,
    intent_seen: Option<(Offset, Instant)>,
    /// The next offset and when it was first seen, used to estimate the log time.
    last_record: Option<(Offset, Instant)>,
    demand: Demand,
    /// Whether an event came in that requires an evaluation of the whole fleet.
    has_changes: bool,
    /// The next offset and the time of the last evaluation of the whole fleet.
    last_round: Option<(Offset, Instant)>,
}

/// Events.
impl Driver {
    /// Creates the driver of one controller.
    #[must_use]
    pub fn new(zone: ZoneName, own_vm: VmName, incarnation: Incarnation, rules: Rules) -> Self {
        Self {
            zone,
            own_vm,
            incarnation,
            rules,
            list: BTreeMap::new(),
            list_known: false,
            unlisted_since: BTreeMap::new(),
            watches: BTreeMap::new(),
            sent: BTreeMap::new(),
            first_seen: BTreeMap::new(),
            held_since: None,
            sender_gone_since: BTreeMap::new(),
            intent_seen: None,
            last_record: None,
            demand: Demand::default(),
            has_changes: true,
            last_round: None,
        }
    }

    /// Handles a new version of the platform's membership list.
    pub fn on_list(&mut self, now: Instant, rows: Vec<Listed>) {
        self.has_changes = true;
        let names: BTreeSet<VmName> = rows.iter().map(|l| l.vm.clone()).collect();
        for vm in self.list.keys().filter(|vm| !names.contains(*vm)) {
            self.unlisted_since.entry(vm.clone()).or_insert(now);
        }
        self.unlisted_since.retain(|vm, _| !names.contains(vm));
        self.list = rows.into_iter().map(|l| (l.vm.clone(), l)).collect();
        self.list_known = true;
    }

    /// Handles the result of a poll: an observation of the endpoint, or `None` if it didn't answer.
    pub fn on_observation(
        &mut self,
        now: Instant,
        endpoint: &VmName,
        observation: Option<Observation>,
    ) {
        let w = self.watches.entry(endpoint.clone()).or_default();
        w.poll_in_flight = false;
        let is_changed = match (&w.observation, &observation) {
            (Some(old), Some(new)) => {
                w.failing_since.is_some()
                    || old.incarnation != new.incarnation
                    || old.residents != new.residents
                    || old.changing != new.changing
            }
            _ => true,
        };
        self.has_changes |= is_changed || !self.first_seen.is_empty();
        match observation {
            Some(l) => {
                w.failing_since = None;
                w.observation = Some(l);
            }
            None => {
                w.failing_since.get_or_insert(now);
            }
        }
    }

    /// Handles the answer to a fence: the endpoint's incarnation, or `None` if it didn't agree.
    pub fn on_fenced(
        &mut self,
        now: Instant,
        endpoint: &VmName,
        number: Offset,
        incarnation: Option<Incarnation>,
    ) {
        let w = self.watches.entry(endpoint.clone()).or_default();
        w.fencing = false;
        self.has_changes = true;
        let Some(i) = incarnation else { return };
        // A repeated fence must not invalidate the observations made since the first one.
        if w.fenced.is_some_and(|(j, n, _)| i == j && n >= number) {
            return;
        }
        w.fenced = Some((i, number, now));
        w.next_poll = Some(now);
    }

    /// Handles a report of the requests per second for a model that a gateway of the zone had to refuse.
    pub fn on_unmet_demand(
        &mut self,
        now: Instant,
        from: VmName,
        model: ModelName,
        per_second: f64,
    ) {
        self.demand.report(now, from, model, per_second);
    }

    /// Handles the result of sending an order.
    pub fn on_send_result(&mut self, now: Instant, order: Offset, res: SendResult) {
        self.has_changes = true;
        self.sent.insert(order, SendState::Ended(res, now));
    }
}

/// Decisions.
impl Driver {
    /// Returns the commands to carry out now.
    pub fn step(&mut self, now: Instant, fleet: &Fleet, peers: &Membership) -> Vec<Command> {
        let own_lease = fleet
            .lease(&self.zone)
            .filter(|l| l.holder == self.own_vm && l.incarnation == self.incarnation);
        let Some(lease) = own_lease else {
            self.reset_holder_state();
            return Vec::new();
        };
        let epoch = lease.epoch;
        self.held_since.get_or_insert(now);
        let mut out = Vec::new();
        self.poll_endpoints(now, fleet, &mut out);
        if !self.is_round_due(now, fleet) {
            return out;
        }
        self.track_open_orders(now, fleet);
        self.settle(now, fleet, epoch, peers, &mut out);
        self.find_endpoints(fleet, epoch, &mut out);
        self.find_departures(now, fleet, epoch, &mut out);
        self.find_losses(now, fleet, epoch, &mut out);
        self.find_untracked_replicas(now, fleet, epoch, &mut out);
        self.propose_plan(now, fleet, &mut out);
        let at = self.log_time(now, fleet);
        let intent = fleet.confirmed_intent().map(|p| &p.intent);
        let in_demand = intent
            .map(|i| self.demand.models_to_scale_up(now, i))
            .unwrap_or_default();
        let added = self.next_orders(now, at, fleet, epoch, &in_demand, &mut out);
        for model in added {
            self.demand.record_scale_up(now, &model);
        }
        out
    }

    /// Resets the state that is valid only while this process holds the lease.
    fn reset_holder_state(&mut self) {
        self.sent.clear();
        self.first_seen.clear();
        self.held_since = None;
        self.sender_gone_since.clear();
        self.intent_seen = None;
        self.last_round = None;
        for w in self.watches.values_mut() {
            w.fenced = None;
        }
    }

    /// Returns `true` if something changed since the last evaluation of the whole fleet, or if
    /// [`ROUND_EVERY`] has passed. An evaluation takes milliseconds at the fleet size that is planned for
    /// (`docs/CAPACITY.md`), so it doesn't run at every step.
    fn is_round_due(&mut self, now: Instant, fleet: &Fleet) -> bool {
        let next = fleet.next_offset();
        let same = self
            .last_round
            .is_some_and(|(o, at)| o == next && now < at + ROUND_EVERY);
        if same && !self.has_changes {
            return false;
        }
        self.has_changes = false;
        self.last_round = Some((next, now));
        true
    }

    /// Estimates the log time from the last record and the time since it was read. The estimate is ahead
    /// of the true log time by no more than the clocks' drift, and the log checks each record against its
    /// own time.
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

    fn track_open_orders(&mut self, now: Instant, fleet: &Fleet) {
        let open: BTreeSet<Offset> = fleet
            .orders()
            .filter(|(_, o)| o.settled.is_none())
            .map(|(k, _)| k)
            .collect();
        self.first_seen.retain(|k, _| open.contains(k));
        self.sent.retain(|k, _| open.contains(k));
        self.sender_gone_since.retain(|k, _| open.contains(k));
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
