//! Many VMs of a site on paused time: their followers, the messages between them, and a store that treats each VM as a
//! test says. Messages and states go by memory, so that nothing waits for a socket.

use super::{Memory, Plain, catalog, endpoint, parse_settings};
use limehollow::catalog::Catalog;
use limehollow::crash_record::{CrashRecord, Timing};
use limehollow::crash_watch::CutOff;
use limehollow::fingerprint::Fingerprint;
use limehollow::group_lease::Dealt;
use limehollow::id::ServiceName;
use limehollow::instance;
use limehollow::log_position::LogPosition;
use limehollow::quarantine::Standing;
use limehollow::roster::Endpoint;
use limehollow_node::edge::{Change, Changes, Feed, States, Store, StoreError, Vm};
use limehollow_node::follow::follow;
use limehollow_node::gossip::{Outgoing, Sender, hear};
use limehollow_node::quarantine_sync::follow_peers;
use limehollow_node::site::Site;
use limehollow_node::{keys, limits, question, start};
use limehollow_wire::gossip::{About, Members, Question, State, encode_crashes, encode_state};
use std::collections::{BTreeMap, BTreeSet};
use std::future::pending;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, sleep, timeout};

/// The way of a message or a state between two VMs.
const WAY: Duration = Duration::from_millis(2);
/// What the store reads out in one answer, how long its client waits for one, how long an append takes and how many wait.
const PAGE: usize = 500;
const READ_WITHIN: Duration = Duration::from_millis(1200);
const APPEND: Duration = Duration::from_millis(4);
const LONGEST_QUEUE: Duration = Duration::from_secs(2);
/// How long its client waits for the answer to a join.
const JOIN_WITHIN: Duration = Duration::from_millis(1000);
/// How long a VM waits for the state of another one that stands still.
const FETCH_WITHIN: Duration = Duration::from_secs(2);
/// The bytes a second of a VM's link: that of the weakest on the users' sites.
const LINK_BYTES_PER_S: f64 = 2.5e6;
/// How often a test looks whether all VMs know.
const LOOK_EVERY: Duration = Duration::from_millis(20);
/// How long it looks at most.
const LOOK_FOR: Duration = Duration::from_secs(60);

/// The time in which an endpoint that leaves is out of use on a site of many hundred VMs.
const COLD_LEAVING_MS: u64 = 5000;

/// After how long a key that was taken away must be of no use.
pub const KEY_REMOVAL_MS: u64 = 5000;

/// How the store treats one VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Treats {
    /// As it should.
    #[default]
    Well,
    /// A call that waits is never woken, only ended by its own time.
    Deaf,
    /// No call is answered, nor is one that was under way, not even later.
    Silent,
    /// All calls are refused.
    Away,
}

#[derive(Debug, Default)]
struct Treatment {
    now: Treats,
    /// Counts the silences: a call that began before one is never answered.
    silences: u64,
}

/// What the store does for all VMs together: one append at a time, and so many bytes a second.
#[derive(Clone, Debug)]
pub struct Turns(Arc<Mutex<Busy>>);

#[derive(Debug)]
struct Busy {
    /// Entries that it reads out in a second; endless where a test doesn't care.
    entries_per_s: f64,
    reads_until: Instant,
    appends_until: Instant,
    /// What it was asked for: entries, and appends.
    entries: usize,
    appends: usize,
}

impl Default for Turns {
    fn default() -> Self {
        Self::new(f64::INFINITY)
    }
}

impl Turns {
    fn new(entries_per_s: f64) -> Self {
        let now = Instant::now();
        Self(Arc::new(Mutex::new(Busy {
            entries_per_s,
            reads_until: now,
            appends_until: now,
            entries: 0,
            appends: 0,
        })))
    }

    /// Gives the entries that were asked for so far, and the appends.
    pub fn asked(&self) -> (usize, usize) {
        let busy = self.0.lock().expect("sound");
        (busy.entries, busy.appends)
    }

