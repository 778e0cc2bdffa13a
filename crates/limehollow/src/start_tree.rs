//! A distribution tree that assigns each starting VM a parent, from which it fetches the site's state.
//!
//! When all VMs start at once, no VM may have to serve all others. Nor may the platform's store: the bytes that it
//! would send grow with the number of VMs times the number of endpoints. Only the few VMs that all others know from
//! their settings read the store. Each of them places the VMs that ask it in a tree, and a VM gets the state from its
//! parent once the parent has it. A parent has at most [`FANOUT`] children, so no VM sends more than a few copies, and
//! the last VM has the state after a number of steps that is logarithmic in the number of VMs (`docs/design/fleet.md`).
//!
//! ```
//! use limehollow::log_position::LogPosition;
//! use limehollow::start_tree::{FANOUT, Parent, StartTree};
//! use tokio::time::Instant;
//!
//! let now = Instant::now();
//! let mut tree = StartTree::default();
//! let vm = |n: u8| std::net::SocketAddr::from(([10, 0, 0, n], 7000));
//! let read_to = LogPosition::new(0, 7);
//! assert_eq!(tree.assign_parent(now, &"a".into(), (vm(1), 250), read_to), Parent::AskedVm);
//! assert_eq!(tree.assign_parent(now, &"a".into(), (vm(2), 250), read_to), Parent::Other(vm(1)));
//! // Each zone has a tree of its own, so that the state crosses to it once.
//! assert_eq!(tree.assign_parent(now, &"b".into(), (vm(3), 250), read_to), Parent::AskedVm);
//! ```

use crate::id::ZoneName;
use crate::log_position::LogPosition;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// The maximum number of VMs that get the state from the same parent.
pub const FANOUT: usize = 4;
/// The time without a request after which a tree is discarded: the VMs in it may be gone by then.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(10);

/// The VM from which a starting VM fetches the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Parent {
    /// The VM that it asked.
    AskedVm,
    /// The VM at this address.
    Other(SocketAddr),
}

/// The trees of the VMs that asked one VM recently, one for each zone.
#[derive(Debug, Default)]
pub struct StartTree {
    zones: BTreeMap<ZoneName, ZoneTree>,
}

#[derive(Debug)]
struct ZoneTree {
    /// The VMs in the order in which they asked.
    vms: Vec<Placed>,
    /// The index in `vms` of each VM, and how often it has asked.
    asked: HashMap<SocketAddr, (usize, usize)>,
    /// The indices of the VMs that may get children, in the order in which they asked.
    open: VecDeque<usize>,
    /// The total processor of these VMs, in thousandths of a core.
    millicores: u64,
    /// When a VM asked last.
    last: Instant,
    /// How far the asked VM had read the list.
    position: LogPosition,
}

#[derive(Debug)]
struct Placed {
    vm: SocketAddr,
    /// Its parent's index; `None` if the parent is the VM that was asked.
    parent: Option<usize>,
    children: usize,
}

impl ZoneTree {
    fn new(now: Instant, position: LogPosition) -> Self {
        Self {
            position,
            vms: Vec::new(),
            asked: HashMap::new(),
            open: VecDeque::new(),
            millicores: 0,
            last: now,
        }
    }

    /// Adds a VM that asks for the first time and returns its index.
    ///
    /// A VM with less processor than the average gets no children, as they would wait long for it.
    fn add(&mut self, vm: SocketAddr, millicores: u32) -> usize {
        let parent = self.open.front().copied();
        if let Some(p) = parent {
            self.vms[p].children += 1;
            if self.vms[p].children >= FANOUT {
                self.open.pop_front();
            }
        }
        let at = self.vms.len();
        self.vms.push(Placed {
            vm,
            parent,
            children: 0,
        });
        self.millicores += u64::from(millicores);
        let number = u64::try_from(self.vms.len()).unwrap_or(u64::MAX);
        if u64::from(millicores) * number >= self.millicores || self.open.is_empty() {
            self.open.push_back(at);
        }
        at
    }
}

impl StartTree {
    /// Returns the parent of a starting VM, given its address and its processor in thousandths of a core.
    ///
    /// A VM that asks again got nothing from its parent, and is sent to the parent's parent. `position` is how far the
    /// asked VM has read the list. Once it has read further, the VMs that ask need other records, and get a new tree.
    pub fn assign_parent(
        &mut self,
        now: Instant,
        zone: &ZoneName,
        (vm, millicores): (SocketAddr, u32),
        position: LogPosition,
    ) -> Parent {
        let tree = self.zones.entry(zone.clone());
        let tree = tree.or_insert_with(|| ZoneTree::new(now, position));
        let is_old = now.saturating_duration_since(tree.last) > FORGOTTEN_AFTER;
        if is_old || position != tree.position {
            *tree = ZoneTree::new(now, position);
        }
        tree.last = now;
        let (at, before) = match tree.asked.get(&vm) {
            Some(place) => *place,
            None => (tree.add(vm, millicores), 0),
        };
        tree.asked.insert(vm, (at, before + 1));
        let mut parent = tree.vms[at].parent;
        for _ in 0..before {
            parent = parent.and_then(|p| tree.vms[p].parent);
        }
        parent.map_or(Parent::AskedVm, |p| Parent::Other(tree.vms[p].vm))
    }
}
