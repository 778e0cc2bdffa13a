//! Claims on keys: appended to the log in batches before a request is dispatched.
//!
//! One task owns the fold of the claims stream and the results that this gateway remembers; the
//! traffic threads talk to it through [`Claiming`] (`docs/design/at-most-once.md`).

use crate::dispatch::Whole;
use crate::metrics::Metrics;
use crate::request::pass_on;
use crate::settings::ClaimSettings;
use bytes::Bytes;
use limehollow::claim::{ClaimRecord, Claimant, Claims, KeyHash, Standing};
use limehollow::id::{Incarnation, LogTime, Offset, VmName};
use limehollow_edge::log::LogService;
use limehollow_edge::peer::PeerClient;
use limehollow_wire::claim::{STREAM, decode, encode};
use limehollow_wire::peer::{ClaimFate, Reply, Request};
use limehollow_wire::platform::Records;
use poem::http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, sleep_until, timeout};

const READ_LIMIT: u32 = 1024;
const LONG_POLL: Duration = Duration::from_secs(2);
const LOG_PAUSE: Duration = Duration::from_millis(200);
/// How long a claim may stay undecided, however far its deadline is.
const LONGEST_WAIT: Duration = Duration::from_secs(2);
const PEER_TIMEOUT: Duration = Duration::from_millis(500);
const RETRY_AFTER: Duration = Duration::from_secs(1);
const QUEUE: usize = 4_096;

/// What became of a request that was claimed before.
#[derive(Clone, Debug)]
pub enum Fate {
    /// It is under way.
    Running,
    /// It is done, with this result.
    Done(Whole),
    /// It did not run and won't; its claim is being given back.
    Released,
    /// It may have run; nobody knows its result any more.
    Unknown,
}

/// The answer to the wish to claim a key.
#[derive(Debug)]
pub enum Claimed {
    /// The claim stands first: the request may be dispatched, by this gateway alone.
    Mine(Claim),
    /// The key was claimed before.
    Other(Fate),
    /// It can't be decided now; the request was not dispatched. Come back after this time.
    Undecided(Duration),
}

/// A claim that stands. Dropped without a word, it counts as possibly run if it was dispatched, and
/// is given back otherwise.
#[derive(Debug)]
pub struct Claim {
    number: u64,
    tx: mpsc::UnboundedSender<Told>,
    dispatched: std::sync::atomic::AtomicBool,
    told: bool,
}

impl Claim {
    /// Notes that the request is about to leave.
    pub fn dispatched(&self) {
        self.dispatched
            .store(true, std::sync::atomic::Ordering::Relaxed);
    }

    /// Notes that the request ended and may have run, with its result if there is one.
    pub fn done(mut self, result: Option<Whole>) {
        self.tell(Told::Done(self.number, result));
    }

    /// Notes that the request surely did not run: the key is free again.
    pub fn release(mut self) {
        self.tell(Told::Release(self.number));
    }

    fn tell(&mut self, told: Told) {
        self.told = true;
        // The task only ends with the process.
        let _ended = self.tx.send(told);
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        if self.told {
            return;
        }
        let number = self.number;
        let dispatched = *self.dispatched.get_mut();
        self.tell(if dispatched {
            Told::Done(number, None)
        } else {
            Told::Release(number)
        });
    }
}

#[derive(Debug)]
enum Told {
    Done(u64, Option<Whole>),
    Release(u64),
}

#[derive(Debug)]
enum Wish {
    Claim(KeyHash, oneshot::Sender<Decision>),
    Fate(Incarnation, u64, oneshot::Sender<Fate>),
}

#[derive(Debug)]
enum Decision {
    Mine(u64),
    Own(Fate),
    Peer(Claimant),
    Undecided,
}

/// The traffic threads' side.
#[derive(Clone, Debug)]
pub struct Claiming {
    wishes: mpsc::Sender<Wish>,
    told: mpsc::UnboundedSender<Told>,
}

impl Claiming {
    /// Claims a key for a request.
    pub async fn claim(&self, key: KeyHash, deadline: Instant) -> Claimed {
        let (tx, rx) = oneshot::channel();
        if self.wishes.try_send(Wish::Claim(key, tx)).is_err() {
            return Claimed::Undecided(RETRY_AFTER);
        }
        let limit = deadline.min(Instant::now() + LONGEST_WAIT);
        // Giving up here is safe: the task hands out a number only to somebody who still waits.
        let decision = tokio::time::timeout_at(limit, rx).await;
        match decision {
            Ok(Ok(Decision::Mine(number))) => {
                let dispatched = false.into();
                Claimed::Mine(Claim {
                    number,
                    tx: self.told.clone(),
                    dispatched,
                    told: false,
                })
            }
            Ok(Ok(Decision::Own(fate))) => Claimed::Other(fate),
            Ok(Ok(Decision::Peer(who))) => Claimed::Other(ask_peer(&who).await),
            Ok(Ok(Decision::Undecided) | Err(_)) | Err(_) => Claimed::Undecided(RETRY_AFTER),
        }
    }

