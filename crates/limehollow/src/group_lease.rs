//! The right to give orders, held through membership of a group at the platform.
//!
//! The platform deals a partition to one member of a group at a time. Who is assignment it holds the lease.
//! Its generation rises with each change of the group, but goes back with a store that comes back from a copy, so the
//! fencing number is of the store's era first. A new holder
//! first waits until orders of the one before can't arrive any more, and a holder that hasn't heard
//! from the platform lately gives no orders (`docs/design/system.md`).

use std::time::Duration;
use tokio::time::Instant;

/// How long a member may be silent before its lease passes on.
pub const TTL: Duration = Duration::from_millis(1500);
/// How often a member joins anew: a lost call doesn't yet cost the lease.
pub const JOIN_EVERY: Duration = Duration::from_millis(450);
/// How old the start of the last good join may be when an order is given. Well under [`TTL`], since the
/// order itself takes time to arrive.
pub const ORDER_WITHIN: Duration = Duration::from_millis(1000);
/// What a new holder waits beyond the time that the site's rules ask for.
const HANDOVER_MARGIN: Duration = Duration::from_millis(100);

/// The bits of a fencing number that the generation takes; the era is in those above.
const GENERATION_BITS: u32 = 32;

/// When in the history of the group something was true: the store's era first, then the group's generation, which rises with each
/// change of the group within an era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Term {
    /// How often the store has come back from a copy.
    pub era: u64,
    /// The group's generation.
    pub generation: u64,
}

impl Term {
    /// Gives the fencing number, which never falls.
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
    /// Whether the lease's partition is this member's.
    pub holds_lease: bool,
}

/// A change that is worth a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseChange {
    /// The lease came to this process, with this fencing number.
    Taken(u64),
    /// It is this process's again, with this fencing number, and nobody else had it in between.
    Resumed(u64),
    /// It went to another one.
    Lost,
}

/// What is known of the holder before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Predecessor {
    /// Nothing: it may have given orders until just now.
    #[default]
    Unknown,
    /// It resigned, and had given no order.
    Idle,
    /// It resigned, and gave its last order then.
    Ordered(Instant),
}

/// A lease that lapsed and may still be this process's.
#[derive(Clone, Copy, Debug)]
struct Suspended {
    term: Term,
    held_since: Instant,
}

/// What one process knows of the lease.
#[derive(Debug)]
pub struct GroupLease {
    handover: Duration,
    term: Term,
    /// Since when the lease has been held without a break, as far as this process knows.
    held_since: Option<Instant>,
    renewed: Option<Instant>,
    suspended: Option<Suspended>,
    predecessor: Predecessor,
    last_order: Option<Instant>,
}

impl GroupLease {
    /// Makes the watch of a process that holds nothing. `between_holders` is how long orders of two
    /// holders have to be apart.
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

    /// Gives the generation heard last, which the next join names.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.term.generation
    }

    /// Gives the fencing number of the term heard last, for what is said of the lease.
    #[must_use]
    pub fn last_fence(&self) -> u64 {
        self.term.fence()
    }

    /// Gives the fencing number if orders may be given now.
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

    /// Tells whether the lease was held and may have passed on since: the platform hasn't confirmed it for so long.
    #[must_use]
    pub fn has_lapsed(&self, now: Instant) -> bool {
        let lapsed = |t: Instant| now.duration_since(t) >= TTL;
        self.is_held() && self.renewed.is_none_or(lapsed)
    }

    /// Gives when the last order was given at the latest, by this holder or one before it.
    ///
    /// One that resigns before it gave any hands on what it knew of its predecessor: the next would otherwise order
    /// at once, right after the one before both.
    #[must_use]
    pub fn last_order(&self) -> Option<Instant> {
        self.last_order.or(match self.predecessor {
            Predecessor::Unknown => self.held_since,
            Predecessor::Ordered(t) => Some(t),
            Predecessor::Idle => None,
        })
    }

    /// Tells whether the lease is held, though perhaps not long enough for orders.
    #[must_use]
    pub fn is_held(&self) -> bool {
        self.held_since.is_some()
    }

    /// Notes that an order is given.
    pub fn record_order(&mut self, now: Instant) {
        self.last_order = Some(now);
    }

    /// Notes that the holder before resigned, and when it gave its last order, so that this one waits from then on.
    ///
    /// A rolling restart of a site passes through each holder; without this each cost three seconds without orders.
    pub fn set_predecessor(&mut self, before: Predecessor) {
        self.predecessor = before;
    }

    /// Gives the lease up: the process ends.
    pub fn release(&mut self) {
        self.held_since = None;
        self.renewed = None;
    }

    /// Gives no orders any more, because the lease has lapsed while the platform answered nobody; it is taken up again if the
    /// platform's first answer names the same term.
    pub fn suspend(&mut self) {
        self.suspended = self.held_since.map(|held_since| Suspended {
            term: self.term,
            held_since,
        });
        self.release();
    }

    /// Takes in the answer to a join that was sent at `sent`.
    pub fn apply_assignment(
        &mut self,
        sent: Instant,
        now: Instant,
        assignment: GroupAssignment,
    ) -> Option<LeaseChange> {
        if assignment.term.era < self.term.era {
            // An answer that was long on its way: what it deals is gone.
            return None;
        }
        let lapsed = self.has_lapsed(now);
        self.term = self.term.max(assignment.term);
        // Each change of the group raises the term: in this one nobody else can have been assignment the lease.
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
            // After a lapse another may have held it in between.
            self.held_since = Some(now);
            self.predecessor = Predecessor::Unknown;
            self.last_order = None;
            return Some(LeaseChange::Taken(self.term.fence()));
        }
        None
    }
}
