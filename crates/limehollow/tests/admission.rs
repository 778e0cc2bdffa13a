//! Which request goes when, and which is refused at once.

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
use traffic::{key, offer, table};

const ONE: [(&str, &str); 1] = [("a", "a1")];

struct Gate {
    t: Instant,
    table: Table,
    admission: Admission,
    key: EndpointKey,
}

impl Gate {
    /// One engine, whose answers are known to take 100 ms and 10 ms for each further token.
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

    fn offer(&mut self, caller: &str, deadline_ms: u64) -> AdmissionDecision {
        let o = offer(self.t, caller, deadline_ms);
        self.admission.admit(self.t, &self.table, o)
    }

    fn offer_at(&mut self, caller: &str, priority: Priority) -> AdmissionDecision {
        let o = limehollow::admission::AdmissionRequest {
            priority,
            ..offer(self.t, caller, 600_000)
        };
        self.admission.admit(self.t, &self.table, o)
    }

    /// Fills the engine's eight slots.
    fn fill(&mut self) {
        for _ in 0..8 {
            assert!(matches!(
                self.offer("filler", 60_000),
                AdmissionDecision::Start(_)
            ));
        }
    }

    fn finish_one(&mut self) -> Vec<(Ticket, QueueDecision)> {
        let ending = AttemptOutcome::Completed {
            first: Duration::from_millis(100),
        };
        self.admission.finish(self.t, self.key, ending);
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
        other => panic!("{other:?} is no refusal"),
    }
}

#[test]
fn offer_without_target() {
    let (table, _) = table(&[]);
    let mut a = Admission::new("a".into());
    let t = Instant::now();
    assert_eq!(
        refusal(a.admit(t, &table, offer(t, "c", 1_000))).reason,
        Reason::NoTarget
    );
}

#[test]
fn offer_that_all_have_failed() {
    // Waiting can't help it, so it isn't held until its deadline.
    let mut g = Gate::new();
    let mut o = offer(g.t, "c", 60_000);
    o.failed.push(g.key);
    let r = refusal(g.admission.admit(g.t, &g.table, o));
    assert_eq!(r.reason, Reason::NoTarget);
}

#[test]
fn offer_too_late_is_refused_at_once() {
    let mut g = Gate::new();
    g.fill();
    // 190 ms of service and some wait don't fit into 150 ms.
    let r = refusal(g.offer("c", 150));
    assert_eq!(r.reason, Reason::TooLate);
    assert!(r.retry_after >= Duration::from_secs(1));
    ticket(g.offer("c", 1_000));
}

#[test]
fn offer_idle_learns_again() {
    // A wrong estimate must not refuse everything for ever: an idle gateway lets one try.
    let mut g = Gate::new();
    assert!(matches!(g.offer("c", 50), AdmissionDecision::Start(_)));
    assert_eq!(refusal(g.offer("c", 50)).reason, Reason::TooLate);
}

#[test]
fn poll_gives_up_before_the_deadline() {
    // A waiting request is refused when it can't make it any more, not when its time is over.
    let mut g = Gate::new();
    g.fill();
    let waiting = ticket(g.offer("c", 1_000));
    g.t += Duration::from_millis(800);
    assert_eq!(g.admission.poll(g.t, &g.table), []);
    g.t += Duration::from_millis(10);
    let turns = g.admission.poll(g.t, &g.table);
    assert!(
        matches!(turns[..], [(t, QueueDecision::Refuse(r))] if t == waiting && r.reason == Reason::TooLate)
    );
    assert_eq!(g.admission.waiting(), 0);
}

#[test]
fn poll_starts_in_order() {
    let mut g = Gate::new();
    g.fill();
    let first = ticket(g.offer("c", 60_000));
    let second = ticket(g.offer("c", 60_000));
    assert_eq!(g.finish_one(), [(first, QueueDecision::Start(g.key))]);
    assert_eq!(g.finish_one(), [(second, QueueDecision::Start(g.key))]);
}

#[test]
fn poll_by_priority() {
    let mut g = Gate::new();
    g.fill();
    let low = ticket(g.offer_at("c", Priority::Low));
    let normal = ticket(g.offer_at("c", Priority::Normal));
    let high = ticket(g.offer_at("c", Priority::High));
    let order: Vec<Ticket> = (0..3)
        .flat_map(|_| g.finish_one())
        .map(|(t, _)| t)
        .collect();
    assert_eq!(order, [high, normal, low]);
}

