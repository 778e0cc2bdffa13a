//! Whether a connection that ended shows that its endpoint did.
//!
//! A connection to an endpoint also ends when a link is reset, when the endpoint closes it, or when it spoils an answer.
//! So the requests that were cut off wait here until it is known: a crash is when nobody listens at the endpoint's
//! address any more, another start answers there, or its entry goes, without its having said that it leaves.

use crate::crash_record::Timing;
use crate::fingerprint::{Fingerprint, OriginTag};
use crate::instance::Instance;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// For how long it is waited: an endpoint that is silent is off the platform's list after five seconds at most.
const WAITED_FOR: Duration = Duration::from_secs(6);

/// A request whose connection to an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CutOff {
    /// The request.
    pub request: Fingerprint,
    /// Where it came from.
    pub origin: OriginTag,
    /// When in its run that was.
    pub timing: Timing,
}

/// What is to be done about a connection that ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suspicion {
    /// It is to be found out whether the endpoint lives.
    New,
    /// That is under way.
    Pending,
    /// The endpoint has crashed.
    Crashed,
}

#[derive(Debug)]
struct Watched {
    since: Instant,
    /// Whether its address is being asked.
    is_probing: bool,
    has_crashed: bool,
    cut_off: Vec<CutOff>,
}

/// The endpoints that may have crashed.
#[derive(Debug, Default)]
pub struct CrashWatch {
    rows: BTreeMap<Instance, Watched>,
}

impl CrashWatch {
    /// Notes that a connection to a start of an endpoint ended under a request.
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

    /// Notes that a start has ended. Gives the requests that were cut off by it.
    pub fn record_crash(&mut self, start: &Instance) -> Vec<CutOff> {
        let Some(row) = self.rows.get_mut(start) else {
            return Vec::new();
        };
        row.has_crashed = true;
        std::mem::take(&mut row.cut_off)
    }

    /// Notes that nothing more is to be had from a start's address: unless the list says so, it hasn't crashed.
    pub fn end_probe(&mut self, start: &Instance) {
        if let Some(row) = self.rows.get_mut(start) {
            row.is_probing = false;
        }
    }

    /// Tells whether a start's address is being asked.
    #[must_use]
    pub fn is_probing(&self, start: &Instance) -> bool {
        let row = self.rows.get(start);
        row.is_some_and(|r| r.is_probing && !r.has_crashed)
    }

    /// Forgets what was too long ago.
    pub fn sweep(&mut self, now: Instant) {
        self.rows
            .retain(|_, r| now.saturating_duration_since(r.since) < WAITED_FOR);
    }
}
