//! Tests of [`Replay`]: gaps, snapshots and repeated entries.

mod records;

use limehollow::id::{LogTime, Offset};
use limehollow::record::{Content, Entry, Record};
use limehollow::replay::Replay;
use records::{TestLog, intent, lease, model, seen};

/// A log of ten records and, at offset 10, a snapshot of the state up to offset 8.
fn log() -> Vec<Entry> {
    let records = [
        lease("vm-1", None),
        seen("e1", true, 1, Vec::new()),
        seen("e2", false, 1, Vec::new()),
        Record::Intent(intent(vec![model("m", "1", 10)])),
        lease("vm-2", Some(0)),
        lease("vm-3", Some(4)),
        lease("vm-4", Some(4)),
        lease("vm-5", Some(5)),
        lease("vm-6", Some(7)),
        lease("vm-7", Some(8)),
    ];
    let mut entries: Vec<Entry> = (0..)
        .zip(records)
        .map(|(i, r)| entry(i, Content::Record(r)))
        .collect();
    let mut test_log = TestLog::default();
    for e in entries.iter().take(8) {
        if let Content::Record(r) = &e.content {
            let _void = test_log.fleet.apply(e.offset, e.at, r);
        }
    }
    let snapshot = Content::Snapshot {
        next: Offset(8),
        fleet: Box::new(test_log.fleet),
    };
    entries.push(entry(10, snapshot));
    entries.push(entry(11, Content::Record(lease("vm-8", Some(9)))));
    entries
}

fn entry(offset: u64, content: Content) -> Entry {
    Entry {
        offset: Offset(offset),
        at: LogTime(offset * 100),
        content,
    }
}

fn push_all<'e, I>(r: &mut Replay, entries: I)
where
    I: IntoIterator<Item = &'e Entry>,
{
    for e in entries {
        r.push_entry(e.clone());
    }
}

fn full() -> Replay {
    let mut r = Replay::default();
    push_all(&mut r, &log());
    r
}

#[test]
fn push_entry_from_any_offset() {
    // However many entries below the snapshot's offset the log has dropped, the final state is the same.
    for retained_from in 0..=8 {
        let mut r = Replay::default();
        push_all(&mut r, &log()[retained_from..]);
        assert!(!r.has_gap(), "retained from {retained_from}");
        assert_eq!(r.fleet(), full().fleet(), "retained from {retained_from}");
    }
}

#[test]
fn push_entry_snapshot_below_gap() {
    // A snapshot up to offset 8 doesn't cover the gap if the log begins at 9.
    let mut r = Replay::default();
    push_all(&mut r, &log()[9..]);
    assert!(r.has_gap());
    // The snapshot is applied, but no entry beyond the gap.
    assert_eq!(r.fleet().next_offset(), Offset(8));
}

#[test]
fn feed_sleeping_reader() {
    // A reader was paused while the log dropped the entries that it needed next.
    let log = log();
    let mut r = Replay::default();
    push_all(&mut r, &log[..3]);
    push_all(&mut r, &log[6..10]);
    assert!(r.has_gap());
    assert_eq!(r.fleet().next_offset(), Offset(3));
    push_all(&mut r, &log[10..]);
    assert_eq!(r.fleet(), full().fleet());
}

#[test]
fn push_entry_twice() {
    let mut r = full();
    let before = r.fleet().clone();
    push_all(&mut r, &log());
    assert_eq!(*r.fleet(), before);
}

#[test]
fn push_entry_unknown_record() {
    let mut r = Replay::default();
    r.push_entry(entry(0, Content::Record(lease("vm-1", None))));
    r.push_entry(entry(1, Content::Unknown));
    r.push_entry(entry(2, Content::Record(lease("vm-2", Some(0)))));
    assert_eq!(r.fleet().next_offset(), Offset(3));
    assert_eq!(r.fleet().void_and_unread(), (0, 1));
    assert_eq!(r.fleet().epoch(&"a".into()), Some(Offset(2)));
}

#[test]
fn install_snapshot_older() {
    let mut old = Replay::default();
    push_all(&mut old, &log()[..4]);
    let mut r = full();
    let before = r.fleet().clone();
    r.install_snapshot_and_replay(Offset(4), old.fleet().clone());
    assert_eq!(*r.fleet(), before);
}

#[test]
fn install_snapshot_from_peer_over_gap() {
    let log = log();
    let mut peer = Replay::default();
    push_all(&mut peer, &log[..10]);
    let mut r = Replay::default();
    push_all(&mut r, &log[9..]);
    assert!(r.has_gap());
    r.install_snapshot_and_replay(Offset(10), peer.fleet().clone());
    assert!(!r.has_gap());
    assert_eq!(
        r.fleet().epoch(&"a".into()),
        full().fleet().epoch(&"a".into())
    );
}

#[test]
fn snapshot_due_by_records() {
    // A snapshot is due after 500 records, or five per endpoint in a large fleet.
    for (endpoints, every) in [(0, 500), (300, 1_500)] {
        let mut r = Replay::default();
        r.push_entry(entry(0, Content::Record(lease("vm-1", None))));
        for n in 1..=endpoints {
            r.push_entry(entry(
                n,
                Content::Record(seen(&format!("e{n}"), true, 1, Vec::new())),
            ));
        }
        for n in endpoints + 1..every - 1 {
            r.push_entry(entry(n, Content::Unknown));
        }
        assert!(!r.snapshot_is_due(u64::MAX), "{endpoints} endpoints");
        r.push_entry(entry(every - 1, Content::Unknown));
        assert!(r.snapshot_is_due(u64::MAX), "{endpoints} endpoints");
    }
}

#[test]
fn snapshot_due_by_age() {
    let mut r = Replay::default();
    r.push_entry(entry(0, Content::Record(lease("vm-1", None))));
    r.push_entry(entry(1, Content::Record(lease("vm-2", Some(0)))));
    assert!(!r.snapshot_is_due(600));
    r.push_entry(entry(9, Content::Unknown));
    assert!(!r.snapshot_is_due(600), "not over a gap");
    let mut r = Replay::default();
    for i in 0..9 {
        r.push_entry(entry(i, Content::Unknown));
    }
    assert!(
        r.snapshot_is_due(600),
        "a third of the retention has passed"
    );
}
