//! The metrics of a controller.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// The metrics of a controller. Labels are bounded: there are none.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    /// Records read from the log.
    pub records: Counter,
    /// Records that were void.
    pub void_records: Counter,
    /// Reads of the log that failed.
    pub log_failures: Counter,
    /// Records appended, by this process.
    pub appends: Counter,
    /// Appends that failed or whose answer was lost.
    pub append_failures: Counter,
    /// Orders sent to endpoints.
    pub orders_sent: Counter,
    /// Looks at endpoints.
    pub polls: Counter,
    /// Looks that failed.
    pub poll_failures: Counter,
    /// Messages to peers.
    pub gossip_sent: Counter,
    /// Bytes of those messages.
    pub gossip_bytes: Counter,
    /// The offset of the next record.
    pub next_offset: Gauge,
    /// Whether this process holds its zone's lease.
    pub holds_lease: Gauge,
    /// Loads and unloads that took effect, in the whole fleet.
    pub moves: Gauge,
    /// Orders without a known outcome, in the whole fleet.
    pub open_orders: Gauge,
    /// Models with fewer ready replicas than were asked for, in the whole fleet.
    pub short_models: Gauge,
}

impl Metrics {
    /// Makes the registry that shows them.
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
            ("looks", "Looks at endpoints", &self.polls),
            (
                "look_failures",
                "Looks at endpoints that failed",
                &self.poll_failures,
            ),
            ("gossip_sent", "Messages to peers", &self.gossip_sent),
            (
                "gossip_bytes",
                "Bytes of messages to peers",
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
