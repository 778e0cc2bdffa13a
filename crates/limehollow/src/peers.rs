//! The other VMs of a site: which are alive, which leads its zone, and which receive a message.
//!
//! Inside a zone every VM sends its state to all others. Each zone has a leader: of the VMs whose messages arrive, the
//! one with the most processor, and the first by name among equals. It sends zone summaries to the other zones, and a
//! VM that receives one relays it inside its own zone. Traffic between zones therefore grows with the number of zones,
//! not with the square of the number of VMs.

mod owners;

use crate::id::ZoneName;
use crate::send_interval;
use smol_str::SmolStr;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

pub use owners::Owner;

/// The time without a message after which a VM counts as silent: eight messages.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(1000);
/// The time for which a newly added VM counts as alive before its first message: [`PEER_TIMEOUT`], with some room for
/// slow starts.
const STARTUP_GRACE: Duration = Duration::from_millis(1500);
/// The binary logarithm of the number of VMs up to which [`STARTUP_GRACE`] is long enough.
const SMALL_SITE_STEPS: f64 = 3.0;
/// The number of candidates for the lease in each zone: one, and one for when that is lost.
///
/// Each change among the candidates may move the lease, and no orders are given for a while after a move. With all 71
/// VMs of a site as candidates the lease moved every four seconds.
const CANDIDATES: usize = 2;
/// The maximum number of candidates of a zone when the first of them report that they can't reach the store. If the
/// whole zone can't reach it, more candidates would only move the lease when the store comes back.
const MOST_CANDIDATES: usize = 4;
/// The number of VMs of a zone, beside its reader, that wait at the store for changes: one, and one for when that is
/// lost.
///
/// The others learn of a change from them and read it only then. With 60 VMs in a zone all waiting, each made 3.4
/// calls a minute to learn of one or two changes.
const WAITERS: usize = 2;
/// The number of starts of a VM's process that are remembered: more than can happen while a datagram is in transit.
const STARTS_KEPT: usize = 8;
/// The time without a zone summary after which a zone counts as silent.
const ZONE_TIMEOUT: Duration = Duration::from_millis(2000);

/// The time without a zone summary after which the leader of another zone isn't the only recipient of messages to that
/// zone any more, and at the earliest no coordinator: three summaries, as the leaders of zones receive them.
const LEADER_TIMEOUT: Duration = Duration::from_millis(800);
/// The number of summaries of another zone that may be missing before its leader is no coordinator any more: one may be
/// lost.
const SUMMARIES_MISSED: u32 = 2;

/// The number of VMs whose requests one VM takes over within its zone, its own included: it has about this much room on
/// a calm day.
const MAX_SHARES: usize = 4;
/// The time without a message after which a VM receives messages only in rotation with the other silent ones: longer
/// than a VM that is merely slow stands still.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(3000);
/// The number of silent VMs that a message goes to. A VM that comes back announces itself; these messages are for a VM
/// that receives but whose own messages are lost.
const SILENT_RECIPIENTS: usize = 2;

/// Returns the weight by which zones are ordered for a name; each name orders them differently.
fn weight(zone: &ZoneName, name: &str) -> u64 {
    let mut h = Xxh3::new();
    h.update(zone.as_str().as_bytes());
    h.update(&[0]);
    h.update(name.as_bytes());
    h.digest()
}

#[derive(Clone, Debug)]
struct Peer {
    address: SocketAddr,
    zone: ZoneName,
    /// Its processor, in thousandths of a core.
    millicores: u32,
    /// Whether it reaches the platform's store, by its last report.
    reaches_store: bool,
    /// Whether it can read the list of endpoints, by its last report.
    reads_list: bool,
    /// Whether it reaches endpoints, by the last report of it or of its zone.
    reaches_endpoints: bool,
    /// When its last message arrived.
    last_seen: Option<Instant>,
    /// When it was added here.
    added: Instant,
    /// The known starts of its process, the latest first.
    starts: VecDeque<u64>,
    /// The number of the last message of its latest start.
    number: u64,
}

