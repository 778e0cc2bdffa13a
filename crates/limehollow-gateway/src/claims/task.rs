//! The task that owns the claims of one gateway: it appends claims and releases to the log, reads the
//! claims stream back and decides each claim by the order in the log.

use super::{ClaimClient, ClaimCommand, ClaimResult, Decision, Fate, MAX_CLAIM_WAIT};
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
const READ_RETRY_INTERVAL: Duration = Duration::from_millis(200);
const COMMAND_CAPACITY: usize = 4_096;

/// The identity of this gateway in its claims.
#[derive(Clone, Debug)]
pub struct GatewayIdentity {
    /// The entry VM.
    pub vm: VmName,
    /// The incarnation of the gateway's process.
    pub incarnation: Incarnation,
    /// The address at which other gateways reach it.
    pub address: String,
}

/// A claim that was appended or will be appended, and is not decided yet.
#[derive(Debug)]
struct Pending {
    key: KeyHash,
    number: u64,
    reply: oneshot::Sender<Decision>,
}

/// The task that owns the claims of this gateway.
#[derive(Debug)]
pub struct ClaimTask<L> {
    log: L,
    identity: GatewayIdentity,
    settings: ClaimSettings,
    metrics: Metrics,
    claims: Claims,
    /// Whether the stream has been read to its end at least once.
    caught_up: bool,
    /// Claims that go into the next append.
    queued: Vec<Pending>,
    /// Claims that were passed to an append and have not been read back yet.
    in_flight: Vec<Pending>,
    releases: Vec<ClaimRecord>,
    running_keys: HashMap<u64, KeyHash>,
    fates: BTreeMap<u64, Fate>,
    last_number: u64,
    results_tx: mpsc::UnboundedSender<ClaimResult>,
    results: mpsc::UnboundedReceiver<ClaimResult>,
    commands_tx: mpsc::Sender<ClaimCommand>,
    commands: mpsc::Receiver<ClaimCommand>,
}

/// The outcome of an append.
enum AppendOutcome {
    /// The batch was appended at this offset.
    At(Offset),
    /// It is not known whether the batch was appended; the append failed or timed out at this
    /// time.
    Unknown(Instant),
}

