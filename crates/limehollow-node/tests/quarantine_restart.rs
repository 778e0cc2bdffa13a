//! What a VM learns of a crashing request while other VMs restart: the order in which messages, answers and restarts
//! reach it is set by the test. Runs on paused time.

mod rig;

use limehollow::crash_record::{CrashRecord, StartTag, Timing};
use limehollow::fingerprint::{Fingerprint, Identity, OriginTag};
use limehollow::id::ZoneName;
use limehollow::instance::Instance;
use limehollow::log_position::LogPosition;
use limehollow::quarantine::Standing;
use limehollow_node::edge::PeerStates;
use limehollow_node::gossip::{GossipSender, Outgoing, handle_message};
use limehollow_node::quarantine_sync::sync_with_peers;
use limehollow_node::settings::NodeSettings;
use limehollow_node::site::Site;
use limehollow_wire::gossip::{Members, Message, Scope, State};
use rig::{Plain, parse_settings};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

/// How long a query to another VM is on its way, and how long its answer.
const NETWORK_DELAY: Duration = Duration::from_millis(2);
/// Shorter than that: the query has been sent and hasn't arrived.
const QUERY_UNDER_WAY: Duration = Duration::from_millis(1);
/// Longer than a fetch takes, and than the pause after it.
const FETCHED: Duration = Duration::from_millis(150);
/// The pauses after an event: none, until the query is on its way, and until its answer was processed.
const PAUSES: [Duration; 3] = [Duration::ZERO, QUERY_UNDER_WAY, FETCHED];
/// The time allowed from the third crash until no VM forwards the request, less half a second for detecting the crash
/// and for the request's own transit.
const KNOWN_WITHIN: Duration = Duration::from_millis(2500);
/// The VMs, with their zones: one that starts, one of another zone that restarts, and a neighbour of the first one that
/// has known of the crashes all along.
const VMS: [(&str, &str); 3] = [("starting", "z1"), ("restarted", "z0"), ("knowing", "z1")];
const STARTING: usize = 0;
const RESTARTED: usize = 1;
const KNOWING: usize = 2;

fn request() -> Fingerprint {
    Fingerprint::of(&Identity {
        caller: "",
        method: "POST",
        host: "portal.example",
        path: "/draft/",
        body: b"draft",
    })
}

/// One process of a VM.
struct Process {
    site: Arc<Site<Plain>>,
    sender: GossipSender<Plain>,
    sync: JoinHandle<()>,
}

impl Drop for Process {
    fn drop(&mut self) {
        self.sync.abort();
    }
}

/// The processes that run now, by address. A fetch reaches the process that runs when it arrives.
#[derive(Clone, Debug, Default)]
struct Running(Arc<Mutex<BTreeMap<SocketAddr, Arc<Site<Plain>>>>>);

impl PeerStates for Running {
    async fn fetch(&self, _: SocketAddr) -> Result<State, String> {
        Err("not used".to_owned())
    }

    async fn fetch_configuration(&self, _: SocketAddr) -> Result<State, String> {
        Err("not used".to_owned())
    }

    async fn fetch_start(&self, _: SocketAddr, _: LogPosition) -> Result<Option<State>, String> {
        Err("not used".to_owned())
    }

    async fn fetch_members(&self, _: SocketAddr) -> Result<Members, String> {
        Err("not used".to_owned())
    }

    async fn fetch_crashes(&self, from: SocketAddr) -> Result<Vec<CrashRecord>, String> {
        sleep(NETWORK_DELAY).await;
        let site = {
            let running = self.0.lock().expect("the lock is not poisoned");
            running.get(&from).map(Arc::clone)
        };
        let site = site.ok_or("no process listens")?;
        let records = site.view().quarantine.records(Instant::now());
        sleep(NETWORK_DELAY).await;
        Ok(records)
    }
}

/// Three VMs, whose messages go where the test sends them.
struct Vms {
    running: Running,
    processes: Vec<Process>,
}

impl Vms {
    fn start() -> Self {
        let running = Running::default();
        let processes = (0..VMS.len()).map(|vm| start(&running, vm)).collect();
        Self { running, processes }
    }

    /// Has a VM know of three crashes under the request, of which its messages carry no records any more.
    async fn record_crashes(&mut self, vm: usize) {
        let origin = OriginTag::from(IpAddr::from(Ipv4Addr::LOCALHOST));
        for endpoint in ["e-0", "e-1", "e-2"] {
            let start = StartTag::from(&Instance::from(endpoint));
            let mut view = self.processes[vm].site.view();
            let quarantine = &mut view.quarantine;
            quarantine.record_crash(Instant::now(), (request(), origin), start, Timing::Early);
        }
        let carries_records = |(message, _): &Outgoing| !message.crashes.is_empty();
        while self.next_messages(vm).await.iter().any(carries_records) {}
    }

    /// Ends a VM's process and starts another one, which has no records.
    fn restart(&mut self, vm: usize) {
        self.processes[vm] = start(&self.running, vm);
    }

    /// Returns the next messages of a VM, with their targets.
    async fn next_messages(&mut self, vm: usize) -> Vec<Outgoing> {
        self.processes[vm].sender.next(&Notify::new()).await
    }

    /// Returns a VM's next message of a scope.
    async fn next_of_scope(&mut self, vm: usize, scope: Scope) -> Message {
        loop {
            let messages = self.next_messages(vm).await.into_iter().map(|(m, _)| m);
            if let Some(message) = messages.into_iter().find(|m| m.scope == scope) {
                return message;
            }
        }
    }