    /// Waits for the turn of some entries, page by page. A page that doesn't come in time is given up; the store reads it out all the same.
    async fn read(&self, entries: usize) -> Result<(), StoreError> {
        let mut left = entries;
        while left > 0 {
            let page = left.min(PAGE);
            left -= page;
            let wait = {
                let mut busy = self.0.lock().expect("sound");
                busy.entries += page;
                let took = at_rate(page, busy.entries_per_s);
                busy.reads_until = busy.reads_until.max(Instant::now()) + took;
                busy.reads_until - Instant::now()
            };
            if timeout(READ_WITHIN, sleep(wait)).await.is_err() {
                return Err(late("newest"));
            }
        }
        Ok(())
    }

    /// Waits for the turn of an append, which is turned away where too many wait.
    async fn append(&self) -> Result<(), StoreError> {
        let wait = {
            let mut busy = self.0.lock().expect("sound");
            busy.appends += 1;
            let wait = busy.appends_until.saturating_duration_since(Instant::now());
            if wait > LONGEST_QUEUE {
                return Err(StoreError::TurnedAway {
                    call: "announce",
                    status: 503,
                });
            }
            busy.appends_until = Instant::now() + wait + APPEND;
            wait + APPEND
        };
        sleep(wait).await;
        Ok(())
    }
}

#[expect(clippy::cast_precision_loss, reason = "tests count little")]
fn at_rate(n: usize, per_s: f64) -> Duration {
    Duration::from_secs_f64(n as f64 / per_s)
}

fn late(call: &'static str) -> StoreError {
    StoreError::NoAnswer {
        call,
        why: "timed out".to_owned(),
    }
}

/// The store as one VM reaches it.
#[derive(Clone, Debug)]
pub struct Link {
    store: Memory,
    turns: Turns,
    treatment: Arc<Mutex<Treatment>>,
}

impl Link {
    fn treats(&self) -> (Treats, u64) {
        let t = self.treatment.lock().expect("sound");
        (t.now, t.silences)
    }

    fn set(&self, treats: Treats) {
        let mut t = self.treatment.lock().expect("sound");
        t.now = treats;
        if treats == Treats::Silent {
            t.silences += 1;
        }
    }

    /// Tells how the store treats this VM now.
    pub fn now(&self) -> Treats {
        self.treats().0
    }

    /// Carries a call out, as the store treats this VM.
    async fn call<T, F>(&self, call: F) -> Result<T, StoreError>
    where
        F: Future<Output = Result<T, StoreError>>,
    {
        let (treats, silences) = self.treats();
        let res = match treats {
            Treats::Silent => pending().await,
            Treats::Away => Err(StoreError::TurnedAway {
                call: "changes",
                status: 503,
            }),
            Treats::Well | Treats::Deaf => call.await,
        };
        if self.treats().1 != silences {
            pending::<()>().await;
        }
        res
    }
}

impl Store for Link {
    async fn newest(&self, feed: Feed) -> Result<Changes, StoreError> {
        let whole = self.call(self.store.newest(feed)).await?;
        self.turns.read(whole.changes.len()).await?;
        Ok(whole)
    }

    async fn changes(
        &self,
        feed: Feed,
        from: LogPosition,
        wait: Duration,
    ) -> Result<Changes, StoreError> {
        let is_deaf = self.treats().0 == Treats::Deaf;
        let call = self.call(async {
            if is_deaf {
                let began = self.store.changes(feed, from, Duration::ZERO).await?;
                if began.changes.is_empty() {
                    sleep(wait).await;
                }
                return Ok(began);
            }
            self.store.changes(feed, from, wait).await
        });
        // The store's client gives a call up this long after its wait.
        let given_up = timeout(wait + Duration::from_millis(1500), call).await;
        given_up.unwrap_or_else(|_| {
            Err(StoreError::NoAnswer {
                call: "changes",
                why: "timed out".to_owned(),
            })
        })
    }

    async fn announce(&self, vms: &[Vm]) -> Result<(), StoreError> {
        self.turns.append().await?;
        self.call(self.store.announce(vms)).await
    }

