//! Orders whose outcome isn't known: which evidence settles them, and which doesn't.

mod world;

use limehollow::fleet::ReplicaState;
use limehollow::id::VmName;
use limehollow::plan::ModelVersion;
use limehollow::record::{Evidence, Outcome};
use std::time::Duration;
use world::{ProcessState, World, describe_unfinished, intent, model};

/// Creates one zone with an engine that checks fencing numbers (`engine-a1`) and one that doesn't
/// (`engine-a2`), and waits until model `m` is ready on both.
fn world_with_two_engines() -> World {
    let mut w = World::new(&["a"], 60);
    w.confirm(intent(vec![model("m", "1", 30, 2)]));
    settle(&mut w, 60);
    w.run(Duration::from_secs(301));
    w.require_reachable();
    w
}

fn settle(w: &mut World, secs: u64) {
    let settled = w.run_until(Duration::from_secs(secs), World::is_settled);
    assert!(
        settled,
        "the plan was not carried out: {:#?}",
        describe_unfinished(w)
    );
}

fn version(name: &str, version: &str) -> ModelVersion {
    ModelVersion {
        name: name.into(),
        version: version.into(),
    }
}

fn open_orders(w: &World) -> usize {
    w.fleet()
        .orders()
        .filter(|(_, o)| o.settled.is_none())
        .count()
}

/// Returns the outcome and the evidence of the last settled order at an endpoint.
fn last_settled(w: &World, endpoint: &str) -> Option<(Outcome, Evidence)> {
    let of_endpoint = w
        .fleet()
        .orders()
        .filter(|(_, o)| o.place.endpoint.as_str() == endpoint);
    let settled = of_endpoint.filter_map(|(_, o)| o.settled).last()?;
    Some((settled.outcome, settled.evidence))
}

/// Stops one engine, keeps the other with `m` on it, and pauses the lease holder just before it sends the
/// load of `n`.
fn world_paused_at_send(gone: &str) -> World {
    let mut w = world_with_two_engines();
    w.engines.get_mut(gone).expect("the engine exists").up = false;
    w.must_be_reachable.clear();
    w.run(Duration::from_secs(20));
    w.confirm(intent(vec![model("m", "1", 30, 1), model("n", "1", 20, 1)]));
    w.faults.pause_at_send = true;
    let paused = w.run_until(Duration::from_secs(30), |w| {
        w.controllers
            .iter()
            .any(|c| c.state == ProcessState::Paused)
    });
    assert!(paused, "the load of n was about to be sent");
    w
}

#[test]
fn paused_sender_unfenced() {
    // The lease holder is paused just before it sends an order, for longer than an order may be in flight.
    // Its successor must not settle the order before the paused sender has read the takeover, since the
    // sender may still send it. Only the engine that doesn't check fencing numbers is left.
    let mut w = world_paused_at_send("engine-a1");
    w.run(Duration::from_secs(900));
    assert_eq!(
        open_orders(&w),
        1,
        "it was settled while its sender could still send it"
    );
    let reserved = w
        .fleet()
        .endpoint("engine-a2")
        .expect("the engine exists")
        .accelerators[0]
        .used();
    assert_eq!(reserved, 50);
    w.end_faults();
    w.run(Duration::from_secs(20));
    assert_eq!(
        last_settled(&w, "engine-a2"),
        Some((Outcome::Done, Evidence::EffectSeen))
    );
}

#[test]
fn paused_sender_fenced() {
    // With fencing the successor settles the order at once, and the engine refuses the late order.
    let mut w = world_paused_at_send("engine-a2");
    let done = w.run_until(Duration::from_secs(30), World::is_settled);
    assert!(done, "the successor did not go on");
    let first = w
        .fleet()
        .orders()
        .find(|(_, o)| o.model.name.as_str() == "n");
    let first = first
        .and_then(|(_, o)| o.settled)
        .expect("the order is settled");
    assert_eq!(
        (first.outcome, first.evidence),
        (Outcome::NotDone, Evidence::Fenced)
    );
    w.end_faults();
    w.run(Duration::from_secs(20));
    assert!(w.is_settled());
}

