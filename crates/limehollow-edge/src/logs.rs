//! Logs: lines for changes of state only; what happens often is counted in metrics.

use crate::error::{Result, UsageSnafu};
use std::io::IsTerminal;
use tracing_subscriber::EnvFilter;

/// How log lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// One JSON object a line.
    Json,
    /// Text for people.
    #[default]
    Text,
}

impl Format {
    /// Reads the word of the command line.
    ///
    /// # Errors
    ///
    /// [`crate::Error::Usage`] names the words that are valid.
    pub fn parse(s: &str) -> Result<Self> {
        match s {
            "json" => Ok(Self::Json),
            "text" => Ok(Self::Text),
            _ => UsageSnafu {
                why: format!("--log-format must be json or text, not {s:?}"),
            }
            .fail(),
        }
    }
}

/// Starts the logs of this process, on standard error.
///
/// # Errors
///
/// [`crate::Error::Usage`] if the level can't be read.
pub fn start(format: Format, level: &str) -> Result<()> {
    // The HTTP library says each start and stop of a listener; those aren't our changes of state.
    let filter = EnvFilter::try_new(format!("poem=warn,{level}")).map_err(|e| {
        UsageSnafu {
            why: format!("--log-level: {e}"),
        }
        .build()
    })?;
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(std::io::stderr().is_terminal())
        .with_writer(std::io::stderr);
    // A second start in one process changes nothing, which is what tests need.
    let _already = match format {
        Format::Json => builder.json().try_init(),
        Format::Text => builder.try_init(),
    };
    Ok(())
}
