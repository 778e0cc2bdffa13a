//! Tests which model or adapter is loaded where next.

mod site;

use limehollow::id::EndpointKey;
use limehollow::late_loads::Reserve;
use limehollow::rebalance::{AdapterMove, ModelMove, Rebalancer, Step, used};
use limehollow::roster::{ModelRef, Roster};
use site::{CEILING, adapter, demand, engine, holding, llm, report, roster};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::{Instant, advance};

fn plan(r: &mut Rebalancer, roster: &Roster, models: usize) -> Vec<(EndpointKey, ModelMove)> {
    r.plan(Instant::now(), roster, &llm(), &engine(models), CEILING)
}

fn adapters(r: &mut Rebalancer, roster: &Roster) -> Vec<(EndpointKey, AdapterMove)> {
    let no_callers = BTreeMap::new();
    r.plan_adapters(
        Instant::now(),
        roster,
        &llm(),
        &engine(2),
        &no_callers,
        |_| true,
    )
}

fn loads(moves: &[(EndpointKey, ModelMove)]) -> Vec<&str> {
    moves.iter().map(|(_, m)| m.load.as_str()).collect()
}

#[test]
fn plan_without_demand() {
    let (roster, _) = roster(&[&["big-0", "big-1"], &["big-0", "big-1"]]);
    let mut r = Rebalancer::default();
    r.observe(Instant::now(), &BTreeMap::new());
    assert_eq!(plan(&mut r, &roster, 2), []);
}

#[test]
fn plan_missing_model() {
    let (roster, _) = roster(&[&["big-0", "big-1"], &["big-0", "big-1"]]);
    let mut r = Rebalancer::default();
    r.observe(Instant::now(), &demand(&[("big-2", 10.0)]));
    let moves = plan(&mut r, &roster, 3);
    assert_eq!(loads(&moves), ["big-2"]);
    assert!(
        plan(&mut r, &roster, 3).is_empty(),
        "the load is in progress"
    );
}

#[test]
fn plan_busy_model_gets_idle_endpoints() {
    // With a sixth replica, each endpoint has five sixths of the load, which is still worth the move.
    let hot: &[&str] = &["big-0"];
    let cold: &[&str] = &["big-1", "big-2"];
    let (roster, keys) = roster(&[hot, hot, hot, hot, hot, cold, cold, cold]);
    let mut r = Rebalancer::default();
    r.observe(Instant::now(), &demand(&[("big-0", 3000.0)]));
    let moves = plan(&mut r, &roster, 3);
    assert!(moves.len() >= 2, "{moves:?}");
    assert!(loads(&moves).iter().all(|m| *m == "big-0"));
    assert!(moves.iter().all(|(k, _)| keys[5..].contains(k)));
}

#[test]
fn plan_keeps_last_replicas() {
    let (roster, _) = roster(&[&["big-0"], &["big-1", "big-2"], &["big-3", "big-4"]]);
    let mut r = Rebalancer::default();
    r.observe(Instant::now(), &demand(&[("big-0", 5000.0)]));
    assert_eq!(plan(&mut r, &roster, 5), []);
}

#[test]
fn plan_unloads_duplicates() {
    let (roster, _) = roster(&[&["big-0"], &["big-1", "big-2"], &["big-1", "big-2"]]);
    let mut r = Rebalancer::default();
    r.observe(
        Instant::now(),
        &demand(&[("big-0", 3000.0), ("big-2", 50.0)]),
    );
    let moves = plan(&mut r, &roster, 3);
    let first = &moves.first().expect("there is a move").1;
    assert_eq!((first.load.as_str(), first.evict.len()), ("big-0", 1));
    assert_eq!(
        first.evict[0], "big-1",
        "the least needed model is unloaded"
    );
}

#[test]
fn plan_keeps_the_ceiling() {
    // Two per second over five seconds plus three, less two for orders that are executed late.
    let names: Vec<String> = (0..40).map(|i| format!("big-{i}")).collect();
    let rows: Vec<&[&str]> = (0..40).map(|_| &[] as &[&str]).collect();
    let (roster, _) = roster(&rows);
    let requested_loads: Vec<(&str, f64)> = names.iter().map(|n| (n.as_str(), 10.0)).collect();
    let mut r = Rebalancer::default();
    r.observe(Instant::now(), &demand(&requested_loads));
    assert_eq!(plan(&mut r, &roster, 40).len(), 11);
    assert_eq!(plan(&mut r, &roster, 40).len(), 0);
}

