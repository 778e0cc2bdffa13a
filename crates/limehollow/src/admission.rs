//! Admission control of one gateway.
//!
//! A request whose deadline can't be met is refused immediately, with the time after which to retry: on
//! arrival, and again while it is queued. Queued requests wait in bounded queues, ordered by priority and
//! served round-robin over callers within a priority (`docs/design/admission.md`).

use crate::id::EndpointKey;
use crate::id::ZoneName;
use crate::intent::Priority;
use crate::load::{AttemptOutcome, LoadReport, Loads, ServiceTime};
use crate::routing::{Route, RouteQuery, Table, pick};
use smol_str::SmolStr;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// The maximum number of requests queued for one model or service.
pub const MAX_QUEUE: usize = 256;
/// The maximum number of requests queued in one gateway.
pub const MAX_WAITING: usize = 4096;
/// The shortest retry delay that a refused caller is given.
pub const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The number of recent starts from which a queue's drain rate is computed.
const STARTS_SEEN: usize = 32;
const MAX_RETRY_AFTER: Duration = Duration::from_mins(1);

/// The target of a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Subject {
    /// A model or an adapter.
    Model(SmolStr),
    /// A plain service.
    Service(SmolStr),
}

impl Subject {
    fn route<'t>(&self, table: &'t Table) -> Option<&'t Route> {
        match self {
            Self::Model(m) => table.model(m),
            Self::Service(s) => table.service(s),
        }
    }
}

/// A request for admission.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// The model or service that the request targets.
    pub subject: Subject,
    /// The caller that sent the request.
    pub caller: SmolStr,
    /// The priority of the request.
    pub priority: Priority,
    /// The time after which the caller no longer waits for the answer.
    pub deadline: Instant,
    /// The maximum number of tokens that the request may generate.
    pub tokens: u32,
    /// See [`RouteQuery::affinity`].
    pub affinity: u64,
    /// The endpoints at which earlier attempts of this request failed.
    pub failed: Vec<EndpointKey>,
}

/// Identifies a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// The reason for a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// No endpoint serves the subject.
    NoTarget,
    /// The estimated completion time is after the deadline.
    TooLate,
    /// The queue is full and holds no request of a lower priority.
    QueueFull,
    /// A request of a higher priority replaced this one in a full queue.
    Shed,
}

/// A refusal; the request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// The delay after which the caller may retry.
    pub retry_after: Duration,
}

/// The decision on an [`AdmissionRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Send the request to this endpoint now.
    Start(EndpointKey),
    /// The request is queued; [`Admission::poll`] returns the later decision.
    Wait(Ticket),
    /// Refuse the request now.
    Refuse(Refusal),
}

/// The decision on a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueDecision {
    /// Send the request to this endpoint now.
    Start(EndpointKey),
    /// Refuse the request now.
    Refuse(Refusal),
}

#[derive(Debug)]
struct Waiting {
    ticket: Ticket,
    request: AdmissionRequest,
}

/// The queued requests of one caller, oldest first.
type CallerQueue = (SmolStr, VecDeque<Waiting>);

/// The requests queued for one subject.
#[derive(Debug, Default)]
struct Queue {
    /// The callers' queues by priority, index 0 being the highest; within a priority, callers are served
    /// round-robin.
    callers: [VecDeque<CallerQueue>; 3],
    len: usize,
}

impl Queue {
    fn level(p: Priority) -> usize {
        match p {
            Priority::High => 0,
            Priority::Normal => 1,
            Priority::Low => 2,
        }
    }

    fn push(&mut self, w: Waiting) {
        let callers = &mut self.callers[Self::level(w.request.priority)];
        self.len += 1;
        match callers.iter_mut().find(|(c, _)| *c == w.request.caller) {
            Some((_, requests)) => requests.push_back(w),
            None => callers.push_back((w.request.caller.clone(), VecDeque::from([w]))),
        }
    }

    /// Returns the next request to start.
    fn front(&self) -> Option<&Waiting> {
        self.callers
            .iter()
            .find_map(|callers| callers.front())
            .and_then(|(_, requests)| requests.front())
    }

