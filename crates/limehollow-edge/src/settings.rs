//! Settings files in TOML, which are checked before the process starts its work.

use crate::error::{FileSnafu, Result, SettingsSnafu};
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use std::path::Path;

/// A setting whose value parses but isn't valid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Invalid {
    /// The key, preceded by the names of its tables and joined with dots.
    pub key: &'static str,
    /// What a valid value would be.
    pub why: String,
}

impl Invalid {
    /// Creates an error for a key.
    #[must_use]
    pub fn new<S>(key: &'static str, why: S) -> Self
    where
        S: Into<String>,
    {
        Self {
            key,
            why: why.into(),
        }
    }
}

/// Settings that can be read from a file and checked.
pub trait Settings: DeserializeOwned {
    /// Checks the constraints that the types don't express.
    ///
    /// # Errors
    ///
    /// Returns the first key whose value isn't valid.
    fn check(&self) -> std::result::Result<(), Invalid>;
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Returns [`crate::Error::Settings`], which names the file, the line, the key and what a valid value would
/// be, or [`crate::Error::File`] if the file can't be read.
pub fn load<S>(path: &Path) -> Result<S>
where
    S: Settings,
{
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).context(FileSnafu { file: file.clone() })?;
    parse(&file, &text)
}

/// Parses and checks the text of a settings file.
///
/// # Errors
///
/// Returns [`crate::Error::Settings`] as [`load`] does.
pub fn parse<S>(file: &str, text: &str) -> Result<S>
where
    S: Settings,
{
    let settings: S = toml::from_str(text).map_err(|e| {
        let line = e.span().map_or(1, |s| line_of(text, s.start));
        let key = key_at(text, line)
            .map(|k| format!("{k}: "))
            .unwrap_or_default();
        let why = format!("{key}{}", e.message().replace('\n', ", "));
        SettingsSnafu { file, line, why }.build()
    })?;
    match settings.check() {
        Ok(()) => Ok(settings),
        Err(bad) => {
            let line = find_key(text, bad.key);
            SettingsSnafu {
                file,
                line,
                why: format!("{}: {}", bad.key, bad.why),
            }
            .fail()
        }
    }
}

/// Checks that a value is an IP address and a port.
///
/// # Errors
///
/// Returns an [`Invalid`] for the key.
pub fn check_address(key: &'static str, value: &str) -> std::result::Result<(), Invalid> {
    if value.parse::<std::net::SocketAddr>().is_ok() {
        return Ok(());
    }
    let why = format!("must be an IP number and a port, as 127.0.0.1:7000, not {value:?}");
    Err(Invalid::new(key, why))
}

/// Checks that a number lies in a range.
///
/// # Errors
///
/// Returns an [`Invalid`] for the key.
pub fn check_range(
    key: &'static str,
    value: u64,
    range: std::ops::RangeInclusive<u64>,
) -> std::result::Result<(), Invalid> {
    if range.contains(&value) {
        return Ok(());
    }
    let why = format!("must be {} to {}, not {value}", range.start(), range.end());
    Err(Invalid::new(key, why))
}

/// Checks that a name isn't empty and isn't longer than messages allow.
///
/// # Errors
///
/// Returns an [`Invalid`] for the key.
pub fn check_name(key: &'static str, value: &str) -> std::result::Result<(), Invalid> {
    if value.is_empty() || value.len() > limehollow_wire::peer::MAX_NAME {
        return Err(Invalid::new(key, "must have 1 to 128 bytes"));
    }
    Ok(())
}

fn line_of(text: &str, at: usize) -> usize {
    text.bytes().take(at).filter(|b| *b == b'\n').count() + 1
}

/// Returns the key that a line sets.
fn key_at(text: &str, line: usize) -> Option<&str> {
    let (key, _) = text.lines().nth(line - 1)?.split_once('=')?;
    Some(key.trim())
}

/// Returns the line of a key, or that of its table if the key is absent, or the first line if the table is
/// absent too.
fn find_key(text: &str, key: &str) -> usize {
    let (table, name) = key.rsplit_once('.').unwrap_or(("", key));
    let mut current = "";
    let mut table_line = 1;
    for (i, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(head) = line.strip_prefix('[') {
            current = head.trim_start_matches('[').trim_end_matches(']').trim();
            if current == table {
                table_line = i + 1;
            }
        } else if current == table && line.split_once('=').is_some_and(|(k, _)| k.trim() == name) {
            return i + 1;
        }
    }
    table_line
}
