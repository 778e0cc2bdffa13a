//! Tracks which endpoints are unreachable or fail their requests.
//!
//! An endpoint that fails is ejected for a while; afterwards it receives one request at a time until one is
//! answered. If several endpoints of an availability zone are unreachable and none of the zone has answered
//! since, the network path to the zone is considered cut. Then the whole zone is excluded at once instead of
//! one endpoint after another.

use crate::id::{EndpointKey, ZoneName};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

/// The weight of a new sample in the failure rate.
const SMOOTHING: f64 = 0.2;
/// An endpoint whose smoothed failure rate is above this is ejected: two consecutive failures.
const EJECT_ABOVE: f64 = 0.35;
/// The failure rate that an endpoint has after an ejection, so that one more failure ejects it again.
const PROBATION: f64 = 0.25;
/// The time constant with which the failure rate decays while nothing is sent to the endpoint.
const ERRORS_MEMORY_S: f64 = 2.0;
const FIRST_EJECTION: Duration = Duration::from_millis(1500);
const LONGEST_EJECTION: Duration = Duration::from_secs(8);
/// The number of unreachable endpoints from which a zone is considered cut off. A single one may have crashed.
const MIN_CUT_ENDPOINTS: usize = 2;
/// How long a zone is considered cut off after the last failure to reach it; then its endpoints are tried
/// again.
const CUT_TIME: Duration = Duration::from_millis(1500);
/// An answer more recent than this overrides another VM's report that the endpoint is unreachable: messages are
/// delayed by about this time.
const RECENT_ANSWER: Duration = Duration::from_millis(300);
/// How long an endpoint has to be unreachable until placement considers it lost: several attempts of one VM,
/// and well before the platform's list drops it, which takes three to five seconds.
const LOST_AFTER: Duration = Duration::from_millis(600);

/// How long an endpoint has to be unreachable until the platform's list is the better source for whether it
/// exists: the list drops an endpoint that doesn't respond.
const LIST_UPDATE_TIME: Duration = Duration::from_secs(6);

/// The health of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    /// The smoothed failure rate, which decays from the time of the last failure (`failed`).
    errors: f64,
    failed: Option<Instant>,
    ejections: u32,
    ejected_until: Option<Instant>,
    /// Whether nothing has been received from the endpoint since it was ejected.
    is_unproven: bool,
    /// The time since which the endpoint is unreachable, with no answer since.
    unreached: Option<Instant>,
    answered: Option<Instant>,
}

impl Health {
    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|t| now < t)
    }

    /// Returns the failure rate with its decay. An endpoint that failed receives few requests, so without the
    /// decay its few successes would not clear it until long after it has recovered.
    pub(crate) fn errors(&self, now: Instant) -> f64 {
        let fade = |t: Instant| (-now.duration_since(t).as_secs_f64() / ERRORS_MEMORY_S).exp();
        self.errors * self.failed.map_or(1.0, fade)
    }

    /// Returns `true` if the endpoint may be sent another request; while it is unproven, it gets one at a time.
    pub(crate) fn accepts(&self, now: Instant, in_flight: f32) -> bool {
        !self.is_ejected(now) && (!self.is_unproven || in_flight < 1.0)
    }

    /// Returns `true` if the endpoint has been unreachable for so long that its models have to be loaded
    /// elsewhere.
    pub(crate) fn is_lost(&self, now: Instant) -> bool {
        let lost = |t: Instant| (LOST_AFTER..LIST_UPDATE_TIME).contains(&now.duration_since(t));
        self.unreached.is_some_and(lost)
    }

    /// Returns the time since which the endpoint is unreachable.
    pub(crate) fn unreached(&self) -> Option<Instant> {
        self.unreached
    }

    /// Records a failure. A failure to connect ejects the endpoint at once.
    pub(crate) fn fail(&mut self, now: Instant, unreached: bool) {
        if unreached {
            let known = |t: &Instant| now.duration_since(*t) < LIST_UPDATE_TIME;
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

    /// Applies the report of a VM of this zone that it can't reach the endpoint.
    pub(crate) fn report_unreachable(&mut self, now: Instant) {
        let lately = |t: Instant| now.duration_since(t) < RECENT_ANSWER;
        if self.is_ejected(now) || self.is_unproven || self.answered.is_some_and(lately) {
            return;
        }
        self.fail(now, true);
    }

    /// Forgets that the endpoint couldn't be reached, and the ejection that followed from it.
    pub(crate) fn forget_unreached(&mut self) {
        if self.unreached.take().is_some() {
            *self = Self {
                answered: self.answered,
                ..Self::default()
            };
        }
    }

    /// Records that the endpoint answered.
    pub(crate) fn answer(&mut self, now: Instant) {
        self.answered = Some(now);
        self.unreached = None;
        self.is_unproven = false;
    }

    /// Records a successful request.
    pub(crate) fn succeed(&mut self) {
        self.errors -= self.errors * SMOOTHING;
        if self.errors < PROBATION / 4.0 {
            self.ejections = 0;
        }
    }
}

/// The unreachable endpoints of each zone.
#[derive(Debug, Default)]
pub(crate) struct ZoneReachability {
    zones: BTreeMap<ZoneName, (Instant, BTreeSet<EndpointKey>)>,
}

impl ZoneReachability {
    /// Returns `true` if the network path to a zone is considered cut.
    pub(crate) fn is_cut(&self, now: Instant, zone: &ZoneName) -> bool {
        self.zones.get(zone).is_some_and(|(at, keys)| {
            keys.len() >= MIN_CUT_ENDPOINTS && now.duration_since(*at) < CUT_TIME
        })
    }

    /// Records that an endpoint of a zone is unreachable. Returns `true` if this newly shows that the zone is
    /// cut off.
    pub(crate) fn fail(&mut self, now: Instant, zone: &ZoneName, key: EndpointKey) -> bool {
        let was_cut = self.is_cut(now, zone);
        let row = self.zones.entry(zone.clone());
        let (at, keys) = row.or_insert_with(|| (now, BTreeSet::new()));
        if now.duration_since(*at) >= CUT_TIME {
            keys.clear();
        }
        *at = now;
        keys.insert(key);
        !was_cut && self.is_cut(now, zone)
    }

    /// Records that an endpoint of the zone answered.
    pub(crate) fn answer(&mut self, zone: &ZoneName) {
        self.zones.remove(zone);
    }
}
