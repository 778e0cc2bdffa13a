//! Synchronizes the records of requests that crash endpoints between all VMs and the platform's store.
//!
//! Changed records are sent with the VMs' messages. A VM that missed some (it has just started, or was cut off) sees by
//! the digest in other VMs' messages that they have other records, and fetches all records from one of them. Records of
//! quarantined requests are also stored in the platform's store, in case all VMs restart at once.

use crate::edge::{PeerStates, Protocol, Store};
use crate::site::Site;
use limehollow::balance::MESSAGE_LIFE;
use limehollow::crash_record::CrashRecord;
use limehollow::fingerprint::Fingerprint;
use limehollow::quarantine::Quarantine;
use limehollow::send_interval;
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// How long the digests of two VMs may differ before one fetches the other's records, in message intervals: a recent
/// change is still in transit in messages. The actual time is drawn at random between this and twice this, so that not
/// all VMs of a zone fetch from the same one at once.
const FETCH_DELAY_MESSAGES: f64 = 2.5;
/// The upper bound of that time, before the random part.
const MAX_FETCH_DELAY: Duration = Duration::from_millis(300);
/// How long the records have to be unchanged before a VM fetches: in a burst of crashes messages deliver most records.
const QUIET_FOR: Duration = Duration::from_millis(300);
/// The pause between two fetches.
const FETCH_INTERVAL: Duration = Duration::from_millis(100);
/// The pause after a fetch for each record that it returned: a record takes 32 bytes, and half of the 12 kB a second
/// that a VM may use for sending to other VMs is left for fetches.
const PAUSE_PER_RECORD: Duration = Duration::from_millis(5);
/// The delay before the first retry of a call to the store.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(500);
/// The maximum delay between retries of a call to the store.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(8);
/// How often a VM that receives messages from no other VM reads the store, which is then its only source of records.
const ISOLATED_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Fetches records that this VM lacks from other VMs, until the process ends.
pub async fn sync_with_peers<P, S>(site: Arc<Site<P>>, states: S)
where
    P: Protocol,
    S: PeerStates,
{
    loop {
        site.quarantine_differs.notified().await;
        if !has_no_records(&site) {
            wait_until_quiet(&site).await;
        }
        while let Some((vm, reported)) = differing(&site) {
            let fetched = fetch(&site, &states, &vm, reported).await;
            sleep(FETCH_INTERVAL.max(PAUSE_PER_RECORD.saturating_mul(fetched))).await;
        }
    }
}

/// Waits until recent changes of this VM or of others had time to arrive in messages.
async fn wait_until_quiet<P>(site: &Site<P>)
where
    P: Protocol,
{
    let neighbours = site.view().peers.neighbour_count();
    let delay = send_interval::of_messages(neighbours)
        .mul_f64(FETCH_DELAY_MESSAGES)
        .min(MAX_FETCH_DELAY);
    loop {
        sleep(delay.mul_f64(1.0 + rand::random::<f64>())).await;
        let unchanged = site.view().quarantine.unchanged_for(site.now());
        if unchanged.is_none_or(|t| t >= QUIET_FOR) {
            return;
        }
    }
}

/// Fetches all records of another VM. Returns how many there are.
async fn fetch<P, S>(site: &Site<P>, states: &S, vm: &str, reported: ReportedDigest) -> u32
where
    P: Protocol,
    S: PeerStates,
{
    match states.fetch_crashes(reported.address).await {
        Ok(records) => {
            merge(site, vm, &records);
            // The digest is computed from the answer and not taken from the VM's last message: the VM may have
            // restarted since, and have no records.
            let answered = digest(site.now(), &records);
            site.view().quarantine.mark_contained(answered);
            u32::try_from(records.len()).unwrap_or(u32::MAX)
        }
        Err(why) => {
            tracing::debug!(%vm, why, "can't fetch the records of crashing requests");
            0
        }
    }
}

/// Returns the digest of a VM that has exactly these records.
fn digest(now: Instant, records: &[CrashRecord]) -> u64 {
    let mut quarantine = Quarantine::default();
    for r in records {
        quarantine.merge(now, r);
    }
    quarantine.digest()
}

/// Returns `true` if this VM has no records yet, as after its start.
fn has_no_records<P>(site: &Site<P>) -> bool
where
    P: Protocol,
{
    let view = site.view();
    view.quarantine.unchanged_for(site.now()).is_none()
}

/// The digest of its records that another VM reported last.
#[derive(Clone, Copy, Debug)]
pub struct ReportedDigest {
    /// When the report was received.
    pub at: Instant,
    /// The digest of the VM's records.
    pub digest: u64,
    /// The address from which the records can be fetched.
    pub address: SocketAddr,
}

/// Returns a random VM whose reported digest shows records that this VM lacks. Only digests that were received since
/// this VM's records last changed are considered, as earlier ones may be outdated.
fn differing<P>(site: &Site<P>) -> Option<(SmolStr, ReportedDigest)>
where
    P: Protocol,
{
    let now = site.now();
    let view = site.view();
    let recent = view.quarantines.iter();
    let recent = recent.filter(|(_, s)| now.duration_since(s.at) < MESSAGE_LIFE);
    let unchanged = view.quarantine.unchanged_for(now);
    let is_new = |s: &ReportedDigest| unchanged.is_none_or(|t| now.duration_since(s.at) < t);
    let others: Vec<_> = recent
        .filter(|(_, s)| is_new(s) && !view.quarantine.contains(s.digest))
        .collect();
    let at = rand::random_range(0..others.len().max(1));
    let (vm, reported) = others.get(at)?;
    Some(((*vm).clone(), **reported))
}

fn merge<P>(site: &Site<P>, by: &str, records: &[CrashRecord]) -> bool
where
    P: Protocol,
{
    let now = site.now();
    let mut view = site.view();
    let mut is_changed = false;
    for r in records {
        is_changed |= view.merge_crashes(now, by, r);
    }
    is_changed
}

/// Reads the stored records, unless another VM handed over its state, then stores the records of requests that are
/// quarantined or cleared, until the process ends. Other VMs' records are fetched by [`sync_with_peers`].
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
                // The timeout is the interval at which an isolated VM reads the store.
                let _timed_out = timeout(ISOLATED_READ_INTERVAL, unsaved).await;
                if is_isolated(&site) {
                    read_once(&site, &store).await;
                }
            }
        }
    }
}

/// Returns `true` if this VM knows other VMs and receives messages from none of them.
fn is_isolated<P>(site: &Site<P>) -> bool
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
    let mut pause = FIRST_RETRY_DELAY;
    while !read_once(site, store).await {
        sleep(pause).await;
        pause = (pause * 2).min(MAX_RETRY_DELAY);
    }
}

/// Reads the stored records, and the versions that are stored beside them. Returns `true` if the store answered.
async fn read_once<P, S>(site: &Site<P>, store: &S) -> bool
where
    P: Protocol,
    S: Store,
{
    match store.kept().await {
        Ok(kept) => {
            if merge(site, "the store", &kept.crashes) {
                tracing::info!(records = kept.crashes.len(), "quarantined requests read");
            }
            if let Some(versions) = kept.versions {
                let now = site.now();
                site.view().version_history.add_earlier(now, versions);
            }
            true
        }
        Err(e) => {
            tracing::debug!(error = %e, "what the store keeps can't be read");
            false
        }
    }
}

/// Stores a request's record, or deletes it if no crash is recorded for the request any more.
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
            tracing::info!(%request, error = %e, "a quarantined request can't be stored; retrying");
            sleep(FIRST_RETRY_DELAY).await;
        }
    }
}