    /// Answers another gateway that asks what became of a claim of this one.
    pub async fn fate(&self, incarnation: Incarnation, number: u64) -> ClaimFate {
        let (tx, rx) = oneshot::channel();
        let asked = self.wishes.send(Wish::Fate(incarnation, number, tx)).await;
        let fate = match asked {
            Ok(()) => rx.await.unwrap_or(Fate::Unknown),
            Err(_) => Fate::Unknown,
        };
        ClaimFate::from(fate)
    }
}

/// Asks the gateway that claimed a key what became of the request.
async fn ask_peer(who: &Claimant) -> Fate {
    let req = Request::Claim {
        incarnation: who.incarnation,
        number: who.number,
    };
    match PeerClient::new(&who.address).ask(&req, PEER_TIMEOUT).await {
        Ok(Reply::Claim(fate)) => Fate::from(fate),
        _ => Fate::Unknown,
    }
}

impl From<Fate> for ClaimFate {
    fn from(f: Fate) -> Self {
        match f {
            Fate::Running => Self::Running,
            Fate::Released => Self::NeverSent,
            Fate::Unknown => Self::Unknown,
            Fate::Done(w) => {
                let text = |v: &HeaderValue| v.to_str().ok().map(str::to_owned);
                let headers = w
                    .headers
                    .iter()
                    .filter_map(|(n, v)| Some((n.to_string(), text(v)?)));
                Self::Done {
                    status: w.status.as_u16(),
                    headers: headers.collect(),
                    body: w.body.to_vec(),
                }
            }
        }
    }
}

impl From<ClaimFate> for Fate {
    fn from(f: ClaimFate) -> Self {
        match f {
            ClaimFate::Running => Self::Running,
            ClaimFate::NeverSent => Self::Released,
            ClaimFate::Unknown => Self::Unknown,
            ClaimFate::Done {
                status,
                headers,
                body,
            } => {
                let Ok(status) = StatusCode::from_u16(status) else {
                    return Self::Unknown;
                };
                let mut map = HeaderMap::new();
                for (n, v) in headers {
                    if let (Ok(n), Ok(v)) = (n.parse::<HeaderName>(), v.parse::<HeaderValue>()) {
                        map.append(n, v);
                    }
                }
                Self::Done(Whole {
                    status,
                    headers: pass_on(&map),
                    body: Bytes::from(body),
                })
            }
        }
    }
}

/// Who this gateway is in claims.
#[derive(Clone, Debug)]
pub struct Me {
    /// The entry VM.
    pub vm: VmName,
    /// The incarnation.
    pub incarnation: Incarnation,
    /// Where other gateways reach it.
    pub address: String,
}

/// A claim that was appended or is about to be.
#[derive(Debug)]
struct Pending {
    key: KeyHash,
    number: u64,
    reply: oneshot::Sender<Decision>,
}

/// The task that owns the claims.
#[derive(Debug)]
pub struct ClaimTask<L> {
    log: L,
    me: Me,
    settings: ClaimSettings,
    metrics: Metrics,
    claims: Claims,
    /// Whether the stream was read to its end once.
    caught_up: bool,
    /// Claims that the next append carries.
    fresh: Vec<Pending>,
    /// Claims that an append carried and that weren't read back yet.
    flying: Vec<Pending>,
    releases: Vec<ClaimRecord>,
    keys: HashMap<u64, KeyHash>,
    fates: BTreeMap<u64, Fate>,
    last_number: u64,
    told_tx: mpsc::UnboundedSender<Told>,
    told: mpsc::UnboundedReceiver<Told>,
    wishes_tx: mpsc::Sender<Wish>,
    wishes: mpsc::Receiver<Wish>,
}

/// How an append ended.
enum Appended {
    /// It stands at this offset.
    At(Offset),
    /// Nothing is known, as of this time.
    Lost(Instant),
}

