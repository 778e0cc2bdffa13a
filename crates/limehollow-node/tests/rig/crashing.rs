//! Test support: a site whose endpoints crash when they run a certain request, and restart as new instances.

use super::{Gateway, Memory, Plain, answer, parse_settings, request, rule};
use limehollow::id::{ServiceName, ZoneName};
use limehollow::retry::Repeat;
use limehollow::roster::Endpoint;
use limehollow_node::peer_state::HttpStates;
use limehollow_node::site::Site;
use limehollow_node::{gossip, operator, peer_state, quarantine_sync};
use smol_str::format_smolstr;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep};

/// A body that crashes the endpoint that runs it.
pub const CRASHING: &str = "crash whoever runs this";
/// A body for which an endpoint closes the connection in the middle of its answer, without crashing.
pub const CUT_OFF: &str = "cut this one off";
/// How long the endpoint runs a crashing request before it crashes: it has sent the first part of its answer by then.
const CRASHES_AFTER: Duration = Duration::from_millis(20);
/// How long a complete answer takes.
const WORK: Duration = Duration::from_millis(60);
/// How long an endpoint is down after a crash.
const RESTARTS_AFTER: Duration = Duration::from_millis(300);
/// The caller's address, unless a test uses another one.
pub const CALLER: Ipv4Addr = Ipv4Addr::LOCALHOST;

/// The events that the endpoints record.
#[derive(Debug, Default)]
pub struct Seen {
    /// The times at which crashing requests reached an endpoint.
    pub arrivals: Mutex<Vec<Instant>>,
    /// The times at which endpoints crashed.
    pub crashes: Mutex<Vec<Instant>>,
    starts: AtomicUsize,
}

/// Several VMs in two zones, and endpoints that can crash.
#[derive(Debug)]
pub struct CrashingSite {
    pub vms: Vec<Gateway>,
    pub seen: Arc<Seen>,
    pub store: Memory,
    net: u8,
    starts: u8,
    sites: Sites,
}

/// The VMs on which endpoints are listed.
type Sites = Arc<Mutex<Vec<Arc<Site<Plain>>>>>;

impl CrashingSite {
    /// Starts these numbers of VMs, whose addresses begin with 127.`net`, and of endpoints.
    pub async fn start(net: u8, vms: u8, endpoints: usize) -> Self {
        let mut site = Self {
            vms: Vec::new(),
            seen: Arc::default(),
            store: Memory::default(),
            net,
            starts: 0,
            sites: Arc::default(),
        };
        for i in 0..vms {
            site.start_vm(i).await;
        }
        for _ in 0..endpoints {
            let (sites, seen) = (Arc::clone(&site.sites), Arc::clone(&site.seen));
            tokio::spawn(endpoint_lives(sites, seen));
        }
        while site.vms[0].site.view().roster.len() < endpoints {
            sleep(Duration::from_millis(5)).await;
        }
        site
    }

    async fn start_vm(&mut self, i: u8) {
        self.starts += 1;
        let g = start_vm((self.net, self.starts), i, &self.store).await;
        let mut sites = self.sites.lock().expect("sound");
        sites.push(Arc::clone(&g.site));
        for site in sites.iter() {
            introduce(site, &sites);
        }
        let listed: Vec<Endpoint> = {
            let view = sites[0].view();
            view.roster.iter().map(|(_, e)| e.clone()).collect()
        };
        for e in listed {
            g.site.view().list(Instant::now(), e);
        }
        drop(sites);
        self.vms.push(g);
    }

    /// Starts this number of additional VMs; they know only the addresses of the others.
    pub async fn add_vms(&mut self, vms: u8) {
        for _ in 0..vms {
            let i = u8::try_from(self.vms.len()).expect("there are few");
            self.start_vm(i).await;
        }
    }

    /// Stops all VMs at once and starts as many new ones, which have only the store to read.
    pub async fn restart_all(&mut self) {
        let listed: Vec<Endpoint> = {
            let view = self.vms[0].site.view();
            view.roster.iter().map(|(_, e)| e.clone()).collect()
        };
        self.sites.lock().expect("sound").clear();
        // Tasks of the former VMs keep running, but receive nothing: the new VMs have other addresses.
        let vms = u8::try_from(self.vms.len()).expect("there are few");
        self.vms.clear();
        for i in 0..vms {
            self.start_vm(i + 100).await;
        }
        for vm in &self.vms {
            for e in &listed {
                vm.site.view().list(Instant::now(), e.clone());
            }
        }
    }