#[test]
fn poll_fair_between_callers() {
    let mut g = Gate::new();
    g.fill();
    let busy: Vec<Ticket> = (0..10).map(|_| ticket(g.offer("busy", 600_000))).collect();
    let quiet = ticket(g.offer("quiet", 600_000));
    let order: Vec<Ticket> = (0..3)
        .flat_map(|_| g.finish_one())
        .map(|(t, _)| t)
        .collect();
    assert_eq!(order, [busy[0], quiet, busy[1]]);
}

#[test]
fn offer_does_not_overtake() {
    // A slot that becomes free goes to who waits, not to who comes.
    let mut g = Gate::new();
    g.fill();
    let waiting = ticket(g.offer("c", 60_000));
    let ending = AttemptOutcome::Completed {
        first: Duration::from_millis(100),
    };
    g.admission.finish(g.t, g.key, ending);
    ticket(g.offer("late", 60_000));
    assert_eq!(
        g.admission.poll(g.t, &g.table),
        [(waiting, QueueDecision::Start(g.key))]
    );
}

#[test]
fn queue_bounded_and_sheds_least() {
    let mut g = Gate::new();
    g.fill();
    let lows: Vec<Ticket> = (0..MAX_QUEUE)
        .map(|_| ticket(g.offer_at("c", Priority::Low)))
        .collect();
    assert_eq!(
        refusal(g.offer_at("c", Priority::Low)).reason,
        Reason::QueueFull
    );
    let m = Subject::Model("m".into());
    assert_eq!(
        g.admission.shed_for(&m, Priority::Low),
        None,
        "nothing matters less"
    );
    let (shed, r) = g
        .admission
        .shed_for(&m, Priority::High)
        .expect("low ones wait");
    assert_eq!(
        (shed, r.reason),
        (*lows.last().expect("many"), Reason::Shed)
    );
    ticket(g.offer_at("c", Priority::High));
    assert_eq!(g.admission.waiting(), MAX_QUEUE);
}

#[test]
fn cancel_frees_the_place() {
    let mut g = Gate::new();
    g.fill();
    let gone = ticket(g.offer("c", 60_000));
    let stays = ticket(g.offer("c", 60_000));
    g.admission.cancel(gone);
    assert_eq!(g.admission.waiting(), 1);
    assert_eq!(g.finish_one(), [(stays, QueueDecision::Start(g.key))]);
}

#[test]
fn poll_after_endpoint_left() {
    // Who waits for a model that nothing serves any more is refused now.
    let mut g = Gate::new();
    g.fill();
    let waiting = ticket(g.offer("c", 60_000));
    let (empty, _) = table(&[]);
    let turns = g.admission.poll(g.t, &empty);
    assert!(
        matches!(turns[..], [(t, QueueDecision::Refuse(r))] if t == waiting && r.reason == Reason::NoTarget)
    );
}

/// Feeds an engine of eight slots with requests of one second at some share of its capacity for two
/// minutes, and gives how many were answered within four seconds.
fn goodput(share: f64) -> u32 {
    let mut g = Gate::new();
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
            let o = limehollow::admission::AdmissionRequest {
                tokens: 1,
                ..offer(t, "c", 4_000)
            };
            let deadline = o.deadline;
            match g.admission.admit(t, &g.table, o) {
                AdmissionDecision::Start(_) => finish.push((t + service, deadline)),
                AdmissionDecision::Wait(ticket) => {
                    deadlines.insert(ticket, deadline);
                }
                AdmissionDecision::Refuse(_) => {}
            }
        }
        for (ticket, turn) in g.admission.poll(t, &g.table) {
            let deadline = deadlines.remove(&ticket).expect("it waited");
            if matches!(turn, QueueDecision::Start(_)) {
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
    let mut g = Gate::new();
    g.fill();
    let waiting = ticket(g.offer("c", 60_000));
    g.admission
        .finish(g.t, g.key, AttemptOutcome::Failed(Failure::Refused));
    let turns = g.admission.poll(g.t, &g.table);
    // A refusal lowers the limit below eight, so the slot isn't filled again at once.
    assert_eq!(turns, []);
    g.admission.finish(g.t, g.key, AttemptOutcome::Cancelled);
    assert_eq!(
        g.admission.poll(g.t, &g.table),
        [(waiting, QueueDecision::Start(g.key))]
    );
}
