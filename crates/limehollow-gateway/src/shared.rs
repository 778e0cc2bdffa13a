//! State shared by the traffic threads.

use crate::claims::ClaimClient;
use crate::limit::Connections;
use crate::metrics::Metrics;
use crate::settings::GatewaySettings;
use crate::shared_admission::SharedAdmission;
use arc_swap::ArcSwap;
use limehollow::retry::RetryBudget;
use limehollow::routing::Table;
use limehollow_edge::http::{CONNECT_TIMEOUT, classify};
use limehollow_edge::request_memory::RequestMemory;
use limehollow_wire::peer::WireUnmet;
use smol_str::SmolStr;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// How long an idle connection to an endpoint is kept for the next request.
const POOL_IDLE: Duration = Duration::from_secs(15);

/// State shared by the traffic threads.
#[derive(Debug)]
pub struct Shared {
    /// The settings.
    pub settings: GatewaySettings,
    /// The routing table, read without a lock.
    pub table: Arc<ArcSwap<Table>>,
    /// Admission, with its queue of waiting requests.
    pub admission: Arc<SharedAdmission>,
    /// The handle for claims on idempotency keys.
    pub claim_client: ClaimClient,
    /// The metrics.
    pub metrics: Metrics,
    /// Open connections of callers.
    pub connections: Arc<Connections>,
    /// The memory for the bodies of requests.
    pub request_memory: RequestMemory,
    /// Refused requests since the last report to the controller.
    pub unmet_demand: UnmetDemand,
    /// The HTTP client for requests that may be repeated.
    pub client: reqwest::Client,
    /// The HTTP client for requests that must not be repeated. It opens a new connection for each
    /// request: an endpoint may close a reused connection just as a request is sent on it, and then
    /// it is not known whether the request ran.
    pub unrepeatable_client: reqwest::Client,
    budget: Mutex<RetryBudget>,
}

impl Shared {
    /// Creates the shared state.
    ///
    /// # Errors
    ///
    /// Returns an error if an HTTP client can't be created.
    pub fn new(
        settings: GatewaySettings,
        table: Arc<ArcSwap<Table>>,
        admission: Arc<SharedAdmission>,
        claim_client: ClaimClient,
        metrics: Metrics,
    ) -> limehollow_edge::Result<Self> {
        Ok(Self {
            settings,
            table,
            admission,
            claim_client,
            metrics,
            connections: Arc::default(),
            request_memory: RequestMemory::default(),
            unmet_demand: UnmetDemand::default(),
            client: client(usize::MAX)?,
            unrepeatable_client: client(0)?,
            budget: Mutex::default(),
        })
    }

    /// Locks and returns the retry budget.
    pub fn budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn client(idle: usize) -> limehollow_edge::Result<reqwest::Client> {
    let builder = reqwest::Client::builder()
        .no_proxy()
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_max_idle_per_host(idle)
        .pool_idle_timeout(POOL_IDLE)
        .redirect(reqwest::redirect::Policy::none())
        .tcp_nodelay(true);
    builder.build().map_err(|e| classify("client", e))
}

/// The maximum number of models in one report of unmet demand.
const MAX_REPORTED: usize = 8;

/// Counts of refused requests by model.
#[derive(Debug, Default)]
pub struct UnmetDemand(Mutex<HashMap<SmolStr, u32>>);

impl UnmetDemand {
    /// Records a request that was refused because no replica had a free slot.
    pub fn record(&self, model: &SmolStr) {
        *self.lock().entry(model.clone()).or_default() += 1;
    }

    /// Returns the rates of refused requests over the time `over`, the highest first, and resets the
    /// counts.
    pub fn drain(&self, over: Duration) -> Vec<WireUnmet> {
        let counts = std::mem::take(&mut *self.lock());
        let mut rows: Vec<(SmolStr, u32)> = counts.into_iter().collect();
        rows.sort_by_key(|(_, n)| std::cmp::Reverse(*n));
        rows.truncate(MAX_REPORTED);
        let millis = u32::try_from(over.as_millis()).unwrap_or(u32::MAX).max(1);
        rows.into_iter()
            .map(|(model, n)| {
                let rate = n.saturating_mul(1_000_000) / millis;
                WireUnmet {
                    vm: SmolStr::default(),
                    model,
                    rate,
                    age_ms: 0,
                }
            })
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SmolStr, u32>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
