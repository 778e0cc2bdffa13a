//! Following what the platform's store keeps: configuration, list of endpoints, VMs.
//!
//! Each feed is read once whole and then by its changes. While the store is away the last state stays in force. The
//! list of endpoints is read at an even pace (`list`). Of the other feeds a few VMs of each zone wait for changes at the
//! store; the rest listen to them, so that calls don't grow with each VM's waiting.

use crate::edge::{Changes, Feed, Protocol, States, Store, StoreError};
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

/// How long a call waits for a change: as long as the store holds one, less some time on the way.
const WAIT: Duration = Duration::from_secs(25);
/// How long this VM takes to hear of a change by itself, at most, where the store is sound: a pause
/// between reads and a call.
const OWN_TIME: Duration = Duration::from_millis(300);
/// How long a VM that is behind others waits for the store before it asks one of them as well, or for one of them before it asks the
/// store: a large configuration takes that long on a slow link, and one that has to be in force in two seconds can't wait for the end of
/// a call that is left unanswered.
const ASK_PEER_AFTER: Duration = Duration::from_millis(700);
/// When after its start a VM looks again for VMs that started with it. Some make themselves known while it reads, and
/// later ones send it messages. A call that waits would be woken by each of them: with 295 VMs four times a VM.
const LOOK_AGAIN_AFTER: [Duration; 2] = [Duration::from_millis(1000), Duration::from_millis(4000)];
/// When a VM asks again for the VMs of its site, about.
const ASK_AGAIN_AFTER: Duration = Duration::from_secs(2);
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
    if feed == Feed::Endpoints {
        return list::follow(site, store, states).await;
    }
    let now = site.now();
    let (next, is_given) = given(&site, feed);
    let mut w = WaitingFollower {
        f: Follower::new(site, states, feed),
        store,
        next,
        began: is_given.then_some(now),
        is_behind: false,
        failures: 0,
        looks: looks(now, feed),
    };
    loop {
        w.wait_for_turn().await;
        if w.hears_of_vms() {
            w.ask_for_vms().await;
            continue;
        }
        if w.is_given_configuration().await {
            continue;
        }
        if let Some(answer) = w.read().await {
            w.take(answer).await;
        }
    }
}

/// Gives where to read a feed on that another VM handed over at the start, and whether one did.
fn given<P>(site: &Site<P>, feed: Feed) -> (Option<LogPosition>, bool)
where
    P: Protocol,
{
    match feed {
        Feed::Configuration | Feed::Endpoints => {
            let next = read_to(site, feed);
            (next, next.is_some())
        }
        // Where the VMs are read on isn't handed over.
        Feed::Vms => (None, site.view().has_vms),
    }
}

/// Gives when a VM that starts now looks at a feed again.
fn looks(now: Instant, feed: Feed) -> VecDeque<Instant> {
    match feed {
        Feed::Vms => LOOK_AGAIN_AFTER.map(|t| now + t).into(),
        Feed::Configuration | Feed::Endpoints => VecDeque::new(),
    }
}

/// How a VM follows a feed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    /// It reads for its zone.
    Reads,
    /// It waits at the store for changes.
    Waits,
    /// It hears of changes from the others.
    Listens,
}

/// What a call gave.
struct Answer {
    began: Instant,
    /// Whether the whole feed was asked for.
    whole: bool,
    read: Result<Changes, StoreError>,
}

/// A follower whose calls wait for changes.
struct WaitingFollower<P, S, T> {
    f: Follower<P, T>,
    store: S,
    /// Where to read on; none while nothing has been read.
    next: Option<LogPosition>,
    /// When the last call began that came to an end.
    began: Option<Instant>,
    /// Whether there is something to read, or the copy is too old: the next call doesn't wait.
    is_behind: bool,
    /// How many calls have failed since the last that was answered.
    failures: u32,
    /// When this VM looks again by itself.
    looks: VecDeque<Instant>,
}

