//! Which request goes when, and which is refused.
//!
//! A request that can't be answered in time is refused at once, with the time to come back, from the
//! first moment and also later while it waits. Waiting requests stand in bounded queues by priority,
//! fair between callers (`docs/design/admission.md`).

use crate::id::EndpointKey;
use crate::id::ZoneName;
use crate::intent::Priority;
use crate::load::{AttemptOutcome, LoadReport, Loads, ServiceTime};
use crate::routing::{Route, RouteQuery, Table, pick};
use smol_str::SmolStr;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// The most requests that may wait for one model or service.
pub const MAX_QUEUE: usize = 256;
/// The most requests that may wait in a gateway.
pub const MAX_WAITING: usize = 4096;
/// The shortest time after which a refused caller is asked to come back.
pub const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// How many starts the pace of a queue is taken from.
const STARTS_SEEN: usize = 32;
const MAX_RETRY_AFTER: Duration = Duration::from_mins(1);

/// What a request is for.
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

/// A request that asks to be admitted.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// What it is for.
    pub subject: Subject,
    /// Who sent it.
    pub caller: SmolStr,
    /// How much it matters.
    pub priority: Priority,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// The most tokens that it may generate.
    pub tokens: u32,
    /// See [`RouteQuery::affinity`].
    pub affinity: u64,
    /// Endpoints that already failed it.
    pub failed: Vec<EndpointKey>,
}

/// Names a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Nothing serves the subject now.
    NoTarget,
    /// The estimated wait and service time pass its deadline.
    TooLate,
    /// The queue is full of requests that matter as much.
    QueueFull,
    /// A more important request took its place in the queue.
    Shed,
}

/// A refusal; the request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// After how long it is worth coming back.
    pub retry_after: Duration,
}

/// The answer to an offer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Send it to this endpoint now.
    Start(EndpointKey),
    /// It waits; [`Admission::poll`] says what becomes of it.
    Wait(Ticket),
    /// Refuse it now.
    Refuse(Refusal),
}

/// What became of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueDecision {
    /// Send it to this endpoint now.
    Start(EndpointKey),
    /// Refuse it now.
    Refuse(Refusal),
}

#[derive(Debug)]
struct Waiting {
    ticket: Ticket,
    offer: AdmissionRequest,
}

/// One caller's requests in a queue, the oldest first.
type Line = (SmolStr, VecDeque<Waiting>);

/// The requests that wait for one subject.
#[derive(Debug, Default)]
struct Queue {
    /// Index 0 is the most important priority; within one, callers take turns.
    lines: [VecDeque<Line>; 3],
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
        let lines = &mut self.lines[Self::level(w.offer.priority)];
        self.len += 1;
        match lines.iter_mut().find(|(c, _)| *c == w.offer.caller) {
            Some((_, line)) => line.push_back(w),
            None => lines.push_back((w.offer.caller.clone(), VecDeque::from([w]))),
        }
    }

    /// Gives the request whose turn it is.
    fn front(&self) -> Option<&Waiting> {
        self.lines
            .iter()
            .find_map(|lines| lines.front())
            .and_then(|(_, line)| line.front())
    }

    /// Takes the request whose turn it is; its caller goes to the end of the round.
    fn pop(&mut self) -> Option<Waiting> {
        let lines = self.lines.iter_mut().find(|l| !l.is_empty())?;
        let (caller, mut line) = lines.pop_front()?;
        let w = line.pop_front();
        if !line.is_empty() {
            lines.push_back((caller, line));
        }
        self.len -= usize::from(w.is_some());
        w
    }

    /// Takes the newest of the least important requests below a priority, from its busiest caller.
    fn shed_below(&mut self, p: Priority) -> Option<Waiting> {
        let first = Self::level(p) + 1;
        let lines = self.lines[first..]
            .iter_mut()
            .rev()
            .find(|l| !l.is_empty())?;
        let (i, _) = lines
            .iter()
            .enumerate()
            .max_by_key(|(_, (_, line))| line.len())?;
        let w = lines[i].1.pop_back();
        if lines[i].1.is_empty() {
            lines.remove(i);
        }
        self.len -= usize::from(w.is_some());
        w
    }

    /// Takes out all requests for which the predicate holds.
    fn take_if<F>(&mut self, mut f: F) -> Vec<Waiting>
    where
        F: FnMut(&AdmissionRequest) -> bool,
    {
        let mut out = Vec::new();
        for lines in &mut self.lines {
            for (_, line) in lines.iter_mut() {
                let (gone, stay) = line.drain(..).partition(|w: &Waiting| f(&w.offer));
                out.extend::<VecDeque<_>>(gone);
                *line = stay;
            }
            lines.retain(|(_, line)| !line.is_empty());
        }
        self.len -= out.len();
        out
    }

    /// Counts the requests that come before a new one of this priority.
    fn ahead_of(&self, p: Priority) -> usize {
        let levels = &self.lines[..=Self::level(p)];
        levels.iter().flatten().map(|(_, line)| line.len()).sum()
    }
}

