//! Questions that one VM asks another by datagram, and their answers.
//!
//! An answer counts only for its question, and only while that is waited for: what arrives later says nothing of now.

use crate::clock::Clock;
use crate::edge::Protocol;
use crate::site::Site;
use crate::{assignment, keys, limits, start};
use limehollow_wire::gossip::{Answer, Query, QueryBody, Reply};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;

/// Questions that may wait for answers at once: as many as a VM of the largest site asks in two rounds of collections, and
/// the requests of a second.
const MOST_WAITING: usize = 2048;

/// A question and to whom it goes.
pub type Asked = (SocketAddr, Query);

/// The questions of this VM that wait for answers.
#[derive(Debug)]
pub struct PendingQueries {
    tx: UnboundedSender<Asked>,
    rx: Mutex<Option<UnboundedReceiver<Asked>>>,
    waiting: Mutex<Waiting>,
}

#[derive(Debug)]
struct Waiting {
    /// Begins at random, so that answers to a former start of the process aren't taken for later ones.
    next: u64,
    answers: HashMap<u64, oneshot::Sender<Reply>>,
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
    /// Asks another VM and waits for its answer for so long; gives none if there was none.
    pub(crate) async fn ask(
        &self,
        clock: &Clock,
        to: SocketAddr,
        body: QueryBody,
        within: Duration,
    ) -> Option<Reply> {
        let (number, answer) = self.expect()?;
        // Without a task that sends, as in some tests, nobody answers.
        let _nobody = self.tx.send((to, Query { number, body }));
        let until = clock.now() + within;
        let answer = clock.timeout_at(until, answer).await;
        self.waiting().answers.remove(&number);
        answer.ok()?.ok()
    }

    fn expect(&self) -> Option<(u64, oneshot::Receiver<Reply>)> {
        let mut waiting = self.waiting();
        if waiting.answers.len() >= MOST_WAITING {
            return None;
        }
        let number = waiting.next;
        waiting.next = number.wrapping_add(1);
        let (tx, rx) = oneshot::channel();
        waiting.answers.insert(number, tx);
        Some((number, rx))
    }

    /// Takes in an answer.
    pub fn answered(&self, a: Answer) {
        let waits = self.waiting().answers.remove(&a.number);
        if let Some(tx) = waits {
            // Who asked may have given up in this moment.
            let _gone = tx.send(a.reply);
        }
    }

    /// Takes the questions to send; there is one task that does.
    pub fn take_outgoing(&self) -> Option<UnboundedReceiver<Asked>> {
        let mut rx = self.rx.lock().unwrap_or_else(PoisonError::into_inner);
        rx.take()
    }

    fn waiting(&self) -> MutexGuard<'_, Waiting> {
        // A panic elsewhere leaves a question without its answer at worst.
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Answers another VM's question.
pub fn answer<P>(site: &Site<P>, q: Query) -> Answer
where
    P: Protocol,
{
    let reply = match q.body {
        QueryBody::Configuration => keys::confirmation(site),
        QueryBody::Start(vm) => start::assign_parent(site, &vm),
        QueryBody::Tokens { subject, tokens } => limits::grant(site, &subject, tokens),
        QueryBody::Assignment { job, tried } => assignment::answer(site, &job, &tried),
        QueryBody::Earnings {
            coordinator,
            vms_known,
            subjects,
        } => limits::hand_over(site, &coordinator, usize::from(vms_known), &subjects),
    };
    Answer {
        number: q.number,
        reply,
    }
}
