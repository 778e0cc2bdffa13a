//! The listed versions of endpoints' software in the platform's store, on paused time.

mod rig;

use limehollow::id::SoftwareVersion;
use limehollow_node::controller;
use limehollow_node::edge::Store;
use limehollow_node::quarantine_sync::persist;
use limehollow_node::site::Site;
use rig::{Memory, Plain, endpoint, settings};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

/// The time in which a VM takes the lease.
const TAKES_LEASE: Duration = Duration::from_secs(8);
/// The time in which the holder of the lease stores a version that is new.
const STORED_WITHIN: Duration = Duration::from_millis(500);

/// Lists an endpoint of a version on a VM.
fn list(site: &Site<Plain>, i: usize, version: &str) {
    let mut entry = endpoint(i, ([127, 0, 0, 1], 9000).into());
    entry.software = Some(version.into());
    site.view().list(Instant::now(), entry);
}

/// Starts a VM that gives orders.
fn run_controller(
    site: &Arc<Site<Plain>>,
    store: &Memory,
) -> (watch::Sender<bool>, JoinHandle<()>) {
    let (stop, stopped) = watch::channel(false);
    let wake = Arc::new(Notify::new());
    let run = controller::run(Arc::clone(site), store.clone(), wake, stopped);
    (stop, tokio::spawn(run))
}

async fn stored(store: &Memory) -> BTreeSet<String> {
    let kept = store.kept().await.expect("the store is there");
    let versions = kept.versions.into_iter().flatten();
    versions.map(|(_, v)| v.to_string()).collect()
}

fn only_version(site: &Site<Plain>) -> Option<SoftwareVersion> {
    let view = site.view();
    view.version_history
        .only_version(Instant::now(), &"portal".into())
}

#[tokio::test(start_paused = true)]
async fn versions_are_stored_as_they_are_listed() {
    let (store, site) = (Memory::default(), Site::new(settings(), Plain));
    list(&site, 0, "v1");
    let _running = run_controller(&site, &store);
    sleep(TAKES_LEASE).await;
    assert_eq!(stored(&store).await, ["v1".to_owned()].into());
    list(&site, 1, "v1.1");
    sleep(STORED_WITHIN).await;
    let both = ["v1".to_owned(), "v1.1".to_owned()];
    assert_eq!(stored(&store).await, both.into());
}

#[tokio::test(start_paused = true)]
async fn versions_before_a_start_of_all_vms_are_read_from_the_store() {
    for (before, now, proven) in [
        (&["v1"][..], "v1", Some("v1")),
        (&["v1", "v1.1"][..], "v1.1", None),
        (&[][..], "v1", None),
    ] {
        let store = Memory::default();
        if !before.is_empty() {
            let rows: Vec<_> = before
                .iter()
                .map(|v| ("portal".into(), (*v).into()))
                .collect();
            store.put_versions(&rows).await.expect("the store is there");
        }
        let site = Site::new(settings(), Plain);
        let reading = tokio::spawn(persist(Arc::clone(&site), store.clone()));
        sleep(Duration::from_millis(100)).await;
        list(&site, 0, now);
        let expected = proven.map(SoftwareVersion::from);
        assert_eq!(only_version(&site), expected, "{before:?}");
        reading.abort();
    }
}

/// A holder that has just started may not have seen a version that went a moment ago.
#[tokio::test(start_paused = true)]
async fn versions_that_a_new_holder_has_not_seen_stay_stored() {
    let (store, site) = (Memory::default(), Site::new(settings(), Plain));
    let earlier = [("portal".into(), "v0".into())];
    store
        .put_versions(&earlier)
        .await
        .expect("the store is there");
    list(&site, 0, "v1");
    let _running = run_controller(&site, &store);
    sleep(TAKES_LEASE).await;
    let both = ["v0".to_owned(), "v1".to_owned()];
    assert_eq!(stored(&store).await, both.into());
}
