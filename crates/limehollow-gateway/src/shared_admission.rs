//! Admission shared by several threads: a lock around [`Admission`], and the queue of tasks that wait
//! for a slot.

use arc_swap::ArcSwap;
use limehollow::admission::{
    Admission, AdmissionDecision, AdmissionRequest, QueueDecision, Reason, Refusal, Ticket,
};
use limehollow::id::{EndpointKey, ZoneName};
use limehollow::load::AttemptOutcome;
use limehollow::routing::Table;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep};

/// How often the queue is checked for requests that can't meet their deadline any more.
const POLL_EVERY: Duration = Duration::from_millis(20);

type SlotResult = Result<Slot, Refusal>;

#[derive(Debug)]
struct Inner {
    admission: Admission,
    waiters: HashMap<Ticket, oneshot::Sender<SlotResult>>,
}

/// Admission shared by several threads.
#[derive(Debug)]
pub struct SharedAdmission {
    inner: Mutex<Inner>,
    table: Arc<ArcSwap<Table>>,
}

/// The right to run one request at an endpoint; it is released on drop.
#[derive(Debug)]
pub struct Slot {
    admission: Arc<SharedAdmission>,
    /// The endpoint.
    pub key: EndpointKey,
    outcome: Option<AttemptOutcome>,
}

impl Slot {
    /// Records the outcome of the request and releases the slot.
    pub fn finish(mut self, outcome: AttemptOutcome) {
        self.outcome = Some(outcome);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        // A slot is dropped without an outcome if the caller disconnected.
        let outcome = self.outcome.unwrap_or(AttemptOutcome::Cancelled);
        self.admission
            .lock()
            .admission
            .finish(Instant::now(), self.key, outcome);
        self.admission.poll_queue();
    }
}

/// A request in the queue; it is cancelled on drop.
struct QueuedRequest {
    admission: Arc<SharedAdmission>,
    ticket: Ticket,
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        let mut inner = self.admission.lock();
        if inner.waiters.remove(&self.ticket).is_some() {
            inner.admission.cancel(self.ticket);
        }
    }
}

/// The immediate outcome of an admission request: decided, or queued with a receiver for the decision.
enum AdmitOutcome {
    Decided(SlotResult),
    Queued(QueuedRequest, oneshot::Receiver<SlotResult>),
}

impl SharedAdmission {
    /// Creates the admission of a gateway in this availability zone.
    #[must_use]
    pub fn new(zone: ZoneName, table: Arc<ArcSwap<Table>>) -> Arc<Self> {
        let inner = Inner {
            admission: Admission::new(zone),
            waiters: HashMap::new(),
        };
        Arc::new(Self {
            inner: Mutex::new(inner),
            table,
        })
    }

    /// Calls a function with the admission state while holding the lock.
    pub fn with<F, T>(&self, f: F) -> T
    where
        F: FnOnce(&mut Admission) -> T,
    {
        f(&mut self.lock().admission)
    }

    /// Waits until a request gets a slot at an endpoint or is refused.
    ///
    /// # Errors
    ///
    /// Returns the refusal as soon as it is decided.
    pub async fn admit(self: &Arc<Self>, request: AdmissionRequest) -> SlotResult {
        match self.try_admit(request) {
            AdmitOutcome::Decided(result) => result,
            AdmitOutcome::Queued(_queued, rx) => {
                let lost = Refusal {
                    reason: Reason::NoTarget,
                    retry_after: Duration::from_secs(1),
                };
                rx.await.unwrap_or(Err(lost))
            }
        }
    }

    fn try_admit(self: &Arc<Self>, request: AdmissionRequest) -> AdmitOutcome {
        let table = self.table.load();
        let now = Instant::now();
        let mut inner = self.lock();
        let mut admit = inner.admission.admit(now, &table, request.clone());
        let mut shed = None;
        if matches!(
            admit,
            AdmissionDecision::Refuse(Refusal {
                reason: Reason::QueueFull,
                ..
            })
        ) {
            shed = inner.admission.shed_for(&request.subject, request.priority);
            if shed.is_some() {
                admit = inner.admission.admit(now, &table, request);
            }
        }
        let shed = shed.and_then(|(t, r)| inner.waiters.remove(&t).map(|tx| (tx, r)));
        let outcome = match admit {
            AdmissionDecision::Start(key) => AdmitOutcome::Decided(Ok(self.slot(key))),
            AdmissionDecision::Refuse(r) => AdmitOutcome::Decided(Err(r)),
            AdmissionDecision::Wait(ticket) => {
                let (tx, rx) = oneshot::channel();
                inner.waiters.insert(ticket, tx);
                AdmitOutcome::Queued(
                    QueuedRequest {
                        admission: Arc::clone(self),
                        ticket,
                    },
                    rx,
                )
            }
        };
        drop(inner);
        if let Some((tx, refusal)) = shed {
            // The send fails if the caller has disconnected; it then needs no refusal.
            let _left = tx.send(Err(refusal));
        }
        outcome
    }

    /// Grants slots to queued requests that can start, and refuses those that are too late.
    pub fn poll_queue(self: &Arc<Self>) {
        let table = self.table.load();
        let mut inner = self.lock();
        if inner.admission.waiting() == 0 {
            return;
        }
        let decisions = inner.admission.poll(Instant::now(), &table);
        let mut granted = Vec::with_capacity(decisions.len());
        for (ticket, decision) in decisions {
            let waiter = inner.waiters.remove(&ticket);
            let grant = match decision {
                QueueDecision::Start(key) => Ok(self.slot(key)),
                QueueDecision::Refuse(r) => Err(r),
            };
            granted.push((waiter, grant));
        }
        // A slot whose receiver is gone is dropped below, and its drop acquires the lock.
        drop(inner);
        for (waiter, grant) in granted {
            let _left = waiter.map(|tx| tx.send(grant));
        }
    }

    /// Polls the queue periodically; never returns.
    pub async fn run(self: Arc<Self>) {
        loop {
            sleep(POLL_EVERY).await;
            self.poll_queue();
        }
    }

    fn slot(self: &Arc<Self>, key: EndpointKey) -> Slot {
        Slot {
            admission: Arc::clone(self),
            key,
            outcome: None,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