impl<L> ClaimTask<L>
where
    L: LogService + Clone + 'static,
{
    /// Makes the task; it does nothing until it runs.
    #[must_use]
    pub fn new(log: L, me: Me, settings: ClaimSettings, metrics: Metrics) -> Self {
        let (told_tx, told) = mpsc::unbounded_channel();
        let (wishes_tx, wishes) = mpsc::channel(QUEUE);
        Self {
            log,
            me,
            claims: Claims::default().with_memory(settings.memory_ms),
            settings,
            metrics,
            caught_up: false,
            fresh: Vec::new(),
            flying: Vec::new(),
            releases: Vec::new(),
            keys: HashMap::new(),
            fates: BTreeMap::new(),
            last_number: 0,
            told_tx,
            told,
            wishes_tx,
            wishes,
        }
    }

    /// Gives the traffic threads' side.
    #[must_use]
    pub fn claiming(&self) -> Claiming {
        Claiming {
            wishes: self.wishes_tx.clone(),
            told: self.told_tx.clone(),
        }
    }

    /// Runs for ever.
    pub async fn run(mut self) {
        let (records_tx, mut records) = mpsc::channel(2);
        tokio::spawn(tail(self.log.clone(), records_tx.clone()));
        let (appended_tx, mut appended) = mpsc::channel(1);
        let mut appending = false;
        // What the claims in flight wait for: an offset, or a read to the end after a lost append.
        let mut waits: Option<Appended> = None;
        let mut next_append = Instant::now();
        loop {
            let due = !appending && waits.is_none() && self.has_fresh();
            tokio::select! {
                Some(wish) = self.wishes.recv() => self.on_wish(wish),
                Some(told) = self.told.recv() => self.on_told(told),
                Some(batch) = records.recv() => {
                    self.on_records(batch, &mut waits);
                }
                Some(done) = appended.recv() => {
                    appending = false;
                    next_append = Instant::now() + Duration::from_millis(self.settings.batch_ms);
                    waits = Some(done);
                    self.check_waits(&mut waits, None);
                }
                () = sleep_until(next_append), if due => {
                    if let Some(text) = self.batch() {
                        appending = true;
                        self.metrics.claim_appends.inc();
                        let (done, records) = (appended_tx.clone(), records_tx.clone());
                        let from = self.claims.next_offset().0;
                        tokio::spawn(append(self.log.clone(), text, from, done, records));
                    }
                }
            }
            self.metrics
                .claims
                .set(i64::try_from(self.claims.len()).unwrap_or(i64::MAX));
        }
    }

    fn has_fresh(&self) -> bool {
        !self.fresh.is_empty() || !self.releases.is_empty()
    }

    fn on_wish(&mut self, wish: Wish) {
        match wish {
            Wish::Fate(incarnation, number, reply) => {
                let own = incarnation == self.me.incarnation;
                let fate = if own {
                    self.fate(number)
                } else {
                    Fate::Unknown
                };
                let _gone = reply.send(fate);
            }
            Wish::Claim(key, reply) => {
                if !self.caught_up {
                    let _gone = reply.send(Decision::Undecided);
                    return;
                }
                if let Standing::Held(who) = self.claims.standing(key) {
                    let _gone = reply.send(self.held_by(who));
                    return;
                }
                self.last_number += 1;
                self.fresh.push(Pending {
                    key,
                    number: self.last_number,
                    reply,
                });
            }
        }
    }

    fn held_by(&self, who: Claimant) -> Decision {
        if who.vm == self.me.vm && who.incarnation == self.me.incarnation {
            return Decision::Own(self.fate(who.number));
        }
        Decision::Peer(who)
    }

    /// Gives what became of a claim of this gateway. One that nobody was given is released.
    fn fate(&self, number: u64) -> Fate {
        match self.fates.get(&number) {
            Some(f) => f.clone(),
            None if self.keys.contains_key(&number) => Fate::Running,
            None if self.flying.iter().any(|p| p.number == number) => Fate::Running,
            None => Fate::Unknown,
        }
    }

    fn on_told(&mut self, told: Told) {
        match told {
            Told::Done(number, result) => {
                self.keys.remove(&number);
                let fits = |w: &Whole| w.body.len() <= self.settings.result_bytes;
                let fate = result.filter(fits).map_or(Fate::Unknown, Fate::Done);
                self.remember(number, fate);
            }
            Told::Release(number) => {
                if let Some(key) = self.keys.remove(&number) {
                    self.release(key, number);
                }
            }
        }
    }

    /// Gives back claims of this gateway that took effect after they had been given up: a slow append
    /// can land behind its own release.
    fn release_again(&mut self, batch: &[ClaimRecord]) {
        for r in batch {
            let ClaimRecord::Claim(key, who) = r else {
                continue;
            };
            let given_up = matches!(self.fates.get(&who.number), Some(Fate::Released));
            let stands = self.claims.standing(*key) == Standing::Held(who.clone());
            if given_up && stands && *who == self.claimant(who.number) {
                self.releases.push(ClaimRecord::Release(*key, who.clone()));
            }
        }
    }

    fn release(&mut self, key: KeyHash, number: u64) {
        self.remember(number, Fate::Released);
        self.releases
            .push(ClaimRecord::Release(key, self.claimant(number)));
    }

    fn remember(&mut self, number: u64, fate: Fate) {
        self.fates.insert(number, fate);
        while self.fates.len() > self.settings.results.max(1) {
            self.fates.pop_first();
        }
    }

    fn claimant(&self, number: u64) -> Claimant {
        Claimant {
            vm: self.me.vm.clone(),
            incarnation: self.me.incarnation,
            number,
            address: self.me.address.as_str().into(),
        }
    }

    /// Takes the fresh claims and releases into one batch.
    fn batch(&mut self) -> Option<String> {
        // A claim whose caller has given up needn't be made.
        self.fresh.retain(|p| !p.reply.is_closed());
        let mut records = self.releases.split_off(0);
        records.extend(
            self.fresh
                .iter()
                .map(|p| ClaimRecord::Claim(p.key, self.claimant(p.number))),
        );
        self.flying.append(&mut self.fresh);
        (!records.is_empty()).then(|| encode(&records))
    }

    fn on_records(&mut self, batch: Option<(Instant, Records)>, waits: &mut Option<Appended>) {
        let Some((began, records)) = batch else {
            // The log is out of reach: whoever waits is refused at once, and what was appended for
            // them is given back when it can be.
            self.give_up();
            return;
        };
        self.claims.skip_to(Offset(records.first));
        for r in &records.records {
            if let Ok(Some(batch)) = decode(&r.data) {
                self.claims
                    .apply(Offset(r.offset), LogTime(r.at_ms), &batch);
                self.release_again(&batch);
            } else {
                self.claims.skip_to(Offset(r.offset + 1));
            }
        }
        let at_end = self.claims.next_offset().0 >= records.next;
        self.caught_up |= at_end;
        self.check_waits(waits, at_end.then_some(began));
    }

    /// Decides the claims in flight once their append was read back, or surely never will be.
    fn check_waits(&mut self, waits: &mut Option<Appended>, at_end: Option<Instant>) {
        let decided = match waits {
            None => false,
            Some(Appended::At(offset)) => self.claims.next_offset() > *offset,
            Some(Appended::Lost(since)) => at_end.is_some_and(|began| began >= *since),
        };
        if !decided {
            return;
        }
        *waits = None;
        for p in std::mem::take(&mut self.flying) {
            self.decide(p);
        }
    }

    fn decide(&mut self, p: Pending) {
        let mine = self.claimant(p.number);
        match self.claims.standing(p.key) {
            Standing::Held(who) if who == mine => {
                self.keys.insert(p.number, p.key);
                if p.reply.send(Decision::Mine(p.number)).is_err() {
                    // The caller has been told that nothing ran, so nothing may run any more.
                    self.keys.remove(&p.number);
                    self.release(p.key, p.number);
                }
            }
            Standing::Held(who) => {
                let _gone = p.reply.send(self.held_by(who));
            }
            Standing::Free => {
                let _gone = p.reply.send(Decision::Undecided);
            }
        }
    }

    fn give_up(&mut self) {
        for p in std::mem::take(&mut self.fresh) {
            let _gone = p.reply.send(Decision::Undecided);
        }
        for p in std::mem::take(&mut self.flying) {
            let _gone = p.reply.send(Decision::Undecided);
            // The append may have taken effect, or still may: the key has to be given back.
            self.release(p.key, p.number);
        }
    }
}

