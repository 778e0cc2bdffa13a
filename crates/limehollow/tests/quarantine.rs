//! Tests of the records of requests that crash endpoints: quarantine, clearing, merging, expiry.

use limehollow::crash_record::{CrashRecord, EARLY, StartTag, Timing};
use limehollow::fingerprint::{Fingerprint, Identity, OriginTag};
use limehollow::instance::Instance;
use limehollow::quarantine::{MAX_RECORDS, Outcome, Quarantine, Standing};
use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;
use tokio::time::Instant;

const MINUTE: Duration = Duration::from_mins(1);

fn request(caller: u32, n: usize) -> Fingerprint {
    Fingerprint::of(&Identity {
        caller: &caller.to_string(),
        method: "POST",
        host: "portal.example",
        path: "/draft/",
        body: n.to_string().as_bytes(),
    })
}

fn origin(n: u32) -> OriginTag {
    IpAddr::V4(Ipv4Addr::from(n)).into()
}

fn start(n: usize) -> StartTag {
    StartTag::from(&Instance::from(format!("i-{n}").as_str()))
}

fn crash(q: &mut Quarantine, now: Instant, request: Fingerprint, n: usize) -> Outcome {
    q.record_crash(now, (request, origin(1)), start(n), Timing::Early)
}

fn is_quarantined(q: &Quarantine, now: Instant, request: Fingerprint) -> bool {
    matches!(q.standing(now, request), Standing::Quarantined(_))
}

#[test]
fn timing_early_up_to_some_steps_after_first() {
    assert_eq!(Timing::of(None), Timing::Early);
    assert_eq!(Timing::of(Some(Duration::from_millis(50))), Timing::Early);
    assert_eq!(Timing::of(Some(EARLY)), Timing::Late);
}

#[test]
fn standing_quarantined_by_three_starts() {
    let (mut q, now, r) = (Quarantine::default(), Instant::now(), request(1, 1));
    assert_eq!(q.standing(now, r), Standing::Clear);
    crash(&mut q, now, r, 1);
    assert_eq!(q.standing(now, r), Standing::Suspect);
    // Two VMs saw the same crash, or one VM saw it twice.
    assert_eq!(crash(&mut q, now, r, 1), Outcome::default());
    crash(&mut q, now, r, 2);
    assert_eq!(q.standing(now, r), Standing::Suspect);
    assert!(crash(&mut q, now, r, 3).is_quarantined);
    assert_eq!(q.standing(now, r), Standing::Quarantined(10 * MINUTE));
    // Another request of the same caller isn't affected.
    assert_eq!(q.standing(now, request(1, 2)), Standing::Clear);
}

#[test]
fn standing_late_crashes_need_five() {
    let (mut q, now, r) = (Quarantine::default(), Instant::now(), request(1, 1));
    for n in 0..4 {
        q.record_crash(now, (r, origin(1)), start(n), Timing::Late);
        assert_eq!(q.standing(now, r), Standing::Suspect);
    }
    q.record_crash(now, (r, origin(1)), start(4), Timing::Late);
    assert!(is_quarantined(&q, now, r));
}

#[test]
fn standing_counts_each_start_of_the_same_id() {
    let (mut q, now, r) = (Quarantine::default(), Instant::now(), request(1, 1));
    for born in [Some(1), Some(2), Some(3)] {
        let i = Instance {
            id: "i-1".into(),
            born,
        };
        q.record_crash(now, (r, origin(1)), StartTag::from(&i), Timing::Early);
    }
    assert!(is_quarantined(&q, now, r));
}

#[test]
fn clear_begins_a_new_generation_on_all_vms() {
    let (mut a, mut b) = (Quarantine::default(), Quarantine::default());
    let (now, r) = (Instant::now(), request(1, 1));
    for n in 0..2 {
        crash(&mut a, now, r, n);
    }
    b.merge(now, &a.record(now, r).expect("it is known"));
    assert!(b.clear(now, r));
    assert_eq!(b.standing(now, r), Standing::Clear);
    // A VM that doesn't know of the clearing yet doesn't bring the crashes back.
    b.merge(now, &a.record(now, r).expect("it is known"));
    assert_eq!(b.standing(now, r), Standing::Clear);
    a.merge(now, &b.record(now, r).expect("it is known"));
    assert_eq!(a.standing(now, r), Standing::Clear);
    assert_eq!(a.digest(), b.digest());
    crash(&mut a, now, r, 7);
    assert_eq!(a.standing(now, r), Standing::Suspect);
    assert!(!a.clear(now, request(1, 2)), "no crash was known");
}

#[test]
fn quarantine_ends_and_doubles() {
    let (mut q, now, r) = (Quarantine::default(), Instant::now(), request(1, 1));
    for n in 0..3 {
        crash(&mut q, now, r, n);
    }
    let later = now + 10 * MINUTE;
    // It may run again, as a suspect.
    assert_eq!(q.standing(later, r), Standing::Suspect);
    assert!(crash(&mut q, later, r, 3).is_quarantined);
    assert_eq!(q.standing(later, r), Standing::Quarantined(20 * MINUTE));
    // Each VM that receives the record computes the same end.
    let mut other = Quarantine::default();
    let batch = q.record(later + MINUTE, r).expect("it is known");
    other.merge(later + MINUTE, &batch);
    assert_eq!(
        other.standing(later + MINUTE, r),
        Standing::Quarantined(19 * MINUTE)
    );
}

