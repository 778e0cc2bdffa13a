//! What the controller has found out and the other VMs are to hear.
//!
//! A site under a shift of demand sees dozens of orders a second, and each changes what some endpoint holds. A
//! message carries some of that. Each report goes into the same number of messages, the ones that were said
//! least often first, so that news of one endpoint doesn't push out that of another.

use limehollow::roster::HoldingsReport;
use smol_str::SmolStr;
use std::collections::BTreeMap;

/// How often a report is said: some datagrams in a row may be lost.
const TIMES: u32 = 5;
/// Reports in one message at most, so that it fits in few packets.
const MAX_REPORTS: usize = 24;

#[derive(Debug)]
struct Row {
    /// In how many messages it was.
    said: u32,
    /// The order in which reports came.
    number: u64,
    report: HoldingsReport,
}

/// The reports that are still to be said.
#[derive(Debug, Default)]
pub struct Outbox {
    rows: BTreeMap<SmolStr, Row>,
    last: u64,
}

impl Outbox {
    /// Adds a report, in the place of an earlier one of the same endpoint.
    pub fn add(&mut self, report: HoldingsReport) {
        self.last += 1;
        let row = Row {
            said: 0,
            number: self.last,
            report: report.clone(),
        };
        self.rows.insert(report.instance.id, row);
    }

    /// Takes the reports that go into the next message.
    pub fn next_batch(&mut self) -> Vec<HoldingsReport> {
        let mut due: Vec<&mut Row> = self.rows.values_mut().collect();
        due.sort_by_key(|r| (r.said, r.number));
        due.truncate(MAX_REPORTS);
        let say = |r: &mut Row| {
            r.said += 1;
            r.report.clone()
        };
        let out = due.into_iter().map(say).collect();
        self.rows.retain(|_, r| r.said < TIMES);
        out
    }
}
