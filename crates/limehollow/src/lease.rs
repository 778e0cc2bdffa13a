//! When a controller tries to take its zone's lease.
//!
//! A timeout only decides when to try. The log decides which controller holds the lease: the first takeover that names
//! the current epoch is valid (`docs/design/log-order.md`).

use crate::fleet::Fleet;
use crate::id::{Incarnation, Offset, VmName, ZoneName};
use crate::record::LeaseTaken;
use std::time::Duration;
use tokio::time::Instant;

/// The time for which a holder may be silent before others try to take its lease.
pub const DEFAULT_TTL: Duration = Duration::from_secs(3);

/// The extra wait of each further controller of the zone, so that they don't all append at once.
pub const DEFAULT_STAGGER: Duration = Duration::from_millis(400);

/// Decides when to try a takeover.
#[derive(Debug)]
pub struct LeaseWatch {
    zone: ZoneName,
    own_vm: VmName,
    incarnation: Incarnation,
    ttl: Duration,
    stagger: Duration,
    /// The last observed epoch, and when its holder was last known to be alive.
    last_alive: Option<(Option<Offset>, Instant)>,
    /// When a takeover was last tried, so that a lost append is retried, but not at once.
    tried: Option<Instant>,
}

impl LeaseWatch {
    /// Creates the watch of one controller.
    #[must_use]
    pub fn new(zone: ZoneName, own_vm: VmName, incarnation: Incarnation) -> Self {
        Self {
            zone,
            own_vm,
            incarnation,
            ttl: DEFAULT_TTL,
            stagger: DEFAULT_STAGGER,
            last_alive: None,
            tried: None,
        }
    }

    /// Sets the time for which a holder may be silent and the extra wait between controllers.
    #[must_use]
    pub fn with_times(mut self, ttl: Duration, stagger: Duration) -> Self {
        self.ttl = ttl;
        self.stagger = stagger;
        self
    }

    /// Returns `true` if this process, not just this VM, holds the lease by the part of the log that was read.
    #[must_use]
    pub fn holds_lease(&self, fleet: &Fleet) -> bool {
        fleet
            .lease(&self.zone)
            .is_some_and(|l| l.holder == self.own_vm && l.incarnation == self.incarnation)
    }

    /// Records that the holder is alive.
    pub fn record_holder_alive(&mut self, now: Instant, fleet: &Fleet) {
        self.last_alive = Some((fleet.epoch(&self.zone), now));
    }

    /// Returns the record to append if it is time to try a takeover.
    ///
    /// `rank` is this controller's rank among the live ones of its zone, from 0.
    pub fn poll(&mut self, now: Instant, fleet: &Fleet, rank: u32) -> Option<LeaseTaken> {
        let current = fleet.lease(&self.zone);
        let epoch = current.map(|l| l.epoch);
        if self.holds_lease(fleet) {
            self.last_alive = Some((epoch, now));
            return None;
        }
        let since = match self.last_alive {
            Some((e, at)) if e == epoch => at,
            // The epoch has changed: its holder gets the whole timeout from now.
            _ => {
                self.last_alive = Some((epoch, now));
                now
            }
        };
        let own_past = current.is_some_and(|l| l.holder == self.own_vm);
        let silence = if current.is_none() || own_past {
            Duration::ZERO
        } else {
            self.ttl
        };
        let due = since + silence + self.stagger * rank;
        let again = self.tried.map_or(now, |at| at + self.ttl);
        if now < due || now < again {
            return None;
        }
        self.tried = Some(now);
        Some(LeaseTaken {
            zone: self.zone.clone(),
            holder: self.own_vm.clone(),
            incarnation: self.incarnation,
            replaces: epoch,
        })
    }
}
