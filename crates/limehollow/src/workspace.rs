//! Who a caller is: workspaces, their keys, and what each may use.
//!
//! A key is known here by its digest only. So no copy of a configuration, message or dump holds one, and how long a
//! comparison takes says nothing about a key: to steer it, a caller would have to choose digests
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

/// The bytes of a digest, and of its part by which keys are looked up.
const LEN: usize = 32;
const PREFIX: usize = 8;
/// The bytes of a digest that operators see: enough to tell keys apart, too few to look for one by trial.
const SHOWN: usize = 4;

/// The digest of a key.
#[derive(Clone, Copy, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyDigest([u8; LEN]);

impl KeyDigest {
    /// Takes the digest of a key.
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

/// The library compares digests in constant time.
impl PartialEq for KeyDigest {
    fn eq(&self, other: &Self) -> bool {
        blake3::Hash::from(self.0) == blake3::Hash::from(other.0)
    }
}

impl Eq for KeyDigest {}

/// Shows the beginning of the digest only.
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

/// What a request counts against its workspace's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cost {
    /// Each request counts one.
    #[default]
    Request,
    /// A request counts the tokens that it says of itself.
    Tokens {
        /// What a request counts that says none.
        plain: u32,
    },
}

impl Cost {
    /// Gives what a request counts that says so many tokens of itself.
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
    /// Its name, which endpoints are told.
    pub name: SmolStr,
    /// The keys of its callers.
    pub keys: Vec<KeyDigest>,
    /// The rank of its requests, which goes before that of the rule; 0 is the most urgent.
    pub rank: Option<u8>,
    /// What its requests may use over all VMs together; none where it is not limited.
    pub limit: Option<Limit>,
    /// What a request counts against it.
    pub cost: Cost,
    /// The regions in which its requests may run; any where none is named.
    pub homes: Vec<RegionName>,
}

/// Why workspaces can't be put in force.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum WorkspacesError {
    /// A workspace has no name.
    #[snafu(display("a workspace has no name"))]
    Nameless,
    /// Two workspaces have one name.
    #[snafu(display("workspace {name} is there twice"))]
    NameTwice {
        /// The name.
        name: SmolStr,
    },
    /// Two workspaces have one key.
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
    /// The places in `all` of the workspaces with a key whose digest begins so.
    by_prefix: HashMap<[u8; PREFIX], Vec<usize>>,
}

impl Workspaces {
    /// Makes the workspaces of a configuration.
    ///
    /// # Errors
    ///
    /// [`WorkspacesError`] if a name is missing, or a name or a key is there twice.
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
                let places = by_prefix.entry(key.prefix()).or_default();
                let mut others = places.iter().filter(|p| **p != i);
                if let Some(p) = others.find(|p| all[**p].keys.contains(key)) {
                    let one = all[*p].name.clone();
                    let other = name.clone();
                    return KeyTwiceSnafu { one, other }.fail();
                }
                places.push(i);
            }
        }
        Ok(Self { all, by_prefix })
    }

    /// Gives the workspace that has a key.
    #[must_use]
    pub fn find(&self, key: &KeyDigest) -> Option<&Workspace> {
        let places = self.by_prefix.get(&key.prefix())?;
        let mut found = places.iter().map(|p| &self.all[*p]);
        found.find(|w| w.keys.contains(key))
    }

    /// Gives the workspace of a name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Workspace> {
        self.all.iter().find(|w| w.name == name)
    }

    /// Gives all workspaces.
    #[must_use]
    pub fn all(&self) -> &[Workspace] {
        &self.all
    }

    /// Tells whether there are none: then no request needs a key.
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
