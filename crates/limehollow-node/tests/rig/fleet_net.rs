//! The ways between the VMs of a fleet: messages, questions and states go by memory, so that nothing waits for a socket.

use super::Plain;
use super::fleet_store::at_rate;
use limehollow::crash_record::CrashRecord;
use limehollow::log_position::LogPosition;
use limehollow_node::edge::PeerStates;
use limehollow_node::gossip::{Outgoing, handle_message};
use limehollow_node::query;
use limehollow_node::site::Site;
use limehollow_wire::gossip::{Members, Query, QueryBody, State, encode_crashes, encode_state};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// The way of a message or a state between two VMs.
const WAY: Duration = Duration::from_millis(2);
/// How long a VM waits for the state of another one that stands still.
const FETCH_WITHIN: Duration = Duration::from_secs(2);
/// The bytes a second of a VM's link: that of the weakest on the users' sites.
const LINK_BYTES_PER_S: f64 = 2.5e6;

/// Where messages and states go, and which zones are cut off from all others.
#[derive(Clone, Debug, Default)]
pub struct Net(pub(super) Arc<Mutex<Ways>>);

#[derive(Debug, Default)]
pub(super) struct Ways {
    pub(super) sites: BTreeMap<SocketAddr, (usize, Arc<Site<Plain>>)>,
    pub(super) cut: BTreeSet<usize>,
    /// Of so many messages one arrives; all do where it is zero.
    pub(super) arrives_one_in: usize,
    pub(super) sent: usize,
    /// VMs that stand still: what reaches them waits.
    pub(super) still: BTreeSet<SocketAddr>,
    /// Questions that were sent, by what they are about.
    pub(super) queries: BTreeMap<&'static str, usize>,
    /// Bytes of records of crashing requests that reached each VM.
    pub(super) crash_bytes: BTreeMap<SocketAddr, usize>,
    /// Until when each VM's link is full with states that it hands over, and how many it has handed over.
    pub(super) sending: BTreeMap<SocketAddr, (Instant, usize)>,
}

impl Net {
    fn reach(&self, from_zone: usize, to: SocketAddr) -> Option<(usize, Arc<Site<Plain>>)> {
        let ways = self.0.lock().expect("sound");
        let (zone, site) = ways.sites.get(&to)?;
        let is_cut = ways.cut.contains(zone) || ways.cut.contains(&from_zone);
        (*zone == from_zone || !is_cut).then(|| (*zone, Arc::clone(site)))
    }

    /// Tells whether a message is lost.
    fn loses(&self) -> bool {
        let mut ways = self.0.lock().expect("sound");
        ways.sent += 1;
        ways.arrives_one_in > 0 && !ways.sent.is_multiple_of(ways.arrives_one_in)
    }

    fn note_crash_bytes(&self, to: SocketAddr, records: &[CrashRecord]) {
        let bytes = encode_crashes(records).expect("they can be written").len();
        let mut ways = self.0.lock().expect("sound");
        *ways.crash_bytes.entry(to).or_default() += bytes;
    }

    /// Gives how long a VM takes to send so many bytes after all that it sends already.
    fn sends(&self, vm: SocketAddr, bytes: usize) -> Duration {
        let now = Instant::now();
        let mut ways = self.0.lock().expect("sound");
        let (until, states) = ways.sending.entry(vm).or_insert((now, 0));
        *until = now.max(*until) + at_rate(bytes, LINK_BYTES_PER_S);
        *states += 1;
        *until - now
    }

    fn stands_still(&self, vm: SocketAddr) -> bool {
        self.0.lock().expect("sound").still.contains(&vm)
    }

    /// Waits for as long as a VM stands still.
    async fn goes_on(&self, vm: SocketAddr) {
        while self.stands_still(vm) {
            sleep(WAY).await;
        }
    }

    fn note_query(&self, q: &Query) {
        let about = match q.body {
            QueryBody::Configuration => "configuration",
            QueryBody::Start(_) => "start",
            QueryBody::Tokens { .. } => "tokens",
            QueryBody::Assignment { .. } => "place",
            QueryBody::Earnings { .. } => "earnings",
        };
        let mut ways = self.0.lock().expect("sound");
        *ways.queries.entry(about).or_default() += 1;
    }

    /// Brings a question to another VM and its answer back.
    pub(super) async fn query(self, from: (usize, SocketAddr), to: SocketAddr, q: Query) {
        self.note_query(&q);
        sleep(WAY).await;
        self.goes_on(to).await;
        let Some((_, site)) = self.reach(from.0, to) else {
            return;
        };
        if self.loses() {
            return;
        }
        let answer = query::answer(&site, q);
        sleep(WAY).await;
        self.goes_on(from.1).await;
        if let Some((_, asker)) = self.reach(from.0, from.1) {
            asker.queries.complete(answer);
        }
    }

    pub(super) fn deliver(&self, from_zone: usize, (message, to): Outgoing) {
        for address in to {
            let Some((zone, site)) = self.reach(from_zone, address) else {
                continue;
            };
            if self.loses() {
                continue;
            }
            if !message.crashes.is_empty() {
                self.note_crash_bytes(address, &message.crashes);
            }
            let (net, message) = (self.clone(), message.clone());
            tokio::spawn(async move {
                sleep(WAY).await;
                net.goes_on(address).await;
                if let Some(on) = handle_message(&site, message) {
                    net.deliver(zone, on);
                }
            });
        }
    }
}

/// The way of one VM to the others' states.
#[derive(Clone, Debug)]
pub(super) struct Neighbours(pub(super) Net, pub(super) usize, pub(super) SocketAddr);

impl PeerStates for Neighbours {
    async fn fetch(&self, from: SocketAddr) -> Result<State, String> {
        sleep(WAY).await;
        let (_, site) = self.0.reach(self.1, from).ok_or("cut off")?;
        Ok(site.state())
    }

    async fn fetch_configuration(&self, from: SocketAddr) -> Result<State, String> {
        sleep(WAY).await;
        let goes_on = timeout(FETCH_WITHIN, self.0.goes_on(from)).await;
        goes_on.map_err(|e| e.to_string())?;
        let (_, site) = self.0.reach(self.1, from).ok_or("cut off")?;
        Ok(site.configuration())
    }

    async fn fetch_start(
        &self,
        from: SocketAddr,
        beyond: LogPosition,
    ) -> Result<Option<State>, String> {
        sleep(WAY).await;
        let (_, site) = self.0.reach(self.1, from).ok_or("cut off")?;
        if !site.has_all(beyond) {
            return Ok(None);
        }
        let state = site.state();
        let bytes = encode_state(&state).expect("it can be written").len();
        sleep(self.0.sends(from, bytes)).await;
        Ok(Some(state))
    }

    async fn fetch_members(&self, from: SocketAddr) -> Result<Members, String> {
        sleep(WAY).await;
        let (_, site) = self.0.reach(self.1, from).ok_or("cut off")?;
        Ok(site.state().members)
    }

    async fn fetch_crashes(&self, from: SocketAddr) -> Result<Vec<CrashRecord>, String> {
        sleep(WAY).await;
        let (_, site) = self.0.reach(self.1, from).ok_or("cut off")?;
        let records = site.view().quarantine.records(Instant::now());
        self.0.note_crash_bytes(self.2, &records);
        Ok(records)
    }
}
