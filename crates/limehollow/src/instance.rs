//! Which start of an endpoint is meant.
//!
//! An endpoint may start again under the id that it had. It then holds nothing, counts its orders anew, and knows
//! nothing of what was under way. So whatever is believed of an endpoint is believed of one start of it
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
    /// When it started, in Unix milliseconds by its own clock; none if it doesn't say. It is only ever compared with
    /// other words of the same endpoint, never with a clock of this process.
    pub born: Option<u64>,
}

/// Tells what one start of an endpoint says of itself from what a later start says.
#[derive(Clone, Debug)]
pub struct StartCheck {
    instance: Instance,
    /// The most orders that were counted; counts rise within a start.
    counted: u64,
}

impl StartCheck {
    /// Makes the check for this start, of which no report has come yet.
    #[must_use]
    pub fn new(instance: Instance) -> Self {
        Self {
            instance,
            counted: 0,
        }
    }

    /// Takes in the next report that was read from the endpoint itself, one after the other. Gives whether it is of the
    /// same start.
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

/// How two starts with the same id follow on each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartOrder {
    /// It is the same start, or one of them doesn't say when it was.
    Same,
    /// The start is a later one.
    Later,
    /// The start is an earlier one.
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

    /// Tells whether both name the same start, as far as they say.
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
