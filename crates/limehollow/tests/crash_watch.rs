//! Tests of how an endpoint's crash is told from the end of a connection.

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
fn cut_off_waits_until_a_crash_is_found() {
    let (mut w, now, i) = (CrashWatch::default(), Instant::now(), Instance::from("i-1"));
    assert_eq!(w.record_cut_off(now, &i, cut_off(1)), Suspicion::New);
    assert_eq!(w.record_cut_off(now, &i, cut_off(2)), Suspicion::Pending);
    assert!(w.is_probing(&i));
    assert_eq!(w.record_crash(&i), [cut_off(1), cut_off(2)]);
    assert!(!w.is_probing(&i));
    // Connections whose ends are noticed later ended with the crash too, and no request counts twice.
    assert_eq!(w.record_cut_off(now, &i, cut_off(3)), Suspicion::Crashed);
    assert!(w.record_crash(&i).is_empty());
}

#[test]
fn cut_off_from_a_listening_endpoint_waits_for_the_list() {
    let (mut w, now, i) = (CrashWatch::default(), Instant::now(), Instance::from("i-1"));
    w.record_cut_off(now, &i, cut_off(1));
    w.end_probe(&i);
    // The probing is over, but the list may still show that the endpoint is gone.
    assert!(!w.is_probing(&i));
    assert_eq!(w.record_cut_off(now, &i, cut_off(2)), Suspicion::Pending);
    assert_eq!(w.record_crash(&i), [cut_off(1), cut_off(2)]);
}

#[test]
fn cut_off_counts_for_its_own_start_only() {
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
fn sweep_drops_requests_once_the_list_would_have_changed() {
    let (mut w, now, i) = (CrashWatch::default(), Instant::now(), Instance::from("i-1"));
    w.record_cut_off(now, &i, cut_off(1));
    w.sweep(now + Duration::from_secs(5));
    assert!(w.is_probing(&i));
    w.sweep(now + Duration::from_secs(6));
    assert!(w.record_crash(&i).is_empty());
}
