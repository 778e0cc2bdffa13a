//! Repairs within the confirmed intent: whether they are made, how long they take and how many moves they
//! cost.

mod world;

use limehollow::id::VmName;
use limehollow::plan::ModelVersion;
use std::time::Duration;
use world::{ProcessState, World, describe_unfinished, intent, model};

fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

/// Creates three zones with spare memory, and models `m` and `n` with two ready replicas each.
fn settled_world() -> World {
    let mut w = World::new(&["a", "b", "c"], 60);
    w.confirm(intent(vec![model("m", "1", 20, 2), model("n", "1", 20, 2)]));
    let settled = w.run_until(secs(60), World::is_settled);
    assert!(settled, "{:#?}", describe_unfinished(&w));
    w.run(secs(301));
    w.require_reachable();
    w
}

/// Returns an engine that holds a model, and the engine's zone.
fn holder_of(w: &World, name: &str) -> (VmName, String) {
    let place = w
        .fleet()
        .ready_replicas(name)
        .next()
        .expect("a replica is ready");
    let zone = w
        .fleet()
        .endpoint(place.endpoint.as_str())
        .expect("the endpoint is known")
        .zone
        .to_string();
    (place.endpoint, zone)
}

fn engines_of(w: &World, zone: &str) -> Vec<VmName> {
    let in_zone = w.engines.iter().filter(|(_, e)| e.zone.as_str() == zone);
    in_zone.map(|(n, _)| n.clone()).collect()
}

fn ready(w: &World, name: &str) -> usize {
    w.fleet().ready_replicas(name).count()
}

#[test]
fn replica_vanished() {
    let mut w = settled_world();
    let before = w.fleet().moves_done();
    let (e, _) = holder_of(&w, "m");
    let version = ModelVersion {
        name: "m".into(),
        version: "1".into(),
    };
    w.engines
        .get_mut(&e)
        .expect("the engine exists")
        .models
        .remove(&version);
    // One of two replicas is gone; the other one keeps the model reachable until the lost one is reloaded.
    w.must_be_reachable.clear();
    w.run(secs(10));
    w.require_reachable();
    assert_eq!(
        (ready(&w, "m"), w.fleet().moves_done()),
        (2, before + 1),
        "{:#?}",
        describe_unfinished(&w)
    );
}

#[test]
fn engine_restarted_empty() {
    let mut w = settled_world();
    let before = w.fleet().moves_done();
    let (e, _) = holder_of(&w, "m");
    let held = w.engines[&e].models.len() as u64;
    w.engines.get_mut(&e).expect("the engine exists").restart();
    w.run(secs(30));
    assert_eq!(
        (ready(&w, "m"), ready(&w, "n")),
        (2, 2),
        "{:#?}",
        describe_unfinished(&w)
    );
    assert_eq!(w.fleet().moves_done(), before + held);
}

#[test]
fn engine_gone_and_back() {
    let mut w = settled_world();
    let (e, zone) = holder_of(&w, "m");
    let held = w.engines[&e].models.len() as u64;
    let before = w.fleet().moves_done();
    w.engines.get_mut(&e).expect("the engine exists").up = false;
    w.run(secs(60));
    assert_eq!(
        (ready(&w, "m"), ready(&w, "n")),
        (2, 2),
        "{:#?}",
        describe_unfinished(&w)
    );
    let in_zone = |p: &limehollow::plan::AcceleratorRef| {
        w.fleet()
            .endpoint(p.endpoint.as_str())
            .is_some_and(|x| x.zone.as_str() == zone)
    };
    assert!(
        w.fleet().ready_replicas("m").any(|p| in_zone(&p)),
        "the engine's own zone repairs the loss"
    );
    assert_eq!(w.fleet().moves_done(), before + held);
    // The engine comes back empty: the repaired replicas aren't moved again.
    w.engines.get_mut(&e).expect("the engine exists").restart();
    w.run(secs(120));
    assert_eq!(
        w.fleet().moves_done(),
        before + held,
        "{:#?}",
        describe_unfinished(&w)
    );
}

