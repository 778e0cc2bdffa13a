//! Which endpoints can't be reached or fail what they are sent.
//!
//! An endpoint that fails is ejected for a while and then proves itself with one request at a time. Several endpoints
//! of an availability zone that can't be reached, with no answer from any of the zone since, show that the way to the
//! zone is cut; then all of it is left out at once, not one endpoint after the other.

use crate::id::{EndpointKey, ZoneName};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

/// The weight of a new sample in the share of failures.
const SMOOTHING: f64 = 0.2;
/// An endpoint whose smoothed share of failures is above this is ejected: two failures in a row.
const EJECT_ABOVE: f64 = 0.35;
/// The share of failures that an endpoint comes back with, so that one more ejects it again.
const PROBATION: f64 = 0.25;
/// The time constant with which failures fade while nothing is sent there.
const ERRORS_MEMORY_S: f64 = 2.0;
const FIRST_EJECTION: Duration = Duration::from_millis(1500);
const LONGEST_EJECTION: Duration = Duration::from_secs(8);
/// How many endpoints of a zone have to be out of reach until the zone counts as cut off: one may have crashed.
const CUT_FROM: usize = 2;
/// For how long a zone counts as cut off after the last failure to reach it: then its endpoints are tried again.
const CUT_FOR: Duration = Duration::from_millis(1500);
/// An answer that came so lately goes before what another VM says of an endpoint: messages take so long.
const ANSWERED_LATELY: Duration = Duration::from_millis(300);
/// After how long out of reach an endpoint counts as lost for the placement of models: some tries of one VM, and well
/// before the platform's list drops it, which takes three to five seconds.
const LOST_AFTER: Duration = Duration::from_millis(600);

/// After how long the platform's list tells better whether an endpoint is there: it drops one that is silent.
const LISTED_AGAIN: Duration = Duration::from_secs(6);

/// How one endpoint does.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    /// The smoothed share of failures, and when it was last raised.
    errors: f64,
    failed: Option<Instant>,
    ejections: u32,
    ejected_until: Option<Instant>,
    /// Whether nothing has come from it since it was ejected.
    is_unproven: bool,
    /// Since when it can't be reached, with no answer since.
    unreached: Option<Instant>,
    answered: Option<Instant>,
}

impl Health {
    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|t| now < t)
    }

    /// Gives the share of failures, which fades: an endpoint that failed gets little, so what little it gets would not
    /// clear it for long after it is well.
    pub(crate) fn errors(&self, now: Instant) -> f64 {
        let fade = |t: Instant| (-now.duration_since(t).as_secs_f64() / ERRORS_MEMORY_S).exp();
        self.errors * self.failed.map_or(1.0, fade)
    }

    /// Tells whether the endpoint takes another request: while it is unproven, one at a time.
    pub(crate) fn accepts(&self, now: Instant, in_flight: f32) -> bool {
        !self.is_ejected(now) && (!self.is_unproven || in_flight < 1.0)
    }

    /// Tells whether the endpoint has been out of reach for so long that its models have to be elsewhere.
    pub(crate) fn is_lost(&self, now: Instant) -> bool {
        let lost = |t: Instant| (LOST_AFTER..LISTED_AGAIN).contains(&now.duration_since(t));
        self.unreached.is_some_and(lost)
    }

    /// Gives since when the endpoint can't be reached.
    pub(crate) fn unreached(&self) -> Option<Instant> {
        self.unreached
    }

    /// Notes a failure; one to reach the endpoint ejects it at once.
    pub(crate) fn fail(&mut self, now: Instant, unreached: bool) {
        if unreached {
            let known = |t: &Instant| now.duration_since(*t) < LISTED_AGAIN;
            self.unreached = self.unreached.filter(known).or(Some(now));
        }
        let before = self.errors(now);
        self.errors = before + (1.0 - before) * SMOOTHING;
        self.failed = Some(now);
        if (self.errors <= EJECT_ABOVE && !unreached) || self.is_ejected(now) {
            return;
        }
        let time = FIRST_EJECTION * 2_u32.saturating_pow(self.ejections.min(4));
        self.ejected_until = Some(now + time.min(LONGEST_EJECTION));
        self.ejections += 1;
        self.is_unproven = true;
        self.errors = PROBATION;
    }

    /// Notes that a VM of this zone can't reach the endpoint.
    pub(crate) fn report_unreachable(&mut self, now: Instant) {
        let lately = |t: Instant| now.duration_since(t) < ANSWERED_LATELY;
        if self.is_ejected(now) || self.is_unproven || self.answered.is_some_and(lately) {
            return;
        }
        self.fail(now, true);
    }

    /// Notes that something came from the endpoint.
    pub(crate) fn answer(&mut self, now: Instant) {
        self.answered = Some(now);
        self.unreached = None;
        self.is_unproven = false;
    }

    /// Notes that a request came to a good end.
    pub(crate) fn succeed(&mut self) {
        self.errors -= self.errors * SMOOTHING;
        if self.errors < PROBATION / 4.0 {
            self.ejections = 0;
        }
    }
}

/// The endpoints of each zone that can't be reached.
#[derive(Debug, Default)]
pub(crate) struct ZoneWays {
    zones: BTreeMap<ZoneName, (Instant, BTreeSet<EndpointKey>)>,
}

impl ZoneWays {
    /// Tells whether the way to a zone is cut.
    pub(crate) fn is_cut(&self, now: Instant, zone: &ZoneName) -> bool {
        self.zones
            .get(zone)
            .is_some_and(|(at, keys)| keys.len() >= CUT_FROM && now.duration_since(*at) < CUT_FOR)
    }

    /// Notes that an endpoint of a zone can't be reached. Gives whether this shows that the zone is cut off.
    pub(crate) fn fail(&mut self, now: Instant, zone: &ZoneName, key: EndpointKey) -> bool {
        let was_cut = self.is_cut(now, zone);
        let row = self.zones.entry(zone.clone());
        let (at, keys) = row.or_insert_with(|| (now, BTreeSet::new()));
        if now.duration_since(*at) >= CUT_FOR {
            keys.clear();
        }
        *at = now;
        keys.insert(key);
        !was_cut && self.is_cut(now, zone)
    }

    /// Notes that something came from the zone.
    pub(crate) fn answer(&mut self, zone: &ZoneName) {
        self.zones.remove(zone);
    }
}
