//! What tells an endpoint's crash from the end of a connection.

use limehollow::crash_record::Timing;
use limehollow::crash_watch::{CrashWatch, CutOff, Suspicion};
use limehollow::fingerprint::{Fingerprint, Identity};
use limehollow::instance::Instance;
use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;
use tokio::time::Instant;

fn cut_off(n: u8) -> CutOff {
    let request = Fingerprint::of(&Identity {
        caller: "",
        method: "POST",
        host: "portal.example",
        path: "/",
        body: &[n],
    });
    CutOff {
        request,
        origin: IpAddr::V4(Ipv4Addr::LOCALHOST).into(),
        timing: Timing::Early,
    }
}

#[test]
fn cut_off_waits_until_endpoint_is_found_crashed() {
    let (mut w, now, i) = (CrashWatch::default(), Instant::now(), Instance::from("i-1"));
    assert_eq!(w.record_cut_off(now, &i, cut_off(1)), Suspicion::New);
    assert_eq!(w.record_cut_off(now, &i, cut_off(2)), Suspicion::Pending);
    assert!(w.is_probing(&i));
    assert_eq!(w.record_crash(&i), [cut_off(1), cut_off(2)]);
    assert!(!w.is_probing(&i));
    // Connections whose ends are seen later ended with it too, and nothing counts twice.
    assert_eq!(w.record_cut_off(now, &i, cut_off(3)), Suspicion::Crashed);
    assert!(w.record_crash(&i).is_empty());
}

#[test]
fn cut_off_where_somebody_listens_waits_for_the_list() {
    let (mut w, now, i) = (CrashWatch::default(), Instant::now(), Instance::from("i-1"));
    w.record_cut_off(now, &i, cut_off(1));
    w.end_probe(&i);
    // Nothing waits for it any more, and the list may still say that it went.
    assert!(!w.is_probing(&i));
    assert_eq!(w.record_cut_off(now, &i, cut_off(2)), Suspicion::Pending);
    assert_eq!(w.record_crash(&i), [cut_off(1), cut_off(2)]);
}

#[test]
fn cut_off_of_another_start_isnt_mixed_up() {
    let (mut w, now) = (CrashWatch::default(), Instant::now());
    let of = |born| Instance {
        id: "i-1".into(),
        born: Some(born),
    };
    w.record_cut_off(now, &of(1), cut_off(1));
    assert!(w.record_crash(&of(2)).is_empty());
    assert_eq!(w.record_crash(&of(1)), [cut_off(1)]);
}

#[test]
fn sweep_gives_up_after_the_list_would_have_said() {
    let (mut w, now, i) = (CrashWatch::default(), Instant::now(), Instance::from("i-1"));
    w.record_cut_off(now, &i, cut_off(1));
    w.sweep(now + Duration::from_secs(5));
    assert!(w.is_probing(&i));
    w.sweep(now + Duration::from_secs(6));
    assert!(w.record_crash(&i).is_empty());
}
