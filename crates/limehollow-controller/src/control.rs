//! The control loop: owns all state of the controller, handles events and issues calls.

use crate::event::Event;
use crate::gossip::Gossip;
use crate::io::Io;
use crate::metrics::Metrics;
use crate::settings::ControllerSettings;
use limehollow::id::{Incarnation, Offset, VmName, ZoneName};
use limehollow::lease::{DEFAULT_STAGGER, LeaseWatch};
use limehollow::listing::{Listed, ListedKind};
use limehollow::membership::Liveness;
use limehollow::order::{Command, Driver};
use limehollow::record::Record;
use limehollow::replay::{Applied, Replay, SNAPSHOT_EVERY};
use limehollow_edge::admin::Readiness;
use limehollow_edge::follow::Batch;
use limehollow_wire::peer::{ClaimFate, Reply, Request};
use limehollow_wire::record::{encode, encode_snapshot};
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::json;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, interval};

const TICK_INTERVAL: Duration = Duration::from_millis(100);
const GOSSIP_INTERVAL: Duration = Duration::from_secs(1);
const APPEND_RETRY_DELAY: Duration = Duration::from_millis(500);
const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// What the driver has to wait for before it decides again, because of an append in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Waiting {
    /// No append is in flight: the driver may decide.
    Nothing,
    /// The answer to the append.
    Answer,
    /// The log has to be read past this offset.
    Read(Offset),
    /// The result of the append is unknown, so the append may have taken effect: the log has to be read
    /// to its end by a read that began at or after this time.
    End(Instant),
}

/// The state of a controller.
#[derive(Debug)]
pub struct Control {
    settings: ControllerSettings,
    incarnation: Incarnation,
    zone: ZoneName,
    replay: Replay,
    lease: LeaseWatch,
    gossip: Gossip,
    driver: Driver,
    io: Io,
    metrics: Metrics,
    ready: watch::Sender<Readiness>,
    list: Vec<Listed>,
    waiting: Waiting,
    next_append: Instant,
    next_gossip: Instant,
    next_load_poll: Instant,
    /// Whether the log was read to its end or a peer's state was installed.
    caught_up: bool,
    log_failing: bool,
    was_holder: bool,
    /// The next offset at the time of the last update of the fleet's gauges.
    gauges_offset: Offset,
    /// The next offset when this process last appended a snapshot.
    snapshot_at: Offset,
}

impl Control {
    /// Creates the state of a controller that starts now.
    #[must_use]
    pub fn new(
        settings: ControllerSettings,
        incarnation: Incarnation,
        io: Io,
        metrics: Metrics,
        ready: watch::Sender<Readiness>,
    ) -> Self {
        let now = Instant::now();
        let zone = ZoneName::from(settings.availability_zone.as_str());
        let own_vm = VmName::from(settings.name.as_str());
        let rng = StdRng::seed_from_u64(incarnation);
        let seeds = settings.seed_peers.clone();
        let ttl = Duration::from_millis(settings.rules.lease_ttl_ms);
        Self {
            lease: LeaseWatch::new(zone.clone(), own_vm.clone(), incarnation)
                .with_times(ttl, DEFAULT_STAGGER),
            gossip: Gossip::new(now, zone.clone(), own_vm.clone(), incarnation, seeds, rng),
            driver: Driver::new(zone.clone(), own_vm, incarnation, settings.rules.into()),
            settings,
            incarnation,
            zone,
            replay: Replay::default(),
            io,
            metrics,
            ready,
            list: Vec::new(),
            waiting: Waiting::Nothing,
            next_append: now,
            next_gossip: now,
            next_load_poll: now,
            caught_up: false,
            log_failing: false,
            was_holder: false,
            gauges_offset: Offset(0),
            snapshot_at: Offset(0),
        }
    }

