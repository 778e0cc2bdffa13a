//! Workspaces: the customers that callers belong to, with their keys and limits.
//!
//! Only the digest of a key is stored, so no copy of a configuration, message or dump contains a key. The time that a
//! comparison takes reveals nothing about a key either: to exploit it, a caller would have to choose digests
//! (`docs/design/workspaces.md`).
//!
//! ```
//! use limehollow::workspace::{Cost, KeyDigest, Workspace, Workspaces};
//!
//! let mine = Workspace {
//!     name: "bookkeeping".into(),
//!     keys: vec![KeyDigest::of("a key")],
//!     rank: Some(1),
//!     limit: None,
//!     cost: Cost::Request,
//!     homes: Vec::new(),
//! };
//! let workspaces = Workspaces::new(vec![mine]).unwrap();
//! assert_eq!(workspaces.find(&KeyDigest::of("a key")).unwrap().name, "bookkeeping");
//! assert!(workspaces.find(&KeyDigest::of("another key")).is_none());
//! ```

use crate::id::RegionName;
use crate::quota::Limit;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use snafu::Snafu;
use std::collections::{BTreeSet, HashMap};
use std::fmt;

/// The length of a digest in bytes.
const LEN: usize = 32;
/// The length of the prefix of a digest by which keys are looked up, in bytes.
const PREFIX: usize = 8;
/// The number of bytes of a digest that are displayed: enough to tell keys apart, too few to find a key by trial.
const SHOWN: usize = 4;

/// The digest of a key.
#[derive(Clone, Copy, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyDigest([u8; LEN]);

impl KeyDigest {
    /// Returns the digest of a key.
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(*blake3::hash(key.as_bytes()).as_bytes())
    }

    fn prefix(&self) -> [u8; PREFIX] {
        let mut out = [0; PREFIX];
        out.copy_from_slice(&self.0[..PREFIX]);
        out
    }
}

/// Compares digests in constant time, as [`blake3::Hash`] does.
impl PartialEq for KeyDigest {
    fn eq(&self, other: &Self) -> bool {
        blake3::Hash::from(self.0) == blake3::Hash::from(other.0)
    }
}

impl Eq for KeyDigest {}

/// Writes only the first bytes of the digest.
impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0[..SHOWN]
            .iter()
            .try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({self})")
    }
}

/// The cost of a request, which counts against its workspace's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cost {
    /// Each request costs one.
    #[default]
    Request,
    /// A request costs the number of tokens that it states.
    Tokens {
        /// The cost of a request that states no tokens.
        plain: u32,
    },
}

impl Cost {
    /// Returns the cost of a request that states this number of tokens.
    #[must_use]
    pub fn of(self, tokens: Option<u64>) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "a request has few tokens")]
        match self {
            Self::Request => 1.0,
            Self::Tokens { plain } => tokens.map_or(f64::from(plain), |n| n as f64),
        }
    }
}

/// One workspace: callers who share keys and a limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// Its name, which is sent to endpoints.
    pub name: SmolStr,
    /// The keys of its callers.
    pub keys: Vec<KeyDigest>,
    /// The rank of its requests, which takes precedence over the rule's rank; 0 is the most urgent.
    pub rank: Option<u8>,
    /// The limit of its requests over all VMs together; `None` if it is unlimited.
    pub limit: Option<Limit>,
    /// The cost of a request against the limit.
    pub cost: Cost,
    /// The regions in which its requests may run; any region if empty.
    pub homes: Vec<RegionName>,
}

/// An error in a configuration's workspaces.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum WorkspacesError {
    /// A workspace has no name.
    #[snafu(display("a workspace has no name"))]
    Nameless,
    /// Two workspaces have the same name.
    #[snafu(display("workspace {name} is defined twice"))]
    NameTwice {
        /// The name.
        name: SmolStr,
    },
    /// Two workspaces have the same key.
    #[snafu(display("workspaces {one} and {other} have the same key"))]
    KeyTwice {
        /// The first workspace.
        one: SmolStr,
        /// The second.
        other: SmolStr,
    },
}

/// All workspaces of a configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "Vec<Workspace>", into = "Vec<Workspace>")]
pub struct Workspaces {
    all: Vec<Workspace>,
    /// The indices in `all` of the workspaces that have a key whose digest has this prefix.
    by_prefix: HashMap<[u8; PREFIX], Vec<usize>>,
}

impl Workspaces {
    /// Creates the workspaces of a configuration.
    ///
    /// # Errors
    ///
    /// Returns [`WorkspacesError`] if a name is empty, or if two workspaces share a name or a key.
    pub fn new(all: Vec<Workspace>) -> Result<Self, WorkspacesError> {
        let mut names = BTreeSet::new();
        let mut by_prefix: HashMap<[u8; PREFIX], Vec<usize>> = HashMap::new();
        for (i, w) in all.iter().enumerate() {
            let name = &w.name;
            if name.is_empty() {
                return NamelessSnafu.fail();
            }
            if !names.insert(name) {
                return NameTwiceSnafu { name: name.clone() }.fail();
            }
            for key in &w.keys {
                let indices = by_prefix.entry(key.prefix()).or_default();
                let mut others = indices.iter().filter(|p| **p != i);
                if let Some(p) = others.find(|p| all[**p].keys.contains(key)) {
                    let one = all[*p].name.clone();
                    let other = name.clone();
                    return KeyTwiceSnafu { one, other }.fail();
                }
                indices.push(i);
            }
        }
        Ok(Self { all, by_prefix })
    }

    /// Returns the workspace that has a key.
    #[must_use]
    pub fn find(&self, key: &KeyDigest) -> Option<&Workspace> {
        let indices = self.by_prefix.get(&key.prefix())?;
        let mut found = indices.iter().map(|p| &self.all[*p]);
        found.find(|w| w.keys.contains(key))
    }

    /// Returns the workspace with this name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Workspace> {
        self.all.iter().find(|w| w.name == name)
    }

    /// Returns all workspaces.
    #[must_use]
    pub fn all(&self) -> &[Workspace] {
        &self.all
    }

    /// Returns `true` if there are no workspaces; requests then need no key.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }
}

impl TryFrom<Vec<Workspace>> for Workspaces {
    type Error = WorkspacesError;

    fn try_from(all: Vec<Workspace>) -> Result<Self, WorkspacesError> {
        Self::new(all)
    }
}

impl From<Workspaces> for Vec<Workspace> {
    fn from(w: Workspaces) -> Self {
        w.all
    }
}
