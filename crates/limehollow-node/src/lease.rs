//! The controller's lease, shared by the tasks of this process.

use crate::edge::{Feed, Protocol, Store};
use crate::site::Site;
use limehollow::candidacy::Notice;
use limehollow::group_lease::{GroupAssignment, GroupLease, JOIN_EVERY, LeaseChange, TTL};
use smol_str::SmolStr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// The lease, shared by the tasks of this process.
pub type SharedLease = Arc<Mutex<GroupLease>>;

/// Calls a function with the locked lease. The lock is never held over an `await`.
pub fn with_lease<T, F>(lease: &SharedLease, f: F) -> T
where
    F: FnOnce(&mut GroupLease) -> T,
{
    f(&mut lease.lock().unwrap_or_else(PoisonError::into_inner))
}

/// Returns the fencing number if this VM may give orders now.
#[must_use]
pub fn fence<P>(site: &Site<P>, lease: &SharedLease) -> Option<u64>
where
    P: Protocol,
{
    let now = site.now();
    with_lease(lease, |l| l.fence(now))
}

/// How long a VM that has resigned publishes that: some of its zone's messages may be lost.
const RESIGNATION_SENT_FOR: Duration = Duration::from_secs(2);

/// Joins the group repeatedly while this VM applies for the lease or holds it. Leaves the group when the
/// process ends, or when other VMs apply.
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
    // Whether this VM's lease lapsed in an outage of the store that hasn't ended yet.
    let mut holds_over_outage = false;
    loop {
        let stopping = *stop.borrow();
        let sent = site.now();
        if stopping {
            resign(&site, &lease, sent);
            // Another VM of the zone may take this VM's place among the candidates.
            site.view().lease_failing = true;
        }
        let yields = yields_to_others(&site, sent);
        if yields && with_lease(&lease, |l| l.is_held()) {
            tracing::warn!("this VM reaches no endpoint and resigns the lease");
            resign(&site, &lease, sent);
        }
        if with_lease(&lease, |l| l.has_lapsed(sent)) {
            holds_over_outage = failing && is_store_away(&site, sent);
            lapse(&site, &lease, sent, holds_over_outage);
            // A VM that joined again at once would take the lease from the VM that holds it by now.
            joined = holds_over_outage;
        }
        holds_over_outage =
            holds_over_outage && !with_lease(&lease, |l| l.is_held()) && is_store_away(&site, sent);
        if holds_over_outage {
            publish_held(&site, &lease, sent);
        }
        let should_apply =
            !yields && (with_lease(&lease, |l| l.is_held()) || should_apply(&site, sent, joined));
        if joined && (stopping || !should_apply) {
            if let Err(e) = store.leave(&member).await {
                tracing::info!(error = %e, "failed to leave the group for the lease");
            }
            joined = false;
        }
        if stopping {
            return;
        }
        if !should_apply {
            failing = false;
            // Other VMs of the zone may take this VM's place among the candidates.
            site.view().lease_failing = yields;
            pause(&site, sent, &mut stop).await;
            continue;
        }
        joined = true;
        let generation = with_lease(&lease, |l| l.generation());
        match store.join(&member, generation).await {
            Ok(dealt) => {
                failing = false;
                apply_answer(&site, &lease, sent, dealt);
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

/// Returns `true` if this VM's orders would reach no endpoint, and those of another VM would.
fn yields_to_others<P>(site: &Site<P>, now: Instant) -> bool
where
    P: Protocol,
{
    let view = site.view();
    view.own_reach.is_cut() && !view.peers.reaching_endpoints(now).is_empty()
}

/// Returns `true` if this VM, which doesn't hold the lease, should apply for it. Once it has joined, it
/// continues until another VM is known to hold the lease, since each change of the group may move the
/// lease.
fn should_apply<P>(site: &Site<P>, now: Instant, joined: bool) -> bool
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

/// Applies the platform's answer to a join, and updates the notice that this VM publishes.
fn apply_answer<P>(site: &Site<P>, lease: &SharedLease, sent: Instant, dealt: GroupAssignment)
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

/// Returns `true` if the store answers no VM of this zone, as far as their messages show. It can't grant
/// the lease to another VM then.
fn is_store_away<P>(site: &Site<P>, now: Instant) -> bool
where
    P: Protocol,
{
    let view = site.view();
    let others = view.peers.alive_in_zone(now) - 1;
    let none_reads = others > 0 && view.peers.failing_in_zone(now) == others;
    none_reads && view.feed_reads.is_failing(Feed::Endpoints)
}

/// Publishes this VM as the holder while the store is away, so that other VMs don't join. Each join changes
/// the group, and the lease would move when the store comes back.
fn publish_held<P>(site: &Site<P>, lease: &SharedLease, now: Instant)
where
    P: Protocol,
{
    let notice = with_lease(lease, |l| notice(site, l, true));
    let mut view = site.view();
    view.candidacy.observe(now, notice.clone());
    view.lease_notice = Some((notice, now + TTL));
}

/// Gives up the lease because another VM may hold it by now, and waits for a notice of the holder. If the
/// store is away for all VMs, the lease may still be this VM's when the store comes back.
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

/// Gives up the lease if this VM holds it, and publishes that.
fn resign<P>(site: &Site<P>, lease: &SharedLease, now: Instant)
where
    P: Protocol,
{
    let mut view = site.view();
    with_lease(lease, |l| {
        if l.is_held() {
            let notice = notice(site, l, false);
            view.candidacy.observe(now, notice.clone());
            view.lease_notice = Some((notice, now + RESIGNATION_SENT_FOR));
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

/// Waits until the next call is due, the lease is free, or the process should stop.
async fn pause<P>(site: &Site<P>, since: Instant, stop: &mut watch::Receiver<bool>)
where
    P: Protocol,
{
    let next = site.clock.sleep_until(since + JOIN_EVERY);
    tokio::select! {
        () = next => {}
        () = site.lease_free.notified() => {}
        // An error means that the process is ending, which the next iteration notices as well.
        _stopped = stop.changed() => {}
    }
}
