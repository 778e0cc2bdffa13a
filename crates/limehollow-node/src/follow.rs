//! Following the feeds of the platform's store: configuration, list of endpoints, VMs.
//!
//! Each feed is read completely once and then by its changes. While the store is away the last state stays
//! in force. The list of endpoints is read at fixed intervals (module `list`). For the other feeds, a few
//! VMs of each zone wait for changes at the store and the rest receive the changes from them, so that the
//! number of waiting calls doesn't grow with the number of VMs.

use crate::edge::{Changes, Feed, PeerStates, Protocol, Store, StoreError};
pub use crate::follower::SETTLE_TIME;
use crate::follower::{Follower, PeerState, read_to};
use crate::list;
use crate::site::Site;
use crate::start::{self, jittered};
use limehollow::freshness::ReadPace;
use limehollow::log_position::LogPosition;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// How long a call waits for a change: as long as the store holds a call open, less some time for the
/// network.
const WAIT: Duration = Duration::from_secs(25);
/// The longest time after which this VM learns of a change by itself while the store is healthy: a pause
/// between reads and a call.
const OWN_DETECTION_TIME: Duration = Duration::from_millis(300);
/// How long a VM that is behind others waits for the store before it also asks one of them, or for one of
/// them before it asks the store.
///
/// A large configuration takes that long on a slow link, and a configuration that has to be in force in two
/// seconds can't wait for the end of a call that is never answered.
const ASK_PEER_AFTER: Duration = Duration::from_millis(700);
/// When a VM polls again after its start for VMs that started at the same time. Some announce themselves
/// while it reads, and later ones send it messages. A waiting call would be woken by each of them: with 295
/// VMs, four times per VM.
const POLL_AFTER_START: [Duration; 2] = [Duration::from_millis(1000), Duration::from_millis(4000)];
/// About how long a VM waits before it asks again for the VMs of its site.
const RETRY_MEMBERS_AFTER: Duration = Duration::from_secs(2);
/// The least time between two reads of a feed: changes in between come in one answer, and calls are priced.
const PAUSE_BETWEEN_READS: Duration = Duration::from_millis(350);

/// Follows one feed for as long as the process lives.
pub async fn follow<P, S, T>(site: Arc<Site<P>>, store: S, states: T, feed: Feed)
where
    P: Protocol,
    S: Store,
    T: PeerStates,
{
    if feed == Feed::Endpoints {
        return list::follow(site, store, states).await;
    }
    let now = site.now();
    let (next, was_handed_over) = handed_over(&site, feed);
    let mut w = WaitingFollower {
        f: Follower::new(site, states, feed),
        store,
        next,
        began: was_handed_over.then_some(now),
        is_behind: false,
        failures: 0,
        poll_times: poll_times(now, feed),
    };
    loop {
        w.wait_until_due().await;
        if w.gets_vms_from_peer() {
            w.fetch_vms().await;
            continue;
        }
        if w.fetch_configuration().await {
            continue;
        }
        if let Some(outcome) = w.read().await {
            w.apply_outcome(outcome).await;
        }
    }
}

/// Returns the position of a feed that another VM handed over at the start, and whether it did.
fn handed_over<P>(site: &Site<P>, feed: Feed) -> (Option<LogPosition>, bool)
where
    P: Protocol,
{
    match feed {
        Feed::Configuration | Feed::Endpoints => {
            let next = read_to(site, feed);
            (next, next.is_some())
        }
        // The position in the feed of VMs isn't handed over.
        Feed::Vms => (None, site.view().has_vms),
    }
}

/// Returns the times at which a VM that starts now polls a feed again.
fn poll_times(now: Instant, feed: Feed) -> VecDeque<Instant> {
    match feed {
        Feed::Vms => POLL_AFTER_START.map(|t| now + t).into(),
        Feed::Configuration | Feed::Endpoints => VecDeque::new(),
    }
}

/// How a VM follows a feed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    /// Reads the store at intervals for its zone.
    Reads,
    /// Waits at the store for changes.
    Waits,
    /// Receives changes from the other VMs.
    ReceivesFromPeers,
}

/// The outcome of one call to the store.
struct ReadOutcome {
    began: Instant,
    /// Whether the whole feed was requested.
    whole: bool,
    read: Result<Changes, StoreError>,
}

