//! Log records and messages of limehollow, with their codecs.
//!
//! Types that cross a process's edge are defined here, apart from the types that decide, so that a
//! change of a decision can't change a format by accident. Each format carries a schema version; a
//! reader keeps going past what it can't read and counts it (`docs/interfaces.md`).
//!
//! ```
//! use limehollow::record::{Content, LeaseTaken, Record};
//! use limehollow_wire::record::{decode, encode};
//!
//! let lease = LeaseTaken { zone: "a".into(), holder: "vm-1".into(), incarnation: 1, replaces: None };
//! let text = encode(&Record::LeaseTaken(lease.clone()));
//! assert_eq!(decode(&text).unwrap(), Content::Record(Record::LeaseTaken(lease)));
//! ```

pub mod claim;
pub mod engine;
pub mod error;
pub mod gossip;
pub mod peer;
pub mod platform;
pub mod record;

pub use error::{Error, Result};
