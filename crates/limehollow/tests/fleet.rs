//! Tests of [`Fleet`]: which records take effect, which are void, and for what reason.

mod records;

use limehollow::Category;
use limehollow::fleet::{Accelerator, Fleet, Presence, ReplicaState};
use limehollow::id::{LogTime, Offset};
use limehollow::intent::ModelIntent;
use limehollow::plan::Action::{Load, Unload};
use limehollow::plan::Target;
use limehollow::record::{
    AnswerKind, Departure, EndpointLeft, Evidence, Outcome, Record, ReplicaFound, ReplicaLost,
    Resident,
};
use records::{
    TestLog, adapter, answer, intent, issued, lease, model, order, place, plan, seen, settled,
    version,
};

#[test]
fn order_void_reasons() {
    let mut s = TestLog::with_endpoints();
    s.load("fenced", "m", 40);
    let cases = [
        (
            order("fenced", Load, "m", "1", 40),
            "m is already in that state at fenced/0",
        ),
        (
            order("fenced", Load, "m", "2", 40),
            "m is not part of the confirmed intent",
        ),
        (
            order("fenced", Load, "other", "1", 1),
            "other is not part of the confirmed intent",
        ),
        (
            order("nowhere", Load, "n", "1", 50),
            "there is no endpoint nowhere",
        ),
        (
            order("open", Load, "x", "1", 5),
            "x at open/0 needs its base ready there first",
        ),
        (
            order("fenced", Unload, "m", "1", 40),
            "m has no other ready replica",
        ),
        (
            order("open", Unload, "m", "1", 40),
            "m is already in that state at open/0",
        ),
    ];
    for (record, why) in cases {
        assert_eq!(s.void(record), why);
    }
}

#[test]
fn order_memory() {
    // Replicas that are being loaded count, and so do replicas that are being unloaded.
    let mut s = TestLog::with_endpoints();
    s.load("open", "m", 40);
    let load_n = s.ok(order("open", Load, "n", "1", 50));
    s.ok(settled(load_n, Outcome::Done, Evidence::EffectSeen));
    s.load("fenced", "m", 40);
    s.ok(order("open", Unload, "m", "1", 40));
    assert_eq!(
        s.fleet.accelerator(&place("open")).map(Accelerator::free),
        Some(10)
    );
    s.confirm(intent(vec![
        model("m", "1", 40),
        model("n", "1", 50),
        model("big", "1", 70),
    ]));
    assert_eq!(
        s.void(order("fenced", Load, "big", "1", 70)),
        "fenced/0 has 60 bytes free, 70 are needed"
    );
    // An order can't reserve less memory than the confirmed intent states.
    assert_eq!(
        s.void(order("fenced", Load, "big", "1", 1)),
        "fenced/0 has 60 bytes free, 70 are needed"
    );
}

#[test]
fn order_one_at_a_time() {
    let mut s = TestLog::with_endpoints();
    let first = s.ok(order("open", Load, "m", "1", 40));
    let why = s.void(order("open", Load, "n", "1", 50));
    assert_eq!(why, format!("open has order {first} unsettled"));
}

#[test]
fn order_adapter_before_base_leaves() {
    let mut s = TestLog::with_endpoints();
    s.load("open", "m", 40);
    s.load("open", "x", 5);
    s.load("fenced", "m", 40);
    let why = s.void(order("open", Unload, "m", "1", 40));
    assert_eq!(why, "m at open/0 still carries adapters");
}

#[test]
fn order_from_old_epoch() {
    let mut s = TestLog::with_endpoints();
    s.ok(lease("vm-2", Some(0)));
    let why = s.void(order("open", Load, "m", "1", 40));
    assert_eq!(why, "epoch 0 of zone a is not the current one");
}

#[test]
fn order_in_other_zone() {
    let mut s = TestLog::with_endpoints();
    let mut o = issued("open", Load, "m", "1", 40);
    o.zone = "b".into();
    assert_eq!(
        s.void(Record::OrderIssued(o)),
        "epoch 0 of zone b is not the current one"
    );
}

