//! The process's Prometheus metrics.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// The label of an outcome or a reason.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EventLabels {
    /// The outcome, the reason or the feed, depending on the metric.
    pub what: &'static str,
}

/// The labels of the end of an endpoint's answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AnswerEndLabels {
    /// How the answer was framed.
    pub framing: &'static str,
    /// How far its body had come.
    pub progress: &'static str,
}

/// The labels of a call to the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StoreCallLabels {
    /// The name of the call.
    pub call: &'static str,
    /// The records that the call concerns.
    pub about: &'static str,
    /// The outcome of the call.
    pub outcome: &'static str,
}

/// The label of a rank.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RankLabels {
    /// The rank; higher ones count as the last.
    pub rank: u32,
}

/// The labels of a decision on a waiting request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct QueueDecisionLabels {
    /// The rank; higher ones count as the last.
    pub rank: u32,
    /// What was decided.
    pub result: &'static str,
}

/// The labels of datagrams between VMs.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct DatagramLabels {
    /// The kind of the datagrams.
    pub kind: &'static str,
    /// Whether the datagrams are sent or received.
    pub way: &'static str,
}

/// The label of a workspace.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct WorkspaceLabels {
    /// The name of the workspace. A configuration contains few workspaces, so the number of label values is small.
    pub workspace: String,
}

/// Upper bounds of the latency histograms, in seconds: chosen around the latency objectives of both users of the
/// system.
const BOUNDS: [f64; 10] = [0.01, 0.03, 0.1, 0.15, 0.3, 0.8, 1.0, 2.0, 4.0, 10.0];

/// The metrics of a process.
#[derive(Clone, Debug)]
pub struct Metrics {
    /// Requests by outcome.
    pub requests: Family<EventLabels, Counter>,
    /// Orderly ends of endpoints' answers, by framing and by the position in the stream.
    pub answer_ends: Family<AnswerEndLabels, Counter>,
    /// Refusals by reason.
    pub refusals: Family<EventLabels, Counter>,
    /// Requests that take a stream up, by how it was known what began the stream.
    pub resumptions: Family<EventLabels, Counter>,
    /// Streams of which this VM remembers what began them.
    pub streams_remembered: Gauge,
    /// Streams that were forgotten before their time, because there were too many.
    pub streams_dropped: Counter,
    /// Requests refused because their workspace was over its limit.
    pub over_limit: Family<WorkspaceLabels, Counter>,
    /// Requests sent to another endpoint.
    pub repeats: Counter,
    /// Requests that endpoints rejected without running them.
    pub endpoint_rejections: Counter,
    /// Endpoints' answers that were ended because they were too large.
    pub answers_too_large: Counter,
    /// Connections opened to endpoints.
    pub connections_opened: Counter,
    /// Time from a request's arrival to the first byte of its answer, in seconds.
    pub first_byte: Histogram,
    /// How late a task of this VM got its turn, in seconds.
    pub own_delay: Histogram,
    /// Time from accepting a caller's connection to its first request, in seconds.
    pub first_read: Histogram,
    /// Bytes that the bodies of requests occupy.
    pub request_bytes: Gauge,
    /// The most bytes that the bodies of requests have occupied since the process started.
    pub request_bytes_peak: Gauge,
    /// Callers' connections, by what became of them at the start, and those closed to make room.
    pub caller_connections: Family<EventLabels, Counter>,
    /// Orders by outcome.
    pub orders: Family<EventLabels, Counter>,
    /// Calls to the platform's store by call and outcome.
    pub store_calls: Family<StoreCallLabels, Counter>,
    /// Datagrams to and from other VMs by kind.
    pub datagrams: Family<DatagramLabels, Counter>,
    /// Bytes of datagrams to and from other VMs by kind.
    pub datagram_bytes: Family<DatagramLabels, Counter>,
    /// Datagrams that were not sent because they exceed the maximum size that other VMs accept.
    pub datagrams_too_large: Counter,
    /// Datagrams that were not sent because this VM had used up its send budget, by kind.
    pub datagrams_held_back: Family<DatagramLabels, Counter>,
    /// Whether this process holds the lease.
    pub holds_lease: Gauge,
    /// Whether this VM reaches endpoints: 0 while it can open no connection to any.
    pub reaches_endpoints: Gauge,
    /// Requests that wait in the queues of this VM's models, by rank.
    pub waiting: Family<RankLabels, Gauge>,
    /// Decisions of the queues of this VM's models, by rank and result.
    pub queue_decisions: Family<QueueDecisionLabels, Counter>,
    /// Time for which requests of this VM have waited for their turn, in seconds.
    pub queue_wait: Histogram,
    /// Endpoints on the list.
    pub endpoints: Gauge,
    /// The age of the copies of the list and of the configuration, in seconds, sampled once a second.
    pub copy_age: Family<EventLabels, Histogram, fn() -> Histogram>,
    /// Records of the store's feeds that could not be parsed.
    pub unreadable_records: Counter,
    /// Restarts of endpoints, observed by a new instance under the same id.
    pub endpoint_restarts: Counter,
    /// Answers in which an endpoint asked this VM for backoff.
    pub rests: Counter,
    /// Endpoints that announced in an answer that they leave.
    pub endpoints_said_leaving: Counter,
    /// Endpoints that state a limit of requests a second.
    pub endpoints_limited: Gauge,
    /// Endpoints that are cold and take less load than they will when warm.
    pub endpoints_cold: Gauge,
    /// Zones that operators have evacuated, so that their endpoints get no new work.
    pub zones_evacuated: Gauge,
    /// Requests that are refused because they crash the endpoints that run them.
    pub requests_quarantined: Gauge,
    /// Requests that were running on an endpoint when it crashed, including those that are refused.
    pub requests_suspected: Gauge,
    /// The version of the configuration in force.
    pub catalog: Gauge,
    /// How often this VM was suspended.
    pub suspensions: Counter,
    /// Restorations of the platform's store from a backup.
    pub store_returns: Counter,
    /// Log lines that were dropped by the rate limit.
    pub lines_left_out: Counter,
}

