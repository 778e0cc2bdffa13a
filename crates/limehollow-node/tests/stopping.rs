//! How a process ends.

use limehollow_node::caller::accept_after_stop;
use std::time::Duration;

#[test]
fn turn_away_leaves_time_for_what_was_taken_last() {
    // Found by the soak: with a grace of 3 s connections were taken for 2.8 s, and streams cut at its end.
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