    async fn join(&self, member: &str, generation: u64) -> Result<Dealt, StoreError> {
        let call = self.call(self.store.join(member, generation));
        let given_up = timeout(JOIN_WITHIN, call).await;
        given_up.unwrap_or_else(|_| Err(late("join")))
    }

    async fn leave(&self, _: &str) -> Result<(), StoreError> {
        Ok(())
    }

    async fn crash_records(&self) -> Result<Vec<CrashRecord>, StoreError> {
        self.call(self.store.crash_records()).await
    }

    async fn keep_crash_record(
        &self,
        request: Fingerprint,
        record: Option<&CrashRecord>,
    ) -> Result<(), StoreError> {
        self.call(self.store.keep_crash_record(request, record))
            .await
    }
}

/// One VM.
#[derive(Debug)]
pub struct Entry {
    pub site: Arc<Site<Plain>>,
    pub link: Link,
    zone: usize,
    tasks: Vec<JoinHandle<()>>,
}

impl Entry {
    fn has_open(&self, instance: &str) -> bool {
        let known = self.site.known();
        let service = ServiceName::from("portal");
        known
            .roster
            .open(&service)
            .any(|(_, e)| e.instance.id == instance)
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        for t in &self.tasks {
            t.abort();
        }
    }
}

/// Where messages and states go, and which zones are cut off from all others.
#[derive(Clone, Debug, Default)]
pub struct Net(Arc<Mutex<Ways>>);

#[derive(Debug, Default)]
struct Ways {
    sites: BTreeMap<SocketAddr, (usize, Arc<Site<Plain>>)>,
    cut: BTreeSet<usize>,
    /// Of so many messages one arrives; all do where it is zero.
    arrives_one_in: usize,
    sent: usize,
    /// VMs that stand still: what reaches them waits.
    still: BTreeSet<SocketAddr>,
    /// Questions that were sent, by what they are about.
    questions: BTreeMap<&'static str, usize>,
    /// Bytes of records of crashing requests that reached each VM.
    crash_bytes: BTreeMap<SocketAddr, usize>,
    /// Until when each VM's link is full with states that it hands over, and how many it has handed over.
    sending: BTreeMap<SocketAddr, (Instant, usize)>,
}

impl Net {
    fn reach(&self, from_zone: usize, to: SocketAddr) -> Option<(usize, Arc<Site<Plain>>)> {
        let ways = self.0.lock().expect("sound");
        let (zone, site) = ways.sites.get(&to)?;
        let is_cut = ways.cut.contains(zone) || ways.cut.contains(&from_zone);
        (*zone == from_zone || !is_cut).then(|| (*zone, Arc::clone(site)))
    }

    /// Tells whether a message is lost.
    fn loses(&self) -> bool {
        let mut ways = self.0.lock().expect("sound");
        ways.sent += 1;
        ways.arrives_one_in > 0 && !ways.sent.is_multiple_of(ways.arrives_one_in)
    }

    fn note_crash_bytes(&self, to: SocketAddr, records: &[CrashRecord]) {
        let bytes = encode_crashes(records).expect("they can be written").len();
        let mut ways = self.0.lock().expect("sound");
        *ways.crash_bytes.entry(to).or_default() += bytes;
    }

    /// Gives how long a VM takes to send so many bytes after all that it sends already.
    fn sends(&self, vm: SocketAddr, bytes: usize) -> Duration {
        let now = Instant::now();
        let mut ways = self.0.lock().expect("sound");
        let (until, states) = ways.sending.entry(vm).or_insert((now, 0));
        *until = now.max(*until) + at_rate(bytes, LINK_BYTES_PER_S);
        *states += 1;
        *until - now
    }

    fn stands_still(&self, vm: SocketAddr) -> bool {
        self.0.lock().expect("sound").still.contains(&vm)
    }

    /// Waits for as long as a VM stands still.
    async fn goes_on(&self, vm: SocketAddr) {
        while self.stands_still(vm) {
            sleep(WAY).await;
        }
    }

