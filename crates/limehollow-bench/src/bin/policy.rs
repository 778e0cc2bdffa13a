//! Measures the policies on seeded demand, on virtual time: the same numbers on every machine.
//!
//! Two comparisons: placement against one model a slot with the least recently used one thrown out,
//! and routing with admission against round robin and the better of two random endpoints by reports.

use limehollow::admission::{Admission, Admit, Offer, Subject, Turn};
use limehollow::id::EndpointKey;
use limehollow::intent::Priority;
use limehollow::load::{Ending, LoadReport};
use limehollow::routing::{Table, TableMaker};
use limehollow_bench::demand::Demand;
use limehollow_bench::fleets::{LANTERWIJK, Size, Story, VREDNOST, intent};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

fn main() {
    println!("# placement: an hour of demand, each model rising up to tenfold once; three seeds");
    println!(
        "{:<12} {:<24} {:>6} {:>9} {:>14} {:>7}",
        "deployment", "policy", "seed", "attained", "a second+accel", "moves"
    );
    for size in [LANTERWIJK, VREDNOST] {
        for seed in 1..=3 {
            let own = place_own(&size, seed);
            let lru = place_lru(&size, seed);
            for (name, r) in [("limehollow", own), ("one a slot, LRU", lru)] {
                let accelerators = (size.engines * size.accelerators) as f64;
                let rate = f64::from(r.attained) / SPAN / accelerators;
                let share = 100.0 * f64::from(r.attained) / f64::from(r.requests);
                println!(
                    "{:<12} {name:<24} {seed:>6} {share:>8.1}% {rate:>14.3} {:>7}",
                    size.name, r.moves
                );
            }
        }
    }
    println!(
        "# routing: 4 gateways, 8 engines of 8 slots, answers of 0.5 s on average, 4 s deadline"
    );
    println!(
        "{:<34} {:>5} {:>9} {:>9} {:>14}",
        "policy", "load", "attained", "refused", "refused after"
    );
    for load in [0.5, 1.0, 2.0, 3.0] {
        for policy in [Policy::Own, Policy::RoundRobin, Policy::TwoByReports] {
            let r = route(policy, load);
            let share = |n: u32| 100.0 * f64::from(n) / f64::from(r.requests);
            println!(
                "{:<34} {load:>4}x {:>8.1}% {:>8.1}% {:>11.0} ms",
                policy.name(),
                share(r.attained),
                share(r.refused),
                r.refusal_ms
            );
        }
    }
}

// ---------------------------------------------------------------------------------------------
// Placement.

/// An hour, in seconds.
const SPAN: f64 = 3600.0;
const STEP: f64 = 0.1;
/// Requests that one accelerator answers a second.
const RATE: f64 = 4.0;
const DEADLINE: f64 = 4.0;
/// Requests a second at rest, for each accelerator.
const DEMAND: f64 = 1.2;

#[derive(Clone, Copy, Debug, Default)]
struct Placed {
    requests: u32,
    attained: u32,
    moves: u32,
}

fn demand(size: &Size, seed: u64) -> Demand {
    let total = DEMAND * (size.engines * size.accelerators) as f64;
    Demand::new(seed, size.models + size.adapters, total, SPAN)
}

/// Every model resident as the plan says; a request goes to the least busy of its replicas.
fn place_own(size: &Size, seed: u64) -> Placed {
    let mut story = Story::empty(size);
    let i = intent(size);
    let plan = story.confirm(i.clone());
    let mut index: BTreeMap<(&str, u16), usize> = BTreeMap::new();
    let mut at: Vec<Vec<usize>> = Vec::new();
    for m in &i.models {
        let mut places = Vec::new();
        for t in plan.targets.iter().filter(|t| t.model.name == m.name) {
            let next = index.len();
            places.push(
                *index
                    .entry((t.place.endpoint.as_str(), t.place.accelerator))
                    .or_insert(next),
            );
        }
        at.push(places);
    }
    let mut busy_until = vec![0.0_f64; index.len()];
    let mut d = demand(size, seed);
    let mut r = Placed {
        moves: u32::try_from(plan.moves()).unwrap_or(u32::MAX),
        ..Placed::default()
    };
    let mut t = 0.0;
    while t < SPAN {
        for (m, places) in at.iter().enumerate() {
            for _ in 0..d.arrivals(m, t, STEP) {
                r.requests += 1;
                let best = places
                    .iter()
                    .min_by(|a, b| busy_until[**a].total_cmp(&busy_until[**b]));
                let Some(&a) = best else { continue };
                let end = busy_until[a].max(t) + 1.0 / RATE;
                if end <= t + DEADLINE {
                    busy_until[a] = end;
                    r.attained += 1;
                }
            }
        }
        t += STEP;
    }
    r
}