    /// Removes the next request to start; its caller moves to the end of the round-robin order.
    fn pop(&mut self) -> Option<Waiting> {
        let callers = self.callers.iter_mut().find(|l| !l.is_empty())?;
        let (caller, mut requests) = callers.pop_front()?;
        let w = requests.pop_front();
        if !requests.is_empty() {
            callers.push_back((caller, requests));
        }
        self.len -= usize::from(w.is_some());
        w
    }

    /// Removes the newest request of the caller with the most requests, from the lowest priority that is below
    /// `p`.
    fn shed_below(&mut self, p: Priority) -> Option<Waiting> {
        let first = Self::level(p) + 1;
        let callers = self.callers[first..]
            .iter_mut()
            .rev()
            .find(|l| !l.is_empty())?;
        let (i, _) = callers
            .iter()
            .enumerate()
            .max_by_key(|(_, (_, requests))| requests.len())?;
        let w = callers[i].1.pop_back();
        if callers[i].1.is_empty() {
            callers.remove(i);
        }
        self.len -= usize::from(w.is_some());
        w
    }

    /// Removes and returns all requests that match a predicate.
    fn remove_matching<F>(&mut self, mut f: F) -> Vec<Waiting>
    where
        F: FnMut(&AdmissionRequest) -> bool,
    {
        let mut out = Vec::new();
        for callers in &mut self.callers {
            for (_, requests) in callers.iter_mut() {
                let (gone, stay) = requests.drain(..).partition(|w: &Waiting| f(&w.request));
                out.extend::<VecDeque<_>>(gone);
                *requests = stay;
            }
            callers.retain(|(_, requests)| !requests.is_empty());
        }
        self.len -= out.len();
        out
    }

    /// Returns the number of requests that start before a new one of this priority.
    fn ahead_of(&self, p: Priority) -> usize {
        let levels = &self.callers[..=Self::level(p)];
        levels
            .iter()
            .flatten()
            .map(|(_, requests)| requests.len())
            .sum()
    }
}

/// The start times of the latest requests for one subject, from which the drain rate of its queue is computed.
#[derive(Debug, Default)]
struct StartTimes(VecDeque<Instant>);

impl StartTimes {
    fn record(&mut self, now: Instant) {
        self.0.push_back(now);
        if self.0.len() > STARTS_SEEN {
            self.0.pop_front();
        }
    }

    /// Returns the mean time between starts in seconds, or `None` until [`STARTS_SEEN`] starts were recorded.
    fn mean_interval(&self, now: Instant) -> Option<f64> {
        let first = self.0.front().filter(|_| self.0.len() == STARTS_SEEN)?;
        #[expect(clippy::cast_precision_loss, reason = "the number is small")]
        let n = STARTS_SEEN as f64;
        Some(now.duration_since(*first).as_secs_f64() / n)
    }
}

/// The admission control of one gateway.
#[derive(Debug)]
pub struct Admission {
    zone: ZoneName,
    loads: Loads,
    times: BTreeMap<Subject, ServiceTime>,
    queues: BTreeMap<Subject, Queue>,
    starts: BTreeMap<Subject, StartTimes>,
    waiting: usize,
    last_ticket: u64,
}

impl Admission {
    /// Creates the admission control of a gateway in `zone`.
    #[must_use]
    pub fn new(zone: ZoneName) -> Self {
        Self {
            zone,
            loads: Loads::default(),
            times: BTreeMap::new(),
            queues: BTreeMap::new(),
            starts: BTreeMap::new(),
            waiting: 0,
            last_ticket: 0,
        }
    }

