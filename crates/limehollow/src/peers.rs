//! The other VMs of a site: who is heard, who leads a zone, and to whom.
//!
//! Inside a zone all VMs tell each other. One VM of each zone leads it: of those that are heard the one with most
//! processor, the first by name among equals. It sends sums to the other zones, and whoever hears such a message
//! passes it on inside its own zone. So bytes between zones grow with the zones, not with the square of the VMs.

use crate::id::ZoneName;
use smol_str::SmolStr;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

/// After how long without a message a VM counts as silent: eight messages.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(1000);
/// For how long after its start a VM takes those that it hasn't heard yet for alive: as long as makes a VM silent,
/// with some room for slow starts.
const INTRODUCTION: Duration = Duration::from_millis(1500);
/// The logarithm of a small site's VMs, up to which that is long enough.
const FEW_STEPS: f64 = 3.0;
/// How many VMs of each zone stand for the lease: one, and one for when it is lost. Each change among those who
/// stand may move the lease, and with it comes a pause in which no orders are given: with all 71 VMs
/// of a site it moved each four seconds.
const CANDIDATES: usize = 2;
/// How many there are at most when the first say that they can't reach the store: if the whole zone can't, more
/// of them would only move the lease when it comes back.
const MOST_CANDIDATES: usize = 4;
/// How many VMs of a zone wait at the store for changes beside the one that reads for it: one, and one for when that is
/// lost. The others hear from them that there is a change, and only then read it: with 60 VMs in a zone that all wait,
/// each paid for 3.4 calls a minute to hear of one or two changes.
const WAITERS: usize = 2;
/// How many starts of a VM's process are remembered: more than can happen while a datagram is on its way.
const STARTS_KEPT: usize = 8;
/// After how long without a sum a zone counts as silent.
const ZONE_SILENT_AFTER: Duration = Duration::from_millis(2000);

/// After how long without a sum the leader of another zone is no keeper, nor the one that is told of other zones: three of the sums that
/// a large zone sends.
const KEEPER_SILENT_AFTER: Duration = Duration::from_millis(800);

/// After how long without a message a VM is told things only in turn with the others that are as silent: longer than a VM stands
/// still that is merely slow.
const GIVEN_UP_AFTER: Duration = Duration::from_millis(3000);
/// How many of those are told each time. Whoever comes back says so itself; this is for one that hears and isn't heard.
const SILENT_TOLD: usize = 2;

/// Orders zones for a name, each name in another way.
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
    /// Whether it reaches the platform's store, as far as it said.
    reaches_store: bool,
    /// Whether it can read the list of endpoints, as far as it said.
    reads_list: bool,
    heard: Option<Instant>,
    /// When this VM learnt of it.
    learnt: Instant,
    /// The starts of its process that were heard, the last one first.
    starts: VecDeque<u64>,
    /// The number of its last message in the last start.
    number: u64,
}

#[derive(Clone, Debug)]
struct OtherZone {
    heard: Instant,
    from: SmolStr,
    vms: usize,
}

/// The other VMs, as one VM knows them.
#[derive(Debug)]
pub struct Peers {
    me: SmolStr,
    zone: ZoneName,
    /// This VM's processor, in thousandths of a core.
    millicores: u32,
    rows: BTreeMap<SmolStr, Peer>,
    zones: BTreeMap<ZoneName, OtherZone>,
    turn: usize,
    /// Which of the silent VMs of the zone was told something last.
    silent_turn: usize,
}

/// Queries.
impl Peers {
    /// Makes the peers of a VM that knows none.
    #[must_use]
    pub fn new(me: SmolStr, zone: ZoneName, millicores: u32) -> Self {
        Self {
            me,
            zone,
            millicores,
            rows: BTreeMap::new(),
            zones: BTreeMap::new(),
            turn: 0,
            silent_turn: 0,
        }
    }

    /// Counts the VMs that have ever been known, this one too.
    #[must_use]
    pub fn known_vms(&self) -> usize {
        self.rows.len() + 1
    }

    /// Counts the VMs that are heard, this one too, those of other zones by what is said for them.
    #[must_use]
    pub fn alive(&self, now: Instant) -> usize {
        let zones = self.zones.values();
        let others = zones.filter(|z| now.duration_since(z.heard) < ZONE_SILENT_AFTER);
        self.alive_in_zone(now) + others.map(|z| z.vms).sum::<usize>()
    }

