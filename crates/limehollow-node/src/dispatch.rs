//! One request on its way: to which endpoints it goes, how often, and what its caller is told if none answers.

use crate::answer::{Outgoing, Reason, plain, refuse};
use crate::assignment;
use crate::attempt::{self, AttemptFailure, EndpointEvidence, LimitGrant, Target};
use crate::crash_probe;
use crate::edge::{Feed, ForwardMeta, Protocol, RequestMeta};
use crate::header_policy;
use crate::keys::Authorization;
use crate::limit_grant::{self, Closed};
use crate::logging::may_log;
use crate::metrics::Metrics;
use crate::relay::{Relay, RunningAttempt, millis};
use crate::site::Site;
use bytes::Bytes;
use http::request::Parts;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Either, Full};
use limehollow::balance::Choice;
use limehollow::catalog::{Catalog, Rule};
use limehollow::fingerprint::{Fingerprint, OriginTag};
use limehollow::id::EndpointKey;
use limehollow::job::Job;
use limehollow::load::AttemptOutcome;
use limehollow::quarantine::Standing;
use limehollow::quota::MAX_TRANSFER_TIME;
use limehollow::retry::Repeat;
use limehollow::retry_window::{RepeatAllowance, RepeatWindow};
use limehollow::verdict::{Failure, Verdict};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::futures::Notified;
use tokio::time::Instant;

/// A request is refused when its first result is expected later than so many times the service's
/// tightest objective: an answer that is late is worth a tenth to a third of one in time, and after four times the
/// objective callers have left.
const PATIENCE: f64 = 2.5;
/// The part of its objective that a request waits at most for a crowded endpoint or for an adapter, which loads in some
/// ms: what comes later leaves too little of the objective for the result itself. For a model nothing is waited: the fastest load
/// takes longer than this.
const WAIT_SHARE: f64 = 0.2;
/// How often a request that waits for a crowded endpoint looks again, beside when it is told.
const LOOK_AGAIN: Duration = Duration::from_millis(25);
/// The part of the objective that is left for a caller's second try.
const SECOND_TRY: f64 = 0.6;
/// Endpoints that are tried at most when no connection comes about.
const MAX_UNREACHED: u32 = 4;
/// When to come back after a refusal: bounds, and where no estimate says it.
const SOON: Duration = Duration::from_millis(100);
pub(crate) const LATER: Duration = Duration::from_secs(1);
const LATEST: Duration = Duration::from_secs(5);
/// Over which part of their wait callers are spread that are told to come back at the same moment.
const SPREAD: f64 = 0.25;
/// When to come back for a model of which an endpoint has a copy: the order, what makes way, and the load.
const COPY_SOON: Duration = Duration::from_millis(2500);
/// What passes before and after a load from the weight store: the demand is told, the order given, the result told.
const ORDERED_AFTER: Duration = Duration::from_millis(1000);
/// When to come back for an adapter: it takes some ms to load, behind an order on a model a second.
const ADAPTER_SOON: Duration = Duration::from_millis(500);

/// One request on its way to endpoints.
pub(crate) struct Dispatch<'a, P>
where
    P: Protocol,
{
    pub(crate) site: &'a Arc<Site<P>>,
    pub(crate) catalog: &'a Catalog,
    pub(crate) rule: &'a Rule,
    pub(crate) meta: &'a RequestMeta,
    /// What lets it go on, where it needs a key.
    pub(crate) authorization: Option<&'a Authorization>,
    /// What it has taken of its workspace's limit.
    pub(crate) taken: f64,
    pub(crate) head: &'a Parts,
    pub(crate) body: Bytes,
    pub(crate) caller: IpAddr,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) job: Job,
    pub(crate) arrived: Instant,
    pub(crate) expiry: Instant,
    pub(crate) tried: Vec<EndpointKey>,
    pub(crate) reached: u32,
    pub(crate) unreached: u32,
    pub(crate) verdict: Verdict,
}

/// An endpoint that was chosen.
struct Chosen {
    to: Target,
    expected_ms: f64,
}

