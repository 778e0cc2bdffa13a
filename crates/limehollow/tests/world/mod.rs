//! A simulation of the environment of controllers: the log, the engines and messages in flight.
//!
//! The test advances the time in ticks, so every run of a case is identical. The checks compare the
//! engines' contents with the log, and never use a controller's own state.

#![allow(dead_code, reason = "each test file uses a part of it")]

use limehollow::fleet::Fleet;
use limehollow::id::{Incarnation, LogTime, ModelName, Offset, VmName, ZoneName};
use limehollow::intent::{Intent, ModelIntent, Priority, Weights};
use limehollow::lease::LeaseWatch;
use limehollow::listing::{Listed, ListedKind, Observation};
use limehollow::load::LoadReport;
use limehollow::membership::{Liveness, Membership};
use limehollow::order::{Command, Driver, Order, Rules, SendResult};
use limehollow::plan::{AcceleratorRef, Action, ModelVersion};
use limehollow::record::{Answer, AnswerKind, Content, EndpointKind, Entry, Record, Resident};
use limehollow::replay::Replay;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

pub const TICK: Duration = Duration::from_millis(200);
pub const LAG: Duration = Duration::from_millis(600);
const LOAD_TIME: Duration = Duration::from_millis(800);

pub fn rules() -> Rules {
    Rules {
        report_lag: LAG,
        effect_timeout: Duration::from_secs(10),
        dead_after: Duration::from_secs(5),
        repair_after: Duration::from_secs(10),
        plan_timeout: Duration::from_secs(2),
        poll_interval: Duration::from_millis(400),
        ..Rules::default()
    }
}

pub fn model(name: &str, version: &str, bytes: u64, replicas: u16) -> ModelIntent {
    ModelIntent {
        name: name.into(),
        version: version.into(),
        bytes,
        base: None,
        service: "".into(),
        priority: Priority::Normal,
        replicas,
    }
}

pub fn adapter(name: &str, base: &str, bytes: u64, replicas: u16) -> ModelIntent {
    ModelIntent {
        base: Some(base.into()),
        ..model(name, "1", bytes, replicas)
    }
}