/// A follower whose calls wait for changes.
struct WaitingFollower<P, S, T> {
    f: Follower<P, T>,
    store: S,
    /// The position from which to read on; none before the first read.
    next: Option<LogPosition>,
    /// When the last completed call began.
    began: Option<Instant>,
    /// Whether there is something to read, or the copy is too old: the next call doesn't wait.
    is_behind: bool,
    /// The number of failed calls since the last answer.
    failures: u32,
    /// The remaining times at which this VM polls by itself.
    poll_times: VecDeque<Instant>,
}

impl<P, S, T> WaitingFollower<P, S, T>
where
    P: Protocol,
    S: Store,
    T: PeerStates,
{
    /// Waits until this VM should call the store. Returns at once on a VM that waits for changes at the
    /// store.
    async fn wait_until_due(&mut self) {
        let Some(began) = self.began.filter(|_| !self.is_behind) else {
            return;
        };
        match (self.role(), self.pace()) {
            _ if !self.poll_times.is_empty() => self.wait_for_peers().await,
            (Role::Reads, Some(pace)) => self.pause_between_reads(began, pace).await,
            (Role::ReceivesFromPeers, _) => self.wait_for_peers().await,
            (Role::Reads, None) | (Role::Waits, _) => return,
        }
        self.is_behind = true;
    }

    /// Waits, on the VM that reads for its zone, until the next read is due or another VM has read further.
    ///
    /// The calls of that VM don't wait for changes, so that the others know how fresh the configuration is.
    /// A VM that waits for changes reports a change first.
    async fn pause_between_reads(&self, began: Instant, pace: ReadPace) {
        tokio::select! {
            () = self.f.site.clock.sleep_until(began + self.read_every(pace)) => {}
            () = self.f.wait_behind(OWN_DETECTION_TIME) => {}
        }
    }

    /// Waits until another VM has read further, the copy is too old, or a poll is due.
    async fn wait_for_peers(&mut self) {
        let spread = OWN_DETECTION_TIME.mul_f64(rand::random());
        let next_poll = self.poll_times.front().copied();
        tokio::select! {
            () = self.f.wait_behind(spread) => {}
            () = self.stale() => {}
            () = self.f.until(next_poll) => {
                self.poll_times.pop_front();
            }
        }
    }

    /// Returns `true` if this VM gets the list of VMs from the VM that reads for its zone, not from the
    /// store.
    fn gets_vms_from_peer(&self) -> bool {
        self.f.feed == Feed::Vms
            && self.next.is_none()
            && self.f.site.view().has_vms
            && self.role() == Role::ReceivesFromPeers
    }

    /// Fetches the list of VMs from the VM that reads for the zone. Retries later if that VM isn't known or
    /// doesn't answer.
    async fn fetch_vms(&mut self) {
        let now = self.f.site.now();
        self.is_behind = false;
        self.began = Some(now);
        let reader = {
            let view = self.f.site.view();
            let reader = view.peers.zone_reader(now);
            reader.and_then(|vm| view.peers.address(vm))
        };
        let members = match reader {
            Some(address) => self.f.states.fetch_members(address).await,
            None => Err("no VM is known to read for the zone".to_owned()),
        };
        match members {
            Ok(m) => start::add_members(&self.f.site, &m),
            Err(why) => {
                tracing::debug!(why, "failed to fetch the VMs of the site from another VM");
                self.poll_times
                    .push_front(now + jittered(RETRY_MEMBERS_AFTER));
            }
        }
    }

    /// Fetches the configuration from a VM that has read it further, where others read for this VM, and
    /// returns `true` if that worked.
    ///
    /// If each VM read the store, the number of bytes read there would grow with the number of VMs. The
    /// first VMs to get the configuration hand it on.
    async fn fetch_configuration(&mut self) -> bool {
        let listens = self.f.feed == Feed::Configuration && self.role() == Role::ReceivesFromPeers;
        if !listens || self.next.is_none() || !self.f.is_behind() {
            return false;
        }
        let fetched = timeout(ASK_PEER_AFTER, self.f.fetch_furthest()).await;
        let taken = fetched.ok().flatten().and_then(|s| self.f.apply_state(s));
        let Some(next) = taken else {
            // The other VM is gone, or has no more than this VM: the store is read.
            self.f.forget_furthest();
            return false;
        };
        self.next = Some(next);
        self.is_behind = false;
        true
    }

    /// Makes one call. Returns `None` if the call was abandoned, to be repeated without waiting or because
    /// another VM has handed over its state.
    async fn read(&mut self) -> Option<ReadOutcome> {
        let began = self.f.site.now();
        let whole = self.next.is_none();
        // What other VMs have read is in the store, so a call that doesn't wait gets it.
        let wait = if self.is_behind { Duration::ZERO } else { WAIT };
        let read = async {
            match self.next {
                None => self.store.newest(self.f.feed).await,
                Some(from) => self.store.changes(self.f.feed, from, wait).await,
            }
        };
        // A waiting call may miss a change, which shows by another VM that has read further or by the age
        // of the copy. A call that doesn't wait takes as long as its answer needs on a slow link, and isn't
        // repeated.
        let may_miss = !whole && !wait.is_zero();
        let state = tokio::select! {
            read = read => {
                self.is_behind = false;
                self.began = Some(began);
                return Some(ReadOutcome { began, whole, read });
            }
            () = self.f.wait_behind(OWN_DETECTION_TIME), if may_miss => None,
            () = self.stale(), if may_miss => None,
            state = self.fetch_late(), if self.is_behind => Some(state),
        };
        self.is_behind = state.is_none();
        if let Some(state) = state {
            self.next = self.f.apply_state(state).or(self.next);
        }
        None
    }

    /// Applies the outcome of a call, and pauses before the next one.
    async fn apply_outcome(&mut self, ReadOutcome { began, whole, read }: ReadOutcome) {
        match read {
            Ok(changes) => {
                self.failures = 0;
                let answered = changes.next;
                let next = self.f.apply_answer(began, changes, whole);
                self.is_behind = next > answered;
                self.next = Some(next);
                sleep(PAUSE_BETWEEN_READS).await;
            }
            Err(StoreError::HistoryGone { .. }) => {
                tracing::info!(feed = ?self.f.feed, "the store no longer has the changes since this position; reading the whole feed");
                self.next = None;
            }
            Err(e) => {
                self.f.record_failure(began, &e);
                if let Some(state) = self.f.fetch_furthest().await {
                    self.next = self.f.apply_state(state).or(self.next);
                }
                self.failures += 1;
                sleep(self.f.pause(self.failures)).await;
            }
        }
    }

    /// Returns the interval at which the VM that reads for its zone reads.
    fn read_every(&self, pace: ReadPace) -> Duration {
        let keys = self.f.site.settings.load().key_bound();
        keys.map_or(pace.interval(), |b| pace.interval().min(b.read_every()))
    }

    fn pace(&self) -> Option<ReadPace> {
        self.f.site.settings.load().pace(self.f.feed)
    }

    /// Returns how this VM follows the feed now.
    fn role(&self) -> Role {
        let view = self.f.site.view();
        let now = self.f.site.now();
        if view.peers.is_zone_reader(now) {
            Role::Reads
        } else if view.peers.is_zone_waiter(now) {
            Role::Waits
        } else {
            Role::ReceivesFromPeers
        }
    }

    /// Waits until the copy is too old; forever if the feed has no bound or nothing has been read.
    async fn stale(&self) {
        let jitter = rand::random();
        loop {
            let Some(due) = self.stale_at(jitter) else {
                return std::future::pending().await;
            };
            if due <= self.f.site.now() {
                return;
            }
            self.f.site.clock.sleep_until(due).await;
        }
    }

    /// Returns when the copy is too old, by the bound of the feed or by that of keys. `jitter` of 0 to 1
    /// spreads the VMs.
    fn stale_at(&self, jitter: f64) -> Option<Instant> {
        let extra_wait = self.f.extra_wait(jitter);
        let view = self.f.site.view();
        let freshness = view.feed_reads.freshness(self.f.feed)?;
        let due = freshness.complete_at() + self.pace()?.stale_after(jitter) + extra_wait;
        let keys = self.f.site.settings.load().key_bound();
        let keys = keys.filter(|_| self.f.feed == Feed::Configuration);
        let keys = keys.and_then(|b| Some(view.confirmation.at()? + b.read_after(jitter)));
        Some(keys.map_or(due, |t| due.min(t)))
    }

    /// Fetches the state of a VM that has read further, once the store hasn't answered for
    /// [`ASK_PEER_AFTER`]. Waits as long as no VM has read further.
    async fn fetch_late(&self) -> PeerState {
        loop {
            sleep(ASK_PEER_AFTER).await;
            if let Some(state) = self.f.fetch_furthest().await {
                return state;
            }
        }
    }
}