impl<P> Dispatch<'_, P>
where
    P: Protocol,
{
    pub(crate) async fn run(mut self) -> Response<Outgoing<P>> {
        self.note_arrival();
        loop {
            let chosen = match self.choose().await {
                Ok(c) => c,
                Err((reason, after)) => return self.give_up(reason, after),
            };
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
            if !self.may_go_on(&failed) {
                let reason = match failed.evidence {
                    EndpointEvidence::KeyRevoked => Reason::KeyUnconfirmed,
                    _ if failed.reached => Reason::TurnedAway,
                    _ => Reason::Unreached,
                };
                return self.give_up(reason, self.again_after(&failed));
            }
            if failed.evidence == EndpointEvidence::ConnectionEnded {
                crash_probe::settled(self.site, &chosen.to.instance).await;
            }
        }
    }

    fn note_arrival(&self) {
        let now = self.site.now();
        let mut view = self.site.view();
        if let Some(m) = &self.job.model {
            let engine = self.catalog.engine(&self.job.service);
            let places = engine.map_or(1, |e| e.slots);
            let work = view.balance.demand_ms(&self.job, places);
            view.arrivals.record(now, m, work);
        }
        let window = view.repeats.entry(self.job.service.clone()).or_default();
        window.request(now);
    }

    /// Chooses an endpoint, or gives the reason for a refusal and when to come back.
    async fn choose(&mut self) -> Result<Chosen, (Reason, Duration)> {
        let until = self.arrived + self.rule.objective.mul_f64(WAIT_SHARE);
        let mut closed = Closed::default();
        loop {
            let changed = self.site.endpoints_changed.notified();
            let now = self.site.now();
            let standing = self.site.view().quarantine.standing(now, self.fingerprint);
            self.job.isolated = match standing {
                Standing::Clear => false,
                Standing::Suspect => true,
                Standing::Quarantined(left) => return Err((Reason::Quarantined, left)),
            };
            let unusable = [&self.tried[..], closed.keys()].concat();
            let choice = assignment::choose(self.site, self.catalog, &self.job, &unusable).await;
            let (reason, after) = match choice {
                Choice::To(key, expected_ms) => {
                    let mut chosen = self.admit(key, expected_ms)?;
                    match limit_grant::acquire(self.site, &chosen.to).await {
                        Ok(grant) => {
                            chosen.to.grant = grant;
                            return Ok(chosen);
                        }
                        Err(wait) => closed.add(key, wait),
                    }
                    continue;
                }
                Choice::Overloaded(expected_ms) => (Reason::Busy, self.come_back(expected_ms)),
                Choice::BackingOff(wait) => (Reason::AtLimit, wait),
                Choice::NoEndpoint => (Reason::NoEndpoint, LATER),
                Choice::NoModel => (Reason::NoModel, self.model_comes()),
                Choice::NoAdapter => (Reason::NoAdapter, ADAPTER_SOON),
            };
            // Of what holds what it needs, some has got as much as it takes.
            let (reason, after) = match closed.opens_in() {
                Some(wait) if reason != Reason::Busy => (Reason::AtLimit, wait.min(after)),
                _ => (reason, after),
            };
            if let (Reason::NoModel | Reason::NoAdapter, Some(m)) = (reason, &self.job.model) {
                self.site.request_load(m);
            }
            let may_come_in_time = match reason {
                Reason::Busy | Reason::NoAdapter => now < until,
                Reason::AtLimit => now + after < until,
                _ => false,
            };
            if !may_come_in_time {
                let is_shared = reason == Reason::AtLimit;
                return Err((reason, if is_shared { spread(after) } else { after }));
            }
            match reason {
                Reason::Busy => self.until_eased((now + LOOK_AGAIN).min(until)).await,
                Reason::AtLimit => {
                    closed = Closed::default();
                    self.until_told(now + after, changed).await;
                }
                _ => self.until_told(until, changed).await,
            }
        }
    }

    /// Waits until a prompt has been read or a request has ended, but no longer than this: then it looks again, or refuses.
    async fn until_eased(&self, at: Instant) {
        self.until_told(at, self.site.capacity_freed.notified())
            .await;
    }

    /// Waits until it is told that something has changed, but no longer than this: then it looks again, or refuses.
    async fn until_told(&self, at: Instant, told: Notified<'_>) {
        let _timed_out = self.site.clock.timeout_at(at, told).await;
    }

    /// Gives when a caller should come back whose request may not be sent once more.
    fn again_after(&self, f: &AttemptFailure) -> Duration {
        if f.evidence == EndpointEvidence::KeyRevoked {
            return SOON;
        }
        match assignment::look(self.site, self.catalog, &self.job) {
            Choice::BackingOff(wait) => spread(wait),
            _ => SOON,
        }
    }

    /// Gives when a caller should come back for a model that is nowhere: once it is loaded, from a copy if an endpoint has
    /// one at hand, else from the weight store.
    fn model_comes(&self) -> Duration {
        let Some(wanted) = &self.job.model else {
            return LATER;
        };
        let view = self.site.view();
        let mut open = view.roster.open(&self.job.service);
        if open.any(|(_, e)| e.copies.contains(&wanted.model)) {
            return COPY_SOON;
        }
        let engine = self.catalog.engine(&self.job.service);
        let spec = engine.and_then(|e| e.models.get(&wanted.model));
        spec.map_or(LATER, |s| s.cold_load + ORDERED_AFTER)
    }

    /// Gives when a caller should come back that is refused because the first result would take so long.
    fn come_back(&self, expected_ms: f64) -> Duration {
        let objective = self.objective_ms();
        let excess =
            Duration::from_secs_f64((expected_ms - objective * SECOND_TRY).max(0.0) / 1000.0);
        excess.clamp(SOON, LATEST)
    }

    fn objective_ms(&self) -> f64 {
        let objective = self.catalog.shortest_objective(&self.job.service);
        objective.unwrap_or(self.rule.objective).as_secs_f64() * 1000.0
    }

    fn admit(&self, key: EndpointKey, expected_ms: f64) -> Result<Chosen, (Reason, Duration)> {
        if expected_ms > self.objective_ms() * PATIENCE {
            return Err((Reason::Busy, self.come_back(expected_ms)));
        }
        let view = self.site.view();
        let e = view.roster.get(key).ok_or((Reason::NoEndpoint, SOON))?;
        let to = Target {
            key,
            instance: e.instance.clone(),
            address: e.address,
            grant: LimitGrant::Unlimited,
        };
        Ok(Chosen { to, expected_ms })
    }

    async fn attempt(&mut self, c: &Chosen) -> Result<Response<Outgoing<P>>, AttemptFailure> {
        let now = self.site.now();
        let sent = {
            let mut view = self.site.view();
            let view = &mut *view;
            // Of the requests that were waiting for room, another may show whether the endpoint's rest is over.
            if view.balance.backpressure.opens_in(now, c.to.key).is_some() {
                return Err(AttemptFailure::no_room());
            }
            let Some(e) = view.roster.get(c.to.key) else {
                return Err(AttemptFailure::gone());
            };
            let to = (c.to.key, e);
            view.balance.start(now, to, &self.job, c.expected_ms)
        };
        let names = (self.fingerprint, OriginTag::from(self.caller));
        let instance = c.to.instance.clone();
        let (site, id) = (Arc::clone(self.site), self.meta.id.clone());
        let mut running = RunningAttempt::new(site, sent, id, names, instance, self.arrived);
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
        let answer = sent.inspect_err(|f| self.note_failure(&mut running, &c.to, f))?;
        let (head, body) = answer.response.into_parts();
        let streamed = self.rule.stream && head.status.is_success();
        if streamed {
            let relay = Relay::new(body, answer.connection, running, self.expiry);
            return Ok(self.forward(head, Either::Right(relay)));
        }
        running.first();
        let Ok(collected) = self
            .site
            .clock
            .timeout_at(self.expiry, body.collect())
            .await
        else {
            running.end(AttemptOutcome::Failed(Failure::Deadline), "expired");
            return Ok(self.expired());
        };
        let body = collected.map_err(|e| {
            let f = AttemptFailure::cut_off(&e);
            self.note_failure(&mut running, &c.to, &f);
            f
        })?;
        self.site.pool.put_in_background(answer.connection, None);
        if head.status.is_server_error() {
            running.ran_to_end();
            running.end(
                AttemptOutcome::Failed(Failure::ServerError),
                "the endpoint failed",
            );
            let f = AttemptFailure::broken(smol_str::format_smolstr!(
                "status {}",
                head.status.as_u16()
            ));
            let again =
                self.rule.repeat == Repeat::Allowed && self.reached + 1 < self.rule.max_attempts;
            if again && self.with_budget(RepeatWindow::has_budget) {
                return Err(f);
            }
        } else {
            running.whole();
        }
        Metrics::count(&self.site.metrics.requests, "answered");
        Ok(self.forward(head, Either::Left(Full::new(body.to_bytes()))))
    }

    fn request(&self, c: &Chosen, now: Instant) -> Request<Full<Bytes>> {
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.head.method.clone();
        *req.uri_mut() = self.head.uri.clone();
        *req.headers_mut() = self.head.headers.clone();
        let s = ForwardMeta {
            remaining: self.expiry.duration_since(now),
            instance: &c.to.instance.id,
            rank: self.job.rank,
            workspace: self.authorization.map(|p| p.workspace.as_str()),
        };
        self.site
            .protocol
            .set_forward_headers(req.headers_mut(), &s);
        req
    }

    fn note_failure(&self, running: &mut RunningAttempt<P>, to: &Target, f: &AttemptFailure) {
        if f.evidence == EndpointEvidence::ConnectionEnded {
            running.cut_off();
        }
        running.end(AttemptOutcome::Failed(f.failure), "failed");
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
            (EndpointEvidence::NotListening, _) => self.site.record_crash(&to.instance),
            (
                EndpointEvidence::NotHeld
                | EndpointEvidence::ConnectionEnded
                | EndpointEvidence::KeyRevoked
                | EndpointEvidence::Nothing,
                _,
            ) => {}
        }
    }

    /// Tells whether another endpoint may be tried after a failure.
    fn may_go_on(&self, f: &AttemptFailure) -> bool {
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
        self.reached < self.rule.max_attempts && self.site_takes_repeat()
    }

    /// Takes a repeat from the budget, if it has one.
    fn site_takes_repeat(&self) -> bool {
        let taken = self.with_budget(RepeatWindow::acquire);
        if taken {
            self.site.metrics.repeats.inc();
        }
        taken
    }

    /// Asks the service's budget for repeats with what it needs to answer.
    fn with_budget<F>(&self, f: F) -> bool
    where
        F: FnOnce(&mut RepeatWindow, Instant, RepeatAllowance, usize) -> bool,
    {
        let rules = self.site.settings.load().repeat_allowance();
        let mut view = self.site.view();
        let gateways = view.peers.known_vms();
        let window = view.repeats.entry(self.job.service.clone()).or_default();
        f(window, self.site.now(), rules, gateways)
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
        tracing::info!(id = %self.meta.id, ms = millis(self.waited()), "the request's time has passed");
        Metrics::count(&self.site.metrics.requests, "expired");
        plain(
            self.site,
            StatusCode::GATEWAY_TIMEOUT,
            &self.meta.id,
            "time has passed\n",
        )
    }

    /// Gives the final answer of a request that no endpoint has answered.
    fn give_up(&self, reason: Reason, after: Duration) -> Response<Outgoing<P>> {
        if self.verdict == Verdict::NotRun {
            self.give_back();
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
        tracing::info!(id = %self.meta.id, reason = reason.as_str(), "no answer; the request may have run");
        Metrics::count(&self.site.metrics.requests, "lost");
        plain(
            self.site,
            StatusCode::BAD_GATEWAY,
            &self.meta.id,
            "the endpoint gave no answer\n",
        )
    }

    /// Gives back what the request took of its workspace's limit, if that was so recently that the sum over all VMs allows it.
    fn give_back(&self) {
        if let Some(p) = self
            .authorization
            .filter(|_| self.waited() <= MAX_TRANSFER_TIME)
        {
            let mut view = self.site.view();
            view.quotas
                .refund(self.site.now(), &p.workspace, self.taken);
        }
    }

    fn waited(&self) -> Duration {
        self.site.now().saturating_duration_since(self.arrived)
    }

    /// Gives how old the list is from which the endpoint was chosen.
    fn list_age(&self) -> Option<Duration> {
        let view = self.site.view();
        let freshness = view.feed_reads.freshness(Feed::Endpoints)?;
        Some(freshness.age(self.site.now()))
    }

    fn log_sent(&self, c: &Chosen) {
        if may_log() {
            let model = self.job.model.as_ref();
            tracing::info!(
                id = %self.meta.id,
                request = %self.fingerprint,
                caller = %self.caller,
                rule = %self.rule.name,
                workspace = self.authorization.map(|p| p.workspace.as_str()),
                version = self.catalog.version,
                endpoint = %c.to.instance,
                model = model.map(|m| m.model.as_str()),
                adapter = model.and_then(|m| m.adapter.as_deref()),
                expected_ms = c.expected_ms.round(),
                tries = self.reached + self.unreached,
                waited_ms = millis(self.waited()),
                list_age_ms = self.list_age().map(millis),
                "sent"
            );
        }
    }
}

/// Gives when one of many refused callers should come back: all of them at the moment at which there is room would be refused
/// again but for the first.
fn spread(wait: Duration) -> Duration {
    wait.max(SOON)
        .mul_f64(1.0 + rand::random_range(0.0..SPREAD))
}