#[tokio::test(start_paused = true)]
async fn plan_ceiling_slides() {
    let rows: Vec<&[&str]> = (0..40).map(|_| &[] as &[&str]).collect();
    let (roster, _) = roster(&rows);
    let mut r = Rebalancer::default();
    r.observe(Instant::now(), &BTreeMap::new());
    let first = plan(&mut r, &roster, 40);
    advance(CEILING.window / 2).await;
    assert_eq!(plan(&mut r, &roster, 40).len(), 0);
    advance(CEILING.window).await;
    // Models without demand are loaded while few endpoints execute orders.
    for (key, _) in &first {
        r.model_ended(Instant::now(), *key, true);
    }
    assert_eq!(plan(&mut r, &roster, 40).len(), first.len());
}

#[tokio::test(start_paused = true)]
async fn plan_endpoint_backs_off_after_a_failure() {
    let (roster, keys) = roster(&[&[]]);
    let mut r = Rebalancer::default();
    assert_eq!(plan(&mut r, &roster, 1).len(), 1);
    r.model_ended(Instant::now(), keys[0], false);
    assert_eq!(plan(&mut r, &roster, 1).len(), 0);
    advance(Duration::from_secs(5)).await;
    assert_eq!(plan(&mut r, &roster, 1).len(), 1);
}

#[test]
fn plan_second_replica_in_another_zone() {
    let (roster, keys) = roster(&[&["big-0"], &["big-1"], &[], &[]]);
    let mut r = Rebalancer::default();
    let moves = plan(&mut r, &roster, 2);
    // A quarter of the four endpoints may execute orders for this at the same time.
    assert_eq!(moves.len(), 1);
    let (key, m) = &moves[0];
    let zone = |k: EndpointKey| roster.get(k).expect("listed").zone.clone();
    let first = if m.load == "big-0" { keys[0] } else { keys[1] };
    assert_ne!(zone(*key), zone(first));
}

#[test]
fn plan_adapters_each_is_loaded_once() {
    // Seven endpoints hold the model: a requested adapter is loaded on one of them.
    let (roster, _) = roster(&[&["big-0"] as &[&str]; 7]);
    let mut r = Rebalancer::default();
    let requested = BTreeMap::from([(adapter("big-0", "a7"), 10.0)]);
    r.observe(Instant::now(), &requested);
    let requested_loads = |moves: &[(EndpointKey, AdapterMove)]| {
        let a7 = moves
            .iter()
            .filter(|(_, m)| m.load == adapter("big-0", "a7"));
        a7.count()
    };
    assert_eq!(requested_loads(&adapters(&mut r, &roster)), 1);
    assert_eq!(requested_loads(&adapters(&mut r, &roster)), 0);
}

#[test]
fn plan_adapters_fill_free_places_once_each() {
    let (roster, _) = roster(&[&["big-0"], &["big-0"], &["big-1"]]);
    let mut r = Rebalancer::default();
    let moves = adapters(&mut r, &roster);
    let names: BTreeSet<&ModelRef> = moves.iter().map(|(_, m)| &m.load).collect();
    assert_eq!((moves.len(), names.len()), (2, 2), "{moves:?}");
}

#[tokio::test(start_paused = true)]
async fn plan_adapters_missing_ones_alternate() {
    // The adapters in both slots have more demand; one that has been missing for long enough is loaded
    // nevertheless.
    let (mut roster, keys) = roster(&[&["big-0"]]);
    let mut full = holding(&["big-0"]);
    full.get_mut("big-0").expect("there").adapters = ["a1".into(), "a2".into()].into();
    roster.apply_entry(Instant::now(), site::endpoint(0, "a", full));
    let requested = BTreeMap::from([
        (adapter("big-0", "a1"), 30.0),
        (adapter("big-0", "a2"), 40.0),
        (adapter("big-0", "a3"), 10.0),
    ]);
    let mut r = Rebalancer::default();
    r.observe(Instant::now(), &requested);
    assert_eq!(adapters(&mut r, &roster), []);
    advance(Duration::from_secs(6)).await;
    r.observe(Instant::now(), &requested);
    let moves = adapters(&mut r, &roster);
    let expected = AdapterMove {
        load: adapter("big-0", "a3"),
        evict: Some(adapter("big-0", "a1")),
    };
    assert_eq!(moves, [(keys[0], expected)]);
}