#[derive(Clone, Debug)]
struct OtherZone {
    last_seen: Instant,
    from: SmolStr,
    vms: usize,
}

/// One VM's view of the other VMs.
#[derive(Debug)]
pub struct Peers {
    own_vm: SmolStr,
    zone: ZoneName,
    /// This VM's processor, in thousandths of a core.
    millicores: u32,
    rows: BTreeMap<SmolStr, Peer>,
    zones: BTreeMap<ZoneName, OtherZone>,
    /// The position in the rotation over the VMs of each other zone.
    rotation: usize,
    /// The position in the rotation over the silent VMs of the own zone.
    silent_rotation: usize,
}

/// Queries.
impl Peers {
    /// Creates the view of a VM that knows no others yet.
    #[must_use]
    pub fn new(own_vm: SmolStr, zone: ZoneName, millicores: u32) -> Self {
        Self {
            own_vm,
            zone,
            millicores,
            rows: BTreeMap::new(),
            zones: BTreeMap::new(),
            rotation: 0,
            silent_rotation: 0,
        }
    }

    /// Returns the number of VMs that were ever known, including this one.
    #[must_use]
    pub fn known_vms(&self) -> usize {
        self.rows.len() + 1
    }

    /// Returns the number of VMs that are alive, including this one; for other zones it is what their leaders report.
    #[must_use]
    pub fn alive(&self, now: Instant) -> usize {
        let zones = self.zones.values();
        let others = zones.filter(|z| now.duration_since(z.last_seen) < ZONE_TIMEOUT);
        self.alive_in_zone(now) + others.map(|z| z.vms).sum::<usize>()
    }

    /// Returns the number of VMs of the own zone that are alive, including this one.
    #[must_use]
    pub fn alive_in_zone(&self, now: Instant) -> usize {
        self.heard_in_zone(now).count() + 1
    }

    /// Returns `true` if this VM leads its zone.
    #[must_use]
    pub fn is_zone_leader(&self, now: Instant) -> bool {
        self.zone_leader(now).is_none()
    }

    /// Returns `true` if this VM reads the store for its zone: it has the most processor of those that can read it.
    ///
    /// The reader need not be the zone's leader, which the store may reject while it serves others. When all relied on
    /// the leader, 71 VMs learnt of no change for 40 s.
    #[must_use]
    pub fn is_zone_reader(&self, now: Instant) -> bool {
        self.reader_rank(now) == 0
    }

    /// Returns `true` if this VM waits at the store for changes, as the zone's reader or beside it.
    #[must_use]
    pub fn is_zone_waiter(&self, now: Instant) -> bool {
        self.reader_rank(now) <= WAITERS
    }

    /// Returns the number of VMs of the zone that can read the store and have more processor than this one.
    fn reader_rank(&self, now: Instant) -> usize {
        let own_rank = (Reverse(self.millicores), &self.own_vm);
        let readers = self.present_in_zone(now).filter(|(_, p)| p.reads_list);
        let before = readers.filter(|(name, p)| (Reverse(p.millicores), *name) < own_rank);
        before.count()
    }

    /// Returns the time until which a reader of the zone is expected to send its first message, as it may still be
    /// starting.
    ///
    /// Returns `None` if this VM is the reader, or if a reader's messages already arrive.
    #[must_use]
    pub fn reader_expected_until(&self, now: Instant) -> Option<Instant> {
        let readers = || self.present_in_zone(now).filter(|(_, p)| p.reads_list);
        if self
            .strongest(readers().filter(|(_, p)| p.last_seen.is_some()))
            .is_some()
        {
            return None;
        }
        let expected = self.strongest(readers())?;
        let added = self.rows.get(expected)?.added;
        Some(added + self.startup_grace())
    }

