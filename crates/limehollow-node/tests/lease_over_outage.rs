//! The lease to give orders, over an outage of the platform's store.

mod rig;

use limehollow::group_lease::GroupLease;
use limehollow::own_reach::Listed;
use limehollow_node::lease::{SharedLease, fence, maintain_lease};
use rig::fleet::{Fleet, Treats};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

const BETWEEN: Duration = Duration::from_secs(3);
const OUTAGE: Duration = Duration::from_secs(6);
const POLL_EVERY: Duration = Duration::from_millis(20);

/// Returns how long after an outage for some VMs the first VM, which has the lease, may give orders again.
async fn time_to_orders(vms: usize, away: &[usize]) -> Duration {
    let fleet = Fleet::start(1, vms, 3000, 1).await;
    let vm = &fleet.vms[0];
    let lease: SharedLease = Arc::new(Mutex::new(GroupLease::new(BETWEEN)));
    let (_stop, stopped) = watch::channel(false);
    let (site, link) = (Arc::clone(&vm.site), vm.link.clone());
    let lease_task = tokio::spawn(maintain_lease(site, link, Arc::clone(&lease), stopped));
    sleep(Duration::from_secs(8)).await;
    assert_eq!(fence(&vm.site, &lease), Some(1));
    fleet.treat(away, Treats::Away);
    sleep(OUTAGE).await;
    assert_eq!(fence(&vm.site, &lease), None);
    fleet.treat(away, Treats::Well);
    let back = Instant::now();
    while fence(&vm.site, &lease).is_none() && back.elapsed() < OUTAGE {
        sleep(POLL_EVERY).await;
    }
    lease_task.abort();
    back.elapsed()
}

/// Guards against seconds without orders after each outage: the holder waited as if another VM could have
/// had the lease.
#[tokio::test(start_paused = true)]
async fn orders_again_at_once_where_the_store_was_away_for_all() {
    for vms in [3, 8] {
        let all: Vec<usize> = (0..vms).collect();
        let time = time_to_orders(vms, &all).await;
        assert!(time <= Duration::from_secs(1), "{time:?} with {vms} VMs");
    }
}

/// If other VMs reach the store, one of them may have been granted the lease.
#[tokio::test(start_paused = true)]
async fn orders_after_the_handover_where_others_reached_the_store() {
    for vms in [3, 8] {
        let time = time_to_orders(vms, &[0]).await;
        assert!(time >= BETWEEN, "{time:?} with {vms} VMs");
    }
}

/// Makes a VM believe that it reaches no endpoint.
fn cut_off(fleet: &Fleet, vm: usize) {
    let mut view = fleet.vms[vm].site.view();
    let all: Vec<_> = view
        .roster
        .iter()
        .map(|(k, e)| (k, e.zone.clone()))
        .collect();
    let listed = Listed {
        endpoints: all.len(),
        zones: 1,
    };
    for (key, zone) in all {
        view.own_reach
            .record_failure(Instant::now(), key, &zone, listed);
    }
    assert!(view.own_reach.is_cut());
}

#[tokio::test(start_paused = true)]
async fn lease_of_a_vm_that_reaches_no_endpoint_is_resigned_to_one_that_does() {
    for (others_reach, expected) in [(true, None), (false, Some(1))] {
        let fleet = Fleet::start(1, 3, 3000, 3).await;
        let vm = &fleet.vms[0];
        let lease: SharedLease = Arc::new(Mutex::new(GroupLease::new(BETWEEN)));
        let (_stop, stopped) = watch::channel(false);
        let (site, link) = (Arc::clone(&vm.site), vm.link.clone());
        let task = tokio::spawn(maintain_lease(site, link, Arc::clone(&lease), stopped));
        sleep(Duration::from_secs(8)).await;
        assert_eq!(fence(&vm.site, &lease), Some(1));
        cut_off(&fleet, 0);
        if !others_reach {
            cut_off(&fleet, 1);
            cut_off(&fleet, 2);
        }
        sleep(Duration::from_secs(1)).await;
        assert_eq!(fence(&vm.site, &lease), expected);
        task.abort();
    }
}