#[test]
fn order_to_earlier_incarnation() {
    let mut s = TestLog::with_endpoints();
    s.ok(seen("open", false, 2, Vec::new()));
    assert_eq!(
        s.void(order("open", Load, "m", "1", 40)),
        "there is no endpoint open"
    );
}

#[test]
fn unload_may_come_twice() {
    // At an endpoint that doesn't check fencing numbers, a duplicate of an unload can remove a new replica.
    for (endpoint, is_void) in [("open", true), ("fenced", false)] {
        let mut s = TestLog::with_endpoints();
        s.load("open", "m", 40);
        s.load("fenced", "m", 40);
        let unload = s.ok(order(endpoint, Unload, "m", "1", 40));
        s.ok(settled(unload, Outcome::Done, Evidence::EffectSeen));
        let load = issued(endpoint, Load, "m", "1", 40);
        let checked = s.fleet.check_order(LogTime(s.at), &load);
        assert_eq!(checked.is_err(), is_void, "{endpoint}: {checked:?}");
        let later = LogTime(s.at + 301_000);
        assert_eq!(
            s.fleet.check_order(later, &load),
            Ok(()),
            "{endpoint} later"
        );
    }
}

#[test]
fn load_may_come_twice() {
    // A duplicate of a load can load an unloaded model again, so its memory stays reserved until the
    // duplicate can't arrive any more.
    for (endpoint, free) in [("open", 60), ("fenced", 100)] {
        let mut s = TestLog::with_endpoints();
        s.load("open", "m", 40);
        s.load("fenced", "m", 40);
        let unload = s.ok(order(endpoint, Unload, "m", "1", 40));
        s.ok(settled(unload, Outcome::Done, Evidence::EffectSeen));
        s.confirm(intent(vec![model("m", "1", 40), model("big", "1", 100)]));
        let load = issued(endpoint, Load, "big", "1", 100);
        let res = s.fleet.check_order(LogTime(s.at), &load);
        match (free, res) {
            (100, res) => assert_eq!(res, Ok(())),
            (_, res) => {
                let why = res.expect_err("the duplicate would not fit").to_string();
                assert_eq!(why, "open/0 has 60 bytes free, 100 are needed");
            }
        }
        assert_eq!(s.fleet.check_order(LogTime(s.at + 301_000), &load), Ok(()));
    }
}

#[test]
fn settled_by_delay_too_early() {
    let mut s = TestLog::with_endpoints();
    let o = s.ok(order("open", Load, "m", "1", 40));
    let early = settled(o, Outcome::NotDone, Evidence::DelayPassed);
    assert!(s.void(early.clone()).contains("may still arrive again for"));
    s.at += 300_000;
    s.ok(early);
}

#[test]
fn settled_twice() {
    let mut s = TestLog::with_endpoints();
    let o = s.ok(order("open", Load, "m", "1", 40));
    s.ok(settled(o, Outcome::Done, Evidence::EffectSeen));
    let why = s.void(settled(o, Outcome::NotDone, Evidence::Answered));
    assert_eq!(why, format!("there is no unsettled order {o}"));
    assert_eq!(s.fleet.ready_replicas("m").count(), 1);
}

#[test]
fn replica_counts_by_state() {
    // Memory accounting includes all three states, reachability only ready replicas.
    let mut s = TestLog::with_endpoints();
    let used = |s: &TestLog| s.fleet.accelerator(&place("open")).map(Accelerator::used);
    let load = s.ok(order("open", Load, "m", "1", 40));
    assert_eq!(
        (used(&s), s.fleet.ready_replicas("m").count()),
        (Some(40), 0)
    );
    s.ok(settled(load, Outcome::Done, Evidence::EffectSeen));
    assert_eq!(
        (used(&s), s.fleet.ready_replicas("m").count()),
        (Some(40), 1)
    );
    s.load("fenced", "m", 40);
    let unload = s.ok(order("open", Unload, "m", "1", 40));
    assert_eq!(
        (used(&s), s.fleet.ready_replicas("m").count()),
        (Some(40), 1)
    );
    s.ok(settled(unload, Outcome::NotDone, Evidence::NeverSent));
    assert_eq!(
        (used(&s), s.fleet.ready_replicas("m").count()),
        (Some(40), 2)
    );
}