/// The last requests that were started for one subject, from which follows how fast a queue drains.
#[derive(Debug, Default)]
struct Starts(VecDeque<Instant>);

impl Starts {
    fn note(&mut self, now: Instant) {
        self.0.push_back(now);
        if self.0.len() > STARTS_SEEN {
            self.0.pop_front();
        }
    }

    /// Gives the time that one place in the queue takes, once enough was seen.
    fn pace(&self, now: Instant) -> Option<f64> {
        let first = self.0.front().filter(|_| self.0.len() == STARTS_SEEN)?;
        #[expect(clippy::cast_precision_loss, reason = "the number is small")]
        let n = STARTS_SEEN as f64;
        Some(now.duration_since(*first).as_secs_f64() / n)
    }
}

/// The admission of one gateway.
#[derive(Debug)]
pub struct Admission {
    zone: ZoneName,
    loads: Loads,
    times: BTreeMap<Subject, ServiceTime>,
    queues: BTreeMap<Subject, Queue>,
    starts: BTreeMap<Subject, Starts>,
    waiting: usize,
    last_ticket: u64,
}

impl Admission {
    /// Makes the admission of a gateway in this zone.
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

    /// Gives the loads, for reading.
    #[must_use]
    pub fn loads(&self) -> &Loads {
        &self.loads
    }

    /// Gives how many requests wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Gives how many requests wait for each subject that has any.
    pub fn waiting_by_subject(&self) -> impl Iterator<Item = (&Subject, usize)> {
        self.queues.iter().map(|(s, q)| (s, q.len))
    }

    /// Takes in a report of an endpoint's load.
    pub fn report(&mut self, taken: Instant, key: EndpointKey, report: LoadReport) {
        self.loads.report(taken, key, report);
    }

    /// Forgets the endpoints that a predicate doesn't name.
    pub fn retain_endpoints<F>(&mut self, f: F)
    where
        F: FnMut(EndpointKey) -> bool,
    {
        self.loads.retain(f);
    }

    /// Decides about a new request, or about one that is to be tried again.
    pub fn admit(
        &mut self,
        now: Instant,
        table: &Table,
        offer: AdmissionRequest,
    ) -> AdmissionDecision {
        let Some(route) = offer.subject.route(table).filter(|r| !r.targets.is_empty()) else {
            return AdmissionDecision::Refuse(refuse(Reason::NoTarget, MIN_RETRY_AFTER));
        };
        // Waiting can't help a request that every endpoint has failed already.
        if route.targets.iter().all(|t| offer.failed.contains(&t.key)) {
            return AdmissionDecision::Refuse(refuse(Reason::NoTarget, MIN_RETRY_AFTER));
        }
        let service = self.service_time(&offer);
        let wait = self.wait_estimate(now, route, &offer);
        let idle = self.is_idle(route);
        if !idle && now + wait + service > offer.deadline {
            let late = (now + wait + service).duration_since(offer.deadline);
            return AdmissionDecision::Refuse(refuse(Reason::TooLate, late));
        }
        let first_in_line = self
            .queues
            .get(&offer.subject)
            .is_none_or(|q| q.ahead_of(offer.priority) == 0);
        if first_in_line && let Some(key) = self.pick(now, route, &offer) {
            self.loads.start(key);
            self.starts.entry(offer.subject).or_default().note(now);
            return AdmissionDecision::Start(key);
        }
        if now + service > offer.deadline {
            return AdmissionDecision::Refuse(refuse(Reason::TooLate, wait));
        }
        self.enqueue(offer, wait)
    }

    fn enqueue(&mut self, offer: AdmissionRequest, wait: Duration) -> AdmissionDecision {
        let full = self.waiting >= MAX_WAITING;
        let q = self.queues.entry(offer.subject.clone()).or_default();
        if full || q.len >= MAX_QUEUE {
            return AdmissionDecision::Refuse(refuse(Reason::QueueFull, wait));
        }
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        q.push(Waiting { ticket, offer });
        self.waiting += 1;
        AdmissionDecision::Wait(ticket)
    }

    /// Makes room in a full queue for a more important request.
    ///
    /// Gives the request that lost its place, which is to be refused at once.
    pub fn shed_for(&mut self, subject: &Subject, priority: Priority) -> Option<(Ticket, Refusal)> {
        let q = self.queues.get_mut(subject)?;
        if q.len < MAX_QUEUE && self.waiting < MAX_WAITING {
            return None;
        }
        let w = q.shed_below(priority)?;
        self.waiting -= 1;
        Some((w.ticket, refuse(Reason::Shed, MIN_RETRY_AFTER)))
    }

