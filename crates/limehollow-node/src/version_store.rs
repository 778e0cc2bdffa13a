//! Keeps in the platform's store which versions of the endpoints' software are listed, for when all VMs lose their memory
//! at once.
//!
//! The holder of the lease writes them. It orders no model to an endpoint of a version that isn't stored, so no stream
//! can have begun at one: an endpoint begins none before it has loaded a model (`docs/design/streams.md`).

use crate::edge::{Protocol, Store, StoreError};
use crate::lease::{SharedLease, fence};
use crate::site::Site;
use limehollow::id::EndpointKey;
use limehollow::version_history::ListedVersion;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// How often the holder of the lease compares what is listed with what it has stored.
const COMPARE_EVERY: Duration = Duration::from_millis(200);
/// How often the versions are stored again: a former holder's write may be carried out late, and the store may come back
/// from a copy.
const REWRITE_EVERY: Duration = Duration::from_secs(20);

/// What the holder of the lease has written last.
#[derive(Debug)]
struct Written {
    at: Instant,
    listed: BTreeSet<ListedVersion>,
}

impl Written {
    fn is_due(&self, now: Instant, listed: &BTreeSet<ListedVersion>) -> bool {
        self.listed != *listed || now.saturating_duration_since(self.at) >= REWRITE_EVERY
    }
}

/// Stores the versions that are listed while this VM holds the lease, until the process ends.
pub(crate) async fn keep<P, S>(site: Arc<Site<P>>, store: S, lease: SharedLease)
where
    P: Protocol,
    S: Store,
{
    let mut written: Option<Written> = None;
    loop {
        site.clock.sleep_until(site.now() + COMPARE_EVERY).await;
        if fence(&site, &lease).is_none() {
            written = None;
            site.view().versions_kept = None;
            continue;
        }
        let now = site.now();
        let (listed, is_complete) = {
            let view = site.view();
            let history = &view.version_history;
            (history.listed(now), history.is_complete(now))
        };
        if listed.is_empty() || written.as_ref().is_some_and(|w| !w.is_due(now, &listed)) {
            continue;
        }
        match write(&store, listed.clone(), is_complete).await {
            Ok(kept) => {
                written = Some(Written { at: now, listed });
                site.view().versions_kept = Some(kept);
            }
            Err(e) => {
                tracing::info!(error = %e, "the versions that are listed can't be stored; retrying");
            }
        }
    }
}

/// Writes versions, with those stored before unless all are known that matter. Returns what is stored.
async fn write<S>(
    store: &S,
    mut listed: BTreeSet<ListedVersion>,
    is_complete: bool,
) -> Result<BTreeSet<ListedVersion>, StoreError>
where
    S: Store,
{
    if !is_complete {
        listed.extend(store.kept().await?.versions.into_iter().flatten());
    }
    let rows: Vec<ListedVersion> = listed.iter().cloned().collect();
    store.put_versions(&rows).await?;
    Ok(listed)
}

/// Returns the endpoints of versions that aren't stored yet, although others are.
pub(crate) fn unkept<P>(site: &Site<P>) -> BTreeSet<EndpointKey>
where
    P: Protocol,
{
    let view = site.view();
    let Some(kept) = &view.versions_kept else {
        return BTreeSet::new();
    };
    let unkept = view.roster.iter().filter(|(_, e)| {
        let version = e.software.as_ref();
        version.is_some_and(|v| !kept.contains(&(e.service.clone(), v.clone())))
    });
    unkept.map(|(key, _)| key).collect()
}