impl<L> ClaimTask<L>
where
    L: LogService + Clone + 'static,
{
    /// Creates the task; it does nothing until [`run`](Self::run) is called.
    #[must_use]
    pub fn new(
        log: L,
        identity: GatewayIdentity,
        settings: ClaimSettings,
        metrics: Metrics,
    ) -> Self {
        let (results_tx, results) = mpsc::unbounded_channel();
        let (commands_tx, commands) = mpsc::channel(COMMAND_CAPACITY);
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
            running_keys: HashMap::new(),
            fates: BTreeMap::new(),
            last_number: 0,
            results_tx,
            results,
            commands_tx,
            commands,
        }
    }

    /// Returns a handle for the traffic threads.
    #[must_use]
    pub fn claim_client(&self) -> ClaimClient {
        ClaimClient {
            commands: self.commands_tx.clone(),
            results: self.results_tx.clone(),
            valid_for: Duration::from_millis(self.settings.memory_ms / 2),
        }
    }

    /// Processes commands, results and log records; never returns.
    pub async fn run(mut self) {
        let (records_tx, mut records) = mpsc::channel(2);
        tokio::spawn(tail(self.log.clone(), records_tx));
        let (appended_tx, mut appended) = mpsc::channel(1);
        let mut appending = false;
        // What the claims in flight wait for: an offset to be read, or, after an append with unknown
        // outcome, a read to the end of the stream.
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
        // A caller that has its answer may repeat the key at once. The result was reported before the answer was sent, so
        // it has to be applied first, whichever channel is read first.
        while let Ok(result) = self.results.try_recv() {
            self.on_result(result);
        }
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
                    let _gone = reply.send(self.decision_for_holder(who));
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

    fn decision_for_holder(&self, who: Claimant) -> Decision {
        if who.vm == self.identity.vm && who.incarnation == self.identity.incarnation {
            return Decision::OwnDuplicate(self.fate(who.number));
        }
        Decision::PeerDuplicate(who)
    }

    /// Returns the state of one of this gateway's claims.
    ///
    /// A claim that was never granted to a caller has been released. A number without a record gives
    /// [`Fate::Unknown`].
    fn fate(&self, number: u64) -> Fate {
        match self.fates.get(&number) {
            Some(f) => f.clone(),
            None if self.running_keys.contains_key(&number) => Fate::Running,
            None if self.in_flight.iter().any(|p| p.number == number) => Fate::Running,
            None => Fate::Unknown,
        }
    }

    fn on_result(&mut self, claim_result: ClaimResult) {
        match claim_result {
            ClaimResult::Done(number, result) => {
                self.running_keys.remove(&number);
                let fits = |w: &FullAnswer| w.body.len() <= self.settings.result_bytes;
                let fate = result.filter(fits).map_or(Fate::Unknown, Fate::Done);
                self.record_fate(number, fate);
            }
            ClaimResult::Release(number) => {
                if let Some(key) = self.running_keys.remove(&number) {
                    self.release(key, number);
                }
            }
        }
    }

    /// Releases again the claims of this gateway that took effect after they were released: a slow
    /// append can land in the log behind the release of its own claim.
    fn release_again(&mut self, batch: &[ClaimRecord]) {
        for r in batch {
            let ClaimRecord::Claim(key, who) = r else {
                continue;
            };
            let released = matches!(self.fates.get(&who.number), Some(Fate::Released));
            let in_force = self.claims.state(*key) == ClaimState::Held(who.clone());
            if released && in_force && *who == self.claimant(who.number) {
                self.releases.push(ClaimRecord::Release(*key, who.clone()));
            }
        }
    }

    fn release(&mut self, key: KeyHash, number: u64) {
        self.record_fate(number, Fate::Released);
        self.releases
            .push(ClaimRecord::Release(key, self.claimant(number)));
    }

    fn record_fate(&mut self, number: u64, fate: Fate) {
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

    /// Moves the queued claims and releases into one batch and returns it encoded.
    fn batch(&mut self) -> Option<String> {
        // A claim whose caller no longer waits need not be appended.
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
            // The log is unreachable: pending claims are refused at once, and those already appended
            // are released once the log can be written again.
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

    /// Decides the claims in flight once their append was read back, or a read to the end of the stream
    /// that began after the failed append shows what took effect.
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
        let own_claim = self.claimant(p.number);
        match self.claims.state(p.key) {
            ClaimState::Held(who) if who == own_claim => {
                self.running_keys.insert(p.number, p.key);
                if p.reply.send(Decision::Acquired(p.number)).is_err() {
                    // The caller has already received the answer that nothing ran, so the request must
                    // not run any more.
                    self.running_keys.remove(&p.number);
                    self.release(p.key, p.number);
                }
            }
            ClaimState::Held(who) => {
                let _gone = p.reply.send(self.decision_for_holder(who));
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
            // The append may have taken effect or may still do so: the key has to be released.
            self.release(p.key, p.number);
        }
    }
}

/// The outcome of an append and, if it is unknown, the result of a new read of the stream.
///
/// Both are sent in one message: the read is of no use to the task before the task knows that the
/// outcome of the append is unknown.
type AppendReport = (AppendOutcome, Option<Option<(Instant, Records)>>);

/// Appends a batch. If the outcome is unknown, reads the stream again at once: the long poll in
/// progress began before the failure, so it proves nothing about the append.
async fn append<L>(log: L, text: String, from: u64, tx: mpsc::Sender<AppendReport>)
where
    L: LogService,
{
    let res = timeout(MAX_CLAIM_WAIT, log.append(STREAM, vec![text])).await;
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

/// Reads the claims stream until the receiver is closed; sends `None` for a failed read.
async fn tail<L>(log: L, tx: mpsc::Sender<Option<(Instant, Records)>>)
where
    L: LogService,
{
    let mut from = 0;
    // No long poll until the end has been reached once: there are records to read, and callers wait
    // for them.
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
            sleep(READ_RETRY_INTERVAL).await;
        }
    }
}
