//! Input and output shared by all limehollow processes.
//!
//! Clients of the platform's services and of endpoints, the socket between limehollow's processes,
//! settings, the command line, logs, the memory for callers' bodies and the admin port. This crate makes no scheduling decisions; those
//! are in [`limehollow`].
//!
//! ```no_run
//! use limehollow_edge::log::{HttpLog, LogService};
//!
//! # async fn f() -> limehollow_edge::Result<()> {
//! let log = HttpLog::new("127.0.0.1:7000")?;
//! let batch = log.read("control", 0, 100, std::time::Duration::ZERO).await?;
//! println!("the log keeps {} to {}", batch.first, batch.next);
//! # Ok(())
//! # }
//! ```

pub mod admin;
pub mod args;
pub mod engine;
pub mod error;
pub mod follow;
pub mod http;
pub mod log;
pub mod logs;
pub mod members;
pub mod peer;
pub mod process;
pub mod request_memory;
pub mod settings;

pub use error::{Error, Exit, Result};
