//! Test support: VMs that talk to each other over sockets, some of which reach no endpoint.

use super::versions::VERSIONS;
use super::{Does, Gateway, Plain, Server, answer, catalog, parse_settings, request};
use limehollow::catalog::Rule;
use limehollow::id::{ServiceName, ZoneName};
use limehollow::roster::Endpoint;
use limehollow_node::site::Site;
use limehollow_node::{gossip, peer_state};
use smol_str::format_smolstr;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep, timeout};

/// The length of the queue of new connections of a way.
const QUEUE: u32 = 1;
/// How long a connection waits for its answer until the queue counts as full.
const QUEUED_WITHIN: Duration = Duration::from_millis(50);

/// What happens to the connections that a VM opens to endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// They are established.
    Open,
    /// They get no answer.
    Hangs,
    /// They are refused.
    Refuses,
}

/// VMs of several zones, with two endpoints in each zone.
#[derive(Debug)]
pub struct CutOffSite {
    pub vms: Vec<Gateway>,
    pub endpoints: Vec<Server>,
    /// The ways from each VM to each endpoint.
    ways: Vec<Vec<Path>>,
}

impl CutOffSite {
    /// Starts VMs with addresses in 127.`net` and endpoints with these answers, in turn over the zones.
    pub async fn start(net: u8, rule: Rule, zones: usize, vms: usize, does: &[Does]) -> Self {
        Self::start_with(net, rule, (zones, vms), does, |_, site, peers| {
            tokio::spawn(peer_state::serve(site, peers));
        })
        .await
    }

    /// Starts VMs in as many zones, whose connections from other VMs `serve` serves.
    pub async fn start_with<F>(
        net: u8,
        rule: Rule,
        (zones, vms): (usize, usize),
        does: &[Does],
        mut serve: F,
    ) -> Self
    where
        F: FnMut(usize, Arc<Site<Plain>>, TcpListener),
    {
        let mut site = Self {
            vms: Vec::new(),
            endpoints: Vec::new(),
            ways: Vec::new(),
        };
        for _ in 0..zones * 2 {
            site.endpoints.push(Server::start(does.to_vec()).await);
        }
        for i in 0..vms {
            let (vm, peers) = start_vm(net, i, i % zones, rule.clone()).await;
            serve(i, Arc::clone(&vm.site), peers);
            let mut ways = Vec::new();
            for (n, e) in site.endpoints.iter().enumerate() {
                let path = Path::start(e.address);
                let zone = ZoneName::from(format!("z{}", n % zones));
                let mut entry = listed(n, zone, path.address);
                entry.software = Some(site.version(n).into());
                vm.site.view().list(Instant::now(), entry);
                ways.push(path);
            }
            site.ways.push(ways);
            site.vms.push(vm);
        }
        for vm in &site.vms {
            for other in &site.vms {
                let s = other.site.settings.load();
                let zone = other.site.zone.clone();
                let mut view = vm.site.view();
                let name = s.name.as_str().into();
                view.peers
                    .upsert(name, zone, s.peer_address(), s.millicores());
            }
        }
        // Every VM has heard every other one, or its zone's leader.
        sleep(Duration::from_millis(500)).await;
        site
    }

    /// Returns the version of an endpoint: each zone has one of each.
    fn version(&self, n: usize) -> &'static str {
        VERSIONS[n / (self.endpoints.len() / 2)]
    }

    /// Returns the version of the endpoint that a request reached.
    pub fn version_of(&self, id: &str) -> Option<&'static str> {
        let n = self.endpoints.iter().position(|e| e.has_received(id))?;
        Some(self.version(n))
    }

    /// Sets what happens to the connections that a VM opens to endpoints from now on.
    pub async fn set_way(&self, vm: usize, way: Way) {
        for path in &self.ways[vm] {
            path.way.send_replace(way);
        }
        for path in &self.ways[vm] {
            let mut in_force = path.in_force.clone();
            in_force.wait_for(|w| *w == way).await.expect("it runs");
        }
    }

    /// Sends a request to a VM. Returns the answer, and how long it took.
    pub async fn ask(&self, vm: usize, id: &str) -> (String, Duration) {
        let began = Instant::now();
        let answer = ask(self.vms[vm].address, id, "").await;
        (answer, began.elapsed())
    }

    /// Sends requests to a VM one after the other, and returns their answers.
    pub async fn ask_times(
        &self,
        vm: usize,
        times: usize,
        pause: Duration,
    ) -> Vec<(String, Duration)> {
        let mut got = Vec::new();
        for n in 0..times {
            got.push(self.ask(vm, &format!("r-{vm}-{n}")).await);
            sleep(pause).await;
        }
        got
    }

    /// Returns the number of requests that reached endpoints.
    pub fn arrivals(&self) -> usize {
        self.endpoints.iter().map(Server::requests).sum()
    }
}

/// Sends a request and returns what the caller gets within five seconds.
pub async fn ask(to: SocketAddr, id: &str, more: &str) -> String {
    let mut s = TcpStream::connect(to).await.expect("it accepts");
    let more = format!("connection: close\r\n{more}");
    let head = request("/a/x", id, &more, "a body");
    s.write_all(head.as_bytes()).await.expect("it is written");
    let mut out = Vec::new();
    // A reset of the connection ends the answer too.
    let _ended = timeout(Duration::from_secs(5), s.read_to_end(&mut out)).await;
    String::from_utf8_lossy(&out).into_owned()
}

