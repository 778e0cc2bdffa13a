//! Placement on seeded demand, on virtual time, against one model a slot with the least recently
//! used one thrown out.

#![expect(
    clippy::cast_precision_loss,
    reason = "counts of a measurement are far below 2^52"
)]

use crate::demand::Demand;
use crate::fleets::{Size, Story, intent};
use std::collections::BTreeMap;

/// How long it goes on: an hour, in seconds.
pub const SPAN: f64 = 3600.0;
const STEP: f64 = 0.1;
/// Requests that one accelerator answers a second.
const RATE: f64 = 4.0;
const DEADLINE: f64 = 4.0;
/// Requests a second at rest, for each accelerator.
const DEMAND: f64 = 1.2;

/// What a policy came to.
#[derive(Clone, Copy, Debug, Default)]
pub struct Placed {
    /// Requests that came.
    pub requests: u32,
    /// Requests that were answered in time.
    pub attained: u32,
    /// Loads and unloads.
    pub moves: u32,
}

fn demand(size: &Size, seed: u64) -> Demand {
    let total = DEMAND * (size.engines * size.accelerators) as f64;
    Demand::new(seed, size.models + size.adapters, total, SPAN)
}

/// Every model resident as the plan says; a request goes to the least busy of its replicas.
#[must_use]
pub fn place_own(size: &Size, seed: u64) -> Placed {
    let mut story = Story::empty(size);
    let wanted = intent(size);
    let plan = story.confirm(&wanted);
    let mut index: BTreeMap<(&str, u16), usize> = BTreeMap::new();
    let mut at: Vec<Vec<usize>> = Vec::new();
    for m in &wanted.models {
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
    let mut demand = demand(size, seed);
    let mut r = Placed {
        moves: u32::try_from(plan.moves()).unwrap_or(u32::MAX),
        ..Placed::default()
    };
    let mut t = 0.0;
    while t < SPAN {
        for (m, places) in at.iter().enumerate() {
            for _ in 0..demand.arrivals(m, t, STEP) {
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
#[must_use]
pub fn place_lru(size: &Size, seed: u64) -> Placed {
    const LOADS_A_SECOND: f64 = 1.5;
    const LOAD_TIME: f64 = 5.0;
    let slots = size.engines * size.accelerators;
    let mut holds = vec![usize::MAX; slots];
    let mut used = vec![0.0_f64; slots];
    let mut busy_until = vec![0.0_f64; slots];
    let mut next_load = 0.0_f64;
    let mut demand = demand(size, seed);
    let mut r = Placed::default();
    let mut t = 0.0;
    while t < SPAN {
        for m in 0..size.models + size.adapters {
            for _ in 0..demand.arrivals(m, t, STEP) {
                r.requests += 1;
                let holder = (0..slots)
                    .filter(|a| holds[*a] == m)
                    .min_by(|a, b| busy_until[*a].total_cmp(&busy_until[*b]));
                let (a, ready) = match holder {
                    Some(a) => (a, busy_until[a].max(t)),
                    None => {
                        let a = (0..slots)
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
