//! Tests the claim task against an in-memory log that can fail, with tokio's time paused.

use limehollow_edge::error::StatusSnafu;
use limehollow_edge::log::LogService;
use limehollow_gateway::claims::{
    Claim, ClaimClient, ClaimOutcome, ClaimTask, Fate, GatewayIdentity,
};
use limehollow_gateway::metrics::Metrics;
use limehollow_gateway::settings::ClaimSettings;
use limehollow_wire::platform::{LogRecord, Records};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The fault that the in-memory log simulates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Fault {
    #[default]
    Nothing,
    Down,
    /// Appends take effect but return an error.
    AnswersLost,
    /// Appends have no effect and return an error.
    AppendsLost,
}

#[derive(Debug, Default)]
struct Inner {
    records: Vec<LogRecord>,
    fault: Fault,
}

#[derive(Clone, Debug)]
struct MemoryLog(Arc<Mutex<Inner>>, Instant);

impl MemoryLog {
    fn new() -> Self {
        Self(Arc::default(), Instant::now())
    }

    fn set(&self, fault: Fault) {
        self.0.lock().expect("the lock is not poisoned").fault = fault;
    }

    fn text(&self) -> String {
        let inner = self.0.lock().expect("the lock is not poisoned");
        inner.records.iter().map(|r| r.data.as_str()).collect()
    }
}

impl LogService for MemoryLog {
    async fn append(&self, _stream: &str, records: Vec<String>) -> limehollow_edge::Result<u64> {
        sleep(Duration::from_millis(2)).await;
        let at_ms = u64::try_from(self.1.elapsed().as_millis()).expect("a test is short");
        let mut inner = self.0.lock().expect("the lock is not poisoned");
        let fails = || StatusSnafu {
            what: "log append",
            status: 504_u16,
            body: "",
        };
        if matches!(inner.fault, Fault::Down | Fault::AppendsLost) {
            return fails().fail();
        }
        let first = inner.records.len() as u64;
        for (offset, data) in (first..).zip(records) {
            inner.records.push(LogRecord {
                offset,
                at_ms,
                data,
            });
        }
        if inner.fault == Fault::AnswersLost {
            fails().fail()
        } else {
            Ok(first)
        }
    }

    async fn read(
        &self,
        _stream: &str,
        from: u64,
        limit: u32,
        wait: Duration,
    ) -> limehollow_edge::Result<Records> {
        let end = Instant::now() + wait;
        loop {
            {
                let inner = self.0.lock().expect("the lock is not poisoned");
                if inner.fault == Fault::Down {
                    return StatusSnafu {
                        what: "log read",
                        status: 503_u16,
                        body: "",
                    }
                    .fail();
                }
                let next = inner.records.len() as u64;
                if from < next || Instant::now() >= end {
                    let all = inner.records.iter().filter(|r| r.offset >= from);
                    let records = all.take(limit as usize).cloned().collect();
                    return Ok(Records {
                        first: 0,
                        next,
                        records,
                    });
                }
            }
            sleep(Duration::from_millis(5)).await;
        }
    }
}

fn gateway(log: &MemoryLog, vm: &str) -> ClaimClient {
    let identity = GatewayIdentity {
        vm: vm.into(),
        incarnation: 1,
        address: "127.0.0.1:1".to_owned(),
    };
    let task = ClaimTask::new(
        log.clone(),
        identity,
        ClaimSettings::default(),
        Metrics::default(),
    );
    let claim_client = task.claim_client();
    tokio::spawn(task.run());
    claim_client
}

fn far_deadline() -> Instant {
    Instant::now() + Duration::from_secs(30)
}

async fn acquire(c: &ClaimClient, key: u128) -> Claim {
    match c.claim(key, far_deadline()).await {
        ClaimOutcome::Acquired(claim) => claim,
        other => panic!("the claim was not acquired: {other:?}"),
    }
}

async fn settle() {
    sleep(Duration::from_millis(100)).await;
}

#[tokio::test(start_paused = true)]
async fn claim_first_of_two() {
    let log = MemoryLog::new();
    let (one, two) = (gateway(&log, "vm-1"), gateway(&log, "vm-2"));
    settle().await;
    let (a, b) = tokio::join!(one.claim(7, far_deadline()), two.claim(7, far_deadline()));
    let acquired = [&a, &b]
        .iter()
        .filter(|c| matches!(c, ClaimOutcome::Acquired(_)))
        .count();
    assert_eq!(acquired, 1, "{a:?} {b:?}");
}

