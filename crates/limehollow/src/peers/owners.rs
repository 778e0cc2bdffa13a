//! Which VMs store a record that must outlive the VM that made it.
//!
//! The owners of a record are found by rendezvous hashing over the VMs of a zone: each VM ranks them alike, and a VM that
//! comes or goes changes the owners of its own share of the records only. So a record costs a few messages however many
//! VMs there are, and so does the question for it.

use super::{PEER_TIMEOUT, Peer, Peers, ZONE_TIMEOUT};
use crate::id::ZoneName;
use smol_str::SmolStr;
use std::cmp::Reverse;
use std::net::SocketAddr;
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

/// The number of owners in the own zone, to which callers come back.
const OWN_ZONE_OWNERS: usize = 2;
/// The number of owners in another zone, for when the own zone is lost.
const OTHER_ZONE_OWNERS: usize = 2;
/// The number of owners in all.
const OWNERS: usize = OWN_ZONE_OWNERS + OTHER_ZONE_OWNERS;
/// The number of VMs of a zone that are asked: the owners, and one in case views differ by one VM. The VM that made the
/// record ranks all but itself.
const ASKED_IN_ZONE: usize = OWN_ZONE_OWNERS + 1;

/// A VM that stores a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Owner {
    /// The address at which it receives datagrams.
    pub address: SocketAddr,
    /// The known start of its process, by which a start without its records is noticed; `None` if no message of it
    /// arrives here, as from other zones.
    pub start: Option<u64>,
}

/// Returns the weight by which VMs or zones are ranked for a record.
fn weight(name: &str, record: &[u8]) -> u64 {
    let mut h = Xxh3::new();
    h.update(name.as_bytes());
    h.update(&[0]);
    h.update(record);
    h.digest()
}

impl Peers {
    /// Returns the other VMs that this VM has to tell of a record: some of the own zone, and some of another one.
    #[must_use]
    pub fn owners(&self, now: Instant, record: &[u8]) -> Vec<Owner> {
        let mut owners = self.first_in_own_zone(now, record, OWN_ZONE_OWNERS);
        for zone in self.ranked_zones(now, record) {
            let missing = OWNERS - owners.len();
            if missing == 0 {
                break;
            }
            owners.extend(self.first_in_zone(zone, record, missing.min(OTHER_ZONE_OWNERS)));
        }
        owners
    }

    /// Returns the VMs of the own zone that may have been told of a record.
    #[must_use]
    pub fn possible_owners_here(&self, now: Instant, record: &[u8]) -> Vec<SocketAddr> {
        let owners = self.first_in_own_zone(now, record, ASKED_IN_ZONE);
        owners.into_iter().map(|o| o.address).collect()
    }

    /// Returns the VMs of the other zones that may have been told of a record.
    #[must_use]
    pub fn possible_owners_elsewhere(&self, now: Instant, record: &[u8]) -> Vec<SocketAddr> {
        let zones = self.ranked_zones(now, record).into_iter();
        let owners = zones.flat_map(|zone| self.first_in_zone(zone, record, ASKED_IN_ZONE));
        owners.map(|o| o.address).collect()
    }

    /// Returns the first owners of the VMs of the own zone that are alive or may be starting.
    fn first_in_own_zone(&self, now: Instant, record: &[u8], most: usize) -> Vec<Owner> {
        let in_zone = self.rows.iter().filter(|(_, p)| p.zone == self.zone);
        first(in_zone.filter(|(_, p)| p.is_present(now)), record, most)
    }

    /// Returns the first owners of another zone. Which VMs are alive there isn't known here.
    fn first_in_zone(&self, zone: &ZoneName, record: &[u8], most: usize) -> Vec<Owner> {
        let in_zone = self.rows.iter().filter(|(_, p)| p.zone == *zone);
        first(in_zone, record, most)
    }

    /// Returns a number that changes with the VMs that may be owners, as far as this VM sees it.
    #[must_use]
    pub fn owners_digest(&self, now: Instant) -> u64 {
        let mut h = Xxh3::new();
        let present = self.rows.iter().filter(|(_, p)| p.is_present(now));
        for (name, p) in present.filter(|(_, p)| p.zone == self.zone) {
            h.update(name.as_bytes());
            h.update(&p.starts.front().copied().unwrap_or(0).to_le_bytes());
        }
        for zone in self.ranked_zones(now, &[]) {
            h.update(zone.as_str().as_bytes());
        }
        h.update(&self.rows.len().to_le_bytes());
        h.digest()
    }

    /// Returns the other zones from which messages arrive, in the order for a record.
    fn ranked_zones(&self, now: Instant, record: &[u8]) -> Vec<&ZoneName> {
        let zones = self
            .zones
            .iter()
            .filter(|(_, z)| now.saturating_duration_since(z.last_seen) < ZONE_TIMEOUT);
        let mut zones: Vec<&ZoneName> = zones.map(|(zone, _)| zone).collect();
        zones.sort_by_cached_key(|zone| Reverse(weight(zone.as_str(), record)));
        zones
    }
}

impl Peer {
    fn is_present(&self, now: Instant) -> bool {
        let seen = self.last_seen.unwrap_or(self.added);
        now.saturating_duration_since(seen) < PEER_TIMEOUT
    }
}

/// Returns the VMs with the largest weights, at most so many.
fn first<'p, I>(vms: I, record: &[u8], most: usize) -> Vec<Owner>
where
    I: Iterator<Item = (&'p SmolStr, &'p Peer)>,
{
    let mut found: Vec<(u64, Owner)> = Vec::with_capacity(most + 1);
    for (name, p) in vms {
        let w = weight(name, record);
        let at = found.partition_point(|(other, _)| *other > w);
        if at < most {
            let owner = Owner {
                address: p.address,
                start: p.starts.front().copied(),
            };
            found.insert(at, (w, owner));
            found.truncate(most);
        }
    }
    found.into_iter().map(|(_, owner)| owner).collect()
}
