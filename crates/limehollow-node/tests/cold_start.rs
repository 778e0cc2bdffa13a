//! All VMs of a site start at once before a store that all of them share, on paused time.
//!
//! What users saw: of 985 VMs none could serve; from the third second after the start the store answered nobody any more, and
//! nothing had become better half a minute later. Order of events: each VM reads the whole list and makes itself known; the store's reading and its
//! appends are shared, so calls wait for their turn and are given up before it comes; each is sent again, and what the store did for it is
//! lost. Cause: what all VMs ask grows with the VMs times the endpoints, and what is sent again keeps the store busy by itself.
//! Evidence: the lists of all VMs stop at the same entry, and announcements go on evenly to the end of the day.

mod rig;

use rig::fleet::Fleet;
use std::time::Duration;
use tokio::time::sleep;

/// A site: zones, VMs and endpoints.
type Size = (usize, usize, usize);

const SIZES: [Size; 3] = [(3, 9, 30), (3, 71, 120), (5, 300, 300)];
/// Entries that the store reads out in a second: few enough that it would take half a minute for all VMs of the largest site.
const ENTRIES_PER_S: f64 = 3000.0;
/// Within which time after the start all VMs can serve.
const READY_WITHIN: Duration = Duration::from_secs(4);
/// The VMs that the settings name.
const NAMED: usize = 3;
/// The VMs of a zone that follow which VMs there are.
const READERS: usize = 3;

#[tokio::test(start_paused = true)]
async fn cold_start_of_all_vms() {
    for (zones, vms, endpoints) in SIZES {
        let mut fleet = Fleet::cold(zones, vms, endpoints, ENTRIES_PER_S);
        let took = fleet.all_ready(endpoints).await;
        assert!(took < READY_WITHIN, "{vms} VMs: {took:?}");
        sleep(Duration::from_secs(15)).await;
        let (entries, appends) = fleet.turns.asked();
        // The named VMs read the list; what shows the VMs is read by the readers of each zone as well.
        let most = NAMED * (endpoints + 1) + (NAMED + zones * READERS) * vms;
        assert!(entries <= most, "{vms} VMs: {entries} entries were read");
        assert!(appends <= 8 * NAMED, "{vms} VMs: {appends} appends");
        assert_eq!(fleet.fewest_neighbours(), vms / zones - 1, "{vms} VMs");

        fleet.restart_all_cold();
        let took = fleet.all_ready(endpoints).await;
        assert!(took < READY_WITHIN, "{vms} VMs start again: {took:?}");
    }
}

/// Changes of the list come each third of a second, and the zones are read for at different moments.
#[tokio::test(start_paused = true)]
async fn changes_of_the_list_make_nobody_catch_up() {
    for (zones, vms, leaving_ms) in [(3, 8, 2000), (3, 71, 3000), (5, 150, 5000)] {
        let mut fleet = Fleet::start(zones, vms, leaving_ms, 40).await;
        // Who reads for a zone reads on from when it started.
        for zone in 1..zones {
            sleep(Duration::from_millis(leaving_ms / 7)).await;
            let reader = fleet.zone(zone)[0];
            fleet.restart(reader);
        }
        sleep(Duration::from_secs(5)).await;
        let before = fleet.handed_over();
        for i in 0..30 {
            fleet.list(i);
            sleep(Duration::from_millis(330)).await;
        }
        let states = fleet.handed_over() - before;
        assert_eq!(states, 0, "{vms} VMs");
    }
}