    /// Returns the number of VMs of the zone that report that they can't read the list of endpoints.
    #[must_use]
    pub fn failing_in_zone(&self, now: Instant) -> usize {
        self.heard_in_zone(now)
            .filter(|(_, p)| !p.reads_list)
            .count()
    }

    /// Returns the leader of the own zone, or `None` if it is this VM.
    #[must_use]
    pub fn zone_leader(&self, now: Instant) -> Option<&SmolStr> {
        self.strongest(self.heard_in_zone(now))
    }

    /// Returns the VM with the most processor of `vms`, or `None` if this VM comes before all of them.
    fn strongest<'a, I>(&'a self, vms: I) -> Option<&'a SmolStr>
    where
        I: Iterator<Item = (&'a SmolStr, &'a Peer)>,
    {
        let ranks = vms.map(|(name, p)| (Reverse(p.millicores), name));
        let best = ranks.min()?;
        (best < (Reverse(self.millicores), &self.own_vm)).then_some(best.1)
    }

    /// Returns `true` if this VM is a candidate for the lease: the few of each zone with the most processor are.
    #[must_use]
    pub fn is_candidate(&self, now: Instant) -> bool {
        self.candidate_rank(now).is_some()
    }

    /// Returns this VM's rank among the candidates for the lease; the first of each zone come before the second of any.
    #[must_use]
    pub fn candidate_rank(&self, now: Instant) -> Option<usize> {
        let own_rank = (Reverse(self.millicores), &self.own_vm);
        let in_zone = self.rows.iter().filter(|(_, p)| p.zone == self.zone);
        let before = in_zone.filter(|(name, p)| {
            let is_alive = match p.last_seen {
                Some(t) => now.duration_since(t) < PEER_TIMEOUT,
                None => now.duration_since(p.added) < self.startup_grace(),
            };
            is_alive && (Reverse(p.millicores), *name) < own_rank
        });
        let (reaching, cut): (Vec<_>, Vec<_>) = before.partition(|(_, p)| p.reaches_store);
        let stands = reaching.len() < CANDIDATES && reaching.len() + cut.len() < MOST_CANDIDATES;
        let mut zones: BTreeSet<&ZoneName> = self.rows.values().map(|p| &p.zone).collect();
        zones.insert(&self.zone);
        let zone = zones.iter().position(|z| **z == self.zone).unwrap_or(0);
        stands.then_some(reaching.len() * zones.len() + zone)
    }

    /// Returns `true` if `name` is this VM or another VM of its zone.
    #[must_use]
    pub fn is_in_own_zone(&self, name: &str) -> bool {
        let in_zone = |p: &Peer| p.zone == self.zone;
        name == self.own_vm || self.rows.get(name).is_some_and(in_zone)
    }

    /// Returns all other known VMs with their zone, address and processor in thousandths of a core.
    pub fn vms(&self) -> impl Iterator<Item = (&SmolStr, &ZoneName, SocketAddr, u32)> {
        let rows = self.rows.iter();
        rows.map(|(name, p)| (name, &p.zone, p.address, p.millicores))
    }

    /// Returns the address that a VM receives datagrams at.
    #[must_use]
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.rows.get(name).map(|p| p.address)
    }

    /// Returns the addresses of the other VMs of the own zone, including silent ones.
    #[must_use]
    pub fn neighbours(&self) -> Vec<SocketAddr> {
        let in_zone = self.rows.values().filter(|p| p.zone == self.zone);
        in_zone.map(|p| p.address).collect()
    }

    /// Returns the number of the other VMs of the own zone, including silent ones.
    #[must_use]
    pub fn neighbour_count(&self) -> usize {
        let in_zone = self.rows.values().filter(|p| p.zone == self.zone);
        in_zone.count()
    }

    /// Returns the addresses of the other VMs of the own zone that sent a message recently or may be starting.
    #[must_use]
    pub fn responsive_neighbours(&self, now: Instant) -> Vec<SocketAddr> {
        let (responsive, _) = self.by_responsiveness(now);
        responsive
    }

    /// Returns the addresses of the VMs of the own zone that are presumed to receive messages, and of the silent ones.
    fn by_responsiveness(&self, now: Instant) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let in_zone = self.rows.values().filter(|p| p.zone == self.zone);
        let is_responsive =
            |p: &&Peer| now.duration_since(p.last_seen.unwrap_or(p.added)) < UNRESPONSIVE_AFTER;
        let (responsive, silent): (Vec<&Peer>, Vec<&Peer>) = in_zone.partition(is_responsive);
        let addresses = |vms: Vec<&Peer>| vms.into_iter().map(|p| p.address).collect();
        (addresses(responsive), addresses(silent))
    }

    /// Returns the addresses of all other VMs, including silent ones.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.rows.values().map(|p| p.address).collect()
    }

    /// Returns the address of another VM, chosen by `number` modulo their count.
    #[must_use]
    pub fn nth_address(&self, number: usize) -> Option<SocketAddr> {
        let n = number.checked_rem(self.rows.len())?;
        self.rows.values().nth(n).map(|p| p.address)
    }

    /// Returns the VM that reads the store for the own zone, or `None` if it is this one.
    #[must_use]
    pub fn zone_reader(&self, now: Instant) -> Option<&SmolStr> {
        self.strongest(self.heard_in_zone(now).filter(|(_, p)| p.reads_list))
    }

    /// Returns the VMs that may coordinate `name` for the whole site, the preferred one first: the leaders of the live
    /// zones, in an order that depends on the name. `None` stands for this VM.
    ///
    /// VMs may disagree on the order for a second or two; what is coordinated this way has to tolerate two coordinators.
    #[must_use]
    pub fn coordinators(&self, now: Instant, name: &str) -> Vec<Option<SocketAddr>> {
        let between = send_interval::longest_between_summaries(self.neighbour_count());
        let timeout = LEADER_TIMEOUT.max(between * SUMMARIES_MISSED);
        let is_live = |z: &&OtherZone| now.duration_since(z.last_seen) < timeout;
        let others = self.zones.iter().filter(|(_, z)| is_live(z));
        let others = others.filter_map(|(zone, z)| Some((zone, Some(self.address(&z.from)?))));
        let own = self.zone_leader(now).map(|vm| self.address(vm));
        let mut all: Vec<_> = others.collect();
        all.push((&self.zone, own.flatten()));
        all.sort_by_cached_key(|(zone, _)| (weight(zone, name), *zone));
        all.into_iter().map(|(_, address)| address).collect()
    }

    /// Returns `true` if this VM comes first as coordinator of `name`, as far as it knows.
    #[must_use]
    pub fn is_coordinator(&self, now: Instant, name: &str) -> bool {
        matches!(self.coordinators(now, name).first(), Some(None))
    }

    /// Returns `true` if this VM comes first as coordinator of `name`, and has for at least `time`: the VMs before it have
    /// been silent for as long as it takes not to count any more, and for `time` beyond that.
    #[must_use]
    pub fn has_coordinated_for(&self, now: Instant, name: &str, time: Duration) -> bool {
        let is_first = |t| self.is_coordinator(t, name);
        is_first(now) && now.checked_sub(time).is_none_or(is_first)
    }

    /// Returns the VMs of the own zone that report that they reach no endpoint.
    pub fn cut_off_in_zone(&self, now: Instant) -> impl Iterator<Item = &SmolStr> {
        let cut_off = self
            .heard_in_zone(now)
            .filter(|(_, p)| !p.reaches_endpoints);
        cut_off.map(|(name, _)| name)
    }

    /// Returns the VMs that may take over requests of this VM because they reach endpoints, as far as is known.
    ///
    /// They are those of the own zone, since other zones are further away, unless each of them would get the requests of
    /// more than four VMs; then they are those of all zones.
    #[must_use]
    pub fn reaching_endpoints(&self, now: Instant) -> Vec<SocketAddr> {
        let here = self.heard_in_zone(now).filter(|(_, p)| p.reaches_endpoints);
        let mut all: Vec<SocketAddr> = here.map(|(_, p)| p.address).collect();
        if all.len() * MAX_SHARES >= self.alive_in_zone(now) {
            return all;
        }
        let is_live = |zone: &ZoneName| {
            let row = self.zones.get(zone);
            row.is_some_and(|z| now.duration_since(z.last_seen) < ZONE_TIMEOUT)
        };
        let elsewhere = self
            .rows
            .values()
            .filter(|p| p.zone != self.zone && p.reaches_endpoints && is_live(&p.zone));
        all.extend(elsewhere.map(|p| p.address));
        all
    }

    /// Returns the age of each VM's last message, for a dump.
    pub fn message_ages(&self, now: Instant) -> impl Iterator<Item = (&SmolStr, Option<Duration>)> {
        let rows = self.rows.iter();
        rows.map(move |(name, p)| (name, p.last_seen.map(|t| now.duration_since(t))))
    }

    /// Returns the VMs of the own zone that are alive, and those added too recently to have sent a message.
    ///
    /// Without the latter, each of many VMs that start together would take itself for the zone's reader.
    fn present_in_zone(&self, now: Instant) -> impl Iterator<Item = (&SmolStr, &Peer)> {
        let in_zone = self.rows.iter().filter(|(_, p)| p.zone == self.zone);
        in_zone.filter(move |(_, p)| match p.last_seen {
            Some(t) => now.duration_since(t) < PEER_TIMEOUT,
            None => now.duration_since(p.added) < self.startup_grace(),
        })
    }

    /// Returns the time for which a newly added VM may be silent because it is starting: a start takes as many steps as
    /// the logarithm of the number of VMs.
    fn startup_grace(&self) -> Duration {
        #[expect(clippy::cast_precision_loss, reason = "a site has few VMs")]
        let steps = (self.known_vms() as f64).log2();
        STARTUP_GRACE.mul_f64((steps / SMALL_SITE_STEPS).max(1.0))
    }

    /// Returns the VMs of the own zone whose messages arrive.
    fn heard_in_zone(&self, now: Instant) -> impl Iterator<Item = (&SmolStr, &Peer)> {
        let in_zone = self.rows.iter().filter(|(_, p)| p.zone == self.zone);
        in_zone.filter(move |(_, p)| {
            p.last_seen
                .is_some_and(|t| now.duration_since(t) < PEER_TIMEOUT)
        })
    }
}

