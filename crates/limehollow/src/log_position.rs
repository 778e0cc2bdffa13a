//! The position up to which a log of the platform's store was read.
//!
//! The store may be restored from a copy that is some seconds old. What it acknowledged since is lost, its offsets fall
//! and are assigned again, and its era rises by one. Offsets alone therefore can't be compared; positions are compared
//! by era first (`docs/design/store-eras.md`).
//!
//! ```
//! use limehollow::log_position::LogPosition;
//!
//! let before = LogPosition::new(1, 461);
//! let after = LogPosition::new(2, 453);
//! assert!(after > before, "a position of a later era is further");
//! assert!(!after.covers(before), "but doesn't cover an earlier era");
//! assert!(after.covers(LogPosition::new(2, 450)));
//! ```

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu};
use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

/// A position in a log; the default is the start, before anything was read.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LogPosition {
    // The order of the fields is the order of positions.
    era: u64,
    offset: u64,
}

/// An error returned when a text is no valid position.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("invalid log position {text:?}: expected ERA.OFFSET"))]
pub struct ParsePositionError {
    text: String,
}

impl LogPosition {
    /// Creates the position at an offset of an era.
    #[must_use]
    pub const fn new(era: u64, offset: u64) -> Self {
        Self { era, offset }
    }

    /// Returns the era: the number of times that the store was restored from a copy.
    #[must_use]
    pub const fn era(self) -> u64 {
        self.era
    }

    /// Returns the offset within the era.
    #[must_use]
    pub const fn offset(self) -> u64 {
        self.offset
    }

    /// Returns `true` if nothing was read.
    #[must_use]
    pub fn is_start(self) -> bool {
        self == Self::default()
    }

    /// Returns `true` if all that was read up to `other` was also read up to this position.
    #[must_use]
    pub const fn covers(self, other: Self) -> bool {
        self.era == other.era && self.offset >= other.offset
    }

    /// Returns the position `records` records further on.
    #[must_use]
    pub fn advanced_by(self, records: usize) -> Self {
        let records = u64::try_from(records).unwrap_or(u64::MAX);
        Self::new(self.era, self.offset.saturating_add(records))
    }

    /// Returns the number of records from this position to a later one; 0 if `later` is of another era or isn't later.
    #[must_use]
    pub const fn records_to(self, later: Self) -> u64 {
        if self.era == later.era {
            later.offset.saturating_sub(self.offset)
        } else {
            0
        }
    }
}

impl Display for LogPosition {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.offset)
    }
}

impl FromStr for LogPosition {
    type Err = ParsePositionError;

    fn from_str(text: &str) -> Result<Self, ParsePositionError> {
        let parsed = text.split_once('.').and_then(|(era, offset)| {
            let (era, offset) = (era.parse().ok()?, offset.parse().ok()?);
            Some(Self::new(era, offset))
        });
        parsed.context(ParsePositionSnafu { text })
    }
}
