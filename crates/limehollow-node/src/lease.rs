//! The lease of the controller, as the tasks of this process share it.

use crate::edge::{Feed, Protocol, Store};
use crate::site::Site;
use limehollow::candidacy::Notice;
use limehollow::group_lease::{GroupAssignment, GroupLease, JOIN_EVERY, LeaseChange, TTL};
use smol_str::SmolStr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// The lease as the tasks of this process share it.
pub type SharedLease = Arc<Mutex<GroupLease>>;

/// Uses the lease; it is never held over an `await`.
pub fn with_lease<T, F>(lease: &SharedLease, f: F) -> T
where
    F: FnOnce(&mut GroupLease) -> T,
{
    f(&mut lease.lock().unwrap_or_else(PoisonError::into_inner))
}

/// Gives the fencing number if this VM may give orders now.
#[must_use]
pub fn fence<P>(site: &Site<P>, lease: &SharedLease) -> Option<u64>
where
    P: Protocol,
{
    let now = site.now();
    with_lease(lease, |l| l.fence(now))
}

/// For how long a VM that has resigned says so: some of its zone's messages may be lost.
const RESIGNED_FOR: Duration = Duration::from_secs(2);

/// Joins the group again and again while this VM stands for the lease or holds it; leaves it when the process
/// ends, or when others stand.
pub async fn maintain_lease<P, S>(
    site: Arc<Site<P>>,
    store: S,
    lease: SharedLease,
    mut stop: watch::Receiver<bool>,
) where
    P: Protocol,
    S: Store,
{
    let member = format!("{}@{}", site.own_vm, site.settings.load().ip);
    let mut failing = false;
    let mut joined = false;
    // Whether this VM's lease lapsed in an outage of the store that has not ended yet.
    let mut waits = false;
    loop {
        let stopping = *stop.borrow();
        let sent = site.now();
        if stopping {
            resign(&site, &lease, sent);
            // Another of the zone may take its place among the candidates.
            site.view().lease_failing = true;
        }
        if with_lease(&lease, |l| l.has_lapsed(sent)) {
            waits = failing && is_store_away(&site, sent);
            lapse(&site, &lease, sent, waits);
            // One that came back and joined at once would take the lease from who holds it by now.
            joined = waits;
        }
        waits = waits && !with_lease(&lease, |l| l.is_held()) && is_store_away(&site, sent);
        if waits {
            say_held(&site, &lease, sent);
        }
        let stands = with_lease(&lease, |l| l.is_held()) || stands(&site, sent, joined);
        if joined && (stopping || !stands) {
            if let Err(e) = store.leave(&member).await {
                tracing::info!(error = %e, "the group could not be left");
            }
            joined = false;
        }
        if stopping {
            return;
        }
        if !stands {
            failing = false;
            site.view().lease_failing = false;
            pause(&site, sent, &mut stop).await;
            continue;
        }
        joined = true;
        let generation = with_lease(&lease, |l| l.generation());
        match store.join(&member, generation).await {
            Ok(dealt) => {
                failing = false;
                take_in(&site, &lease, sent, dealt);
            }
            Err(e) => {
                if !failing {
                    tracing::warn!(error = %e, "the lease can't be renewed");
                }
                failing = true;
            }
        }
        site.view().lease_failing = failing;
        pause(&site, sent, &mut stop).await;
    }
}

/// Tells whether this VM stands for the lease, which it doesn't hold. One that has joined goes on until another VM
/// is heard to hold it: each change of the group may move the lease.
fn stands<P>(site: &Site<P>, now: Instant, joined: bool) -> bool
where
    P: Protocol,
{
    let view = site.view();
    if joined {
        let holder = view.candidacy.holder(now);
        return holder.is_none_or(|h| *h == site.own_vm.as_str());
    }
    let rank = view.peers.candidate_rank(now).filter(|_| !view.is_starting);
    rank.is_some_and(|r| view.candidacy.may_join(now, r))
}

