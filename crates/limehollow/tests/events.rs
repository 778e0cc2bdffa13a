//! Property tests: [`Fleet`] keeps its invariants for arbitrary sequences of records.

mod records;

use bolero::check;
use limehollow::fleet::{Fleet, Presence, ReplicaState};
use limehollow::id::Offset;
use limehollow::plan::Action::{Load, Unload};
use limehollow::record::{Departure, EndpointLeft, Evidence, Outcome, Record};
use records::{TestLog, issued, lease, seen, settled};

const ENDPOINTS: [&str; 2] = ["fenced", "open"];
const MODELS: [(&str, u64); 3] = [("m", 40), ("n", 50), ("x", 5)];
const OUTCOMES: [Outcome; 2] = [Outcome::Done, Outcome::NotDone];
const EVIDENCE: [Evidence; 4] = [
    Evidence::Answered,
    Evidence::EffectSeen,
    Evidence::Fenced,
    Evidence::DelayPassed,
];

/// Builds a record from four bytes. Some records have an outdated epoch or a new incarnation.
fn record(s: &TestLog, bytes: [u8; 4]) -> Record {
    let [kind, which, what, how] = bytes.map(usize::from);
    let endpoint = ENDPOINTS[which % 2];
    let epoch = match how % 5 {
        0 => Offset(0),
        _ => s.fleet.epoch(&"a".into()).unwrap_or_default(),
    };
    let incarnation = s.fleet.endpoint(endpoint).map_or(1, |e| e.incarnation);
    match kind % 8 {
        0..=3 => {
            let (name, size) = MODELS[what % 3];
            let action = if kind % 2 == 0 { Load } else { Unload };
            let mut o = issued(endpoint, action, name, "1", size);
            o.epoch = epoch;
            o.incarnation = incarnation;
            Record::OrderIssued(o)
        }
        4 | 5 => {
            let open: Vec<Offset> = s
                .fleet
                .orders()
                .filter(|(_, o)| o.settled.is_none())
                .map(|(k, _)| k)
                .collect();
            let order = open
                .get(what % open.len().max(1))
                .copied()
                .unwrap_or_default();
            let mut r = settled(order, OUTCOMES[which % 2], EVIDENCE[how % 4]);
            if let Record::OrderSettled(r) = &mut r {
                r.epoch = epoch;
            }
            r
        }
        6 => lease(["vm-1", "vm-2"][which % 2], Some(epoch.0)),
        _ if what % 4 == 0 => Record::EndpointLeft(EndpointLeft {
            zone: "a".into(),
            epoch,
            endpoint: endpoint.into(),
            departure: Departure::Gone,
        }),
        _ => {
            let mut r = seen(
                endpoint,
                endpoint == "fenced",
                incarnation + (what % 2) as u64,
                Vec::new(),
            );
            if let Record::EndpointSeen(r) = &mut r {
                r.epoch = epoch;
            }
            r
        }
    }
}

fn check_memory(f: &Fleet) {
    for (name, e) in f.endpoints() {
        for a in &e.accelerators {
            assert!(
                a.used() <= a.capacity,
                "{name} has {} of {} reserved",
                a.used(),
                a.capacity
            );
        }
        let open = f
            .orders()
            .filter(|(_, o)| o.settled.is_none() && o.place.endpoint == *name);
        assert!(
            open.count() <= 1,
            "{name} has two orders without a known outcome"
        );
    }
}

/// Returns `true` if a record is an action of limehollow itself, as opposed to an observed change.
fn is_own_action(r: &Record) -> bool {
    matches!(
        r,
        Record::OrderIssued(_) | Record::OrderSettled(_) | Record::LeaseTaken(_)
    )
}

#[test]
fn any_records_keep_promises() {
    check!()
        .with_iterations(30_000)
        .with_type::<Vec<[u8; 4]>>()
        .for_each(|input| {
            let mut s = TestLog::with_endpoints();
            s.load("fenced", "m", 40);
            for bytes in input.iter().take(200) {
                let r = record(&s, *bytes);
                let ready_before = s.fleet.ready_replicas("m").count();
                let next_before = s.fleet.next_offset();
                let res = s.next(&r);
                check_memory(&s.fleet);
                assert!(
                    s.fleet.next_offset() > next_before,
                    "the offset did not rise"
                );
                let ready = s.fleet.ready_replicas("m").count();
                if res.is_err() {
                    assert_eq!(ready, ready_before, "a void record changed something");
                }
                if ready_before > 0 && is_own_action(&r) {
                    assert!(ready > 0, "{r:?} removed the last ready replica");
                }
            }
        });
}

#[test]
fn any_records_give_one_state() {
    // Two readers, one of which is restored half-way from the other's serialized state, have equal states.
    check!()
        .with_iterations(5_000)
        .with_type::<Vec<[u8; 4]>>()
        .for_each(|input| {
            let mut s = TestLog::with_endpoints();
            let half = input.len().min(100) / 2;
            let mut other: Option<TestLog> = None;
            for (i, bytes) in input.iter().take(100).enumerate() {
                if i == half {
                    let text =
                        serde_json::to_string(&s.fleet).expect("the state can be serialized");
                    let fleet = serde_json::from_str(&text).expect("the state can be deserialized");
                    other = Some(TestLog { fleet, ..s.clone() });
                }
                let r = record(&s, *bytes);
                let first = s.next(&r);
                if let Some(o) = &mut other {
                    assert_eq!(o.next(&r), first);
                    assert_eq!(o.fleet, s.fleet);
                }
            }
        });
}

#[test]
fn ready_replicas_are_ready_and_live() {
    check!()
        .with_iterations(10_000)
        .with_type::<Vec<[u8; 4]>>()
        .for_each(|input| {
            let mut s = TestLog::with_endpoints();
            for bytes in input.iter().take(100) {
                let r = record(&s, *bytes);
                let _void = s.next(&r);
                for (name, _) in MODELS {
                    for p in s.fleet.ready_replicas(name) {
                        let e = s
                            .fleet
                            .endpoint(p.endpoint.as_str())
                            .expect("the endpoint is known");
                        let replica = s
                            .fleet
                            .replica(&p, &records::version(name, "1"))
                            .expect("the replica exists");
                        assert_eq!(
                            (e.presence, replica.state),
                            (Presence::Live, ReplicaState::Ready)
                        );
                    }
                }
            }
        });
}