    /// Counts the VMs of the own zone that are heard, this one too.
    #[must_use]
    pub fn alive_in_zone(&self, now: Instant) -> usize {
        self.heard_here(now).count() + 1
    }

    /// Tells whether this VM leads its zone.
    #[must_use]
    pub fn is_zone_leader(&self, now: Instant) -> bool {
        self.zone_leader(now).is_none()
    }

    /// Tells whether this VM reads the store for its zone: the strongest of those that can.
    ///
    /// Who leads the zone may be turned away by the store while others are served; listening to it, 71 VMs
    /// heard nothing of a change for 40 s.
    #[must_use]
    pub fn is_zone_reader(&self, now: Instant) -> bool {
        self.reader_rank(now) == 0
    }

    /// Tells whether this VM waits at the store for changes, beside the one that reads for its zone.
    #[must_use]
    pub fn is_zone_waiter(&self, now: Instant) -> bool {
        self.reader_rank(now) <= WAITERS
    }

    /// Counts the VMs of the zone that can read the store and are stronger than this one.
    fn reader_rank(&self, now: Instant) -> usize {
        let mine = (Reverse(self.millicores), &self.me);
        let readers = self.present_here(now).filter(|(_, p)| p.reads_list);
        let before = readers.filter(|(name, p)| (Reverse(p.millicores), *name) < mine);
        before.count()
    }

    /// Gives until when a VM is expected that reads for the zone and hasn't been heard yet, since it starts as this one does; none where
    /// this VM is to read, or one is heard that does.
    #[must_use]
    pub fn reader_expected_until(&self, now: Instant) -> Option<Instant> {
        let readers = || self.present_here(now).filter(|(_, p)| p.reads_list);
        if self
            .strongest(readers().filter(|(_, p)| p.heard.is_some()))
            .is_some()
        {
            return None;
        }
        let expected = self.strongest(readers())?;
        let learnt = self.rows.get(expected)?.learnt;
        Some(learnt + self.introduction())
    }

    /// Counts the VMs of the zone that say that they can't read the list of endpoints.
    #[must_use]
    pub fn failing_in_zone(&self, now: Instant) -> usize {
        self.heard_here(now).filter(|(_, p)| !p.reads_list).count()
    }

    /// Gives the VM that speaks for the own zone, unless it is this one.
    #[must_use]
    pub fn zone_leader(&self, now: Instant) -> Option<&SmolStr> {
        self.strongest(self.heard_here(now))
    }

