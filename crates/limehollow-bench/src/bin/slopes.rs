//! Measures what one entry, record or message costs, for `docs/CAPACITY.md`.
//!
//! Bytes are exact and the same on every machine. Times are of this machine; each is also given as a
//! ratio to hashing one kibibyte in the same run, which carries over better.

use limehollow::admission::{Admission, AdmissionRequest, Subject};
use limehollow::claim::{ClaimRecord, Claimant, Claims};
use limehollow::id::{LogTime, Offset, VmName};
use limehollow::intent::{Intent, Priority};
use limehollow::load::{AttemptOutcome, LoadReport};
use limehollow::membership::Membership;
use limehollow::order::{Driver, Rules};
use limehollow::placement;
use limehollow::record::Record;
use limehollow::routing::TableBuilder;
use limehollow_bench::fleets::{
    LANTERWIJK, Size, Story, VREDNOST, WHOLE, ZONE, intent, loads, zone_members,
};
use limehollow_wire::peer::{Digest, Request, WireHeartbeat, WireLoad};
use limehollow_wire::record::{decode, encode, encode_snapshot};
use std::collections::BTreeSet;
use std::hint::black_box;
use std::time::Duration;
use tokio::time::Instant;

/// Gives the time of one call, over as many as fit into a fifth of a second.
fn time<F, T>(mut f: F) -> Duration
where
    F: FnMut() -> T,
{
    black_box(f());
    let start = std::time::Instant::now();
    let mut calls = 0_u32;
    while start.elapsed() < Duration::from_millis(200) || calls == 0 {
        black_box(f());
        calls += 1;
    }
    start.elapsed() / calls
}

/// Resident memory of this process, in bytes.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status
        .lines()
        .find(|l| l.starts_with("VmRSS:"))
        .unwrap_or("");
    let kib: u64 = line
        .split_whitespace()
        .nth(1)
        .and_then(|n| n.parse().ok())
        .unwrap_or(0);
    kib * 1024
}

struct Unit(Duration);

impl Unit {
    fn row(&self, what: &str, t: Duration) {
        let ratio = t.as_secs_f64() / self.0.as_secs_f64();
        println!(
            "{what:<58} {:>12.2} us {ratio:>12.1} x",
            t.as_secs_f64() * 1e6
        );
    }
}

fn main() {
    let block = vec![7_u8; 1024];
    let unit = Unit(time(|| xxh(&block)));
    println!("# time of one, in microseconds, and as a ratio to hashing 1 KiB in this run");
    unit.row("hashing 1 KiB", unit.0);
    control(&unit);
    traffic(&unit);
    messages(&unit);
}

fn xxh(block: &[u8]) -> u64 {
    limehollow::membership::rendezvous(std::str::from_utf8(block).unwrap_or(""), "")
}

fn control(unit: &Unit) {
    for size in [LANTERWIJK, VREDNOST, ZONE, WHOLE] {
        let Size {
            name,
            engines,
            models,
            adapters,
            ..
        } = size;
        let i = intent(&size);
        let empty = Story::empty(&size);
        let before = resident();
        let s = Story::serving(&size);
        let grown = resident().saturating_sub(before);
        println!("# {name}: {engines} engines, {models} models, {adapters} adapters");
        let start = std::time::Instant::now();
        let plan = placement::plan(&empty.fleet, Offset(1), &i).expect("it fits");
        let first = start.elapsed();
        unit.row(
            &format!("placement from empty, {} loads", loads(&plan)),
            first,
        );
        unit.row(
            "placement of the same intent again",
            time(|| placement::plan(&s.fleet, Offset(1), &i)),
        );
        unit.row(
            "one table of routes",
            time(|| TableBuilder::default().build(&s.fleet, &BTreeSet::new())),
        );
        let mut driver = Driver::new("zone-0".into(), "entry-0-0".into(), 1, Rules::default());
        let now = Instant::now();
        let peers = Membership::new(now, "entry-0-0".into(), 1);
        let mut at = now;
        unit.row(
            "one whole round of a lease holder",
            time(|| {
                at += Duration::from_secs(2);
                driver.step(at, &s.fleet, &peers)
            }),
        );
        unit.row(
            "one round without news",
            time(|| driver.step(at, &s.fleet, &peers)),
        );
        let records = s.records.len();
        let replay = time(|| {
            let mut f = limehollow::fleet::Fleet::default();
            for (o, r) in (0..).zip(&s.records) {
                let _ok = f.apply(Offset(o), LogTime(o * 10), r);
            }
            f
        });
        unit.row(
            "one record folded",
            replay / u32::try_from(records).unwrap_or(u32::MAX),
        );
        let snapshot = encode_snapshot(&s.fleet);
        unit.row("one snapshot written", time(|| encode_snapshot(&s.fleet)));
        println!("{:<58} {:>12}", "bytes of the snapshot", snapshot.len());
        println!(
            "{:<58} {:>12}",
            "bytes of the snapshot an endpoint",
            snapshot.len() / engines
        );
        println!("{:<58} {:>12}", "records of the log that made it", records);
        println!(
            "{:<58} {:>12}",
            "bytes of the state and those records in memory", grown
        );
        let order = s
            .records
            .iter()
            .rev()
            .find(|r| matches!(r, Record::OrderIssued(_)));
        let texts: Vec<String> = order.into_iter().map(encode).collect();
        println!(
            "{:<58} {:>12}",
            "bytes of an order's record",
            texts.iter().map(String::len).sum::<usize>()
        );
        if let Some(t) = texts.first() {
            unit.row("one record read", time(|| decode(t)));
        }
        one_change(&s, &i);
        let intent_bytes = encode(&Record::Intent(i)).len();
        println!(
            "{:<58} {:>12}",
            "bytes of the intent's record", intent_bytes
        );
        println!(
            "{:<58} {:>12}",
            "bytes of the plan's record",
            encode(&Record::Plan(plan)).len()
        );
    }
}

