//! VMs that gave no answer lately, and aren't asked again for a while.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// What a VM was asked. Each is waited for another time, so a VM that was too slow for one may do for another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Duty {
    /// Tokens of a workspace.
    Tokens,
    /// A request's room at an endpoint that names a limit.
    Room,
    /// Where a request goes.
    Places,
}

/// Until when VMs aren't asked that were silent.
#[derive(Debug, Default)]
pub struct UnresponsiveVms {
    until: BTreeMap<(Duty, SocketAddr), Instant>,
}

impl UnresponsiveVms {
    /// Notes that a VM was silent, so that it isn't asked for some time.
    pub(crate) fn note(&mut self, now: Instant, duty: Duty, vm: SocketAddr, time: Duration) {
        self.until.retain(|_, until| now < *until);
        self.until.insert((duty, vm), now + time);
    }

    /// Tells whether a VM isn't to be asked now.
    pub(crate) fn contains(&self, now: Instant, duty: Duty, vm: SocketAddr) -> bool {
        self.until
            .get(&(duty, vm))
            .is_some_and(|until| now < *until)
    }
}
