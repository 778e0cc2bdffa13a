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

/// Joins the group again and again; leaves it when the process ends.
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
    loop {
        if *stop.borrow() {
            if let Err(e) = store.leave(&member).await {
                tracing::info!(error = %e, "the group could not be left");
            }
            with_lease(&lease, GroupLease::drop_it);
            return;
        }
        let sent = Instant::now();
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
        let next = sleep((sent + JOIN_EVERY).saturating_duration_since(Instant::now()));
        tokio::select! {
            () = next => {}
            // An error says that the process is ending, which the next round sees as well.
            _told = stop.changed() => {}
        }
    }
}
