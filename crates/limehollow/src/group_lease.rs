//! The lease that allows a process to give orders, held through membership of a group at the platform.
//!
//! The platform assigns a partition to one member of the group at a time, and that member holds the lease. The group's
//! generation rises with each change of the group, but falls when the store is restored from a copy, so the fencing
//! number is ordered by the store's era first. A new holder waits until no order of its predecessor can still arrive,
//! and a holder without a recent answer of the platform gives no orders (`docs/design/system.md`).

use std::time::Duration;
use tokio::time::Instant;

/// The time without a join after which the platform reassigns a member's lease.
pub const TTL: Duration = Duration::from_millis(1500);
/// The time between two joins of a member. A single lost call doesn't cost the lease.
pub const JOIN_EVERY: Duration = Duration::from_millis(450);
/// The maximum age of the last successful join, counted from its start, at which an order may be given. It is well
/// under [`TTL`], since the order itself takes time to arrive.
pub const ORDER_WITHIN: Duration = Duration::from_millis(1000);
/// The time that a new holder waits beyond what the site's rules require.
const HANDOVER_MARGIN: Duration = Duration::from_millis(100);

/// The low bits of a fencing number, which hold the generation; the era is in the bits above.
const GENERATION_BITS: u32 = 32;

/// A point in the history of the group, ordered by the store's era and then by the group's generation.
///
/// The generation rises with each change of the group within an era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Term {
    /// The number of times that the store was restored from a copy.
    pub era: u64,
    /// The group's generation.
    pub generation: u64,
}

impl Term {
    /// Returns the fencing number, which never falls.
    #[must_use]
    pub fn fence(self) -> u64 {
        (self.era << GENERATION_BITS) | self.generation
    }
}

/// The platform's answer to a join.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupAssignment {
    /// The group's term.
    pub term: Term,
    /// Whether the lease's partition is assigned to this member.
    pub holds_lease: bool,
}

/// A change of the lease that is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseChange {
    /// This process acquired the lease, with this fencing number.
    Taken(u64),
    /// This process has the lease again, with this fencing number, and no other process held it in between.
    Resumed(u64),
    /// The lease passed to another process.
    Lost,
}

/// What is known of the previous holder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Predecessor {
    /// Nothing is known: it may have given orders until just now.
    #[default]
    Unknown,
    /// It resigned, and had given no order.
    Idle,
    /// It resigned, and gave its last order at this time.
    Ordered(Instant),
}

/// A lease that lapsed and that this process may still hold.
#[derive(Clone, Copy, Debug)]
struct Suspended {
    term: Term,
    held_since: Instant,
}

/// One process's state of the lease.
#[derive(Debug)]
pub struct GroupLease {
    handover: Duration,
    term: Term,
    /// The time since which this process has held the lease without a known interruption.
    held_since: Option<Instant>,
    /// When the last join that confirmed the lease was sent.
    renewed: Option<Instant>,
    suspended: Option<Suspended>,
    predecessor: Predecessor,
    last_order: Option<Instant>,
}

impl GroupLease {
    /// Creates the state of a process that doesn't hold the lease. `between_holders` is the minimum time between the
    /// orders of two holders.
    #[must_use]
    pub fn new(between_holders: Duration) -> Self {
        Self {
            handover: between_holders + HANDOVER_MARGIN,
            term: Term::default(),
            held_since: None,
            renewed: None,
            suspended: None,
            predecessor: Predecessor::Unknown,
            last_order: None,
        }
    }

    /// Returns the generation of the last answer, which the next join sends.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.term.generation
    }

    /// Returns the fencing number of the last known term, for notices about the lease.
    #[must_use]
    pub fn last_fence(&self) -> u64 {
        self.term.fence()
    }

    /// Returns the fencing number if orders may be given now.
    #[must_use]
    pub fn fence(&self, now: Instant) -> Option<u64> {
        let since = self.held_since?;
        let fresh = self
            .renewed
            .is_some_and(|t| now.duration_since(t) < ORDER_WITHIN);
        let free_for = |t: Instant| now.duration_since(t) >= self.handover;
        let is_free = match self.predecessor {
            Predecessor::Unknown => free_for(since),
            Predecessor::Ordered(last) => free_for(last),
            Predecessor::Idle => true,
        };
        (fresh && is_free).then_some(self.term.fence())
    }

    /// Returns `true` if the lease is held but was last confirmed [`TTL`] ago or more, so that another process may have
    /// it.
    #[must_use]
    pub fn has_lapsed(&self, now: Instant) -> bool {
        let lapsed = |t: Instant| now.duration_since(t) >= TTL;
        self.is_held() && self.renewed.is_none_or(lapsed)
    }

    /// Returns the latest time at which this holder or its predecessor can have given the last order.
    ///
    /// A holder that resigns before its first order passes on what it knew of its predecessor. The next holder would
    /// otherwise give orders at once, right after that predecessor's.
    #[must_use]
    pub fn last_order(&self) -> Option<Instant> {
        self.last_order.or(match self.predecessor {
            Predecessor::Unknown => self.held_since,
            Predecessor::Ordered(t) => Some(t),
            Predecessor::Idle => None,
        })
    }

    /// Returns `true` if the lease is held, though perhaps not long enough to give orders.
    #[must_use]
    pub fn is_held(&self) -> bool {
        self.held_since.is_some()
    }

    /// Records that an order is given.
    pub fn record_order(&mut self, now: Instant) {
        self.last_order = Some(now);
    }

    /// Sets what is known of the previous holder, so that the wait counts from its last order if it resigned.
    ///
    /// A rolling restart of a site moves the lease through each VM; without this each move cost three seconds without
    /// orders.
    pub fn set_predecessor(&mut self, before: Predecessor) {
        self.predecessor = before;
    }

    /// Releases the lease as the process ends.
    pub fn release(&mut self) {
        self.held_since = None;
        self.renewed = None;
    }

    /// Suspends the lease, which lapsed while the platform answered no VM. It is resumed if the platform's first answer
    /// names the same term.
    pub fn suspend(&mut self) {
        self.suspended = self.held_since.map(|held_since| Suspended {
            term: self.term,
            held_since,
        });
        self.release();
    }

    /// Applies the answer to a join that was sent at `sent`.
    pub fn apply_assignment(
        &mut self,
        sent: Instant,
        now: Instant,
        assignment: GroupAssignment,
    ) -> Option<LeaseChange> {
        if assignment.term.era < self.term.era {
            // A late answer of a former era: what it assigns is void.
            return None;
        }
        let lapsed = self.has_lapsed(now);
        self.term = self.term.max(assignment.term);
        // Each change of the group raises the term, so no other member was assigned the lease within this one.
        let suspended = self.suspended.take();
        if let Some(s) = suspended.filter(|s| assignment.holds_lease && s.term == assignment.term) {
            self.renewed = Some(sent);
            self.held_since = Some(s.held_since);
            return Some(LeaseChange::Resumed(self.term.fence()));
        }
        if !assignment.holds_lease {
            self.renewed = None;
            return self.held_since.take().map(|_| LeaseChange::Lost);
        }
        self.renewed = Some(sent);
        if self.held_since.is_none() || lapsed {
            // Another process may have held the lease during the lapse.
            self.held_since = Some(now);
            self.predecessor = Predecessor::Unknown;
            self.last_order = None;
            return Some(LeaseChange::Taken(self.term.fence()));
        }
        None
    }
}
