//! The controller: one on each entry VM; at most one per availability zone holds its lease.
//!
//! All state is on one thread, the one that runs [`control::Control`]. Calls to the outside run on
//! other threads and come back as [`event::Event`]s. What to do is decided in [`limehollow`].

pub mod control;
pub mod event;
pub mod gossip;
pub mod io;
pub mod metrics;
pub mod settings;
