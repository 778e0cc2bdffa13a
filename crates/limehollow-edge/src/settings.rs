//! Settings files: TOML, checked before anything starts.

use crate::error::{FileSnafu, Result, SettingsSnafu};
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use std::path::Path;

/// A value that parses but isn't valid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Invalid {
    /// The key, with the names of its tables and dots.
    pub key: &'static str,
    /// What would be valid.
    pub why: String,
}

impl Invalid {
    /// Makes one.
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

/// Settings that can check themselves.
pub trait Settings: DeserializeOwned {
    /// Checks what the types don't.
    ///
    /// # Errors
    ///
    /// The first key whose value isn't valid.
    fn check(&self) -> std::result::Result<(), Invalid>;
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// [`crate::Error::Settings`] names file, line and key and says what would be valid;
/// [`crate::Error::File`] if the file can't be read.
pub fn load<S>(path: &Path) -> Result<S>
where
    S: Settings,
{
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).context(FileSnafu { file: file.clone() })?;
    parse(&file, &text)
}

/// Reads and checks the text of a settings file.
///
/// # Errors
///
/// As [`load`].
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

/// Checks that a value is an IP number and a port.
///
/// # Errors
///
/// An [`Invalid`] for the key.
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
/// An [`Invalid`] for the key.
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

/// Checks that a name isn't empty and fits in messages.
///
/// # Errors
///
/// An [`Invalid`] for the key.
pub fn check_name(key: &'static str, value: &str) -> std::result::Result<(), Invalid> {
    if value.is_empty() || value.len() > limehollow_wire::peer::MAX_NAME {
        return Err(Invalid::new(key, "must have 1 to 128 bytes"));
    }
    Ok(())
}

fn line_of(text: &str, at: usize) -> usize {
    text.bytes().take(at).filter(|b| *b == b'\n').count() + 1
}

/// Gives the key that a line sets.
fn key_at(text: &str, line: usize) -> Option<&str> {
    let (key, _) = text.lines().nth(line - 1)?.split_once('=')?;
    Some(key.trim())
}

/// Gives the line of a key, or of its table if the key isn't written down, or the first.
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