    /// Sends a request to a VM as this caller, and returns the answer once the connection ends.
    pub async fn ask(&self, vm: usize, caller: Ipv4Addr, id: &str, body: &str) -> String {
        ask(self.vms[vm].address, caller, id, body).await
    }

    /// Returns the number of crashing requests that reached endpoints later than this after the third crash.
    pub fn arrivals_after_third(&self, slack: Duration) -> usize {
        let crashes = self.seen.crashes.lock().expect("sound");
        let Some(third) = crashes.get(2) else {
            return 0;
        };
        let arrivals = self.seen.arrivals.lock().expect("sound");
        arrivals.iter().filter(|t| **t > *third + slack).count()
    }

    pub fn arrivals(&self) -> usize {
        self.seen.arrivals.lock().expect("sound").len()
    }

    /// Lists new instances at the addresses of all endpoints, which aren't leaving.
    pub fn relist(&self) {
        for vm in &self.vms {
            let mut view = vm.site.view();
            let all: Vec<Endpoint> = view.roster.iter().map(|(_, e)| e.clone()).collect();
            for mut e in all {
                view.drop_endpoint(Instant::now(), &e.instance.id);
                e.instance.id = format_smolstr!("{}'", e.instance.id);
                e.leaving = false;
                view.list(Instant::now(), e);
            }
        }
    }

    pub fn crashes(&self) -> usize {
        self.seen.crashes.lock().expect("sound").len()
    }
}

/// Sends a request to an address as this caller.
pub async fn ask(to: SocketAddr, caller: Ipv4Addr, id: &str, body: &str) -> String {
    let socket = TcpSocket::new_v4().expect("a socket is free");
    socket
        .bind(SocketAddr::new(IpAddr::V4(caller), 0))
        .expect("the caller has this address");
    let mut s = socket.connect(to).await.expect("it accepts");
    let head = request("/a/x", id, "connection: close\r\n", body);
    s.write_all(head.as_bytes()).await.expect("it is written");
    let mut out = Vec::new();
    // A reset of the connection ends the answer too.
    let _reset = s.read_to_end(&mut out).await;
    String::from_utf8_lossy(&out).into_owned()
}

async fn start_vm((net, start): (u8, u8), i: u8, store: &Memory) -> Gateway {
    let ip = Ipv4Addr::new(127, net, 0, start);
    let socket = UdpSocket::bind((ip, 0)).await.expect("a port is free");
    let port = socket.local_addr().expect("it is bound").port();
    let own = format!(
        "name = \"vm-{i}\"\navailability_zone = \"z{}\"\nip = \"{ip}\"\npeer_port = {port}\n",
        i % 2
    );
    let site = Site::new(parse_settings(&own), Plain);
    let mut r = rule("/a/", Repeat::Never, 1);
    r.stream = true;
    site.set_catalog(super::catalog(1, vec![r]));
    let socket = Arc::new(gossip::GossipSocket::new(Arc::clone(&site), socket));
    let wanted = Arc::new(Notify::new());
    tokio::spawn(gossip::send(
        Arc::clone(&site),
        Arc::clone(&socket),
        Arc::clone(&wanted),
    ));
    tokio::spawn(gossip::receive(Arc::clone(&site), socket, wanted));
    let states = TcpListener::bind((ip, port)).await.expect("it is free too");
    tokio::spawn(peer_state::serve(Arc::clone(&site), states));
    tokio::spawn(quarantine_sync::sync_with_peers(
        Arc::clone(&site),
        HttpStates,
    ));
    tokio::spawn(quarantine_sync::persist(Arc::clone(&site), store.clone()));
    Gateway::with(site).await
}

fn introduce(site: &Arc<Site<Plain>>, others: &[Arc<Site<Plain>>]) {
    for other in others {
        let s = other.settings.load();
        site.view().peers.upsert(
            s.name.as_str().into(),
            other.zone.clone(),
            s.peer_address(),
            s.millicores(),
        );
    }
}

