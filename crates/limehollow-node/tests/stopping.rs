//! How a process stops.

use limehollow_node::caller::accept_after_stop;
use std::time::Duration;

#[test]
fn accept_after_stop_leaves_time_for_the_last_requests() {
    // Found by the soak test: with a grace period of 3 s, connections were accepted for 2.8 s, and streams were cut at
    // the end.
    let cases = [
        (3_000, 1_050),
        (4_000, 1_400),
        (8_000, 2_800),
        (60_000, 2_800),
    ];
    for (grace, expected) in cases {
        let found = accept_after_stop(Duration::from_millis(grace));
        assert_eq!(found, Duration::from_millis(expected), "grace {grace}");
    }
}