#[test]
fn lost_order_unfenced() {
    // A lost order may still arrive, so it stays unsettled for the longest delay. Meanwhile its memory is
    // reserved and its replica isn't routable.
    let mut w = world_with_two_engines();
    w.engines
        .get_mut("engine-a1")
        .expect("the engine exists")
        .up = false;
    w.must_be_reachable.clear();
    w.run(Duration::from_secs(20));
    w.faults.drop_orders = 1;
    w.confirm(intent(vec![model("m", "1", 30, 1), model("n", "1", 20, 1)]));
    w.run(Duration::from_secs(290));
    assert_eq!(open_orders(&w), 1);
    assert_eq!(w.fleet().ready_replicas("n").count(), 0);
    settle(&mut w, 60);
    let how: Vec<_> = w
        .fleet()
        .orders()
        .filter(|(_, o)| o.model.name.as_str() == "n")
        .filter_map(|(_, o)| o.settled.map(|s| (s.outcome, s.evidence)))
        .collect();
    assert_eq!(
        how,
        [
            (Outcome::NotDone, Evidence::DelayPassed),
            (Outcome::Done, Evidence::EffectSeen)
        ]
    );
}

#[test]
fn duplicate_unload_unfenced() {
    // A duplicate of an unload arrives after the model was requested again. While the duplicate may remove
    // the new replica, the other replica must not be unloaded on its account.
    let mut w = world_with_two_engines();
    w.faults.duplicate_orders = Some(Duration::from_secs(120));
    w.confirm(intent(vec![model("m", "1", 30, 1), model("n", "1", 20, 1)]));
    settle(&mut w, 60);
    w.faults.duplicate_orders = None;
    let holds = |w: &World, e: &str| {
        w.engines[&VmName::from(e)]
            .models
            .contains_key(&version("m", "1"))
    };
    let kept = if holds(&w, "engine-a1") {
        "engine-a1"
    } else {
        "engine-a2"
    };
    assert!(holds(&w, kept));
    w.confirm(intent(vec![model("m", "1", 30, 2), model("n", "1", 20, 1)]));
    w.run(Duration::from_secs(60));
    // Back to one replica: whichever one is unloaded, m stays reachable when the duplicate arrives.
    w.confirm(intent(vec![model("m", "1", 30, 1), model("n", "1", 20, 1)]));
    settle(&mut w, 1200);
}

#[test]
fn duplicate_load_unfenced() {
    // A duplicate of a load arrives after the model was unloaded and another model is to take its memory.
    let mut w = world_with_two_engines();
    w.faults.duplicate_orders = Some(Duration::from_secs(100));
    w.confirm(intent(vec![model("m", "1", 30, 2), model("n", "1", 30, 2)]));
    settle(&mut w, 60);
    w.faults.duplicate_orders = None;
    w.confirm(intent(vec![model("m", "1", 30, 2), model("o", "1", 30, 2)]));
    // The duplicates arrive while the plan is carried out; the world checks each engine's memory at every
    // tick.
    settle(&mut w, 1500);
}

#[test]
fn late_order_after_restart_fenced() {
    // The engine restarts empty and without its fencing number, and an order from before the restart arrives.
    let mut w = world_with_two_engines();
    w.must_be_reachable.clear();
    w.engines
        .get_mut("engine-a2")
        .expect("the engine exists")
        .up = false;
    w.run(Duration::from_secs(20));
    w.faults.delay_orders = Some(Duration::from_secs(30));
    w.confirm(intent(vec![model("m", "1", 30, 1), model("n", "1", 30, 1)]));
    w.run(Duration::from_secs(4));
    w.faults.delay_orders = None;
    w.engines
        .get_mut("engine-a1")
        .expect("the engine exists")
        .restart();
    w.run(Duration::from_secs(60));
    settle(&mut w, 600);
}