#[test]
fn step_by_reported_holdings() {
    let spec = engine(4);
    let m = ModelMove {
        load: "big-0".into(),
        evict: vec!["big-1".into()],
    };
    let cases = [
        (
            report(1, false, &["big-1", "big-2"]),
            Step::Unload("big-1".into()),
        ),
        (report(1, true, &["big-1", "big-2"]), Step::Wait),
        (report(2, false, &["big-2"]), Step::Load),
        (report(3, false, &["big-0", "big-2"]), Step::Done),
        // Another model was loaded meanwhile: unloading the listed models makes too little room.
        (report(3, false, &["big-2", "big-3"]), Step::NoRoom),
    ];
    for (r, expected) in cases {
        assert_eq!(m.step(&r, &spec, Reserve::default()), expected, "{r:?}");
    }
}

#[test]
fn used_counts_adapters() {
    let spec = engine(2);
    let mut h = holding(&["big-0", "big-1"]);
    h.get_mut("big-0")
        .expect("there")
        .adapters
        .insert("a1".into());
    assert!((used(&h, &spec) - 140_050.0).abs() < 1e-6);
}

#[tokio::test(start_paused = true)]
async fn plan_adapters_keeps_a_recent_one() {
    // Callers that were asked to retry find the adapter, however large the demand for another one is.
    let (mut roster, keys) = roster(&[&["big-0"]]);
    let mut r = Rebalancer::default();
    r.observe(
        Instant::now(),
        &BTreeMap::from([(adapter("big-0", "a1"), 5.0)]),
    );
    assert_eq!(adapters(&mut r, &roster).len(), 1);
    r.adapter_ended(Instant::now(), keys[0], true);
    let mut full = holding(&["big-0"]);
    full.get_mut("big-0").expect("there").adapters = ["a1".into(), "a2".into()].into();
    roster.apply_entry(Instant::now(), site::endpoint(0, "a", full));
    let requested = BTreeMap::from([(adapter("big-0", "a3"), 500.0)]);
    advance(Duration::from_millis(500)).await;
    r.observe(Instant::now(), &requested);
    let evicted = |moves: &[(EndpointKey, AdapterMove)]| moves[0].1.evict.clone();
    assert_eq!(
        evicted(&adapters(&mut r, &roster)),
        Some(adapter("big-0", "a2"))
    );
}

#[tokio::test(start_paused = true)]
async fn plan_adapters_endpoint_backs_off_after_a_failure() {
    // The list shows a free slot that the endpoint's own report doesn't show: without the backoff the same move
    // would be chosen repeatedly and delay all others.
    let (roster, keys) = roster(&[&["big-0"]]);
    let mut r = Rebalancer::default();
    r.observe(
        Instant::now(),
        &BTreeMap::from([(adapter("big-0", "a1"), 5.0)]),
    );
    assert_eq!(adapters(&mut r, &roster).len(), 1);
    r.adapter_ended(Instant::now(), keys[0], false);
    assert_eq!(adapters(&mut r, &roster), []);
    advance(Duration::from_millis(300)).await;
    assert_eq!(adapters(&mut r, &roster).len(), 1);
}

#[test]
fn plan_missing_model_keeps_a_busy_one() {
    // Both endpoints hold the busy model; a rarely requested model doesn't replace one of its replicas.
    let (roster, _) = roster(&[&["big-0", "big-1"], &["big-0", "big-2"]]);
    let mut r = Rebalancer::default();
    r.observe(
        Instant::now(),
        &demand(&[("big-0", 2400.0), ("big-3", 5.0)]),
    );
    assert_eq!(plan(&mut r, &roster, 4), []);
    let mut r = Rebalancer::default();
    r.observe(Instant::now(), &demand(&[("big-0", 200.0), ("big-3", 5.0)]));
    assert_eq!(loads(&plan(&mut r, &roster, 4)), ["big-3"]);
}

/// Returns a site whose endpoints each hold the only replica of a model with adapters, and a duplicate of
/// another model.
fn adapters_everywhere() -> (Roster, limehollow::catalog::EngineSpec) {
    let (roster, _) = roster(&[&["big-0", "big-2"], &["big-1", "big-2"]]);
    let mut spec = engine(4);
    for m in spec.models.values_mut() {
        m.adapters = vec!["a1".into()];
        m.megabytes = 95_000.0;
    }
    (roster, spec)
}

#[test]
fn plan_missing_model_waits_for_no_adapters() {
    let (roster, spec) = adapters_everywhere();
    let mut r = Rebalancer::default();
    let now = Instant::now();
    r.observe(
        now,
        &demand(&[("big-3", 800.0), ("big-0", 5.0), ("big-1", 5.0)]),
    );
    let moves = r.plan(now, &roster, &llm(), &spec, CEILING);
    assert_eq!(loads(&moves), ["big-3"]);
}