    /// Gives the strongest of some VMs, unless this one is stronger than all of them.
    fn strongest<'a, I>(&'a self, vms: I) -> Option<&'a SmolStr>
    where
        I: Iterator<Item = (&'a SmolStr, &'a Peer)>,
    {
        let ranks = vms.map(|(name, p)| (Reverse(p.millicores), name));
        let best = ranks.min()?;
        (best < (Reverse(self.millicores), &self.me)).then_some(best.1)
    }

    /// Tells whether this VM stands for the lease: few of each zone do, the strongest first.
    #[must_use]
    pub fn is_candidate(&self, now: Instant) -> bool {
        self.candidate_rank(now).is_some()
    }

    /// Gives this VM's place among the candidates for the lease, the first of each zone before the second of any.
    #[must_use]
    pub fn candidate_rank(&self, now: Instant) -> Option<usize> {
        let mine = (Reverse(self.millicores), &self.me);
        let here = self.rows.iter().filter(|(_, p)| p.zone == self.zone);
        let before = here.filter(|(name, p)| {
            let is_alive = match p.heard {
                Some(t) => now.duration_since(t) < PEER_TIMEOUT,
                None => now.duration_since(p.learnt) < self.introduction(),
            };
            is_alive && (Reverse(p.millicores), *name) < mine
        });
        let (reaching, cut): (Vec<_>, Vec<_>) = before.partition(|(_, p)| p.reaches_store);
        let stands = reaching.len() < CANDIDATES && reaching.len() + cut.len() < MOST_CANDIDATES;
        let mut zones: BTreeSet<&ZoneName> = self.rows.values().map(|p| &p.zone).collect();
        zones.insert(&self.zone);
        let zone = zones.iter().position(|z| **z == self.zone).unwrap_or(0);
        stands.then_some(reaching.len() * zones.len() + zone)
    }

    /// Tells whether a VM is this one, or one of its zone.
    #[must_use]
    pub fn is_in_own_zone(&self, name: &str) -> bool {
        let here = |p: &Peer| p.zone == self.zone;
        name == self.me || self.rows.get(name).is_some_and(here)
    }

    /// Gives all other VMs that are known, with zone, address and processor.
    pub fn vms(&self) -> impl Iterator<Item = (&SmolStr, &ZoneName, SocketAddr, u32)> {
        let rows = self.rows.iter();
        rows.map(|(name, p)| (name, &p.zone, p.address, p.millicores))
    }

    /// Gives where a VM's datagrams arrive.
    #[must_use]
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.rows.get(name).map(|p| p.address)
    }

    /// Gives the addresses of the own zone's other VMs, the silent ones too.
    #[must_use]
    pub fn neighbours(&self) -> Vec<SocketAddr> {
        let here = self.rows.values().filter(|p| p.zone == self.zone);
        here.map(|p| p.address).collect()
    }

    /// Gives the addresses of the own zone's other VMs that were heard lately, or may just be starting.
    #[must_use]
    pub fn responsive_neighbours(&self, now: Instant) -> Vec<SocketAddr> {
        let (listening, _) = self.by_listening(now);
        listening
    }

    /// Gives the VMs of the own zone, those first that listen as far as is known.
    fn by_listening(&self, now: Instant) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let here = self.rows.values().filter(|p| p.zone == self.zone);
        let listens = |p: &&Peer| now.duration_since(p.heard.unwrap_or(p.learnt)) < GIVEN_UP_AFTER;
        let (listening, silent): (Vec<&Peer>, Vec<&Peer>) = here.partition(listens);
        let addresses = |vms: Vec<&Peer>| vms.into_iter().map(|p| p.address).collect();
        (addresses(listening), addresses(silent))
    }

    /// Gives the addresses of all other VMs, the silent ones too.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.rows.values().map(|p| p.address).collect()
    }

    /// Gives the address of another VM, by any number.
    #[must_use]
    pub fn nth_address(&self, number: usize) -> Option<SocketAddr> {
        let n = number.checked_rem(self.rows.len())?;
        self.rows.values().nth(n).map(|p| p.address)
    }

    /// Gives the VM that reads the store for the own zone, unless it is this one.
    #[must_use]
    pub fn zone_reader(&self, now: Instant) -> Option<&SmolStr> {
        self.strongest(self.heard_here(now).filter(|(_, p)| p.reads_list))
    }

    /// Gives the VMs that may keep something of this name for the whole site, the one first that should: the leaders of
    /// the zones that are heard, in an order by the name. None stands for this VM.
    ///
    /// VMs may differ in this for a second; what is kept so must bear it.
    #[must_use]
    pub fn coordinators(&self, now: Instant, name: &str) -> Vec<Option<SocketAddr>> {
        let heard = |z: &&OtherZone| now.duration_since(z.heard) < KEEPER_SILENT_AFTER;
        let others = self.zones.iter().filter(|(_, z)| heard(z));
        let others = others.filter_map(|(zone, z)| Some((zone, Some(self.address(&z.from)?))));
        let own = self.zone_leader(now).map(|vm| self.address(vm));
        let mut all: Vec<_> = others.collect();
        all.push((&self.zone, own.flatten()));
        all.sort_by_cached_key(|(zone, _)| (weight(zone, name), *zone));
        all.into_iter().map(|(_, address)| address).collect()
    }

    /// Gives for each VM how long ago it was heard, for a dump.
    pub fn message_ages(&self, now: Instant) -> impl Iterator<Item = (&SmolStr, Option<Duration>)> {
        let rows = self.rows.iter();
        rows.map(move |(name, p)| (name, p.heard.map(|t| now.duration_since(t))))
    }

    /// Gives the VMs of the own zone that are heard, and those that were learnt of so lately that nothing can have been heard of
    /// them. Without these each of many VMs that start together would take itself for the one that reads for all.
    fn present_here(&self, now: Instant) -> impl Iterator<Item = (&SmolStr, &Peer)> {
        let here = self.rows.iter().filter(|(_, p)| p.zone == self.zone);
        here.filter(move |(_, p)| match p.heard {
            Some(t) => now.duration_since(t) < PEER_TIMEOUT,
            None => now.duration_since(p.learnt) < self.introduction(),
        })
    }

    /// Gives for how long a VM that was learnt of may be silent because it is starting as well: a start takes as many steps as the
    /// logarithm of the VMs.
    fn introduction(&self) -> Duration {
        #[expect(clippy::cast_precision_loss, reason = "a site has few VMs")]
        let steps = (self.known_vms() as f64).log2();
        INTRODUCTION.mul_f64((steps / FEW_STEPS).max(1.0))
    }

    fn heard_here(&self, now: Instant) -> impl Iterator<Item = (&SmolStr, &Peer)> {
        let here = self.rows.iter().filter(|(_, p)| p.zone == self.zone);
        here.filter(move |(_, p)| {
            p.heard
                .is_some_and(|t| now.duration_since(t) < PEER_TIMEOUT)
        })
    }
}

