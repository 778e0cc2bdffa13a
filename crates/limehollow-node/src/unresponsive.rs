//! Records the VMs that didn't answer a query lately, so that they aren't queried again for a while.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// The kind of a query. Each kind has its own timeout, so a VM that was too slow for one kind may be fast enough for
/// another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum QueryKind {
    /// Asks for tokens of a workspace's limit.
    WorkspaceTokens,
    /// Asks for tokens of a limit that an endpoint states.
    EndpointTokens,
    /// Asks for the endpoint of a request.
    Assignment,
    /// Asks for a slot of a brittle endpoint.
    Slot,
    /// Passes a request on.
    Request,
}

/// The VMs that didn't answer a query, and until when they aren't queried.
#[derive(Debug, Default)]
pub struct UnresponsiveVms {
    until: BTreeMap<(QueryKind, SocketAddr), Instant>,
}

impl UnresponsiveVms {
    /// Records that a VM didn't answer, so that it isn't queried for `time`.
    pub(crate) fn record(&mut self, now: Instant, kind: QueryKind, vm: SocketAddr, time: Duration) {
        self.until.retain(|_, until| now < *until);
        self.until.insert((kind, vm), now + time);
    }

    /// Returns `true` if a VM must not be queried at present.
    pub(crate) fn contains(&self, now: Instant, kind: QueryKind, vm: SocketAddr) -> bool {
        self.until
            .get(&(kind, vm))
            .is_some_and(|until| now < *until)
    }
}