#[test]
fn endpoint_restarted_with_open_order() {
    // The order may still arrive at the new incarnation, so its memory stays reserved.
    let mut s = TestLog::with_endpoints();
    let o = s.ok(order("open", Load, "m", "1", 40));
    s.ok(seen("open", false, 2, Vec::new()));
    let e = s.fleet.endpoint("open").expect("the endpoint is known");
    assert_eq!((e.pending, e.accelerators[0].used()), (Some(o), 40));
}

#[test]
fn endpoint_restarted_twice_with_open_unload() {
    // After the first restart the replica is gone, but the unload may still arrive, so no other order is
    // admitted before its outcome is known.
    let mut s = TestLog::with_endpoints();
    s.load("open", "m", 40);
    s.load("fenced", "m", 40);
    let o = s.ok(order("open", Unload, "m", "1", 40));
    s.ok(seen("open", false, 2, Vec::new()));
    s.ok(seen("open", false, 3, Vec::new()));
    assert_eq!(s.fleet.endpoint("open").and_then(|e| e.pending), Some(o));
}

#[test]
fn endpoint_that_left_takes_no_load() {
    for (departure, presence) in [
        (Departure::Leaving, Presence::Leaving),
        (Departure::Gone, Presence::Gone),
    ] {
        let mut s = TestLog::with_endpoints();
        s.load("open", "m", 40);
        let left = EndpointLeft {
            zone: "a".into(),
            epoch: Offset(0),
            endpoint: "open".into(),
            departure,
        };
        s.ok(Record::EndpointLeft(left));
        assert_eq!(s.fleet.endpoint("open").map(|e| e.presence), Some(presence));
        assert_eq!(s.fleet.ready_replicas("m").count(), 0, "no new work");
        s.void(order("open", Load, "n", "1", 50));
    }
}

#[test]
fn replica_lost_and_found() {
    let mut s = TestLog::with_endpoints();
    s.load("open", "m", 40);
    let lost = ReplicaLost {
        zone: "a".into(),
        epoch: Offset(0),
        place: place("open"),
        model: version("m", "1"),
    };
    s.ok(Record::ReplicaLost(lost.clone()));
    assert_eq!(s.fleet.ready_replicas("m").count(), 0);
    let why = s.void(Record::ReplicaLost(lost));
    assert_eq!(why, "there is no ready replica m");
    let resident = Resident {
        place: place("open"),
        model: version("m", "1"),
        bytes: 40,
    };
    let found = ReplicaFound {
        zone: "a".into(),
        epoch: Offset(0),
        resident,
    };
    s.ok(Record::ReplicaFound(found));
    assert_eq!(s.fleet.ready_replicas("m").count(), 1);
}

#[test]
fn lease_first_takeover_wins() {
    let mut s = TestLog::with_endpoints();
    let epoch = s.ok(lease("vm-2", Some(0)));
    let why = s.void(lease("vm-3", Some(0)));
    assert_eq!(
        why,
        format!("the lease of zone a was taken at offset {epoch}")
    );
    assert_eq!(
        s.fleet
            .lease(&"a".into())
            .map(|l| l.holder.as_str().to_owned()),
        Some("vm-2".into())
    );
}

#[test]
fn confirm_overtaken_by_intent() {
    let mut s = TestLog::default();
    let first = s.ok(Record::Intent(intent(vec![model("m", "1", 40)])));
    let p = s.ok(plan(first));
    let mut other = intent(vec![model("n", "1", 50)]);
    other.operator = "bor".into();
    let second = s.ok(Record::Intent(other));
    let why = s.void(answer(p, "ana", AnswerKind::Confirm));
    assert_eq!(
        why,
        format!("intent {p} was overtaken by intent {second}, published by bor at 2000 ms")
    );
    assert!(s.fleet.plan_in_force().is_none());
}

