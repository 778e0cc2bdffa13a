//! The decision logic of limehollow, free of I/O.
//!
//! All decisions are made in this crate by plain function calls: events and the current time are the
//! inputs, commands are the outputs. There is no socket, task, lock or log line here, so tests, benchmarks
//! and processes run the same code. The design is explained in `docs/design/`.
//!
//! # Overview
//!
//! * [`fleet::Fleet`] is the replicated state that is driven by the platform's log. Each process applies
//!   the same records in the same order and so reaches the same state; a record that would violate an
//!   invariant is void for every process (`docs/design/log-order.md`).
//! * [`placement`] turns an [`intent::Intent`] into a [`plan::Plan`] whose steps fit in memory.
//! * [`lease`], [`membership`] and [`order`] make the decisions of a controller.
//! * [`routing`], [`admission`], [`retry`], [`claim`] and [`verdict`] make the decisions of a gateway.
//! * [`answer_end`] decides whether an endpoint's answer is complete, [`stream_origin`] remembers which version of a
//!   service's software began a stream, and [`version_history`] proves it where nobody does (`docs/design/streams.md`).
//! * [`fingerprint`], [`crash_watch`], [`crash_record`] and [`quarantine`] detect requests that crash the
//!   endpoints that run them (`docs/design/crashing-requests.md`).
//! * [`workspace`], [`confirmation`] and [`quota`] identify callers, bound how long a key stays valid without
//!   confirmation, and enforce the quotas of workspaces (`docs/design/workspaces.md`).
//! * [`backpressure`] tracks the limits and pauses that endpoints ask for (`docs/design/backpressure.md`), and
//!   [`slot_ledger`] grants the slots of brittle endpoints, [`backlog`] says when a refused caller's turn comes (`docs/design/brittle.md`).
//! * [`own_delay`] measures how late this VM's own tasks get their turn, and [`intake`] decides by it which connections the VM
//!   takes (`docs/design/own-delay.md`).
//! * [`wait_queue`] decides which request starts next while the endpoints of a model are short of capacity
//!   (`docs/design/load-scheduling.md`).
//! * [`endpoint_capacity`] estimates how much load each endpoint can take, from the gaps between the events of its streams
//!   (`docs/design/load-scheduling.md`).
//! * [`own_reach`] decides whether it is this VM that reaches no endpoint (`docs/design/cut-off-vms.md`).
//! * [`start_tree`] selects the VM from which a starting VM fetches the shared state (`docs/design/fleet.md`).
//! * [`send_budget`] and [`send_interval`] limit the messages between VMs (`docs/design/overload.md`).
//! * [`log_position`] is a reader's position in the platform's store, which may be restored from a copy
//!   (`docs/design/store-eras.md`).
//! * [`catalog`], [`instance`], [`roster`], [`job`], [`balance`], [`retry_window`], [`arrivals`], [`candidacy`],
//!   [`group_lease`], [`late_loads`], [`load_window`], [`order_book`] and [`rebalance`] make the decisions of a VM
//!   in a site whose platform stores the configuration and the endpoints (`docs/design/system.md`).
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
pub mod answer_end;
pub mod arrivals;
mod assignments;
pub mod backlog;
pub mod backpressure;
pub mod balance;
pub mod candidacy;
pub mod catalog;
pub mod claim;
pub mod confirmation;
pub mod crash_record;
pub mod crash_watch;
pub mod demand;
pub mod endpoint_capacity;
pub mod error;
pub mod explain;
pub mod fingerprint;
pub mod fleet;
pub mod freshness;
pub mod group_lease;
mod health;
pub mod id;
pub mod instance;
pub mod intake;
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
pub mod own_delay;
pub mod own_reach;
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
pub mod send_interval;
pub mod slot_ledger;
pub mod start_tree;
pub mod stream_origin;
pub mod verdict;
pub mod version_history;
pub mod wait_queue;
pub mod workspace;

pub use error::{Category, Error, Result};