/// Returns a gauge that starts at one.
fn one() -> Gauge {
    let gauge = Gauge::default();
    gauge.set(1);
    gauge
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            requests: Family::default(),
            answer_ends: Family::default(),
            refusals: Family::default(),
            resumptions: Family::default(),
            streams_remembered: Gauge::default(),
            streams_dropped: Counter::default(),
            over_limit: Family::default(),
            repeats: Counter::default(),
            endpoint_rejections: Counter::default(),
            answers_too_large: Counter::default(),
            connections_opened: Counter::default(),
            first_byte: Histogram::new(BOUNDS),
            own_delay: Histogram::new(BOUNDS),
            first_read: Histogram::new(BOUNDS),
            request_bytes: Gauge::default(),
            request_bytes_peak: Gauge::default(),
            caller_connections: Family::default(),
            orders: Family::default(),
            store_calls: Family::default(),
            datagrams: Family::default(),
            datagram_bytes: Family::default(),
            datagrams_too_large: Counter::default(),
            datagrams_held_back: Family::default(),
            holds_lease: Gauge::default(),
            reaches_endpoints: one(),
            waiting: Family::default(),
            queue_decisions: Family::default(),
            queue_wait: Histogram::new(BOUNDS),
            endpoints: Gauge::default(),
            copy_age: Family::new_with_constructor(|| Histogram::new(BOUNDS)),
            unreadable_records: Counter::default(),
            endpoint_restarts: Counter::default(),
            rests: Counter::default(),
            endpoints_said_leaving: Counter::default(),
            endpoints_limited: Gauge::default(),
            endpoints_cold: Gauge::default(),
            zones_evacuated: Gauge::default(),
            requests_quarantined: Gauge::default(),
            requests_suspected: Gauge::default(),
            catalog: Gauge::default(),
            suspensions: Counter::default(),
            store_returns: Counter::default(),
            lines_left_out: Counter::default(),
        }
    }
}

impl Metrics {
    /// Increments the counter of a family with this label.
    pub fn count(family: &Family<EventLabels, Counter>, what: &'static str) {
        family.get_or_create(&EventLabels { what }).inc();
    }

    /// Counts a request that was refused because its workspace was over its limit.
    pub fn count_over_limit(&self, workspace: &str) {
        let by = WorkspaceLabels {
            workspace: workspace.to_owned(),
        };
        self.over_limit.get_or_create(&by).inc();
    }

    /// Registers the metrics of this VM's own processor time and of callers' connections.
    fn register_own(&self, r: &mut Registry) {
        r.register(
            "own_delay_seconds",
            "How late a task of this VM got its turn",
            self.own_delay.clone(),
        );
        r.register(
            "first_read_seconds",
            "Time from accepting a caller's connection to its first request",
            self.first_read.clone(),
        );
        r.register(
            "caller_connections",
            "Callers' connections",
            self.caller_connections.clone(),
        );
        r.register(
            "request_bytes",
            "Bytes that the bodies of requests occupy",
            self.request_bytes.clone(),
        );
        r.register(
            "request_bytes_peak",
            "The most bytes that the bodies of requests have occupied",
            self.request_bytes_peak.clone(),
        );
    }

    /// Registers the metrics of the queues of models.
    fn register_queues(&self, r: &mut Registry) {
        r.register(
            "waiting",
            "Requests that wait in the queues of this VM's models",
            self.waiting.clone(),
        );
        r.register(
            "queue_decisions",
            "Decisions of the queues of this VM's models",
            self.queue_decisions.clone(),
        );
        r.register(
            "queue_wait_seconds",
            "Time for which requests have waited for their turn",
            self.queue_wait.clone(),
        );
    }