#[test]
fn confirm_raced_by_reject() {
    let mut s = TestLog::default();
    let i = s.ok(Record::Intent(intent(vec![model("m", "1", 40)])));
    let p = s.ok(plan(i));
    let by = s.ok(answer(p, "bor", AnswerKind::Reject));
    let why = s.void(answer(p, "ana", AnswerKind::Confirm));
    assert_eq!(
        why,
        format!("plan {p} was already rejected by bor at offset {by}")
    );
}

#[test]
fn confirm_unknown_plan() {
    let mut s = TestLog::with_endpoints();
    assert_eq!(
        s.void(answer(Offset(999), "ana", AnswerKind::Confirm)),
        "there is no plan 999"
    );
}

#[test]
fn intent_change_raced() {
    // Two operators change the same intent: the first change takes effect, and the error of the second one
    // names the first operator.
    let mut s = TestLog::with_endpoints();
    let latest = s
        .fleet
        .latest_intent()
        .expect("an intent was published")
        .clone();
    let change = |operator: &str, set: Vec<ModelIntent>| {
        let mut new = latest.intent.clone();
        new.operator = operator.into();
        new.models.extend(set);
        Record::IntentChange(new.change_from(latest.offset, &latest.intent))
    };
    let first = s.ok(change("ana", vec![model("p", "1", 1)]));
    let why = s.void(change("bor", vec![model("q", "1", 1)]));
    let at = (first.0) * 1_000;
    assert_eq!(
        why,
        format!(
            "intent {} was overtaken by intent {first}, published by ana at {at} ms",
            latest.offset
        )
    );
    let now = s.fleet.latest_intent().expect("an intent was published");
    assert!(now.intent.model("p").is_some() && now.intent.model("q").is_none());
    assert!(
        now.intent.model("m").is_some(),
        "models that the change doesn't name stay"
    );
}

#[test]
fn intent_change_round_trip() {
    let old = intent(vec![
        model("m", "1", 40),
        model("n", "1", 50),
        model("o", "1", 5),
    ]);
    let new = intent(vec![
        model("m", "2", 40),
        model("n", "1", 50),
        model("p", "1", 6),
    ]);
    let c = new.change_from(Offset(3), &old);
    let names: Vec<&str> = c.set.iter().map(|m| m.name.as_str()).collect();
    assert_eq!((names, c.removed.len()), (vec!["m", "p"], 1));
    let mut models = old.with_change(&c).models;
    models.sort_by(|a, b| a.name.cmp(&b.name));
    assert_eq!(models, new.models);
}

#[test]
fn plan_keeps_targets_of_unchanged_models() {
    let target = |name: &str, endpoint: &str| Target {
        zone: "a".into(),
        place: place(endpoint),
        model: version(name, "1"),
    };
    let mut s = TestLog::with_endpoints();
    let mut confirm = |changed: &[&str], targets: Vec<Target>| {
        let i = s.ok(Record::Intent(intent(vec![
            model("m", "1", 40),
            model("n", "1", 50),
        ])));
        let Record::Plan(mut p) = plan(i) else {
            unreachable!("the helper returns a plan")
        };
        p.base = s.fleet.plan_in_force().map(|p| p.offset);
        p.changed = changed.iter().map(|n| (*n).into()).collect();
        p.targets = targets;
        let p = s.ok(Record::Plan(p));
        s.ok(answer(p, "ana", AnswerKind::Confirm));
        s.fleet
            .plan_in_force()
            .map(|p| p.plan.targets.clone())
            .unwrap_or_default()
    };
    confirm(&["m", "n"], vec![target("m", "open"), target("n", "open")]);
    let all = confirm(&["m"], vec![target("m", "fenced")]);
    assert_eq!(all, [target("m", "fenced"), target("n", "open")]);
}

