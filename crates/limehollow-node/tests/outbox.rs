//! Which reports of the controller go into a message.

use limehollow::roster::{Holdings, HoldingsReport};
use limehollow_node::outbox::Outbox;
use smol_str::{SmolStr, format_smolstr};
use std::collections::BTreeMap;

fn report(i: usize, orders_taken: u64) -> HoldingsReport {
    HoldingsReport {
        instance: format_smolstr!("i-{i}").into(),
        holdings: Holdings::new(),
        orders_taken,
    }
}

#[test]
fn next_batch_sends_all_equally_often() {
    // A hundred endpoints change at once: no report is displaced by the others.
    let mut outbox = Outbox::default();
    for i in 0..100 {
        outbox.add(report(i, 1));
    }
    let mut sent: BTreeMap<SmolStr, usize> = BTreeMap::new();
    loop {
        let reports = outbox.next_batch();
        if reports.is_empty() {
            break;
        }
        for r in reports {
            *sent.entry(r.instance.id).or_default() += 1;
        }
    }
    assert_eq!(sent.len(), 100);
    assert!(sent.values().all(|n| *n == 5), "{sent:?}");
}

#[test]
fn next_batch_new_reports_do_not_displace_an_old_one() {
    // As many new reports come before each message as fit into one.
    let mut outbox = Outbox::default();
    outbox.add(report(0, 1));
    let mut was_sent = false;
    for round in 0..4 {
        for i in 1..=24 {
            outbox.add(report(round * 24 + i, 1));
        }
        was_sent |= outbox.next_batch().contains(&report(0, 1));
    }
    assert!(was_sent);
}

#[test]
fn next_batch_new_report_replaces_the_old() {
    let mut outbox = Outbox::default();
    outbox.add(report(1, 1));
    assert_eq!(outbox.next_batch(), [report(1, 1)]);
    outbox.add(report(1, 2));
    assert_eq!(outbox.next_batch(), [report(1, 2)]);
}

#[test]
fn next_batch_empty() {
    assert_eq!(Outbox::default().next_batch(), []);
}
