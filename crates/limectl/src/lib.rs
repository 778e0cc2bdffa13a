//! The operators' command line: they publish intents, answer plans, and ask why things are so.
//!
//! `limectl` folds the log itself, with the same code as the daemons. So it needs no daemon to be up,
//! and what it says is what every daemon will say at the same offset.

pub mod args;
pub mod command;
pub mod error;
pub mod intent_file;
pub mod session;
pub mod show;
