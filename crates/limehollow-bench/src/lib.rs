//! Measurements of limehollow.
//!
//! Three programs, each a command in `docs/measurements.md`: `slopes` (what one entry or message
//! costs), `policy` (moves and attainment on seeded demand, on virtual time), and `overhead` (a
//! gateway against the endpoint called directly, on sockets).

pub mod demand;
pub mod fleets;
pub mod placing;
pub mod routing;
