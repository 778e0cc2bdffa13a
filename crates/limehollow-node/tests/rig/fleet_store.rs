//! The platform's store as the VMs of a fleet reach it. A test sets its behaviour towards each VM, and its
//! capacity is shared by all VMs.

use super::Memory;
use limehollow::crash_record::CrashRecord;
use limehollow::fingerprint::Fingerprint;
use limehollow::group_lease::GroupAssignment;
use limehollow::log_position::LogPosition;
use limehollow::version_history::ListedVersion;
use limehollow_node::edge::{Changes, Feed, Kept, Store, StoreError, Vm};
use std::future::pending;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// The number of entries in one answer of the store, how long its client waits for an answer, how long an
/// append takes and how many may wait.
const PAGE: usize = 500;
const READ_WITHIN: Duration = Duration::from_millis(1200);
const APPEND: Duration = Duration::from_millis(4);
const LONGEST_QUEUE: Duration = Duration::from_secs(2);
/// How long the store's client waits for the answer to a join.
const JOIN_WITHIN: Duration = Duration::from_millis(1000);

/// The store's behaviour towards one VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Treats {
    /// All calls are answered.
    #[default]
    Well,
    /// A waiting call is never woken and ends only by its timeout.
    Deaf,
    /// No call is answered. Calls that were under way aren't answered later either.
    Silent,
    /// All calls are refused.
    Away,
}

#[derive(Debug, Default)]
pub(super) struct Treatment {
    now: Treats,
    /// The number of periods of silence. A call that began before one is never answered.
    silences: u64,
}

/// The store's capacity for all VMs together: one append at a time, and a number of entries per second.
#[derive(Clone, Debug)]
pub struct Turns(Arc<Mutex<Busy>>);

#[derive(Debug)]
struct Busy {
    /// Entries that the store returns per second; infinite where a test doesn't need a limit.
    entries_per_s: f64,
    reads_until: Instant,
    appends_until: Instant,
    /// The number of requested entries and appends.
    entries: usize,
    appends: usize,
}

impl Default for Turns {
    fn default() -> Self {
        Self::new(f64::INFINITY)
    }
}

impl Turns {
    pub(super) fn new(entries_per_s: f64) -> Self {
        let now = Instant::now();
        Self(Arc::new(Mutex::new(Busy {
            entries_per_s,
            reads_until: now,
            appends_until: now,
            entries: 0,
            appends: 0,
        })))
    }

    /// Returns the numbers of entries and appends requested so far.
    pub fn asked(&self) -> (usize, usize) {
        let busy = self.0.lock().expect("the lock is not poisoned");
        (busy.entries, busy.appends)
    }

    /// Waits in the queue for the entries, page by page. The client gives up a page that takes too long,
    /// and the store returns it all the same.
    async fn read(&self, entries: usize) -> Result<(), StoreError> {
        let mut left = entries;
        while left > 0 {
            let page = left.min(PAGE);
            left -= page;
            let wait = {
                let mut busy = self.0.lock().expect("the lock is not poisoned");
                busy.entries += page;
                let took = at_rate(page, busy.entries_per_s);
                busy.reads_until = busy.reads_until.max(Instant::now()) + took;
                busy.reads_until - Instant::now()
            };
            if timeout(READ_WITHIN, sleep(wait)).await.is_err() {
                return Err(timed_out("newest"));
            }
        }
        Ok(())
    }

    /// Waits in the queue for an append. It is rejected if too many wait.
    async fn append(&self) -> Result<(), StoreError> {
        let wait = {
            let mut busy = self.0.lock().expect("the lock is not poisoned");
            busy.appends += 1;
            let wait = busy.appends_until.saturating_duration_since(Instant::now());
            if wait > LONGEST_QUEUE {
                return Err(StoreError::Rejected {
                    call: "announce",
                    status: 503,
                });
            }
            busy.appends_until = Instant::now() + wait + APPEND;
            wait + APPEND
        };
        sleep(wait).await;
        Ok(())
    }
}

