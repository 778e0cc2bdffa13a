//! Tests of heartbeats: liveness, incarnations, gossip and the choice of watchers.

use limehollow::id::{Offset, VmName};
use limehollow::membership::{FANOUT, Heartbeat, Liveness, MAX_HEARTBEATS, Membership, watches};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

fn beat(vm: &str, incarnation: u64, counter: u64, next: u64) -> Heartbeat {
    Heartbeat {
        vm: vm.into(),
        incarnation,
        counter,
        next: Offset(next),
    }
}

fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

#[test]
fn liveness_by_silence() {
    let t = Instant::now();
    let mut m = Membership::new(t, "me".into(), 1);
    m.merge(t, beat("peer", 1, 1, 0));
    for (after, expected) in [
        (0, Liveness::Alive),
        (2, Liveness::Suspect),
        (5, Liveness::Suspect),
        (6, Liveness::Dead),
    ] {
        assert_eq!(
            m.liveness(t + secs(after), "peer"),
            expected,
            "after {after} s"
        );
    }
    assert_eq!(m.liveness(t, "nobody"), Liveness::Dead);
}

#[test]
fn merge_only_newer_heartbeats() {
    let t = Instant::now();
    let mut m = Membership::new(t, "me".into(), 1);
    assert!(m.merge(t, beat("peer", 1, 5, 0)));
    assert!(
        !m.merge(t + secs(3), beat("peer", 1, 5, 0)),
        "a repeated heartbeat is no sign of life"
    );
    assert!(
        !m.merge(t + secs(3), beat("peer", 1, 4, 0)),
        "nor is an older one"
    );
    assert_eq!(m.liveness(t + secs(3), "peer"), Liveness::Suspect);
    assert!(m.merge(t + secs(3), beat("peer", 1, 6, 0)));
    assert_eq!(m.liveness(t + secs(3), "peer"), Liveness::Alive);
}

#[test]
fn merge_new_incarnation() {
    let t = Instant::now();
    let mut m = Membership::new(t, "me".into(), 1);
    m.merge(t, beat("peer", 1, 500, 9));
    assert!(
        m.merge(t, beat("peer", 2, 1, 0)),
        "a restart counts from the beginning"
    );
    assert!(
        !m.merge(t, beat("peer", 1, 501, 9)),
        "a late heartbeat of the old incarnation is ignored"
    );
    assert_eq!(
        m.heartbeat("peer").map(|h| (h.incarnation, h.next)),
        Some((2, Offset(0)))
    );
}

#[test]
fn merge_offset_never_falls() {
    let t = Instant::now();
    let mut m = Membership::new(t, "me".into(), 1);
    m.merge(t, beat("peer", 1, 1, 9));
    m.merge(t, beat("peer", 1, 2, 4));
    assert_eq!(m.heartbeat("peer").map(|h| h.next), Some(Offset(9)));
}

#[test]
fn merge_ignores_own_heartbeat() {
    let t = Instant::now();
    let mut m = Membership::new(t, "me".into(), 2);
    assert!(
        !m.merge(t, beat("me", 1, 900, 50)),
        "a heartbeat of an earlier incarnation of this VM"
    );
    assert_eq!(m.heartbeat("me").map(|h| h.incarnation), Some(2));
}

#[test]
fn digest_is_bounded_and_fair() {
    // In a large zone the heartbeats of all peers are relayed in rotation.
    let t = Instant::now();
    let mut m = Membership::new(t, "me".into(), 1);
    for n in 0..60 {
        m.merge(t, beat(&format!("peer-{n:02}"), 1, 1, 0));
    }
    let mut sent: BTreeMap<VmName, u32> = BTreeMap::new();
    for round in 0..3 {
        let d = m.digest(t + Duration::from_millis(round), &[]);
        assert!(d.len() <= MAX_HEARTBEATS);
        assert_eq!(d[0].vm.as_str(), "me");
        for h in d {
            *sent.entry(h.vm).or_default() += 1;
        }
    }
    assert_eq!(sent.len(), 61, "three messages cover all peers");
}

