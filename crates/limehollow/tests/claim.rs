//! Tests of [`Claims`]: only one claimant may run a request.

use bolero::check;
use limehollow::claim::{ClaimRecord, ClaimState, Claimant, Claims, KeyHash, key_hash};
use limehollow::id::{LogTime, Offset};
use std::collections::{BTreeMap, BTreeSet};

const RETENTION_MS: u64 = 1_000;

fn claimant(vm: &str, number: u64) -> Claimant {
    Claimant {
        vm: vm.into(),
        incarnation: 1,
        number,
        address: "127.0.0.1:1".into(),
    }
}

fn claim(key: KeyHash, vm: &str, number: u64) -> ClaimRecord {
    ClaimRecord::Claim(key, claimant(vm, number))
}

fn release(key: KeyHash, vm: &str, number: u64) -> ClaimRecord {
    ClaimRecord::Release(key, claimant(vm, number))
}

/// Applies each record as its own batch, 100 ms after the previous one.
fn claims(records: &[ClaimRecord]) -> Claims {
    let mut c = Claims::default().with_retention(RETENTION_MS);
    for (i, r) in (0..).zip(records) {
        c.apply(Offset(i), LogTime(i * 100), std::slice::from_ref(r));
    }
    c
}

#[test]
fn state_first_claim_wins() {
    let c = claims(&[claim(7, "vm-1", 1), claim(7, "vm-2", 1)]);
    assert_eq!(c.state(7), ClaimState::Held(claimant("vm-1", 1)));
    assert_eq!(c.state(8), ClaimState::Free);
}

#[test]
fn state_within_one_batch() {
    let mut c = Claims::default();
    c.apply(
        Offset(0),
        LogTime(0),
        &[claim(7, "vm-2", 1), claim(7, "vm-1", 1)],
    );
    assert_eq!(c.state(7), ClaimState::Held(claimant("vm-2", 1)));
}

#[test]
fn release_by_holder_only() {
    let c = claims(&[
        claim(7, "vm-1", 1),
        release(7, "vm-2", 1),
        release(7, "vm-1", 2),
    ]);
    assert_eq!(c.state(7), ClaimState::Held(claimant("vm-1", 1)));
    let c = claims(&[
        claim(7, "vm-1", 1),
        release(7, "vm-1", 1),
        claim(7, "vm-2", 1),
    ]);
    assert_eq!(c.state(7), ClaimState::Held(claimant("vm-2", 1)));
}

#[test]
fn evict_by_age() {
    let mut c = claims(&[claim(7, "vm-1", 1)]);
    c.apply(Offset(1), LogTime(RETENTION_MS - 1), &[]);
    assert_eq!(c.state(7), ClaimState::Held(claimant("vm-1", 1)));
    c.apply(Offset(2), LogTime(RETENTION_MS), &[]);
    assert_eq!(c.state(7), ClaimState::Free);
}

#[test]
fn evict_claim_made_again() {
    // A key is claimed, released and claimed again: the expiry of the first claim must not free the key.
    let mut c = claims(&[claim(7, "vm-1", 1), release(7, "vm-1", 1)]);
    c.apply(Offset(2), LogTime(900), &[claim(7, "vm-2", 1)]);
    c.apply(Offset(3), LogTime(1_100), &[]);
    assert_eq!(c.state(7), ClaimState::Held(claimant("vm-2", 1)));
    c.apply(Offset(4), LogTime(1_900), &[]);
    assert_eq!(c.state(7), ClaimState::Free);
}

#[test]
fn apply_batch_twice() {
    let mut c = claims(&[claim(7, "vm-1", 1), release(7, "vm-1", 1)]);
    c.apply(Offset(0), LogTime(0), &[claim(7, "vm-1", 1)]);
    assert_eq!(
        c.state(7),
        ClaimState::Free,
        "a batch that is read again changes nothing"
    );
}

#[test]
fn key_hash_of_different_parts() {
    let pairs = [(["a", "bc"], ["ab", "c"]), (["", "x"], ["x", ""])];
    for (one, two) in pairs {
        assert_ne!(key_hash(&one), key_hash(&two));
    }
}

#[test]
fn any_readers_agree_and_one_runs() {
    // Gateways claim and release a few keys in any order. Each reads the stream up to its own claim and runs
    // the request only if that claim is the valid one. A request whose key isn't released runs once.
    check!()
        .with_iterations(30_000)
        .with_type::<Vec<(u8, u8, bool)>>()
        .for_each(|input| {
            let mut all = Claims::default();
            let mut ran: BTreeMap<KeyHash, BTreeSet<Claimant>> = BTreeMap::new();
            let mut released: BTreeSet<Claimant> = BTreeSet::new();
            for (i, (vm, key, releases)) in (0_u64..).zip(input.iter().take(100)) {
                let key = KeyHash::from(key % 3);
                let me = claimant(["vm-1", "vm-2", "vm-3"][usize::from(vm % 3)], i);
                all.apply(
                    Offset(2 * i),
                    LogTime(i),
                    &[ClaimRecord::Claim(key, me.clone())],
                );
                if all.state(key) != ClaimState::Held(me.clone()) {
                    continue;
                }
                if *releases {
                    all.apply(
                        Offset(2 * i + 1),
                        LogTime(i),
                        &[ClaimRecord::Release(key, me.clone())],
                    );
                    released.insert(me);
                } else {
                    ran.entry(key).or_default().insert(me);
                }
            }
            for (key, runs) in ran {
                assert_eq!(runs.len(), 1, "key {key} ran {} times", runs.len());
            }
        });
}
