//! Claims on keys: appended to the log in batches before a request is dispatched.
//!
//! One task owns the fold of the claims stream and the results that this gateway remembers
//! ([`task`]); the traffic threads talk to it through [`ClaimClient`]
//! (`docs/design/at-most-once.md`).

pub mod task;

use crate::dispatch::FullAnswer;
use crate::request::forwarded_headers;
use bytes::Bytes;
use limehollow::claim::{Claimant, KeyHash};
use limehollow::id::Incarnation;
use limehollow_edge::peer::PeerClient;
use limehollow_wire::peer::{ClaimFate, Reply, Request};
use poem::http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

pub use task::{ClaimTask, GatewayIdentity};

/// How long a claim may stay undecided, however far its deadline is.
const LONGEST_WAIT: Duration = Duration::from_secs(2);
const PEER_TIMEOUT: Duration = Duration::from_millis(500);
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// What became of a request that was claimed before.
#[derive(Clone, Debug)]
pub enum Fate {
    /// It is under way.
    Running,
    /// It is done, with this result.
    Done(FullAnswer),
    /// It did not run and won't; its claim is being given back.
    Released,
    /// It may have run; nobody knows its result any more.
    Unknown,
}

/// The answer to the wish to claim a key.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// The claim stands first: the request may be dispatched, by this gateway alone.
    Acquired(Claim),
    /// The key was claimed before.
    Duplicate(Fate),
    /// It can't be decided now; the request was not dispatched. Come back after this time.
    Undecided(Duration),
}

/// A claim that stands. Dropped without a word, it counts as possibly run if it was dispatched, and
/// is given back otherwise.
#[derive(Debug)]
pub struct Claim {
    number: u64,
    tx: mpsc::UnboundedSender<ClaimResult>,
    dispatched: std::sync::atomic::AtomicBool,
    /// Until when the claim surely stands.
    valid_until: Instant,
    reported: bool,
}

impl Claim {
    /// Tells whether the claim surely still stands. Others forget it when its time is over, and this
    /// process may have been paused since it was decided.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        Instant::now() < self.valid_until
    }

    /// Notes that the request is about to leave.
    pub fn mark_dispatched(&self) {
        self.dispatched
            .store(true, std::sync::atomic::Ordering::Relaxed);
    }

    /// Notes that the request ended and may have run, with its result if there is one.
    pub fn complete(mut self, result: Option<FullAnswer>) {
        self.report(ClaimResult::Done(self.number, result));
    }

    /// Notes that the request surely did not run: the key is free again.
    pub fn release(mut self) {
        self.report(ClaimResult::Release(self.number));
    }

    fn report(&mut self, result: ClaimResult) {
        self.reported = true;
        // The task only ends with the process.
        let _ended = self.tx.send(result);
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        if self.reported {
            return;
        }
        let number = self.number;
        let dispatched = *self.dispatched.get_mut();
        self.report(if dispatched {
            ClaimResult::Done(number, None)
        } else {
            ClaimResult::Release(number)
        });
    }
}

#[derive(Debug)]
enum ClaimResult {
    Done(u64, Option<FullAnswer>),
    Release(u64),
}

#[derive(Debug)]
enum ClaimCommand {
    Claim(KeyHash, oneshot::Sender<Decision>),
    Fate(Incarnation, u64, oneshot::Sender<Fate>),
}

#[derive(Debug)]
enum Decision {
    Acquired(u64),
    OwnDuplicate(Fate),
    PeerDuplicate(Claimant),
    Undecided,
}

/// The traffic threads' side.
#[derive(Clone, Debug)]
pub struct ClaimClient {
    commands: mpsc::Sender<ClaimCommand>,
    results: mpsc::UnboundedSender<ClaimResult>,
    /// For how long after the wish a claim may be relied on: half of the time that it is remembered.
    valid_for: Duration,
}

impl ClaimClient {
    /// Claims a key for a request.
    pub async fn claim(&self, key: KeyHash, deadline: Instant) -> ClaimOutcome {
        let asked = Instant::now();
        let (tx, rx) = oneshot::channel();
        if self
            .commands
            .try_send(ClaimCommand::Claim(key, tx))
            .is_err()
        {
            return ClaimOutcome::Undecided(RETRY_AFTER);
        }
        let limit = deadline.min(Instant::now() + LONGEST_WAIT);
        // Giving up here is safe: the task hands out a number only to somebody who still waits.
        let decision = tokio::time::timeout_at(limit, rx).await;
        match decision {
            Ok(Ok(Decision::Acquired(number))) => {
                let dispatched = false.into();
                ClaimOutcome::Acquired(Claim {
                    number,
                    tx: self.results.clone(),
                    dispatched,
                    valid_until: asked + self.valid_for,
                    reported: false,
                })
            }
            Ok(Ok(Decision::OwnDuplicate(fate))) => ClaimOutcome::Duplicate(fate),
            Ok(Ok(Decision::PeerDuplicate(who))) => ClaimOutcome::Duplicate(query_peer(&who).await),
            Ok(Ok(Decision::Undecided) | Err(_)) | Err(_) => ClaimOutcome::Undecided(RETRY_AFTER),
        }
    }

    /// Answers another gateway that asks what became of a claim of this one.
    pub async fn fate(&self, incarnation: Incarnation, number: u64) -> ClaimFate {
        let (tx, rx) = oneshot::channel();
        let asked = self
            .commands
            .send(ClaimCommand::Fate(incarnation, number, tx))
            .await;
        let fate = match asked {
            Ok(()) => rx.await.unwrap_or(Fate::Unknown),
            Err(_) => Fate::Unknown,
        };
        ClaimFate::from(fate)
    }
}

/// Asks the gateway that claimed a key what became of the request.
async fn query_peer(who: &Claimant) -> Fate {
    let req = Request::Claim {
        incarnation: who.incarnation,
        number: who.number,
    };
    match PeerClient::new(&who.address).ask(&req, PEER_TIMEOUT).await {
        Ok(Reply::Claim(fate)) => Fate::from(fate),
        _ => Fate::Unknown,
    }
}

impl From<Fate> for ClaimFate {
    fn from(f: Fate) -> Self {
        match f {
            Fate::Running => Self::Running,
            Fate::Released => Self::NeverSent,
            Fate::Unknown => Self::Unknown,
            Fate::Done(w) => {
                let text = |v: &HeaderValue| v.to_str().ok().map(str::to_owned);
                let headers = w
                    .headers
                    .iter()
                    .filter_map(|(n, v)| Some((n.to_string(), text(v)?)));
                Self::Done {
                    status: w.status.as_u16(),
                    headers: headers.collect(),
                    body: w.body.to_vec(),
                }
            }
        }
    }
}

impl From<ClaimFate> for Fate {
    fn from(f: ClaimFate) -> Self {
        match f {
            ClaimFate::Running => Self::Running,
            ClaimFate::NeverSent => Self::Released,
            ClaimFate::Unknown => Self::Unknown,
            ClaimFate::Done {
                status,
                headers,
                body,
            } => {
                let Ok(status) = StatusCode::from_u16(status) else {
                    return Self::Unknown;
                };
                let mut map = HeaderMap::new();
                for (n, v) in headers {
                    if let (Ok(n), Ok(v)) = (n.parse::<HeaderName>(), v.parse::<HeaderValue>()) {
                        map.append(n, v);
                    }
                }
                Self::Done(FullAnswer {
                    status,
                    headers: forwarded_headers(&map),
                    body: Bytes::from(body),
                })
            }
        }
    }
}