/// Each accelerator holds one model; a request for another one loads it where the least recently
/// used one is. The store starts a limited number of loads a second.
fn place_lru(size: &Size, seed: u64) -> Placed {
    const LOADS_A_SECOND: f64 = 1.5;
    const LOAD_TIME: f64 = 5.0;
    let n = size.engines * size.accelerators;
    let mut holds = vec![usize::MAX; n];
    let mut used = vec![0.0_f64; n];
    let mut busy_until = vec![0.0_f64; n];
    let mut next_load = 0.0_f64;
    let mut d = demand(size, seed);
    let mut r = Placed::default();
    let mut t = 0.0;
    while t < SPAN {
        for m in 0..size.models + size.adapters {
            for _ in 0..d.arrivals(m, t, STEP) {
                r.requests += 1;
                let holder = (0..n)
                    .filter(|a| holds[*a] == m)
                    .min_by(|a, b| busy_until[*a].total_cmp(&busy_until[*b]));
                let (a, ready) = match holder {
                    Some(a) => (a, busy_until[a].max(t)),
                    None => {
                        let a = (0..n)
                            .min_by(|a, b| used[*a].total_cmp(&used[*b]))
                            .unwrap_or(0);
                        next_load = next_load.max(t) + 1.0 / LOADS_A_SECOND;
                        let ready = busy_until[a].max(next_load) + LOAD_TIME;
                        if ready + 1.0 / RATE > t + DEADLINE + LOAD_TIME {
                            next_load -= 1.0 / LOADS_A_SECOND;
                            continue;
                        }
                        holds[a] = m;
                        r.moves += 1;
                        (a, ready)
                    }
                };
                let end = ready + 1.0 / RATE;
                if end <= t + DEADLINE || holder.is_none() {
                    busy_until[a] = end;
                    used[a] = t;
                    r.attained += u32::from(end <= t + DEADLINE);
                }
            }
        }
        t += STEP;
    }
    r
}

// ---------------------------------------------------------------------------------------------
// Routing and admission.

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    Own,
    RoundRobin,
    TwoByReports,
}

impl Policy {
    fn name(self) -> &'static str {
        match self {
            Self::Own => "limehollow",
            Self::RoundRobin => "round robin",
            Self::TwoByReports => "better of two random, by reports",
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Routed {
    requests: u32,
    attained: u32,
    refused: u32,
    refusal_ms: f64,
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

fn route(policy: Policy, load: f64) -> Routed {
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
    let table = TableMaker::default().make(&story.fleet, &BTreeSet::new());
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
        let mut waiting: HashMap<(usize, limehollow::admission::Ticket), Job> = HashMap::new();
        let capacity = (ENGINES * SLOTS) as f64 / MEAN;
        while now < start + LENGTH {
            now += TICK;
            ticks += 1;
            self.advance(now);
            if ticks % REPORT_EVERY == 0 {
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
                        Turn::Start(key) => self.put(now, key, job),
                        Turn::Refuse(_) => self.refuse(now, &job),
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
        waiting: &mut HashMap<(usize, limehollow::admission::Ticket), Job>,
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
                let offer = Offer {
                    subject: Subject::Model("model-000".into()),
                    caller: "caller".into(),
                    priority: Priority::Normal,
                    deadline,
                    tokens: 1,
                    affinity: u64::from(self.result.requests),
                    failed: Vec::new(),
                };
                match self.gateways[gateway].offer(now, &self.table, offer) {
                    Admit::Start(key) => self.put(now, key, job),
                    Admit::Wait(ticket) => {
                        waiting.insert((gateway, ticket), job);
                    }
                    Admit::Refuse(_) => self.refuse(now, &job),
                }
            }
        }
    }

    fn put(&mut self, _now: Instant, key: EndpointKey, job: Job) {
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
                let first = job.began.map_or(Duration::ZERO, |b| b - job.sent);
                let g = &mut self.gateways[job.gateway];
                g.finish(now, self.keys[e], Ending::Whole { first });
                let m = Subject::Model("model-000".into());
                g.learn(
                    &m,
                    now - job.sent.max(job.began.unwrap_or(job.sent)),
                    Duration::ZERO,
                    1,
                );
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
                slots: SLOTS as u32,
            };
            for g in &mut self.gateways {
                g.report(now, self.keys[e], report);
            }
        }
    }
}