    fn note_question(&self, q: &Question) {
        let about = match q.about {
            About::Configuration => "configuration",
            About::Start(_) => "start",
            About::Tokens { .. } => "tokens",
            About::Place { .. } => "place",
            About::Earnings { .. } => "earnings",
        };
        let mut ways = self.0.lock().expect("sound");
        *ways.questions.entry(about).or_default() += 1;
    }

    /// Brings a question to another VM and its answer back.
    async fn question(self, from: (usize, SocketAddr), to: SocketAddr, q: Question) {
        self.note_question(&q);
        sleep(WAY).await;
        self.goes_on(to).await;
        let Some((_, site)) = self.reach(from.0, to) else {
            return;
        };
        if self.loses() {
            return;
        }
        let answer = question::answer(&site, q);
        sleep(WAY).await;
        self.goes_on(from.1).await;
        if let Some((_, asker)) = self.reach(from.0, from.1) {
            asker.questions.answered(answer);
        }
    }

    fn deliver(&self, from_zone: usize, (message, to): Outgoing) {
        for address in to {
            let Some((zone, site)) = self.reach(from_zone, address) else {
                continue;
            };
            if self.loses() {
                continue;
            }
            if !message.crashes.is_empty() {
                self.note_crash_bytes(address, &message.crashes);
            }
            let (net, message) = (self.clone(), message.clone());
            tokio::spawn(async move {
                sleep(WAY).await;
                net.goes_on(address).await;
                if let Some(on) = hear(&site, message) {
                    net.deliver(zone, on);
                }
            });
        }
    }
}

/// The way of one VM to the others' states.
#[derive(Clone, Debug)]
struct Neighbours(Net, usize, SocketAddr);

impl States for Neighbours {
    async fn fetch(&self, from: SocketAddr) -> Result<State, String> {
        sleep(WAY).await;
        let (_, site) = self.0.reach(self.1, from).ok_or("cut off")?;
        Ok(site.state())
    }

    async fn fetch_configuration(&self, from: SocketAddr) -> Result<State, String> {
        sleep(WAY).await;
        let goes_on = timeout(FETCH_WITHIN, self.0.goes_on(from)).await;
        goes_on.map_err(|e| e.to_string())?;
        let (_, site) = self.0.reach(self.1, from).ok_or("cut off")?;
        Ok(site.configuration())
    }

    async fn fetch_start(
        &self,
        from: SocketAddr,
        beyond: LogPosition,
    ) -> Result<Option<State>, String> {
        sleep(WAY).await;
        let (_, site) = self.0.reach(self.1, from).ok_or("cut off")?;
        if !site.has_all(beyond) {
            return Ok(None);
        }
        let state = site.state();
        let bytes = encode_state(&state).expect("it can be written").len();
        sleep(self.0.sends(from, bytes)).await;
        Ok(Some(state))
    }

    async fn fetch_members(&self, from: SocketAddr) -> Result<Members, String> {
        sleep(WAY).await;
        let (_, site) = self.0.reach(self.1, from).ok_or("cut off")?;
        Ok(site.state().members)
    }

    async fn fetch_crashes(&self, from: SocketAddr) -> Result<Vec<CrashRecord>, String> {
        sleep(WAY).await;
        let (_, site) = self.0.reach(self.1, from).ok_or("cut off")?;
        let records = site.known().quarantine.records(Instant::now());
        self.0.note_crash_bytes(self.2, &records);
        Ok(records)
    }
}

/// A site of many VMs.
#[derive(Debug)]
pub struct Fleet {
    pub store: Memory,
    pub vms: Vec<Entry>,
    /// What the store does for all of them together.
    pub turns: Turns,
    net: Net,
}