/// Takes in the platform's answer, and what this VM says of the lease from now on.
fn take_in<P>(site: &Site<P>, lease: &SharedLease, sent: Instant, dealt: GroupAssignment)
where
    P: Protocol,
{
    let now = site.now();
    let mut view = site.view();
    let view = &mut *view;
    with_lease(lease, |l| {
        match l.apply_assignment(sent, now, dealt) {
            Some(LeaseChange::Taken(fence)) => {
                let before = view.candidacy.predecessor(now, fence);
                l.set_predecessor(before);
                tracing::info!(fence, ?before, "lease taken");
            }
            Some(LeaseChange::Resumed(fence)) => tracing::info!(fence, "lease resumed"),
            Some(LeaseChange::Lost) => {
                view.lease_notice = None;
                tracing::info!(term = ?dealt.term, "lease lost");
            }
            None => {}
        }
        if l.is_held() {
            let notice = notice(site, l, true);
            view.candidacy.observe(now, notice.clone());
            view.lease_notice = Some((notice, sent + TTL));
        }
        site.metrics.holds_lease.set(i64::from(l.is_held()));
    });
}

/// Tells whether the store answers nobody, as far as the VMs of this zone say. It can deal the lease to no other VM then.
fn is_store_away<P>(site: &Site<P>, now: Instant) -> bool
where
    P: Protocol,
{
    let view = site.view();
    let others = view.peers.alive_in_zone(now) - 1;
    let none_reads = others > 0 && view.peers.failing_in_zone(now) == others;
    none_reads && view.feed_reads.is_failing(Feed::Endpoints)
}

/// Has the other VMs take this one for the holder as long as the store is away, so that they don't join: each that does changes
/// the group, and the lease moves when the store comes back.
fn say_held<P>(site: &Site<P>, lease: &SharedLease, now: Instant)
where
    P: Protocol,
{
    let notice = with_lease(lease, |l| notice(site, l, true));
    let mut view = site.view();
    view.candidacy.observe(now, notice.clone());
    view.lease_notice = Some((notice, now + TTL));
}

/// Gives the lease up because it may have passed on, and listens for who holds it. Where the store is away for all, it may
/// still be this VM's when the store comes back.
fn lapse<P>(site: &Site<P>, lease: &SharedLease, now: Instant, is_store_away: bool)
where
    P: Protocol,
{
    with_lease(lease, |l| {
        if is_store_away {
            l.suspend();
        } else {
            l.release();
        }
    });
    let mut view = site.view();
    view.candidacy.restart(now);
    view.lease_notice = None;
    site.metrics.holds_lease.set(0);
    tracing::info!(is_store_away, "lease lapsed");
}

/// Gives the lease up, if this VM holds it, and says so.
fn resign<P>(site: &Site<P>, lease: &SharedLease, now: Instant)
where
    P: Protocol,
{
    let mut view = site.view();
    with_lease(lease, |l| {
        if l.is_held() {
            let notice = notice(site, l, false);
            view.candidacy.observe(now, notice.clone());
            view.lease_notice = Some((notice, now + RESIGNED_FOR));
            site.urgent_update.notify_one();
        }
        l.release();
    });
    site.metrics.holds_lease.set(0);
}

fn notice<P>(site: &Site<P>, l: &GroupLease, holds: bool) -> Notice
where
    P: Protocol,
{
    Notice {
        vm: SmolStr::new(site.own_vm.as_str()),
        fence: l.last_fence(),
        holds,
        last_order: l.last_order(),
    }
}

/// Waits until the next call is due, the lease is free, or the process is told to end.
async fn pause<P>(site: &Site<P>, since: Instant, stop: &mut watch::Receiver<bool>)
where
    P: Protocol,
{
    let next = site.clock.sleep_until(since + JOIN_EVERY);
    tokio::select! {
        () = next => {}
        () = site.lease_free.notified() => {}
        // An error says that the process is ending, which the next round sees as well.
        _told = stop.changed() => {}
    }
}
