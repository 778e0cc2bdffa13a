//! The task that owns the claims of one gateway.

use super::{ClaimClient, ClaimCommand, ClaimResult, Decision, Fate, LONGEST_WAIT};
use crate::dispatch::FullAnswer;
use crate::metrics::Metrics;
use crate::settings::ClaimSettings;
use limehollow::claim::{ClaimRecord, ClaimState, Claimant, Claims, KeyHash};
use limehollow::id::{Incarnation, LogTime, Offset, VmName};
use limehollow_edge::log::LogService;
use limehollow_wire::claim::{STREAM, decode, encode};
use limehollow_wire::platform::Records;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, sleep_until, timeout};

const READ_LIMIT: u32 = 1024;
const LONG_POLL: Duration = Duration::from_secs(2);
const LOG_PAUSE: Duration = Duration::from_millis(200);
const QUEUE: usize = 4_096;

/// Who this gateway is in claims.
#[derive(Clone, Debug)]
pub struct GatewayIdentity {
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
    identity: GatewayIdentity,
    settings: ClaimSettings,
    metrics: Metrics,
    claims: Claims,
    /// Whether the stream was read to its end once.
    caught_up: bool,
    /// Claims that the next append carries.
    queued: Vec<Pending>,
    /// Claims that an append carried and that weren't read back yet.
    in_flight: Vec<Pending>,
    releases: Vec<ClaimRecord>,
    keys: HashMap<u64, KeyHash>,
    fates: BTreeMap<u64, Fate>,
    last_number: u64,
    results_tx: mpsc::UnboundedSender<ClaimResult>,
    results: mpsc::UnboundedReceiver<ClaimResult>,
    commands_tx: mpsc::Sender<ClaimCommand>,
    commands: mpsc::Receiver<ClaimCommand>,
}

/// How an append ended.
enum AppendOutcome {
    /// It stands at this offset.
    At(Offset),
    /// Nothing is known, as of this time.
    Unknown(Instant),
}

