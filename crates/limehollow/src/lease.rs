//! When a controller tries to take its zone's lease.
//!
//! A timeout only decides when to try. Who holds the lease is decided by the log: the first takeover
//! that names the current epoch stands (`docs/design/log-order.md`).

use crate::fleet::Fleet;
use crate::id::{Incarnation, Offset, VmName, ZoneName};
use crate::record::LeaseTaken;
use std::time::Duration;
use tokio::time::Instant;

/// How long a holder may be silent before others try to take its lease.
pub const DEFAULT_TTL: Duration = Duration::from_secs(3);

/// By how much each further controller of the zone waits longer than the one before it, so that
/// they don't all append at once.
pub const DEFAULT_STAGGER: Duration = Duration::from_millis(400);

/// Decides when to try a takeover.
#[derive(Debug)]
pub struct LeaseWatch {
    zone: ZoneName,
    me: VmName,
    incarnation: Incarnation,
    ttl: Duration,
    stagger: Duration,
    /// The epoch that was watched last, and when its holder was last known to live.
    heard: Option<(Option<Offset>, Instant)>,
    /// When the last try was made, so that a lost append is tried again, but not at once.
    tried: Option<Instant>,
}

impl LeaseWatch {
    /// Makes a watch for one controller.
    #[must_use]
    pub fn new(zone: ZoneName, me: VmName, incarnation: Incarnation) -> Self {
        Self {
            zone,
            me,
            incarnation,
            ttl: DEFAULT_TTL,
            stagger: DEFAULT_STAGGER,
            heard: None,
            tried: None,
        }
    }

    /// Sets the silence that is allowed and the wait between controllers.
    #[must_use]
    pub fn with_times(mut self, ttl: Duration, stagger: Duration) -> Self {
        self.ttl = ttl;
        self.stagger = stagger;
        self
    }

    /// Tells whether this very process holds the lease as far as the log was read.
    #[must_use]
    pub fn holds_lease(&self, fleet: &Fleet) -> bool {
        fleet
            .lease(&self.zone)
            .is_some_and(|l| l.holder == self.me && l.incarnation == self.incarnation)
    }

    /// Notes that the holder is known to live.
    pub fn record_holder_alive(&mut self, now: Instant, fleet: &Fleet) {
        self.heard = Some((fleet.epoch(&self.zone), now));
    }

    /// Gives the record to append if it is time to try a takeover.
    ///
    /// `rank` is this controller's place among the live ones of its zone, the first being 0.
    pub fn poll(&mut self, now: Instant, fleet: &Fleet, rank: u32) -> Option<LeaseTaken> {
        let current = fleet.lease(&self.zone);
        let epoch = current.map(|l| l.epoch);
        if self.holds_lease(fleet) {
            self.heard = Some((epoch, now));
            return None;
        }
        let since = match self.heard {
            Some((e, at)) if e == epoch => at,
            // Another epoch than the one watched so far: its holder has the whole time from now.
            _ => {
                self.heard = Some((epoch, now));
                now
            }
        };
        let own_past = current.is_some_and(|l| l.holder == self.me);
        let patience = if current.is_none() || own_past {
            Duration::ZERO
        } else {
            self.ttl
        };
        let due = since + patience + self.stagger * rank;
        let again = self.tried.map_or(now, |at| at + self.ttl);
        if now < due || now < again {
            return None;
        }
        self.tried = Some(now);
        Some(LeaseTaken {
            zone: self.zone.clone(),
            holder: self.me.clone(),
            incarnation: self.incarnation,
            replaces: epoch,
        })
    }
}
