//! Decides when a candidate joins the platform's group to get the lease.
//!
//! The platform may reassign the lease whenever a member joins or leaves the group. A VM therefore doesn't join while
//! another one is known to hold the lease, and a holder keeps it through the restarts of all others. When the holder
//! falls silent or resigns, the candidates join one after the other, so that the first is assigned the lease before the
//! second asks for it.
//!
//! With all candidates in the group, on a day on which four of seven VMs restart, twice, the lease moved eleven times
//! between seconds 18 and 45, and orders were given in only five of these seconds (`docs/design/worst-seconds.md`).

use crate::group_lease::Predecessor;
use smol_str::SmolStr;
use std::time::Duration;
use tokio::time::Instant;

/// The time without a notice after which the holder counts as silent.
///
/// It is above a dozen messages of a zone, and below the time after which the platform reassigns the lease, so that a
/// candidate is in the group by then.
pub const HOLDER_TIMEOUT: Duration = Duration::from_millis(1200);
/// The time for which a VM waits for notices of a holder after its start before it joins: three messages of a zone.
pub const STARTUP_WAIT: Duration = Duration::from_millis(300);
/// The time between the joins of two candidates: a call to the store and a message between zones.
pub const CANDIDATE_STAGGER: Duration = Duration::from_millis(300);

/// The increase of the fencing number from a holder that resigns to its direct successor: one leaves, one joins.
const DIRECT_SUCCESSOR: u64 = 2;

/// A VM's report on the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notice {
    /// The VM.
    pub vm: SmolStr,
    /// Its fencing number.
    pub fence: u64,
    /// Whether it holds the lease, or has just resigned.
    pub holds: bool,
    /// The latest time at which it can have given its last order; `None` if it gave none.
    pub last_order: Option<Instant>,
}

/// One VM's knowledge of the lease's holder.
#[derive(Debug)]
pub struct Candidacy {
    last: Option<(Instant, Notice)>,
    started: Instant,
}

impl Candidacy {
    /// Creates the state of a VM that starts now.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            last: None,
            started: now,
        }
    }

    /// Returns the VM that holds the lease, by its last notice if that is recent.
    #[must_use]
    pub fn holder(&self, now: Instant) -> Option<&SmolStr> {
        let notice = self.recent_notice(now)?;
        notice.holds.then_some(&notice.vm)
    }

    /// Returns the last notice of the holder, or of a VM that resigned, if it is younger than [`HOLDER_TIMEOUT`].
    #[must_use]
    pub fn recent_notice(&self, now: Instant) -> Option<&Notice> {
        let (at, notice) = self.last.as_ref()?;
        (now.duration_since(*at) < HOLDER_TIMEOUT).then_some(notice)
    }

    /// Returns `true` if the candidate of this rank may join the group now.
    #[must_use]
    pub fn may_join(&self, now: Instant, rank: usize) -> bool {
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let stagger = CANDIDATE_STAGGER.saturating_mul(rank);
        let (since, wait) = match &self.last {
            Some((at, notice)) if notice.holds => (*at, HOLDER_TIMEOUT),
            Some((at, _)) => (*at, Duration::ZERO),
            None => (self.started, STARTUP_WAIT),
        };
        now.duration_since(since) >= wait + stagger
    }

    /// Forgets the last notice and waits as after a start: this VM was suspended or cut off, and another may hold the
    /// lease by now.
    pub fn restart(&mut self, now: Instant) {
        self.last = None;
        self.started = now;
    }

    /// Records a notice. Returns `true` if it shows that the lease has just become free.
    ///
    /// Notices may arrive out of order: of two holders the one with the higher fencing number is the current one.
    pub fn observe(&mut self, now: Instant, notice: Notice) -> bool {
        let Some((at, last)) = &mut self.last else {
            let is_free = !notice.holds;
            self.last = Some((now, notice));
            return is_free;
        };
        if notice.fence < last.fence {
            return false;
        }
        let is_repeated = !notice.holds && !last.holds && notice.vm == last.vm;
        if is_repeated {
            // A resignation is repeated for some time; the candidates' waits count from its first notice.
            last.last_order = last.last_order.max(notice.last_order);
            return false;
        }
        let resigns = !notice.holds;
        if resigns && last.holds && notice.vm != last.vm {
            return false;
        }
        *at = now;
        *last = notice;
        resigns
    }

    /// Returns what is known of the predecessor of a holder with this fencing number.
    ///
    /// It is known only if it resigned and no other VM can have held the lease in between.
    #[must_use]
    pub fn predecessor(&self, now: Instant, fence: u64) -> Predecessor {
        let is_direct = |n: &Notice| fence > n.fence && fence <= n.fence + DIRECT_SUCCESSOR;
        let resigned = self.recent_notice(now).filter(|n| !n.holds && is_direct(n));
        resigned.map_or(Predecessor::Unknown, |n| {
            n.last_order.map_or(Predecessor::Idle, Predecessor::Ordered)
        })
    }
}
