//! The controller's reports that are to be sent to the other VMs.
//!
//! While demand shifts, a site sees dozens of orders a second, and each changes the holdings of an
//! endpoint. A message carries only some of the reports. Each report goes into the same number of messages,
//! those sent least often first, so that reports on one endpoint don't displace those on another.

use limehollow::roster::HoldingsReport;
use smol_str::SmolStr;
use std::collections::BTreeMap;

/// The number of messages that carry a report: some datagrams in a row may be lost.
const SEND_COUNT: u32 = 5;
/// The largest number of reports in one message, so that the message fits in few packets.
const MAX_REPORTS: usize = 24;

#[derive(Debug)]
struct PendingReport {
    /// The number of messages that carried the report.
    sent: u32,
    /// A sequence number by which older reports go first.
    number: u64,
    report: HoldingsReport,
}

/// The reports that are still to be sent.
#[derive(Debug, Default)]
pub struct Outbox {
    rows: BTreeMap<SmolStr, PendingReport>,
    last: u64,
}

impl Outbox {
    /// Adds a report, replacing an earlier one on the same endpoint.
    pub fn add(&mut self, report: HoldingsReport) {
        self.last += 1;
        let row = PendingReport {
            sent: 0,
            number: self.last,
            report: report.clone(),
        };
        self.rows.insert(report.instance.id, row);
    }

    /// Returns the reports for the next message, and counts them as sent.
    pub fn next_batch(&mut self) -> Vec<HoldingsReport> {
        let mut due: Vec<&mut PendingReport> = self.rows.values_mut().collect();
        due.sort_by_key(|r| (r.sent, r.number));
        due.truncate(MAX_REPORTS);
        let mark_sent = |r: &mut PendingReport| {
            r.sent += 1;
            r.report.clone()
        };
        let out = due.into_iter().map(mark_sent).collect();
        self.rows.retain(|_, r| r.sent < SEND_COUNT);
        out
    }
}
