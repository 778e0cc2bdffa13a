//! Decides whether a lost connection to an endpoint was caused by a crash of the endpoint.
//!
//! A connection also ends when a link is reset, when the endpoint closes it, or when an answer is malformed.
//! Interrupted requests therefore wait here until the cause is known. An endpoint has crashed if nothing listens at its
//! address any more, if another start answers there, or if its entry disappears, and it didn't announce that it leaves.

use crate::crash_record::Timing;
use crate::fingerprint::{Fingerprint, OriginTag};
use crate::instance::Instance;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// The time for which interrupted requests wait. A silent endpoint is off the platform's list after five seconds at
/// most.
const WAIT_LIMIT: Duration = Duration::from_secs(6);

/// A request that was interrupted by the end of its connection to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CutOff {
    /// The request.
    pub request: Fingerprint,
    /// The origin of the request.
    pub origin: OriginTag,
    /// The phase of the request in which it was interrupted.
    pub timing: Timing,
}

/// The state of the check whether an endpoint crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suspicion {
    /// The caller has to start probing the endpoint.
    New,
    /// A check is already in progress.
    Pending,
    /// The endpoint has crashed.
    Crashed,
}

#[derive(Debug)]
struct Watched {
    since: Instant,
    /// Whether its address is being probed.
    is_probing: bool,
    has_crashed: bool,
    cut_off: Vec<CutOff>,
}

/// The endpoints that may have crashed, with the requests that they interrupted.
#[derive(Debug, Default)]
pub struct CrashWatch {
    rows: BTreeMap<Instance, Watched>,
}

impl CrashWatch {
    /// Records that a connection to a start of an endpoint ended during a request.
    pub fn record_cut_off(&mut self, now: Instant, start: &Instance, c: CutOff) -> Suspicion {
        if let Some(row) = self.rows.get_mut(start) {
            if row.has_crashed {
                return Suspicion::Crashed;
            }
            row.cut_off.push(c);
            return Suspicion::Pending;
        }
        let row = Watched {
            since: now,
            is_probing: true,
            has_crashed: false,
            cut_off: vec![c],
        };
        self.rows.insert(start.clone(), row);
        Suspicion::New
    }

    /// Records that a start has crashed and returns the requests that it interrupted.
    pub fn record_crash(&mut self, start: &Instance) -> Vec<CutOff> {
        let Some(row) = self.rows.get_mut(start) else {
            return Vec::new();
        };
        row.has_crashed = true;
        std::mem::take(&mut row.cut_off)
    }

    /// Ends the probing of a start's address without a result: only the list can still show that it has crashed.
    pub fn end_probe(&mut self, start: &Instance) {
        if let Some(row) = self.rows.get_mut(start) {
            row.is_probing = false;
        }
    }

    /// Returns `true` if requests were interrupted at a start of which it isn't known whether it crashed.
    #[must_use]
    pub fn is_watched(&self, start: &Instance) -> bool {
        self.rows.get(start).is_some_and(|r| !r.has_crashed)
    }

    /// Returns `true` if a start's address is being probed.
    #[must_use]
    pub fn is_probing(&self, start: &Instance) -> bool {
        let row = self.rows.get(start);
        row.is_some_and(|r| r.is_probing && !r.has_crashed)
    }

    /// Drops entries that have waited for too long.
    pub fn sweep(&mut self, now: Instant) {
        self.rows
            .retain(|_, r| now.saturating_duration_since(r.since) < WAIT_LIMIT);
    }
}
