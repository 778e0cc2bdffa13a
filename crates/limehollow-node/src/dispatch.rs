//! Dispatches one request: chooses endpoints, retries within the rule's limits, and answers the caller if no endpoint
//! does.

mod answered;
mod resumed;

use crate::answer::{Outgoing, Reason, expired, lost, refuse};
use crate::assignment::{self, ChosenBy};
use crate::attempt::{self, AttemptFailure, EndpointEvidence, LimitGrant, SlotGrant, Target};
use crate::crash_probe;
use crate::edge::{Feed, ForwardMeta, HeaderPolicy, Protocol, RequestMeta};
use crate::header_policy;
use crate::keys::Authorization;
use crate::limit_grant::{self, EndpointsAtLimit};
use crate::logging::may_log;
use crate::own_delay;
use crate::pass_on::Passage;
use crate::relay::{RunningAttempt, millis};
use crate::retry_delay::{
    ADAPTER_RETRY, DEFAULT_RETRY_DELAY, MIN_RETRY_DELAY, until_less_busy, until_loaded, with_jitter,
};
use crate::site::Site;
use crate::waiting::{self, Turn, Waited};
use bytes::Bytes;
use http::request::Parts;
use http::{Request, Response};
use http_body_util::Full;
use limehollow::balance::Choice;
use limehollow::catalog::{Catalog, Rule};
use limehollow::fingerprint::{CauseKind, Causes, Fingerprint};
use limehollow::id::{EndpointKey, ServiceName, SoftwareVersion};
use limehollow::job::Job;
use limehollow::load::AttemptOutcome;
use limehollow::quarantine::Standing;
use limehollow::quota::MAX_TRANSFER_TIME;
use limehollow::rebalance::RequestedLoad;
use limehollow::retry::Repeat;
use limehollow::retry_window::{RepeatAllowance, RepeatWindow};
use limehollow::verdict::{Failure, Verdict};
use limehollow::wait_queue::Waiter;
use smol_str::SmolStr;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::futures::Notified;
use tokio::time::Instant;

/// A request is refused if its first result is expected later than this multiple of the service's shortest objective: a
/// late answer is worth a tenth to a third of one in time, and after four times the objective callers have left.
const MAX_EXPECTED_OBJECTIVES: f64 = 2.5;
/// The maximum share of its objective that a request waits for an overloaded endpoint or for an adapter, which loads
/// within milliseconds: a later start leaves too little of the objective for the result itself. A request doesn't wait
/// for a model: the fastest load takes longer than this share.
const WAIT_SHARE: f64 = 0.2;
/// How often a request that waits for an overloaded endpoint checks again, in addition to each notification.
const RECHECK_INTERVAL: Duration = Duration::from_millis(25);
/// The time that a request must be able to wait, so that it leaves capacity to others: several messages between VMs, after
/// which the load of more urgent requests is known.
const LONG_WAIT: Duration = Duration::from_secs(1);
/// The maximum number of endpoints that are tried if no connection can be opened.
const MAX_UNREACHED: u32 = 4;
/// A request that is being dispatched to endpoints.
pub(crate) struct Dispatch<'a, P>
where
    P: Protocol,
{
    pub(crate) site: &'a Arc<Site<P>>,
    pub(crate) catalog: &'a Catalog,
    pub(crate) rule: &'a Rule,
    pub(crate) meta: &'a RequestMeta,
    /// The authorization by the request's key, if the rule needs one.
    pub(crate) authorization: Option<&'a Authorization>,
    /// The tokens that the request has acquired of its workspace's limit.
    pub(crate) tokens: f64,
    pub(crate) head: &'a Parts,
    pub(crate) body: Bytes,
    pub(crate) caller: IpAddr,
    pub(crate) causes: Causes,
    pub(crate) job: Job,
    pub(crate) arrived: Instant,
    pub(crate) expiry: Instant,
    /// The request's place in the queue of its model, if it may wait. It keeps its place after a rejection.
    pub(crate) turn: Option<Turn<P>>,
    /// Whether the request may be passed on to another VM.
    pub(crate) may_pass_on: bool,
    pub(crate) tried: Vec<EndpointKey>,
    pub(crate) reached: u32,
    pub(crate) unreached: u32,
    pub(crate) verdict: Verdict,
}