#[test]
fn engine_leaves() {
    let mut w = settled_world();
    let (e, _) = holder_of(&w, "m");
    w.leaving.insert(e.clone());
    w.run(secs(4));
    assert!(
        w.fleet().ready_replicas("m").all(|p| p.endpoint != e),
        "no new work after a few seconds"
    );
    w.run(secs(30));
    assert_eq!(
        (ready(&w, "m"), ready(&w, "n")),
        (2, 2),
        "{:#?}",
        describe_unfinished(&w)
    );
}

#[test]
fn zone_lost() {
    // A whole zone is lost and taken off the list: the other zones load each missing replica exactly once.
    let mut w = settled_world();
    let (_, zone) = holder_of(&w, "m");
    let before = w.fleet().moves_done();
    let lost = engines_of(&w, &zone);
    let held: usize = lost.iter().map(|n| w.engines[n].models.len()).sum();
    for n in &lost {
        w.engines.get_mut(n).expect("the engine exists").up = false;
        w.unlisted.insert(n.clone());
    }
    for c in w.controllers.iter_mut().filter(|c| c.zone.as_str() == zone) {
        c.state = ProcessState::Dead;
        w.unlisted.insert(c.name.clone());
    }
    w.run(secs(120));
    let elsewhere = |name: &str| {
        w.fleet()
            .ready_replicas(name)
            .filter(|p| !lost.contains(&p.endpoint))
            .count()
    };
    assert_eq!(
        (elsewhere("m"), elsewhere("n")),
        (2, 2),
        "{:#?}",
        describe_unfinished(&w)
    );
    assert_eq!(
        w.fleet().moves_done(),
        before + held as u64,
        "no more moves than were lost"
    );
}

#[test]
fn only_replica_replaced_by_new_version() {
    // One replica on the only engine: the new version is loaded beside the old one before that is unloaded.
    let mut w = World::new(&["a"], 60);
    w.engines
        .get_mut("engine-a2")
        .expect("the engine exists")
        .up = false;
    w.confirm(intent(vec![model("m", "1", 20, 1)]));
    assert!(
        w.run_until(secs(60), World::is_settled),
        "{:#?}",
        describe_unfinished(&w)
    );
    w.require_reachable();
    w.confirm(intent(vec![model("m", "2", 20, 1)]));
    assert!(
        w.run_until(secs(60), World::is_settled),
        "{:#?}",
        describe_unfinished(&w)
    );
}

#[test]
fn zone_lost_while_a_replica_is_to_go() {
    // The log still counts the lost zone's replica as ready. The lease holder must not unload the last
    // replica that really exists.
    let mut w = settled_world();
    let (kept, zone) = holder_of(&w, "m");
    let lost = engines_of(&w, &zone);
    w.must_be_reachable.remove("n");
    for n in &lost {
        w.engines.get_mut(n).expect("the engine exists").up = false;
        w.unlisted.insert(n.clone());
    }
    for c in w.controllers.iter_mut().filter(|c| c.zone.as_str() == zone) {
        c.state = ProcessState::Dead;
    }
    assert!(lost.contains(&kept));
    w.run(secs(1));
    w.confirm(intent(vec![model("m", "1", 20, 1), model("n", "1", 20, 2)]));
    w.run(secs(200));
    assert!(
        w.fleet()
            .ready_replicas("m")
            .any(|p| !lost.contains(&p.endpoint)),
        "{:#?}",
        describe_unfinished(&w)
    );
}