impl Fleet {
    /// Starts a site with so many VMs in so many zones, on which an endpoint that leaves has to be out of use after
    /// so many ms, and lets it come to rest. The first VM of each zone is the strongest.
    pub async fn start(zones: usize, vms: usize, leaving_ms: u64, endpoints: usize) -> Self {
        let store = Memory::default();
        for i in 0..endpoints {
            store.add(Feed::Endpoints, Change::Endpoint(listed(i)));
        }
        let net = Net::default();
        let mut fleet = Self {
            store: store.clone(),
            vms: Vec::new(),
            turns: Turns::default(),
            net: net.clone(),
        };
        for i in 0..vms {
            fleet.add(i, i % zones, leaving_ms, i < zones);
        }
        fleet.introduce();
        for i in 0..vms {
            fleet.run(i);
        }
        sleep(Duration::from_secs(10)).await;
        fleet
    }

    /// Starts a site whose VMs know nothing but the first few, all at once, before a store that reads out so many entries a second.
    pub fn cold(zones: usize, vms: usize, endpoints: usize, entries_per_s: f64) -> Self {
        let store = Memory::default();
        store.add(
            Feed::Configuration,
            Change::Catalog(Box::new(catalog(1, Vec::new()))),
        );
        for i in 0..endpoints {
            store.add(Feed::Endpoints, Change::Endpoint(listed(i)));
        }
        let mut fleet = Self {
            store,
            vms: Vec::new(),
            turns: Turns::new(entries_per_s),
            net: Net::default(),
        };
        for i in 0..vms {
            fleet.add(i, i % zones, COLD_LEAVING_MS, i < zones);
        }
        for i in 0..vms {
            fleet.run_cold(i);
        }
        fleet
    }

    /// Kills all VMs and starts them again, which know nothing then; the store goes on showing them.
    pub fn restart_all_cold(&mut self) {
        for i in 0..self.vms.len() {
            self.kill(i);
            let (zone, settings) = (self.vms[i].zone, self.vms[i].site.settings.load_full());
            let is_strong = settings.cores > 0.25;
            self.vms[i] = self.make(i, zone, settings.leaving_ms, is_strong);
        }
        for i in 0..self.vms.len() {
            self.run_cold(i);
        }
    }

    /// Gives how long it takes from now on until all running VMs have the configuration, so many endpoints, and know how many
    /// they are.
    pub async fn all_ready(&self, endpoints: usize) -> Duration {
        let began = Instant::now();
        let running = self.vms.iter().filter(|v| !v.tasks.is_empty());
        let n = running.clone().count();
        let has_all = |v: &&Entry| {
            let known = v.site.known();
            v.site.catalog.load().is_some() && known.roster.len() >= endpoints
        };
        while began.elapsed() < LOOK_FOR && running.clone().filter(has_all).count() < n {
            sleep(LOOK_EVERY).await;
        }
        began.elapsed()
    }

    /// Gives the most states that one VM has handed over, the named ones left out.
    pub fn most_handed_over(&self) -> usize {
        let ways = self.net.0.lock().expect("sound");
        ways.sending.values().map(|(_, n)| *n).max().unwrap_or(0)
    }

    /// Gives how many states all VMs have handed over.
    pub fn handed_over(&self) -> usize {
        let ways = self.net.0.lock().expect("sound");
        ways.sending.values().map(|(_, n)| *n).sum()
    }

    /// Gives the fewest VMs of its zone that a running VM knows, itself left out.
    pub fn fewest_neighbours(&self) -> usize {
        let running = self.vms.iter().filter(|v| !v.tasks.is_empty());
        let neighbours = running.map(|v| v.site.known().peers.neighbours().len());
        neighbours.min().unwrap_or(0)
    }

    fn run_cold(&mut self, i: usize) {
        self.run_without_feeds(i);
        let vm = &mut self.vms[i];
        let address = vm.site.settings.load().peer_address();
        let states = Neighbours(self.net.clone(), vm.zone, address);
        let (site, link) = (Arc::clone(&vm.site), vm.link.clone());
        vm.tasks.push(tokio::spawn(start::announce(
            Arc::clone(&site),
            link.clone(),
        )));
        vm.tasks.push(tokio::spawn(async move {
            start::start(&site, &states).await;
            let mut feeds = JoinSet::new();
            for feed in [Feed::Configuration, Feed::Endpoints, Feed::Vms] {
                feeds.spawn(follow(
                    Arc::clone(&site),
                    link.clone(),
                    states.clone(),
                    feed,
                ));
            }
            feeds.join_all().await;
        }));
    }