    /// Registers the metrics of calls to the store and of datagrams between VMs.
    fn register_traffic(&self, r: &mut Registry) {
        r.register(
            "store_calls",
            "Calls to the store by call and outcome",
            self.store_calls.clone(),
        );
        r.register(
            "datagrams",
            "Datagrams to and from other VMs by kind",
            self.datagrams.clone(),
        );
        r.register(
            "datagram_bytes",
            "Bytes of datagrams to and from other VMs by kind",
            self.datagram_bytes.clone(),
        );
        r.register(
            "datagrams_too_large",
            "Datagrams not sent because they exceed the maximum size",
            self.datagrams_too_large.clone(),
        );
        r.register(
            "datagrams_held_back",
            "Datagrams not sent because the send budget was used up",
            self.datagrams_held_back.clone(),
        );
    }

    /// Registers the metrics of the limits that endpoints and operators set.
    fn register_limits(&self, r: &mut Registry) {
        r.register(
            "rests",
            "Answers in which an endpoint asked this VM for backoff",
            self.rests.clone(),
        );
        r.register(
            "endpoints_said_leaving",
            "Endpoints that announced that they leave",
            self.endpoints_said_leaving.clone(),
        );
        r.register(
            "endpoints_limited",
            "Endpoints that state a limit of requests a second",
            self.endpoints_limited.clone(),
        );
        r.register(
            "endpoints_cold",
            "Endpoints that are cold and take less load than when warm",
            self.endpoints_cold.clone(),
        );
        r.register(
            "zones_evacuated",
            "Zones whose endpoints get no new work",
            self.zones_evacuated.clone(),
        );
    }

    /// Registers the metrics of endpoints' answers.
    fn register_answers(&self, r: &mut Registry) {
        r.register(
            "answer_ends",
            "Orderly ends of endpoints' answers by framing and position",
            self.answer_ends.clone(),
        );
        r.register(
            "answers_too_large",
            "Endpoints' answers that were ended because they were too large",
            self.answers_too_large.clone(),
        );
    }

    /// Registers the metrics of streams that are taken up.
    fn register_streams(&self, r: &mut Registry) {
        r.register(
            "resumptions",
            "Requests that take a stream up, by how its version was known",
            self.resumptions.clone(),
        );
        r.register(
            "streams_remembered",
            "Streams of which this VM remembers the version",
            self.streams_remembered.clone(),
        );
        r.register(
            "streams_dropped",
            "Streams forgotten before their time",
            self.streams_dropped.clone(),
        );
    }

    /// Returns the registry that the administration port exports.
    #[must_use]
    pub fn registry(&self) -> Registry {
        let mut r = Registry::with_prefix("limehollow");
        r.register("requests", "Requests by outcome", self.requests.clone());
        self.register_answers(&mut r);
        r.register("refusals", "Refusals by reason", self.refusals.clone());
        self.register_streams(&mut r);
        r.register(
            "over_limit",
            "Requests refused because their workspace was over its limit",
            self.over_limit.clone(),
        );
        r.register(
            "repeats",
            "Requests sent to another endpoint",
            self.repeats.clone(),
        );
        r.register(
            "endpoint_rejections",
            "Requests that endpoints rejected without running them",
            self.endpoint_rejections.clone(),
        );
        r.register(
            "connections_opened",
            "Connections opened to endpoints",
            self.connections_opened.clone(),
        );
        r.register(
            "first_byte_seconds",
            "Time from arrival to the first byte of the answer",
            self.first_byte.clone(),
        );
        self.register_own(&mut r);
        self.register_queues(&mut r);
        r.register("orders", "Orders by outcome", self.orders.clone());
        r.register(
            "reaches_endpoints",
            "Whether this VM reaches endpoints",
            self.reaches_endpoints.clone(),
        );
        r.register(
            "holds_lease",
            "Whether this process holds the lease",
            self.holds_lease.clone(),
        );
        r.register("endpoints", "Endpoints on the list", self.endpoints.clone());
        r.register(
            "copy_age_seconds",
            "Age of the copies of the store's feeds",
            self.copy_age.clone(),
        );
        r.register(
            "unreadable_records",
            "Records of the store's feeds that could not be parsed",
            self.unreadable_records.clone(),
        );
        r.register(
            "endpoint_restarts",
            "Restarts of endpoints under the same id",
            self.endpoint_restarts.clone(),
        );
        self.register_traffic(&mut r);
        self.register_limits(&mut r);
        r.register(
            "requests_quarantined",
            "Requests refused because they crash the endpoints that run them",
            self.requests_quarantined.clone(),
        );
        r.register(
            "requests_suspected",
            "Requests that were running on an endpoint when it crashed",
            self.requests_suspected.clone(),
        );
        r.register(
            "catalog_version",
            "Version of the configuration in force",
            self.catalog.clone(),
        );
        r.register(
            "store_returns",
            "Restorations of the platform's store from a backup",
            self.store_returns.clone(),
        );
        r.register(
            "suspensions",
            "Suspensions of this VM",
            self.suspensions.clone(),
        );
        r.register(
            "log_lines_left_out",
            "Log lines dropped by the rate limit",
            self.lines_left_out.clone(),
        );
        r
    }
}
