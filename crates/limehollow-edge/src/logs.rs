//! Log setup. Log lines report changes of state only; frequent events are counted in metrics.

use crate::error::{Result, UsageSnafu};
use std::io::IsTerminal;
use tracing_subscriber::EnvFilter;

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// One JSON object per line.
    Json,
    /// Human-readable text.
    #[default]
    Text,
}

impl Format {
    /// Parses the value of `--log-format`.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Error::Usage`], which names the valid values.
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

/// Installs the log subscriber of this process, which writes to standard error.
///
/// # Errors
///
/// Returns [`crate::Error::Usage`] if the level can't be parsed.
pub fn start(format: Format, level: &str) -> Result<()> {
    // poem logs each start and stop of a listener at the info level; these aren't changes of state.
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
    // Tests call this several times in one process; all calls but the first have no effect.
    let _already = match format {
        Format::Json => builder.json().try_init(),
        Format::Text => builder.try_init(),
    };
    Ok(())
}