    fn add(&mut self, i: usize, zone: usize, leaving_ms: u64, is_strong: bool) {
        let entry = self.make(i, zone, leaving_ms, is_strong);
        self.vms.push(entry);
    }

    fn make(&self, i: usize, zone: usize, leaving_ms: u64, is_strong: bool) -> Entry {
        let name = format!("vm-{:03}", i + 1);
        let ip = format!("127.1.{}.{}", i / 200, i % 200 + 1);
        let cores = if is_strong { 0.5 } else { 0.25 };
        let own = format!(
            "name = \"{name}\"\navailability_zone = \"z{zone}\"\nip = \"{ip}\"\npeer_port = 7000\ncores = {cores}\n\
             leaving_ms = {leaving_ms}\nconfiguration_ms = {leaving_ms}\nkey_removal_ms = {KEY_REMOVAL_MS}\n\
             quota_window_ms = 8000\nquota_over = 0.1\nquota_slack = 11000.0\n\
             seeds = [\"127.1.0.1:1\", \"127.1.0.2:1\", \"127.1.0.3:1\"]\n"
        );
        let site = Site::new(parse_settings(&own), Plain);
        let address = site.settings.load().peer_address();
        let mut ways = self.net.0.lock().expect("sound");
        ways.sites.insert(address, (zone, Arc::clone(&site)));
        drop(ways);
        let link = Link {
            store: self.store.clone(),
            turns: self.turns.clone(),
            treatment: Arc::default(),
        };
        Entry {
            site,
            link,
            zone,
            tasks: Vec::new(),
        }
    }

    /// Ends a VM and starts it again: it knows nothing but the other VMs.
    pub fn restart(&mut self, i: usize) {
        self.kill(i);
        let (zone, settings) = {
            let vm = &self.vms[i];
            (vm.zone, vm.site.settings.load_full())
        };
        let is_strong = settings.cores > 0.25;
        self.vms[i] = self.make(i, zone, settings.leaving_ms, is_strong);
        self.introduce_to(&self.vms[i]);
        self.run(i);
    }

    fn introduce(&self) {
        for vm in &self.vms {
            self.introduce_to(vm);
        }
    }

    fn introduce_to(&self, vm: &Entry) {
        let mut known = vm.site.known();
        known.has_vms = true;
        for other in &self.vms {
            let s = other.site.settings.load();
            known.peers.learn(
                s.name.as_str().into(),
                other.site.zone.clone(),
                s.peer_address(),
                s.millicores(),
            );
        }
        known.note_vms(Instant::now(), 0);
    }

    fn run(&mut self, i: usize) {
        self.run_without_feeds(i);
        let vm = &mut self.vms[i];
        let address = vm.site.settings.load().peer_address();
        let states = Neighbours(self.net.clone(), vm.zone, address);
        for feed in [Feed::Configuration, Feed::Endpoints] {
            let states = states.clone();
            let (site, link) = (Arc::clone(&vm.site), vm.link.clone());
            vm.tasks
                .push(tokio::spawn(follow(site, link, states, feed)));
        }
    }

    fn run_without_feeds(&mut self, i: usize) {
        let vm = &mut self.vms[i];
        let address = vm.site.settings.load().peer_address();
        let states = Neighbours(self.net.clone(), vm.zone, address);
        vm.tasks
            .push(tokio::spawn(follow_peers(Arc::clone(&vm.site), states)));
        let (net, site, from) = (self.net.clone(), Arc::clone(&vm.site), (vm.zone, address));
        vm.tasks.push(tokio::spawn(async move {
            let mut rx = site
                .questions
                .take_outgoing()
                .expect("nobody else takes it");
            while let Some((to, q)) = rx.recv().await {
                tokio::spawn(net.clone().question(from, to, q));
            }
        }));
        vm.tasks
            .push(tokio::spawn(keys::confirm(Arc::clone(&vm.site))));
        vm.tasks
            .push(tokio::spawn(limits::keep_pools(Arc::clone(&vm.site))));
        let (net, site, zone) = (self.net.clone(), Arc::clone(&vm.site), vm.zone);
        vm.tasks.push(tokio::spawn(async move {
            let mut sender = Sender::new(Arc::clone(&site));
            loop {
                for out in sender.next(&Notify::new()).await {
                    net.deliver(zone, out);
                }
            }
        }));
    }

