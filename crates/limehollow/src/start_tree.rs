//! Who hands the site's state to a VM that starts.
//!
//! When all VMs start at once, none of them may have to serve all others, and the platform's store even less: its reading is shared,
//! so that what it would send grows with the VMs times the endpoints. So the few VMs that everybody knows from its settings
//! read the store, and each places those that ask it in a tree: a VM gets the state from its parent, once that one has it. A parent
//! has [`FANOUT`] children, so a VM sends a few copies however many start, and the last has the state after as many steps as the logarithm of
//! their number (`docs/design/fleet.md`).
//!
//! ```
//! use limehollow::start_tree::{FANOUT, Giver, StartTree};
//! use tokio::time::Instant;
//!
//! let now = Instant::now();
//! let mut tree = StartTree::default();
//! let vm = |n: u8| std::net::SocketAddr::from(([10, 0, 0, n], 7000));
//! assert_eq!(tree.place(now, &"a".into(), vm(1)), Giver::Me);
//! assert_eq!(tree.place(now, &"a".into(), vm(2)), Giver::Other(vm(1)));
//! // Another zone has a tree of its own: the state crosses to it once.
//! assert_eq!(tree.place(now, &"b".into(), vm(3)), Giver::Me);
//! ```

use crate::id::ZoneName;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// How many VMs get the state from the same one.
pub const FANOUT: usize = 3;
/// After how long without a VM that asks a tree is forgotten: those in it may be gone by then.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(10);

/// From whom a VM gets the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Giver {
    /// From the VM that it has asked.
    Me,
    /// From the VM that listens there.
    Other(SocketAddr),
}

/// The trees of those that asked one VM lately, one for each zone.
#[derive(Debug, Default)]
pub struct StartTree {
    zones: BTreeMap<ZoneName, Branch>,
}

#[derive(Debug)]
struct Branch {
    /// In the order in which they asked: the children of the first are the next [`FANOUT`], and so on.
    vms: Vec<SocketAddr>,
    /// Where in that order each is, and how often it has asked.
    asked: HashMap<SocketAddr, (usize, usize)>,
    last: Instant,
}

impl StartTree {
    /// Gives from whom a VM gets the state that has just started.
    ///
    /// One that asks again got nothing from its parent, and is sent to the parent's parent.
    pub fn place(&mut self, now: Instant, zone: &ZoneName, vm: SocketAddr) -> Giver {
        let branch = self.zones.entry(zone.clone()).or_insert_with(|| Branch {
            vms: Vec::new(),
            asked: HashMap::new(),
            last: now,
        });
        if now.saturating_duration_since(branch.last) > FORGOTTEN_AFTER {
            branch.vms.clear();
            branch.asked.clear();
        }
        branch.last = now;
        let place = branch.asked.entry(vm).or_insert_with(|| {
            branch.vms.push(vm);
            (branch.vms.len() - 1, 0)
        });
        place.1 += 1;
        let (mut at, ups) = *place;
        for _ in 0..ups {
            let Some(before) = at.checked_sub(1) else {
                return Giver::Me;
            };
            at = before / FANOUT;
        }
        Giver::Other(branch.vms[at])
    }
}
