//! Queries that one VM sends to another by datagram, and their answers.
//!
//! An answer is matched to its query by number, and only until the query's timeout: a later answer is outdated.

use crate::clock::Clock;
use crate::edge::Protocol;
use crate::site::Site;
use crate::{assignment, keys, limits, resumption, start, waiting};
use limehollow::wait_queue::Ticket;
use limehollow_wire::gossip::{Answer, Query, QueryBody, Reply};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;

/// The maximum number of queries that wait for answers at once: as many as a VM of the largest site sends in two rounds
/// of collections, and for the requests of one second.
const MAX_PENDING: usize = 2048;

/// A query and the address to which it is sent.
pub type OutgoingQuery = (SocketAddr, Query);

/// This VM's queries that wait for answers.
#[derive(Debug)]
pub struct PendingQueries {
    tx: UnboundedSender<OutgoingQuery>,
    rx: Mutex<Option<UnboundedReceiver<OutgoingQuery>>>,
    waiting: Mutex<Waiting>,
}

#[derive(Debug)]
struct Waiting {
    /// The number of the next query. It begins at random, so that answers to queries of a former start of the process
    /// don't match.
    next: u64,
    answers: HashMap<u64, oneshot::Sender<Reply>>,
}

/// A query that waits for its answer. It may be abandoned before: its caller has left, or another answer came first.
struct Expected<'a> {
    queries: &'a PendingQueries,
    number: u64,
}

impl Drop for Expected<'_> {
    fn drop(&mut self) {
        self.queries.waiting().answers.remove(&self.number);
    }
}

impl Default for PendingQueries {
    fn default() -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        Self {
            tx,
            rx: Mutex::new(Some(rx)),
            waiting: Mutex::new(Waiting {
                next: rand::random(),
                answers: HashMap::new(),
            }),
        }
    }
}

impl PendingQueries {
    /// Sends a query to another VM and waits for the answer. Returns `None` if there is none within `within`.
    pub(crate) async fn ask(
        &self,
        clock: &Clock,
        to: SocketAddr,
        body: QueryBody,
        within: Duration,
    ) -> Option<Reply> {
        let (expected, answer) = self.expect()?;
        let number = expected.number;
        // Some tests run no task that sends queries; the query times out then.
        let _no_sender = self.tx.send((to, Query { number, body }));
        let until = clock.now() + within;
        let answer = clock.timeout_at(until, answer).await;
        answer.ok()?.ok()
    }

    fn expect(&self) -> Option<(Expected<'_>, oneshot::Receiver<Reply>)> {
        let mut waiting = self.waiting();
        if waiting.answers.len() >= MAX_PENDING {
            return None;
        }
        let number = waiting.next;
        waiting.next = number.wrapping_add(1);
        let (tx, rx) = oneshot::channel();
        waiting.answers.insert(number, tx);
        let expected = Expected {
            queries: self,
            number,
        };
        Some((expected, rx))
    }

    /// Delivers an answer to the query that waits for it.
    pub fn complete(&self, a: Answer) {
        let pending = self.waiting().answers.remove(&a.number);
        if let Some(tx) = pending {
            // The query may time out at the same moment.
            let _timed_out = tx.send(a.reply);
        }
    }

    /// Takes the receiver of the queries to send. Returns `None` if it has been taken: only one task sends them.
    pub fn take_outgoing(&self) -> Option<UnboundedReceiver<OutgoingQuery>> {
        let mut rx = self.rx.lock().unwrap_or_else(PoisonError::into_inner);
        rx.take()
    }

    fn waiting(&self) -> MutexGuard<'_, Waiting> {
        // After a panic in another task, at worst a query stays unanswered.
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Answers another VM's query.
pub fn answer<P>(site: &Site<P>, q: Query) -> Answer
where
    P: Protocol,
{
    let reply = match q.body {
        QueryBody::Configuration => keys::confirmation(site),
        QueryBody::Start(vm) => start::assign_parent(site, &vm),
        QueryBody::Tokens { subject, tokens } => limits::grant(site, &subject, tokens),
        QueryBody::Assignment {
            job,
            tried,
            vm,
            claim,
        } => assignment::answer(site, &vm, &job, &tried, claim.as_ref()),
        QueryBody::Leave { vm, number, model } => {
            waiting::remove(site, &model, &Ticket { vm, number });
            Reply::Left
        }
        QueryBody::Earnings {
            coordinator,
            vms_known,
            subjects,
        } => limits::transfer_earnings(site, &coordinator, usize::from(vms_known), &subjects),
        QueryBody::StreamOrigin(stream) => resumption::answer(site, stream),
        QueryBody::Versions => resumption::versions(site),
    };
    Answer {
        number: q.number,
        reply,
    }
}