    /// Gives the VMs of a zone, the one that leads it first.
    pub fn zone(&self, zone: usize) -> Vec<usize> {
        let here = self.vms.iter().enumerate().filter(|(_, v)| v.zone == zone);
        here.map(|(i, _)| i).collect()
    }

    pub fn zones(&self) -> usize {
        self.vms.iter().map(|v| v.zone + 1).max().unwrap_or(0)
    }

    pub fn treat(&self, vms: &[usize], treats: Treats) {
        for i in vms {
            self.vms[*i].link.set(treats);
        }
    }

    pub fn treat_all(&self, treats: Treats) {
        let all: Vec<usize> = (0..self.vms.len()).collect();
        self.treat(&all, treats);
    }

    /// Tells whether a VM runs.
    pub fn is_running(&self, vm: usize) -> bool {
        !self.vms[vm].tasks.is_empty()
    }

    /// Ends a VM without a word; nothing reaches it any more.
    pub fn kill(&mut self, i: usize) {
        for t in self.vms[i].tasks.drain(..) {
            t.abort();
        }
        let address = self.vms[i].site.settings.load().peer_address();
        self.net.0.lock().expect("sound").sites.remove(&address);
    }

    /// Cuts a zone off from the other zones; the store is still reached.
    pub fn cut(&self, zone: usize) {
        self.net.0.lock().expect("sound").cut.insert(zone);
    }

    /// Ends all cuts.
    pub fn mend_cuts(&self) {
        self.net.0.lock().expect("sound").cut.clear();
    }

    /// Lets one message of so many arrive.
    pub fn lose_all_but_one_in(&self, n: usize) {
        self.net.0.lock().expect("sound").arrives_one_in = n;
    }

    /// Gives the most bytes of records of crashing requests that reached one VM so far.
    pub fn most_crash_bytes(&self) -> usize {
        let ways = self.net.0.lock().expect("sound");
        ways.crash_bytes.values().copied().max().unwrap_or(0)
    }

    /// Tells a VM that a start of an endpoint crashed under a request.
    pub fn crash(&self, vm: usize, request: Fingerprint, endpoint: usize, timing: Timing) {
        let start = instance::Instance::from(format!("e-{endpoint}").as_str());
        let site = &self.vms[vm].site;
        let address = site.settings.load().peer_address();
        let c = CutOff {
            request,
            origin: address.ip().into(),
            timing,
        };
        site.known()
            .crash_watch
            .note_cut_off(Instant::now(), &start, c);
        site.note_crashed(&start);
    }

    /// Gives how long it takes from now on until all running VMs refuse a request.
    pub async fn refused_by_all(&self, request: Fingerprint) -> Duration {
        let began = Instant::now();
        let refuses = |v: &Entry| {
            let known = v.site.known();
            let standing = known.quarantine.standing(Instant::now(), request);
            v.tasks.is_empty() || matches!(standing, Standing::Quarantined(_))
        };
        while began.elapsed() < LOOK_FOR && !self.vms.iter().all(refuses) {
            sleep(LOOK_EVERY).await;
        }
        began.elapsed()
    }

    /// Puts a configuration into the store.
    pub fn configure(&self, version: u64) {
        self.configure_with(catalog(version, Vec::new()));
    }

    /// A VM stands still until it goes on: what reaches it waits.
    pub fn set_still(&self, vm: usize, is_still: bool) {
        let address = self.vms[vm].site.settings.load().peer_address();
        let mut ways = self.net.0.lock().expect("sound");
        if is_still {
            ways.still.insert(address);
        } else {
            ways.still.remove(&address);
        }
    }