    /// Handles events until [`Event::Stop`] arrives or the channel closes.
    pub async fn run(mut self, mut events: mpsc::Receiver<Event>) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        for seed in self.settings.seed_peers.clone() {
            self.io.request_state(seed);
        }
        loop {
            tokio::select! {
                event = events.recv() => match event {
                    None | Some(Event::Stop) => return,
                    Some(e) => self.handle_event(e),
                },
                _ = ticks.tick() => self.tick(),
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = Instant::now();
        match event {
            Event::Log(batch) => self.on_log(now, batch),
            Event::List(listing) => {
                let Some(listing) = listing else { return };
                self.gossip.on_list(&listing.rows);
                self.driver.on_list(now, listing.rows.clone());
                self.list = listing.rows;
            }
            Event::Polled(vm, observation) => {
                if let Some(o) = &observation {
                    self.gossip.on_observation(&vm, o);
                }
                self.driver.on_observation(now, &vm, observation);
            }
            Event::Fenced(vm, number, agreed) => self.driver.on_fenced(now, &vm, number, agreed),
            Event::Sent(order, res) => self.driver.on_send_result(now, order, res),
            Event::Appended(Ok(last)) => {
                // The log may have been read past this offset before the answer arrived.
                let read = self.replay.fleet().next_offset() > last;
                self.waiting = if read {
                    Waiting::Nothing
                } else {
                    Waiting::Read(last)
                };
            }
            Event::Appended(Err(at)) => {
                self.waiting = Waiting::End(at);
                self.next_append = now + APPEND_RETRY_DELAY;
            }
            Event::PeerRequest(req, reply) => {
                // The send fails if the peer no longer waits for the reply.
                let _gone = reply.send(self.answer(now, req));
            }
            Event::GossipReply(digest) => self.gossip.on_digest(now, digest),
            Event::PeerState(state) => self.on_peer_state(now, state),
            Event::Dump(reply) => {
                let _gone = reply.send(self.dump(now));
            }
            Event::Stop => {}
        }
    }

    fn on_log(&mut self, now: Instant, batch: Option<Batch>) {
        let Some(batch) = batch else {
            self.metrics.log_failures.inc();
            if !self.log_failing {
                tracing::warn!("the log can't be read; the configuration in force stays in force");
            }
            self.log_failing = true;
            return;
        };
        if self.log_failing {
            tracing::info!("the log can be read again");
            self.log_failing = false;
        }
        for entry in batch.entries {
            self.metrics.records.inc();
            let applied = self.replay.push_entry(entry);
            self.count_void_records(applied);
        }
        let next = self.replay.fleet().next_offset();
        let at_end = next >= batch.end && !self.replay.has_gap();
        self.caught_up |= at_end;
        self.waiting = match self.waiting {
            Waiting::Read(last) if next > last => Waiting::Nothing,
            Waiting::End(since) if batch.began >= since && at_end => Waiting::Nothing,
            w => w,
        };
        self.decide(now);
    }

    fn count_void_records(&mut self, applied: Vec<Applied>) {
        for (offset, res) in applied {
            if let Err(e) = res {
                self.metrics.void_records.inc();
                tracing::debug!(%offset, error = %e, "void record");
            }
        }
    }

    fn on_peer_state(
        &mut self,
        now: Instant,
        state: Option<(Offset, Box<limehollow::fleet::Fleet>)>,
    ) {
        let Some((next, fleet)) = state else { return };
        let applied = self.replay.install_snapshot_and_replay(next, *fleet);
        self.count_void_records(applied);
        // The state counts as complete only if no live peer is known to have a higher offset.
        let highest = self.gossip.members.highest_next(now);
        self.caught_up |= !self.replay.has_gap() && self.replay.fleet().next_offset() >= highest;
    }

    fn tick(&mut self) {
        let now = Instant::now();
        let next = self.replay.fleet().next_offset();
        if now >= self.next_gossip {
            self.next_gossip = now + GOSSIP_INTERVAL;
            self.gossip.tick(now, next);
            for peer in self.gossip.choose_peers() {
                let digest = self.gossip.digest(now, &[]);
                self.io.gossip(peer, digest);
            }
            for (vm, model, rate, reported_at) in self.gossip.unmet() {
                self.driver
                    .on_unmet_demand(reported_at, vm.clone(), model.as_str().into(), rate);
            }
            self.request_missing_state();
        }
        if now >= self.next_load_poll {
            self.next_load_poll = now + LOAD_POLL_INTERVAL;
            self.poll_watched_endpoints(now);
        }
        self.decide(now);
        self.publish_status();
    }

    /// Requests the state from a peer while the beginning of the log is missing or can't be read.
    fn request_missing_state(&mut self) {
        if self.caught_up && !self.replay.has_gap() {
            return;
        }
        if let Some(peer) = self.gossip.choose_peers().pop() {
            self.io.request_state(peer);
        }
    }

    /// Polls the endpoints that this controller watches. The lease holder skips this, as its driver polls
    /// the endpoints.
    fn poll_watched_endpoints(&mut self, now: Instant) {
        if self.lease.holds_lease(self.replay.fleet()) {
            return;
        }
        let own = |l: &&Listed| l.zone == self.zone && l.kind != ListedKind::Entry;
        for l in self.list.iter().filter(own) {
            if self.gossip.watches(now, &l.vm) {
                self.io.poll(l.vm.clone(), l.address.to_string());
            }
        }
    }

    /// Decides which records to append and which calls to issue, unless an append is in flight.
    fn decide(&mut self, now: Instant) {
        if self.waiting != Waiting::Nothing || !self.caught_up || self.replay.has_gap() {
            return;
        }
        let mut records = Vec::new();
        let fleet = self.replay.fleet();
        if let Some(l) = fleet.lease(&self.zone)
            && self.gossip.members.liveness(now, l.holder.as_str()) == Liveness::Alive
            && self
                .gossip
                .members
                .heartbeat(l.holder.as_str())
                .is_some_and(|h| h.incarnation == l.incarnation)
        {
            self.lease.record_holder_alive(now, fleet);
        }
        let rank = self.gossip.members.rank(now);
        let takeover = self.lease.poll(now, fleet, rank);
        records.extend(takeover.map(Record::LeaseTaken));
        for command in self.driver.step(now, fleet, &self.gossip.members) {
            match command {
                Command::Append(r) => records.push(r),
                Command::Send(order) => self.io.send(order),
                Command::Fence {
                    endpoint,
                    address,
                    number,
                } => {
                    self.io.fence(endpoint, address.to_string(), number);
                }
                Command::Poll { endpoint, address } => self.io.poll(endpoint, address.to_string()),
            }
        }
        let mut texts: Vec<String> = records.iter().map(encode).collect();
        texts.extend(self.snapshot());
        if texts.is_empty() || now < self.next_append {
            return;
        }
        self.waiting = Waiting::Answer;
        self.io.append(texts);
    }

    /// Returns the encoded snapshot if one is due. Lease holders of zones that come later in order wait for
    /// more records, so that usually only one holder appends.
    fn snapshot(&mut self) -> Option<String> {
        let fleet = self.replay.fleet();
        if !self.lease.holds_lease(fleet)
            || !self.replay.snapshot_is_due(self.settings.log_retention_ms)
        {
            return None;
        }
        let rank = fleet.leases().take_while(|(z, _)| **z != self.zone).count() as u64;
        let next = fleet.next_offset();
        let since = next.0 - self.snapshot_at.0;
        if rank > 0 && since < SNAPSHOT_EVERY * (1 + rank) {
            return None;
        }
        self.snapshot_at = next;
        Some(encode_snapshot(fleet))
    }

    fn answer(&mut self, now: Instant, req: Request) -> Reply {
        let next = self.replay.fleet().next_offset();
        match req {
            Request::Gossip(digest) => {
                let received = digest.heartbeats.clone();
                self.gossip.on_digest(now, digest);
                Reply::Gossip(self.gossip.digest(now, &received))
            }
            Request::State => {
                let known = self.caught_up && !self.replay.has_gap() && next > Offset(0);
                Reply::State(known.then(|| encode_snapshot(self.replay.fleet())))
            }
            Request::News(unmet) => {
                self.gossip.on_unmet(now, unmet);
                Reply::News(self.gossip.news(now, next))
            }
            Request::Claim { .. } => Reply::Claim(ClaimFate::Unknown),
        }
    }

    /// Updates metrics and readiness, and logs when this controller takes or loses the lease.
    fn publish_status(&mut self) {
        let fleet = self.replay.fleet();
        let holds = self.lease.holds_lease(fleet);
        if holds != self.was_holder {
            self.was_holder = holds;
            let epoch = fleet.epoch(&self.zone).unwrap_or_default();
            if holds {
                tracing::info!(zone = %self.zone, %epoch, "took the lease");
            } else {
                tracing::warn!(zone = %self.zone, %epoch, "lost the lease");
            }
        }
        let next = fleet.next_offset();
        if next != self.gauges_offset {
            self.gauges_offset = next;
            self.update_fleet_gauges();
        }
        self.metrics.holds_lease.set(i64::from(holds));
        let ready = if self.caught_up {
            Readiness::Ready
        } else {
            Readiness::Not("the configuration was not read yet".to_owned())
        };
        self.ready.send_if_modified(|r| {
            let changed = *r != ready;
            *r = ready;
            changed
        });
    }

    /// Updates the gauges of the fleet. Iterates over the whole fleet, so it is called only when the offset
    /// has changed.
    fn update_fleet_gauges(&self) {
        let fleet = self.replay.fleet();
        let m = &self.metrics;
        let gauge = |n: u64| i64::try_from(n).unwrap_or(i64::MAX);
        m.next_offset.set(gauge(fleet.next_offset().0));
        m.moves.set(gauge(fleet.moves_done()));
        let open = fleet.orders().filter(|(_, o)| o.settled.is_none()).count();
        m.open_orders.set(gauge(open as u64));
        m.short_models
            .set(gauge(fleet.underreplicated_models().count() as u64));
    }

    fn dump(&mut self, now: Instant) -> serde_json::Value {
        let fleet = self.replay.fleet();
        let holder = self.lease.holds_lease(fleet);
        let lease = fleet.lease(&self.zone);
        let because = match lease {
            Some(l) if holder => format!("the takeover at offset {} stands first", l.epoch),
            Some(l) => format!("{} took the lease at offset {}", l.holder, l.epoch),
            None => "nobody has taken the lease yet".to_owned(),
        };
        let peers: Vec<_> = self
            .gossip
            .members
            .alive(now)
            .map(|h| {
                let liveness = self.gossip.members.liveness(now, h.vm.as_str());
                json!({ "vm": h.vm, "incarnation": h.incarnation, "next": h.next,
                        "liveness": format!("{liveness:?}") })
            })
            .collect();
        let leaving = self.gossip.leaving();
        json!({
            "role": "controller",
            "name": self.settings.name,
            "availability_zone": self.zone,
            "incarnation": self.incarnation,
            "offset_in_force": fleet.in_force_offset(),
            "caught_up": self.caught_up,
            "log_failing": self.log_failing,
            "holds_lease": holder,
            "lease_because": because,
            "waiting_for": format!("{:?}", self.waiting),
            "peers": peers,
            "leaving": leaving,
            "driver": format!("{:?}", self.driver),
            "fleet": fleet,
        })
    }
}
