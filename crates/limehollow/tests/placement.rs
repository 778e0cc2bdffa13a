//! Tests plans: placement, order of steps, and the errors when no plan exists.

mod records;

use limehollow::fleet::Fleet;
use limehollow::id::{Offset, ZoneName};
use limehollow::intent::{Intent, Priority};
use limehollow::placement::{memory_use, plan};
use limehollow::plan::{Action, Plan};
use limehollow::record::{EndpointKind, EndpointSeen, LeaseTaken, Record, Resident};
use records::{TestLog, adapter, intent, model, place, version};
use std::collections::{BTreeMap, BTreeSet};

/// An engine: zone, name, memory of each accelerator, residents.
type Row<'a> = (&'a str, &'a str, &'a [u64], &'a [(&'a str, &'a str, u64)]);

/// Creates a fleet of engines, given as (zone, name, memory of each accelerator, residents).
fn fleet(engines: &[Row<'_>], confirmed: Option<Intent>) -> Fleet {
    let mut s = TestLog::default();
    let mut epochs: BTreeMap<ZoneName, Offset> = BTreeMap::new();
    if let Some(i) = confirmed {
        s.confirm(i);
    }
    for (zone, name, accelerators, residents) in engines {
        let zone = ZoneName::from(*zone);
        if !epochs.contains_key(&zone) {
            let (holder, replaces) = ("vm".into(), None);
            let lease = LeaseTaken {
                zone: zone.clone(),
                holder,
                incarnation: 1,
                replaces,
            };
            epochs.insert(zone.clone(), s.ok(Record::LeaseTaken(lease)));
        }
        let resident = |(m, v, bytes): &(&str, &str, u64)| Resident {
            place: place(name),
            model: version(m, v),
            bytes: *bytes,
        };
        let kind = EndpointKind::Engine {
            checks_fencing: true,
            accelerators: accelerators.to_vec(),
        };
        s.ok(Record::EndpointSeen(EndpointSeen {
            epoch: epochs[&zone],
            zone,
            endpoint: (*name).into(),
            incarnation: 1,
            address: "127.0.0.1:1".into(),
            kind,
            residents: residents.iter().map(resident).collect(),
        }));
    }
    s.fleet
}

fn two_replicas(mut i: Intent) -> Intent {
    for m in &mut i.models {
        m.replicas = 2;
    }
    i
}

fn steps(p: &Plan) -> Vec<String> {
    let line = |s: &limehollow::plan::Step| {
        format!(
            "{} {}@{} {}",
            s.action.as_str(),
            s.model.name,
            s.model.version,
            s.place.endpoint
        )
    };
    p.steps.iter().map(line).collect()
}

/// Executes the steps one by one and checks after each that no accelerator is overcommitted and no model
/// becomes unreachable.
fn check_steps(f: &Fleet, i: &Intent, p: &Plan) {
    let mut held: BTreeMap<(String, u16), Vec<(String, u64)>> = BTreeMap::new();
    let mut capacity = BTreeMap::new();
    for (name, e) in f.endpoints() {
        for (n, a) in (0_u16..).zip(&e.accelerators) {
            let rows = a
                .replicas
                .iter()
                .map(|(m, r)| (m.name.to_string(), r.bytes))
                .collect();
            held.insert((name.to_string(), n), rows);
            capacity.insert((name.to_string(), n), a.capacity);
        }
    }
    let is_reachable = |held: &BTreeMap<_, Vec<(String, u64)>>, m: &str| {
        held.values().flatten().any(|(name, _)| name == m)
    };
    let served: Vec<String> = i.models.iter().map(|m| m.name.to_string()).collect();
    let mut reached: BTreeSet<&String> = served.iter().filter(|m| is_reachable(&held, m)).collect();
    for s in &p.steps {
        let key = (s.place.endpoint.to_string(), s.place.accelerator);
        let rows = held.get_mut(&key).expect("the accelerator is known");
        let name = s.model.name.to_string();
        match s.action {
            Action::Load => rows.push((name, s.bytes)),
            Action::Unload => {
                let at = rows
                    .iter()
                    .position(|(n, _)| *n == name)
                    .expect("the model is loaded");
                rows.remove(at);
            }
        }
        let used: u64 = rows.iter().map(|(_, b)| b).sum();
        assert!(used <= capacity[&key], "{s:?} overcommits: {used}");
        reached.extend(served.iter().filter(|m| is_reachable(&held, m)));
        for m in &reached {
            assert!(is_reachable(&held, m), "{s:?} makes {m} unreachable");
        }
    }
}

#[test]
fn plan_spreads_over_zones() {
    let f = fleet(
        &[
            ("a", "e1", &[100], &[]),
            ("a", "e2", &[100], &[]),
            ("b", "e3", &[100], &[]),
            ("c", "e4", &[100], &[]),
        ],
        None,
    );
    let mut i = intent(vec![model("m", "1", 30)]);
    i.models[0].replicas = 3;
    let p = plan(&f, Offset(9), &i).expect("it fits");
    let zones: BTreeSet<&str> = p.targets.iter().map(|t| t.zone.as_str()).collect();
    assert_eq!(zones.len(), 3);
}

#[test]
fn plan_keeps_existing_replicas() {
    // Existing replicas aren't moved: moves are what the site Vrednost weighs most.
    let f = fleet(
        &[
            ("a", "e1", &[100], &[("m", "1", 60)]),
            ("b", "e2", &[100], &[("n", "1", 60)]),
        ],
        None,
    );
    let i = intent(vec![model("m", "1", 60), model("n", "1", 60)]);
    assert_eq!(plan(&f, Offset(9), &i).expect("it fits").moves(), 0);
}

#[test]
fn plan_fewer_accelerators_than_models() {
    let f = fleet(
        &[("a", "e1", &[100, 100], &[]), ("b", "e2", &[100, 100], &[])],
        None,
    );
    let models = (0..9).map(|n| model(&format!("m{n}"), "1", 20)).collect();
    let i = two_replicas(intent(models));
    let p = plan(&f, Offset(9), &i).expect("it fits");
    assert_eq!(p.targets.len(), 18);
    check_steps(&f, &i, &p);
}

#[test]
fn plan_leaves_headroom() {
    let f = fleet(&[("a", "e1", &[100], &[])], None);
    let mut i = intent(vec![model("m", "1", 81)]);
    i.kv_headroom_percent = 20;
    let why = plan(&f, Offset(9), &i)
        .expect_err("it would leave 19 of 100")
        .to_string();
    assert_eq!(
        why,
        "m needs 81 bytes on one accelerator in the 1 accelerators of 1 zones; the most that is \
         free is 80: free 1 bytes there, add an accelerator, or lower its replicas"
    );
}

#[test]
fn plan_adapter_needs_its_base() {
    let f = fleet(&[("a", "e1", &[100], &[]), ("b", "e2", &[100], &[])], None);
    let i = two_replicas(intent(vec![model("m", "1", 50), adapter("x", "m", 50)]));
    let p = plan(&f, Offset(9), &i).expect("it fits");
    check_steps(&f, &i, &p);
    let order = steps(&p);
    let at = |s: &str| order.iter().position(|o| o == s).expect("it is a step");
    assert!(at("load m@1 e1") < at("load x@1 e1"));
    let i = two_replicas(intent(vec![model("m", "1", 50), adapter("x", "m", 51)]));
    let why = plan(&f, Offset(9), &i)
        .expect_err("no room beside the base")
        .to_string();
    assert!(
        why.starts_with("x needs 51 bytes on one accelerator in the accelerators that hold m"),
        "{why}"
    );
}

#[test]
fn plan_priority_first() {
    // Only one of two models fits: the error names the less important one.
    let f = fleet(&[("a", "e1", &[100], &[])], None);
    let mut i = intent(vec![model("low", "1", 60), model("high", "1", 60)]);
    i.models[0].priority = Priority::Low;
    i.models[1].priority = Priority::High;
    let why = plan(&f, Offset(9), &i)
        .expect_err("both don't fit")
        .to_string();
    assert!(why.starts_with("low needs 60 bytes"), "{why}");
}

#[test]
fn plan_loads_new_version_before_unloading_old() {
    let old = intent(vec![model("m", "1", 40)]);
    let f = fleet(&[("a", "e1", &[100], &[("m", "1", 40)])], Some(old));
    let i = intent(vec![model("m", "2", 40)]);
    let p = plan(&f, Offset(9), &i).expect("both versions fit for a while");
    assert_eq!(steps(&p), ["load m@2 e1", "unload m@1 e1"]);
    let rows = memory_use(&f, &p);
    assert_eq!((rows[0].before, rows[0].peak, rows[0].after), (40, 80, 40));
}

#[test]
fn plan_new_base_version_keeps_adapters() {
    // The new version is loaded where the old one is, although the other engine has more free memory, so that
    // the adapters there needn't move.
    let old = intent(vec![
        model("m", "1", 30),
        adapter("x", "m", 5),
        adapter("y", "m", 5),
    ]);
    let f = fleet(
        &[
            (
                "a",
                "e1",
                &[100],
                &[("m", "1", 30), ("x", "1", 5), ("y", "1", 5)],
            ),
            ("b", "e2", &[100], &[]),
        ],
        Some(old),
    );
    let i = intent(vec![
        model("m", "2", 30),
        adapter("x", "m", 5),
        adapter("y", "m", 5),
    ]);
    let p = plan(&f, Offset(9), &i).expect("both versions fit for a while");
    assert_eq!(steps(&p), ["load m@2 e1", "unload m@1 e1"]);
}

#[test]
fn plan_replaces_one_replica_after_the_other() {
    // Two full accelerators: each replacement relies on the replica on the other one.
    let old = two_replicas(intent(vec![model("m", "1", 90)]));
    let f = fleet(
        &[
            ("a", "e1", &[100], &[("m", "1", 90)]),
            ("b", "e2", &[100], &[("m", "1", 90)]),
        ],
        Some(old),
    );
    let i = two_replicas(intent(vec![model("m", "2", 90)]));
    let p = plan(&f, Offset(9), &i).expect("one after the other");
    check_steps(&f, &i, &p);
    assert_eq!(p.moves(), 4);
}

#[test]
fn plan_no_order_of_steps() {
    // One full accelerator: the new version doesn't fit until the old one is unloaded, and the old one is the
    // last replica.
    let old = intent(vec![model("m", "1", 90)]);
    let f = fleet(&[("a", "e1", &[100], &[("m", "1", 90)])], Some(old));
    let i = intent(vec![model("m", "2", 90)]);
    let why = plan(&f, Offset(9), &i)
        .expect_err("it would make m unreachable")
        .to_string();
    assert_eq!(
        why,
        "no order of steps keeps m reachable within the memory of e1"
    );
}

#[test]
fn plan_removed_adapter_before_its_base() {
    let old = intent(vec![
        model("m", "1", 40),
        adapter("x", "m", 5),
        model("n", "1", 10),
    ]);
    let f = fleet(
        &[(
            "a",
            "e1",
            &[100],
            &[("m", "1", 40), ("x", "1", 5), ("n", "1", 10)],
        )],
        Some(old),
    );
    let i = intent(vec![model("n", "1", 10)]);
    let p = plan(&f, Offset(9), &i).expect("both can go");
    assert_eq!(steps(&p), ["unload x@1 e1", "unload m@1 e1"]);
}

#[test]
fn plan_fits_for_random_changes() {
    // Seeded changes between random intents: every plan fits in memory at every step.
    use rand::rngs::StdRng;
    use rand::{RngExt, SeedableRng};
    let mut made = 0;
    for seed in 0..300 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut random = |versions: u32| {
            let n = rng.random_range(3..9);
            let models = (0..n)
                .map(|k| {
                    let version = rng.random_range(1..=versions).to_string();
                    let mut m = model(&format!("m{k}"), &version, rng.random_range(5..35));
                    m.replicas = rng.random_range(1..=2);
                    m
                })
                .collect();
            intent(models)
        };
        let (old, new) = (random(1), random(2));
        let engines: [Row<'_>; 3] = [
            ("a", "e1", &[100], &[]),
            ("b", "e2", &[100], &[]),
            ("c", "e3", &[100], &[]),
        ];
        let empty = fleet(&engines, None);
        let Ok(first) = plan(&empty, Offset(9), &old) else {
            continue;
        };
        let mut held: BTreeMap<&str, Vec<(&str, &str, u64)>> = BTreeMap::new();
        for s in &first.steps {
            let row = (s.model.name.as_str(), s.model.version.as_str(), s.bytes);
            held.entry(s.place.endpoint.as_str()).or_default().push(row);
        }
        let rows = |e: &str| held.get(e).cloned().unwrap_or_default();
        let (e1, e2, e3) = (rows("e1"), rows("e2"), rows("e3"));
        let f = fleet(
            &[
                ("a", "e1", &[100], &e1),
                ("b", "e2", &[100], &e2),
                ("c", "e3", &[100], &e3),
            ],
            Some(old),
        );
        if let Ok(p) = plan(&f, Offset(9), &new) {
            check_steps(&f, &new, &p);
            made += 1;
        }
    }
    assert!(made > 150, "only {made} changes had a plan");
}