    /// Gives how many questions about something were sent so far.
    pub fn questions(&self, about: &str) -> usize {
        let ways = self.net.0.lock().expect("sound");
        ways.questions.get(about).copied().unwrap_or(0)
    }

    /// Counts the VMs whose keys count.
    pub fn trusting(&self) -> usize {
        let running = self.vms.iter().filter(|v| !v.tasks.is_empty());
        running.filter(|v| v.site.keys_count()).count()
    }

    /// Puts this configuration into the store.
    pub fn configure_with(&self, c: Catalog) {
        self.store
            .add(Feed::Configuration, Change::Catalog(Box::new(c)));
    }

    /// Gives how long it takes from now on until a configuration is in force on all running VMs.
    pub async fn in_force(&self, version: u64) -> Duration {
        let began = Instant::now();
        let has = |v: &Entry| {
            let c = v.site.catalog.load();
            c.as_ref().is_some_and(|c| c.version >= version)
        };
        while began.elapsed() < LOOK_FOR && !self.vms.iter().all(has) {
            sleep(LOOK_EVERY).await;
        }
        began.elapsed()
    }

    /// Gives how long it takes from now on until a configuration is in force on all VMs of a zone.
    pub async fn in_force_in(&self, zone: usize, version: u64) -> Duration {
        let began = Instant::now();
        let has = |i: &usize| {
            let c = self.vms[*i].site.catalog.load();
            c.as_ref().is_some_and(|c| c.version >= version)
        };
        while began.elapsed() < LOOK_FOR && !self.zone(zone).iter().all(has) {
            sleep(LOOK_EVERY).await;
        }
        began.elapsed()
    }

    /// Tells whether a running VM sends requests to an endpoint.
    pub fn uses(&self, vm: usize, endpoint: usize) -> bool {
        let vm = &self.vms[vm];
        !vm.tasks.is_empty() && vm.has_open(&listed(endpoint).instance.id)
    }

    /// An endpoint says that it leaves, as the store acknowledges now.
    pub fn leave(&self, i: usize) {
        let mut e = listed(i);
        e.leaving = true;
        self.store.add(Feed::Endpoints, Change::Endpoint(e));
    }

    /// An endpoint lists itself again.
    pub fn list(&self, i: usize) {
        self.store.add(Feed::Endpoints, Change::Endpoint(listed(i)));
    }

    /// Checks that all VMs use an endpoint for as long as this.
    pub async fn always_used(&self, endpoint: usize, time: Duration) {
        let began = Instant::now();
        while began.elapsed() < time {
            for i in 0..self.vms.len() {
                assert!(
                    self.uses(i, endpoint),
                    "{} of {} VMs dropped a living endpoint",
                    self.vms[i].site.me,
                    self.vms.len()
                );
            }
            sleep(LOOK_EVERY).await;
        }
    }

    /// An endpoint's entry goes.
    pub fn vanish(&self, i: usize) {
        let gone = Change::EndpointGone(listed(i).instance.id);
        self.store.add(Feed::Endpoints, gone);
    }

    /// Gives how long it takes from now on until no running VM sends anything to an endpoint, and which is last.
    pub async fn out_of_use(&self, i: usize) -> (Duration, String) {
        let instance = listed(i).instance.id;
        let began = Instant::now();
        let mut last = String::from("nobody");
        while began.elapsed() < LOOK_FOR {
            let running = self.vms.iter().filter(|v| !v.tasks.is_empty());
            let mut using = running.filter(|v| v.has_open(&instance));
            let Some(vm) = using.next_back() else {
                return (began.elapsed(), last);
            };
            last = vm.site.me.to_string();
            sleep(LOOK_EVERY).await;
        }
        (LOOK_FOR, last)
    }
}

fn listed(i: usize) -> Endpoint {
    endpoint(i, ([127, 0, 0, 1], 9000).into())
}
