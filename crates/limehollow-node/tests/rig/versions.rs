//! Test support: VMs over sockets, and endpoints of two software versions whose streams never end by themselves.

use super::{Does, Plain, Server, catalog, endpoint, parse_settings, request, rule};
use limehollow::catalog::{Catalog, EngineSpec, Rule, ServiceSpec};
use limehollow::id::ZoneName;
use limehollow::retry::Repeat;
use limehollow::roster::Endpoint;
use limehollow_node::edge::Feed;
use limehollow_node::site::Site;
use limehollow_node::{caller, gossip, peer_state, resumption};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

/// The first event of every stream.
const EVENT: &str = "id: 1\ndata: a\n\n";
/// The slots of an endpoint: more than there are streams.
const ENGINE_SLOTS: u32 = 64;
/// The longest gap between two reads of the list that counts as none.
const LIST_GAP: Duration = Duration::from_secs(60);
/// The time within which an answer's first event, or a refusal, arrives.
const ANSWERED_WITHIN: Duration = Duration::from_secs(3);

/// The versions of the endpoints, in turn.
pub const VERSIONS: [&str; 2] = ["v1", "v1.1"];

/// One VM, until it is killed.
#[derive(Debug)]
pub struct Vm {
    pub site: Arc<Site<Plain>>,
    pub address: SocketAddr,
    zone: usize,
    ip: Ipv4Addr,
    peer_port: u16,
    stop: watch::Sender<bool>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Vm {
    fn drop(&mut self) {
        for t in &self.tasks {
            t.abort();
        }
    }
}

/// What a caller got for a stream that it asked for.
#[derive(Debug)]
pub struct Begun {
    /// The text up to the first event, or the whole refusal.
    pub text: String,
    connection: TcpStream,
}

impl Begun {
    /// Returns `true` if the first event has arrived.
    pub fn has_event(&self) -> bool {
        self.text.contains("data: a")
    }

    /// Waits until the connection ends.
    pub async fn broken_off(mut self) {
        let mut rest = Vec::new();
        // A reset ends the answer too.
        let _ended = timeout(ANSWERED_WITHIN, self.connection.read_to_end(&mut rest)).await;
    }
}

/// VMs in several zones, and endpoints of both versions in each zone.
#[derive(Debug)]
pub struct VersionSite {
    pub vms: Vec<Vm>,
    /// The endpoints, with the version of each.
    pub endpoints: Vec<(Server, &'static str)>,
    rule: Rule,
    zones: usize,
}

/// Returns the rule for streams that may be taken up.
pub fn resumable_rule() -> Rule {
    Rule {
        stream: true,
        resumable: true,
        timeout: Duration::from_secs(20),
        ..rule("/a/", Repeat::Allowed, 2)
    }
}

impl VersionSite {
    /// Starts VMs with addresses in 127.`net`, and in each zone an endpoint of each version.
    pub async fn start(net: u8, zones: usize, vms: usize) -> Self {
        let mut endpoints = Vec::new();
        for i in 0..zones * 2 {
            endpoints.push((Server::start(vec![streams()]).await, VERSIONS[i % 2]));
        }
        Self::with(net, zones, vms, endpoints).await
    }

