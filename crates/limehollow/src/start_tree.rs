//! Who hands the site's state to a VM that starts.
//!
//! When all VMs start at once, none of them may have to serve all others, and the platform's store even less: its reading is shared,
//! so that what it would send grows with the VMs times the endpoints. So the few VMs that everybody knows from its settings
//! read the store, and each places those that ask it in a tree: a VM gets the state from its parent, once that one has it. A parent
//! has [`FANOUT`] children, so a VM sends a few copies however many start, and the last has the state after as many steps as the logarithm of
//! their number (`docs/design/fleet.md`).
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
//! // Another zone has a tree of its own: the state crosses to it once.
//! assert_eq!(tree.assign_parent(now, &"b".into(), (vm(3), 250), read_to), Parent::AskedVm);
//! ```

use crate::id::ZoneName;
use crate::log_position::LogPosition;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// How many VMs get the state from the same one.
pub const FANOUT: usize = 4;
/// After how long without a VM that asks a tree is forgotten: those in it may be gone by then.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(10);

/// From whom a VM gets the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Parent {
    /// From the VM that it has asked.
    AskedVm,
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
    /// In the order in which they asked.
    vms: Vec<Placed>,
    /// Where in that order each is, and how often it has asked.
    asked: HashMap<SocketAddr, (usize, usize)>,
    /// Those that may get children, the ones first that asked first.
    open: VecDeque<usize>,
    /// The processor of all that asked, in thousandths of a core.
    millicores: u64,
    last: Instant,
    position: LogPosition,
}

#[derive(Debug)]
struct Placed {
    vm: SocketAddr,
    /// Its parent's place; none where it gets the state from the VM that was asked.
    parent: Option<usize>,
    children: usize,
}

impl Branch {
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

    /// Places a VM that asks for the first time. Weaker ones than most get no children: whoever waits for them waits long.
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
    /// Gives from whom a VM gets the state that has just started, with its processor in thousandths of a core.
    ///
    /// One that asks again got nothing from its parent, and is sent to the parent's parent. `position` is how far the list has been read by
    /// the VM that is asked: once it has read on, those that ask miss something else, and there is a new tree for them.
    pub fn assign_parent(
        &mut self,
        now: Instant,
        zone: &ZoneName,
        (vm, millicores): (SocketAddr, u32),
        position: LogPosition,
    ) -> Parent {
        let branch = self.zones.entry(zone.clone());
        let branch = branch.or_insert_with(|| Branch::new(now, position));
        let is_old = now.saturating_duration_since(branch.last) > FORGOTTEN_AFTER;
        if is_old || position != branch.position {
            *branch = Branch::new(now, position);
        }
        branch.last = now;
        let (at, before) = match branch.asked.get(&vm) {
            Some(place) => *place,
            None => (branch.add(vm, millicores), 0),
        };
        branch.asked.insert(vm, (at, before + 1));
        let mut giver = branch.vms[at].parent;
        for _ in 0..before {
            giver = giver.and_then(|p| branch.vms[p].parent);
        }
        giver.map_or(Parent::AskedVm, |p| Parent::Other(branch.vms[p].vm))
    }
}
