//! Claims on idempotency keys: appended to the log in batches before a request is dispatched.
//!
//! One task ([`task`]) owns the state computed from the claims stream and the results that this
//! gateway stores; the traffic threads communicate with it through [`ClaimClient`]
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

/// How long a claim may stay undecided, even if the deadline of its request is later.
const MAX_CLAIM_WAIT: Duration = Duration::from_secs(2);
const PEER_TIMEOUT: Duration = Duration::from_millis(500);
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The state of a request whose key was claimed before.
#[derive(Clone, Debug)]
pub enum Fate {
    /// The request is still running.
    Running,
    /// The request has completed with this result.
    Done(FullAnswer),
    /// The request did not run and won't run; its claim is being released.
    Released,
    /// The request may have run, and its result is not known.
    Unknown,
}

/// The outcome of an attempt to claim a key.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// The claim is the first one for its key: only this gateway may dispatch the request.
    Acquired(Claim),
    /// The key was claimed before.
    Duplicate(Fate),
    /// The claim can't be decided now and the request was not dispatched; retry after this time.
    Undecided(Duration),
}

/// A claim that was acquired.
///
/// If it is dropped without [`complete`](Self::complete) or [`release`](Self::release), the request
/// counts as possibly run if it was dispatched; otherwise the claim is released.
#[derive(Debug)]
pub struct Claim {
    number: u64,
    tx: mpsc::UnboundedSender<ClaimResult>,
    dispatched: std::sync::atomic::AtomicBool,
    /// The time until which the claim is certain to be in force.
    valid_until: Instant,
    reported: bool,
}

impl Claim {
    /// Returns `true` if the claim is certain to be still in force.
    ///
    /// Other gateways forget a claim after its retention time, and this process may have been paused
    /// since the claim was decided.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        Instant::now() < self.valid_until
    }

    /// Records that the request is about to be sent.
    pub fn mark_dispatched(&self) {
        self.dispatched
            .store(true, std::sync::atomic::Ordering::Relaxed);
    }

    /// Records that the request ended and may have run, with its result if there is one.
    pub fn complete(mut self, result: Option<FullAnswer>) {
        self.report(ClaimResult::Done(self.number, result));
    }

    /// Records that the request certainly did not run, which frees the key.
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

/// The handle through which the traffic threads use the claim task.
#[derive(Clone, Debug)]
pub struct ClaimClient {
    commands: mpsc::Sender<ClaimCommand>,
    results: mpsc::UnboundedSender<ClaimResult>,
    /// How long after it was requested a claim may be relied on: half of its retention time.
    valid_for: Duration,
}

impl ClaimClient {
    /// Claims a key for a request.
    pub async fn claim(&self, key: KeyHash, deadline: Instant) -> ClaimOutcome {
        let requested_at = Instant::now();
        let (tx, rx) = oneshot::channel();
        if self
            .commands
            .try_send(ClaimCommand::Claim(key, tx))
            .is_err()
        {
            return ClaimOutcome::Undecided(RETRY_AFTER);
        }
        let limit = deadline.min(Instant::now() + MAX_CLAIM_WAIT);
        // A timeout here is safe: the task only grants a claim whose receiver is still waiting.
        let decision = tokio::time::timeout_at(limit, rx).await;
        match decision {
            Ok(Ok(Decision::Acquired(number))) => {
                let dispatched = false.into();
                ClaimOutcome::Acquired(Claim {
                    number,
                    tx: self.results.clone(),
                    dispatched,
                    valid_until: requested_at + self.valid_for,
                    reported: false,
                })
            }
            Ok(Ok(Decision::OwnDuplicate(fate))) => ClaimOutcome::Duplicate(fate),
            Ok(Ok(Decision::PeerDuplicate(claimant))) => {
                ClaimOutcome::Duplicate(query_peer(&claimant).await)
            }
            Ok(Ok(Decision::Undecided) | Err(_)) | Err(_) => ClaimOutcome::Undecided(RETRY_AFTER),
        }
    }

    /// Returns the state of one of this gateway's claims, as another gateway queries it.
    pub async fn fate(&self, incarnation: Incarnation, number: u64) -> ClaimFate {
        let (tx, rx) = oneshot::channel();
        let sent = self
            .commands
            .send(ClaimCommand::Fate(incarnation, number, tx))
            .await;
        let fate = match sent {
            Ok(()) => rx.await.unwrap_or(Fate::Unknown),
            Err(_) => Fate::Unknown,
        };
        ClaimFate::from(fate)
    }
}

/// Queries the gateway that claimed a key for the state of the request.
async fn query_peer(claimant: &Claimant) -> Fate {
    let req = Request::Claim {
        incarnation: claimant.incarnation,
        number: claimant.number,
    };
    match PeerClient::new(&claimant.address)
        .request(&req, PEER_TIMEOUT)
        .await
    {
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
