//! Calls to other processes, which run on separate threads and send their results as events to the
//! control thread.

use crate::event::Event;
use crate::metrics::Metrics;
use limehollow::id::{Offset, VmName};
use limehollow::order::Order;
use limehollow_edge::engine::HttpEndpoints;
use limehollow_edge::follow::{snapshot, tail};
use limehollow_edge::log::{HttpLog, LogService};
use limehollow_edge::members::HttpMembers;
use limehollow_edge::peer::PeerClient;
use limehollow_edge::{Result, peer};
use limehollow_wire::peer::{Digest, Reply, Request, encode};
use limehollow_wire::record::STREAM;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::{Mutex, mpsc, oneshot};
use tokio::time::{Instant, sleep};

/// The interval between reads of the platform's membership list.
pub const LIST_INTERVAL: Duration = Duration::from_secs(1);
const PEER_TIMEOUT: Duration = Duration::from_millis(800);
const STATE_TIMEOUT: Duration = Duration::from_secs(3);

/// The clients of the log, the membership list, the endpoints and the peers.
#[derive(Clone, Debug)]
pub struct Io {
    runtime: Handle,
    events: mpsc::Sender<Event>,
    log: HttpLog,
    members: HttpMembers,
    endpoints: HttpEndpoints,
    metrics: Metrics,
    peers: Arc<Mutex<HashMap<String, Arc<Mutex<PeerClient>>>>>,
}

impl Io {
    /// Creates the clients. Calls run on `runtime`.
    ///
    /// # Errors
    ///
    /// If the HTTP client can't be created.
    pub fn new(
        runtime: Handle,
        events: mpsc::Sender<Event>,
        platform: &str,
        metrics: Metrics,
    ) -> Result<Self> {
        Ok(Self {
            runtime,
            events,
            log: HttpLog::new(platform)?,
            members: HttpMembers::new(platform)?,
            endpoints: HttpEndpoints::new()?,
            metrics,
            peers: Arc::default(),
        })
    }

    /// Starts the tasks that read the log and the membership list and serve the peers' requests.
    pub fn start(&self, from: Offset, peer_address: String) {
        let (tx, mut rx) = mpsc::channel(4);
        self.runtime.spawn(tail(self.log.clone(), from, tx));
        let events = self.events.clone();
        self.runtime.spawn(async move {
            while let Some(batch) = rx.recv().await {
                let _stopped = events.send(Event::Log(batch)).await;
            }
        });
        let (members, events) = (self.members.clone(), self.events.clone());
        self.runtime.spawn(async move {
            loop {
                let listing = members.list().await.ok();
                if events.send(Event::List(listing)).await.is_err() {
                    return;
                }
                sleep(LIST_INTERVAL).await;
            }
        });
        let events = self.events.clone();
        self.runtime.spawn(async move {
            let handler = move |req| request_from_control(events.clone(), req);
            if let Err(e) = peer::serve(&peer_address, handler).await {
                tracing::error!(error = %e, "the peer socket failed; peers can't reach this controller");
            }
        });
    }

    /// Appends records to the log in one call.
    pub fn append(&self, records: Vec<String>) {
        let (log, events, metrics) = (self.log.clone(), self.events.clone(), self.metrics.clone());
        self.runtime.spawn(async move {
            let count = records.len() as u64;
            let res = log.append(STREAM, records).await;
            let appended = match res {
                Ok(first) => {
                    metrics.appends.inc_by(count);
                    Ok(Offset(first + count - 1))
                }
                Err(_) => {
                    metrics.append_failures.inc();
                    Err(Instant::now())
                }
            };
            let _stopped = events.send(Event::Appended(appended)).await;
        });
    }

    /// Polls an endpoint's state.
    pub fn poll(&self, vm: VmName, address: String) {
        let this = self.clone();
        self.runtime.spawn(async move {
            let observation = this.endpoints.poll(&vm, &address).await.ok();
            this.metrics.polls.inc();
            this.metrics
                .poll_failures
                .inc_by(u64::from(observation.is_none()));
            let _stopped = this.events.send(Event::Polled(vm, observation)).await;
        });
    }

    /// Makes an endpoint refuse orders with a lower number than `number`.
    pub fn fence(&self, vm: VmName, address: String, number: Offset) {
        let this = self.clone();
        self.runtime.spawn(async move {
            let agreed = this.endpoints.fence(&address, number).await.ok();
            let _stopped = this.events.send(Event::Fenced(vm, number, agreed)).await;
        });
    }

    /// Sends an order to its endpoint.
    pub fn send(&self, order: Order) {
        let this = self.clone();
        self.runtime.spawn(async move {
            this.metrics.orders_sent.inc();
            let res = this.endpoints.send(&order).await;
            let _stopped = this.events.send(Event::Sent(order.number, res)).await;
        });
    }

    /// Sends a gossip message to a peer.
    pub fn gossip(&self, address: String, digest: Digest) {
        let this = self.clone();
        self.runtime.spawn(async move {
            let req = Request::Gossip(digest);
            this.metrics.gossip_sent.inc();
            this.metrics.gossip_bytes.inc_by(encode(&req).len() as u64);
            let client = this.peer(&address).await;
            let reply = client.lock().await.request(&req, PEER_TIMEOUT).await;
            if let Ok(Reply::Gossip(d)) = reply {
                let _stopped = this.events.send(Event::GossipReply(d)).await;
            }
        });
    }

    /// Requests a peer's state.
    pub fn request_state(&self, address: String) {
        let this = self.clone();
        self.runtime.spawn(async move {
            let reply = PeerClient::new(&address)
                .request(&Request::State, STATE_TIMEOUT)
                .await;
            let state = match reply {
                Ok(Reply::State(Some(text))) => snapshot(&text).ok().flatten(),
                _ => None,
            };
            let state = state.map(|(next, fleet)| (next, Box::new(fleet)));
            let _stopped = this.events.send(Event::PeerState(state)).await;
        });
    }

    async fn peer(&self, address: &str) -> Arc<Mutex<PeerClient>> {
        let mut peers = self.peers.lock().await;
        let new = || Arc::new(Mutex::new(PeerClient::new(address)));
        Arc::clone(peers.entry(address.to_owned()).or_insert_with(new))
    }
}

async fn request_from_control(events: mpsc::Sender<Event>, req: Request) -> Option<Reply> {
    let (tx, rx) = oneshot::channel();
    events.send(Event::PeerRequest(req, tx)).await.ok()?;
    rx.await.ok()
}
