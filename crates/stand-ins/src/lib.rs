//! Small stand-ins for what limehollow works with: the platform, model engines and a plain service.
//!
//! They speak the protocols of `docs/interfaces.md`, fail on request, and keep a history of what they
//! really did. Checks read that history, never limehollow's own view.

pub mod engine;
pub mod platform;
pub mod run;
pub mod service;
