//! Counts the calls to the platform's store by call and outcome: each call is paid for, and all VMs share the store's
//! capacity.

use crate::edge::{Changes, Feed, Kept, Store, StoreError, Vm};
use crate::metrics::{Metrics, StoreCallLabels};
use limehollow::crash_record::CrashRecord;
use limehollow::fingerprint::Fingerprint;
use limehollow::group_lease::GroupAssignment;
use limehollow::log_position::LogPosition;
use limehollow::version_history::ListedVersion;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use std::collections::BTreeMap;
use std::time::Duration;

/// The calls, and the records that they concern.
const CALLS: [(&str, &str); 14] = [
    ("newest", "configuration"),
    ("newest", "endpoints"),
    ("newest", "vms"),
    ("newest", "kept"),
    ("changes", "configuration"),
    ("changes", "endpoints"),
    ("changes", "vms"),
    ("wait", "configuration"),
    ("wait", "vms"),
    ("append", "vms"),
    ("append", "crashes"),
    ("append", "versions"),
    ("join", "lease"),
    ("leave", "lease"),
];
const ANSWERED: &str = "answered";
const NO_ANSWER: &str = "no answer";
const TURNED_AWAY: &str = "turned away";
const HISTORY_GONE: &str = "history gone";
const FAILED: &str = "failed";
/// The outcomes of a call.
const OUTCOMES: [&str; 5] = [ANSWERED, NO_ANSWER, TURNED_AWAY, HISTORY_GONE, FAILED];

/// A store that counts its calls.
#[derive(Clone, Debug)]
pub struct CountingStore<S> {
    store: S,
    calls: Family<StoreCallLabels, Counter>,
}

impl<S> CountingStore<S>
where
    S: Store,
{
    /// Wraps a store whose calls are counted in `metrics`.
    #[must_use]
    pub fn new(store: S, metrics: &Metrics) -> Self {
        Self {
            store,
            calls: metrics.store_calls.clone(),
        }
    }

    fn count<T>(
        &self,
        call: &'static str,
        about: &'static str,
        res: Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        let outcome = match &res {
            Ok(_) => ANSWERED,
            Err(StoreError::NoAnswer { .. }) => NO_ANSWER,
            Err(StoreError::Rejected { .. }) => TURNED_AWAY,
            Err(StoreError::HistoryGone { .. }) => HISTORY_GONE,
            Err(StoreError::UnexpectedStatus { .. } | StoreError::Malformed { .. }) => FAILED,
        };
        let by = StoreCallLabels {
            call,
            about,
            outcome,
        };
        self.calls.get_or_create(&by).inc();
        res
    }
}

/// Returns how often each call has had each outcome so far.
pub(crate) fn totals(metrics: &Metrics) -> BTreeMap<String, u64> {
    let mut out = BTreeMap::new();
    for (call, about) in CALLS {
        for outcome in OUTCOMES {
            let by = StoreCallLabels {
                call,
                about,
                outcome,
            };
            let n = metrics.store_calls.get(&by).map_or(0, |c| c.get());
            if n > 0 {
                out.insert(format!("{call} {about} {outcome}"), n);
            }
        }
    }
    out
}

fn label(feed: Feed) -> &'static str {
    match feed {
        Feed::Configuration => "configuration",
        Feed::Endpoints => "endpoints",
        Feed::Vms => "vms",
    }
}

impl<S> Store for CountingStore<S>
where
    S: Store,
{
    async fn newest(&self, feed: Feed) -> Result<Changes, StoreError> {
        let res = self.store.newest(feed).await;
        self.count("newest", label(feed), res)
    }

    async fn changes(
        &self,
        feed: Feed,
        from: LogPosition,
        wait: Duration,
    ) -> Result<Changes, StoreError> {
        let call = if wait.is_zero() { "changes" } else { "wait" };
        let res = self.store.changes(feed, from, wait).await;
        self.count(call, label(feed), res)
    }

    async fn announce(&self, vms: &[Vm]) -> Result<(), StoreError> {
        let res = self.store.announce(vms).await;
        self.count("append", "vms", res)
    }

    async fn join(&self, member: &str, generation: u64) -> Result<GroupAssignment, StoreError> {
        let res = self.store.join(member, generation).await;
        self.count("join", "lease", res)
    }

    async fn kept(&self) -> Result<Kept, StoreError> {
        let res = self.store.kept().await;
        self.count("newest", "kept", res)
    }

    async fn put_versions(&self, versions: &[ListedVersion]) -> Result<(), StoreError> {
        let res = self.store.put_versions(versions).await;
        self.count("append", "versions", res)
    }

    async fn put_crash_record(
        &self,
        request: Fingerprint,
        record: Option<&CrashRecord>,
    ) -> Result<(), StoreError> {
        let res = self.store.put_crash_record(request, record).await;
        self.count("append", "crashes", res)
    }

    async fn leave(&self, member: &str) -> Result<(), StoreError> {
        let res = self.store.leave(member).await;
        self.count("leave", "lease", res)
    }
}
