//! Tests of when a controller tries to take over its zone's lease.

mod records;

use limehollow::id::Offset;
use limehollow::lease::LeaseWatch;
use limehollow::record::Record;
use records::{TestLog, lease};
use std::time::Duration;
use tokio::time::Instant;

const TTL: Duration = Duration::from_secs(3);
const STAGGER: Duration = Duration::from_millis(400);

fn watch(own_vm: &str, incarnation: u64) -> LeaseWatch {
    LeaseWatch::new("a".into(), own_vm.into(), incarnation).with_times(TTL, STAGGER)
}

fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

#[test]
fn poll_free_lease() {
    // The first controller of the zone tries at once, the others one after the other.
    let (s, t) = (TestLog::default(), Instant::now());
    let first = watch("vm-1", 1)
        .poll(t, &s.fleet, 0)
        .expect("nobody holds it");
    assert_eq!((first.holder.as_str(), first.replaces), ("vm-1", None));
    let mut third = watch("vm-3", 1);
    assert_eq!(third.poll(t, &s.fleet, 2), None);
    assert!(third.poll(t + secs(0.8), &s.fleet, 2).is_some());
}

#[test]
fn poll_silent_holder() {
    let mut s = TestLog::default();
    let epoch = s.ok(lease("vm-1", None));
    let t = Instant::now();
    let mut w = watch("vm-2", 1);
    assert_eq!(w.poll(t, &s.fleet, 1), None);
    w.record_holder_alive(t + secs(2.0), &s.fleet);
    assert_eq!(
        w.poll(t + secs(5.0), &s.fleet, 1),
        None,
        "3 s of silence and the stagger are not over"
    );
    let takeover = w
        .poll(t + secs(5.4), &s.fleet, 1)
        .expect("the holder is silent");
    assert_eq!(takeover.replaces, Some(epoch));
    // The append may be lost: it is retried, but not at once.
    assert_eq!(w.poll(t + secs(6.0), &s.fleet, 1), None);
    assert!(w.poll(t + secs(8.4), &s.fleet, 1).is_some());
}

#[test]
fn poll_new_holder_gets_the_whole_timeout() {
    let mut s = TestLog::default();
    s.ok(lease("vm-1", None));
    let t = Instant::now();
    let mut w = watch("vm-3", 1);
    w.poll(t, &s.fleet, 2);
    s.ok(lease("vm-2", Some(0)));
    assert_eq!(
        w.poll(t + secs(10.0), &s.fleet, 2),
        None,
        "the silence was that of another holder"
    );
}

#[test]
fn poll_own_earlier_incarnation() {
    // A restarted controller doesn't wait for its former incarnation.
    let mut s = TestLog::default();
    s.ok(lease("vm-1", None));
    let mut w = watch("vm-1", 2);
    assert!(!w.holds_lease(&s.fleet));
    assert!(w.poll(Instant::now(), &s.fleet, 0).is_some());
}

#[test]
fn poll_race() {
    // Two controllers try at the same time: the order of the log decides, and both see the same holder.
    let mut s = TestLog::default();
    s.ok(lease("vm-0", None));
    let t = Instant::now();
    let (mut one, mut two) = (watch("vm-1", 1), watch("vm-2", 1));
    one.poll(t, &s.fleet, 0);
    two.poll(t, &s.fleet, 0);
    let a = one.poll(t + secs(3.0), &s.fleet, 0).expect("silent");
    let b = two.poll(t + secs(3.0), &s.fleet, 0).expect("silent");
    s.ok(Record::LeaseTaken(b));
    s.void(Record::LeaseTaken(a));
    assert!(two.holds_lease(&s.fleet) && !one.holds_lease(&s.fleet));
    assert_eq!(s.fleet.epoch(&"a".into()), Some(Offset(1)));
}
