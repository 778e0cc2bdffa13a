//! Log records and messages that limehollow processes exchange, with their codecs.
//!
//! Types that are sent or stored are defined in this crate, apart from the types of the decision logic, so that a
//! change to that logic can't change a format by accident. Each format carries a schema version. A reader skips what
//! it can't read, and counts it (`docs/interfaces.md`).
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
