//! A played load on the choice of endpoints, with many VMs that hear from each other late: what streams' callers get.
//!
//! While each VM chose by itself, 16 in 100 streams had a pause above the longest one that keeps them in time, at endpoints
//! of which three quarters of the time was free: all VMs sent their next prompts to the one that looked emptiest. Among streams
//! beside which at most three prompts came within a quarter of a second 1 to 3 in 100 paused, beside eight or more 25 to 28.

mod site;

use limehollow::balance::{Balance, Bounds, Choice, Sent, Taken};
use limehollow::id::{EndpointKey, VmName};
use limehollow::job::{Job, PromptPart};
use limehollow::load::AttemptOutcome;
use limehollow::roster::Roster;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use site::{job, llm, model, roster};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

const STEP: Duration = Duration::from_millis(5);
/// How often a VM of a large zone tells the others what it has.
const TOLD_EVERY: u32 = 48;
/// What a prompt takes to be read, and for how long its stream runs then.
const READ: Duration = Duration::from_millis(80);
const RUNS: Duration = Duration::from_millis(1200);
/// The longest pause that keeps a stream in time.
const PAUSE: Duration = Duration::from_millis(300);
const ENDPOINTS: u8 = 24;
/// Requests a second for each endpoint: a third of what it could read.
const RATE: f64 = 4.0;

/// Who chooses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Chooses {
    EachVm,
    OneKeeper,
}

/// What an endpoint does: it reads prompts one after the other, and its streams wait meanwhile.
#[derive(Default)]
struct Endpoint {
    prompts: VecDeque<usize>,
    reading: Duration,
    /// For how long it has read without a step for its streams.
    busy: Duration,
    running: Vec<usize>,
}

struct Stream {
    vm: usize,
    sent: Option<Sent>,
    left: Duration,
    paused: bool,
}

/// A request with a prompt that no other shares.
fn prompt(id: u64) -> Job {
    let parts = [PromptPart { id, tokens: 1460 }];
    Job::generation(llm(), model("big-0"), 0, (1460, 172), &parts)
}

struct Load {
    now: Instant,
    rng: StdRng,
    roster: Roster,
    keys: Vec<EndpointKey>,
    vms: Vec<Balance>,
    endpoints: Vec<Endpoint>,
    streams: Vec<Stream>,
}

impl Load {
    fn new(vms: usize) -> Self {
        let held: Vec<&[&str]> = vec![&["big-0"]; usize::from(ENDPOINTS)];
        let (roster, keys) = roster(&held);
        Self {
            now: Instant::now(),
            rng: StdRng::seed_from_u64(7),
            roster,
            keys,
            vms: (0..vms).map(|_| Balance::new("c".into())).collect(),
            endpoints: (0..ENDPOINTS).map(|_| Endpoint::default()).collect(),
            streams: Vec::new(),
        }
    }

    fn choose(&mut self, vm: usize, j: &Job, chooses: Chooses) -> Option<EndpointKey> {
        let bounds = Bounds {
            kv_tokens: Some(200_000),
            reading_ms: PAUSE.as_secs_f64() * 500.0,
        };
        let at = if chooses == Chooses::OneKeeper { 0 } else { vm };
        match self.vms[at].choose(self.now, &self.roster, bounds, j, &[]) {
            Choice::To(key, _) => {
                if chooses == Chooses::OneKeeper {
                    self.vms[at].record_assignment(self.now, key, j);
                }
                Some(key)
            }
            _ => None,
        }
    }

    /// A caller comes to a VM. Gives whether its request was sent.
    fn arrive(&mut self, chooses: Chooses) -> bool {
        let vm = self.rng.random_range(0..self.vms.len());
        let j = prompt(self.streams.len() as u64);
        let Some(key) = self.choose(vm, &j, chooses) else {
            return false;
        };
        let e = self.roster.get(key).expect("it is listed");
        let sent = self.vms[vm].start(self.now, (key, e), &j, 100.0);
        let at = self.keys.iter().position(|k| *k == key).expect("it is one");
        self.endpoints[at].prompts.push_back(self.streams.len());
        self.streams.push(Stream {
            vm,
            sent: Some(sent),
            left: RUNS,
            paused: false,
        });
        true
    }

