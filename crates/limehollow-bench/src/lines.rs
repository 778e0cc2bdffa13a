//! Lines of processes as a played day shows them: time in seconds, name of the VM, a JSON object.

use serde::de::DeserializeOwned;

/// One line.
#[derive(Debug)]
pub(crate) struct Line<'l, T> {
    /// When it was written, in seconds.
    pub at_s: f64,
    /// The VM that wrote it.
    pub vm: &'l str,
    /// What it says; an error where a process was killed in the middle of it, for example.
    pub said: Result<T, serde_json::Error>,
}

/// Reads a line; none if it isn't one of a process.
pub(crate) fn parse<T>(line: &str) -> Option<Line<'_, T>>
where
    T: DeserializeOwned,
{
    let (head, json) = line.split_at(line.find('{')?);
    let mut words = head.split_whitespace();
    Some(Line {
        at_s: words.next()?.parse().ok()?,
        vm: words.next()?,
        said: serde_json::from_str(json),
    })
}
