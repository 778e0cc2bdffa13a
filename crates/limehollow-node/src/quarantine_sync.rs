//! Requests that crash endpoints, as all VMs and the platform's store come to know the same of them.
//!
//! Records go round with the VMs' messages when they change. Who missed those (it has just started, or was cut off) sees by
//! the digest in others' messages that they know other records, and asks one of them for all. What is quarantined is also
//! kept in the platform's store, for when all VMs are started anew at once.

use crate::edge::{PeerStates, Protocol, Store};
use crate::sender::interval;
use crate::site::Site;
use limehollow::balance::MESSAGE_LIFE;
use limehollow::crash_record::CrashRecord;
use limehollow::fingerprint::Fingerprint;
use limehollow::quarantine::Quarantine;
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// How long two VMs may differ before one asks the other, in messages of a VM and at most: what has just changed is still on its
/// way in messages. It is drawn anew each time up to twice this, so that not all VMs of a zone ask the same one at once.
const DIFFERS_FOR_MESSAGES: f64 = 2.5;
const DIFFERS_FOR: Duration = Duration::from_millis(300);
/// How long nothing may have changed before a VM asks: in a burst of crashes messages bring most of it.
const RESTS_FOR: Duration = Duration::from_millis(300);
/// The time between two questions, and how much longer it is for each record that came: a record takes 32 bytes, and half of
/// the 12 kB a second that a VM may take for what it tells others is left for these.
const ASK_EVERY: Duration = Duration::from_millis(100);
const PAUSE_PER_RECORD: Duration = Duration::from_millis(5);
/// The time between tries to reach the store, at first and at most.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
const LONGEST_PAUSE: Duration = Duration::from_secs(8);
/// How often a VM reads the store that hears no other VM: the store is all that tells it then.
const READ_ALONE_EVERY: Duration = Duration::from_secs(1);

/// Asks other VMs for what this one doesn't know, for as long as the process lives.
pub async fn sync_with_peers<P, S>(site: Arc<Site<P>>, states: S)
where
    P: Protocol,
    S: PeerStates,
{
    loop {
        site.quarantine_differs.notified().await;
        if !has_nothing(&site) {
            come_to_rest(&site).await;
        }
        while let Some((vm, said)) = differing(&site) {
            let came = ask(&site, &states, &vm, said).await;
            sleep(ASK_EVERY.max(PAUSE_PER_RECORD.saturating_mul(came))).await;
        }
    }
}

/// Waits until what has just changed here, or at others, had time to arrive in messages.
async fn come_to_rest<P>(site: &Site<P>)
where
    P: Protocol,
{
    let neighbours = site.view().peers.neighbours().len();
    let differs_for = interval(neighbours)
        .mul_f64(DIFFERS_FOR_MESSAGES)
        .min(DIFFERS_FOR);
    loop {
        sleep(differs_for.mul_f64(1.0 + rand::random::<f64>())).await;
        let rests = site.view().quarantine.unchanged_for(site.now());
        if rests.is_none_or(|t| t >= RESTS_FOR) {
            return;
        }
    }
}

/// Asks another VM for all that it knows. Gives how many records came.
async fn ask<P, S>(site: &Site<P>, states: &S, vm: &str, said: ReportedDigest) -> u32
where
    P: Protocol,
    S: PeerStates,
{
    match states.fetch_crashes(said.address).await {
        Ok(records) => {
            take_in(site, vm, &records);
            // Not what it said before: it may have started again since, and know nothing.
            let answered = digest(site.now(), &records);
            site.view().quarantine.mark_contained(answered);
            u32::try_from(records.len()).unwrap_or(u32::MAX)
        }
        Err(why) => {
            tracing::debug!(%vm, why, "no records of crashing requests");
            0
        }
    }
}

/// Gives the digest of all that a VM knows whose records these are.
fn digest(now: Instant, records: &[CrashRecord]) -> u64 {
    let mut theirs = Quarantine::default();
    for r in records {
        theirs.merge(now, r);
    }
    theirs.digest()
}

