//! Tests admission control: which requests start, wait or are refused, and in which order.

mod traffic;

use limehollow::admission::{
    Admission, AdmissionDecision, MAX_QUEUE, QueueDecision, Reason, Refusal, Subject, Ticket,
};
use limehollow::id::EndpointKey;
use limehollow::intent::Priority;
use limehollow::load::AttemptOutcome;
use limehollow::routing::Table;
use limehollow::verdict::Failure;
use std::time::Duration;
use tokio::time::Instant;
use traffic::{admission_request, key, table};

const ONE: [(&str, &str); 1] = [("a", "a1")];

struct Gateway {
    t: Instant,
    table: Table,
    admission: Admission,
    key: EndpointKey,
}

impl Gateway {
    /// Creates a gateway with one engine, whose recorded answers take 100 ms and 10 ms for each further token.
    fn new() -> Self {
        let (table, _) = table(&ONE);
        let key = key(&table, "a1");
        let mut admission = Admission::new("a".into());
        let m = Subject::Model("m".into());
        admission.record_answer(
            &m,
            Duration::from_millis(100),
            Duration::from_millis(90),
            10,
        );
        Self {
            t: Instant::now(),
            table,
            admission,
            key,
        }
    }

    fn admit(&mut self, caller: &str, deadline_ms: u64) -> AdmissionDecision {
        let request = admission_request(self.t, caller, deadline_ms);
        self.admission.admit(self.t, &self.table, request)
    }

    fn admit_with_priority(&mut self, caller: &str, priority: Priority) -> AdmissionDecision {
        let request = limehollow::admission::AdmissionRequest {
            priority,
            ..admission_request(self.t, caller, 600_000)
        };
        self.admission.admit(self.t, &self.table, request)
    }

    /// Fills the engine's eight slots.
    fn fill(&mut self) {
        for _ in 0..8 {
            assert!(matches!(
                self.admit("filler", 60_000),
                AdmissionDecision::Start(_)
            ));
        }
    }

    fn finish_one(&mut self) -> Vec<(Ticket, QueueDecision)> {
        let outcome = AttemptOutcome::Completed {
            first: Duration::from_millis(100),
        };
        self.admission.finish(self.t, self.key, outcome);
        self.admission.poll(self.t, &self.table)
    }
}

fn ticket(a: AdmissionDecision) -> Ticket {
    match a {
        AdmissionDecision::Wait(t) => t,
        other => panic!("{other:?} is not waiting"),
    }
}

fn refusal(a: AdmissionDecision) -> Refusal {
    match a {
        AdmissionDecision::Refuse(r) => r,
        other => panic!("{other:?} is not a refusal"),
    }
}

#[test]
fn admit_without_target() {
    let (table, _) = table(&[]);
    let mut a = Admission::new("a".into());
    let t = Instant::now();
    assert_eq!(
        refusal(a.admit(t, &table, admission_request(t, "c", 1_000))).reason,
        Reason::NoTarget
    );
}

#[test]
fn admit_after_failures_of_all_endpoints() {
    // Queueing can't help the request, so it is refused at once instead of at its deadline.
    let mut g = Gateway::new();
    let mut request = admission_request(g.t, "c", 60_000);
    request.failed.push(g.key);
    let r = refusal(g.admission.admit(g.t, &g.table, request));
    assert_eq!(r.reason, Reason::NoTarget);
}

#[test]
fn admit_refuses_a_late_request_at_once() {
    let mut g = Gateway::new();
    g.fill();
    // The service time of 190 ms and the queueing time exceed 150 ms.
    let r = refusal(g.admit("c", 150));
    assert_eq!(r.reason, Reason::TooLate);
    assert!(r.retry_after >= Duration::from_secs(1));
    ticket(g.admit("c", 1_000));
}