/// A zone of VMs that gossip once a second: each exchanges heartbeats with three others.
struct Zone {
    now: Instant,
    all: Vec<Membership>,
    rng: rand::rngs::StdRng,
}

impl Zone {
    fn new(size: usize) -> Self {
        use rand::SeedableRng;
        let now = Instant::now();
        let member = |n| Membership::new(now, VmName::from(format!("vm-{n:02}")), 1);
        let rng = rand::rngs::StdRng::seed_from_u64(7);
        Self {
            now,
            all: (0..size).map(member).collect(),
            rng,
        }
    }

    fn round(&mut self) {
        use rand::RngExt;
        self.now += secs(1);
        for m in &mut self.all {
            m.tick(self.now, Offset(0));
        }
        for i in 0..self.all.len() {
            for _ in 0..FANOUT {
                let peer = self.rng.random_range(0..self.all.len());
                let digest = self.send_digest(i, peer, &[]);
                self.send_digest(peer, i, &digest);
            }
        }
    }

    fn send_digest(&mut self, from: usize, to: usize, known: &[Heartbeat]) -> Vec<Heartbeat> {
        let digest = self.all[from].digest(self.now, known);
        for h in &digest {
            self.all[to].merge(self.now, h.clone());
        }
        digest
    }

    /// Returns the number of pairs in which one VM doesn't consider the other alive.
    fn doubts(&self) -> usize {
        let names: Vec<String> = (0..self.all.len()).map(|n| format!("vm-{n:02}")).collect();
        let doubt = |m: &Membership| {
            names
                .iter()
                .filter(|n| m.liveness(self.now, n) != Liveness::Alive)
                .count()
        };
        self.all.iter().map(doubt).sum()
    }
}

#[test]
fn spread_reaches_all() {
    let mut z = Zone::new(53);
    let mut rounds = 0;
    while z.all.iter().any(|m| m.alive(z.now).count() < 53) {
        z.round();
        rounds += 1;
        assert!(rounds <= 4, "four rounds were not enough");
    }
}

#[test]
fn spread_keeps_all_alive() {
    // At the largest planned size no live VM is considered dead, and hardly any is considered suspect.
    let mut z = Zone::new(53);
    for _ in 0..20 {
        z.round();
    }
    let mut doubts = 0;
    for _ in 0..200 {
        z.round();
        doubts += z.doubts();
        assert!(z.all.iter().all(|m| m.alive(z.now).count() == 53));
    }
    let pairs = 200 * 53 * 53;
    assert!(doubts * 100 < pairs, "{doubts} of {pairs} were in doubt");
}

#[test]
fn watches_few_and_stable() {
    let peers: Vec<VmName> = (0..53).map(|n| VmName::from(format!("vm-{n}"))).collect();
    let mut load: BTreeMap<&VmName, u32> = BTreeMap::new();
    let mut moved = 0;
    for w in 0..400 {
        let subject = format!("worker-{w}");
        let now: Vec<&VmName> = peers
            .iter()
            .filter(|p| watches(p, peers.iter(), &subject, 2))
            .collect();
        assert_eq!(now.len(), 2);
        for p in &now {
            *load.entry(*p).or_default() += 1;
        }
        // The removal of one VM moves only the subjects that it watched.
        let less: Vec<&VmName> = peers[1..]
            .iter()
            .filter(|p| watches(p, peers[1..].iter(), &subject, 2))
            .collect();
        moved += less.iter().filter(|p| !now.contains(*p)).count();
        assert!(
            now.iter()
                .filter(|p| ***p != peers[0])
                .all(|p| less.contains(p))
        );
    }
    assert!(
        load.values().all(|n| *n < 40),
        "no VM watches far more than its share"
    );
    assert!(moved < 40);
}
