//! Which entry VMs of a zone live, by heartbeats that spread from peer to peer.
//!
//! The platform's list lags, so each controller counts up a heartbeat of its own and passes on what
//! it has heard lately. Silence makes a peer suspect first and dead later; a restarted VM is another
//! incarnation, also at the same address (`docs/design/gossip.md`).

use crate::id::{Incarnation, Offset, VmName};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// How long a peer may be silent before it is suspect.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(2);
/// How long a peer may be silent before it is dead.
pub const DEAD_AFTER: Duration = Duration::from_secs(6);
/// How long a dead peer is remembered, so that late news of it isn't taken for a new life.
pub const FORGET_AFTER: Duration = Duration::from_mins(2);
/// To how many peers a controller speaks at each tick.
pub const FANOUT: usize = 3;
/// The most heartbeats in one message.
pub const MAX_HEARTBEATS: usize = 24;

/// One peer's heartbeat, as it is passed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// The peer.
    pub vm: VmName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Counts up while the peer lives.
    pub counter: u64,
    /// The next offset that it will read: what it has in force is the one before.
    pub next: Offset,
}

/// How a peer is taken to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Liveness {
    /// It was heard of lately.
    Alive,
    /// It has been silent for a while.
    Suspect,
    /// It has been silent for long.
    Dead,
}

#[derive(Debug)]
struct Peer {
    heartbeat: Heartbeat,
    changed: Instant,
    /// How often it was put into a message since it changed.
    told: u32,
}

/// The entry VMs of one zone, as one controller has heard.
#[derive(Debug)]
pub struct Membership {
    me: VmName,
    peers: BTreeMap<VmName, Peer>,
}

impl Membership {
    /// Starts with only this VM known.
    #[must_use]
    pub fn new(now: Instant, me: VmName, incarnation: Incarnation) -> Self {
        let heartbeat = Heartbeat {
            vm: me.clone(),
            incarnation,
            counter: 0,
            next: Offset(0),
        };
        let peers = BTreeMap::from([(
            me.clone(),
            Peer {
                heartbeat,
                changed: now,
                told: 0,
            },
        )]);
        Self { me, peers }
    }

    /// Counts up this VM's own heartbeat and forgets those long dead.
    pub fn tick(&mut self, now: Instant, next: Offset) {
        if let Some(p) = self.peers.get_mut(&self.me) {
            p.heartbeat.counter += 1;
            p.heartbeat.next = next;
            p.changed = now;
        }
        self.peers
            .retain(|_, p| now.duration_since(p.changed) < FORGET_AFTER);
    }

    /// Takes in a heartbeat, if it is newer than the one that is known.
    ///
    /// Gives whether it was news.
    pub fn merge(&mut self, now: Instant, h: Heartbeat) -> bool {
        if h.vm == self.me {
            return false;
        }
        match self.peers.get_mut(&h.vm) {
            Some(p)
                if (h.incarnation, h.counter) <= (p.heartbeat.incarnation, p.heartbeat.counter) =>
            {
                false
            }
            Some(p) => {
                // What a peer has in force never falls within one life of it.
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
                p.told = 0;
                true
            }
            None => {
                let peer = Peer {
                    heartbeat: h.clone(),
                    changed: now,
                    told: 0,
                };
                self.peers.insert(h.vm, peer);
                true
            }
        }
    }

    /// Gives the heartbeats for one message: this VM's own, then those that were told least since
    /// they changed, the latest changes first. What the receiver has just said itself is left out.
    pub fn digest(&mut self, now: Instant, known: &[Heartbeat]) -> Vec<Heartbeat> {
        let known: BTreeMap<&VmName, (Incarnation, u64)> = known
            .iter()
            .map(|h| (&h.vm, (h.incarnation, h.counter)))
            .collect();
        let is_news = |h: &Heartbeat| {
            known
                .get(&h.vm)
                .is_none_or(|k| *k < (h.incarnation, h.counter))
        };
        let me = &self.me;
        let mut rows: Vec<&mut Peer> = self
            .peers
            .values_mut()
            .filter(|p| now.duration_since(p.changed) < DEAD_AFTER && is_news(&p.heartbeat))
            .collect();
        rows.sort_by_key(|p| (p.heartbeat.vm != *me, p.told, std::cmp::Reverse(p.changed)));
        rows.truncate(MAX_HEARTBEATS);
        rows.into_iter()
            .map(|p| {
                p.told += 1;
                p.heartbeat.clone()
            })
            .collect()
    }

    /// Gives how a peer is taken to be; an unknown one is dead.
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

    /// Gives the last heartbeat of a peer.
    #[must_use]
    pub fn heartbeat(&self, vm: &str) -> Option<&Heartbeat> {
        self.peers.get(vm).map(|p| &p.heartbeat)
    }

    /// Gives the peers that aren't dead, this VM among them, in order of name.
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = &Heartbeat> {
        self.peers
            .values()
            .filter(move |p| now.duration_since(p.changed) < DEAD_AFTER)
            .map(|p| &p.heartbeat)
    }

    /// Gives this VM's place among the live ones, from 0.
    #[must_use]
    pub fn rank(&self, now: Instant) -> u32 {
        let before = self.alive(now).take_while(|h| h.vm != self.me).count();
        u32::try_from(before).unwrap_or(u32::MAX)
    }

    /// Gives the highest next offset that a live peer has: a VM that starts isn't ready below it.
    #[must_use]
    pub fn highest_next(&self, now: Instant) -> Offset {
        self.alive(now).map(|h| h.next).max().unwrap_or_default()
    }
}

/// Tells whether one of a few watchers of a subject is `me`, by rendezvous hash.
///
/// Watching by all would cost each VM a message per subject; watching by a few costs the same
/// however large the zone grows.
#[must_use]
pub fn watches<'a, I>(me: &VmName, peers: I, subject: &str, watchers: usize) -> bool
where
    I: Iterator<Item = &'a VmName>,
{
    let mine = rendezvous(subject, me.as_str());
    let above = peers
        .filter(|p| *p != me)
        .filter(|p| rendezvous(subject, p.as_str()) > mine)
        .count();
    above < watchers
}

/// Gives the weight of a node for a subject; the node with the highest weight owns it.
#[must_use]
pub fn rendezvous(subject: &str, node: &str) -> u64 {
    use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};
    xxh3_64_with_seed(node.as_bytes(), xxh3_64(subject.as_bytes()))
}
