//! VMs that gave no answer lately, and aren't asked again for a while.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Until when VMs aren't asked that were silent.
#[derive(Debug, Default)]
pub struct Silences {
    until: BTreeMap<SocketAddr, Instant>,
}

impl Silences {
    /// Notes that a VM was silent, so that it isn't asked for some time.
    pub(crate) fn note(&mut self, now: Instant, vm: SocketAddr, time: Duration) {
        self.until.retain(|_, until| now < *until);
        self.until.insert(vm, now + time);
    }

    /// Tells whether a VM isn't to be asked now.
    pub(crate) fn contains(&self, now: Instant, vm: SocketAddr) -> bool {
        self.until.get(&vm).is_some_and(|until| now < *until)
    }
}