/// Tells whether this VM knows nothing yet: it may just have started.
fn has_nothing<P>(site: &Site<P>) -> bool
where
    P: Protocol,
{
    let view = site.view();
    view.quarantine.unchanged_for(site.now()).is_none()
}

/// What another VM said last of the records that it has.
#[derive(Clone, Copy, Debug)]
pub struct ReportedDigest {
    /// When it was heard.
    pub at: Instant,
    /// Their digest.
    pub digest: u64,
    /// Where they can be asked for.
    pub address: SocketAddr,
}

/// Gives a VM that knows other records by what it has said since something changed here: what it said before may be outdated.
fn differing<P>(site: &Site<P>) -> Option<(SmolStr, ReportedDigest)>
where
    P: Protocol,
{
    let now = site.now();
    let view = site.view();
    let heard = view.quarantines.iter();
    let heard = heard.filter(|(_, s)| now.duration_since(s.at) < MESSAGE_LIFE);
    let unchanged = view.quarantine.unchanged_for(now);
    let is_new = |s: &ReportedDigest| unchanged.is_none_or(|t| now.duration_since(s.at) < t);
    let others: Vec<_> = heard
        .filter(|(_, s)| is_new(s) && !view.quarantine.contains(s.digest))
        .collect();
    let at = rand::random_range(0..others.len().max(1));
    let (vm, said) = others.get(at)?;
    Some(((*vm).clone(), **said))
}

fn take_in<P>(site: &Site<P>, by: &str, records: &[CrashRecord]) -> bool
where
    P: Protocol,
{
    let now = site.now();
    let mut view = site.view();
    let mut is_news = false;
    for r in records {
        is_news |= view.merge_crashes(now, by, r);
    }
    is_news
}

/// Reads what the store keeps, unless another VM handed its state over, then keeps there what is quarantined or cleared, for as long
/// as the process lives. What other VMs know is asked of them ([`sync_with_peers`]).
pub async fn persist<P, S>(site: Arc<Site<P>>, store: S)
where
    P: Protocol,
    S: Store,
{
    if !site.view().has_peer_state {
        read(&site, &store).await;
    }
    loop {
        let unsaved = site.quarantine_unsaved.notified();
        let next = site.view().quarantine.unsaved();
        match next {
            Some(request) => save(&site, &store, request).await,
            None => {
                // The time-out is the time to look whether this VM is alone.
                let _timed_out = timeout(READ_ALONE_EVERY, unsaved).await;
                if is_alone(&site) {
                    read_once(&site, &store).await;
                }
            }
        }
    }
}

/// Tells whether this VM knows others and hears none of them.
fn is_alone<P>(site: &Site<P>) -> bool
where
    P: Protocol,
{
    let view = site.view();
    view.peers.known_vms() > 1 && view.peers.alive(site.now()) == 1
}

async fn read<P, S>(site: &Site<P>, store: &S)
where
    P: Protocol,
    S: Store,
{
    let mut pause = FIRST_PAUSE;
    while !read_once(site, store).await {
        sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

/// Reads what the store keeps. Gives whether it answered.
async fn read_once<P, S>(site: &Site<P>, store: &S) -> bool
where
    P: Protocol,
    S: Store,
{
    match store.crash_records().await {
        Ok(records) => {
            if take_in(site, "the store", &records) {
                tracing::info!(records = records.len(), "quarantined requests read");
            }
            true
        }
        Err(e) => {
            tracing::debug!(error = %e, "quarantined requests can't be read");
            false
        }
    }
}

/// Keeps one request's record in the store, or drops it there if nothing speaks against the request any more.
async fn save<P, S>(site: &Site<P>, store: &S, request: Fingerprint)
where
    P: Protocol,
    S: Store,
{
    let record = site.view().quarantine.record(site.now(), request);
    let record = record.filter(|r| !r.crashes.is_empty());
    match store.put_crash_record(request, record.as_ref()).await {
        Ok(()) => site.view().quarantine.mark_saved(request),
        Err(e) => {
            tracing::info!(%request, error = %e, "a quarantined request can't be kept yet");
            sleep(FIRST_PAUSE).await;
        }
    }
}