/// Appends a batch. If its fate isn't known, reads on at once: the long read that is under way began
/// before and tells nothing.
async fn append<L>(
    log: L,
    text: String,
    from: u64,
    tx: mpsc::Sender<Appended>,
    records: mpsc::Sender<Option<(Instant, Records)>>,
) where
    L: LogService,
{
    let res = timeout(LONGEST_WAIT, log.append(STREAM, vec![text])).await;
    let since = Instant::now();
    let done = match res {
        Ok(Ok(first)) => Appended::At(Offset(first)),
        _ => Appended::Lost(since),
    };
    let lost = matches!(done, Appended::Lost(_));
    let _ended = tx.send(done).await;
    if lost {
        let batch = log
            .read(STREAM, from, READ_LIMIT, Duration::ZERO)
            .await
            .ok();
        let _ended = records.send(batch.map(|b| (since, b))).await;
    }
}

/// Reads the claims stream for ever; a failed read is passed on as nothing.
async fn tail<L>(log: L, tx: mpsc::Sender<Option<(Instant, Records)>>)
where
    L: LogService,
{
    let mut from = 0;
    // Until the end was reached once there is nothing to wait for, and callers wait for this.
    let mut wait = Duration::ZERO;
    loop {
        let began = Instant::now();
        let batch = log.read(STREAM, from, READ_LIMIT, wait).await.ok();
        let failed = batch.is_none();
        if let Some(last) = batch.as_ref().and_then(|b| b.records.last()) {
            from = last.offset + 1;
        }
        let at_end = batch.as_ref().is_some_and(|b| from >= b.next);
        wait = if at_end { LONG_POLL } else { Duration::ZERO };
        if tx.send(batch.map(|b| (began, b))).await.is_err() {
            return;
        }
        if failed {
            sleep(LOG_PAUSE).await;
        }
    }
}
