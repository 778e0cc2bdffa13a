//! VMs that gave no answer lately, and aren't asked again for a while.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// What a VM was asked. Each is waited for another time, so a VM that was too slow for one may do for another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum QueryKind {
    /// Tokens of a workspace.
    WorkspaceTokens,
    /// A request's room at an endpoint that names a limit.
    EndpointTokens,
    /// Where a request goes.
    Assignment,
}

/// Until when VMs aren't asked that were silent.
#[derive(Debug, Default)]
pub struct UnresponsiveVms {
    until: BTreeMap<(QueryKind, SocketAddr), Instant>,
}

impl UnresponsiveVms {
    /// Notes that a VM was silent, so that it isn't asked for some time.
    pub(crate) fn note(&mut self, now: Instant, kind: QueryKind, vm: SocketAddr, time: Duration) {
        self.until.retain(|_, until| now < *until);
        self.until.insert((kind, vm), now + time);
    }

    /// Tells whether a VM isn't to be asked now.
    pub(crate) fn contains(&self, now: Instant, kind: QueryKind, vm: SocketAddr) -> bool {
        self.until
            .get(&(kind, vm))
            .is_some_and(|until| now < *until)
    }
}
