//! Following what the platform's store keeps: configuration, list of endpoints, VMs.
//!
//! Each feed is read once whole and then by its changes. While the store is away the last state stays in force. The
//! list of endpoints is read at an even pace (`list`); the other feeds by calls that wait for changes.

use crate::edge::{Feed, Protocol, States, Store, StoreError};
pub use crate::follower::SETTLE;
use crate::follower::{FIRST_PAUSE, Follower, LONGEST_PAUSE, Learnt, PeerState};
use crate::list;
use crate::site::Site;
use limehollow::freshness::ReadPace;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// How long a call waits for a change: as long as the store holds one, less some time on the way.
const WAIT: Duration = Duration::from_secs(25);
/// How long this VM takes to hear of a change by itself, at most, where the store is sound: a pause
/// between reads and a call.
const OWN_TIME: Duration = Duration::from_millis(300);
/// How long a VM that is behind others waits for the store before it asks one of them as well: a large
/// configuration takes that long on a slow link, and one that has to be in force in two seconds can't wait for
/// the end of a call that the store leaves unanswered.
const ASK_PEER_AFTER: Duration = Duration::from_millis(700);
/// The least time between two reads of a feed: what changes in between comes in one answer, and calls
/// are priced.
const PAUSE: Duration = Duration::from_millis(350);

/// Follows one feed for as long as the process lives.
pub async fn follow<P, S, T>(site: Arc<Site<P>>, store: S, states: T, feed: Feed)
where
    P: Protocol,
    S: Store,
    T: States,
{
    match feed {
        Feed::Endpoints => list::follow(site, store, states).await,
        Feed::Configuration | Feed::Vms => follow_waiting(site, store, states, feed).await,
    }
}

async fn follow_waiting<P, S, T>(site: Arc<Site<P>>, store: S, states: T, feed: Feed)
where
    P: Protocol,
    S: Store,
    T: States,
{
    let mut f = Follower::new(site, states, feed);
    let mut next = None;
    let mut pause = FIRST_PAUSE;
    let mut is_behind = false;
    let mut began = None;
    loop {
        if let Some(last) = began
            && !is_behind
            && f.reads_for_zone()
        {
            // Its calls don't wait, so that the others know how fresh the configuration is; who hears of a change
            // first says so.
            f.until(last).await;
            is_behind = true;
        }
        // What other VMs have read is there: a call that doesn't wait gets it.
        let wait = if is_behind { Duration::ZERO } else { WAIT };
        let whole = next.is_none();
        let this = Instant::now();
        let read = async {
            match next {
                None => store.newest(feed).await,
                Some(from) => store.changes(feed, from, wait).await,
            }
        };
        // A call that waits may miss a change; another VM that has read further shows it, or the age of what is
        // here. A call that doesn't wait is under way for as long as its answer takes on a slow link, and isn't begun
        // anew.
        let may_miss = !whole && !wait.is_zero();
        let read = tokio::select! {
            read = read => read,
            () = f.behind(OWN_TIME), if may_miss => {
                is_behind = true;
                continue;
            }
            () = f.stale(), if may_miss => {
                is_behind = true;
                continue;
            }
            state = f.fetch_late(), if is_behind => {
                next = f.take_state(state).or(next);
                is_behind = false;
                continue;
            }
        };
        is_behind = false;
        began = Some(this);
        match read {
            Ok(changes) => {
                f.regained(this);
                pause = FIRST_PAUSE;
                next = Some(changes.next);
                f.note_position(changes.next);
                f.apply(Learnt::Store, changes.changes, whole);
                sleep(PAUSE).await;
            }
            Err(StoreError::Forgotten { .. }) => {
                tracing::info!(?feed, "history is gone; reading anew");
                next = None;
            }
            Err(e) => {
                f.lose(this, &e);
                if let Some(state) = f.fetch_ahead().await {
                    next = f.take_state(state).or(next);
                }
                sleep(pause).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

impl<P, T> Follower<P, T>
where
    P: Protocol,
    T: States,
{
    fn pace(&self) -> ReadPace {
        self.site.settings.load().configuration_pace()
    }

    /// Tells whether this VM reads the feed for its zone.
    fn reads_for_zone(&self) -> bool {
        let known = self.site.known();
        self.feed == Feed::Configuration && known.peers.is_zone_reader(Instant::now())
    }

    /// Waits until the zone's reader is to read again, or another VM has read further.
    async fn until(&self, last: Instant) {
        tokio::select! {
            () = sleep_until(last + self.pace().every()) => {}
            () = self.behind(OWN_TIME) => {}
        }
    }

    /// Waits until the copy is too old; for good where the feed has no bound.
    async fn stale(&self) {
        let luck = rand::random();
        loop {
            let freshness = match self.feed {
                Feed::Configuration => self.site.known().readings.freshness(self.feed),
                Feed::Endpoints | Feed::Vms => None,
            };
            let Some(f) = freshness else {
                return std::future::pending().await;
            };
            let due = f.complete_at() + self.pace().stale_after(luck);
            if due <= Instant::now() {
                return;
            }
            sleep_until(due).await;
        }
    }

    /// Gives what another VM has read, once the store has not answered for [`ASK_PEER_AFTER`]; waits for as
    /// long as no VM is further.
    async fn fetch_late(&self) -> PeerState {
        loop {
            sleep(ASK_PEER_AFTER).await;
            if let Some(state) = self.fetch_ahead().await {
                return state;
            }
        }
    }
}
