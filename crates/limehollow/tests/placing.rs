//! Simulates shifting demand with the rebalancer alone, and checks which part of it is served.
//!
//! Endpoints hold two models each; a move takes a second and a half from a local copy and eight seconds from
//! the weight store. A few models have most of the demand, other models replace them every twenty seconds, and
//! the remaining models are requested rarely. Work above the capacity of a model's replicas is refused, and so
//! are requests for a model without a replica.

mod site;

use limehollow::id::EndpointKey;
use limehollow::rebalance::{LoadCeiling, ModelMove, Rebalancer};
use limehollow::roster::{Endpoint, ModelRef, Roster};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use site::{endpoint, engine, holding, llm, model};
use smol_str::{SmolStr, format_smolstr};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::{Instant, advance};

const ENDPOINTS: usize = 20;
const STEP: Duration = Duration::from_millis(200);
const LENGTH: Duration = Duration::from_secs(100);
/// The interval at which other models become the busy ones, and the number of busy models.
const SHIFT_EVERY: Duration = Duration::from_secs(20);
const BUSY: usize = 3;
/// The total demand for the busy models, in ms of work per second, and the capacity of an endpoint.
const BUSY_WORK: f64 = 7000.0;
const CAPACITY: f64 = 1000.0;
/// Requests per second for the other models in total, and the work of one request in ms.
const RARE_PER_S: f64 = 4.0;
const REQUEST_MS: f64 = 60.0;
/// The time constant of the rates that gateways report, in seconds.
const RATE_TIME_CONSTANT_S: f64 = 1.5;

const CEILING: LoadCeiling = LoadCeiling {
    window: Duration::from_secs(5),
    over: 1.1,
    slack: 3.0,
};

struct Simulation {
    rng: StdRng,
    models: Vec<SmolStr>,
    endpoints: Vec<Endpoint>,
    moves: Vec<(Instant, EndpointKey, ModelMove)>,
    roster: Roster,
    rebalancer: Rebalancer,
    rates: BTreeMap<SmolStr, f64>,
    began: Instant,
    requested: f64,
    served: f64,
    rare_requested: u32,
    rare_served: u32,
}

impl Simulation {
    /// Creates a site with the busy models on many endpoints and each other model on one endpoint, as far as
    /// they fit.
    fn new(seed: u64, models: usize) -> Self {
        let models: Vec<SmolStr> = (0..models).map(|i| format_smolstr!("big-{i}")).collect();
        let mut rest = models.iter().skip(BUSY).rev();
        let endpoints = (0..ENDPOINTS).map(|i| {
            let first = &models[i % BUSY];
            let second = rest.next().unwrap_or(&models[(i + 1) % BUSY]);
            let mut e = endpoint(i, ["a", "b"][i % 2], holding(&[first, second]));
            e.copies = e.holdings.keys().cloned().collect();
            e
        });
        let mut simulation = Self {
            rng: StdRng::seed_from_u64(seed),
            endpoints: endpoints.collect(),
            models,
            moves: Vec::new(),
            roster: Roster::default(),
            rebalancer: Rebalancer::default(),
            rates: BTreeMap::new(),
            began: Instant::now(),
            requested: 0.0,
            served: 0.0,
            rare_requested: 0,
            rare_served: 0,
        };
        simulation.list();
        simulation
    }

    fn list(&mut self) {
        for e in &self.endpoints {
            self.roster.apply_entry(Instant::now(), e.clone());
        }
    }

    /// Returns the models that are busy now; each shift selects others, in an irregular order.
    fn busy(&self) -> Vec<usize> {
        let shift = (self.began.elapsed().as_millis() / SHIFT_EVERY.as_millis()) as usize;
        let n = self.models.len();
        (0..BUSY)
            .map(|i| (shift * (n / 2 + 1) + i * 7) % n)
            .collect()
    }

    /// Completes the moves that are due.
    fn end_moves(&mut self) {
        let now = Instant::now();
        let (due, in_progress): (Vec<_>, Vec<_>) = std::mem::take(&mut self.moves)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.moves = in_progress;
        for (_, key, m) in due {
            let i = self.index(key);
            self.endpoints[i].holdings.append(&mut holding(&[&m.load]));
            self.endpoints[i].copies.insert(m.load);
            self.rebalancer.model_ended(now, key, true);
        }
    }

    fn index(&self, key: EndpointKey) -> usize {
        let e = self.roster.get(key).expect("it is listed");
        let at = self.endpoints.iter().position(|o| o.instance == e.instance);
        at.expect("it is one of these")
    }