/// Commands.
impl Peers {
    /// Adds a VM or updates its zone, address and processor in thousandths of a core. Returns `true` if it is new.
    pub fn upsert(
        &mut self,
        name: SmolStr,
        zone: ZoneName,
        address: SocketAddr,
        millicores: u32,
    ) -> bool {
        if name == self.own_vm {
            return false;
        }
        if let Some(p) = self.rows.get_mut(&name) {
            p.address = address;
            p.zone = zone;
            p.millicores = millicores;
            return false;
        }
        let peer = Peer {
            address,
            zone,
            millicores,
            reaches_store: true,
            reads_list: true,
            reaches_endpoints: true,
            last_seen: None,
            added: Instant::now(),
            starts: VecDeque::new(),
            number: 0,
        };
        self.rows.insert(name, peer);
        true
    }

    /// Records a message of a VM, given the start of its process and the message's number within that start. Returns
    /// `true` if it is newer than the last one.
    ///
    /// An unknown start is a later one, which identifies late datagrams of a former start without reading a clock. When
    /// numbers began with the time of day, a VM whose clock was set back by eight seconds before a restart was ignored
    /// for that long.
    pub fn receive(&mut self, now: Instant, name: &str, start: u64, number: u64) -> bool {
        let Some(p) = self.rows.get_mut(name) else {
            return false;
        };
        let is_last = p.starts.front() == Some(&start);
        if is_last && number <= p.number || !is_last && p.starts.contains(&start) {
            return false;
        }
        if !is_last {
            p.starts.push_front(start);
            p.starts.truncate(STARTS_KEPT);
        }
        p.number = number;
        p.last_seen = Some(now);
        true
    }

