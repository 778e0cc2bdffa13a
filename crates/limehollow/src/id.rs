//! Names, positions and keys that the other modules share.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::borrow::Borrow;
use std::fmt;

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(SmolStr);

        impl $name {
            /// Gives the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(s: &str) -> Self {
                Self(SmolStr::new(s))
            }
        }

        impl From<String> for $name {
            fn from(s: String) -> Self {
                Self(SmolStr::from(s))
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&self.0, f)
            }
        }
    };
}

name! {
    /// The name of a model or an adapter, as callers give it.
    ModelName
}
name! {
    /// The name of an availability zone.
    ZoneName
}
name! {
    /// The name of a region: zones that are near each other, under one law.
    RegionName
}
name! {
    /// The name of a VM: an entry VM of ours or an endpoint's.
    VmName
}
name! {
    /// The name of a plain service, as it stands in a request's path.
    ServiceName
}
name! {
    /// The name of an operator who publishes intents and answers plans.
    OperatorName
}

/// A position in the platform's log; a higher one is later.
///
/// It doubles as the version of the configuration, as the epoch of a lease and as the fencing
/// number of an order, since the log's order is the only arbiter (`docs/design/log-order.md`).
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Offset(pub u64);

impl Offset {
    /// Gives the position right after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Offset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The log service's own time of an append, in milliseconds.
///
/// All processes see the same value for a record, so a rule on it gives the same verdict
/// everywhere. It is never compared with a local clock.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LogTime(pub u64);

impl LogTime {
    /// Gives the milliseconds since an earlier time, or zero if that one is later.
    #[must_use]
    pub fn millis_since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// One start of a process or of an endpoint; a restart has another one.
pub type Incarnation = u64;

/// The index of an accelerator on its endpoint.
pub type AcceleratorIndex = u16;

slotmap::new_key_type! {
    /// Names an endpoint in a gateway's arena of endpoints.
    pub struct EndpointKey;
}
