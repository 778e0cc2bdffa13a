//! The lease of the controller, as the tasks of this process share it.

use crate::edge::{Protocol, Store};
use crate::site::Site;
use limehollow::group_lease::{GroupLease, JOIN_EVERY, LeaseChange};
use smol_str::SmolStr;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

/// The lease as the tasks of this process share it.
pub(crate) type SharedLease = Arc<Mutex<GroupLease>>;

/// Uses the lease; it is never held over an `await`.
pub(crate) fn with_lease<T, F>(lease: &SharedLease, f: F) -> T
where
    F: FnOnce(&mut GroupLease) -> T,
{
    f(&mut lease.lock().unwrap_or_else(PoisonError::into_inner))
}

/// Joins the group again and again while this VM stands for the lease or holds it; leaves it when the process
/// ends, or when others stand.
pub(crate) async fn keep_lease<P, S>(
    site: Arc<Site<P>>,
    store: S,
    lease: SharedLease,
    mut stop: watch::Receiver<bool>,
) where
    P: Protocol,
    S: Store,
{
    let member = format!("{}@{}", site.me, site.settings.load().ip);
    let mut failing = false;
    let mut joined = false;
    loop {
        let stopping = *stop.borrow();
        let sent = Instant::now();
        let stands = with_lease(&lease, |l| l.is_held()) || site.known().peers.is_candidate(sent);
        if joined && (stopping || !stands) {
            if let Err(e) = store.leave(&member).await {
                tracing::info!(error = %e, "the group could not be left");
            }
            joined = false;
        }
        if stopping {
            with_lease(&lease, GroupLease::drop_it);
            return;
        }
        if !stands {
            failing = false;
            site.known().lease_failing = false;
            pause(sent, &mut stop).await;
            continue;
        }
        joined = true;
        let generation = with_lease(&lease, |l| l.generation());
        match store.join(&member, generation).await {
            Ok(dealt) => {
                failing = false;
                let change = with_lease(&lease, |l| l.dealt(sent, Instant::now(), dealt));
                match change {
                    Some(LeaseChange::Taken(fence)) => {
                        site.known().controller = Some(SmolStr::new(site.me.as_str()));
                        tracing::info!(fence, "lease taken");
                    }
                    Some(LeaseChange::Lost) => {
                        site.known().controller = None;
                        tracing::info!(generation, "lease lost");
                    }
                    None => {}
                }
                let held = with_lease(&lease, |l| l.is_held());
                site.metrics.holds_lease.set(i64::from(held));
            }
            Err(e) => {
                if !failing {
                    tracing::warn!(error = %e, "the lease can't be renewed");
                }
                failing = true;
            }
        }
        site.known().lease_failing = failing;
        pause(sent, &mut stop).await;
    }
}

/// Waits until the next call is due, or the process is told to end.
async fn pause(since: Instant, stop: &mut watch::Receiver<bool>) {
    let next = sleep((since + JOIN_EVERY).saturating_duration_since(Instant::now()));
    tokio::select! {
        () = next => {}
        // An error says that the process is ending, which the next round sees as well.
        _told = stop.changed() => {}
    }
}
