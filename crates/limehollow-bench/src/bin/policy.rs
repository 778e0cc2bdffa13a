//! Measures the policies on seeded demand, on virtual time: the same numbers on every machine.
//!
//! Two comparisons: placement against one model a slot with the least recently used one thrown out,
//! and routing with admission against round robin and the better of two random endpoints by reports.

use limehollow_bench::fleets::{LANTERWIJK, VREDNOST};
use limehollow_bench::placing::{SPAN, place_lru, place_own};
use limehollow_bench::routing::{Policy, route};

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
                let accelerators = u32::try_from(size.engines * size.accelerators).unwrap_or(1);
                let rate = f64::from(r.attained) / SPAN / f64::from(accelerators);
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
