//! Tests of the tree that assigns starting VMs their parents.

use limehollow::log_position::LogPosition;
use limehollow::start_tree::{FANOUT, Parent, StartTree};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

fn vm(n: u16) -> SocketAddr {
    ([10, 0, 0, 1], n).into()
}

fn at(offset: u64) -> LogPosition {
    LogPosition::new(1, offset)
}

/// Adds `vms` VMs of one zone to the tree and returns the parent of each.
fn add_vms(tree: &mut StartTree, now: Instant, vms: u16) -> Vec<Parent> {
    let numbers = 1..=vms;
    numbers
        .map(|n| tree.assign_parent(now, &"a".into(), (vm(n), 250), at(7)))
        .collect()
}

#[test]
fn assign_parent_bounds_children_and_steps() {
    for vms in [1, 2, 30, 300, 2000] {
        let parents = add_vms(&mut StartTree::default(), Instant::now(), vms);
        let mut children: HashMap<SocketAddr, usize> = HashMap::new();
        let mut steps: HashMap<SocketAddr, u32> = HashMap::new();
        for (n, parent) in (1..).zip(&parents) {
            let before = match parent {
                Parent::AskedVm => 0,
                Parent::Other(parent) => {
                    *children.entry(*parent).or_default() += 1;
                    steps[parent]
                }
            };
            steps.insert(vm(n), before + 1);
        }
        assert!(children.values().all(|n| *n <= FANOUT), "{vms} VMs");
        let most: u32 = steps.values().max().copied().unwrap_or(0);
        let log = f64::from(vms).log(3.0).ceil();
        assert!(f64::from(most) <= log + 1.0, "{vms} VMs: {most} steps");
        let from_asked_vm = parents.iter().filter(|g| **g == Parent::AskedVm).count();
        assert_eq!(from_asked_vm, 1, "{vms} VMs");
    }
}

#[test]
fn assign_parent_again_goes_up_to_the_asked_vm() {
    let (mut tree, now) = (StartTree::default(), Instant::now());
    add_vms(&mut tree, now, 30);
    let mut parents = Vec::new();
    while parents.last() != Some(&Parent::AskedVm) {
        parents.push(tree.assign_parent(now, &"a".into(), (vm(30), 250), at(7)));
        assert!(parents.len() < 6, "{parents:?}");
    }
    // The parent of the 30th is the eighth, whose own is the second.
    assert_eq!(
        parents,
        [Parent::Other(vm(2)), Parent::Other(vm(1)), Parent::AskedVm]
    );
}

#[test]
fn assign_parent_discards_old_trees() {
    let (mut tree, now) = (StartTree::default(), Instant::now());
    add_vms(&mut tree, now, 5);
    let later = now + Duration::from_secs(11);
    assert_eq!(
        tree.assign_parent(later, &"a".into(), (vm(9), 250), at(7)),
        Parent::AskedVm
    );
}

#[test]
fn assign_parent_prefers_strong_parents() {
    // Every third VM is strong.
    let (mut tree, now) = (StartTree::default(), Instant::now());
    let mut weak_parents = 0;
    for n in 1..=400 {
        let millicores = if n % 3 == 0 { 1000 } else { 120 };
        if let Parent::Other(parent) =
            tree.assign_parent(now, &"a".into(), (vm(n), millicores), at(7))
        {
            weak_parents += usize::from(parent.port() % 3 != 0);
        }
    }
    // Only the first two are weak parents, before a strong VM has asked.
    assert!(weak_parents <= 2 * FANOUT, "{weak_parents}");
}

#[test]
fn assign_parent_begins_a_new_tree_at_another_position() {
    let (mut tree, now) = (StartTree::default(), Instant::now());
    add_vms(&mut tree, now, 30);
    assert_eq!(
        tree.assign_parent(now, &"a".into(), (vm(30), 250), at(8)),
        Parent::AskedVm
    );
    let next = tree.assign_parent(now, &"a".into(), (vm(29), 250), at(8));
    assert_eq!(next, Parent::Other(vm(30)));
}
