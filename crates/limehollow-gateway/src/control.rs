//! The control state, owned by one thread: it follows the log and publishes the routing table.

use crate::metrics::Metrics;
use crate::shared_admission::SharedAdmission;
use arc_swap::ArcSwap;
use limehollow::fleet::{Effect, Fleet};
use limehollow::id::{Incarnation, Offset, VmName, ZoneName};
use limehollow::listing::{Listed, ListedKind};
use limehollow::replay::Replay;
use limehollow::routing::{Table, TableBuilder};
use limehollow_edge::admin::{DumpRequest, Readiness};
use limehollow_edge::follow::Batch;
use limehollow_wire::peer::News;
use serde_json::json;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, interval};

const TICK: Duration = Duration::from_millis(500);

/// One event for the control thread.
#[derive(Debug)]
pub enum Event {
    /// A batch of log entries, or `None` if the log could not be read.
    Log(Option<Batch>),
    /// The platform's membership list.
    List(Vec<Listed>),
    /// An update from the controller on this VM.
    News(News),
    /// A snapshot of a controller's state and the offset that follows it.
    State(Offset, Box<Fleet>),
    /// An operator's request for a dump.
    Dump(DumpRequest),
    /// The process is about to stop and reports that it is not ready.
    Stopping,
    /// The control thread ends.
    Stop,
}

/// All control state of a gateway.
#[derive(Debug)]
pub struct Control {
    name: VmName,
    zone: ZoneName,
    incarnation: Incarnation,
    replay: Replay,
    table_builder: TableBuilder,
    table: Arc<ArcSwap<Table>>,
    admission: Arc<SharedAdmission>,
    metrics: Metrics,
    ready: watch::Sender<Readiness>,
    listed_leaving: BTreeSet<VmName>,
    peers_leaving: BTreeSet<VmName>,
    /// The highest next offset that the controller has reported.
    controller_offset: Offset,
    caught_up: bool,
    log_failing: bool,
    stopping: bool,
}

impl Control {
    /// Creates the control state of a gateway that has just started.
    #[must_use]
    pub fn new(
        (name, zone, incarnation): (VmName, ZoneName, Incarnation),
        table: Arc<ArcSwap<Table>>,
        admission: Arc<SharedAdmission>,
        metrics: Metrics,
        ready: watch::Sender<Readiness>,
    ) -> Self {
        Self {
            name,
            zone,
            incarnation,
            replay: Replay::default(),
            table_builder: TableBuilder::default(),
            table,
            admission,
            metrics,
            ready,
            listed_leaving: BTreeSet::new(),
            peers_leaving: BTreeSet::new(),
            controller_offset: Offset(0),
            caught_up: false,
            log_failing: false,
            stopping: false,
        }
    }

