//! Names, log offsets and keys that are shared by the other modules.

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
            /// Returns the name as a string slice.
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
    /// The name of a model or an adapter, as used by callers.
    ModelName
}
name! {
    /// The name of an availability zone.
    ZoneName
}
name! {
    /// The name of a region: a group of nearby zones under one jurisdiction.
    RegionName
}
name! {
    /// The name of a VM, which is an entry VM or an endpoint.
    VmName
}
name! {
    /// The name of a plain service, as used in request paths.
    ServiceName
}
name! {
    /// The version of the software that an endpoint runs, as an opaque text: versions are equal or different, and
    /// have no order.
    SoftwareVersion
}
name! {
    /// The name of an operator who publishes intents and answers plans.
    OperatorName
}

/// An offset in the platform's log; a higher offset is later.
///
/// Offsets also serve as configuration versions, lease epochs and fencing numbers of orders, since the
/// order of the log alone decides between concurrent writers (`docs/design/log-order.md`).
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Offset(pub u64);

impl Offset {
    /// Returns the offset right after this one.
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

/// The log service's time of an append, in milliseconds.
///
/// All processes read the same value for a record, so a rule that depends on it has the same result
/// everywhere. It is never compared with a local clock.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LogTime(pub u64);

impl LogTime {
    /// Returns the milliseconds since an earlier time, or zero if `earlier` is the later one.
    #[must_use]
    pub fn millis_since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// The number of one start of a process or of an endpoint; each restart has another number.
pub type Incarnation = u64;

/// The index of an accelerator on its endpoint.
pub type AcceleratorIndex = u16;

slotmap::new_key_type! {
    /// The key of an endpoint in a gateway's arena of endpoints.
    pub struct EndpointKey;
}
