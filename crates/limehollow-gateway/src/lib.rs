//! The gateway: takes callers' requests, routes them, and answers each once.
//!
//! Traffic runs on several threads and reads the routing table without a lock; the state that the
//! log agrees on is on one thread, in [`control`]. What is decided is decided in [`limehollow`]; here
//! a request is read ([`request`]), admitted ([`shared_admission`]), sent ([`attempt`]), streamed ([`relay`]) and,
//! if it carries a key, claimed ([`claims`]).

pub mod answer;
pub mod attempt;
pub mod caller;
pub mod claims;
pub mod control;
pub mod dispatch;
pub mod limit;
pub mod metrics;
pub mod relay;
pub mod request;
pub mod settings;
pub mod shared;
pub mod shared_admission;
