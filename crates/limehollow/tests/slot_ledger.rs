//! The slots of brittle endpoints: what a coordinator grants, and what VMs report.

use limehollow::id::EndpointKey;
use limehollow::slot_ledger::{
    Capacity, GrantId, Held, REJECTION_WINDOW, SETTLED_AFTER, SlotHoldings, SlotLedger, SlotReport,
};
use slotmap::SlotMap;
use smol_str::SmolStr;
use std::time::Duration;
use tokio::time::Instant;

const TOKENS: u32 = 100;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn capacity(slots: u32, bears: f64) -> Capacity {
    Capacity {
        slots,
        kv_tokens: None,
        bears,
    }
}

/// A coordinator and one VM.
struct Pair {
    t: Instant,
    key: EndpointKey,
    ledger: SlotLedger,
    vm: SmolStr,
    holdings: SlotHoldings,
}

impl Pair {
    fn new() -> Self {
        let mut keys: SlotMap<EndpointKey, ()> = SlotMap::with_key();
        let vm = SmolStr::new_static("vm-1");
        let created = Instant::now();
        Self {
            t: created + REJECTION_WINDOW,
            key: keys.insert(()),
            ledger: SlotLedger::new(created, 7),
            holdings: SlotHoldings::new(vm.clone(), 1),
            vm,
        }
    }

    fn grant(&mut self, c: Capacity) -> Option<GrantId> {
        let grant = self.ledger.grant(self.t, &self.vm, self.key, c, TOKENS)?;
        self.holdings.receive(self.t, grant, self.key, TOKENS);
        Some(grant)
    }

    fn report(&mut self, requests: u32) -> SlotReport {
        let held = Held {
            requests,
            tokens: requests * TOKENS,
        };
        let own = (requests > 0).then_some((self.key, held));
        self.holdings
            .report(self.t, own)
            .expect("it has or had requests")
    }

    fn send(&mut self, grant: GrantId) {
        self.holdings.start(grant);
        self.holdings.send(self.t, grant);
    }

    fn has_room(&self, c: Capacity) -> bool {
        self.ledger.has_room(self.t, self.key, c, TOKENS)
    }
}

#[test]
fn grant_counts_before_and_after_its_report() {
    let mut p = Pair::new();
    let c = capacity(2, 100.0);
    let first = p.grant(c).expect("there is room");
    p.send(first);
    let r = p.report(1);
    p.ledger.apply(p.t, r);
    assert_eq!(p.ledger.held(p.key).requests, 1);
    // A grant that a report doesn't cover yet counts beside it.
    assert!(p.grant(c).is_some());
    assert!(!p.has_room(c));
    let r = p.report(1);
    p.ledger.apply(p.t, r);
    assert!(!p.has_room(c), "the second one is about to be sent");
}

#[test]
fn slot_is_free_once_its_request_has_ended() {
    let mut p = Pair::new();
    let c = capacity(1, 100.0);
    let grant = p.grant(c).expect("there is room");
    p.send(grant);
    p.t += SETTLED_AFTER;
    let r = p.report(1);
    p.ledger.apply(p.t, r);
    assert!(!p.has_room(c));
    let r = p.report(0);
    p.ledger.apply(p.t, r);
    assert!(p.has_room(c));
}

#[test]
fn unsettled_grants_are_bounded_by_what_the_endpoint_bears() {
    let mut p = Pair::new();
    let c = capacity(64, 4.0);
    let grants = [p.grant(c), p.grant(c)].map(|g| g.expect("half of four"));
    assert!(p.grant(c).is_none());
    for g in grants {
        p.send(g);
    }
    p.t += SETTLED_AFTER;
    let r = p.report(2);
    p.ledger.apply(p.t, r);
    assert!(p.has_room(c), "neither was rejected in time");
}

#[test]
fn rejections_count_for_a_second() {
    let mut p = Pair::new();
    let c = capacity(64, 2.0);
    let grant = p.grant(c).expect("there is room");
    p.send(grant);
    p.holdings.reject(p.t, p.key);
    p.holdings.settle(grant);
    let r = p.report(0);
    p.ledger.apply(p.t, r);
    p.t += ms(1000);
    assert!(!p.has_room(c));
    p.t += ms(250);
    assert!(p.has_room(c));
}

#[test]
fn new_ledger_grants_nothing_while_rejections_of_the_one_before_count() {
    let mut p = Pair::new();
    let c = capacity(64, 100.0);
    p.ledger = SlotLedger::new(p.t, 8);
    assert!(!p.has_room(c));
    p.t += ms(1249);
    assert!(p.grant(c).is_none());
    p.t += ms(1);
    assert!(p.grant(c).is_some());
}

#[test]
fn grant_that_is_never_heard_of_expires() {
    let mut p = Pair::new();
    let c = capacity(1, 2.0);
    p.ledger.grant(p.t, &p.vm, p.key, c, TOKENS).expect("room");
    p.t += ms(1400);
    assert!(p.ledger.grant(p.t, &p.vm, p.key, c, TOKENS).is_none());
    p.t += ms(100);
    assert!(p.ledger.grant(p.t, &p.vm, p.key, c, TOKENS).is_some());
}

#[test]
fn slots_of_a_silent_vm_become_free() {
    let mut p = Pair::new();
    let c = capacity(1, 100.0);
    let r = p.report(1);
    p.ledger.apply(p.t, r);
    let other = SmolStr::new_static("vm-2");
    p.t += ms(1900);
    assert!(p.ledger.grant(p.t, &other, p.key, c, TOKENS).is_none());
    p.t += ms(100);
    assert!(p.ledger.grant(p.t, &other, p.key, c, TOKENS).is_some());
}

#[test]
fn slots_of_a_former_start_are_free_at_its_first_report() {
    let mut p = Pair::new();
    let c = capacity(1, 100.0);
    let r = p.report(1);
    p.ledger.apply(p.t, r);
    assert!(!p.has_room(c));
    p.holdings = SlotHoldings::new(p.vm.clone(), 2);
    p.holdings.reject(p.t, p.key);
    let r = p.report(0);
    p.ledger.apply(p.t, r);
    assert!(p.has_room(c));
}

#[test]
fn late_report_changes_nothing() {
    let mut p = Pair::new();
    let early = p.report(1);
    let later = p.report(0);
    p.ledger.apply(p.t, later);
    p.ledger.apply(p.t, early);
    assert_eq!(p.ledger.held(p.key), Held::default());
}

#[test]
fn request_larger_than_the_memory_is_let_in_alone() {
    let mut p = Pair::new();
    let c = Capacity {
        kv_tokens: Some(TOKENS / 2),
        ..capacity(4, 100.0)
    };
    assert!(p.grant(c).is_some());
    assert!(p.grant(c).is_none());
}
