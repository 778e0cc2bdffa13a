//! Routing and admission on virtual time: several gateways before engines whose reports come late.

#![expect(
    clippy::cast_precision_loss,
    reason = "counts of a measurement are far below 2^52"
)]

use crate::fleets::{Size, Story};
use limehollow::admission::{
    Admission, AdmissionDecision, AdmissionRequest, QueueDecision, Subject, Ticket,
};
use limehollow::id::EndpointKey;
use limehollow::intent::Priority;
use limehollow::load::{AttemptOutcome, LoadReport};
use limehollow::routing::{Table, TableBuilder};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// How requests are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Limehollow's own routing and admission.
    Own,
    /// One endpoint after the other.
    RoundRobin,
    /// The less busy of two random endpoints, by their reports.
    TwoByReports,
}

impl Policy {
    /// Gives the name in tables.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Own => "limehollow",
            Self::RoundRobin => "round robin",
            Self::TwoByReports => "better of two random, by reports",
        }
    }
}

/// What a policy came to.
#[derive(Clone, Copy, Debug, Default)]
pub struct Routed {
    /// Requests that came.
    pub requests: u32,
    /// Requests that were answered in time.
    pub attained: u32,
    /// Requests that were refused.
    pub refused: u32,
    /// The mean time from a request to its refusal, in milliseconds.
    pub refusal_ms: f64,
}

const ENGINES: usize = 8;
const SLOTS: usize = 8;
const GATEWAYS: usize = 4;
const TICK: Duration = Duration::from_millis(10);
const MEAN: f64 = 0.5;
const LENGTH: Duration = Duration::from_secs(120);
const REPORT_EVERY: u32 = 50;

struct Job {
    gateway: usize,
    sent: Instant,
    deadline: Instant,
    work: Duration,
    /// When the gateway sent it to the engine.
    dispatched: Instant,
    began: Option<Instant>,
}

struct Sim {
    table: Table,
    keys: Vec<EndpointKey>,
    engines: Vec<(Vec<Job>, VecDeque<Job>)>,
    reported: Vec<usize>,
    gateways: Vec<Admission>,
    rng: StdRng,
    result: Routed,
    refused_after: f64,
}

/// Sends requests at a multiple of the endpoints' capacity for two minutes.
#[must_use]
pub fn route(policy: Policy, load: f64) -> Routed {
    let size = Size {
        name: "",
        zones: 1,
        engines: ENGINES,
        accelerators: 1,
        models: 1,
        adapters: 0,
        replicas: 8,
    };
    let story = Story::serving(&size);
    let table = TableBuilder::default().build(&story.fleet, &BTreeSet::new());
    let keys: Vec<EndpointKey> = table
        .model("model-000")
        .map(|r| r.targets.iter().map(|t| t.key).collect())
        .unwrap_or_default();
    let mut sim = Sim {
        table,
        keys,
        engines: (0..ENGINES)
            .map(|_| (Vec::new(), VecDeque::new()))
            .collect(),
        reported: vec![0; ENGINES],
        gateways: (0..GATEWAYS)
            .map(|_| Admission::new("zone-0".into()))
            .collect(),
        rng: StdRng::seed_from_u64(5),
        result: Routed::default(),
        refused_after: 0.0,
    };
    sim.run(policy, load);
    sim.result
}

impl Sim {
    fn run(&mut self, policy: Policy, load: f64) {
        let start = Instant::now();
        let (mut now, mut due, mut ticks) = (start, 0.0, 0_u32);
        let mut waiting: HashMap<(usize, Ticket), Job> = HashMap::new();
        let capacity = (ENGINES * SLOTS) as f64 / MEAN;
        while now < start + LENGTH {
            now += TICK;
            ticks += 1;
            self.advance(now);
            if ticks.is_multiple_of(REPORT_EVERY) {
                self.report(now);
            }
            due += capacity * load * TICK.as_secs_f64();
            while due >= 1.0 {
                due -= 1.0;
                self.arrive(policy, now, &mut waiting);
            }
            for g in 0..GATEWAYS {
                for (ticket, turn) in self.gateways[g].poll(now, &self.table) {
                    let Some(job) = waiting.remove(&(g, ticket)) else {
                        continue;
                    };
                    match turn {
                        QueueDecision::Start(key) => self.put(now, key, job),
                        QueueDecision::Refuse(_) => self.refuse(now, &job),
                    }
                }
            }
        }
        if self.result.refused > 0 {
            self.result.refusal_ms = self.refused_after / f64::from(self.result.refused) * 1e3;
        }
    }

