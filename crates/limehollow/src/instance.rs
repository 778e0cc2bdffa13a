//! Identifies one start of an endpoint.
//!
//! An endpoint may restart under the same id. It then holds no models, counts its orders from zero and has lost the
//! requests in progress. Everything known about an endpoint is therefore known about one start of it
//! (`docs/design/system.md`, "Endpoints that start again").

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::fmt;

/// One start of an endpoint.
///
/// ```
/// use limehollow::instance::{Instance, StartOrder};
///
/// let first = Instance { id: "i-1".into(), born: Some(1_000) };
/// let second = Instance { id: "i-1".into(), born: Some(2_000) };
/// assert_eq!(second.compare(&first), StartOrder::Later);
/// assert_eq!(Instance::from("i-1").compare(&first), StartOrder::Same);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Instance {
    /// The endpoint's id, which names it in requests and orders.
    pub id: SmolStr,
    /// When it started, in Unix milliseconds by its own clock; `None` if it doesn't report this. It is only compared
    /// with other values of the same endpoint, never with a clock of this process.
    pub born: Option<u64>,
}

/// Distinguishes the reports of one start of an endpoint from those of a later start.
#[derive(Clone, Debug)]
pub struct StartCheck {
    instance: Instance,
    /// The highest count of orders that was reported; the count doesn't fall within a start.
    counted: u64,
}

impl StartCheck {
    /// Creates the check for a start that hasn't reported yet.
    #[must_use]
    pub fn new(instance: Instance) -> Self {
        Self {
            instance,
            counted: 0,
        }
    }

    /// Records the next report and returns `true` if it is of the same start. Reports have to come from the endpoint
    /// itself, and in order.
    pub fn observe(&mut self, born: Option<u64>, orders_taken: u64) -> bool {
        let reporting = Instance {
            id: self.instance.id.clone(),
            born,
        };
        if reporting.compare(&self.instance) != StartOrder::Same || orders_taken < self.counted {
            return false;
        }
        self.instance.born = self.instance.born.or(born);
        self.counted = orders_taken;
        true
    }
}

/// The order of two starts with the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartOrder {
    /// They are the same start, or the time of at least one is unknown.
    Same,
    /// The start is later than the other one.
    Later,
    /// The start is earlier than the other one.
    Earlier,
}

impl Instance {
    /// Compares this start with another one of the same id.
    #[must_use]
    pub fn compare(&self, other: &Self) -> StartOrder {
        match (self.born, other.born) {
            (Some(mine), Some(theirs)) if mine > theirs => StartOrder::Later,
            (Some(mine), Some(theirs)) if mine < theirs => StartOrder::Earlier,
            _ => StartOrder::Same,
        }
    }

    /// Returns `true` if both have the same id and their times, where known, are equal.
    #[must_use]
    pub fn is_same(&self, other: &Self) -> bool {
        self.id == other.id && self.compare(other) == StartOrder::Same
    }
}

impl From<SmolStr> for Instance {
    fn from(id: SmolStr) -> Self {
        Self { id, born: None }
    }
}

impl From<&str> for Instance {
    fn from(id: &str) -> Self {
        Self::from(SmolStr::new(id))
    }
}

impl fmt::Display for Instance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.id)?;
        match self.born {
            Some(born) => write!(f, "@{born}"),
            None => Ok(()),
        }
    }
}