#[test]
fn admit_one_when_idle_despite_the_estimate() {
    // A wrong estimate must not refuse all requests permanently: an idle gateway admits one.
    let mut g = Gateway::new();
    assert!(matches!(g.admit("c", 50), AdmissionDecision::Start(_)));
    assert_eq!(refusal(g.admit("c", 50)).reason, Reason::TooLate);
}

#[test]
fn poll_refuses_before_the_deadline() {
    // A queued request is refused as soon as it can't meet its deadline, not only at the deadline.
    let mut g = Gateway::new();
    g.fill();
    let waiting = ticket(g.admit("c", 1_000));
    g.t += Duration::from_millis(800);
    assert_eq!(g.admission.poll(g.t, &g.table), []);
    g.t += Duration::from_millis(10);
    let decisions = g.admission.poll(g.t, &g.table);
    assert!(
        matches!(decisions[..], [(t, QueueDecision::Refuse(r))] if t == waiting && r.reason == Reason::TooLate)
    );
    assert_eq!(g.admission.waiting(), 0);
}

#[test]
fn poll_starts_in_order() {
    let mut g = Gateway::new();
    g.fill();
    let first = ticket(g.admit("c", 60_000));
    let second = ticket(g.admit("c", 60_000));
    assert_eq!(g.finish_one(), [(first, QueueDecision::Start(g.key))]);
    assert_eq!(g.finish_one(), [(second, QueueDecision::Start(g.key))]);
}

#[test]
fn poll_by_priority() {
    let mut g = Gateway::new();
    g.fill();
    let low = ticket(g.admit_with_priority("c", Priority::Low));
    let normal = ticket(g.admit_with_priority("c", Priority::Normal));
    let high = ticket(g.admit_with_priority("c", Priority::High));
    let order: Vec<Ticket> = (0..3)
        .flat_map(|_| g.finish_one())
        .map(|(t, _)| t)
        .collect();
    assert_eq!(order, [high, normal, low]);
}

#[test]
fn poll_fair_between_callers() {
    let mut g = Gateway::new();
    g.fill();
    let busy: Vec<Ticket> = (0..10).map(|_| ticket(g.admit("busy", 600_000))).collect();
    let quiet = ticket(g.admit("quiet", 600_000));
    let order: Vec<Ticket> = (0..3)
        .flat_map(|_| g.finish_one())
        .map(|(t, _)| t)
        .collect();
    assert_eq!(order, [busy[0], quiet, busy[1]]);
}

#[test]
fn admit_does_not_overtake_queued_requests() {
    // A free slot is given to the queued request, not to a new one.
    let mut g = Gateway::new();
    g.fill();
    let waiting = ticket(g.admit("c", 60_000));
    let outcome = AttemptOutcome::Completed {
        first: Duration::from_millis(100),
    };
    g.admission.finish(g.t, g.key, outcome);
    ticket(g.admit("late", 60_000));
    assert_eq!(
        g.admission.poll(g.t, &g.table),
        [(waiting, QueueDecision::Start(g.key))]
    );
}

#[test]
fn shed_for_removes_the_lowest_priority() {
    let mut g = Gateway::new();
    g.fill();
    let lows: Vec<Ticket> = (0..MAX_QUEUE)
        .map(|_| ticket(g.admit_with_priority("c", Priority::Low)))
        .collect();
    assert_eq!(
        refusal(g.admit_with_priority("c", Priority::Low)).reason,
        Reason::QueueFull
    );
    let m = Subject::Model("m".into());
    assert_eq!(
        g.admission.shed_for(&m, Priority::Low),
        None,
        "no request has a lower priority"
    );
    let (shed, r) = g
        .admission
        .shed_for(&m, Priority::High)
        .expect("low-priority requests are queued");
    assert_eq!(
        (shed, r.reason),
        (*lows.last().expect("many"), Reason::Shed)
    );
    ticket(g.admit_with_priority("c", Priority::High));
    assert_eq!(g.admission.waiting(), MAX_QUEUE);
}