#[test]
fn sweep_removes_suspects_sooner_than_causes() {
    let (mut q, now) = (Quarantine::default(), Instant::now());
    let (innocent, cause) = (request(1, 1), request(1, 2));
    crash(&mut q, now, innocent, 1);
    for n in 0..3 {
        crash(&mut q, now, cause, n);
    }
    assert!(q.sweep(now + 10 * MINUTE).is_empty());
    assert_eq!(q.standing(now + 10 * MINUTE, innocent), Standing::Clear);
    assert_eq!(q.standing(now + 10 * MINUTE, cause), Standing::Suspect);
    assert_eq!(q.sweep(now + 25 * 60 * MINUTE), [cause]);
    assert_eq!(q.digest(), Quarantine::default().digest());
    // An expired record isn't merged again from a VM that still has it.
    let old = CrashRecord {
        request: innocent,
        origin: origin(1),
        generation: 0,
        crashes: [(start(1), Timing::Early)].into(),
        age_ms: 600_000,
    };
    assert_eq!(q.merge(now, &old), Outcome::default());
}

#[test]
fn flood_of_one_caller_evicts_its_own_records() {
    let (mut q, now) = (Quarantine::default(), Instant::now());
    let (cause, suspect) = (request(1, 1), request(2, 1));
    for n in 0..3 {
        crash(&mut q, now, cause, n);
    }
    crash(&mut q, now, suspect, 1);
    for n in 0..3 * MAX_RECORDS {
        let later = now + Duration::from_millis(n as u64);
        q.record_crash(later, (request(3, n), origin(3)), start(n), Timing::Early);
    }
    assert_eq!(q.records(now).len(), MAX_RECORDS);
    assert!(is_quarantined(&q, now, cause));
    assert_eq!(q.standing(now, suspect), Standing::Suspect);
}

#[test]
fn request_that_completes_elsewhere_is_no_suspect() {
    let (mut a, mut b) = (Quarantine::default(), Quarantine::default());
    let (now, r) = (Instant::now(), request(1, 1));
    let later = now + Duration::from_secs(30);
    a.record_answer(now, r);
    // One VM sees all endpoints that run a common request crash at once.
    for n in 0..3 {
        crash(&mut b, later, r, n);
    }
    assert!(is_quarantined(&b, later, r));
    // A VM that has seen the request complete clears it.
    let batch = b.record(later, r).expect("it is known");
    assert!(!a.merge(later, &batch).is_quarantined);
    assert_eq!(a.standing(later, r), Standing::Clear);
    b.merge(later, &a.record(later, r).expect("it is known"));
    assert_eq!(b.standing(later, r), Standing::Clear);
    // A minute after the last answer, that answer doesn't count any more.
    crash(&mut a, now + MINUTE, r, 9);
    assert_eq!(a.standing(now + MINUTE, r), Standing::Suspect);
}

#[test]
fn take_batch_sends_early_crashes_three_times_and_late_ones_once() {
    let (mut q, now) = (Quarantine::default(), Instant::now());
    for n in 0..20 {
        crash(&mut q, now, request(1, n), n);
        q.record_crash(now, (request(2, n), origin(2)), start(n), Timing::Late);
    }
    let (mut own_zone, mut other_zones) = (0, 0);
    for _ in 0..10 {
        let batch = q.take_batch(now);
        assert!(
            batch.own_zone.len() <= 16,
            "{} in one message",
            batch.own_zone.len()
        );
        own_zone += batch.own_zone.len();
        other_zones += batch.other_zones.len();
    }
    assert_eq!((own_zone, other_zones), (80, 80));
}

#[test]
fn merge_gives_the_same_in_any_order() {
    bolero::check!()
        .with_type::<Vec<(u8, u8, bool, u8)>>()
        .for_each(|steps| {
            let now = Instant::now();
            let records: Vec<CrashRecord> = steps
                .iter()
                .map(|(r, s, early, generation)| CrashRecord {
                    request: request(u32::from(r % 2), usize::from(r % 4)),
                    origin: origin(u32::from(*s)),
                    generation: u32::from(generation % 3),
                    crashes: [(
                        start(usize::from(*s)),
                        if *early { Timing::Early } else { Timing::Late },
                    )]
                    .into(),
                    age_ms: u32::from(*s),
                })
                .collect();
            let (mut a, mut b) = (Quarantine::default(), Quarantine::default());
            for r in &records {
                a.merge(now, r);
            }
            for r in records.iter().rev() {
                b.merge(now, r);
                b.merge(now, r);
            }
            assert_eq!(a.digest(), b.digest());
            assert_eq!(a.records(now), b.records(now));
        });
}

#[test]
fn fingerprint_of_path_caller_and_body() {
    let one = Identity {
        caller: "a workspace",
        method: "POST",
        host: "portal.example",
        path: "/a/b",
        body: b"c",
    };
    let f = Fingerprint::of(&one);
    let others = [
        Identity { caller: "", ..one },
        Identity {
            method: "PUT",
            ..one
        },
        Identity {
            host: "portal.exampl",
            path: "e/a/b",
            ..one
        },
        Identity {
            path: "/a/",
            body: b"bc",
            ..one
        },
        Identity { body: b"", ..one },
    ];
    for o in &others {
        assert_ne!(Fingerprint::of(o), f, "{o:?}");
    }
    assert_eq!(f.to_string().parse(), Ok(f));
    assert!("12".parse::<Fingerprint>().is_err());
    assert!("zz".repeat(16).parse::<Fingerprint>().is_err());
}