/// Shows what a change of one model's version costs on the log.
fn one_change(s: &Story, i: &Intent) {
    let mut next = i.clone();
    if let Some(m) = next.models.first_mut() {
        m.version = "2".into();
    }
    let latest = s
        .fleet
        .latest_intent()
        .map(|p| p.offset)
        .unwrap_or_default();
    let change = encode(&Record::IntentChange(next.change_from(latest, i))).len();
    println!("{:<58} {change:>12}", "bytes of a change to one model");
    match placement::plan(&s.fleet, Offset(1), &next) {
        Ok(p) => {
            let bytes = encode(&Record::Plan(p.clone())).len();
            println!(
                "{:<58} {bytes:>12}",
                format!("bytes of its plan, {} moves", p.moves())
            );
        }
        Err(e) => println!("no plan for it: {e}"),
    }
}

fn traffic(unit: &Unit) {
    println!("# a gateway's decisions");
    let s = Story::serving(&ZONE);
    let table = TableBuilder::default().build(&s.fleet, &BTreeSet::new());
    let now = Instant::now();
    let mut a = Admission::new("zone-0".into());
    let offer = AdmissionRequest {
        subject: Subject::Model("model-000".into()),
        caller: "caller".into(),
        priority: Priority::Normal,
        deadline: now + Duration::from_secs(3600),
        tokens: 100,
        affinity: 7,
        failed: Vec::new(),
    };
    unit.row(
        "one request admitted, routed and ended",
        time(|| {
            if let limehollow::admission::AdmissionDecision::Start(k) =
                a.admit(now, &table, offer.clone())
            {
                a.finish(
                    now,
                    k,
                    AttemptOutcome::Completed {
                        first: Duration::from_millis(100),
                    },
                );
            }
        }),
    );
    let key = |n: u64| u128::from(n) << 64;
    let mut claims = Claims::default();
    let mut n = 0;
    unit.row(
        "one claim folded",
        time(|| {
            n += 1;
            let who = Claimant {
                vm: "vm".into(),
                incarnation: 1,
                number: n,
                address: "a".into(),
            };
            claims.apply(Offset(n), LogTime(n), &[ClaimRecord::Claim(key(n), who)]);
        }),
    );
    let before = resident();
    let mut claims = Claims::default();
    for n in 0..200_000 {
        let address = "10.0.0.1:7000".into();
        let who = Claimant {
            vm: "entry-vm-0001".into(),
            incarnation: 1,
            number: n,
            address,
        };
        claims.apply(Offset(n), LogTime(0), &[ClaimRecord::Claim(key(n), who)]);
    }
    println!(
        "{:<58} {:>12}",
        "bytes of a claim in memory",
        (resident() - before) / 200_000
    );
    let who = Claimant {
        vm: "entry-vm-0001".into(),
        incarnation: 1,
        number: 1,
        address: "10.0.0.1:7000".into(),
    };
    let one = limehollow_wire::claim::encode(&[ClaimRecord::Claim(1, who.clone())]).len();
    let two = limehollow_wire::claim::encode(&[
        ClaimRecord::Claim(1, who.clone()),
        ClaimRecord::Claim(2, who),
    ])
    .len();
    println!("{:<58} {:>12}", "bytes of a claim in a batch", two - one);
}

fn messages(unit: &Unit) {
    println!("# messages between controllers, in a zone of 53 entry VMs and 400 engines");
    let now = Instant::now();
    let mut m = zone_members(now);
    let heartbeats: Vec<WireHeartbeat> =
        m.digest(now, &[]).iter().map(WireHeartbeat::from).collect();
    let loads: Vec<WireLoad> = (0..8)
        .map(|n| {
            let report = LoadReport {
                running: 12,
                waiting: 3,
                slots: 64,
            };
            let vm = VmName::from(format!("engine-{n:04}"));
            WireLoad::new(&vm, 1_790_000_000_000, 400, report)
        })
        .collect();
    let only_beats = Digest {
        heartbeats: heartbeats.clone(),
        ..Digest::default()
    };
    let digest = Digest {
        heartbeats,
        loads,
        leaving: Vec::new(),
        unmet: Vec::new(),
    };
    let size = |d: &Digest| limehollow_wire::peer::encode(&Request::Gossip(d.clone())).len();
    let count = digest.heartbeats.len();
    println!("{:<58} {:>12}", "heartbeats in a message", count);
    println!(
        "{:<58} {:>12}",
        "bytes of a heartbeat",
        size(&only_beats) / count
    );
    println!(
        "{:<58} {:>12}",
        "bytes of a load report",
        (size(&digest) - size(&only_beats)) / 8
    );
    println!("{:<58} {:>12}", "bytes of a whole message", size(&digest));
    let buf = limehollow_wire::peer::encode(&Request::Gossip(digest.clone()));
    unit.row(
        "one message written",
        time(|| limehollow_wire::peer::encode(&Request::Gossip(digest.clone()))),
    );
    unit.row(
        "one message read",
        time(|| limehollow_wire::peer::decode::<Request>(&buf)),
    );
    unit.row("one digest chosen", time(|| m.digest(now, &[])));
}