    fn arrive(
        &mut self,
        policy: Policy,
        now: Instant,
        waiting: &mut HashMap<(usize, Ticket), Job>,
    ) {
        self.result.requests += 1;
        let gateway = self.rng.random_range(0..GATEWAYS);
        // Exponential work times: most answers are short, some are long.
        let u: f64 = self.rng.random_range(1e-9..1.0);
        let work = Duration::from_secs_f64((-u.ln() * MEAN).min(MEAN * 8.0));
        let deadline = now + Duration::from_secs(4);
        let job = Job {
            gateway,
            sent: now,
            deadline,
            work,
            dispatched: now,
            began: None,
        };
        match policy {
            Policy::RoundRobin => {
                let e = self.result.requests as usize % ENGINES;
                self.engines[e].1.push_back(job);
            }
            Policy::TwoByReports => {
                let (a, b) = (
                    self.rng.random_range(0..ENGINES),
                    self.rng.random_range(0..ENGINES),
                );
                let e = if self.reported[a] <= self.reported[b] {
                    a
                } else {
                    b
                };
                self.engines[e].1.push_back(job);
            }
            Policy::Own => {
                let offer = AdmissionRequest {
                    subject: Subject::Model("model-000".into()),
                    caller: "caller".into(),
                    priority: Priority::Normal,
                    deadline,
                    tokens: 1,
                    affinity: u64::from(self.result.requests),
                    failed: Vec::new(),
                };
                match self.gateways[gateway].admit(now, &self.table, offer) {
                    AdmissionDecision::Start(key) => self.put(now, key, job),
                    AdmissionDecision::Wait(ticket) => {
                        waiting.insert((gateway, ticket), job);
                    }
                    AdmissionDecision::Refuse(_) => self.refuse(now, &job),
                }
            }
        }
    }

    fn put(&mut self, now: Instant, key: EndpointKey, mut job: Job) {
        job.dispatched = now;
        let e = self.keys.iter().position(|k| *k == key).unwrap_or(0);
        self.engines[e].1.push_back(job);
    }

    fn refuse(&mut self, now: Instant, job: &Job) {
        self.result.refused += 1;
        self.refused_after += (now - job.sent).as_secs_f64();
    }

    fn advance(&mut self, now: Instant) {
        for e in 0..ENGINES {
            let (running, queue) = &mut self.engines[e];
            let mut ended = Vec::new();
            let mut i = 0;
            while i < running.len() {
                if running[i].began.is_some_and(|b| b + running[i].work <= now) {
                    ended.push(running.swap_remove(i));
                } else {
                    i += 1;
                }
            }
            while running.len() < SLOTS {
                let Some(mut job) = queue.pop_front() else {
                    break;
                };
                job.began = Some(now);
                running.push(job);
            }
            for job in ended {
                self.result.attained += u32::from(now <= job.deadline);
                let first = job.began.map_or(Duration::ZERO, |b| b - job.dispatched);
                let g = &mut self.gateways[job.gateway];
                g.finish(now, self.keys[e], AttemptOutcome::Completed { first });
                let m = Subject::Model("model-000".into());
                g.record_answer(&m, now - job.dispatched, Duration::ZERO, 1);
            }
        }
    }

    fn report(&mut self, now: Instant) {
        for e in 0..ENGINES {
            let (running, queue) = &self.engines[e];
            self.reported[e] = running.len() + queue.len();
            let report = LoadReport {
                running: u32::try_from(running.len()).unwrap_or(u32::MAX),
                waiting: u32::try_from(queue.len()).unwrap_or(u32::MAX),
                slots: u32::try_from(SLOTS).unwrap_or(u32::MAX),
            };
            for g in &mut self.gateways {
                g.report(now, self.keys[e], report);
            }
        }
    }
}
