//! Where in a log of the platform's store somebody has read to.
//!
//! The store may come back from a copy that is some seconds old. What it acknowledged since is gone, its offsets go back and
//! are given out again, and its era rises by one. So an offset alone says nothing about another one: positions are compared by era
//! first (`docs/design/store-eras.md`).
//!
//! ```
//! use limehollow::log_position::LogPosition;
//!
//! let before = LogPosition::new(1, 461);
//! let after = LogPosition::new(2, 453);
//! assert!(after > before, "who has read after the return is further");
//! assert!(!after.covers(before), "but hasn't seen all that the other has");
//! assert!(after.covers(LogPosition::new(2, 450)));
//! ```

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu};
use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

/// A position in a log; the first one where nothing has been read.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LogPosition {
    // The order of the fields is the order of positions.
    era: u64,
    offset: u64,
}

/// A text that is no position.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{text:?} is no position: ERA.OFFSET is expected"))]
pub struct ParsePositionError {
    text: String,
}

impl LogPosition {
    /// Makes the position at an offset of an era.
    #[must_use]
    pub const fn new(era: u64, offset: u64) -> Self {
        Self { era, offset }
    }

    /// Gives the era: how often the store has come back from a copy.
    #[must_use]
    pub const fn era(self) -> u64 {
        self.era
    }

    /// Gives the offset.
    #[must_use]
    pub const fn offset(self) -> u64 {
        self.offset
    }

    /// Tells whether nothing has been read.
    #[must_use]
    pub fn is_start(self) -> bool {
        self == Self::default()
    }

    /// Tells whether what was read up to this position has all that was read up to another one.
    #[must_use]
    pub const fn covers(self, other: Self) -> bool {
        self.era == other.era && self.offset >= other.offset
    }

    /// Gives the position so many records further on.
    #[must_use]
    pub fn advanced_by(self, records: usize) -> Self {
        let records = u64::try_from(records).unwrap_or(u64::MAX);
        Self::new(self.era, self.offset.saturating_add(records))
    }

    /// Gives how many records lie between this position and a later one; none if that is of another era, or no later one.
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
