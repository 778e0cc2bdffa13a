//! Detects which entry VMs of a zone are alive, by heartbeats that spread through gossip.
//!
//! The platform's list lags, so each controller increments a heartbeat of its own and relays the heartbeats that it
//! received recently. A silent peer becomes suspect first and dead later. A restarted VM is another incarnation, also
//! at the same address (`docs/design/gossip.md`).

use crate::id::{Incarnation, Offset, VmName};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// The time for which a peer may be silent before it is suspect.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(2);
/// The time for which a peer may be silent before it is dead.
pub const DEAD_AFTER: Duration = Duration::from_secs(6);
/// The time for which a dead peer is remembered, so that a late heartbeat of it isn't taken for a new peer.
pub const FORGET_AFTER: Duration = Duration::from_mins(2);
/// The number of peers to which a controller sends a message at each tick.
pub const FANOUT: usize = 3;
/// The maximum number of heartbeats in one message.
pub const MAX_HEARTBEATS: usize = 24;

/// One peer's heartbeat, as it is relayed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// The peer.
    pub vm: VmName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// A counter that the peer increments while it is alive.
    pub counter: u64,
    /// The next offset of the log that it will read; it has applied everything before.
    pub next: Offset,
}

/// The presumed state of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Liveness {
    /// Its heartbeat has changed recently.
    Alive,
    /// It has been silent for a while.
    Suspect,
    /// It has been silent for long.
    Dead,
}

#[derive(Debug)]
struct Peer {
    heartbeat: Heartbeat,
    /// When the heartbeat changed last.
    changed: Instant,
    /// The number of messages that carried the heartbeat since it changed.
    sent: u32,
}

/// One controller's view of the entry VMs of its zone.
#[derive(Debug)]
pub struct Membership {
    own_vm: VmName,
    peers: BTreeMap<VmName, Peer>,
}

impl Membership {
    /// Creates a view that holds only this VM.
    #[must_use]
    pub fn new(now: Instant, own_vm: VmName, incarnation: Incarnation) -> Self {
        let heartbeat = Heartbeat {
            vm: own_vm.clone(),
            incarnation,
            counter: 0,
            next: Offset(0),
        };
        let peers = BTreeMap::from([(
            own_vm.clone(),
            Peer {
                heartbeat,
                changed: now,
                sent: 0,
            },
        )]);
        Self { own_vm, peers }
    }

    /// Increments this VM's own heartbeat and forgets peers that have been dead for long.
    pub fn tick(&mut self, now: Instant, next: Offset) {
        if let Some(p) = self.peers.get_mut(&self.own_vm) {
            p.heartbeat.counter += 1;
            p.heartbeat.next = next;
            p.changed = now;
        }
        self.peers
            .retain(|_, p| now.duration_since(p.changed) < FORGET_AFTER);
    }

    /// Applies a heartbeat if it is newer than the known one. Returns `true` if it was.
    pub fn merge(&mut self, now: Instant, h: Heartbeat) -> bool {
        if h.vm == self.own_vm {
            return false;
        }
        match self.peers.get_mut(&h.vm) {
            Some(p)
                if (h.incarnation, h.counter) <= (p.heartbeat.incarnation, p.heartbeat.counter) =>
            {
                false
            }
            Some(p) => {
                // The offset of a peer never falls within one incarnation.
                let floor = if p.heartbeat.incarnation == h.incarnation {
                    p.heartbeat.next
                } else {
                    Offset(0)
                };
                p.heartbeat = Heartbeat {
                    next: h.next.max(floor),
                    ..h
                };
                p.changed = now;
                p.sent = 0;
                true
            }
            None => {
                let peer = Peer {
                    heartbeat: h.clone(),
                    changed: now,
                    sent: 0,
                };
                self.peers.insert(h.vm, peer);
                true
            }
        }
    }

    /// Returns the heartbeats for one message: this VM's own, then those sent least often since they changed, the
    /// latest changes first. Heartbeats that the receiver has just sent itself, `known`, are left out.
    pub fn digest(&mut self, now: Instant, known: &[Heartbeat]) -> Vec<Heartbeat> {
        let known: BTreeMap<&VmName, (Incarnation, u64)> = known
            .iter()
            .map(|h| (&h.vm, (h.incarnation, h.counter)))
            .collect();
        let is_new = |h: &Heartbeat| {
            known
                .get(&h.vm)
                .is_none_or(|k| *k < (h.incarnation, h.counter))
        };
        let own_vm = &self.own_vm;
        let mut rows: Vec<&mut Peer> = self
            .peers
            .values_mut()
            .filter(|p| now.duration_since(p.changed) < DEAD_AFTER && is_new(&p.heartbeat))
            .collect();
        rows.sort_by_key(|p| {
            (
                p.heartbeat.vm != *own_vm,
                p.sent,
                std::cmp::Reverse(p.changed),
            )
        });
        rows.truncate(MAX_HEARTBEATS);
        rows.into_iter()
            .map(|p| {
                p.sent += 1;
                p.heartbeat.clone()
            })
            .collect()
    }

    /// Returns the presumed state of a peer; an unknown one is dead.
    #[must_use]
    pub fn liveness(&self, now: Instant, vm: &str) -> Liveness {
        let Some(p) = self.peers.get(vm) else {
            return Liveness::Dead;
        };
        match now.duration_since(p.changed) {
            d if d < SUSPECT_AFTER => Liveness::Alive,
            d if d < DEAD_AFTER => Liveness::Suspect,
            _ => Liveness::Dead,
        }
    }

    /// Returns the last heartbeat of a peer.
    #[must_use]
    pub fn heartbeat(&self, vm: &str) -> Option<&Heartbeat> {
        self.peers.get(vm).map(|p| &p.heartbeat)
    }

    /// Returns the heartbeats of the peers that aren't dead, including this VM, ordered by name.
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = &Heartbeat> {
        self.peers
            .values()
            .filter(move |p| now.duration_since(p.changed) < DEAD_AFTER)
            .map(|p| &p.heartbeat)
    }

    /// Returns this VM's rank among the live ones, from 0.
    #[must_use]
    pub fn rank(&self, now: Instant) -> u32 {
        let before = self.alive(now).take_while(|h| h.vm != self.own_vm).count();
        u32::try_from(before).unwrap_or(u32::MAX)
    }

    /// Returns the highest next offset of the live peers. A starting VM isn't ready before it reaches this offset.
    #[must_use]
    pub fn highest_next(&self, now: Instant) -> Offset {
        self.alive(now).map(|h| h.next).max().unwrap_or_default()
    }
}

/// Returns `true` if `own_vm` is one of the `watchers` VMs that watch a subject, chosen by rendezvous hashing.
///
/// If all VMs watched each subject, the cost per subject would grow with the zone; with a fixed number of watchers it
/// doesn't.
#[must_use]
pub fn watches<'a, I>(own_vm: &VmName, peers: I, subject: &str, watchers: usize) -> bool
where
    I: Iterator<Item = &'a VmName>,
{
    let mine = rendezvous(subject, own_vm.as_str());
    let above = peers
        .filter(|p| *p != own_vm)
        .filter(|p| rendezvous(subject, p.as_str()) > mine)
        .count();
    above < watchers
}

/// Returns the rendezvous weight of a node for a subject; the node with the highest weight owns it.
#[must_use]
pub fn rendezvous(subject: &str, node: &str) -> u64 {
    use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};
    xxh3_64_with_seed(node.as_bytes(), xxh3_64(subject.as_bytes()))
}