/// Returns an action of an endpoint that answers each request whole.
pub fn whole(body: &str) -> Does {
    Does::Writes(
        String::from_utf8(answer(200, "ID", "x-mark: m\r\n", body))
            .expect("text")
            .replace("x-id: ID\r\n", "")
            .into_bytes(),
    )
}

fn listed(i: usize, zone: ZoneName, address: SocketAddr) -> Endpoint {
    Endpoint {
        instance: format_smolstr!("i-{i}").into(),
        service: ServiceName::from("portal"),
        address,
        zone,
        software: Some("v1".into()),
        slots: 64,
        leaving: false,
        cold_ms: 0,
        holdings: BTreeMap::new(),
        copies: BTreeSet::new(),
    }
}

/// Starts a VM. Returns it, and the listener for connections from other VMs.
async fn start_vm(net: u8, i: usize, zone: usize, rule: Rule) -> (Gateway, TcpListener) {
    let ip = Ipv4Addr::new(127, net, 0, u8::try_from(i + 1).expect("there are few"));
    let socket = UdpSocket::bind((ip, 0)).await.expect("a port is free");
    let port = socket.local_addr().expect("it is bound").port();
    let own = format!(
        "name = \"vm-{i}\"\navailability_zone = \"z{zone}\"\nip = \"{ip}\"\npeer_port = {port}\n"
    );
    let site = Site::new(parse_settings(&own), Plain);
    site.set_catalog(catalog(1, vec![rule]));
    let socket = Arc::new(gossip::GossipSocket::new(Arc::clone(&site), socket));
    let wake = Arc::new(Notify::new());
    tokio::spawn(gossip::send(
        Arc::clone(&site),
        Arc::clone(&socket),
        Arc::clone(&wake),
    ));
    tokio::spawn(gossip::send_questions(
        Arc::clone(&site),
        Arc::clone(&socket),
    ));
    tokio::spawn(gossip::send_origins(Arc::clone(&site), Arc::clone(&socket)));
    tokio::spawn(gossip::receive(Arc::clone(&site), socket, wake));
    let peers = TcpListener::bind((ip, port)).await.expect("it is free too");
    (Gateway::with(site).await, peers)
}

/// A way from one VM to one endpoint.
#[derive(Debug)]
struct Path {
    address: SocketAddr,
    way: watch::Sender<Way>,
    /// What happens to connections now.
    in_force: watch::Receiver<Way>,
}

impl Path {
    fn start(target: SocketAddr) -> Self {
        let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0)));
        let address = listener.local_addr().expect("it is bound");
        let (tx, way) = watch::channel(Way::Open);
        let (in_force_tx, in_force) = watch::channel(Way::Open);
        tokio::spawn(run_path(listener, target, way, in_force_tx));
        Self {
            address,
            way: tx,
            in_force,
        }
    }
}

/// Listens with a queue of new connections that is full after a few.
fn listen(address: SocketAddr) -> TcpListener {
    bound(address).listen(QUEUE).expect("it listens")
}

/// Keeps a port without listening, so that connections are refused and no other test gets it.
fn bound(address: SocketAddr) -> TcpSocket {
    let socket = TcpSocket::new_v4().expect("a socket is free");
    socket.set_reuseaddr(true).expect("it can be set");
    socket.bind(address).expect("the port is free");
    socket
}

async fn run_path(
    mut listener: TcpListener,
    target: SocketAddr,
    mut way: watch::Receiver<Way>,
    in_force: watch::Sender<Way>,
) {
    let address = listener.local_addr().expect("it is bound");
    loop {
        let now = *way.borrow_and_update();
        match now {
            Way::Open => {
                in_force.send_replace(now);
                tokio::select! {
                    accepted = listener.accept() => {
                        let (from, _) = accepted.expect("it accepts");
                        tokio::spawn(forward(from, target, way.clone()));
                    }
                    ended = way.changed() => if ended.is_err() { return },
                }
            }
            Way::Hangs => {
                let _queued = fill(address).await;
                in_force.send_replace(now);
                if way.changed().await.is_err() {
                    return;
                }
            }
            Way::Refuses => {
                drop(listener);
                let closed = bound(address);
                in_force.send_replace(now);
                if way.changed().await.is_err() {
                    return;
                }
                listener = closed.listen(QUEUE).expect("it listens");
            }
        }
    }
}

/// Opens connections until there is no answer to one more.
async fn fill(address: SocketAddr) -> Vec<TcpStream> {
    let mut queued = Vec::new();
    while let Ok(s) = timeout(QUEUED_WITHIN, TcpStream::connect(address)).await {
        queued.push(s.expect("it is queued"));
    }
    queued
}

/// Forwards a connection's bytes, but for the times in which the way hangs.
async fn forward(mut from: TcpStream, target: SocketAddr, mut way: watch::Receiver<Way>) {
    let mut to = TcpStream::connect(target).await.expect("it accepts");
    let copied = tokio::io::copy_bidirectional(&mut from, &mut to);
    tokio::pin!(copied);
    loop {
        let hangs = *way.borrow_and_update() == Way::Hangs;
        tokio::select! {
            _ended = &mut copied, if !hangs => return,
            changed = way.changed() => if changed.is_err() { return },
        }
    }
}
