//! The metrics of a gateway.

use limehollow::intent::Priority;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// The labels of a finished request. All values come from short fixed lists, which bounds the number
/// of time series.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// `completion` or `service`.
    pub kind: &'static str,
    /// `high`, `normal` or `low`.
    pub priority: &'static str,
    /// `attained`, `late`, `refused`, `unknown`, `cut`, `left`, `bad` or `replayed`.
    pub outcome: &'static str,
}

/// The metrics of a gateway.
#[derive(Clone, Debug)]
pub struct Metrics {
    /// Finished requests.
    pub requests: Family<RequestLabels, Counter>,
    /// Attempts at endpoints.
    pub attempts: Counter,
    /// Attempts of a request after its first.
    pub retries: Counter,
    /// Streams that were resumed at another endpoint.
    pub resumed: Counter,
    /// Requests in the admission queue.
    pub waiting: Gauge,
    /// Open connections of callers.
    pub connections: Gauge,
    /// The log offset of the next record to apply.
    pub next_offset: Gauge,
    /// Idempotency keys that are claimed.
    pub claims: Gauge,
    /// Appends of claim batches to the log.
    pub claim_appends: Counter,
    /// Time to the first byte of an answer, in seconds.
    pub first_byte: Histogram,
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            requests: Family::default(),
            attempts: Counter::default(),
            retries: Counter::default(),
            resumed: Counter::default(),
            waiting: Gauge::default(),
            connections: Gauge::default(),
            next_offset: Gauge::default(),
            claims: Gauge::default(),
            claim_appends: Counter::default(),
            first_byte: Histogram::new(exponential_buckets(0.001, 2.0, 16)),
        }
    }
}

impl Metrics {
    /// Counts a finished request.
    pub fn record_request(&self, kind: &'static str, priority: Priority, outcome: &'static str) {
        let labels = RequestLabels {
            kind,
            priority: priority.as_str(),
            outcome,
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Returns a registry that exports the metrics.
    #[must_use]
    pub fn registry(&self) -> Registry {
        let mut r = Registry::with_prefix("limehollow_gateway");
        r.register("requests", "Requests that ended", self.requests.clone());
        r.register("attempts", "Attempts at endpoints", self.attempts.clone());
        r.register("retries", "Attempts after the first", self.retries.clone());
        r.register(
            "resumed",
            "Streams that went on at another endpoint",
            self.resumed.clone(),
        );
        r.register("waiting", "Requests that wait", self.waiting.clone());
        r.register(
            "connections",
            "Open connections of callers",
            self.connections.clone(),
        );
        r.register(
            "next_offset",
            "The offset of the next record",
            self.next_offset.clone(),
        );
        r.register("claims", "Keys that are held", self.claims.clone());
        r.register(
            "claim_appends",
            "Appends of claims",
            self.claim_appends.clone(),
        );
        let help = "Time to the first byte of an answer";
        r.register("first_byte_seconds", help, self.first_byte.clone());
        r
    }
}