#[test]
fn plan_on_another_base() {
    let mut s = TestLog::with_endpoints();
    let i = s.ok(Record::Intent(intent(vec![model("m", "1", 40)])));
    let why = s.void(plan(i));
    assert!(
        why.starts_with("there is no plan in force that this one builds on"),
        "{why}"
    );
}

#[test]
fn plan_second_for_one_intent() {
    let mut s = TestLog::default();
    let i = s.ok(Record::Intent(intent(vec![model("m", "1", 40)])));
    let p = s.ok(plan(i));
    assert_eq!(
        s.void(plan(i)),
        format!("intent {i} is already answered by plan {p}")
    );
}

#[test]
fn intent_bad() {
    let cases = [
        (
            vec![model("m", "1", 0)],
            "intent: model m: bytes must be more than 0",
        ),
        (vec![model("", "1", 1)], "intent: a model has no name"),
        (
            vec![model("m", "", 1)],
            "intent: model m: version must not be empty",
        ),
        (
            vec![model("m", "1", 1), model("m", "2", 1)],
            "intent: model m stands twice",
        ),
        (
            vec![adapter("x", "m", 1)],
            "intent: adapter x names base m, which is not a model here",
        ),
        (
            vec![
                model("m", "1", 1),
                adapter("x", "m", 1),
                adapter("y", "x", 1),
            ],
            "intent: adapter y names base x, which is itself an adapter",
        ),
    ];
    for (models, why) in cases {
        let mut s = TestLog::default();
        assert_eq!(s.void(Record::Intent(intent(models))), why);
    }
}

#[test]
fn offset_backwards() {
    let mut s = TestLog::with_endpoints();
    let before = s.fleet.clone();
    let res = s
        .fleet
        .apply(Offset(2), LogTime(0), &lease("vm-9", Some(0)));
    let e = res.expect_err("the offset was already applied");
    assert_eq!(e.category(), Category::Overtaken);
    assert_eq!(s.fleet, before, "nothing changed");
}

#[test]
fn version_never_reverts() {
    // Once the confirmed version was ready in a zone, the old version gets no requests there any more, even
    // if the replica of the new version is lost.
    let mut s = TestLog::with_endpoints();
    s.load("open", "m", 40);
    s.confirm(intent(vec![model("m", "2", 40), model("n", "1", 50)]));
    assert_eq!(
        s.fleet.ready_replicas("m").collect::<Vec<_>>(),
        [place("open")],
        "the old version serves until the new one is ready"
    );
    let o = s.ok(order("fenced", Load, "m", "2", 40));
    s.ok(settled(o, Outcome::Done, Evidence::EffectSeen));
    assert_eq!(
        s.fleet.ready_replicas("m").collect::<Vec<_>>(),
        [place("fenced")]
    );
    let lost = ReplicaLost {
        zone: "a".into(),
        epoch: Offset(0),
        place: place("fenced"),
        model: version("m", "2"),
    };
    s.ok(Record::ReplicaLost(lost));
    s.ok(seen(
        "open",
        false,
        2,
        vec![Resident {
            place: place("open"),
            model: version("m", "1"),
            bytes: 40,
        }],
    ));
    assert_eq!(s.fleet.ready_replicas("m").count(), 0);
}

#[test]
fn void_record_advances_offset() {
    let mut s = TestLog::with_endpoints();
    let before = s.fleet.next_offset();
    s.void(order("nowhere", Load, "m", "1", 40));
    assert_eq!(s.fleet.next_offset(), before.next());
    assert_eq!(s.fleet.void_and_unread(), (1, 0));
}

#[test]
fn state_json_round_trip() {
    let mut s = TestLog::with_endpoints();
    s.load("open", "m", 40);
    s.ok(order("open", Load, "x", "1", 5));
    let text = serde_json::to_string(&s.fleet).expect("the state can be serialized");
    let back: Fleet = serde_json::from_str(&text).expect("the state can be deserialized");
    assert_eq!(back, s.fleet);
    let replica = back
        .replica(&place("open"), &version("x", "1"))
        .map(|r| r.state);
    assert!(matches!(replica, Some(ReplicaState::Loading(_))));
}