    /// Processes events until [`Event::Stop`] arrives or the channel is closed.
    pub async fn run(mut self, mut events: mpsc::Receiver<Event>) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        loop {
            tokio::select! {
                event = events.recv() => match event {
                    None | Some(Event::Stop) => return,
                    Some(e) => self.handle_event(e),
                },
                _ = ticks.tick() => {}
            }
            self.update_status();
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Log(batch) => self.on_log(batch),
            Event::List(rows) => {
                let endpoints = rows.iter().filter(|l| l.kind != ListedKind::Entry);
                let leaving = endpoints
                    .filter(|l| l.leaving)
                    .map(|l| l.vm.clone())
                    .collect();
                if leaving != self.listed_leaving {
                    self.listed_leaving = leaving;
                    self.publish();
                }
            }
            Event::News(news) => self.on_news(news),
            Event::State(next, fleet) => {
                let applied = self.replay.install_snapshot_and_replay(next, *fleet);
                let moved = !applied.is_empty() || self.replay.fleet().next_offset() == next;
                self.caught_up |= !self.replay.has_gap() && moved;
                self.publish();
            }
            Event::Dump(reply) => {
                let _gone = reply.send(self.dump());
            }
            Event::Stopping => self.stopping = true,
            Event::Stop => {}
        }
    }

    fn on_log(&mut self, batch: Option<Batch>) {
        let Some(batch) = batch else {
            if !self.log_failing {
                tracing::warn!("reading the log failed; the configuration in force stays in force");
            }
            self.log_failing = true;
            return;
        };
        if self.log_failing {
            tracing::info!("reading the log succeeds again");
            self.log_failing = false;
        }
        let mut changed = false;
        for entry in batch.entries {
            let applied = self.replay.push_entry(entry);
            changed |= applied
                .iter()
                .any(|(_, r)| matches!(r, Ok(e) if *e != Effect::Nothing));
        }
        self.caught_up |= !self.replay.has_gap() && self.replay.fleet().next_offset() >= batch.end;
        if changed {
            self.publish();
        }
    }

    fn on_news(&mut self, news: News) {
        self.controller_offset = self.controller_offset.max(Offset(news.next));
        let leaving = news
            .leaving
            .iter()
            .map(|s| VmName::from(s.as_str()))
            .collect();
        if leaving != self.peers_leaving {
            self.peers_leaving = leaving;
            self.publish();
        }
        let now = Instant::now();
        for l in news.loads {
            let same = self
                .replay
                .fleet()
                .endpoint(&l.vm)
                .is_some_and(|e| e.incarnation == l.incarnation);
            let age = Duration::from_millis(u64::from(l.age_ms));
            if let (true, Some(key), Some(taken)) =
                (same, self.table_builder.key(&l.vm), now.checked_sub(age))
            {
                self.admission.with(|a| a.report(taken, key, l.report()));
            }
        }
    }

    fn publish(&mut self) {
        let leaving = self
            .listed_leaving
            .union(&self.peers_leaving)
            .cloned()
            .collect();
        let table = self.table_builder.build(self.replay.fleet(), &leaving);
        self.table.store(Arc::new(table));
        let table_builder = &self.table_builder;
        self.admission
            .with(|a| a.retain_endpoints(|k| table_builder.contains(k)));
        self.admission.poll_queue();
    }

    fn update_status(&self) {
        let next = self.replay.fleet().next_offset();
        self.metrics
            .next_offset
            .set(i64::try_from(next.0).unwrap_or(i64::MAX));
        let waiting = self.admission.with(|a| a.waiting());
        self.metrics
            .waiting
            .set(i64::try_from(waiting).unwrap_or(i64::MAX));
        let not = |why: &str| Readiness::Not(why.to_owned());
        let ready = if self.stopping {
            not("stopping")
        } else if !self.caught_up {
            not("the configuration was not read yet")
        } else if next < self.controller_offset && self.log_failing {
            not("the controller of this VM knows a later configuration")
        } else {
            Readiness::Ready
        };
        self.ready.send_if_modified(|r| {
            let changed = *r != ready;
            *r = ready;
            changed
        });
    }

    fn dump(&self) -> serde_json::Value {
        let fleet = self.replay.fleet();
        let now = Instant::now();
        let table = self.table.load();
        let models: serde_json::Map<String, serde_json::Value> = table
            .model_names()
            .into_iter()
            .filter_map(|m| {
                Some((
                    m.to_string(),
                    self.dump_route(now, table.model(m.as_str())?),
                ))
            })
            .collect();
        let waiting: Vec<_> = self.admission.with(|a| {
            a.waiting_by_subject()
                .map(|(s, n)| json!({ "subject": format!("{s:?}"), "n": n }))
                .collect()
        });
        json!({
            "role": "gateway",
            "name": self.name,
            "availability_zone": self.zone,
            "incarnation": self.incarnation,
            "offset_in_force": fleet.in_force_offset(),
            "caught_up": self.caught_up,
            "log_failing": self.log_failing,
            "stopping": self.stopping,
            "leaving_by_list": self.listed_leaving,
            "leaving_by_peers": self.peers_leaving,
            "waiting": waiting,
            "routes": models,
        })
    }

    fn dump_route(&self, now: Instant, route: &limehollow::routing::Route) -> serde_json::Value {
        let rows: Vec<_> = route
            .targets
            .iter()
            .map(|t| {
                self.admission.with(|a| {
                    json!({
                        "endpoint": t.name, "availability_zone": t.zone, "version": t.version,
                        "outstanding": a.loads().outstanding(t.key),
                        "estimate": a.loads().estimate(now, t.key),
                        "slots": a.loads().slots(now, t.key),
                        "ejected": a.loads().is_ejected(now, t.key),
                    })
                })
            })
            .collect();
        json!({ "priority": route.priority.as_str(), "targets": rows })
    }
}