/// Runs one endpoint: one instance after the other, each listed on all VMs while it runs.
async fn endpoint_lives(sites: Sites, seen: Arc<Seen>) {
    loop {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let n = seen.starts.fetch_add(1, Ordering::Relaxed);
        let e = Endpoint {
            instance: format_smolstr!("i-{n}").into(),
            service: ServiceName::from("portal"),
            address: listener.local_addr().expect("it is bound"),
            zone: ZoneName::from(format!("z{}", n % 2)),
            software: Some("v1".into()),
            slots: 6,
            leaving: false,
            cold_ms: 0,
            holdings: BTreeMap::new(),
            copies: BTreeSet::new(),
        };
        for site in sites.lock().expect("sound").iter() {
            site.view().list(Instant::now(), e.clone());
        }
        start_until_crash(listener, Arc::clone(&seen)).await;
        sleep(RESTARTS_AFTER).await;
        for site in sites.lock().expect("sound").iter() {
            site.view().drop_endpoint(Instant::now(), &e.instance.id);
        }
    }
}

/// Serves until a request crashes the endpoint; then all its connections end, and no process listens any more.
async fn start_until_crash(listener: TcpListener, seen: Arc<Seen>) {
    let (crash, crashed) = watch::channel(false);
    let crash = Arc::new(crash);
    loop {
        let mut over = crashed.clone();
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = over.wait_for(|c| *c) => return,
        };
        let (stream, _) = accepted.expect("it accepts");
        let (crash, seen) = (Arc::clone(&crash), Arc::clone(&seen));
        tokio::spawn(async move {
            tokio::select! {
                () = serve(stream, &crash, &seen) => {}
                _ = over.wait_for(|c| *c) => {}
            }
        });
    }
}

async fn serve(mut stream: TcpStream, crash: &watch::Sender<bool>, seen: &Seen) {
    let mut buf = vec![0; 4096];
    loop {
        let n = match stream.read(&mut buf).await {
            Ok(n) if n > 0 => n,
            _ => return,
        };
        let text = String::from_utf8_lossy(&buf[..n]).into_owned();
        let id = text.lines().find_map(|l| l.strip_prefix("x-id: "));
        let id = id.unwrap_or("").to_owned();
        if text.contains(CRASHING) {
            seen.arrivals.lock().expect("sound").push(Instant::now());
            write_piece(&mut stream, &id).await;
            sleep(CRASHES_AFTER).await;
            seen.crashes.lock().expect("sound").push(Instant::now());
            crash.send_replace(true);
            return;
        }
        if text.contains(CUT_OFF) {
            write_piece(&mut stream, &id).await;
            return;
        }
        sleep(WORK).await;
        let whole = answer(200, &id, "x-mark: m\r\n", "the draft");
        if stream.write_all(&whole).await.is_err() {
            return;
        }
    }
}

/// Writes the head of an answer and a part of its body.
async fn write_piece(stream: &mut TcpStream, id: &str) {
    let head =
        format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-mark: m\r\ncontent-length: 100\r\n\r\npiece");
    stream
        .write_all(head.as_bytes())
        .await
        .expect("it is written");
}

/// Starts a VM's administration port.
pub async fn operators(site: &Arc<Site<Plain>>) -> u16 {
    let free = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let port = free.local_addr().expect("it is bound").port();
    drop(free);
    let routes = operator::routes(site);
    tokio::spawn(async move {
        let listener = poem::listener::TcpListener::bind(("127.0.0.1", port));
        poem::Server::new(listener).run(routes).await
    });
    sleep(Duration::from_millis(50)).await;
    port
}

/// Sends a whole request to a port and reads the answer until the connection ends.
pub async fn call(port: u16, req: &str) -> String {
    let mut s = TcpStream::connect(("127.0.0.1", port))
        .await
        .expect("it accepts");
    s.write_all(req.as_bytes()).await.expect("it is written");
    let mut out = Vec::new();
    s.read_to_end(&mut out).await.expect("it is read");
    String::from_utf8_lossy(&out).into_owned()
}
