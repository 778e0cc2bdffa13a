//! Orders whose outcome isn't known: what each kind of evidence allows, and what it doesn't.

mod world;

use limehollow::fleet::ReplicaState;
use limehollow::id::VmName;
use limehollow::plan::ModelVersion;
use limehollow::record::{Evidence, Outcome};
use std::time::Duration;
use world::{ProcessState, World, describe_unfinished, intent, model};

/// One zone with an engine that checks fencing numbers (`engine-a1`) and one that doesn't
/// (`engine-a2`), with one model ready on each.
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

/// Gives how the last order at an endpoint was settled.
fn last_settled(w: &World, endpoint: &str) -> Option<(Outcome, Evidence)> {
    let of_endpoint = w
        .fleet()
        .orders()
        .filter(|(_, o)| o.place.endpoint.as_str() == endpoint);
    let settled = of_endpoint.filter_map(|(_, o)| o.settled).last()?;
    Some((settled.outcome, settled.evidence))
}

/// Leaves one engine, with `m` on it, and pauses the holder just before it sends the load of `n`.
fn world_paused_at_send(gone: &str) -> World {
    let mut w = world_with_two_engines();
    w.engines.get_mut(gone).expect("it is there").up = false;
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
    // The holder is paused just before it sends, for longer than any order may be on its way. Its
    // successor must not settle the order before the sender has read the takeover: it can still come.
    // Only the engine that takes any order is left.
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
        .expect("it is there")
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
    // With fencing the successor settles at once, and the late order is refused.
    let mut w = world_paused_at_send("engine-a2");
    let done = w.run_until(Duration::from_secs(30), World::is_settled);
    assert!(done, "the successor did not go on");
    let first = w
        .fleet()
        .orders()
        .find(|(_, o)| o.model.name.as_str() == "n");
    let first = first.and_then(|(_, o)| o.settled).expect("it is settled");
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
    // Nothing shows that a lost order won't still arrive: it stays open for the longest delay, its
    // memory reserved and its replica uncounted.
    let mut w = world_with_two_engines();
    w.engines.get_mut("engine-a1").expect("it is there").up = false;
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
fn doubled_unload_unfenced() {
    // A second copy of an unload comes after the model was wanted back. The new replica must not
    // count as the one that lets the last other one go.
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
    // Back to one replica: whichever goes, m stays reachable over the second copy's arrival.
    w.confirm(intent(vec![model("m", "1", 30, 1), model("n", "1", 20, 1)]));
    settle(&mut w, 1200);
}

#[test]
fn doubled_load_unfenced() {
    // A second copy of a load comes after the model was unloaded again and another wants its place.
    let mut w = world_with_two_engines();
    w.faults.duplicate_orders = Some(Duration::from_secs(100));
    w.confirm(intent(vec![model("m", "1", 30, 2), model("n", "1", 30, 2)]));
    settle(&mut w, 60);
    w.faults.duplicate_orders = None;
    w.confirm(intent(vec![model("m", "1", 30, 2), model("o", "1", 30, 2)]));
    // The world checks each engine's memory at every tick, and the copies arrive on the way.
    settle(&mut w, 1500);
}

#[test]
fn late_order_after_restart_fenced() {
    // The engine restarts empty and has forgotten its fencing number; an order from before comes.
    let mut w = world_with_two_engines();
    w.must_be_reachable.clear();
    w.engines.get_mut("engine-a2").expect("it is there").up = false;
    w.run(Duration::from_secs(20));
    w.faults.delay_orders = Some(Duration::from_secs(30));
    w.confirm(intent(vec![model("m", "1", 30, 1), model("n", "1", 30, 1)]));
    w.run(Duration::from_secs(4));
    w.faults.delay_orders = None;
    w.engines
        .get_mut("engine-a1")
        .expect("it is there")
        .restart();
    w.run(Duration::from_secs(60));
    settle(&mut w, 600);
}

#[test]
fn late_order_after_settled_and_restart_fenced() {
    // An order is late; it is settled by fencing, and its model isn't wanted any more. Then the engine
    // restarts and forgets the fence: it has to be fenced again before it counts as found.
    let mut w = world_with_two_engines();
    w.must_be_reachable.clear();
    w.engines.get_mut("engine-a2").expect("it is there").up = false;
    w.run(Duration::from_secs(20));
    w.faults.delay_orders = Some(Duration::from_secs(60));
    w.confirm(intent(vec![model("m", "1", 30, 1), model("n", "1", 30, 1)]));
    let sent = w.run_until(Duration::from_secs(10), |w| w.orders_in_flight() > 0);
    assert!(sent, "the load of n is on its way");
    w.faults.delay_orders = None;
    w.faults.drop_orders = u32::MAX;
    w.run(Duration::from_secs(10));
    assert_eq!(
        last_settled(&w, "engine-a1"),
        Some((Outcome::NotDone, Evidence::Fenced))
    );
    // Nothing is wanted any more, so no later order fences the engine by the way.
    w.faults.drop_orders = 0;
    w.confirm(intent(Vec::new()));
    w.run(Duration::from_secs(15));
    assert_eq!((open_orders(&w), w.orders_in_flight()), (0, 1));
    w.engines
        .get_mut("engine-a1")
        .expect("it is there")
        .restart();
    w.run(Duration::from_secs(120));
    assert_eq!(w.orders_in_flight(), 0);
    assert_eq!(w.engines["engine-a1"].used(), 0, "the late order was taken");
}

#[test]
fn lost_answer_with_stale_look_fenced() {
    // The answer to a load is lost, and the next look is from before it: that look is no evidence.
    // The world checks at each tick that the log counts what the engine holds.
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
        "it gets no new work"
    );
    for e in w.engines.values_mut() {
        e.running.clear();
    }
    settle(&mut w, 60);
}

#[test]
fn order_before_takeover_is_known() {
    // All that an old holder may still send is in the log before the takeover.
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
        "the order in doubt keeps its memory"
    );
    w.end_faults();
    settle(&mut w, 900);
}
