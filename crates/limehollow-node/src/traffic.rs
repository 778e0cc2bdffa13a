//! Counts of the datagrams between VMs by kind. A kind of traffic that grows faster than the site shows
//! here first.

use crate::counting_store;
use crate::edge::Protocol;
use crate::metrics::{DatagramLabels, Metrics};
use crate::site::Site;
use limehollow::send_budget::Urgency;
use limehollow_wire::gossip::{Datagram, Message, QueryBody, Scope};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

const OWN: &str = "a VM's own";
const CHANGES: &str = "changes of a VM's own";
const SUMMARY: &str = "sums of a zone";
const SUMMARY_RELAYED: &str = "sums of a zone, passed on";
const NEWS: &str = "news";
const NEWS_RELAYED: &str = "news, passed on";
const CONFIGURATION: &str = "question: configuration";
const START: &str = "question: start";
const TOKENS: &str = "question: tokens";
const PLACE: &str = "question: place";
const EARNINGS: &str = "question: earnings";
const STREAM_ORIGIN: &str = "question: stream origin";
const VERSIONS: &str = "question: versions";
const ANSWER: &str = "answer";
const ORIGINS: &str = "origins of streams";
const SLOTS: &str = "slots held";

/// All kinds of datagrams.
const KINDS: [&str; 16] = [
    OWN,
    CHANGES,
    SUMMARY,
    SUMMARY_RELAYED,
    NEWS,
    NEWS_RELAYED,
    CONFIGURATION,
    START,
    TOKENS,
    PLACE,
    EARNINGS,
    STREAM_ORIGIN,
    VERSIONS,
    ANSWER,
    ORIGINS,
    SLOTS,
];
/// How often the totals are logged.
const LOG_TOTALS_EVERY: Duration = Duration::from_secs(10);

/// The direction of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// This VM sends the datagram.
    Sent,
    /// The datagram came from another VM.
    Received,
}

/// Counts a datagram of `bytes` bytes that is sent to `copies` VMs, or received.
pub(crate) fn count(
    metrics: &Metrics,
    direction: Direction,
    d: &Datagram,
    bytes: usize,
    copies: usize,
) {
    let by = DatagramLabels {
        kind: kind(d),
        way: match direction {
            Direction::Sent => "sent",
            Direction::Received => "received",
        },
    };
    let (bytes, copies) = (to_u64(bytes), to_u64(copies));
    metrics.datagrams.get_or_create(&by).inc_by(copies);
    metrics
        .datagram_bytes
        .get_or_create(&by)
        .inc_by(bytes * copies);
}

/// Counts copies of a datagram that were not sent because the budget didn't allow it.
pub(crate) fn count_held_back(metrics: &Metrics, d: &Datagram, copies: usize) {
    if copies > 0 {
        let by = DatagramLabels {
            kind: kind(d),
            way: "sent",
        };
        metrics
            .datagrams_held_back
            .get_or_create(&by)
            .inc_by(to_u64(copies));
    }
}

fn to_u64(n: usize) -> u64 {
    u64::try_from(n).unwrap_or(u64::MAX)
}

/// Returns the urgency of a datagram for the send budget.
pub(crate) fn urgency(d: &Datagram) -> Urgency {
    match d {
        Datagram::Query(_) | Datagram::Answer(_) => Urgency::Answer,
        Datagram::Origins(_) | Datagram::Slots(_) => Urgency::Change,
        Datagram::Message(m) => match (m.scope, m.forward) {
            (Scope::Change | Scope::News, _) => Urgency::Change,
            (Scope::Vm, _) | (Scope::Zone, true) => Urgency::Periodic,
            (Scope::Zone, false) => Urgency::Relayed,
        },
    }
}

/// Returns the kind of a datagram, as a label of metrics.
pub(crate) fn kind(d: &Datagram) -> &'static str {
    match d {
        Datagram::Message(m) => message_kind(m),
        Datagram::Query(q) => match q.body {
            QueryBody::Configuration => CONFIGURATION,
            QueryBody::Start(_) => START,
            QueryBody::Tokens { .. } => TOKENS,
            QueryBody::Assignment { .. } | QueryBody::Leave { .. } => PLACE,
            QueryBody::Earnings { .. } => EARNINGS,
            QueryBody::StreamOrigin(_) => STREAM_ORIGIN,
            QueryBody::Versions => VERSIONS,
        },
        Datagram::Answer(_) => ANSWER,
        Datagram::Origins(_) => ORIGINS,
        Datagram::Slots(_) => SLOTS,
    }
}

fn message_kind(m: &Message) -> &'static str {
    match (m.scope, m.forward) {
        (Scope::Vm, _) => OWN,
        (Scope::Change, _) => CHANGES,
        (Scope::Zone, true) => SUMMARY,
        (Scope::Zone, false) => SUMMARY_RELAYED,
        (Scope::News, true) => NEWS,
        (Scope::News, false) => NEWS_RELAYED,
    }
}

/// Logs at an interval the totals of what was sent, received and requested from the store, for as long as
/// the process lives.
pub async fn log_totals<P>(site: Arc<Site<P>>)
where
    P: Protocol,
{
    let mut due = site.now();
    loop {
        due += LOG_TOTALS_EVERY;
        site.clock.sleep_until(due).await;
        let (bytes, calls) = (totals(&site.metrics), counting_store::totals(&site.metrics));
        tracing::info!(?bytes, ?calls, "traffic since the start");
    }
}

/// Returns the total bytes of each kind, sent and received.
fn totals(metrics: &Metrics) -> BTreeMap<String, u64> {
    let mut out = BTreeMap::new();
    for way in ["sent", "received"] {
        for kind in KINDS {
            let by = DatagramLabels { kind, way };
            let bytes = metrics.datagram_bytes.get(&by).map_or(0, |c| c.get());
            if bytes > 0 {
                out.insert(format!("{way} {kind}"), bytes);
            }
        }
    }
    out
}
