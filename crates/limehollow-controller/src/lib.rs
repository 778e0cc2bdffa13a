//! The controller process, which runs on each entry VM.
//!
//! At most one controller per availability zone holds the zone's lease.
//!
//! A single thread, the one that runs [`control::Control`], owns all state. Calls to other processes
//! run on other threads and return their results as [`event::Event`]s. The decisions are made in
//! [`limehollow`].

pub mod control;
pub mod event;
pub mod gossip;
pub mod io;
pub mod metrics;
pub mod settings;
