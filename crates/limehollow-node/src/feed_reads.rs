//! How fresh this process's copies of the store's feeds are, and when it reads them again.

use crate::edge::Feed;
use limehollow::freshness::Freshness;
use limehollow_wire::gossip::{Ages, Reading};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// What is known of one copy.
#[derive(Clone, Copy, Debug)]
struct Row {
    /// By this process's reading and by what others told.
    freshness: Freshness,
    /// When the last read of its own began that was answered; none while it has only what another VM handed over.
    own: Option<Instant>,
    /// When the first read began that failed since then.
    failed: Option<Instant>,
}

/// What is known of all copies.
#[derive(Debug, Default)]
pub struct FeedReads {
    rows: BTreeMap<Feed, Row>,
}

/// Queries.
impl FeedReads {
    /// Gives how fresh a copy is; none while nothing has been read.
    #[must_use]
    pub fn freshness(&self, feed: Feed) -> Option<Freshness> {
        self.rows.get(&feed).map(|r| r.freshness)
    }

    /// Tells whether the last read failed.
    #[must_use]
    pub fn is_failing(&self, feed: Feed) -> bool {
        self.rows.get(&feed).is_some_and(|r| r.failed.is_some())
    }

    /// Tells whether this process can read a feed, as far as it has tried; one that has nothing yet can't.
    #[must_use]
    pub fn can_read(&self, feed: Feed) -> bool {
        self.rows.get(&feed).is_some_and(|r| r.failed.is_none())
    }

    /// Gives when the last read of its own began; none while reads fail, or it has read nothing.
    #[must_use]
    pub fn last_read(&self, feed: Feed) -> Option<Instant> {
        let row = self.rows.get(&feed).filter(|r| r.failed.is_none())?;
        row.own
    }

    /// Gives what goes with this process's whole state: what it read and what it was told, since the state may have
    /// come from others. It doesn't go round: a state is taken by who is behind it.
    #[must_use]
    pub fn state_ages(&self, now: Instant) -> Reading {
        let ages = |feed| Some(Ages::at(now, self.freshness(feed)?));
        Reading {
            configuration: ages(Feed::Configuration),
            endpoints: ages(Feed::Endpoints),
        }
    }

    /// Gives what other VMs are told.
    ///
    /// Only what this process read itself counts: were ages passed on that others told, each VM would take off the
    /// time of the way, and a zone in which nobody reads would go on taking its list for fresh.
    #[must_use]
    pub fn own_ages(&self, now: Instant) -> Reading {
        let ages = |feed| {
            let row = self.rows.get(&feed)?;
            let own = Freshness::new(self.last_read(feed)?, row.freshness.healthy_since());
            Some(Ages::at(now, own))
        };
        Reading {
            configuration: ages(Feed::Configuration),
            endpoints: ages(Feed::Endpoints),
        }
    }
}

/// Commands.
impl FeedReads {
    /// Notes that a read was answered that began at this moment.
    ///
    /// The store may have been away since the copy was last complete, if a read failed after that or the gap is too
    /// long.
    pub fn record_read(&mut self, feed: Feed, began: Instant, longest_gap: Duration) {
        let Some(row) = self.rows.get_mut(&feed) else {
            let row = Row {
                freshness: Freshness::first(began),
                own: Some(began),
                failed: None,
            };
            self.rows.insert(feed, row);
            return;
        };
        let complete_at = row.freshness.complete_at();
        let has_failed = row.failed.take().is_some_and(|t| t > complete_at);
        let is_long = began.saturating_duration_since(complete_at) > longest_gap;
        row.own = Some(began);
        row.freshness = row.freshness.after_read(began, has_failed || is_long);
    }

    /// Notes that a read failed that began at this moment.
    pub fn record_failure(&mut self, feed: Feed, began: Instant) {
        if let Some(row) = self.rows.get_mut(&feed) {
            row.failed.get_or_insert(began);
        }
    }

    /// Takes in what another VM told; `has_all` says whether this copy holds all that the other has read.
    pub fn merge(&mut self, feed: Feed, other: Freshness, has_all: bool, longest_gap: Duration) {
        match self.rows.get_mut(&feed) {
            Some(row) => row.freshness = row.freshness.merge(other, has_all, longest_gap),
            None if has_all => {
                // A copy that came whole from another VM before this one could read the store.
                let row = Row {
                    freshness: other,
                    own: None,
                    failed: None,
                };
                self.rows.insert(feed, row);
            }
            None => {}
        }
    }
}
