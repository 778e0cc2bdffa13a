//! Measurements of limehollow.
//!
//! Four programs, each a command in `docs/measurements.md`: `slopes` (what one entry or message
//! costs), `policy` (moves and attainment on seeded demand, on virtual time), `overhead` (a
//! gateway against the endpoint called directly, on sockets), and `losses` (where service was lost in a
//! played day, from the lines of its processes).

pub mod demand;
pub mod fleets;
pub mod losses;
pub mod placing;
pub mod routing;