    /// Drops a waiting request whose caller left.
    pub fn cancel(&mut self, ticket: Ticket) {
        for q in self.queues.values_mut() {
            for lines in &mut q.lines {
                for (_, line) in lines.iter_mut() {
                    let before = line.len();
                    line.retain(|w| w.ticket != ticket);
                    self.waiting -= before - line.len();
                    q.len -= before - line.len();
                }
                lines.retain(|(_, line)| !line.is_empty());
            }
        }
        self.queues.retain(|_, q| q.len > 0);
    }

    /// Notes how an attempt ended.
    pub fn finish(&mut self, now: Instant, key: EndpointKey, ending: AttemptOutcome) {
        self.loads.finish(now, key, ending);
    }

    /// Learns from a whole answer how long answers take.
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

    /// Says which waiting requests start and which are given up on now.
    pub fn poll(&mut self, now: Instant, table: &Table) -> Vec<(Ticket, QueueDecision)> {
        let mut turns = Vec::new();
        let subjects: Vec<Subject> = self.queues.keys().cloned().collect();
        for subject in &subjects {
            self.give_up_late(now, subject, &mut turns);
            self.start_waiting(now, table, subject, &mut turns);
        }
        self.queues.retain(|_, q| q.len > 0);
        self.waiting -= turns.len();
        turns
    }

    /// Gives up on requests that could not make it even if they started now.
    fn give_up_late(
        &mut self,
        now: Instant,
        subject: &Subject,
        turns: &mut Vec<(Ticket, QueueDecision)>,
    ) {
        let time = self.times.get(subject).copied().unwrap_or_default();
        let Some(q) = self.queues.get_mut(subject) else {
            return;
        };
        let late = q.take_if(|o| now + time.estimate(o.tokens) >= o.deadline);
        turns.extend(late.into_iter().map(|w| {
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
        turns: &mut Vec<(Ticket, QueueDecision)>,
    ) {
        loop {
            let front = self.queues.get(subject).and_then(Queue::front);
            let Some(Waiting { ticket, offer }) = front else {
                return;
            };
            let route = offer.subject.route(table).filter(|r| !r.targets.is_empty());
            let turn = match route {
                None => QueueDecision::Refuse(refuse(Reason::NoTarget, MIN_RETRY_AFTER)),
                Some(route) => match self.pick(now, route, offer) {
                    None => return,
                    Some(key) => QueueDecision::Start(key),
                },
            };
            turns.push((*ticket, turn));
            if let QueueDecision::Start(key) = turn {
                self.loads.start(key);
                self.starts.entry(subject.clone()).or_default().note(now);
            }
            if let Some(q) = self.queues.get_mut(subject) {
                q.pop();
            }
        }
    }

    fn pick(&self, now: Instant, route: &Route, offer: &AdmissionRequest) -> Option<EndpointKey> {
        let query = RouteQuery {
            zone: &self.zone,
            affinity: offer.affinity,
            failed: &offer.failed,
        };
        pick(now, route, &self.loads, &query).map(|t| t.key)
    }

    fn service_time(&self, offer: &AdmissionRequest) -> Duration {
        self.times
            .get(&offer.subject)
            .map_or(Duration::ZERO, |t| t.estimate(offer.tokens))
    }

    /// Tells whether this gateway has nothing at the route's endpoints. Then a request goes whatever
    /// the estimates say, or a wrong estimate could never be unlearnt.
    fn is_idle(&self, route: &Route) -> bool {
        route
            .targets
            .iter()
            .all(|t| self.loads.outstanding(t.key) == 0)
    }

    /// Estimates the wait of a new request: those ahead of it, at the pace at which requests were
    /// started lately; before there is a pace, over the slots of its endpoints, which is too short
    /// where other gateways use them too.
    fn wait_estimate(&self, now: Instant, route: &Route, offer: &AdmissionRequest) -> Duration {
        if self.pick(now, route, offer).is_some() {
            return Duration::ZERO;
        }
        let ahead = self
            .queues
            .get(&offer.subject)
            .map_or(0, |q| q.ahead_of(offer.priority));
        #[expect(
            clippy::cast_precision_loss,
            reason = "a queue is bounded by MAX_QUEUE"
        )]
        let places = ahead as f64 + 1.0;
        let pace = self.starts.get(&offer.subject).and_then(|s| s.pace(now));
        if let Some(pace) = pace {
            return Duration::from_secs_f64(pace * places);
        }
        let slots: f64 = route
            .targets
            .iter()
            .map(|t| self.loads.slots(now, t.key))
            .sum();
        let service = self.service_time(offer).as_secs_f64();
        Duration::from_secs_f64(service * places / slots.max(1.0))
    }
}

fn refuse(reason: Reason, after: Duration) -> Refusal {
    Refusal {
        reason,
        retry_after: after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
    }
}