#[tokio::test(start_paused = true)]
async fn claim_while_under_way_and_after() {
    let log = MemoryLog::new();
    let g = gateway(&log, "vm-1");
    settle().await;
    let claim = acquire(&g, 7).await;
    assert!(matches!(
        g.claim(7, far_deadline()).await,
        ClaimOutcome::Duplicate(Fate::Running)
    ));
    claim.complete(None);
    settle().await;
    assert!(matches!(
        g.claim(7, far_deadline()).await,
        ClaimOutcome::Duplicate(Fate::Unknown)
    ));
}

#[tokio::test(start_paused = true)]
async fn claim_released_is_free_for_all() {
    let log = MemoryLog::new();
    let (one, two) = (gateway(&log, "vm-1"), gateway(&log, "vm-2"));
    settle().await;
    acquire(&one, 7).await.release();
    settle().await;
    acquire(&two, 7).await;
}

#[tokio::test(start_paused = true)]
async fn claim_dropped_before_and_after_dispatch() {
    let log = MemoryLog::new();
    let (one, two) = (gateway(&log, "vm-1"), gateway(&log, "vm-2"));
    settle().await;
    drop(acquire(&one, 7).await);
    settle().await;
    let again = acquire(&two, 7).await;
    again.mark_dispatched();
    drop(again);
    settle().await;
    assert!(
        !matches!(
            one.claim(7, far_deadline()).await,
            ClaimOutcome::Acquired(_)
        ),
        "it may have run"
    );
}

#[tokio::test(start_paused = true)]
async fn claim_whose_append_answer_is_lost() {
    let log = MemoryLog::new();
    let (one, two) = (gateway(&log, "vm-1"), gateway(&log, "vm-2"));
    settle().await;
    log.set(Fault::AnswersLost);
    let claim = acquire(&one, 7).await;
    assert!(claim.is_valid());
    log.set(Fault::Nothing);
    assert!(!matches!(
        two.claim(7, far_deadline()).await,
        ClaimOutcome::Acquired(_)
    ));
}

#[tokio::test(start_paused = true)]
async fn claim_whose_append_is_lost() {
    let log = MemoryLog::new();
    let (one, two) = (gateway(&log, "vm-1"), gateway(&log, "vm-2"));
    settle().await;
    log.set(Fault::AppendsLost);
    let started = Instant::now();
    assert!(matches!(
        one.claim(7, far_deadline()).await,
        ClaimOutcome::Undecided(_)
    ));
    assert!(
        started.elapsed() < Duration::from_secs(3),
        "the claim is refused soon"
    );
    log.set(Fault::Nothing);
    acquire(&two, 7).await;
}

#[tokio::test(start_paused = true)]
async fn claim_while_down_is_given_back() {
    let log = MemoryLog::new();
    let one = gateway(&log, "vm-1");
    settle().await;
    log.set(Fault::Down);
    assert!(matches!(
        one.claim(7, far_deadline()).await,
        ClaimOutcome::Undecided(_)
    ));
    log.set(Fault::Nothing);
    sleep(Duration::from_secs(3)).await;
    acquire(&one, 7).await;
}

#[tokio::test(start_paused = true)]
async fn claim_of_a_caller_that_left() {
    // The caller stops waiting while its claim is being appended: the key must not stay claimed.
    let log = MemoryLog::new();
    let one = gateway(&log, "vm-1");
    settle().await;
    let claim = one.claim(7, Instant::now() + Duration::from_millis(1));
    assert!(matches!(claim.await, ClaimOutcome::Undecided(_)));
    settle().await;
    acquire(&one, 7).await;
    assert!(log.text().contains("\"release\":true") || !log.text().contains("\"num\":1,"));
}

#[tokio::test(start_paused = true)]
async fn claim_paused_for_long() {
    // A gateway that was paused between claim and dispatch must not rely on the claim for longer than
    // other gateways are certain to retain it.
    let log = MemoryLog::new();
    let one = gateway(&log, "vm-1");
    settle().await;
    let claim = acquire(&one, 7).await;
    assert!(claim.is_valid());
    sleep(Duration::from_millis(
        ClaimSettings::default().memory_ms / 2,
    ))
    .await;
    assert!(!claim.is_valid());
}

#[tokio::test(start_paused = true)]
async fn claims_share_appends() {
    let log = MemoryLog::new();
    let one = gateway(&log, "vm-1");
    settle().await;
    let claims: Vec<_> = (0..200_u128)
        .map(|key| {
            let one = one.clone();
            tokio::spawn(async move {
                matches!(
                    one.claim(key, far_deadline()).await,
                    ClaimOutcome::Acquired(_)
                )
            })
        })
        .collect();
    for w in claims {
        assert!(w.await.expect("the task ends"));
    }
    let appends = log
        .0
        .lock()
        .expect("the lock is not poisoned")
        .records
        .len();
    assert!(appends <= 5, "{appends} appends for 200 claims");
}