#[test]
fn cancel_removes_from_the_queue() {
    let mut g = Gateway::new();
    g.fill();
    let gone = ticket(g.admit("c", 60_000));
    let stays = ticket(g.admit("c", 60_000));
    g.admission.cancel(gone);
    assert_eq!(g.admission.waiting(), 1);
    assert_eq!(g.finish_one(), [(stays, QueueDecision::Start(g.key))]);
}

#[test]
fn poll_after_endpoint_left() {
    // A request queued for a model that no endpoint serves any more is refused immediately.
    let mut g = Gateway::new();
    g.fill();
    let waiting = ticket(g.admit("c", 60_000));
    let (empty, _) = table(&[]);
    let decisions = g.admission.poll(g.t, &empty);
    assert!(
        matches!(decisions[..], [(t, QueueDecision::Refuse(r))] if t == waiting && r.reason == Reason::NoTarget)
    );
}

/// Sends requests of one second to an engine of eight slots, at `share` of its capacity, for two minutes.
///
/// Returns the number of requests that completed within four seconds.
fn goodput(share: f64) -> u32 {
    let mut g = Gateway::new();
    let (start, service) = (g.t, Duration::from_secs(1));
    let m = Subject::Model("m".into());
    for _ in 0..50 {
        g.admission.record_answer(&m, service, Duration::ZERO, 1);
    }
    let mut running: Vec<Instant> = Vec::new();
    let mut deadlines = std::collections::HashMap::new();
    let (mut good, mut due) = (0, 0.0);
    let tick = Duration::from_millis(10);
    let mut finish: Vec<(Instant, Instant)> = Vec::new();
    while g.t < start + Duration::from_mins(2) {
        g.t += tick;
        let t = g.t;
        let ended: Vec<_> = finish
            .iter()
            .filter(|(end, _)| *end <= t)
            .copied()
            .collect();
        finish.retain(|(end, _)| *end > t);
        for (end, deadline) in ended {
            good += u32::from(end <= deadline);
            g.admission
                .finish(t, g.key, AttemptOutcome::Completed { first: service });
            g.admission.record_answer(&m, service, Duration::ZERO, 1);
        }
        due += 8.0 * share * tick.as_secs_f64();
        while due >= 1.0 {
            due -= 1.0;
            let request = limehollow::admission::AdmissionRequest {
                tokens: 1,
                ..admission_request(t, "c", 4_000)
            };
            let deadline = request.deadline;
            match g.admission.admit(t, &g.table, request) {
                AdmissionDecision::Start(_) => finish.push((t + service, deadline)),
                AdmissionDecision::Wait(ticket) => {
                    deadlines.insert(ticket, deadline);
                }
                AdmissionDecision::Refuse(_) => {}
            }
        }
        for (ticket, decision) in g.admission.poll(t, &g.table) {
            let deadline = deadlines.remove(&ticket).expect("it waited");
            if matches!(decision, QueueDecision::Start(_)) {
                finish.push((t + service, deadline));
            }
        }
        running.clear();
    }
    good
}

#[test]
fn goodput_at_three_times_capacity() {
    let (at_capacity, at_three_times) = (goodput(1.0), goodput(3.0));
    assert!(
        at_three_times * 10 >= at_capacity * 9,
        "{at_three_times} against {at_capacity}"
    );
}

#[test]
fn finish_failed_frees_the_slot() {
    let mut g = Gateway::new();
    g.fill();
    let waiting = ticket(g.admit("c", 60_000));
    g.admission
        .finish(g.t, g.key, AttemptOutcome::Failed(Failure::Refused));
    let decisions = g.admission.poll(g.t, &g.table);
    // A refusal lowers the limit below eight, so the slot isn't filled again at once.
    assert_eq!(decisions, []);
    g.admission.finish(g.t, g.key, AttemptOutcome::Cancelled);
    assert_eq!(
        g.admission.poll(g.t, &g.table),
        [(waiting, QueueDecision::Start(g.key))]
    );
}
