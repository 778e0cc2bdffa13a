//! Decides which new connections a VM takes, by how late its own tasks are.
//!
//! A VM that takes in more than its processor bears is late with everything that it has. A connection that is closed with
//! nothing read from it is the cheapest refusal: its request has not run, and the caller's next try meets another VM. What
//! has been read is served, and connections that are open stay (`docs/design/own-delay.md`).
//!
//! Once delay stands, the share that is closed rises with the mean delay, so that the VM settles where it is just busy instead
//! of taking all or nothing. What it has taken shows as delay only later; so meanwhile it takes little more than before.
//!
//! ```
//! use limehollow::intake::Intake;
//! use limehollow::own_delay::OwnDelay;
//! use tokio::time::Instant;
//!
//! let mut intake = Intake::new(Instant::now());
//! let in_time = OwnDelay::default();
//! assert!(intake.accepts(Instant::now(), &in_time));
//! ```

use crate::own_delay::OwnDelay;
use std::time::Duration;
use tokio::time::Instant;

/// The delay up to which every connection is taken: above that of a VM with time to spare.
pub const TAKES_ALL_UP_TO: Duration = Duration::from_millis(25);
/// The mean delay from which connections are closed. A request waits for some turns until its first result, and each part of
/// a stream for two.
pub const CLOSES_FROM: Duration = Duration::from_millis(75);
/// A connection is taken at least this often while some come, so that a VM that says that it is ready serves somebody.
pub const TAKES_ONE_EACH: Duration = Duration::from_millis(250);
/// After how long in which none was closed and no delay stood all connections are taken again, however many come.
const CALM_AFTER: Duration = Duration::from_secs(1);
/// The time over which the rate of connections that are taken is averaged.
const RATE_MEMORY: Duration = Duration::from_secs(1);
/// By how much the rate may grow within that time while connections are closed.
const GROWTH: f64 = 1.5;
/// The connections that may be taken at once while others are closed.
const BURST: f64 = 2.0;
/// The connections that are taken while the delay of the last turn isn't known yet because the next one is late.
const UNMEASURED: u32 = 16;

/// What a VM takes of the connections that callers open.
#[derive(Clone, Copy, Debug)]
pub struct Intake {
    /// When it was asked last.
    at: Instant,
    /// The connections a second that were taken lately.
    rate: f64,
    /// Until when connections may be closed; `None` if all are taken.
    closes_until: Option<Instant>,
    /// The connections that may be taken now, by the rate and by the delay.
    by_rate: f64,
    by_delay: f64,
    last_taken: Instant,
    /// The connections that were taken since the turn of the probe that was due then.
    since_turn: (Option<Instant>, u32),
}

impl Intake {
    /// Creates the state of a VM that has taken nothing yet.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            at: now,
            rate: 0.0,
            closes_until: None,
            by_rate: BURST,
            by_delay: 0.0,
            last_taken: now,
            since_turn: (None, 0),
        }
    }

    /// Takes a connection or not, by the delay of the VM's own tasks, and counts it.
    pub fn accepts(&mut self, now: Instant, delay: &OwnDelay) -> bool {
        self.advance(now, delay);
        let has_room = self.closes_until.is_none() || self.has_room();
        let takes = has_room && !self.is_unmeasured(now, delay) || self.is_due(now);
        if takes {
            self.since_turn.1 += 1;
            self.rate += RATE_MEMORY.as_secs_f64().recip();
            self.by_rate = (self.by_rate - 1.0).max(0.0);
            self.by_delay = (self.by_delay - 1.0).max(0.0);
            self.last_taken = now;
        } else {
            self.closes_until = Some(now + CALM_AFTER);
        }
        takes
    }

    /// Returns `true` while connections may be closed.
    #[must_use]
    pub fn closes(&self) -> bool {
        self.closes_until.is_some()
    }

    fn advance(&mut self, now: Instant, delay: &OwnDelay) {
        let since = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        self.rate *= (-since / RATE_MEMORY.as_secs_f64()).exp();
        self.by_rate = (self.by_rate + since * self.rate * GROWTH).min(BURST);
        if delay.standing() > TAKES_ALL_UP_TO {
            self.closes_until = Some(now + CALM_AFTER);
        }
        self.closes_until = self.closes_until.filter(|t| now < *t);
        if self.closes() {
            self.by_delay = (self.by_delay + share_taken(delay.mean())).min(BURST);
        }
    }

    fn has_room(&self) -> bool {
        self.by_delay >= 1.0 && self.by_rate >= 1.0
    }

    /// Returns `true` if many connections were taken since the last turn of the probe and the next one is late.
    fn is_unmeasured(&mut self, now: Instant, delay: &OwnDelay) -> bool {
        if self.since_turn.0 != delay.due() {
            self.since_turn = (delay.due(), 0);
        }
        self.since_turn.1 >= UNMEASURED && delay.overdue(now) >= CLOSES_FROM
    }

    fn is_due(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_taken) >= TAKES_ONE_EACH
    }
}

/// Returns the share of the connections that is taken at a delay.
fn share_taken(delay: Duration) -> f64 {
    let over = delay.saturating_sub(TAKES_ALL_UP_TO).as_secs_f64();
    let range = CLOSES_FROM.saturating_sub(TAKES_ALL_UP_TO).as_secs_f64();
    (1.0 - over / range).max(0.0)
}
