//! What every limehollow process needs at its edges.
//!
//! Clients of the platform's services and of endpoints, the socket between our own processes,
//! settings, the command line, logs and the administration port. Decisions are in [`limehollow`];
//! nothing here decides.
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
pub mod settings;

pub use error::{Error, Exit, Result};