    /// Records whether a VM reports that it reaches the platform's store.
    pub fn set_reaches_store(&mut self, name: &str, reaches_store: bool) {
        if let Some(p) = self.rows.get_mut(name) {
            p.reaches_store = reaches_store;
        }
    }

    /// Records whether a VM reports that it can read the list of endpoints.
    pub fn set_reads_list(&mut self, name: &str, reads_list: bool) {
        if let Some(p) = self.rows.get_mut(name) {
            p.reads_list = reads_list;
        }
    }

    /// Records whether a VM reaches endpoints.
    pub fn set_reaches_endpoints(&mut self, name: &str, reaches_endpoints: bool) {
        if let Some(p) = self.rows.get_mut(name) {
            p.reaches_endpoints = reaches_endpoints;
        }
    }

    /// Records which VMs of another zone reach no endpoint.
    pub fn set_cut_off_in_zone(&mut self, zone: &ZoneName, cut_off: &[SmolStr]) {
        for (name, p) in self.rows.iter_mut().filter(|(_, p)| p.zone == *zone) {
            p.reaches_endpoints = !cut_off.contains(name);
        }
    }

    /// Records a summary of another zone that its leader `from` sent.
    pub fn receive_zone(&mut self, now: Instant, zone: ZoneName, from: SmolStr, vms: usize) {
        let row = OtherZone {
            last_seen: now,
            from,
            vms,
        };
        self.zones.insert(zone, row);
    }

