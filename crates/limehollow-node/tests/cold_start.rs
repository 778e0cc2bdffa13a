//! All VMs of a site start at once with one shared store, on paused time.
//!
//! Guards against an overloaded store at a start. Each VM read the whole list and announced itself, so the
//! number of calls grew with the VMs times the endpoints. Reads and appends share the store's capacity:
//! calls waited in the queue, timed out and were repeated, and the store's work for them was lost. From the
//! third second on it answered no VM any more; of 985 VMs none could serve, and that hadn't improved half a
//! minute later.

mod rig;

use rig::fleet::Fleet;
use std::time::Duration;
use tokio::time::sleep;

/// The size of a site: zones, VMs and endpoints.
type Size = (usize, usize, usize);

const SIZES: [Size; 3] = [(3, 9, 30), (3, 71, 120), (5, 300, 300)];
/// Entries that the store can return per second: few enough that the complete list for all VMs of the
/// largest site would take half a minute.
const ENTRIES_PER_S: f64 = 3000.0;
/// The time after the start within which all VMs can serve.
const READY_WITHIN: Duration = Duration::from_secs(4);
/// The number of seeds in the settings.
const SEEDS: usize = 3;
/// The number of VMs of a zone that follow the feed of VMs.
const READERS: usize = 3;

#[tokio::test(start_paused = true)]
async fn cold_start_of_all_vms() {
    for (zones, vms, endpoints) in SIZES {
        let mut fleet = Fleet::cold(zones, vms, endpoints, ENTRIES_PER_S);
        let took = fleet.all_ready(endpoints).await;
        assert!(took < READY_WITHIN, "{vms} VMs: {took:?}");
        sleep(Duration::from_secs(15)).await;
        let (entries, appends) = fleet.turns.asked();
        // The seeds read the list; the feed of VMs is read by the readers of each zone as well.
        let most = SEEDS * (endpoints + 1) + (SEEDS + zones * READERS) * vms;
        assert!(entries <= most, "{vms} VMs: {entries} entries were read");
        assert!(appends <= 8 * SEEDS, "{vms} VMs: {appends} appends");
        assert_eq!(fleet.fewest_neighbours(), vms / zones - 1, "{vms} VMs");

        fleet.restart_all_cold();
        let took = fleet.all_ready(endpoints).await;
        assert!(took < READY_WITHIN, "{vms} VMs start again: {took:?}");
    }
}

/// Changes of the list come every third of a second, and the readers of the zones read at different times.
#[tokio::test(start_paused = true)]
async fn list_changes_cause_no_catch_up() {
    for (zones, vms, leaving_ms) in [(3, 8, 2000), (3, 71, 3000), (5, 150, 5000)] {
        let mut fleet = Fleet::start(zones, vms, leaving_ms, 40).await;
        // A restarted reader reads at times that count from its start.
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