    /// Returns the load of all endpoints.
    #[must_use]
    pub fn loads(&self) -> &Loads {
        &self.loads
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns the number of queued requests for each subject that has any.
    pub fn waiting_by_subject(&self) -> impl Iterator<Item = (&Subject, usize)> {
        self.queues.iter().map(|(s, q)| (s, q.len))
    }

    /// Applies an endpoint's load report.
    pub fn report(&mut self, taken: Instant, key: EndpointKey, report: LoadReport) {
        self.loads.report(taken, key, report);
    }

    /// Drops the load of every endpoint that doesn't match a predicate.
    pub fn retain_endpoints<F>(&mut self, f: F)
    where
        F: FnMut(EndpointKey) -> bool,
    {
        self.loads.retain(f);
    }

    /// Decides on a new request, or on a further attempt of an earlier one.
    pub fn admit(
        &mut self,
        now: Instant,
        table: &Table,
        request: AdmissionRequest,
    ) -> AdmissionDecision {
        let Some(route) = request
            .subject
            .route(table)
            .filter(|r| !r.targets.is_empty())
        else {
            return AdmissionDecision::Refuse(refuse(Reason::NoTarget, MIN_RETRY_AFTER));
        };
        // A request that failed at every endpoint can't be helped by queueing.
        if route
            .targets
            .iter()
            .all(|t| request.failed.contains(&t.key))
        {
            return AdmissionDecision::Refuse(refuse(Reason::NoTarget, MIN_RETRY_AFTER));
        }
        let service = self.service_time(&request);
        let wait = self.wait_estimate(now, route, &request);
        let idle = self.is_idle(route);
        if !idle && now + wait + service > request.deadline {
            let late = (now + wait + service).duration_since(request.deadline);
            return AdmissionDecision::Refuse(refuse(Reason::TooLate, late));
        }
        let is_first = self
            .queues
            .get(&request.subject)
            .is_none_or(|q| q.ahead_of(request.priority) == 0);
        if is_first && let Some(key) = self.pick(now, route, &request) {
            self.loads.start(key);
            self.starts.entry(request.subject).or_default().record(now);
            return AdmissionDecision::Start(key);
        }
        if now + service > request.deadline {
            return AdmissionDecision::Refuse(refuse(Reason::TooLate, wait));
        }
        self.enqueue(request, wait)
    }

    fn enqueue(&mut self, request: AdmissionRequest, wait: Duration) -> AdmissionDecision {
        let full = self.waiting >= MAX_WAITING;
        let q = self.queues.entry(request.subject.clone()).or_default();
        if full || q.len >= MAX_QUEUE {
            return AdmissionDecision::Refuse(refuse(Reason::QueueFull, wait));
        }
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        q.push(Waiting { ticket, request });
        self.waiting += 1;
        AdmissionDecision::Wait(ticket)
    }

    /// Removes a lower-priority request from a full queue to make room for one of `priority`.
    ///
    /// Returns the removed request, which has to be refused immediately.
    pub fn shed_for(&mut self, subject: &Subject, priority: Priority) -> Option<(Ticket, Refusal)> {
        let q = self.queues.get_mut(subject)?;
        if q.len < MAX_QUEUE && self.waiting < MAX_WAITING {
            return None;
        }
        let w = q.shed_below(priority)?;
        self.waiting -= 1;
        Some((w.ticket, refuse(Reason::Shed, MIN_RETRY_AFTER)))
    }

    /// Removes a queued request whose caller disconnected.
    pub fn cancel(&mut self, ticket: Ticket) {
        for q in self.queues.values_mut() {
            for callers in &mut q.callers {
                for (_, requests) in callers.iter_mut() {
                    let before = requests.len();
                    requests.retain(|w| w.ticket != ticket);
                    self.waiting -= before - requests.len();
                    q.len -= before - requests.len();
                }
                callers.retain(|(_, requests)| !requests.is_empty());
            }
        }
        self.queues.retain(|_, q| q.len > 0);
    }

    /// Records the outcome of an attempt.
    pub fn finish(&mut self, now: Instant, key: EndpointKey, ending: AttemptOutcome) {
        self.loads.finish(now, key, ending);
    }

    /// Records the timing of a complete answer, from which later service times are estimated.
    pub fn record_answer(
        &mut self,
        subject: &Subject,
        first: Duration,
        rest: Duration,
        tokens: u32,
    ) {
        self.times
            .entry(subject.clone())
            .or_default()
            .observe(first, rest, tokens);
    }

    /// Returns the queued requests that start now and those that are refused now.
    pub fn poll(&mut self, now: Instant, table: &Table) -> Vec<(Ticket, QueueDecision)> {
        let mut decisions = Vec::new();
        let subjects: Vec<Subject> = self.queues.keys().cloned().collect();
        for subject in &subjects {
            self.refuse_late(now, subject, &mut decisions);
            self.start_waiting(now, table, subject, &mut decisions);
        }
        self.queues.retain(|_, q| q.len > 0);
        self.waiting -= decisions.len();
        decisions
    }

    /// Refuses queued requests that would miss their deadline even if they started now.
    fn refuse_late(
        &mut self,
        now: Instant,
        subject: &Subject,
        decisions: &mut Vec<(Ticket, QueueDecision)>,
    ) {
        let time = self.times.get(subject).copied().unwrap_or_default();
        let Some(q) = self.queues.get_mut(subject) else {
            return;
        };
        let late = q.remove_matching(|o| now + time.estimate(o.tokens) >= o.deadline);
        decisions.extend(late.into_iter().map(|w| {
            (
                w.ticket,
                QueueDecision::Refuse(refuse(Reason::TooLate, MIN_RETRY_AFTER)),
            )
        }));
    }

    fn start_waiting(
        &mut self,
        now: Instant,
        table: &Table,
        subject: &Subject,
        decisions: &mut Vec<(Ticket, QueueDecision)>,
    ) {
        loop {
            let front = self.queues.get(subject).and_then(Queue::front);
            let Some(Waiting { ticket, request }) = front else {
                return;
            };
            let route = request
                .subject
                .route(table)
                .filter(|r| !r.targets.is_empty());
            let decision = match route {
                None => QueueDecision::Refuse(refuse(Reason::NoTarget, MIN_RETRY_AFTER)),
                Some(route) => match self.pick(now, route, request) {
                    None => return,
                    Some(key) => QueueDecision::Start(key),
                },
            };
            decisions.push((*ticket, decision));
            if let QueueDecision::Start(key) = decision {
                self.loads.start(key);
                self.starts.entry(subject.clone()).or_default().record(now);
            }
            if let Some(q) = self.queues.get_mut(subject) {
                q.pop();
            }
        }
    }

    fn pick(&self, now: Instant, route: &Route, request: &AdmissionRequest) -> Option<EndpointKey> {
        let query = RouteQuery {
            zone: &self.zone,
            affinity: request.affinity,
            failed: &request.failed,
        };
        pick(now, route, &self.loads, &query).map(|t| t.key)
    }

    fn service_time(&self, request: &AdmissionRequest) -> Duration {
        self.times
            .get(&request.subject)
            .map_or(Duration::ZERO, |t| t.estimate(request.tokens))
    }

    /// Returns `true` if this gateway has no outstanding request at any endpoint of the route.
    ///
    /// In that case a request is sent whatever the estimates are: otherwise no answer would ever correct a
    /// wrong estimate.
    fn is_idle(&self, route: &Route) -> bool {
        route
            .targets
            .iter()
            .all(|t| self.loads.outstanding(t.key) == 0)
    }

    /// Estimates how long a new request would be queued.
    ///
    /// The estimate is the number of requests ahead of it times the mean time between recent starts. Until
    /// enough starts were recorded, it assumes that this gateway has all slots of the endpoints to itself,
    /// which is too short where other gateways use them too.
    fn wait_estimate(&self, now: Instant, route: &Route, request: &AdmissionRequest) -> Duration {
        if self.pick(now, route, request).is_some() {
            return Duration::ZERO;
        }
        let ahead = self
            .queues
            .get(&request.subject)
            .map_or(0, |q| q.ahead_of(request.priority));
        #[expect(
            clippy::cast_precision_loss,
            reason = "a queue is bounded by MAX_QUEUE"
        )]
        let places = ahead as f64 + 1.0;
        let interval = self
            .starts
            .get(&request.subject)
            .and_then(|s| s.mean_interval(now));
        if let Some(interval) = interval {
            return Duration::from_secs_f64(interval * places);
        }
        let slots: f64 = route
            .targets
            .iter()
            .map(|t| self.loads.slots(now, t.key))
            .sum();
        let service = self.service_time(request).as_secs_f64();
        Duration::from_secs_f64(service * places / slots.max(1.0))
    }
}

fn refuse(reason: Reason, after: Duration) -> Refusal {
    Refusal {
        reason,
        retry_after: after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
    }
}
