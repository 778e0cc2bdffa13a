//! Claims on keys: appended to the log in batches before a request is dispatched.
//!
//! One task owns the fold of the claims stream and the results that this gateway remembers
//! ([`task`]); the traffic threads talk to it through [`Claiming`]
//! (`docs/design/at-most-once.md`).

pub mod task;

use crate::dispatch::Whole;
use crate::request::pass_on;
use bytes::Bytes;
use limehollow::claim::{Claimant, KeyHash};
use limehollow::id::Incarnation;
use limehollow_edge::peer::PeerClient;
use limehollow_wire::peer::{ClaimFate, Reply, Request};
use poem::http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

pub use task::{ClaimTask, Me};

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
    Done(Whole),
    /// It did not run and won't; its claim is being given back.
    Released,
    /// It may have run; nobody knows its result any more.
    Unknown,
}

/// The answer to the wish to claim a key.
#[derive(Debug)]
pub enum Claimed {
    /// The claim stands first: the request may be dispatched, by this gateway alone.
    Mine(Claim),
    /// The key was claimed before.
    Other(Fate),
    /// It can't be decided now; the request was not dispatched. Come back after this time.
    Undecided(Duration),
}

/// A claim that stands. Dropped without a word, it counts as possibly run if it was dispatched, and
/// is given back otherwise.
#[derive(Debug)]
pub struct Claim {
    number: u64,
    tx: mpsc::UnboundedSender<Told>,
    dispatched: std::sync::atomic::AtomicBool,
    /// Until when the claim surely stands.
    good_until: Instant,
    told: bool,
}

impl Claim {
    /// Tells whether the claim surely still stands. Others forget it when its time is over, and this
    /// process may have been paused since it was decided.
    #[must_use]
    pub fn stands(&self) -> bool {
        Instant::now() < self.good_until
    }

    /// Notes that the request is about to leave.
    pub fn dispatched(&self) {
        self.dispatched
            .store(true, std::sync::atomic::Ordering::Relaxed);
    }

    /// Notes that the request ended and may have run, with its result if there is one.
    pub fn done(mut self, result: Option<Whole>) {
        self.tell(Told::Done(self.number, result));
    }

    /// Notes that the request surely did not run: the key is free again.
    pub fn release(mut self) {
        self.tell(Told::Release(self.number));
    }

    fn tell(&mut self, told: Told) {
        self.told = true;
        // The task only ends with the process.
        let _ended = self.tx.send(told);
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        if self.told {
            return;
        }
        let number = self.number;
        let dispatched = *self.dispatched.get_mut();
        self.tell(if dispatched {
            Told::Done(number, None)
        } else {
            Told::Release(number)
        });
    }
}

#[derive(Debug)]
enum Told {
    Done(u64, Option<Whole>),
    Release(u64),
}

#[derive(Debug)]
enum Wish {
    Claim(KeyHash, oneshot::Sender<Decision>),
    Fate(Incarnation, u64, oneshot::Sender<Fate>),
}

#[derive(Debug)]
enum Decision {
    Mine(u64),
    Own(Fate),
    Peer(Claimant),
    Undecided,
}

/// The traffic threads' side.
#[derive(Clone, Debug)]
pub struct Claiming {
    wishes: mpsc::Sender<Wish>,
    told: mpsc::UnboundedSender<Told>,
    /// For how long after the wish a claim may be relied on: half of the time that it is remembered.
    good_for: Duration,
}

impl Claiming {
    /// Claims a key for a request.
    pub async fn claim(&self, key: KeyHash, deadline: Instant) -> Claimed {
        let asked = Instant::now();
        let (tx, rx) = oneshot::channel();
        if self.wishes.try_send(Wish::Claim(key, tx)).is_err() {
            return Claimed::Undecided(RETRY_AFTER);
        }
        let limit = deadline.min(Instant::now() + LONGEST_WAIT);
        // Giving up here is safe: the task hands out a number only to somebody who still waits.
        let decision = tokio::time::timeout_at(limit, rx).await;
        match decision {
            Ok(Ok(Decision::Mine(number))) => {
                let dispatched = false.into();
                Claimed::Mine(Claim {
                    number,
                    tx: self.told.clone(),
                    dispatched,
                    good_until: asked + self.good_for,
                    told: false,
                })
            }
            Ok(Ok(Decision::Own(fate))) => Claimed::Other(fate),
            Ok(Ok(Decision::Peer(who))) => Claimed::Other(ask_peer(&who).await),
            Ok(Ok(Decision::Undecided) | Err(_)) | Err(_) => Claimed::Undecided(RETRY_AFTER),
        }
    }

    /// Answers another gateway that asks what became of a claim of this one.
    pub async fn fate(&self, incarnation: Incarnation, number: u64) -> ClaimFate {
        let (tx, rx) = oneshot::channel();
        let asked = self.wishes.send(Wish::Fate(incarnation, number, tx)).await;
        let fate = match asked {
            Ok(()) => rx.await.unwrap_or(Fate::Unknown),
            Err(_) => Fate::Unknown,
        };
        ClaimFate::from(fate)
    }
}

/// Asks the gateway that claimed a key what became of the request.
async fn ask_peer(who: &Claimant) -> Fate {
    let req = Request::Claim {
        incarnation: who.incarnation,
        number: who.number,
    };
    match PeerClient::new(&who.address)
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
                Self::Done(Whole {
                    status,
                    headers: pass_on(&map),
                    body: Bytes::from(body),
                })
            }
        }
    }
}
