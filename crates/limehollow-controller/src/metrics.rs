//! The metrics of a controller.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// The metrics of a controller. They have no labels, so the number of time series is bounded.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    /// Records read from the log.
    pub records: Counter,
    /// Records that were void.
    pub void_records: Counter,
    /// Reads of the log that failed.
    pub log_failures: Counter,
    /// Records that this process appended.
    pub appends: Counter,
    /// Appends that failed or whose answer was lost.
    pub append_failures: Counter,
    /// Orders sent to endpoints.
    pub orders_sent: Counter,
    /// Polls of endpoints; the metric is named `looks`.
    pub polls: Counter,
    /// Polls that failed; the metric is named `look_failures`.
    pub poll_failures: Counter,
    /// Gossip messages sent to peers.
    pub gossip_sent: Counter,
    /// Bytes of the gossip messages sent to peers.
    pub gossip_bytes: Counter,
    /// The offset of the next record.
    pub next_offset: Gauge,
    /// 1 if this process holds its zone's lease, else 0.
    pub holds_lease: Gauge,
    /// Loads and unloads that took effect, in the whole fleet.
    pub moves: Gauge,
    /// Orders without a known outcome, in the whole fleet.
    pub open_orders: Gauge,
    /// Models with fewer ready replicas than the intent asks for, in the whole fleet.
    pub short_models: Gauge,
}

impl Metrics {
    /// Returns a registry with all metrics.
    #[must_use]
    pub fn registry(&self) -> Registry {
        let mut r = Registry::with_prefix("limehollow_controller");
        let counters = [
            ("records", "Records read from the log", &self.records),
            ("void_records", "Records that were void", &self.void_records),
            (
                "log_failures",
                "Reads of the log that failed",
                &self.log_failures,
            ),
            ("appends", "Records appended", &self.appends),
            (
                "append_failures",
                "Appends without a known result",
                &self.append_failures,
            ),
            ("orders_sent", "Orders sent to endpoints", &self.orders_sent),
            ("looks", "Polls of endpoints", &self.polls),
            (
                "look_failures",
                "Polls of endpoints that failed",
                &self.poll_failures,
            ),
            (
                "gossip_sent",
                "Gossip messages sent to peers",
                &self.gossip_sent,
            ),
            (
                "gossip_bytes",
                "Bytes of gossip messages sent to peers",
                &self.gossip_bytes,
            ),
        ];
        for (name, help, metric) in counters {
            r.register(name, help, metric.clone());
        }
        let gauges = [
            (
                "next_offset",
                "The offset of the next record",
                &self.next_offset,
            ),
            (
                "holds_lease",
                "Whether this process holds the lease",
                &self.holds_lease,
            ),
            ("moves", "Loads and unloads that took effect", &self.moves),
            (
                "open_orders",
                "Orders without a known outcome",
                &self.open_orders,
            ),
            (
                "short_models",
                "Models with fewer ready replicas than were asked for",
                &self.short_models,
            ),
        ];
        for (name, help, metric) in gauges {
            r.register(name, help, metric.clone());
        }
        r
    }
}