/// Commands.
impl Peers {
    /// Takes in where a VM is, and its processor in thousandths of a core. Gives whether it is a new one.
    pub fn upsert(
        &mut self,
        name: SmolStr,
        zone: ZoneName,
        address: SocketAddr,
        millicores: u32,
    ) -> bool {
        if name == self.me {
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
            heard: None,
            learnt: Instant::now(),
            starts: VecDeque::new(),
            number: 0,
        };
        self.rows.insert(name, peer);
        true
    }

    /// Notes a VM's own message, by the start of its process and its number there. Gives whether it is newer than the
    /// last.
    ///
    /// A start that wasn't heard before is a later one: datagrams of a former start that come late are known by it. No
    /// clock is asked. While numbers began with the time of day, a VM whose clock was set back by eight seconds before it
    /// started again wasn't heard for that long.
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
        p.heard = Some(now);
        true
    }

    /// Notes whether a VM says that it reaches the platform's store.
    pub fn set_reaches_store(&mut self, name: &str, reaches_store: bool) {
        if let Some(p) = self.rows.get_mut(name) {
            p.reaches_store = reaches_store;
        }
    }

    /// Notes whether a VM says that it can read the list of endpoints.
    pub fn set_reads_list(&mut self, name: &str, reads_list: bool) {
        if let Some(p) = self.rows.get_mut(name) {
            p.reads_list = reads_list;
        }
    }

    /// Notes a message for a whole zone.
    pub fn receive_zone(&mut self, now: Instant, zone: ZoneName, from: SmolStr, vms: usize) {
        let row = OtherZone {
            heard: now,
            from,
            vms,
        };
        self.zones.insert(zone, row);
    }

    /// Gives to whom of the own zone a message goes: to all that listen, and to some of the silent ones in turn.
    pub fn zone_recipients(&mut self, now: Instant) -> Vec<SocketAddr> {
        let (mut to, silent) = self.by_listening(now);
        let some = silent.len().min(SILENT_TOLD);
        let first = self.silent_turn.checked_rem(silent.len()).unwrap_or(0);
        self.silent_turn = first + some;
        to.extend(silent.iter().cycle().skip(first).take(some));
        to
    }

    /// Gives one VM of each other zone, in turn.
    pub fn next_in_other_zones(&mut self) -> Vec<SocketAddr> {
        self.turn += 1;
        let by_zone = self.other_zones();
        let turns = by_zone.values().map(|vms| vms[self.turn % vms.len()].1);
        turns.collect()
    }

    fn other_zones(&self) -> BTreeMap<&ZoneName, Vec<(&SmolStr, SocketAddr)>> {
        let mut by_zone: BTreeMap<&ZoneName, Vec<(&SmolStr, SocketAddr)>> = BTreeMap::new();
        for (name, p) in self.rows.iter().filter(|(_, p)| p.zone != self.zone) {
            by_zone.entry(&p.zone).or_default().push((name, p.address));
        }
        by_zone
    }

    /// Gives to whom in the other zones a message goes: in each to the VM that speaks for it. Where none was heard to lately, it goes to
    /// the last one that was, and to one more in turn, so that a zone whose leader is gone is reached soon.
    pub fn zone_targets(&mut self, now: Instant) -> Vec<SocketAddr> {
        self.turn += 1;
        let mut out = Vec::new();
        for (zone, vms) in self.other_zones() {
            let spoke = self.zones.get(zone);
            let last = spoke.and_then(|z| vms.iter().find(|(n, _)| **n == z.from));
            out.extend(last.map(|(_, a)| *a));
            let is_heard = |z: &OtherZone| now.duration_since(z.heard) < KEEPER_SILENT_AFTER;
            if last.is_none() || !spoke.is_some_and(is_heard) {
                let (_, next) = vms[self.turn % vms.len()];
                out.extend((!out.contains(&next)).then_some(next));
            }
        }
        out
    }
}