    fn step(&mut self) {
        self.now += STEP;
        for e in &mut self.endpoints {
            if e.prompts.is_empty() {
                e.busy = Duration::ZERO;
            } else {
                e.busy += STEP;
                e.reading += STEP;
            }
            if e.busy > PAUSE {
                for i in &e.running {
                    self.streams[*i].paused = true;
                }
            }
            if e.reading >= READ {
                e.reading = Duration::ZERO;
                let i = e.prompts.pop_front().expect("it was read");
                let s = &mut self.streams[i];
                let sent = s.sent.as_mut().expect("it runs");
                self.vms[s.vm].record_first_result(self.now, sent);
                e.running.push(i);
            }
            for i in &e.running {
                let s = &mut self.streams[*i];
                s.left = s.left.saturating_sub(STEP);
                if s.left.is_zero() {
                    let sent = s.sent.take().expect("it runs");
                    let first = sent.first().unwrap_or_default();
                    self.vms[s.vm].finish(self.now, sent, AttemptOutcome::Completed { first });
                }
            }
            let streams = &self.streams;
            e.running.retain(|i| !streams[*i].left.is_zero());
        }
    }

    /// A VM tells the others what it has; only the keeper matters where it chooses.
    fn tell(&mut self, vm: usize, chooses: Chooses) {
        let said: Vec<(EndpointKey, Taken)> = self.vms[vm].own().collect();
        let name = VmName::from(format!("vm-{vm}"));
        for (i, other) in self.vms.iter_mut().enumerate() {
            let listens = chooses == Chooses::EachVm || i == 0;
            if listens && i != vm {
                other.receive(self.now, name.clone(), said.clone());
            }
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "a test has few requests")]
fn part(some: usize, all: usize) -> f64 {
    some as f64 / all as f64
}

/// Plays some seconds. Gives the part of the streams that paused, and of the callers that found all endpoints crowded.
fn play(vms: usize, chooses: Chooses) -> (f64, f64) {
    let mut load = Load::new(vms);
    let mut due = 0.0;
    let mut sent: BTreeMap<bool, usize> = BTreeMap::new();
    for i in 0..2400_u32 {
        due += RATE * f64::from(ENDPOINTS) * STEP.as_secs_f64();
        while due >= 1.0 {
            due -= 1.0;
            *sent.entry(load.arrive(chooses)).or_default() += 1;
        }
        // Each VM tells at its own moment.
        for vm in 0..vms {
            if (i + u32::try_from(vm).expect("few")) % TOLD_EVERY == 0 {
                load.tell(vm, chooses);
            }
        }
        load.step();
    }
    let paused = load.streams.iter().filter(|s| s.paused).count();
    let refused = sent.get(&false).copied().unwrap_or(0);
    let sent = load.streams.len();
    (part(paused, sent), part(refused, sent + refused))
}

#[test]
fn keeper_keeps_streams_from_pausing() {
    for vms in [8, 69, 295] {
        let (paused, crowded) = play(vms, Chooses::OneKeeper);
        assert!(paused <= 0.05, "{paused} of the streams with {vms} VMs");
        assert!(crowded <= 0.02, "{crowded} of the callers with {vms} VMs");
    }
}

/// Shows that the load is one on which it matters who chooses.
#[test]
fn vms_that_choose_by_themselves_crowd() {
    for vms in [8, 69] {
        let (paused, _) = play(vms, Chooses::EachVm);
        assert!(paused > 0.2, "{paused} of the streams with {vms} VMs");
    }
}

#[test]
fn promises_show_before_others_tell_of_them() {
    let (r, keys) = roster(&[&["big-0"], &["big-0"]]);
    let now = Instant::now();
    let mut b = Balance::new("c".into());
    let bounds = Bounds {
        kv_tokens: None,
        reading_ms: f64::INFINITY,
    };
    let mut got: BTreeMap<EndpointKey, usize> = BTreeMap::new();
    for n in 0..10 {
        let j = job(model("big-0"), 1000 + n, 0);
        let Choice::To(key, _) = b.choose(now, &r, bounds, &j, &[]) else {
            panic!("two endpoints hold the model");
        };
        b.record_assignment(now, key, &j);
        *got.entry(key).or_default() += 1;
    }
    assert_eq!(got.len(), keys.len());
    assert!(got.values().all(|n| *n == 5), "{got:?}");
}