#[test]
fn plan_prefers_the_endpoint_with_a_copy() {
    // The endpoint with a copy has a slightly higher load, but is ready seven seconds sooner.
    let (mut roster, keys) = roster(&[&["big-0"], &["big-1"], &["big-2"]]);
    let mut with_copy = roster.get(keys[2]).expect("it is listed").clone();
    with_copy.copies.insert("big-0".into());
    roster.apply_entry(Instant::now(), with_copy);
    let mut r = Rebalancer::default();
    let requested = demand(&[("big-0", 2000.0), ("big-1", 10.0), ("big-2", 250.0)]);
    r.observe(Instant::now(), &requested);
    let moves = plan(&mut r, &roster, 3);
    assert_eq!(moves.first().map(|(k, _)| *k), Some(keys[2]));
}

#[test]
fn plan_reloads_models_of_an_unreachable_endpoint() {
    let (roster, keys) = roster(&[&["big-0"], &["big-1"], &["big-1"]]);
    let mut r = Rebalancer::default();
    r.observe(Instant::now(), &demand(&[("big-0", 50.0)]));
    r.observe_lost(BTreeSet::from([keys[0]]));
    let moves = plan(&mut r, &roster, 2);
    assert_eq!(loads(&moves)[0], "big-0");
    assert!(
        moves.iter().all(|(k, _)| *k != keys[0]),
        "the endpoint gets no orders"
    );
}

#[test]
fn plan_missing_model_for_any_demand() {
    let (roster, _) = roster(&[&["big-0", "big-1"], &["big-0", "big-1"]]);
    for requested in [10.0, 300.0, 1000.0, 3000.0, 6000.0, 20_000.0] {
        let mut r = Rebalancer::default();
        let requested = [("big-2", requested), ("big-0", 200.0), ("big-1", 200.0)];
        r.observe(Instant::now(), &demand(&requested));
        let moves = plan(&mut r, &roster, 3);
        assert_eq!(loads(&moves).first(), Some(&"big-2"), "{requested:?}");
    }
}

#[test]
fn plan_first_replica_of_a_zone_before_a_second() {
    // All replicas of the model are in zone `a`; of two endpoints with free memory, the one in zone `b` comes
    // last.
    let hot: &[&str] = &["big-0"];
    let full: &[&str] = &["big-1", "big-2"];
    let full_too: &[&str] = &["big-3", "big-4"];
    let (roster, keys) = roster(&[hot, full, hot, full_too, &["big-5"], &["big-6"]]);
    let mut r = Rebalancer::default();
    r.observe(Instant::now(), &demand(&[("big-0", 1500.0)]));
    let moves = plan(&mut r, &roster, 7);
    assert_eq!(moves.first().map(|(k, _)| *k), Some(keys[5]), "{moves:?}");
}

#[test]
fn plan_loads_a_model_at_the_version_at_which_a_stream_waits() {
    let (mut roster, keys) = roster(&[&["big-0"], &["big-1", "big-2"], &["big-1", "big-2"]]);
    set_version(&mut roster, 0, "v1.1");
    let mut r = Rebalancer::default();
    r.observe(Instant::now(), &demand(&[("big-0", 10.0)]));
    r.observe_bound([("big-0".into(), "v1".into())].into());
    let moves = plan(&mut r, &roster, 3);
    let (key, m) = moves.first().expect("there is a move");
    assert_eq!(m.load, "big-0");
    assert!(keys[1..].contains(key), "{key:?}");
    // It is loaded once, although the stream goes on waiting.
    assert!(!loads(&plan(&mut r, &roster, 3)).contains(&"big-0"));
}

#[test]
fn plan_unloads_no_last_replica_for_a_stream() {
    let (mut roster, _) = roster(&[&["big-0"], &["big-1", "big-2"], &["big-3", "big-4"]]);
    set_version(&mut roster, 0, "v1.1");
    let mut r = Rebalancer::default();
    r.observe(Instant::now(), &demand(&[("big-0", 10.0)]));
    r.observe_bound([("big-0".into(), "v1".into())].into());
    assert_eq!(plan(&mut r, &roster, 5), []);
}

/// Has the list show another version of an endpoint's software.
fn set_version(roster: &mut Roster, i: usize, version: &str) {
    let mut entry = roster.iter().nth(i).expect("it is there").1.clone();
    entry.software = Some(version.into());
    roster.apply_entry(Instant::now(), entry);
}
