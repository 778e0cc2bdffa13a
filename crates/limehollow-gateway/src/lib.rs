//! The gateway: accepts callers' requests, routes them to endpoints and answers each request once.
//!
//! Request handling runs on several threads that read the routing table without a lock. The state
//! replicated through the log belongs to one thread, in [`control`]. Decisions are made by the
//! [`limehollow`] crate; this crate does the I/O around them: it parses a request ([`request`]),
//! admits it ([`shared_admission`]), sends it ([`attempt`]), streams the answer ([`relay`]) and
//! claims the idempotency key if the request has one ([`claims`]).

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
