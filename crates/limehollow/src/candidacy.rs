//! Who stands for the lease, and when.
//!
//! The platform may deal the lease anew whenever a member comes to the group or leaves it. So no VM joins while it
//! hears of one that holds the lease: a holder keeps it through the restarts of all others. When the holder falls
//! silent or resigns, the candidates join one after the other, so that the first is dealt it before the second asks.
//!
//! Measured on a day on which four of seven VMs restart, twice: with all candidates in the group the lease moved
//! eleven times between seconds 18 and 45, and orders were given in five of these seconds
//! (`docs/design/worst-seconds.md`).

use crate::group_lease::Predecessor;
use smol_str::SmolStr;
use std::time::Duration;
use tokio::time::Instant;

/// After how long without a notice of the holder it counts as silent: above a dozen messages of its zone, and below the
/// time after which the platform deals the lease on, so that a candidate stands when it does.
pub const HOLDER_TIMEOUT: Duration = Duration::from_millis(1200);
/// How long a VM listens for a holder after its start before it stands: three messages of a zone.
pub const STARTUP_WAIT: Duration = Duration::from_millis(300);
/// The time between one candidate and the next: a call to the store and a message between zones.
pub const CANDIDATE_STAGGER: Duration = Duration::from_millis(300);

/// By how much the fencing number rises from a holder that resigns to the next: it leaves, the next joins.
const DIRECT: u64 = 2;

/// What a VM says of the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notice {
    /// The VM.
    pub vm: SmolStr,
    /// Its fencing number.
    pub fence: u64,
    /// Whether it holds the lease, or has just resigned.
    pub holds: bool,
    /// When it gave its last order, at the latest; none if it gave none.
    pub last_order: Option<Instant>,
}

/// What one VM knows of who holds the lease.
#[derive(Debug)]
pub struct Candidacy {
    last: Option<(Instant, Notice)>,
    started: Instant,
}

impl Candidacy {
    /// Makes the knowledge of a VM that starts now.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            last: None,
            started: now,
        }
    }

    /// Gives the VM that holds the lease, as far as was heard lately.
    #[must_use]
    pub fn holder(&self, now: Instant) -> Option<&SmolStr> {
        let notice = self.recent_notice(now)?;
        notice.holds.then_some(&notice.vm)
    }

    /// Gives the last notice of the holder, or of who resigned, while it is fresh.
    #[must_use]
    pub fn recent_notice(&self, now: Instant) -> Option<&Notice> {
        let (at, notice) = self.last.as_ref()?;
        (now.duration_since(*at) < HOLDER_TIMEOUT).then_some(notice)
    }

    /// Tells whether the candidate of this rank stands for the lease now.
    #[must_use]
    pub fn may_join(&self, now: Instant, rank: usize) -> bool {
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let turn = CANDIDATE_STAGGER.saturating_mul(rank);
        let (since, silence) = match &self.last {
            Some((at, notice)) if notice.holds => (*at, HOLDER_TIMEOUT),
            Some((at, _)) => (*at, Duration::ZERO),
            None => (self.started, STARTUP_WAIT),
        };
        now.duration_since(since) >= silence + turn
    }

    /// Begins to listen anew: this VM was frozen or cut off, and another may hold the lease by now.
    pub fn restart(&mut self, now: Instant) {
        self.last = None;
        self.started = now;
    }

    /// Takes in what a VM says. Gives whether the lease has just become free.
    ///
    /// Words cross on their way: of two holders the one with the higher fencing number has it.
    pub fn observe(&mut self, now: Instant, notice: Notice) -> bool {
        let Some((at, last)) = &mut self.last else {
            let is_free = !notice.holds;
            self.last = Some((now, notice));
            return is_free;
        };
        if notice.fence < last.fence {
            return false;
        }
        let repeats_itself = !notice.holds && !last.holds && notice.vm == last.vm;
        if repeats_itself {
            // A resignation is said for some time; the turns of the candidates run from its first notice.
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

    /// Gives what is known of the holder before the one that was dealt the lease with this fencing number: something
    /// only if it resigned, and nobody else can have held the lease in between.
    #[must_use]
    pub fn predecessor(&self, now: Instant, fence: u64) -> Predecessor {
        let direct = |w: &Notice| fence > w.fence && fence <= w.fence + DIRECT;
        let resigned = self.recent_notice(now).filter(|w| !w.holds && direct(w));
        resigned.map_or(Predecessor::Unknown, |w| {
            w.last_order.map_or(Predecessor::Idle, Predecessor::Ordered)
        })
    }
}
