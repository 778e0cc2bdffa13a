//! How often VMs send messages to their zone, and relay what the leaders of other zones send.
//!
//! A VM has to read what all others of its zone send, so in a large zone each sends less often. What is concluded from
//! silence depends on it: in a zone of a hundred VMs more than a second passes between two summaries of another zone.
//!
//! ```
//! use limehollow::send_interval;
//!
//! assert!(send_interval::of_messages(60) > send_interval::of_messages(4));
//! assert!(send_interval::longest_between_summaries(99) > send_interval::of_summaries(99));
//! ```

use std::ops::Range;
use std::time::Duration;

/// How often a VM sends inside its zone, and the zone's leader to other zones: a tenth of the tightest
/// objective of the services that run models. Older reports cost worth: at 120 ms inside and 240 ms between
/// zones it was 0.02 to 0.04 on quiet days (`docs/design/system.md`).
const INTERVAL: Duration = Duration::from_millis(80);
/// The number of neighbours up to which a VM sends that often. With more neighbours the interval grows in
/// proportion, up to [`SLOWEST_INTERVAL`], so that what a VM has to read stays bounded.
const NEIGHBOURS_AT_FULL_RATE: usize = 8;
const SLOWEST_INTERVAL: Duration = Duration::from_millis(240);
/// The longest interval at which the summary of another zone is relayed inside a zone. Summaries are valid
/// for half as long again.
const SLOWEST_SUMMARY_INTERVAL: Duration = Duration::from_millis(1000);
/// The range of the random factor on the interval until the next message.
pub const JITTER: Range<f64> = 0.9..1.1;

/// Returns the interval between the messages of a VM with this number of neighbours.
#[must_use]
pub fn of_messages(neighbours: usize) -> Duration {
    for_neighbours(neighbours).min(SLOWEST_INTERVAL)
}

/// Returns the interval at which a VM with this number of neighbours relays the summary of another zone.
/// Each neighbour gets a copy, and summaries are valid for longer than this.
#[must_use]
pub fn of_summaries(neighbours: usize) -> Duration {
    for_neighbours(neighbours).min(SLOWEST_SUMMARY_INTERVAL)
}

/// Returns the longest time between two summaries of another zone at a VM with this number of neighbours, if none is
/// lost: once its interval has passed, the next one that arrives is relayed.
#[must_use]
pub fn longest_between_summaries(neighbours: usize) -> Duration {
    of_summaries(neighbours) + SLOWEST_INTERVAL.mul_f64(JITTER.end)
}

fn for_neighbours(neighbours: usize) -> Duration {
    #[expect(clippy::cast_precision_loss, reason = "a zone has few VMs")]
    let slower = neighbours as f64 / NEIGHBOURS_AT_FULL_RATE as f64;
    INTERVAL.mul_f64(slower.max(1.0))
}
