//! Tests routing by load, affinity, zone, ejection and leaving endpoints.

mod traffic;

use limehollow::id::EndpointKey;
use limehollow::load::{AttemptOutcome, LoadReport, Loads};
use limehollow::routing::{RouteQuery, Table, TableBuilder, pick};
use limehollow::verdict::Failure;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;
use traffic::{fleet, key, name, table};

const ENGINES: [(&str, &str); 4] = [("a", "a1"), ("a", "a2"), ("b", "b1"), ("b", "b2")];

fn pick_for(
    t: Instant,
    table: &Table,
    loads: &Loads,
    affinity: u64,
    failed: &[EndpointKey],
) -> Option<EndpointKey> {
    let route = table.model("m").expect("it is in force");
    let zone = "a".into();
    pick(
        t,
        route,
        loads,
        &RouteQuery {
            zone: &zone,
            affinity,
            failed,
        },
    )
    .map(|x| x.key)
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn pick_own_zone_first() {
    let (t, (table, _)) = (Instant::now(), table(&ENGINES));
    let loads = Loads::default();
    for affinity in 0..50 {
        let k = pick_for(t, &table, &loads, affinity, &[]).expect("there is room");
        assert!(name(&table, k).starts_with('a'));
    }
}

#[test]
fn pick_spills_when_zone_is_full() {
    let (t, (table, _)) = (Instant::now(), table(&ENGINES));
    let mut loads = Loads::default();
    let mut per_engine: BTreeMap<String, u32> = BTreeMap::new();
    while let Some(k) = pick_for(t, &table, &loads, 7, &[]) {
        loads.start(k);
        *per_engine.entry(name(&table, k)).or_default() += 1;
    }
    // Each engine gets the initial concurrency limit of an unknown endpoint, and no further request is routed.
    assert_eq!(
        per_engine.values().copied().collect::<Vec<_>>(),
        [8, 8, 8, 8]
    );
}

#[test]
fn pick_affinity_with_bound() {
    // Requests with the same prefix go to one engine until its load exceeds the mean by the bound.
    let (t, (table, _)) = (Instant::now(), table(&ENGINES));
    let mut loads = Loads::default();
    let first = pick_for(t, &table, &loads, 42, &[]).expect("there is room");
    loads.start(first);
    let mut counts: BTreeMap<EndpointKey, u32> = BTreeMap::new();
    for _ in 0..8 {
        let k = pick_for(t, &table, &loads, 42, &[]).expect("there is room");
        *counts.entry(k).or_default() += 1;
        loads.start(k);
    }
    assert_eq!(
        counts.len(),
        2,
        "both engines of the zone are used: {counts:?}"
    );
    assert!(loads.outstanding(first) < 8);
}

#[test]
fn pick_affinity_spreads_keys() {
    let (t, (table, _)) = (Instant::now(), table(&ENGINES));
    let loads = Loads::default();
    let picks = (0..400).filter_map(|a| pick_for(t, &table, &loads, a, &[]));
    let first = key(&table, "a1");
    let share = picks.filter(|k| *k == first).count();
    assert!((120..280).contains(&share), "a1 got {share} of 400");
}

#[test]
fn pick_skips_failed() {
    let (t, (table, _)) = (Instant::now(), table(&ENGINES));
    let loads = Loads::default();
    let failed = [key(&table, "a1"), key(&table, "a2")];
    let k = pick_for(t, &table, &loads, 0, &failed).expect("the other zone has room");
    assert!(name(&table, k).starts_with('b'));
}

fn fail(loads: &mut Loads, t: Instant, k: EndpointKey, failure: Failure) {
    loads.start(k);
    loads.finish(t, k, AttemptOutcome::Failed(failure));
}

#[test]
fn pick_after_ejection() {
    let (t, (table, _)) = (Instant::now(), table(&ENGINES[..2]));
    let mut loads = Loads::default();
    let bad = key(&table, "a1");
    for _ in 0..3 {
        fail(&mut loads, t, bad, Failure::Broken);
    }
    assert!(loads.is_ejected(t, bad));
    let picked: BTreeSet<_> = (0..50)
        .filter_map(|a| pick_for(t + ms(500), &table, &loads, a, &[]))
        .collect();
    assert!(!picked.contains(&bad));
    // After the ejection the engine gets one request at a time; one success ends the probation.
    let later = t + ms(1_001);
    assert!((0..50).any(|a| pick_for(later, &table, &loads, a, &[]) == Some(bad)));
    loads.start(bad);
    assert!(
        (0..50).all(|a| pick_for(later, &table, &loads, a, &[]) != Some(bad)),
        "one at a time"
    );
    loads.finish(later, bad, AttemptOutcome::Completed { first: ms(10) });
    assert!(loads.has_room(bad));
    // A failure on probation ejects the engine at once, for a longer time.
    for _ in 0..3 {
        fail(&mut loads, later, bad, Failure::Connect);
    }
    let again = later + ms(1_001);
    fail(&mut loads, again, bad, Failure::Connect);
    assert!(loads.is_ejected(again + ms(1_500), bad), "twice as long");
}

#[test]
fn pick_never_ejects_all() {
    let (t, (table, _)) = (Instant::now(), table(&ENGINES[..2]));
    let mut loads = Loads::default();
    for n in ["a1", "a2"] {
        for _ in 0..3 {
            fail(&mut loads, t, key(&table, n), Failure::Broken);
        }
    }
    assert!(pick_for(t, &table, &loads, 0, &[]).is_some());
}

#[test]
fn pick_ignores_missed_deadlines() {
    // A missed deadline doesn't count as a failure of the endpoint.
    let (t, (table, _)) = (Instant::now(), table(&ENGINES));
    let mut loads = Loads::default();
    let k = key(&table, "a1");
    for _ in 0..10 {
        fail(&mut loads, t, k, Failure::Deadline);
    }
    assert!(!loads.is_ejected(t, k));
}

#[test]
fn report_combined_with_own_requests() {
    let (t, (table, _)) = (Instant::now(), table(&ENGINES));
    let mut loads = Loads::default();
    let k = key(&table, "a1");
    loads.start(k);
    loads.start(k);
    // The report counts two requests of this gateway and three of others.
    loads.report(
        t,
        k,
        LoadReport {
            running: 5,
            waiting: 0,
            slots: 20,
        },
    );
    assert!((loads.estimate(t, k) - 5.0).abs() < 0.01);
    // This gateway's requests are known at once; the estimate for the others decays with the age of the report.
    loads.finish(t, k, AttemptOutcome::Completed { first: ms(10) });
    assert!((loads.estimate(t, k) - 4.0).abs() < 0.01);
    assert!((loads.estimate(t + ms(2_500), k) - 2.5).abs() < 0.01);
    assert!((loads.estimate(t + ms(6_000), k) - 1.0).abs() < 0.01);
    // An older report that arrives later is ignored.
    loads.report(
        t - ms(1_000),
        k,
        LoadReport {
            running: 100,
            waiting: 0,
            slots: 100,
        },
    );
    assert!((loads.estimate(t, k) - 4.0).abs() < 0.01);
}

#[test]
fn report_that_is_wrong() {
    let (t, (table, _)) = (Instant::now(), table(&ENGINES[..1]));
    let k = key(&table, "a1");
    // An engine that reports being full still gets one request, so a wrong report can't exclude it permanently.
    let mut loads = Loads::default();
    loads.report(
        t,
        k,
        LoadReport {
            running: u32::MAX,
            waiting: u32::MAX,
            slots: 8,
        },
    );
    assert_eq!(pick_for(t, &table, &loads, 0, &[]), Some(k));
    // For an engine that reports being idle, this gateway's outstanding requests still limit what is sent.
    let mut loads = Loads::default();
    loads.report(
        t,
        k,
        LoadReport {
            running: 0,
            waiting: 0,
            slots: 1_000,
        },
    );
    let sent = (0..100).take_while(|_| {
        pick_for(t, &table, &loads, 0, &[])
            .map(|k| loads.start(k))
            .is_some()
    });
    assert_eq!(sent.count(), 8);
}

#[test]
fn limit_adapts() {
    let (t, (table, _)) = (Instant::now(), table(&ENGINES));
    let k = key(&table, "a1");
    let mut loads = Loads::default();
    // Fast answers under load raise the limit.
    for i in 0..200 {
        for _ in 0..8 {
            loads.start(k);
        }
        for _ in 0..8 {
            loads.finish(
                t + ms(i * 10),
                k,
                AttemptOutcome::Completed { first: ms(10) },
            );
        }
    }
    let high = loads.slots(t, k);
    assert!(high > 9.0, "{high}");
    // Slow answers lower the limit, but never below one.
    for i in 0..500 {
        loads.start(k);
        loads.finish(
            t + ms(3_000 + i * 1_000),
            k,
            AttemptOutcome::Completed { first: ms(900) },
        );
    }
    let low = loads.slots(t, k);
    assert!((1.0..high).contains(&low), "{low}");
}

#[test]
fn table_without_leaving_endpoints() {
    let mut builder = TableBuilder::default();
    let f = fleet(&ENGINES);
    let table = builder.build(&f, &BTreeSet::from(["a1".into()]));
    let route = table.model("m").expect("it is in force");
    assert!(route.targets.iter().all(|t| t.name.as_str() != "a1"));
    assert_eq!(route.targets.len(), 3);
}

#[test]
fn table_keys_are_stable() {
    // The load of an endpoint is kept when the table changes, and dropped with its incarnation.
    let mut builder = TableBuilder::default();
    let f = fleet(&ENGINES);
    let first = builder.build(&f, &BTreeSet::new());
    let second = builder.build(&f, &BTreeSet::new());
    assert_eq!(key(&first, "a1"), key(&second, "a1"));
    let fewer = builder.build(&fleet(&ENGINES[1..]), &BTreeSet::new());
    assert!(!builder.contains(key(&first, "a1")));
    assert_eq!(key(&fewer, "a2"), key(&first, "a2"));
}

#[test]
fn table_model_without_replica() {
    let (table, _) = table(&[]);
    assert!(
        table.model("m").is_some_and(|r| r.targets.is_empty()),
        "known, but without endpoints"
    );
    assert!(table.model("other").is_none());
}