pub fn intent(models: Vec<ModelIntent>) -> Intent {
    Intent {
        operator: "ana".into(),
        models,
        weights: Weights::default(),
        kv_headroom_percent: 0,
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Loading(Instant),
    Ready,
}

/// The actual state of an engine, as opposed to the state recorded in the log.
#[derive(Debug)]
pub struct Engine {
    pub zone: ZoneName,
    pub checks: bool,
    pub capacity: u64,
    pub incarnation: Incarnation,
    pub up: bool,
    pub models: BTreeMap<ModelVersion, (u64, Phase)>,
    pub running: BTreeMap<ModelName, u32>,
    pub fail_loads: u32,
    fence: u64,
    reports: VecDeque<(Instant, Observation)>,
}

impl Engine {
    pub fn used(&self) -> u64 {
        self.models.values().map(|(b, _)| b).sum()
    }

    pub fn restart(&mut self) {
        self.incarnation += 1;
        self.up = true;
        self.fence = 0;
        self.models.clear();
        self.reports.clear();
    }

    fn accept(&mut self, now: Instant, o: &Order) -> SendResult {
        if !self.up {
            return SendResult::Lost;
        }
        if self.checks && o.number.0 < self.fence {
            return SendResult::Refused;
        }
        self.fence = self.fence.max(o.number.0);
        match o.action {
            Action::Load if self.fail_loads > 0 => self.fail_loads -= 1,
            Action::Load => {
                let ready_at = Phase::Loading(now + LOAD_TIME);
                self.models
                    .entry(o.model.clone())
                    .or_insert((o.bytes, ready_at));
            }
            Action::Unload => {
                self.models.remove(&o.model);
            }
        }
        SendResult::Accepted
    }

    fn advance(&mut self, now: Instant, name: &VmName) {
        for (_, phase) in self.models.values_mut() {
            if matches!(phase, Phase::Loading(at) if *at <= now) {
                *phase = Phase::Ready;
            }
        }
        let place = AcceleratorRef {
            endpoint: name.clone(),
            accelerator: 0,
        };
        let mut observation = Observation {
            began: now,
            incarnation: self.incarnation,
            kind: EndpointKind::Engine {
                checks_fencing: false,
                accelerators: vec![self.capacity],
            },
            residents: Vec::new(),
            changing: Vec::new(),
            running: self.running.iter().map(|(m, n)| (m.clone(), *n)).collect(),
            load: LoadReport {
                running: 0,
                waiting: 0,
                slots: 8,
            },
        };
        for (m, (bytes, phase)) in &self.models {
            let (place, model) = (place.clone(), m.clone());
            match phase {
                Phase::Ready => observation.residents.push(Resident {
                    place,
                    model,
                    bytes: *bytes,
                }),
                Phase::Loading(_) => observation.changing.push((place, model)),
            }
        }
        self.reports.push_back((now, observation));
        // Reports lag by one tick less than the rules allow.
        while self.reports.len() > 1 && self.reports[1].0 + LAG - TICK <= now {
            self.reports.pop_front();
        }
    }

    fn observe(&self, now: Instant) -> Option<Observation> {
        let (_, observation) = self.reports.front()?;
        self.up.then(|| Observation {
            began: now,
            ..observation.clone()
        })
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    Up,
    Paused,
    Dead,
}

/// A controller process.
#[derive(Debug)]
pub struct Controller {
    pub name: VmName,
    pub zone: ZoneName,
    pub incarnation: Incarnation,
    pub state: ProcessState,
    pub replay: Replay,
    lease: LeaseWatch,
    driver: Driver,
    members: Membership,
    /// Orders that the process had decided to send when it was paused.
    unsent: Vec<Order>,
    /// Commands that are answered at the next tick.
    calls: Vec<Command>,
    /// Whether the process has to read its appends back before it decides again.
    must_read: bool,
    highest: Offset,
}

/// The faults that are injected.
#[derive(Debug, Default)]
pub struct Faults {
    pub log_down: bool,
    /// The number of appends that take effect and whose answer is lost.
    pub lose_append_answers: u32,
    /// The number of appends that are lost.
    pub drop_appends: u32,
    /// The zones that can't reach the platform.
    pub cut_from_platform: BTreeSet<ZoneName>,
    /// Whether the controllers of a zone receive no messages from each other.
    pub peers_cut: bool,
    pub drop_orders: u32,
    pub lose_order_answers: u32,
    pub delay_orders: Option<Duration>,
    pub duplicate_orders: Option<Duration>,
    /// Whether the next controller that decides to send an order is paused just before it does.
    pub pause_at_send: bool,
}

#[derive(Debug)]
struct OrderInFlight {
    arrives: Instant,
    engine: VmName,
    order: Order,
}

pub struct World {
    pub now: Instant,
    pub start: Instant,
    pub log: Vec<Entry>,
    /// The lowest offset that the log retains.
    pub retained_from: usize,
    pub engines: BTreeMap<VmName, Engine>,
    pub controllers: Vec<Controller>,
    pub faults: Faults,
    pub unlisted: BTreeSet<VmName>,
    pub leaving: BTreeSet<VmName>,
    /// The state after the whole log, used by the checks and by operators' actions.
    pub reference: Replay,
    /// The models that have to be reachable at every tick.
    pub must_be_reachable: BTreeSet<ModelName>,
    /// The number of orders sent.
    pub orders_sent: u32,
    /// The unmet demand that a gateway of each zone reports: zone, model, requests per second.
    pub unmet: Vec<(ZoneName, ModelName, f64)>,
    /// Whether duplicates of orders were sent, which may load a model again that the log doesn't count.
    has_duplicates: bool,
    in_flight: Vec<OrderInFlight>,
    ticks: u64,
}

impl World {
    /// Creates zones with two entry VMs and two engines each. The first engine checks fencing numbers, the
    /// second doesn't.
    pub fn new(zones: &[&str], capacity: u64) -> Self {
        let start = Instant::now();
        let mut engines = BTreeMap::new();
        let mut controllers = Vec::new();
        for z in zones {
            for (i, checks) in [(1, true), (2, false)] {
                let engine = Engine {
                    zone: (*z).into(),
                    checks,
                    capacity,
                    incarnation: 1,
                    up: true,
                    models: BTreeMap::new(),
                    running: BTreeMap::new(),
                    fail_loads: 0,
                    fence: 0,
                    reports: VecDeque::new(),
                };
                engines.insert(VmName::from(format!("engine-{z}{i}")), engine);
                controllers.push(controller(start, z, &format!("entry-{z}{i}"), 1));
            }
        }
        Self {
            now: start,
            start,
            log: Vec::new(),
            retained_from: 0,
            engines,
            controllers,
            faults: Faults::default(),
            unlisted: BTreeSet::new(),
            leaving: BTreeSet::new(),
            reference: Replay::default(),
            must_be_reachable: BTreeSet::new(),
            orders_sent: 0,
            unmet: Vec::new(),
            has_duplicates: false,
            in_flight: Vec::new(),
            ticks: 0,
        }
    }

    pub fn fleet(&self) -> &Fleet {
        self.reference.fleet()
    }

    fn log_time(&self) -> LogTime {
        let ms = self.now.duration_since(self.start).as_millis();
        LogTime(u64::try_from(ms).expect("the simulated time fits in 64 bits"))
    }

    /// Appends a record on behalf of an operator, and returns its offset and the result of applying it.
    pub fn append(&mut self, record: Record) -> (Offset, limehollow::Result<()>) {
        self.append_content(Content::Record(record))
    }

    fn append_content(&mut self, content: Content) -> (Offset, limehollow::Result<()>) {
        let offset = Offset(self.log.len() as u64);
        let entry = Entry {
            offset,
            at: self.log_time(),
            content,
        };
        self.log.push(entry.clone());
        let applied = self.reference.push_entry(entry);
        let res = applied
            .into_iter()
            .find(|(o, _)| *o == offset)
            .map_or(Ok(()), |(_, r)| r.map(|_| ()));
        (offset, res)
    }

    /// Appends a snapshot and drops all earlier entries from the log.
    pub fn snapshot_and_truncate(&mut self) {
        let fleet = Box::new(self.reference.fleet().clone());
        let next = fleet.next_offset();
        self.append_content(Content::Snapshot { next, fleet })
            .1
            .expect("a snapshot is never void");
        self.retained_from = self.log.len() - 1;
    }

    fn reaches_platform(&self, zone: &ZoneName) -> bool {
        !self.faults.log_down && !self.faults.cut_from_platform.contains(zone)
    }

    pub fn list(&self) -> Vec<Listed> {
        let engines = self.engines.iter().map(|(vm, e)| Listed {
            vm: vm.clone(),
            zone: e.zone.clone(),
            address: "127.0.0.1:1".into(),
            leaving: self.leaving.contains(vm),
            kind: ListedKind::Engine {
                checks_fencing: e.checks,
            },
        });
        let entries = self.controllers.iter().map(|c| Listed {
            vm: c.name.clone(),
            zone: c.zone.clone(),
            address: "127.0.0.1:2".into(),
            leaving: false,
            kind: ListedKind::Entry,
        });
        engines
            .chain(entries)
            .filter(|l| !self.unlisted.contains(&l.vm))
            .collect()
    }

    /// Publishes an intent, waits for the plan, and confirms the plan.
    pub fn confirm(&mut self, intent: Intent) -> Offset {
        let (offset, res) = self.append(Record::Intent(intent));
        res.expect("the intent is valid");
        let found = self.run_until(Duration::from_secs(60), |w| {
            w.fleet()
                .proposed_plan()
                .is_some_and(|p| p.plan.intent == offset)
        });
        let refusal = self.fleet().plan_refusal();
        assert!(found, "no plan came for intent {offset}: {refusal:?}");
        let plan = self
            .fleet()
            .proposed_plan()
            .expect("a plan was proposed above")
            .offset;
        let answer = Answer {
            plan,
            operator: "ana".into(),
            kind: AnswerKind::Confirm,
        };
        self.append(Record::Answer(answer))
            .1
            .expect("no other answer was appended");
        plan
    }

    /// Returns `true` if the plan in force is carried out.
    pub fn is_settled(&self) -> bool {
        self.fleet().is_carried_out()
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.tick();
        }
    }

    pub fn run_until<F>(&mut self, limit: Duration, mut f: F) -> bool
    where
        F: FnMut(&Self) -> bool,
    {
        let end = self.now + limit;
        while self.now < end {
            if f(self) {
                return true;
            }
            self.tick();
        }
        f(self)
    }

    /// Advances the simulation by one tick and checks the invariants.
    pub fn tick(&mut self) {
        self.now += TICK;
        self.ticks += 1;
        self.deliver_orders();
        let now = self.now;
        for (name, e) in &mut self.engines {
            e.advance(now, name);
        }
        self.exchange_heartbeats();
        for i in 0..self.controllers.len() {
            if self.controllers[i].state == ProcessState::Up {
                self.run_controller(i);
            }
        }
        self.check();
    }

    fn deliver_orders(&mut self) {
        let now = self.now;
        let (arrived, remaining) = self
            .in_flight
            .drain(..)
            .partition(|f: &OrderInFlight| f.arrives <= now);
        self.in_flight = remaining;
        for f in arrived as Vec<OrderInFlight> {
            if let Some(e) = self.engines.get_mut(&f.engine) {
                e.accept(now, &f.order);
            }
        }
    }

    fn exchange_heartbeats(&mut self) {
        if !self.ticks.is_multiple_of(5) {
            return;
        }
        let now = self.now;
        for c in self
            .controllers
            .iter_mut()
            .filter(|c| c.state == ProcessState::Up)
        {
            let next = c.replay.fleet().next_offset();
            c.members.tick(now, next);
        }
        if self.faults.peers_cut {
            return;
        }
        let digests: Vec<_> = self
            .controllers
            .iter_mut()
            .filter(|c| c.state == ProcessState::Up)
            .map(|c| (c.zone.clone(), c.members.digest(now, &[])))
            .collect();
        for c in self
            .controllers
            .iter_mut()
            .filter(|c| c.state == ProcessState::Up)
        {
            for (_, d) in digests.iter().filter(|(z, _)| *z == c.zone) {
                for h in d {
                    c.members.merge(now, h.clone());
                }
            }
        }
    }

    fn run_controller(&mut self, i: usize) {
        let now = self.now;
        // A process that resumes first sends the orders that it had decided to send before the pause.
        for order in std::mem::take(&mut self.controllers[i].unsent) {
            self.send(i, order);
        }
        self.answer_calls(i);
        let zone = self.controllers[i].zone.clone();
        let reaches = self.reaches_platform(&zone);
        if reaches {
            self.read_log(i);
            let list = self.list();
            self.controllers[i].driver.on_list(now, list);
        }
        for (_, model, rate) in self.unmet.iter().filter(|(z, ..)| *z == zone) {
            let driver = &mut self.controllers[i].driver;
            driver.on_unmet_demand(now, "gateway".into(), model.clone(), *rate);
        }
        let c = &mut self.controllers[i];
        if c.must_read || c.replay.has_gap() {
            return;
        }
        let fleet = c.replay.fleet().clone();
        if let Some(l) = fleet.lease(&zone)
            && c.members.liveness(now, l.holder.as_str()) == Liveness::Alive
            && c.members
                .heartbeat(l.holder.as_str())
                .is_some_and(|h| h.incarnation == l.incarnation)
        {
            c.lease.record_holder_alive(now, &fleet);
        }
        let rank = c.members.rank(now);
        let mut records: Vec<Record> = c
            .lease
            .poll(now, &fleet, rank)
            .map(Record::LeaseTaken)
            .into_iter()
            .collect();
        let commands = c.driver.step(now, &fleet, &c.members);
        for command in commands {
            match command {
                Command::Append(r) => records.push(r),
                Command::Send(order) => {
                    if self.faults.pause_at_send {
                        self.faults.pause_at_send = false;
                        self.controllers[i].state = ProcessState::Paused;
                    }
                    if self.controllers[i].state == ProcessState::Paused {
                        self.controllers[i].unsent.push(order);
                    } else {
                        self.send(i, order);
                    }
                }
                other => self.controllers[i].calls.push(other),
            }
        }
        if !records.is_empty() && reaches && self.controllers[i].state == ProcessState::Up {
            self.append_from(i, records);
        }
    }

    fn read_log(&mut self, i: usize) {
        let c = &mut self.controllers[i];
        let from = usize::try_from(c.replay.next_to_read().0).expect("the offset fits in a usize");
        for entry in &self.log[from.max(self.retained_from).min(self.log.len())..] {
            c.replay.push_entry(entry.clone());
        }
        c.must_read = false;
        let next = c.replay.fleet().next_offset();
        assert!(
            next >= c.highest,
            "the offset of {} fell from {} to {next}",
            c.name,
            c.highest
        );
        c.highest = next;
    }

    fn append_from(&mut self, i: usize, records: Vec<Record>) {
        self.controllers[i].must_read = true;
        if self.faults.drop_appends > 0 {
            self.faults.drop_appends -= 1;
            return;
        }
        // A lost answer makes no difference here: in both cases the controller reads the log before it
        // decides again.
        self.faults.lose_append_answers = self.faults.lose_append_answers.saturating_sub(1);
        for r in records {
            let _void = self.append(r);
        }
    }

    fn send(&mut self, i: usize, order: Order) {
        let now = self.now;
        let engine = order.place.endpoint.clone();
        self.orders_sent += 1;
        if let Some(after) = self.faults.duplicate_orders {
            self.has_duplicates = true;
            let arrives = now + after;
            self.in_flight.push(OrderInFlight {
                arrives,
                engine: engine.clone(),
                order: order.clone(),
            });
        }
        let number = order.number;
        let res = if self.faults.drop_orders > 0 {
            self.faults.drop_orders -= 1;
            SendResult::Lost
        } else if let Some(delay) = self.faults.delay_orders {
            self.in_flight.push(OrderInFlight {
                arrives: now + delay,
                engine,
                order,
            });
            SendResult::Lost
        } else {
            let answer = self
                .engines
                .get_mut(&engine)
                .map_or(SendResult::Lost, |e| e.accept(now, &order));
            if self.faults.lose_order_answers > 0 {
                self.faults.lose_order_answers -= 1;
                SendResult::Lost
            } else {
                answer
            }
        };
        self.controllers[i].driver.on_send_result(now, number, res);
    }

    /// Answers the calls that a controller made at the last tick.
    fn answer_calls(&mut self, i: usize) {
        let now = self.now;
        for call in std::mem::take(&mut self.controllers[i].calls) {
            match call {
                Command::Poll { endpoint, .. } => {
                    let observation = self.engines.get(&endpoint).and_then(|e| e.observe(now));
                    self.controllers[i]
                        .driver
                        .on_observation(now, &endpoint, observation);
                }
                Command::Fence {
                    endpoint, number, ..
                } => {
                    let e = self
                        .engines
                        .get_mut(&endpoint)
                        .filter(|e| e.up && e.fence <= number.0);
                    let agreed = e.map(|e| {
                        e.fence = number.0;
                        e.incarnation
                    });
                    self.controllers[i]
                        .driver
                        .on_fenced(now, &endpoint, number, agreed);
                }
                Command::Append(_) | Command::Send(_) => {}
            }
        }
    }

    /// Checks the invariants that must hold at every tick, on the engines' contents.
    fn check(&self) {
        let at = self.now.duration_since(self.start);
        for (name, e) in &self.engines {
            let used = e.used();
            assert!(
                used <= e.capacity,
                "{at:?}: {name} holds {used} of {}: {:?}",
                e.capacity,
                e.models
            );
        }
        self.check_all_counted();
        for m in &self.must_be_reachable {
            let reachable = self
                .fleet()
                .ready_replicas(m.as_str())
                .any(|p| self.is_loaded(&p, m));
            assert!(reachable, "{at:?}: {m} is not reachable");
        }
    }

    /// Checks that the log counts every model that an engine holds. It may count more, but never less.
    fn check_all_counted(&self) {
        if self.has_duplicates {
            return;
        }
        let at = self.now.duration_since(self.start);
        for (name, e) in &self.engines {
            let known = self.fleet().endpoint(name.as_str());
            let Some(known) = known.filter(|k| k.incarnation == e.incarnation) else {
                continue;
            };
            for m in e.models.keys() {
                let counted = known.accelerators[0].replicas.contains_key(m);
                assert!(
                    counted,
                    "{at:?}: {name} holds {m:?}, which the log doesn't count"
                );
            }
        }
    }

    fn is_loaded(&self, place: &AcceleratorRef, name: &ModelName) -> bool {
        self.engines.get(&place.endpoint).is_some_and(|e| {
            e.up && e
                .models
                .iter()
                .any(|(m, (_, p))| m.name == *name && *p == Phase::Ready)
        })
    }

    /// Returns the number of orders in flight.
    pub fn orders_in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns the index of the controller that holds a zone's lease.
    pub fn holder(&self, zone: &str) -> Option<usize> {
        let l = self.fleet().lease(&zone.into())?;
        self.controllers
            .iter()
            .position(|c| c.name == l.holder && c.incarnation == l.incarnation)
    }

    /// Replaces a controller with a new process of the same name.
    pub fn replace(&mut self, i: usize) {
        let (zone, name) = (
            self.controllers[i].zone.clone(),
            self.controllers[i].name.clone(),
        );
        let incarnation = self.controllers[i].incarnation + 1;
        self.controllers[i] = controller(self.now, zone.as_str(), name.as_str(), incarnation);
    }

    /// Ends all faults, restarts dead controllers and resumes paused ones.
    pub fn end_faults(&mut self) {
        self.faults = Faults::default();
        for i in 0..self.controllers.len() {
            match self.controllers[i].state {
                ProcessState::Dead => self.replace(i),
                ProcessState::Paused => self.controllers[i].state = ProcessState::Up,
                ProcessState::Up => {}
            }
        }
    }

    /// Requires all models of the confirmed intent to be reachable from now on.
    pub fn require_reachable(&mut self) {
        let Some(i) = self.fleet().confirmed_intent() else {
            return;
        };
        self.must_be_reachable = i.intent.models.iter().map(|m| m.name.clone()).collect();
    }
}

fn controller(now: Instant, zone: &str, name: &str, incarnation: Incarnation) -> Controller {
    let (zone, name) = (ZoneName::from(zone), VmName::from(name));
    Controller {
        lease: LeaseWatch::new(zone.clone(), name.clone(), incarnation),
        driver: Driver::new(zone.clone(), name.clone(), incarnation, rules()),
        members: Membership::new(now, name.clone(), incarnation),
        replay: Replay::default(),
        state: ProcessState::Up,
        unsent: Vec::new(),
        calls: Vec::new(),
        must_read: false,
        highest: Offset(0),
        zone,
        name,
        incarnation,
    }
}

/// Describes what is left to do before the plan in force is carried out.
pub fn describe_unfinished(w: &World) -> Vec<String> {
    let f = w.fleet();
    let open = f
        .orders()
        .filter(|(_, o)| o.settled.is_none())
        .map(|(k, o)| format!("open {k} {o:?}"));
    let missing = f.missing_targets().map(|t| format!("missing {t:?}"));
    let held = w
        .engines
        .iter()
        .map(|(n, e)| format!("{n} holds {:?}", e.models));
    let steps = f
        .plan_in_force()
        .into_iter()
        .flat_map(|p| &p.plan.steps)
        .map(|s| format!("{s:?}"));
    open.chain(missing).chain(held).chain(steps).collect()
}