#[expect(clippy::cast_precision_loss, reason = "tests count little")]
pub(super) fn at_rate(n: usize, per_s: f64) -> Duration {
    Duration::from_secs_f64(n as f64 / per_s)
}

fn timed_out(call: &'static str) -> StoreError {
    StoreError::NoAnswer {
        call,
        why: "timed out".to_owned(),
    }
}

/// The store as one VM reaches it.
#[derive(Clone, Debug)]
pub struct Link {
    pub(super) store: Memory,
    pub(super) turns: Turns,
    pub(super) treatment: Arc<Mutex<Treatment>>,
}

impl Link {
    fn current_treatment(&self) -> (Treats, u64) {
        let t = self.treatment.lock().expect("the lock is not poisoned");
        (t.now, t.silences)
    }

    pub(super) fn set(&self, treats: Treats) {
        let mut t = self.treatment.lock().expect("the lock is not poisoned");
        t.now = treats;
        if treats == Treats::Silent {
            t.silences += 1;
        }
    }

    /// Returns the store's current behaviour towards this VM.
    pub fn now(&self) -> Treats {
        self.current_treatment().0
    }

    /// Carries out a call, with the store's behaviour towards this VM.
    async fn call<T, F>(&self, call: F) -> Result<T, StoreError>
    where
        F: Future<Output = Result<T, StoreError>>,
    {
        let (treats, silences) = self.current_treatment();
        let res = match treats {
            Treats::Silent => pending().await,
            Treats::Away => Err(StoreError::Rejected {
                call: "changes",
                status: 503,
            }),
            Treats::Well | Treats::Deaf => call.await,
        };
        if self.current_treatment().1 != silences {
            pending::<()>().await;
        }
        res
    }
}

impl Store for Link {
    async fn newest(&self, feed: Feed) -> Result<Changes, StoreError> {
        let whole = self.call(self.store.newest(feed)).await?;
        self.turns.read(whole.changes.len()).await?;
        Ok(whole)
    }

    async fn changes(
        &self,
        feed: Feed,
        from: LogPosition,
        wait: Duration,
    ) -> Result<Changes, StoreError> {
        let is_deaf = self.current_treatment().0 == Treats::Deaf;
        let call = self.call(async {
            if is_deaf {
                let began = self.store.changes(feed, from, Duration::ZERO).await?;
                if began.changes.is_empty() {
                    sleep(wait).await;
                }
                return Ok(began);
            }
            self.store.changes(feed, from, wait).await
        });
        // The store's client gives up a call this long after its wait.
        let given_up = timeout(wait + Duration::from_millis(1500), call).await;
        given_up.unwrap_or_else(|_| {
            Err(StoreError::NoAnswer {
                call: "changes",
                why: "timed out".to_owned(),
            })
        })
    }

    async fn announce(&self, vms: &[Vm]) -> Result<(), StoreError> {
        self.turns.append().await?;
        self.call(self.store.announce(vms)).await
    }

    async fn join(&self, member: &str, generation: u64) -> Result<GroupAssignment, StoreError> {
        let call = self.call(self.store.join(member, generation));
        let given_up = timeout(JOIN_WITHIN, call).await;
        given_up.unwrap_or_else(|_| Err(timed_out("join")))
    }

    async fn leave(&self, _: &str) -> Result<(), StoreError> {
        Ok(())
    }

    async fn kept(&self) -> Result<Kept, StoreError> {
        self.call(self.store.kept()).await
    }

    async fn put_versions(&self, versions: &[ListedVersion]) -> Result<(), StoreError> {
        self.call(self.store.put_versions(versions)).await
    }

    async fn put_crash_record(
        &self,
        request: Fingerprint,
        record: Option<&CrashRecord>,
    ) -> Result<(), StoreError> {
        self.call(self.store.put_crash_record(request, record))
            .await
    }
}