    fn deliver(&self, to: usize, message: Message) {
        if let Some(relayed) = handle_message(&self.processes[to].site, message) {
            self.send(relayed);
        }
    }

    /// Delivers a message to all its targets.
    fn send(&self, (message, to): Outgoing) {
        for (vm, process) in self.processes.iter().enumerate() {
            if to.contains(&process.site.settings.load().peer_address()) {
                self.deliver(vm, message.clone());
            }
        }
    }

    fn is_quarantined(&self, vm: usize) -> bool {
        let view = self.processes[vm].site.view();
        let standing = view.quarantine.standing(Instant::now(), request());
        matches!(standing, Standing::Quarantined(_))
    }

    /// Delivers the messages of all VMs until all refuse the request. Returns how long that took.
    async fn refused_by_all(&mut self) -> Duration {
        let began = Instant::now();
        while !(0..VMS.len()).all(|vm| self.is_quarantined(vm)) && began.elapsed() <= KNOWN_WITHIN {
            for vm in 0..VMS.len() {
                for message in self.next_messages(vm).await {
                    self.send(message);
                }
            }
        }
        began.elapsed()
    }
}

fn settings_of(vm: usize) -> NodeSettings {
    let (name, zone) = VMS[vm];
    parse_settings(&format!(
        "name = \"{name}\"\navailability_zone = \"{zone}\"\nip = \"127.1.0.{}\"\npeer_port = 7000\n",
        vm + 1
    ))
}

fn start(running: &Running, vm: usize) -> Process {
    let site = Site::new(settings_of(vm), Plain);
    for other in (0..VMS.len()).map(settings_of) {
        let zone = ZoneName::from(other.availability_zone.as_str());
        site.view().peers.upsert(
            other.name.as_str().into(),
            zone,
            other.peer_address(),
            other.millicores(),
        );
    }
    let address = site.settings.load().peer_address();
    let mut all = running.0.lock().expect("the lock is not poisoned");
    all.insert(address, Arc::clone(&site));
    drop(all);
    let sync = tokio::spawn(sync_with_peers(Arc::clone(&site), running.clone()));
    Process {
        sender: GossipSender::new(Arc::clone(&site)),
        site,
        sync,
    }
}

/// Something that happens at the VM that starts, or at the one that restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    /// A message arrives from the process of the restarted VM that knew of the crashes.
    FormerMessage,
    /// The process that knew of the crashes ends, and another one starts.
    Restart,
    /// A message arrives from the process of the restarted VM that runs now.
    CurrentMessage,
    /// A message arrives from the VM that has known of the crashes all along.
    KnowingMessage,
}

/// Lets the events happen in this order, each with the time until the next one, and returns the time from then until
/// all VMs refuse the request.
async fn play(events: &[(Event, Duration)]) -> Duration {
    let mut vms = Vms::start();
    vms.record_crashes(RESTARTED).await;
    vms.record_crashes(KNOWING).await;
    let former = vms.next_of_scope(RESTARTED, Scope::Zone).await;
    for (event, pause) in events {
        match event {
            Event::FormerMessage => vms.deliver(STARTING, former.clone()),
            Event::Restart => vms.restart(RESTARTED),
            Event::CurrentMessage => {
                let message = vms.next_of_scope(RESTARTED, Scope::Zone).await;
                vms.deliver(STARTING, message);
            }
            Event::KnowingMessage => {
                let message = vms.next_of_scope(KNOWING, Scope::Vm).await;
                vms.deliver(STARTING, message);
            }
        }
        sleep(*pause).await;
    }
    vms.refused_by_all().await
}

/// Returns all orders of the events, with each of the pauses after each event.
fn orders(events: &[Event]) -> Vec<Vec<(Event, Duration)>> {
    if events.is_empty() {
        return vec![Vec::new()];
    }
    let mut all = Vec::new();
    for (i, first) in events.iter().enumerate() {
        let others = [&events[..i], &events[i + 1..]].concat();
        for rest in orders(&others) {
            for pause in PAUSES {
                let mut order = vec![(*first, pause)];
                order.extend(&rest);
                all.push(order);
            }
        }
    }
    all
}

#[tokio::test(start_paused = true)]
async fn answer_of_a_process_that_restarted_is_not_taken_for_its_former_records() {
    let mut vms = Vms::start();
    vms.record_crashes(RESTARTED).await;
    vms.record_crashes(KNOWING).await;
    let former = vms.next_of_scope(RESTARTED, Scope::Zone).await;
    vms.deliver(STARTING, former);
    // The VM restarts while the query is on its way.
    sleep(QUERY_UNDER_WAY).await;
    vms.restart(RESTARTED);
    sleep(FETCHED).await;
    assert!(
        !vms.is_quarantined(STARTING),
        "the process that answered has no records"
    );
    let took = vms.refused_by_all().await;
    assert!(took <= KNOWN_WITHIN, "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn records_arrive_in_any_order_of_restart_and_messages() {
    let events = [
        Event::FormerMessage,
        Event::Restart,
        Event::CurrentMessage,
        Event::KnowingMessage,
    ];
    let orders = orders(&events);
    let mut late = Vec::new();
    let mut longest = Duration::ZERO;
    for order in &orders {
        let took = play(order).await;
        longest = longest.max(took);
        if took > KNOWN_WITHIN {
            late.push(order);
        }
    }
    println!("{} orders: at most {longest:?}", orders.len());
    assert!(late.is_empty(), "{} orders are late: {late:?}", late.len());
}
