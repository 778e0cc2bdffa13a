//! How fresh this process's copies of the store's feeds are, and how its last reads went.

use crate::edge::Feed;
use limehollow::freshness::Freshness;
use limehollow_wire::gossip::{Ages, Reading};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// The state of one copy.
#[derive(Clone, Copy, Debug)]
struct Row {
    /// The freshness, by this process's own reads and by what other VMs reported.
    freshness: Freshness,
    /// When the last own read that was answered began; none while the copy only came from another VM.
    own: Option<Instant>,
    /// When the first read that failed since then began.
    failed: Option<Instant>,
}

/// The freshness of the copies of all feeds.
#[derive(Debug, Default)]
pub struct FeedReads {
    rows: BTreeMap<Feed, Row>,
}

/// Queries.
impl FeedReads {
    /// Returns how fresh a copy is, or `None` before the first read.
    #[must_use]
    pub fn freshness(&self, feed: Feed) -> Option<Freshness> {
        self.rows.get(&feed).map(|r| r.freshness)
    }

    /// Returns `true` if the last read failed.
    #[must_use]
    pub fn is_failing(&self, feed: Feed) -> bool {
        self.rows.get(&feed).is_some_and(|r| r.failed.is_some())
    }

    /// Returns `true` if the last read of a feed was answered, and `false` if it failed or nothing has been
    /// read yet.
    #[must_use]
    pub fn can_read(&self, feed: Feed) -> bool {
        self.rows.get(&feed).is_some_and(|r| r.failed.is_none())
    }

    /// Returns when the last own read began, or `None` while reads fail or before the first own read.
    #[must_use]
    pub fn last_read(&self, feed: Feed) -> Option<Instant> {
        let row = self.rows.get(&feed).filter(|r| r.failed.is_none())?;
        row.own
    }

    /// Returns the ages that go with this process's full state: from its own reads and from what other VMs
    /// reported, since the state may have come from others.
    ///
    /// The ages can't circulate, as a state is applied only by a VM that is behind it.
    #[must_use]
    pub fn state_ages(&self, now: Instant) -> Reading {
        let ages = |feed| Some(Ages::at(now, self.freshness(feed)?));
        Reading {
            configuration: ages(Feed::Configuration),
            endpoints: ages(Feed::Endpoints),
        }
    }

    /// Returns the ages that are sent to other VMs.
    ///
    /// They count only this process's own reads. If reported ages were sent on, each VM would subtract the
    /// network delay again, and a zone in which no VM reads would go on taking its list for fresh.
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

/// Updates.
impl FeedReads {
    /// Records that a read that began at `began` was answered.
    ///
    /// The store may have been away since the copy was last complete, if a read failed after that time or
    /// the gap is longer than `longest_gap`.
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

    /// Records that a read that began at `began` failed.
    pub fn record_failure(&mut self, feed: Feed, began: Instant) {
        if let Some(row) = self.rows.get_mut(&feed) {
            row.failed.get_or_insert(began);
        }
    }

    /// Applies the freshness that another VM reported; `has_all` is whether this copy contains everything
    /// that the other VM has read.
    pub fn merge(&mut self, feed: Feed, other: Freshness, has_all: bool, longest_gap: Duration) {
        match self.rows.get_mut(&feed) {
            Some(row) => row.freshness = row.freshness.merge(other, has_all, longest_gap),
            None if has_all => {
                // The complete copy came from another VM before this one could read the store.
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
