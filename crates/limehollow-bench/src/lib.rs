//! Measurements of limehollow.
//!
//! Six programs, each a command in `docs/measurements.md`: `slopes` (what one entry or message
//! costs), `policy` (moves and attainment on seeded demand, on virtual time), `overhead` (a
//! gateway against the endpoint called directly, on sockets), `losses` (where service was lost in a
//! played day, from the lines of its processes), `departures` (how long VMs took to learn that endpoints leave) and
//! `waiting` (what a decision of the queue of waiting requests costs).

pub mod demand;
pub mod departures;
pub mod fleets;
mod lines;
pub mod losses;
pub mod placing;
pub mod routing;
mod unserved;
pub mod waiting;