#[test]
fn late_order_after_settled_and_restart_fenced() {
    // A late order is settled by fencing, and its model is removed from the intent. Then the engine restarts
    // and loses its fencing number: it has to be fenced again before it is recorded as seen.
    let mut w = world_with_two_engines();
    w.must_be_reachable.clear();
    w.engines
        .get_mut("engine-a2")
        .expect("the engine exists")
        .up = false;
    w.run(Duration::from_secs(20));
    w.faults.delay_orders = Some(Duration::from_secs(60));
    w.confirm(intent(vec![model("m", "1", 30, 1), model("n", "1", 30, 1)]));
    let sent = w.run_until(Duration::from_secs(10), |w| w.orders_in_flight() > 0);
    assert!(sent, "the load of n is in flight");
    w.faults.delay_orders = None;
    w.faults.drop_orders = u32::MAX;
    w.run(Duration::from_secs(10));
    assert_eq!(
        last_settled(&w, "engine-a1"),
        Some((Outcome::NotDone, Evidence::Fenced))
    );
    // The intent is empty, so no later order raises the engine's fencing number.
    w.faults.drop_orders = 0;
    w.confirm(intent(Vec::new()));
    w.run(Duration::from_secs(15));
    assert_eq!((open_orders(&w), w.orders_in_flight()), (0, 1));
    w.engines
        .get_mut("engine-a1")
        .expect("the engine exists")
        .restart();
    w.run(Duration::from_secs(120));
    assert_eq!(w.orders_in_flight(), 0);
    assert_eq!(w.engines["engine-a1"].used(), 0, "the late order was taken");
}

#[test]
fn lost_answer_with_stale_observation_fenced() {
    // The answer to a load is lost, and the next observation is older than the load, so it is no evidence.
    // The world checks at each tick that the log counts every model that the engine holds.
    for answers in 1..4 {
        let mut w = world_with_two_engines();
        w.faults.lose_order_answers = answers;
        w.confirm(intent(vec![model("m", "1", 30, 2), model("n", "1", 20, 2)]));
        settle(&mut w, 900);
    }
}

#[test]
fn unload_waits_for_requests() {
    let mut w = world_with_two_engines();
    for e in w.engines.values_mut() {
        e.running.insert("m".into(), 1);
    }
    w.confirm(intent(vec![model("m", "1", 30, 1)]));
    w.run(Duration::from_secs(120));
    let held = w
        .engines
        .values()
        .filter(|e| e.models.contains_key(&version("m", "1")))
        .count();
    assert_eq!(held, 2, "a replica was unloaded while it had a request");
    assert_eq!(
        w.fleet().ready_replicas("m").count(),
        1,
        "the replica to unload gets no new work"
    );
    for e in w.engines.values_mut() {
        e.running.clear();
    }
    settle(&mut w, 60);
}

#[test]
fn order_before_takeover_is_known() {
    // Every order that a former holder may still send is in the log before the takeover.
    let mut w = World::new(&["a"], 60);
    w.faults.pause_at_send = true;
    w.confirm(intent(vec![model("m", "1", 30, 2)]));
    w.run(Duration::from_secs(15));
    let takeovers = w
        .log
        .iter()
        .filter(|e| format!("{:?}", e.content).contains("LeaseTaken"));
    assert!(takeovers.count() >= 2, "the standby took over");
    let loading = w
        .fleet()
        .endpoints()
        .flat_map(|(_, e)| &e.accelerators)
        .flat_map(|a| a.replicas.values());
    let loading = loading
        .filter(|r| matches!(r.state, ReplicaState::Loading(_)))
        .count();
    assert!(
        loading >= 1 || w.is_settled(),
        "the memory of the unsettled order stays reserved"
    );
    w.end_faults();
    settle(&mut w, 900);
}