    /// Returns the recipients of a message in the own zone: all responsive VMs, and a few silent ones in rotation.
    pub fn zone_recipients(&mut self, now: Instant) -> Vec<SocketAddr> {
        let (mut to, silent) = self.by_responsiveness(now);
        let some = silent.len().min(SILENT_RECIPIENTS);
        let first = self.silent_rotation.checked_rem(silent.len()).unwrap_or(0);
        self.silent_rotation = first + some;
        to.extend(silent.iter().cycle().skip(first).take(some));
        to
    }

    /// Returns one VM of each other zone, in rotation.
    pub fn next_in_other_zones(&mut self) -> Vec<SocketAddr> {
        self.rotation += 1;
        let by_zone = self.other_zones();
        let turns = by_zone.values().map(|vms| vms[self.rotation % vms.len()].1);
        turns.collect()
    }

    fn other_zones(&self) -> BTreeMap<&ZoneName, Vec<(&SmolStr, SocketAddr)>> {
        let mut by_zone: BTreeMap<&ZoneName, Vec<(&SmolStr, SocketAddr)>> = BTreeMap::new();
        for (name, p) in self.rows.iter().filter(|(_, p)| p.zone != self.zone) {
            by_zone.entry(&p.zone).or_default().push((name, p.address));
        }
        by_zone
    }

    /// Returns the recipients of a message in the other zones: the leader of each.
    ///
    /// Where no leader sent a summary recently, they are the last known leader and one more VM in rotation, so that a
    /// zone whose leader is gone is reached soon.
    pub fn zone_targets(&mut self, now: Instant) -> Vec<SocketAddr> {
        self.rotation += 1;
        let mut out = Vec::new();
        for (zone, vms) in self.other_zones() {
            let leader = self.zones.get(zone);
            let last = leader.and_then(|z| vms.iter().find(|(n, _)| **n == z.from));
            out.extend(last.map(|(_, a)| *a));
            let is_live = |z: &OtherZone| now.duration_since(z.last_seen) < LEADER_TIMEOUT;
            if last.is_none() || !leader.is_some_and(is_live) {
                let (_, next) = vms[self.rotation % vms.len()];
                out.extend((!out.contains(&next)).then_some(next));
            }
        }
        out
    }
}
