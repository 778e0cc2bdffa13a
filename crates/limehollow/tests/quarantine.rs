//! What VMs know of requests that crash endpoints: who is sure when, who is cleared, and what is kept.

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

fn is_held(q: &Quarantine, now: Instant, request: Fingerprint) -> bool {
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
    // Two VMs saw the same end, or one saw it twice.
    assert_eq!(crash(&mut q, now, r, 1), Outcome::default());
    crash(&mut q, now, r, 2);
    assert_eq!(q.standing(now, r), Standing::Suspect);
    assert!(crash(&mut q, now, r, 3).is_quarantined);
    assert_eq!(q.standing(now, r), Standing::Quarantined(10 * MINUTE));
    // Another request of the caller isn't touched by it.
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
    assert!(is_held(&q, now, r));
}

#[test]
fn standing_of_same_id_started_again_counts_each_start() {
    let (mut q, now, r) = (Quarantine::default(), Instant::now(), request(1, 1));
    for born in [Some(1), Some(2), Some(3)] {
        let i = Instance {
            id: "i-1".into(),
            born,
        };
        q.record_crash(now, (r, origin(1)), StartTag::from(&i), Timing::Early);
    }
    assert!(is_held(&q, now, r));
}

#[test]
fn clear_begins_anew_on_all_vms() {
    let (mut a, mut b) = (Quarantine::default(), Quarantine::default());
    let (now, r) = (Instant::now(), request(1, 1));
    for n in 0..2 {
        crash(&mut a, now, r, n);
    }
    b.merge(now, &a.record(now, r).expect("it is known"));
    assert!(b.clear(now, r));
    assert_eq!(b.standing(now, r), Standing::Clear);
    // A VM that hasn't heard of it yet doesn't bring the crashes back.
    b.merge(now, &a.record(now, r).expect("it is known"));
    assert_eq!(b.standing(now, r), Standing::Clear);
    a.merge(now, &b.record(now, r).expect("it is known"));
    assert_eq!(a.standing(now, r), Standing::Clear);
    assert_eq!(a.digest(), b.digest());
    crash(&mut a, now, r, 7);
    assert_eq!(a.standing(now, r), Standing::Suspect);
    assert!(!a.clear(now, request(1, 2)), "nothing spoke against it");
}

#[test]
fn quarantine_ends_and_doubles() {
    let (mut q, now, r) = (Quarantine::default(), Instant::now(), request(1, 1));
    for n in 0..3 {
        crash(&mut q, now, r, n);
    }
    let later = now + 10 * MINUTE;
    // It proves itself where it takes the fewest others along.
    assert_eq!(q.standing(later, r), Standing::Suspect);
    assert!(crash(&mut q, later, r, 3).is_quarantined);
    assert_eq!(q.standing(later, r), Standing::Quarantined(20 * MINUTE));
    // Each VM that was told reckons the same end.
    let mut other = Quarantine::default();
    let told = q.record(later + MINUTE, r).expect("it is known");
    other.merge(later + MINUTE, &told);
    assert_eq!(
        other.standing(later + MINUTE, r),
        Standing::Quarantined(19 * MINUTE)
    );
}

#[test]
fn sweep_forgets_suspects_sooner_than_causes() {
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
    // What is that old isn't taken in again from a VM that still has it.
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
fn flood_of_one_caller_pushes_out_its_own() {
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
    assert!(is_held(&q, now, cause));
    assert_eq!(q.standing(now, suspect), Standing::Suspect);
}

#[test]
fn request_that_runs_elsewhere_isnt_suspect() {
    let (mut a, mut b) = (Quarantine::default(), Quarantine::default());
    let (now, r) = (Instant::now(), request(1, 1));
    let later = now + Duration::from_secs(30);
    a.record_answer(now, r);
    // All endpoints that run what many callers ask for crash at once, as one VM sees it.
    for n in 0..3 {
        crash(&mut b, later, r, n);
    }
    assert!(is_held(&b, later, r));
    // A VM that has seen it run says so.
    let told = b.record(later, r).expect("it is known");
    assert!(!a.merge(later, &told).is_quarantined);
    assert_eq!(a.standing(later, r), Standing::Clear);
    b.merge(later, &a.record(later, r).expect("it is known"));
    assert_eq!(b.standing(later, r), Standing::Clear);
    // A minute after its last answer that says nothing any more.
    crash(&mut a, now + MINUTE, r, 9);
    assert_eq!(a.standing(now + MINUTE, r), Standing::Suspect);
}

#[test]
fn take_told_says_early_crashes_three_times_and_late_ones_once() {
    let (mut q, now) = (Quarantine::default(), Instant::now());
    for n in 0..20 {
        crash(&mut q, now, request(1, n), n);
        q.record_crash(now, (request(2, n), origin(2)), start(n), Timing::Late);
    }
    let (mut own_zone, mut other_zones) = (0, 0);
    for _ in 0..10 {
        let told = q.take_batch(now);
        assert!(
            told.own_zone.len() <= 16,
            "{} in one message",
            told.own_zone.len()
        );
        own_zone += told.own_zone.len();
        other_zones += told.other_zones.len();
    }
    assert_eq!((own_zone, other_zones), (80, 80));
}

#[test]
fn merge_any_order_gives_the_same() {
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