impl<P, S, T> WaitingFollower<P, S, T>
where
    P: Protocol,
    S: Store,
    T: States,
{
    /// Waits until this VM is to call the store: at once, unless it reads for its zone or only listens.
    async fn wait_for_turn(&mut self) {
        let Some(began) = self.began.filter(|_| !self.is_behind) else {
            return;
        };
        match (self.role(), self.pace()) {
            _ if !self.looks.is_empty() => self.listen().await,
            (Role::Reads, Some(pace)) => self.pause_between_reads(began, pace).await,
            (Role::Listens, _) => self.listen().await,
            (Role::Reads, None) | (Role::Waits, _) => return,
        }
        self.is_behind = true;
    }

    /// Waits, on the VM that reads for its zone, until it is to read again or another VM has read further.
    ///
    /// Its calls don't wait, so that the others know how fresh the configuration is; who is woken by a change first
    /// tells it.
    async fn pause_between_reads(&self, began: Instant, pace: ReadPace) {
        tokio::select! {
            () = self.f.site.clock.sleep_until(began + self.read_every(pace)) => {}
            () = self.f.behind(OWN_TIME) => {}
        }
    }

    /// Waits until another VM has read further, or the copy is too old, or it is time to look again.
    async fn listen(&mut self) {
        let spread = OWN_TIME.mul_f64(rand::random());
        let look = self.looks.front().copied();
        tokio::select! {
            () = self.f.behind(spread) => {}
            () = self.stale() => {}
            () = self.f.until(look) => {
                self.looks.pop_front();
            }
        }
    }

    /// Tells whether this VM hears of other VMs from the one that reads for its zone, not from the store.
    fn hears_of_vms(&self) -> bool {
        self.f.feed == Feed::Vms
            && self.next.is_none()
            && self.f.site.view().has_vms
            && self.role() == Role::Listens
    }

    /// Asks the VM that reads for the zone for the VMs that it knows; later, if it isn't known yet.
    async fn ask_for_vms(&mut self) {
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
            None => Err("no VM is heard that reads for the zone".to_owned()),
        };
        match members {
            Ok(m) => start::add_members(&self.f.site, &m),
            Err(why) => {
                tracing::debug!(why, "the VMs of the site can't be asked for");
                self.looks.push_front(now + jittered(ASK_AGAIN_AFTER));
            }
        }
    }

    /// Takes the configuration from a VM that has read it further, where others read for this VM: what is read of the store would
    /// grow with the VMs. The first to get it hand it on.
    async fn is_given_configuration(&mut self) -> bool {
        let listens = self.f.feed == Feed::Configuration && self.role() == Role::Listens;
        if !listens || self.next.is_none() || !self.f.is_behind() {
            return false;
        }
        let fetched = timeout(ASK_PEER_AFTER, self.f.fetch_ahead()).await;
        let taken = fetched.ok().flatten().and_then(|s| self.f.take_state(s));
        let Some(next) = taken else {
            // It is gone, or has no more than this VM: the store is asked.
            self.f.forget_ahead();
            return false;
        };
        self.next = Some(next);
        self.is_behind = false;
        true
    }

    /// Makes one call. Gives none where it was given up, to be made anew without waiting or because another VM has
    /// handed its state over.
    async fn read(&mut self) -> Option<Answer> {
        let began = self.f.site.now();
        let whole = self.next.is_none();
        // What other VMs have read is there: a call that doesn't wait gets it.
        let wait = if self.is_behind { Duration::ZERO } else { WAIT };
        let read = async {
            match self.next {
                None => self.store.newest(self.f.feed).await,
                Some(from) => self.store.changes(self.f.feed, from, wait).await,
            }
        };
        // A call that waits may miss a change; another VM that has read further shows it, or the age of what is
        // here. A call that doesn't wait is under way for as long as its answer takes on a slow link, and isn't begun
        // anew.
        let may_miss = !whole && !wait.is_zero();
        let state = tokio::select! {
            read = read => {
                self.is_behind = false;
                self.began = Some(began);
                return Some(Answer { began, whole, read });
            }
            () = self.f.behind(OWN_TIME), if may_miss => None,
            () = self.stale(), if may_miss => None,
            state = self.fetch_late(), if self.is_behind => Some(state),
        };
        self.is_behind = state.is_none();
        if let Some(state) = state {
            self.next = self.f.take_state(state).or(self.next);
        }
        None
    }

    /// Takes in what a call gave, and rests for as long as its end asks for.
    async fn take(&mut self, Answer { began, whole, read }: Answer) {
        match read {
            Ok(changes) => {
                self.failures = 0;
                let answered = changes.next;
                let next = self.f.take_answer(began, changes, whole);
                self.is_behind = next > answered;
                self.next = Some(next);
                sleep(PAUSE).await;
            }
            Err(StoreError::Forgotten { .. }) => {
                tracing::info!(feed = ?self.f.feed, "history is gone; reading anew");
                self.next = None;
            }
            Err(e) => {
                self.f.lose(began, &e);
                if let Some(state) = self.f.fetch_ahead().await {
                    self.next = self.f.take_state(state).or(self.next);
                }
                self.failures += 1;
                sleep(self.f.pause(self.failures)).await;
            }
        }
    }

    /// Gives the time between two reads of the VM that reads for its zone.
    fn read_every(&self, pace: ReadPace) -> Duration {
        let keys = self.f.site.settings.load().key_bound();
        keys.map_or(pace.every(), |b| pace.every().min(b.read_every()))
    }

    fn pace(&self) -> Option<ReadPace> {
        self.f.site.settings.load().pace(self.f.feed)
    }

    /// Gives how this VM follows the feed now.
    fn role(&self) -> Role {
        let view = self.f.site.view();
        let now = self.f.site.now();
        if view.peers.is_zone_reader(now) {
            Role::Reads
        } else if view.peers.is_zone_waiter(now) {
            Role::Waits
        } else {
            Role::Listens
        }
    }

    /// Waits until the copy is too old; for good where the feed has no bound, or nothing has been read.
    async fn stale(&self) {
        let luck = rand::random();
        loop {
            let Some(due) = self.stale_at(luck) else {
                return std::future::pending().await;
            };
            if due <= self.f.site.now() {
                return;
            }
            self.f.site.clock.sleep_until(due).await;
        }
    }

    /// Gives when the copy is too old: for its own bound, or for keys to count.
    fn stale_at(&self, luck: f64) -> Option<Instant> {
        let patience = self.f.patience(luck);
        let view = self.f.site.view();
        let freshness = view.feed_reads.freshness(self.f.feed)?;
        let due = freshness.complete_at() + self.pace()?.stale_after(luck) + patience;
        let keys = self.f.site.settings.load().key_bound();
        let keys = keys.filter(|_| self.f.feed == Feed::Configuration);
        let keys = keys.and_then(|b| Some(view.confirmation.at()? + b.read_after(luck)));
        Some(keys.map_or(due, |t| due.min(t)))
    }

    /// Gives what another VM has read, once the store has not answered for [`ASK_PEER_AFTER`]; waits for as
    /// long as no VM is further.
    async fn fetch_late(&self) -> PeerState {
        loop {
            sleep(ASK_PEER_AFTER).await;
            if let Some(state) = self.f.fetch_ahead().await {
                return state;
            }
        }
    }
}
