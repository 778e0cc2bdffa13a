//! What VMs of a site tell each other, by datagram.
//!
//! Each VM says several times a second what its requests take at the endpoints and what its callers ask
//! for; the order giver adds what it did. A lost datagram is made good by the next.

use crate::edge::{Protocol, Vm};
use crate::logbook;
use crate::settings::NodeSettings;
use crate::site::{Known, Site};
use limehollow::balance::Taken;
use limehollow::id::{EndpointKey, VmName};
use limehollow::roster::HoldingsReport;
use limehollow_wire::word::{Word, decode, encode};
use smol_str::{SmolStr, format_smolstr};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::{Instant, interval, sleep, timeout};

/// How often a VM speaks: a tenth of the tightest objective of the kinds that run models.
const EVERY: Duration = Duration::from_millis(120);
/// How often at most it speaks between its times, when a request waits for something.
const URGENT_EVERY: Duration = Duration::from_millis(15);
/// For how long the order giver repeats a report: some datagrams in a row may be lost.
const REPEATED_FOR: Duration = Duration::from_millis(1500);
/// Reports in one word at most, so that it fits in few packets.
const MAX_REPORTS: usize = 8;
/// The largest datagram that is read.
const MAX_WORD: usize = 16 << 10;
/// After how long what a VM's callers asked for counts no more.
const DEMAND_LIFE: Duration = Duration::from_secs(2);
/// How often what is kept at rest is swept.
const SWEEP_EVERY: Duration = Duration::from_secs(1);

/// Says this VM's words for as long as the process lives.
pub async fn speak<P>(site: Arc<Site<P>>, socket: Arc<UdpSocket>, wanted: Arc<Notify>)
where
    P: Protocol,
{
    let mut number = limehollow_edge::process::incarnation();
    let seeds = seeds(&site.settings.load());
    let mut last = Instant::now();
    loop {
        let urgent = timeout(EVERY, site.urgent.notified()).await.is_ok();
        if urgent {
            // The order giver may be on this VM.
            wanted.notify_one();
            sleep((last + URGENT_EVERY).saturating_duration_since(Instant::now())).await;
        }
        last = Instant::now();
        number += 1;
        let (word, vms) = word(&site, number, urgent);
        let bytes = match encode(&word) {
            Ok(b) => b,
            Err(e) => {
                tracing::error!(error = %e, "a word can't be written");
                continue;
            }
        };
        for vm in &vms {
            send(&socket, &bytes, vm.address).await;
        }
        if vms.is_empty() {
            for a in &seeds {
                send(&socket, &bytes, *a).await;
            }
        }
    }
}

/// Gives where the datagrams of the VMs arrive that the settings name, other than this one's.
fn seeds(settings: &NodeSettings) -> Vec<SocketAddr> {
    let named = settings
        .seeds
        .iter()
        .filter_map(|s| s.parse::<SocketAddr>().ok());
    let others = named.filter(|a| a.ip() != settings.ip);
    others
        .map(|a| SocketAddr::new(a.ip(), settings.peer_port))
        .collect()
}

async fn send(socket: &UdpSocket, bytes: &[u8], to: SocketAddr) {
    // A VM that is gone refuses or is silent; its silence shows elsewhere.
    if let Err(e) = socket.send_to(bytes, to).await {
        tracing::debug!(%to, error = %e, "a word was not sent");
    }
}

fn word<P>(site: &Site<P>, number: u64, urgent: bool) -> (Word, Vec<Vm>)
where
    P: Protocol,
{
    let now = Instant::now();
    let mut known = site.known();
    let known = &mut *known;
    known
        .reports
        .retain(|_, (at, _)| now.duration_since(*at) < REPEATED_FOR);
    let mut reports: Vec<&(Instant, HoldingsReport)> = known.reports.values().collect();
    reports.sort_by_key(|(at, _)| std::cmp::Reverse(*at));
    let named = |(k, t): (EndpointKey, Taken)| {
        let e = known.roster.get(k)?;
        Some((e.instance.clone(), t))
    };
    #[expect(clippy::cast_possible_truncation, reason = "rounding is harmless")]
    let demand = known
        .arrivals
        .rates(now)
        .into_iter()
        .map(|(m, r)| (m, r as f32));
    let word = Word {
        from: SmolStr::new(site.me.as_str()),
        address: format_smolstr!("{}", site.settings.load().peer_address()),
        number,
        taken: known.balance.own().filter_map(named).collect(),
        demand: demand.collect(),
        urgent,
        reports: reports
            .into_iter()
            .take(MAX_REPORTS)
            .map(|(_, r)| r.clone())
            .collect(),
        positions: known.positions,
    };
    (word, known.vms.values().cloned().collect())
}

/// Takes in other VMs' words for as long as the process lives.
pub async fn hear<P>(site: Arc<Site<P>>, socket: Arc<UdpSocket>, wanted: Arc<Notify>)
where
    P: Protocol,
{
    let mut buf = vec![0; MAX_WORD];
    loop {
        let n = match socket.recv_from(&mut buf).await {
            Ok((n, _)) => n,
            Err(e) => {
                pause_after(&e).await;
                continue;
            }
        };
        match decode(&buf[..n]) {
            Ok(w) => {
                if w.urgent {
                    wanted.notify_one();
                }
                take_in(&site, w);
            }
            Err(e) => tracing::debug!(error = %e, "a word can't be read"),
        }
    }
}

async fn pause_after(e: &io::Error) {
    tracing::debug!(error = %e, "no word could be read");
    sleep(URGENT_EVERY).await;
}

fn take_in<P>(site: &Site<P>, w: Word)
where
    P: Protocol,
{
    let now = Instant::now();
    let from = VmName::from(w.from.as_str());
    {
        let mut known = site.known();
        let key = |(i, t): (SmolStr, Taken)| Some((known.roster.key(&i)?, t));
        let taken: Vec<(EndpointKey, Taken)> = w.taken.into_iter().filter_map(key).collect();
        known.balance.hear(now, from.clone(), taken);
        known.demand.insert(from, (now, w.demand));
        if !known.vms.contains_key(&w.from)
            && let Ok(address) = w.address.parse()
        {
            let name = w.from.clone();
            tracing::info!(vm = %name, %address, "a VM was heard of first from itself");
            known.vms.insert(name.clone(), Vm { name, address });
        }
    }
    for r in &w.reports {
        site.report(now, r);
    }
    site.note_peer_positions(&w.from, w.positions);
}

/// Sweeps once a second what is kept at rest, and says how many log lines were left out.
pub async fn sweep<P>(site: Arc<Site<P>>)
where
    P: Protocol,
{
    let mut ticks = interval(SWEEP_EVERY);
    loop {
        ticks.tick().await;
        let now = Instant::now();
        {
            let mut known = site.known();
            let known: &mut Known = &mut known;
            known.balance.refresh(now);
            known
                .demand
                .retain(|_, (at, _)| now.duration_since(*at) < DEMAND_LIFE);
            site.pool.sweep(|k| known.roster.get(k).is_some());
        }
        let out = logbook::refill();
        if out > 0 {
            site.metrics.lines_left_out.inc_by(out);
            tracing::warn!(lines = out, "log lines on requests were left out");
        }
    }
}