    fn begin_moves(&mut self) {
        let now = Instant::now();
        let demand: BTreeMap<ModelRef, f64> =
            self.rates.iter().map(|(m, d)| (model(m), *d)).collect();
        self.rebalancer.observe(now, &demand);
        let spec = engine(self.models.len());
        let begun = self
            .rebalancer
            .plan(now, &self.roster, &llm(), &spec, CEILING);
        for (key, m) in begun {
            let i = self.index(key);
            let took = if self.endpoints[i].copies.contains(&m.load) {
                1500
            } else {
                8000
            };
            self.endpoints[i]
                .holdings
                .retain(|name, _| !m.evict.contains(name));
            self.moves.push((now + Duration::from_millis(took), key, m));
        }
    }

    /// Generates the requests of one step, and serves what the replicas have capacity for.
    fn serve_step(&mut self) {
        let step = STEP.as_secs_f64();
        let busy = self.busy();
        let mut work: BTreeMap<SmolStr, f64> = BTreeMap::new();
        for (i, share) in busy.iter().zip([0.6, 0.25, 0.15]) {
            work.insert(self.models[*i].clone(), BUSY_WORK * share * step);
        }
        let mut left: Vec<f64> = vec![CAPACITY * step; self.endpoints.len()];
        for (m, w) in &work {
            self.requested += w;
            let mut holders: Vec<usize> = self.holders(m);
            holders.sort_by(|a, b| left[*b].total_cmp(&left[*a]));
            let n = holders.len();
            let mut open = *w;
            for (k, h) in holders.into_iter().enumerate() {
                #[expect(clippy::cast_precision_loss, reason = "there are few")]
                let part = (open / (n - k) as f64).min(left[h]);
                left[h] -= part;
                open -= part;
                self.served += part;
            }
        }
        if self.rng.random_bool(RARE_PER_S * step) {
            let i = self.rng.random_range(0..self.models.len());
            if !busy.contains(&i) {
                let m = self.models[i].clone();
                self.rare_requested += 1;
                self.rare_served += u32::from(!self.holders(&m).is_empty());
                work.insert(m, REQUEST_MS);
            }
        }
        let keep = (-step / RATE_TIME_CONSTANT_S).exp();
        for d in self.rates.values_mut() {
            *d *= keep;
        }
        for (m, w) in work {
            *self.rates.entry(m).or_default() += w / RATE_TIME_CONSTANT_S;
        }
        self.rates.retain(|_, d| *d > 0.01);
    }

    fn holders(&self, m: &SmolStr) -> Vec<usize> {
        let endpoints = self.endpoints.iter().enumerate();
        endpoints
            .filter(|(_, e)| e.holdings.contains_key(m))
            .map(|(i, _)| i)
            .collect()
    }

    async fn run(mut self) -> Attained {
        // The lease holder starts some seconds before the first request.
        for _ in 0..40 {
            self.end_moves();
            self.list();
            self.begin_moves();
            advance(STEP).await;
        }
        self.began = Instant::now();
        while self.began.elapsed() < LENGTH {
            self.end_moves();
            self.list();
            self.serve_step();
            self.begin_moves();
            self.check_capacity();
            advance(STEP).await;
        }
        Attained {
            busy: self.served / self.requested,
            rare: f64::from(self.rare_served) / f64::from(self.rare_requested),
        }
    }

    /// Checks that no endpoint holds more models than fit, including those being loaded.
    fn check_capacity(&self) {
        for (i, e) in self.endpoints.iter().enumerate() {
            let coming = self
                .moves
                .iter()
                .filter(|(_, k, _)| self.index(*k) == i)
                .count();
            assert!(e.holdings.len() + coming <= 2, "{}", e.instance);
        }
        let keys: BTreeSet<_> = self.moves.iter().map(|(_, k, _)| *k).collect();
        assert_eq!(keys.len(), self.moves.len(), "one order at a time");
    }
}

/// The served fractions: of the work for busy models, and of the requests for the others.
#[derive(Clone, Copy, Debug)]
struct Attained {
    busy: f64,
    rare: f64,
}

async fn attained(models: usize) -> Attained {
    let (mut busy, mut rare) = (0.0, 0.0);
    for seed in 1..=4 {
        let a = Simulation::new(seed, models).run().await;
        busy += a.busy / 4.0;
        rare += a.rare / 4.0;
    }
    Attained { busy, rare }
}

impl Attained {
    fn assert_at_least(self, busy: f64, rare: f64) {
        assert!(self.busy >= busy && self.rare >= rare, "{self:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn plan_twice_as_many_models_as_slots() {
    // 0.17 and 0.52 when last replicas were never unloaded, 0.70 and 0.32 since they can be.
    attained(80).await.assert_at_least(0.66, 0.28);
}

#[tokio::test(start_paused = true)]
async fn plan_a_few_more_models_than_slots() {
    // 0.34 and 0.86 when last replicas were never unloaded, 0.77 and 0.58 since they can be.
    attained(46).await.assert_at_least(0.73, 0.54);
}

#[tokio::test(start_paused = true)]
async fn plan_half_as_many_models_as_slots() {
    // 0.85 and 0.99 before and after that change, since no model has to be unloaded.
    attained(20).await.assert_at_least(0.82, 0.97);
}
