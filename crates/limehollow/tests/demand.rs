//! Tests that replicas are added for lasting unmet demand if it is worth the moves.

mod world;

use limehollow::demand::Demand;
use limehollow::intent::{Intent, Priority, Weights};
use std::time::Duration;
use tokio::time::Instant;
use world::{World, describe_unfinished, intent, model};

const LANTERWIJK: Weights = Weights {
    attainment: 2000,
    moves: 500,
};
const VREDNOST: Weights = Weights {
    attainment: 500,
    moves: 2000,
};

fn weighed(weights: Weights) -> Intent {
    Intent {
        weights,
        ..intent(vec![model("m", "1", 20, 1), model("n", "1", 20, 1)])
    }
}

fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

/// Reports constant unmet demand for some time and returns whether another replica is requested at the end.
fn needs_replica(weights: Weights, per_second: f64, for_secs: u64) -> bool {
    let (i, start) = (weighed(weights), Instant::now());
    let mut d = Demand::default();
    let mut needed = false;
    for s in 0..=for_secs {
        d.report(start + secs(s), "vm".into(), "m".into(), per_second);
        needed = !d.models_to_scale_up(start + secs(s), &i).is_empty();
    }
    needed
}

#[test]
fn models_to_scale_up_by_weights() {
    let cases = [
        (LANTERWIJK, 0.05, false),
        (LANTERWIJK, 0.1, true),
        (VREDNOST, 0.1, false),
        (VREDNOST, 1.0, false),
        (VREDNOST, 1.5, true),
        (LANTERWIJK, 0.0, false),
    ];
    for (weights, per_second, needed) in cases {
        assert_eq!(
            needs_replica(weights, per_second, 20),
            needed,
            "{weights:?} at {per_second} per second"
        );
    }
}

#[test]
fn models_to_scale_up_without_bursts() {
    assert!(!needs_replica(LANTERWIJK, 50.0, 19));
    // Two bursts with a pause between them aren't lasting demand.
    let (i, start) = (weighed(LANTERWIJK), Instant::now());
    let mut d = Demand::default();
    for s in (0..15).chain(30..45) {
        d.report(start + secs(s), "vm".into(), "m".into(), 50.0);
        assert!(
            d.models_to_scale_up(start + secs(s), &i).is_empty(),
            "after {s} s"
        );
    }
}

#[test]
fn models_to_scale_up_once_per_interval() {
    let (i, start) = (weighed(LANTERWIJK), Instant::now());
    let mut d = Demand::default();
    let mut added = 0;
    for s in 0..=60 {
        let now = start + secs(s);
        d.report(now, "vm".into(), "m".into(), 5.0);
        for m in d.models_to_scale_up(now, &i) {
            d.record_scale_up(now, &m);
            added += 1;
        }
    }
    assert_eq!(added, 3, "one in 20 s");
}

#[test]
fn models_to_scale_up_by_priority() {
    let mut i = weighed(LANTERWIJK);
    i.models[1].priority = Priority::High;
    let (start, mut d) = (Instant::now(), Demand::default());
    for s in 0..=20 {
        d.report(start + secs(s), "vm".into(), "m".into(), 50.0);
        d.report(start + secs(s), "vm".into(), "n".into(), 1.0);
        d.models_to_scale_up(start + secs(s), &i);
    }
    let order: Vec<String> = d
        .models_to_scale_up(start + secs(20), &i)
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(order, ["n", "m"]);
}

fn settled_world(weights: Weights) -> World {
    let mut w = World::new(&["a", "b"], 60);
    w.confirm(weighed(weights));
    let settled = w.run_until(secs(60), World::is_settled);
    assert!(settled, "{:#?}", describe_unfinished(&w));
    w.require_reachable();
    w
}

#[test]
fn demand_adds_a_replica_in_its_zone() {
    let mut w = settled_world(LANTERWIJK);
    let before = w.fleet().moves_done();
    w.unmet = vec![("b".into(), "m".into(), 3.0)];
    w.run(secs(30));
    let in_b = |w: &World| {
        w.fleet()
            .ready_replicas("m")
            .filter(|p| p.endpoint.as_str().contains("-b"))
            .count()
    };
    assert!(in_b(&w) >= 1, "{:#?}", describe_unfinished(&w));
    assert_eq!(w.fleet().moves_done(), before + 1);
    // Once the demand is met, nothing moves any more, not even back.
    w.unmet.clear();
    w.run(secs(600));
    assert_eq!(w.fleet().moves_done(), before + 1);
}

#[test]
fn demand_not_worth_a_move() {
    let mut w = settled_world(VREDNOST);
    let before = w.fleet().moves_done();
    w.unmet = vec![("b".into(), "m".into(), 0.5)];
    w.run(secs(300));
    assert_eq!(w.fleet().moves_done(), before);
}

#[test]
fn demand_replaces_an_unused_replica() {
    // First `m` is scaled up until all accelerators are full, then `n` needs memory: an additional replica of
    // `m` is unloaded, and both models stay reachable at every tick.
    let mut w = settled_world(LANTERWIJK);
    w.unmet = vec![("a".into(), "m".into(), 3.0), ("b".into(), "m".into(), 3.0)];
    w.run(secs(400));
    assert_eq!(
        w.fleet().ready_replicas("m").count(),
        4,
        "one an accelerator"
    );
    w.unmet = vec![("a".into(), "n".into(), 3.0), ("b".into(), "n".into(), 3.0)];
    w.run(secs(1500));
    let n = w.fleet().ready_replicas("n").count();
    assert!(n >= 3, "n has {n}: {:#?}", describe_unfinished(&w));
    assert!(w.fleet().ready_replicas("m").count() >= 1);
}