    /// Starts VMs with addresses in 127.`net`, before these endpoints, of which each zone gets two in turn.
    pub async fn with(
        net: u8,
        zones: usize,
        vms: usize,
        endpoints: Vec<(Server, &'static str)>,
    ) -> Self {
        let mut site = Self {
            vms: Vec::new(),
            endpoints,
            rule: resumable_rule(),
            zones,
        };
        for i in 0..vms {
            let ip = Ipv4Addr::new(127, net, 0, u8::try_from(i + 1).expect("there are few"));
            let vm = site.start_vm(i, ip, 0, true).await;
            site.vms.push(vm);
        }
        site.introduce();
        site.settle().await;
        site
    }

    /// Waits until every VM has heard the others, or the leaders of their zones.
    pub async fn settle(&self) {
        sleep(Duration::from_millis(500)).await;
    }

    async fn start_vm(&self, i: usize, ip: Ipv4Addr, port: u16, is_first_start: bool) -> Vm {
        let socket = UdpSocket::bind((ip, port)).await.expect("the port is free");
        let port = socket.local_addr().expect("it is bound").port();
        let zone = i % self.zones;
        let own = format!(
            "name = \"vm-{i}\"\navailability_zone = \"z{zone}\"\nip = \"{ip}\"\npeer_port = {port}\n\
             first_start = {is_first_start}\n"
        );
        let site = Site::new(parse_settings(&own), Plain);
        site.set_catalog(engine_catalog(1, ENGINE_SLOTS, self.rule.clone()));
        site.view()
            .feed_reads
            .record_read(Feed::Endpoints, Instant::now(), LIST_GAP);
        for (n, (server, version)) in self.endpoints.iter().enumerate() {
            let listed = self.listed(n, server.address, version);
            site.view().list(Instant::now(), listed);
        }
        let callers = TcpListener::bind((ip, 0)).await.expect("a port is free");
        let peers = TcpListener::bind((ip, port)).await.expect("it is free too");
        let address = callers.local_addr().expect("it is bound");
        let (stop, stopped) = watch::channel(false);
        Vm {
            tasks: run(&site, socket, callers, peers, stopped),
            site,
            address,
            zone,
            ip,
            peer_port: port,
            stop,
        }
    }

    fn listed(&self, n: usize, address: SocketAddr, version: &str) -> Endpoint {
        Endpoint {
            zone: ZoneName::from(format!("z{}", n / 2 % self.zones)),
            software: Some(version.into()),
            slots: 64,
            ..endpoint(n, address)
        }
    }

    /// Makes all VMs known to each other.
    pub fn introduce(&self) {
        for vm in &self.vms {
            let mut view = vm.site.view();
            view.has_vms = true;
            for other in &self.vms {
                let s = other.site.settings.load();
                let (name, zone) = (s.name.as_str().into(), other.site.zone.clone());
                view.peers
                    .upsert(name, zone, s.peer_address(), s.millicores());
            }
        }
    }

    /// Kills a VM.
    pub fn kill(&mut self, vm: usize) {
        for t in self.vms[vm].tasks.drain(..) {
            t.abort();
        }
    }

    /// Starts a VM again that was killed, at its address, with nothing that it knew but the other VMs and the list.
    pub async fn start_again(&mut self, vm: usize) {
        let (ip, port) = (self.vms[vm].ip, self.vms[vm].peer_port);
        // The tasks that were aborted let go of their sockets at once.
        sleep(Duration::from_millis(20)).await;
        self.vms[vm] = self.start_vm(vm, ip, port, false).await;
        self.introduce();
    }

    /// Asks a VM to stop, and ends it a little later.
    pub async fn stop(&mut self, vm: usize) {
        self.vms[vm].site.stop();
        self.vms[vm].stop.send_replace(true);
        sleep(Duration::from_millis(200)).await;
        self.kill(vm);
    }

    /// Has all VMs learn of a change to an endpoint's entry.
    pub fn relist<F>(&self, n: usize, change: F)
    where
        F: Fn(&mut Endpoint),
    {
        for vm in &self.vms {
            let (server, version) = &self.endpoints[n];
            let mut entry = self.listed(n, server.address, version);
            change(&mut entry);
            vm.site.view().list(Instant::now(), entry);
        }
    }

    /// Puts a configuration with another rule in force on all VMs.
    pub fn set_rule(&self, version: u64, rule: &Rule) {
        for vm in &self.vms {
            vm.site
                .set_catalog(engine_catalog(version, ENGINE_SLOTS, rule.clone()));
        }
    }

    /// Returns the VMs of a zone.
    pub fn zone(&self, zone: usize) -> Vec<usize> {
        (0..self.vms.len())
            .filter(|i| self.vms[*i].zone == zone)
            .collect()
    }

    /// Begins a stream at a VM.
    pub async fn begin(&self, vm: usize, id: &str) -> Begun {
        ask_for_stream(self.vms[vm].address, id, "").await
    }

    /// Takes up at a VM the stream that request `first` began.
    pub async fn take_up(&self, vm: usize, id: &str, first: &str) -> Begun {
        let more = format!("x-last-event: 1\r\nx-takes-up: {first}\r\n");
        ask_for_stream(self.vms[vm].address, id, &more).await
    }

    /// Takes up at a VM a stream without naming the request that began it.
    pub async fn take_up_unnamed(&self, vm: usize, id: &str) -> Begun {
        ask_for_stream(self.vms[vm].address, id, "x-last-event: 1\r\n").await
    }

    /// Has the lists of all VMs be complete now.
    pub fn refresh_lists(&self) {
        for vm in &self.vms {
            let mut view = vm.site.view();
            view.feed_reads
                .record_read(Feed::Endpoints, Instant::now(), LIST_GAP);
        }
    }

    /// Returns the version of the endpoint that a request reached last.
    pub fn version_of(&self, id: &str) -> Option<&'static str> {
        let reached = self.endpoints.iter().rfind(|(s, _)| s.has_received(id));
        reached.map(|(_, version)| *version)
    }
}

/// Returns a configuration with one rule, whose service runs models on endpoints with so many slots.
pub fn engine_catalog(version: u64, slots: u32, rule: Rule) -> Catalog {
    let engine = EngineSpec {
        slots,
        kv_tokens: 100_000,
        megabytes: 1000.0,
        adapter_places: 1,
        loads_per_second: 1.0,
        models: BTreeMap::new(),
    };
    let service = ServiceSpec {
        health_path: "/health".into(),
        max_connections: 100,
        engine: Some(engine),
        cold: None,
    };
    let mut c = catalog(version, vec![rule]);
    c.services.insert("portal".into(), service);
    c
}

fn run(
    site: &Arc<Site<Plain>>,
    socket: UdpSocket,
    callers: TcpListener,
    peers: TcpListener,
    stopped: watch::Receiver<bool>,
) -> Vec<JoinHandle<()>> {
    let site = || Arc::clone(site);
    let socket = Arc::new(gossip::GossipSocket::new(site(), socket));
    let wake = Arc::new(Notify::new());
    vec![
        tokio::spawn(gossip::send(site(), Arc::clone(&socket), Arc::clone(&wake))),
        tokio::spawn(gossip::send_questions(site(), Arc::clone(&socket))),
        tokio::spawn(gossip::send_origins(site(), Arc::clone(&socket))),
        tokio::spawn(gossip::receive(site(), socket, wake)),
        tokio::spawn(gossip::sweep(site())),
        tokio::spawn(resumption::complete_history(site())),
        tokio::spawn(peer_state::serve(site(), peers)),
        tokio::spawn(caller::serve(site(), callers, stopped)),
    ]
}

/// Returns an action of an endpoint that sends a stream's first event and then nothing.
pub fn streams() -> Does {
    let head = "HTTP/1.1 200 x\r\nx-mark: m\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
    Does::WritesAndWaits(format!("{head}{:x}\r\n{EVENT}\r\n", EVENT.len()).into_bytes())
}

/// Asks a VM for a stream and reads up to its first event, or to the end.
pub async fn ask_for_stream(to: SocketAddr, id: &str, more: &str) -> Begun {
    let mut connection = TcpStream::connect(to).await.expect("it accepts");
    let more = format!("connection: close\r\n{more}");
    let head = request("/a/x", id, &more, "");
    connection
        .write_all(head.as_bytes())
        .await
        .expect("it is written");
    let mut text = String::new();
    let mut buf = [0; 4096];
    let until = Instant::now() + ANSWERED_WITHIN;
    while !text.contains("data: a") {
        match tokio::time::timeout_at(until, connection.read(&mut buf)).await {
            Ok(Ok(n)) if n > 0 => text.push_str(&String::from_utf8_lossy(&buf[..n])),
            // The answer has ended, or nothing came in time.
            Ok(_) | Err(_) => break,
        }
    }
    Begun { text, connection }
}