/// An endpoint chosen for the request.
struct Chosen {
    to: Target,
    software: Option<SoftwareVersion>,
    expected_ms: f64,
    by: ChosenBy,
}

impl<P> Dispatch<'_, P>
where
    P: Protocol,
{
    pub(crate) async fn run(mut self) -> Response<Outgoing<P>> {
        self.record_arrival();
        if let Err((reason, after)) = self.bind_version().await {
            return self.give_up(reason, after);
        }
        self.turn = self.new_turn();
        loop {
            if self.may_be_passed_on() && self.site.is_cut_off() {
                return self.pass_on().await;
            }
            let chosen = match self.choose().await {
                Ok(c) => c,
                Err((reason, after)) => return self.give_up(reason, after),
            };
            if self.may_be_passed_on() && self.is_out_of_reach(chosen.to.key) {
                return self.pass_on().await;
            }
            let failed = match self.attempt(&chosen).await {
                Ok(res) => return res,
                Err(f) => f,
            };
            self.tried.push(chosen.to.key);
            self.verdict = self.verdict.and(failed.verdict);
            if failed.reached {
                self.reached += 1;
            } else {
                self.unreached += 1;
            }
            if self.may_be_passed_on() && self.site.is_cut_off() {
                continue;
            }
            if !self.may_retry(&failed) {
                let reason = match failed.evidence {
                    EndpointEvidence::KeyRevoked => Reason::KeyUnconfirmed,
                    _ if failed.reached => Reason::EndpointRefused,
                    _ => Reason::Unreached,
                };
                return self.give_up(reason, self.retry_delay(&failed));
            }
            if failed.evidence == EndpointEvidence::ConnectionEnded {
                crash_probe::wait_for_result(self.site, &chosen.to.instance).await;
            }
        }
    }

    fn may_be_passed_on(&self) -> bool {
        self.may_pass_on && self.verdict == Verdict::NotRun && self.reached == 0
    }

    /// Returns `true` if this VM opens no connections and has none to an endpoint that could carry a request.
    fn is_out_of_reach(&self, key: EndpointKey) -> bool {
        let is_cut = self.site.view().own_reach.is_cut();
        is_cut && (self.site.is_cut_off() || !self.site.pool.has(key))
    }

    /// Passes the request on to another VM, which acquires the tokens that it needs.
    async fn pass_on(self) -> Response<Outgoing<P>> {
        self.refund_tokens();
        let passage = Passage {
            site: self.site,
            rule: self.rule,
            service: &self.job.service,
            id: &self.meta.id,
            head: self.head,
            body: self.body,
            caller: self.caller,
            arrived: self.arrived,
            expiry: self.expiry,
        };
        passage.run().await
    }

    fn record_arrival(&self) {
        let now = self.site.now();
        let mut view = self.site.view();
        if let Some(m) = &self.job.model {
            let engine = self.catalog.engine(&self.job.service);
            let slots = engine.map_or(1, |e| e.slots);
            let work = view.balance.demand_ms(&self.job, slots);
            view.arrivals.record(now, m, work);
        }
        let window = view.repeats.entry(self.job.service.clone()).or_default();
        window.request(now);
    }

    /// Chooses an endpoint.
    ///
    /// # Errors
    ///
    /// Returns the reason for a refusal and the retry delay.
    async fn choose(&mut self) -> Result<Chosen, (Reason, Duration)> {
        let until = self.arrived + self.rule.objective.mul_f64(WAIT_SHARE);
        let mut at_limit = EndpointsAtLimit::default();
        loop {
            let changed = self.site.endpoints_changed.notified();
            let now = self.site.now();
            let tried;
            (self.job.isolated, tried) = self.check_standing(now)?;
            let unusable = [&self.tried[..], at_limit.keys()].concat();
            let waiter = self.claim_turn(now);
            let (choice, by, slot) = assignment::choose(
                self.site,
                self.catalog,
                &self.job,
                &unusable,
                waiter.as_ref(),
            )
            .await;
            if let (Some(t), Choice::To(..) | Choice::NoTurn(_)) = (&mut self.turn, &choice) {
                t.end(by.address());
            }
            let (reason, after) = match choice {
                Choice::Queued(ask_again) => {
                    self.wait_for_turn(ask_again, by).await?;
                    continue;
                }
                Choice::NoTurn(turn) => return Err((Reason::Busy, self.until_turn(turn))),
                Choice::To(key, expected_ms) => {
                    let is_in_turn = waiter.is_some() && slot.is_none();
                    if !is_in_turn {
                        self.refuse_if_late(key, expected_ms)?;
                    }
                    let mut chosen = self.target(key, expected_ms, by)?;
                    if let (Some(part), Some(c)) = (tried, &mut chosen.to.causes) {
                        *c = c.without(part);
                    }
                    chosen.to.slot = slot.map(|id| SlotGrant { id, asked: now });
                    match limit_grant::acquire(self.site, &chosen.to).await {
                        Ok(grant) => {
                            chosen.to.grant = grant;
                            return Ok(chosen);
                        }
                        Err(wait) => at_limit.add(key, wait),
                    }
                    continue;
                }
                Choice::Overloaded(expected_ms) => (
                    Reason::Busy,
                    until_less_busy(expected_ms, self.objective_ms()),
                ),
                Choice::BackingOff(wait) | Choice::NoSlot(wait) => (Reason::AtLimit, wait),
                // A version that is replaced doesn't come back.
                Choice::NoEndpoint if self.lacks_version() => (Reason::NoVersion, self.time_left()),
                Choice::NoEndpoint => (Reason::NoEndpoint, DEFAULT_RETRY_DELAY),
                Choice::NoModel => (
                    Reason::NoModel,
                    until_loaded(self.site, self.catalog, &self.job),
                ),
                Choice::NoAdapter => (Reason::NoAdapter, ADAPTER_RETRY),
            };
            // An endpoint that holds what the request needs is at its limit.
            let (reason, after) = match at_limit.opens_in() {
                Some(wait) if reason != Reason::Busy => (Reason::AtLimit, wait.min(after)),
                _ => (reason, after),
            };
            if let (Reason::NoModel | Reason::NoAdapter, Some(m)) = (reason, &self.job.model) {
                self.site.request_load(RequestedLoad {
                    model: m.clone(),
                    origin: self.origin(),
                });
            }
            let may_start_in_time = match reason {
                Reason::Busy | Reason::NoAdapter => now < until,
                Reason::AtLimit => now + after < until,
                _ => false,
            };
            if !may_start_in_time {
                let is_shared_wait = reason == Reason::AtLimit;
                return Err((
                    reason,
                    if is_shared_wait {
                        with_jitter(after)
                    } else {
                        after
                    },
                ));
            }
            match reason {
                Reason::Busy => {
                    self.wait_for_capacity((now + RECHECK_INTERVAL).min(until))
                        .await;
                }
                Reason::AtLimit => {
                    at_limit = EndpointsAtLimit::default();
                    self.wait_for_change(now + after, changed).await;
                }
                _ => self.wait_for_change(until, changed).await,
            }
        }
    }

    /// Returns whether the request, or a part of its prompt, may have crashed endpoints, and the part that it tries.
    ///
    /// # Errors
    ///
    /// Returns the reason for a refusal and the retry delay if it has.
    fn check_standing(
        &self,
        now: Instant,
    ) -> Result<(bool, Option<Fingerprint>), (Reason, Duration)> {
        let mut view = self.site.view();
        match view.quarantine.strictest(now, self.causes.all()) {
            None | Some((_, Standing::Clear)) => Ok((false, None)),
            Some((_, Standing::Suspect)) => Ok((true, None)),
            Some((cause, Standing::Quarantined(_))) if view.begin_trial(now, cause) => {
                tracing::info!(id = %self.meta.id, %cause, "a request tries a part in quarantine");
                Ok((true, Some(cause)))
            }
            Some((cause, Standing::Quarantined(left))) => {
                let reason = match cause.kind() {
                    CauseKind::Request => Reason::Quarantined,
                    CauseKind::Part => Reason::PartQuarantined,
                };
                if may_log() {
                    tracing::info!(id = %self.meta.id, %cause, "refused: in quarantine");
                }
                Err((reason, left))
            }
        }
    }

    /// Waits until a prompt has been read or a request has ended, but no longer than `at`.
    async fn wait_for_capacity(&self, at: Instant) {
        self.wait_for_change(at, self.site.capacity_freed.notified())
            .await;
    }

    /// Waits for a notification, but no longer than `at`. The caller then checks again, or refuses the request.
    async fn wait_for_change(&self, at: Instant, changed: Notified<'_>) {
        let _timed_out = self.site.clock.timeout_at(at, changed).await;
    }

    /// Returns the retry delay for a request that failed and may not be sent again.
    fn retry_delay(&self, f: &AttemptFailure) -> Duration {
        if f.evidence == EndpointEvidence::KeyRevoked {
            return MIN_RETRY_DELAY;
        }
        match assignment::preview(self.site, self.catalog, &self.job) {
            Choice::BackingOff(wait) | Choice::NoSlot(wait) => with_jitter(wait),
            _ => MIN_RETRY_DELAY,
        }
    }

    fn objective_ms(&self) -> f64 {
        let objective = self.catalog.shortest_objective(&self.job.service);
        objective.unwrap_or(self.rule.objective).as_secs_f64() * 1000.0
    }

    /// Waits until the request may ask for its turn again.
    ///
    /// # Errors
    ///
    /// Returns the reason for a refusal and the retry delay if this VM can't hold the request any longer, or it can't be served
    /// any more. The retry delay is longer than the time that the caller has left, since no turn is reserved for it.
    async fn wait_for_turn(
        &mut self,
        ask_again: Duration,
        by: ChosenBy,
    ) -> Result<(), (Reason, Duration)> {
        let waited = match &mut self.turn {
            Some(t) => t.wait(ask_again, by.address()).await,
            None => Waited::TooLate,
        };
        match waited {
            Waited::AskAgain => Ok(()),
            Waited::Displaced | Waited::TooLate => {
                if may_log() {
                    tracing::info!(
                        id = %self.meta.id,
                        waited_ms = millis(self.waited()),
                        is_displaced = waited == Waited::Displaced,
                        "the request doesn't wait any longer"
                    );
                }
                Err((Reason::Busy, self.time_left() + MIN_RETRY_DELAY))
            }
        }
    }

    fn new_turn(&self) -> Option<Turn<P>> {
        let caller = SmolStr::from(self.caller.to_string());
        let request = waiting::Request {
            rule: self.rule,
            job: &self.job,
            workspace: self.authorization.map(|p| p.workspace.as_str()),
            caller: &caller,
            fingerprint: self.causes.request(),
            arrived: self.arrived,
            expiry: self.expiry,
        };
        let site = Arc::clone(self.site);
        Turn::new(site, self.catalog, &request, self.body.len())
    }

    /// Returns the retry delay of a request that can't start in time. Without a turn its caller can't be served in the time
    /// that it has left, so the delay is longer than that.
    fn until_turn(&self, turn: Option<Duration>) -> Duration {
        turn.unwrap_or_else(|| self.time_left() + MIN_RETRY_DELAY)
    }

    /// Returns what the model's queue has to know of the request now, if it may wait. A request that can still wait for long
    /// leaves capacity to others.
    fn claim_turn(&mut self, now: Instant) -> Option<Waiter> {
        let waits = !self.job.isolated;
        let waiter = self.turn.as_ref().filter(|_| waits).map(Turn::waiter);
        let is_patient = |w: &Waiter| now + LONG_WAIT < w.start_by;
        self.job.can_wait = waiter.as_ref().is_some_and(is_patient);
        waiter
    }

    /// Refuses a request whose first result is expected too late, where no queue decides on that.
    fn refuse_if_late(&self, key: EndpointKey, expected_ms: f64) -> Result<(), (Reason, Duration)> {
        if expected_ms > self.objective_ms() * MAX_EXPECTED_OBJECTIVES {
            self.log_busy(key, expected_ms);
            return Err((
                Reason::Busy,
                until_less_busy(expected_ms, self.objective_ms()),
            ));
        }
        Ok(())
    }

    /// Returns the chosen endpoint as the target of the request.
    fn target(
        &self,
        key: EndpointKey,
        expected_ms: f64,
        by: ChosenBy,
    ) -> Result<Chosen, (Reason, Duration)> {
        let view = self.site.view();
        let e = view
            .roster
            .get(key)
            .ok_or((Reason::NoEndpoint, MIN_RETRY_DELAY))?;
        let to = Target {
            key,
            instance: e.instance.clone(),
            address: e.address,
            grant: LimitGrant::Unlimited,
            slot: None,
            causes: Some(self.causes.clone()),
        };
        Ok(Chosen {
            to,
            software: e.software.clone(),
            expected_ms,
            by,
        })
    }

    async fn attempt(&mut self, c: &Chosen) -> Result<Response<Outgoing<P>>, AttemptFailure> {
        let now = self.site.now();
        let sent = {
            let mut view = self.site.view();
            let view = &mut *view;
            // Several requests may have waited for this endpoint. Only one of them probes whether its backoff is over.
            if view.balance.backpressure.opens_in(now, c.to.key).is_some() {
                return Err(AttemptFailure::at_limit());
            }
            let Some(e) = view.roster.get(c.to.key) else {
                return Err(AttemptFailure::endpoint_gone());
            };
            let to = (c.to.key, e);
            if let Some(slot) = c.to.slot {
                view.slot_holdings.start(slot.id);
            }
            view.balance.start(now, to, &self.job, c.expected_ms)
        };
        let instance = c.to.instance.clone();
        let (site, id) = (Arc::clone(self.site), self.meta.id.clone());
        let mut running =
            RunningAttempt::new(site, sent, id, self.causes.clone(), instance, self.arrived);
        if let Some(stream) = self.resumable_stream(c) {
            running.set_stream(stream);
        }
        self.log_sent(c);
        let req = self.request(c, now);
        let answer = attempt::send(
            self.site,
            &self.site.pool,
            &c.to,
            req,
            &self.meta.id,
            self.authorization,
        );
        let Ok(sent) = self.site.clock.timeout_at(self.expiry, answer).await else {
            running.end(AttemptOutcome::Failed(Failure::Deadline), "expired");
            return Ok(self.expired());
        };
        let answer = sent.inspect_err(|f| self.record_failure(&mut running, &c.to, f))?;
        self.answered(c, answer, running).await
    }

    fn request(&self, c: &Chosen, now: Instant) -> Request<Full<Bytes>> {
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.head.method.clone();
        *req.uri_mut() = self.head.uri.clone();
        *req.headers_mut() = self.head.headers.clone();
        let hides_keys = !self.catalog.workspaces.is_empty();
        header_policy::clean(req.headers_mut(), |n| {
            match self.site.protocol.request_header(n) {
                HeaderPolicy::Credential if hides_keys => HeaderPolicy::Reserved,
                p => p,
            }
        });
        let s = ForwardMeta {
            remaining: self.expiry.duration_since(now),
            instance: &c.to.instance.id,
            rank: self.job.urgency(),
            workspace: self.authorization.map(|p| p.workspace.as_str()),
        };
        self.site
            .protocol
            .set_forward_headers(req.headers_mut(), &s);
        req
    }

    fn record_failure(&self, running: &mut RunningAttempt<P>, to: &Target, f: &AttemptFailure) {
        if f.evidence == EndpointEvidence::ConnectionEnded {
            running.record_cut_off();
        }
        if let Some(slot) = to.slot {
            self.site.view().slot_holdings.settle(slot.id);
        }
        running.end(AttemptOutcome::Failed(f.failure), "failed");
        if f.failure == Failure::Refused {
            self.log_rejection(to);
        }
        tracing::info!(
            id = %self.meta.id,
            verdict = %f.verdict,
            reached = f.reached,
            why = %f.why,
            "try failed"
        );
        match (f.evidence, &self.job.model) {
            (EndpointEvidence::OtherInstance, _) => {
                self.site.record_gone(&to.instance);
                tracing::info!(id = %self.meta.id, "another instance has the endpoint's address");
            }
            (EndpointEvidence::NotHeld, Some(m)) => {
                self.site.view().roster.remove_holding(to.key, m);
            }
            (EndpointEvidence::NotListening, _) => crash_probe::on_refused(self.site, to),
            (
                EndpointEvidence::NotHeld
                | EndpointEvidence::ConnectionEnded
                | EndpointEvidence::KeyRevoked
                | EndpointEvidence::Nothing,
                _,
            ) => {}
        }
    }

    /// Counts a rejection, and logs what this VM believed of the endpoint's places.
    fn log_rejection(&self, to: &Target) {
        self.site.metrics.endpoint_rejections.inc();
        let now = self.site.now();
        self.site.view().slot_holdings.reject(now, to.key);
        self.site.slots_changed.notify_one();
        if may_log() {
            let view = self.site.view();
            let (own, others) = view.balance.known_requests(to.key);
            tracing::info!(
                id = %self.meta.id,
                endpoint = %to.instance,
                slots = view.roster.get(to.key).map(|e| e.slots),
                own_requests = own,
                others_requests = others,
                "the endpoint rejected the request"
            );
        }
    }

    /// Returns `true` if another endpoint may be tried after a failure.
    fn may_retry(&self, f: &AttemptFailure) -> bool {
        let may_repeat = self.verdict == Verdict::NotRun || self.rule.repeat == Repeat::Allowed;
        if !may_repeat
            || f.evidence == EndpointEvidence::KeyRevoked
            || self.site.now() >= self.expiry
        {
            return false;
        }
        if !f.reached {
            return self.unreached < MAX_UNREACHED;
        }
        self.reached < self.rule.max_attempts && self.take_repeat()
    }

    fn take_repeat(&self) -> bool {
        take_repeat(self.site, &self.job.service)
    }

    fn forward(&self, mut head: http::response::Parts, body: Outgoing<P>) -> Response<Outgoing<P>> {
        let protocol = &self.site.protocol;
        header_policy::clean(&mut head.headers, |n| protocol.answer_header(n));
        if may_log() {
            tracing::info!(
                id = %self.meta.id,
                status = head.status.as_u16(),
                ms = millis(self.waited()),
                "answer begins"
            );
        }
        Response::from_parts(head, body)
    }

    fn expired(&self) -> Response<Outgoing<P>> {
        expired(self.site, &self.meta.id, self.waited())
    }

    /// Returns the final answer to a request that no endpoint has answered.
    fn give_up(&self, reason: Reason, after: Duration) -> Response<Outgoing<P>> {
        if self.verdict == Verdict::NotRun {
            self.refund_tokens();
            if may_log() {
                let model = self.job.model.as_ref();
                tracing::info!(
                    id = %self.meta.id,
                    rule = %self.rule.name,
                    model = model.map(|m| m.model.as_str()),
                    adapter = model.and_then(|m| m.adapter.as_deref()),
                    tries = self.reached + self.unreached,
                    waited_ms = millis(self.waited()),
                    "given up"
                );
            }
            return refuse(self.site, &self.meta.id, reason, after);
        }
        lost(self.site, &self.meta.id, reason.as_str())
    }

    /// Refunds the tokens that the request acquired of its workspace's limit, if that was recent enough for the bound
    /// on the sum over all VMs to hold.
    fn refund_tokens(&self) {
        if let Some(p) = self
            .authorization
            .filter(|_| self.waited() <= MAX_TRANSFER_TIME)
        {
            let mut view = self.site.view();
            view.quotas
                .refund(self.site.now(), &p.workspace, self.tokens);
        }
    }

    fn waited(&self) -> Duration {
        self.site.now().saturating_duration_since(self.arrived)
    }

    /// Returns the age of the list from which the endpoint was chosen.
    fn list_age(&self) -> Option<Duration> {
        let view = self.site.view();
        let freshness = view.feed_reads.freshness(Feed::Endpoints)?;
        Some(freshness.age(self.site.now()))
    }

    /// Logs what this VM believes of the best endpoint, by which it refuses the request.
    fn log_busy(&self, key: EndpointKey, expected_ms: f64) {
        if may_log() {
            let now = self.site.now();
            let view = self.site.view();
            let (own, others) = view.balance.known_requests(key);
            let held = view.balance.held(&self.job.service);
            tracing::info!(
                id = %self.meta.id,
                endpoint = view.roster.get(key).map(|e| e.instance.to_string()),
                expected_ms = expected_ms.round(),
                own_requests = own,
                others_requests = others,
                slowness = view.balance.known_slowness(now, key),
                held_ms = held.map(millis),
                own_delay_ms = own_delay::current_ms(&view.balance.own_delay, now),
                "the best endpoint is believed to be busy"
            );
        }
    }

    fn log_sent(&self, c: &Chosen) {
        if may_log() {
            let model = self.job.model.as_ref();
            let own_delay_ms = {
                let view = self.site.view();
                own_delay::current_ms(&view.balance.own_delay, self.site.now())
            };
            tracing::info!(
                id = %self.meta.id,
                request = %self.causes.request(),
                caller = %self.caller,
                rule = %self.rule.name,
                workspace = self.authorization.map(|p| p.workspace.as_str()),
                version = self.catalog.version,
                endpoint = %c.to.instance,
                software = c.software.as_ref().map(SoftwareVersion::as_str),
                by = %c.by,
                takes_up = self.meta.resumption.is_some(),
                first_request = self.first_request(),
                model = model.map(|m| m.model.as_str()),
                adapter = model.and_then(|m| m.adapter.as_deref()),
                parts = ?self.meta.parts.iter().map(|p| p.id).collect::<Vec<_>>(),
                expected_ms = c.expected_ms.round(),
                tries = self.reached + self.unreached,
                waited_ms = millis(self.waited()),
                list_age_ms = self.list_age().map(millis),
                own_delay_ms,
                "sent"
            );
        }
    }
}

/// Takes a repeat from a service's budget. Returns `false` if the budget is used up.
pub(crate) fn take_repeat<P>(site: &Site<P>, service: &ServiceName) -> bool
where
    P: Protocol,
{
    let taken = with_budget(site, service, RepeatWindow::acquire);
    if taken {
        site.metrics.repeats.inc();
    }
    taken
}

/// Calls `f` with a service's budget for repeats and the values that it needs.
fn with_budget<P, F>(site: &Site<P>, service: &ServiceName, f: F) -> bool
where
    P: Protocol,
    F: FnOnce(&mut RepeatWindow, Instant, RepeatAllowance, usize) -> bool,
{
    let rules = site.settings.load().repeat_allowance();
    let mut view = site.view();
    let gateways = view.peers.known_vms();
    let window = view.repeats.entry(service.clone()).or_default();
    f(window, site.now(), rules, gateways)
}