/// Injects a fault, and returns the simulated time until both models have their two replicas again and the
/// number of records that were appended.
fn time_to_repair<F>(what: &str, limit: u64, f: F) -> (Duration, usize)
where
    F: FnOnce(&mut World, &VmName),
{
    let mut w = settled_world();
    w.must_be_reachable.clear();
    let (e, _) = holder_of(&w, "m");
    let (start, records) = (w.now, w.log.len());
    f(&mut w, &e);
    // The loss has to be recorded in the log first.
    w.run_until(secs(limit), |w| ready(w, "m") < 2 || ready(w, "n") < 2);
    let whole = w.run_until(secs(limit), |w| ready(w, "m") == 2 && ready(w, "n") == 2);
    assert!(
        whole,
        "{what} was not repaired in {limit} s: {:#?}",
        describe_unfinished(&w)
    );
    let took = w.now.duration_since(start);
    let appended = w.log.len() - records;
    println!(
        "{what:<34} {:>6.1} s {appended:>4} records",
        took.as_secs_f64()
    );
    (took, appended)
}

#[test]
fn times_to_repair_are_bounded() {
    // The limits follow from the world's rules: reports lag by 0.6 s, an engine is dead after 5 s, repair
    // begins after 10 s, and a load takes 0.8 s.
    let engine =
        |w: &mut World, e: &VmName| w.engines.get_mut(e).expect("the engine exists").restart();
    let (took, records) = time_to_repair("engine restarted empty", 30, engine);
    assert!(took <= secs(6) && records <= 10, "{took:?} {records}");
    let down =
        |w: &mut World, e: &VmName| w.engines.get_mut(e).expect("the engine exists").up = false;
    let (took, records) = time_to_repair("engine gone", 60, down);
    assert!(took <= secs(16) && records <= 12, "{took:?} {records}");
    let leaves = |w: &mut World, e: &VmName| {
        w.leaving.insert(e.clone());
    };
    let (took, _) = time_to_repair("engine leaves", 60, leaves);
    assert!(took <= secs(6), "{took:?}");
    let lost = |w: &mut World, e: &VmName| {
        w.engines
            .get_mut(e)
            .expect("the engine exists")
            .models
            .clear();
    };
    let (took, _) = time_to_repair("engine lost its models", 30, lost);
    assert!(took <= secs(6), "{took:?}");
    let with_holder = |w: &mut World, e: &VmName| {
        let zone = w.engines[e].zone.to_string();
        let i = w.holder(&zone).expect("the lease is held");
        w.controllers[i].state = ProcessState::Dead;
        w.engines.get_mut(e).expect("the engine exists").restart();
    };
    let (took, _) = time_to_repair("engine restarted, holder killed", 60, with_holder);
    assert!(took <= secs(16), "{took:?}");
    let log_down = |w: &mut World, e: &VmName| {
        w.faults.log_down = true;
        w.engines.get_mut(e).expect("the engine exists").restart();
        w.run(secs(20));
        w.faults.log_down = false;
    };
    let (took, _) = time_to_repair("engine restarted, log down 20 s", 60, log_down);
    assert!(took <= secs(28), "{took:?}");
}

#[test]
fn appends_bounded_when_all_restart() {
    // All engines restart at once: only the records of the repairs are appended.
    let mut w = settled_world();
    w.must_be_reachable.clear();
    let (start, records) = (w.now, w.log.len());
    let held: usize = w.engines.values().map(|e| e.models.len()).sum();
    for e in w.engines.values_mut() {
        e.restart();
    }
    w.run(secs(60));
    assert_eq!(
        (ready(&w, "m"), ready(&w, "n")),
        (2, 2),
        "{:#?}",
        describe_unfinished(&w)
    );
    let appended = w.log.len() - records;
    let took = w.now.duration_since(start);
    println!(
        "storm: {appended} records in {took:?} for {held} replicas on {} engines",
        w.engines.len()
    );
    assert!(appended <= w.engines.len() + 2 * held, "{appended} records");
}

#[test]
fn no_moves_without_changes() {
    let mut w = settled_world();
    let (moves, records) = (w.fleet().moves_done(), w.log.len());
    w.run(secs(3600));
    assert_eq!(
        (w.fleet().moves_done(), w.log.len()),
        (moves, records),
        "an hour without a record"
    );
}
