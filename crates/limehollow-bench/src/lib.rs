//! Measurements of limehollow.
//!
//! Five programs, each a command in `docs/measurements.md`: `slopes` (what one entry or message
//! costs), `policy` (moves and attainment on seeded demand, on virtual time), `overhead` (a
//! gateway against the endpoint called directly, on sockets), `losses` (where service was lost in a
//! played day, from the lines of its processes) and `departures` (how long VMs took to learn that endpoints leave).

pub mod demand;
pub mod departures;
pub mod fleets;
mod lines;
pub mod losses;
pub mod placing;
pub mod routing;
mod unserved;