impl<L> ClaimTask<L>
where
    L: LogService + Clone + 'static,
{
    /// Makes the task; it does nothing until it runs.
    #[must_use]
    pub fn new(
        log: L,
        identity: GatewayIdentity,
        settings: ClaimSettings,
        metrics: Metrics,
    ) -> Self {
        let (results_tx, results) = mpsc::unbounded_channel();
        let (commands_tx, commands) = mpsc::channel(QUEUE);
        Self {
            log,
            identity,
            claims: Claims::default().with_retention(settings.memory_ms),
            settings,
            metrics,
            caught_up: false,
            queued: Vec::new(),
            in_flight: Vec::new(),
            releases: Vec::new(),
            keys: HashMap::new(),
            fates: BTreeMap::new(),
            last_number: 0,
            results_tx,
            results,
            commands_tx,
            commands,
        }
    }

    /// Gives the traffic threads' side.
    #[must_use]
    pub fn claim_client(&self) -> ClaimClient {
        ClaimClient {
            commands: self.commands_tx.clone(),
            results: self.results_tx.clone(),
            valid_for: Duration::from_millis(self.settings.memory_ms / 2),
        }
    }

    /// Runs for ever.
    pub async fn run(mut self) {
        let (records_tx, mut records) = mpsc::channel(2);
        tokio::spawn(tail(self.log.clone(), records_tx));
        let (appended_tx, mut appended) = mpsc::channel(1);
        let mut appending = false;
        // What the claims in flight wait for: an offset, or a read to the end after a lost append.
        let mut awaited: Option<AppendOutcome> = None;
        let mut next_append = Instant::now();
        loop {
            let due = !appending && awaited.is_none() && self.has_queued();
            tokio::select! {
                Some(command) = self.commands.recv() => self.on_command(command),
                Some(result) = self.results.recv() => self.on_result(result),
                Some(batch) = records.recv() => {
                    self.on_records(batch, &mut awaited);
                }
                Some((done, reread)) = appended.recv() => {
                    appending = false;
                    next_append = Instant::now() + Duration::from_millis(self.settings.batch_ms);
                    awaited = Some(done);
                    match reread {
                        Some(batch) => self.on_records(batch, &mut awaited),
                        None => self.decide_if_known(&mut awaited, None),
                    }
                }
                () = sleep_until(next_append), if due => {
                    if let Some(text) = self.batch() {
                        appending = true;
                        self.metrics.claim_appends.inc();
                        let from = self.claims.next_offset().0;
                        tokio::spawn(append(self.log.clone(), text, from, appended_tx.clone()));
                    }
                }
            }
            self.metrics
                .claims
                .set(i64::try_from(self.claims.len()).unwrap_or(i64::MAX));
        }
    }

    fn has_queued(&self) -> bool {
        !self.queued.is_empty() || !self.releases.is_empty()
    }

    fn on_command(&mut self, command: ClaimCommand) {
        match command {
            ClaimCommand::Fate(incarnation, number, reply) => {
                let own = incarnation == self.identity.incarnation;
                let fate = if own {
                    self.fate(number)
                } else {
                    Fate::Unknown
                };
                let _gone = reply.send(fate);
            }
            ClaimCommand::Claim(key, reply) => {
                if !self.caught_up {
                    let _gone = reply.send(Decision::Undecided);
                    return;
                }
                if let ClaimState::Held(who) = self.claims.state(key) {
                    let _gone = reply.send(self.held_by(who));
                    return;
                }
                self.last_number += 1;
                self.queued.push(Pending {
                    key,
                    number: self.last_number,
                    reply,
                });
            }
        }
    }

    fn held_by(&self, who: Claimant) -> Decision {
        if who.vm == self.identity.vm && who.incarnation == self.identity.incarnation {
            return Decision::OwnDuplicate(self.fate(who.number));
        }
        Decision::PeerDuplicate(who)
    }

    /// Gives what became of a claim of this gateway. One that nobody was given is released.
    fn fate(&self, number: u64) -> Fate {
        match self.fates.get(&number) {
            Some(f) => f.clone(),
            None if self.keys.contains_key(&number) => Fate::Running,
            None if self.in_flight.iter().any(|p| p.number == number) => Fate::Running,
            None => Fate::Unknown,
        }
    }

    fn on_result(&mut self, claim_result: ClaimResult) {
        match claim_result {
            ClaimResult::Done(number, result) => {
                self.keys.remove(&number);
                let fits = |w: &FullAnswer| w.body.len() <= self.settings.result_bytes;
                let fate = result.filter(fits).map_or(Fate::Unknown, Fate::Done);
                self.remember(number, fate);
            }
            ClaimResult::Release(number) => {
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
            let stands = self.claims.state(*key) == ClaimState::Held(who.clone());
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
            vm: self.identity.vm.clone(),
            incarnation: self.identity.incarnation,
            number,
            address: self.identity.address.as_str().into(),
        }
    }

    /// Takes the fresh claims and releases into one batch.
    fn batch(&mut self) -> Option<String> {
        // A claim whose caller has given up needn't be made.
        self.queued.retain(|p| !p.reply.is_closed());
        let mut records = self.releases.split_off(0);
        records.extend(
            self.queued
                .iter()
                .map(|p| ClaimRecord::Claim(p.key, self.claimant(p.number))),
        );
        self.in_flight.append(&mut self.queued);
        (!records.is_empty()).then(|| encode(&records))
    }

    fn on_records(
        &mut self,
        batch: Option<(Instant, Records)>,
        awaited: &mut Option<AppendOutcome>,
    ) {
        let Some((began, records)) = batch else {
            // The log is out of reach: whoever awaited is refused at once, and what was appended for
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
        self.decide_if_known(awaited, at_end.then_some(began));
    }

    /// Decides the claims in flight once their append was read back, or surely never will be.
    fn decide_if_known(&mut self, awaited: &mut Option<AppendOutcome>, at_end: Option<Instant>) {
        let decided = match awaited {
            None => false,
            Some(AppendOutcome::At(offset)) => self.claims.next_offset() > *offset,
            Some(AppendOutcome::Unknown(since)) => at_end.is_some_and(|began| began >= *since),
        };
        if !decided {
            return;
        }
        *awaited = None;
        for p in std::mem::take(&mut self.in_flight) {
            self.decide(p);
        }
    }

    fn decide(&mut self, p: Pending) {
        let mine = self.claimant(p.number);
        match self.claims.state(p.key) {
            ClaimState::Held(who) if who == mine => {
                self.keys.insert(p.number, p.key);
                if p.reply.send(Decision::Acquired(p.number)).is_err() {
                    // The caller has been told that nothing ran, so nothing may run any more.
                    self.keys.remove(&p.number);
                    self.release(p.key, p.number);
                }
            }
            ClaimState::Held(who) => {
                let _gone = p.reply.send(self.held_by(who));
            }
            ClaimState::Free => {
                let _gone = p.reply.send(Decision::Undecided);
            }
        }
    }

    fn give_up(&mut self) {
        for p in std::mem::take(&mut self.queued) {
            let _gone = p.reply.send(Decision::Undecided);
        }
        for p in std::mem::take(&mut self.in_flight) {
            let _gone = p.reply.send(Decision::Undecided);
            // The append may have taken effect, or still may: the key has to be given back.
            self.release(p.key, p.number);
        }
    }
}

/// How an append ended, and what was read anew if its fate isn't known. The two come together: the
/// read tells nothing to a task that doesn't know yet that the append was lost.
type AppendReport = (AppendOutcome, Option<Option<(Instant, Records)>>);

/// Appends a batch. If its fate isn't known, reads on at once: the long read that is under way began
/// before and tells nothing.
async fn append<L>(log: L, text: String, from: u64, tx: mpsc::Sender<AppendReport>)
where
    L: LogService,
{
    let res = timeout(LONGEST_WAIT, log.append(STREAM, vec![text])).await;
    let done = match res {
        Ok(Ok(first)) => (AppendOutcome::At(Offset(first)), None),
        _ => {
            let since = Instant::now();
            let batch = log
                .read(STREAM, from, READ_LIMIT, Duration::ZERO)
                .await
                .ok();
            (
                AppendOutcome::Unknown(since),
                Some(batch.map(|b| (since, b))),
            )
        }
    };
    let _ended = tx.send(done).await;
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
