//! The decisions of limehollow, without input or output.
//!
//! Everything that has to hold is decided in this crate by plain calls: events and the time go in,
//! commands come out. There is no socket, task, lock or log line here, so a test, a bench or a
//! process drives the same code. The reasons behind the parts are in `docs/design/`.
//!
//! # A short tour
//!
//! * [`fleet::Fleet`] is the state that the platform's log agrees on. Each process folds the same
//!   records in the same order and so reaches the same state; a record that would break a promise
//!   is void for everybody (`docs/design/log-order.md`).
//! * [`placement`] turns an [`intent::Intent`] into a [`plan::Plan`] whose steps fit in memory.
//! * [`lease`], [`membership`] and [`order`] drive a controller.
//! * [`routing`], [`admission`], [`retry`], [`claim`] and [`verdict`] drive a gateway.
//! * [`fingerprint`], [`crash_watch`], [`crash_record`] and [`quarantine`] find out which requests crash the endpoints that run
//!   them (`docs/design/crashing-requests.md`).
//! * [`workspace`], [`confirmation`] and [`quota`] say who callers are, for how long a key counts and what a workspace may use
//!   (`docs/design/workspaces.md`).
//! * [`backpressure`] is what endpoints say of what they want to be sent (`docs/design/backpressure.md`).
//! * [`start_tree`] says from whom a VM that starts gets what the others know (`docs/design/fleet.md`).
//! * [`send_budget`] bounds what VMs say to each other (`docs/design/overload.md`).
//! * [`log_position`] says how far somebody has read what the platform's store keeps, which may come back from a copy
//!   (`docs/design/store-eras.md`).
//! * [`catalog`], [`instance`], [`roster`], [`job`], [`balance`], [`retry_window`], [`arrivals`], [`candidacy`],
//!   [`group_lease`], [`late_loads`], [`load_window`], [`order_book`] and [`rebalance`] drive the process of a site whose platform keeps configuration and
//!   endpoints (`docs/design/system.md`).
//!
//! ```
//! use limehollow::fleet::Fleet;
//! use limehollow::id::{LogTime, Offset};
//! use limehollow::record::{LeaseTaken, Record};
//!
//! let mut fleet = Fleet::default();
//! let lease = LeaseTaken { zone: "a".into(), holder: "vm-1".into(), incarnation: 1, replaces: None };
//! fleet.apply(Offset(0), LogTime(0), &Record::LeaseTaken(lease)).unwrap();
//! assert_eq!(fleet.epoch(&"a".into()), Some(Offset(0)));
//! ```

pub mod admission;
pub mod arrivals;
mod assignments;
pub mod backpressure;
pub mod balance;
pub mod candidacy;
pub mod catalog;
pub mod claim;
pub mod confirmation;
pub mod crash_record;
pub mod crash_watch;
pub mod demand;
pub mod error;
pub mod explain;
pub mod fingerprint;
pub mod fleet;
pub mod freshness;
pub mod group_lease;
mod health;
pub mod id;
pub mod instance;
pub mod intent;
pub mod job;
pub mod late_loads;
pub mod lease;
pub mod listing;
pub mod load;
pub mod load_window;
pub mod log_position;
pub mod membership;
pub mod order;
pub mod order_book;
mod pace;
pub mod peers;
pub mod placement;
pub mod plan;
pub mod quarantine;
pub mod quota;
pub mod rebalance;
mod recent_answers;
pub mod record;
pub mod replay;
pub mod retry;
pub mod retry_window;
pub mod roster;
pub mod routing;
pub mod send_budget;
pub mod start_tree;
pub mod verdict;
pub mod workspace;

pub use error::{Category, Error, Result};
