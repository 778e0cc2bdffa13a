//! What the queue of waiting requests costs.

use limehollow::fingerprint::{Fingerprint, Identity};
use limehollow::wait_queue::{Capacity, Decision, Ticket, WaitQueues, Waiter};
use std::hint::black_box;
use std::time::Duration;
use tokio::time::Instant;

/// The bound on the waiting requests of a VM.
pub const WAITING: u64 = 10_000;
/// The models of a site.
pub const MODELS: u64 = 100;
const TENANTS: u64 = 64;
const VMS: u64 = 87;

/// The time of one decision, for each kind of query.
#[derive(Clone, Copy, Debug)]
pub struct DecisionCost {
    /// A waiting request asks again.
    pub again: Duration,
    /// A new request is refused.
    pub refused: Duration,
    /// A new request takes the place of the last one.
    pub displacing: Duration,
    /// The bytes by which the process grew for each waiting request.
    pub bytes: u64,
}

fn waiter(now: Instant, number: u64, rank: u8) -> Waiter {
    let identity = Identity {
        caller: "",
        method: "POST",
        host: "portal.example",
        path: &number.to_string(),
        body: b"",
    };
    Waiter {
        ticket: Ticket {
            vm: format!("vm-{}", number % VMS).into(),
            number,
        },
        rank,
        tenant: format!("workspace-{}", number % TENANTS).into(),
        weight: 1.0,
        request: Fingerprint::of(&identity),
        start_by: now + Duration::from_secs(8) + Duration::from_micros(number * 7919 % 1_000_000),
        serve_by: now + Duration::from_secs(20),
    }
}

/// Measures decisions with 10,000 waiting requests of 100 models.
///
/// # Panics
///
/// Panics if a request is decided on otherwise than the measurement assumes.
#[must_use]
pub fn decision_cost() -> DecisionCost {
    let now = Instant::now();
    let full = Capacity {
        room: 0,
        unreserved_room: 0,
        starts_per_s: 1000.0,
    };
    let none = Capacity {
        starts_per_s: 0.1,
        ..full
    };
    let models: Vec<_> = (0..MODELS).map(|m| format!("model-{m}").into()).collect();
    let model = |n: u64| &models[usize::try_from(n % MODELS).unwrap_or(0)];
    let waiting: Vec<Waiter> = (0..WAITING).map(|n| waiter(now, n, 2)).collect();
    let mut queues = WaitQueues::default();
    let before = resident();
    for w in &waiting {
        let d = queues.ask(now, model(w.ticket.number), w, full);
        assert!(matches!(d, Decision::Wait { .. }), "{d:?}");
    }
    let bytes = resident().saturating_sub(before) / WAITING;
    let again = each(&waiting, |w| {
        queues.ask(now, model(w.ticket.number), w, full)
    });
    let late: Vec<Waiter> = (WAITING..2 * WAITING).map(|n| waiter(now, n, 2)).collect();
    let refused = each(&late, |w| queues.ask(now, model(w.ticket.number), w, none));
    let urgent: Vec<Waiter> = (2 * WAITING..2 * WAITING + 1000)
        .map(|n| waiter(now, n, 0))
        .collect();
    let displacing = each(&urgent, |w| {
        queues.ask(now, model(w.ticket.number), w, full)
    });
    assert_eq!(queues.len() as u64, WAITING);
    DecisionCost {
        again,
        refused,
        displacing,
        bytes,
    }
}

fn each<F>(all: &[Waiter], mut f: F) -> Duration
where
    F: FnMut(&Waiter) -> Decision,
{
    let start = std::time::Instant::now();
    for w in all {
        black_box(f(w));
    }
    start.elapsed() / u32::try_from(all.len()).unwrap_or(1)
}

/// Resident memory of this process, in bytes.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS:"));
    let kib = line.and_then(|l| l.split_whitespace().nth(1)?.parse::<u64>().ok());
    kib.unwrap_or(0) * 1024
}
