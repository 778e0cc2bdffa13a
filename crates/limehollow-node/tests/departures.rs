//! An endpoint that leaves is out of use in time on every VM that reaches the store, whatever became of the others.
//!
//! What users saw: with 71 VMs, requests reached an endpoint later than 3 s after it had said that it leaves.
//! Order of events: the store acknowledges that the endpoint leaves; the VM that reads the list for its zone doesn't learn of
//! it, since its waiting call is never answered, or it is gone, or turned away; the neighbours take their list
//! for current, since nobody says otherwise. Or the VM learns that the entry is gone and still uses the endpoint
//! for 2.5 s, since it has just got the store back itself.
//! Cause: how old a VM's list may be had no bound, only the time until a call ended: 25 s for a reader of 71 VMs, 41 s for a
//! neighbour that listens.
//! Evidence: in played days the last VM knew 2.4 to 4.1 s after the first (`scripts/departures`), by the end of a
//! hold or by another VM's state; below, each case by itself on the code as it was: up to a minute.

mod rig;

use rig::fleet::{Fleet, Treats};
use std::time::Duration;
use tokio::time::sleep;

/// A site: zones, VMs, the time in which an endpoint that leaves is out of use, and how long after a trouble the rules hold
/// again, both in ms.
#[derive(Clone, Copy, Debug)]
struct Size {
    zones: usize,
    vms: usize,
    leaving_ms: u64,
    calm_ms: u64,
}

/// Today's small sites, the grown ones, and one of several hundred.
const SIZES: [Size; 3] = [
    Size {
        zones: 3,
        vms: 8,
        leaving_ms: 2000,
        calm_ms: 3000,
    },
    Size {
        zones: 3,
        vms: 71,
        leaving_ms: 3000,
        calm_ms: 4000,
    },
    Size {
        zones: 5,
        vms: 150,
        leaving_ms: 4000,
        calm_ms: 5000,
    },
];

/// What a request that was chosen just before takes of that time, in ms: a new connection, and the way.
const ON_THE_WAY_MS: u64 = 250;

impl Size {
    async fn start(self) -> Fleet {
        Fleet::start(self.zones, self.vms, self.leaving_ms, 6).await
    }

    fn calm(self) -> Duration {
        Duration::from_millis(self.calm_ms)
    }

    fn bound(self) -> Duration {
        Duration::from_millis(self.leaving_ms.saturating_sub(ON_THE_WAY_MS))
    }

    /// Checks that nothing is sent to an endpoint any more in time, counted from now.
    async fn check(self, case: &str, fleet: &Fleet, endpoint: usize) {
        let (took, last) = fleet.out_of_use(endpoint).await;
        assert!(
            took <= self.bound(),
            "{case}, {} VMs: {last} was last, after {took:?}",
            self.vms
        );
    }
}

fn leaders(fleet: &Fleet) -> Vec<usize> {
    (0..fleet.zones()).map(|z| fleet.zone(z)[0]).collect()
}

#[tokio::test(start_paused = true)]
async fn leave_readers_in_trouble() {
    for size in SIZES {
        readers_in_trouble(size).await;
        readers_gone(size).await;
    }
}

async fn readers_in_trouble(size: Size) {
    let fleet = size.start().await;
    fleet.leave(1);
    size.check("calm", &fleet, 1).await;

    fleet.treat_all(Treats::Deaf);
    sleep(Duration::from_secs(1)).await;
    fleet.leave(2);
    size.check("calls are never woken", &fleet, 2).await;
    fleet.treat_all(Treats::Well);

    // Connections that go silent for good, and new ones that work.
    fleet.treat_all(Treats::Silent);
    fleet.treat_all(Treats::Well);
    sleep(size.calm()).await;
    fleet.leave(3);
    size.check("calls under way are never answered", &fleet, 3)
        .await;

    fleet.treat(&leaders(&fleet), Treats::Away);
    sleep(Duration::from_millis(100)).await;
    fleet.leave(4);
    size.check("readers are turned away", &fleet, 4).await;
}

async fn readers_gone(size: Size) {
    let mut fleet = size.start().await;
    for i in leaders(&fleet) {
        fleet.kill(i);
    }
    sleep(Duration::from_millis(100)).await;
    fleet.leave(1);
    size.check("readers are gone", &fleet, 1).await;

    // The zone that is cut off still reaches the store, but its reader doesn't.
    let cut = fleet.zone(1);
    fleet.cut(1);
    fleet.treat(&cut[..2], Treats::Silent);
    sleep(Duration::from_millis(100)).await;
    fleet.leave(2);
    size.check("a zone is cut off and its reader silent", &fleet, 2)
        .await;
}

#[tokio::test(start_paused = true)]
async fn vanish_around_an_outage() {
    for size in SIZES {
        let fleet = size.start().await;
        fleet.treat_all(Treats::Silent);
        sleep(Duration::from_millis(2500)).await;
        fleet.treat_all(Treats::Well);
        sleep(size.calm()).await;
        fleet.vanish(1);
        size.check("after an outage of the store", &fleet, 1).await;

        // A reader that alone was turned away gets the store back as an entry goes.
        let leader = leaders(&fleet)[0];
        fleet.treat(&[leader], Treats::Away);
        sleep(Duration::from_millis(700)).await;
        fleet.treat(&[leader], Treats::Well);
        fleet.vanish(2);
        size.check("after an outage of one VM's own", &fleet, 2)
            .await;
    }
}

#[tokio::test(start_paused = true)]
async fn vanish_behind_a_state() {
    // The store comes back for all but some, and an entry has lapsed. Who takes another's state doesn't take what the
    // other only holds back: it would never hear of the removal again.
    for size in SIZES {
        let fleet = size.start().await;
        fleet.treat_all(Treats::Away);
        sleep(Duration::from_secs(4)).await;
        fleet.vanish(1);
        let back: Vec<usize> = (0..fleet.vms.len()).filter(|i| i % 2 == 0).collect();
        fleet.treat(&back, Treats::Well);
        sleep(Duration::from_millis(2500) + size.calm()).await;
        size.check("behind another VM's state", &fleet, 1).await;
    }
}
