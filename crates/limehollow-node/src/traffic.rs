//! What VMs say to each other, counted by kind: what grows faster than the site shows here first.

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
const SUMS: &str = "sums of a zone";
const SUMS_ON: &str = "sums of a zone, passed on";
const NEWS: &str = "news";
const NEWS_ON: &str = "news, passed on";
const CONFIGURATION: &str = "question: configuration";
const START: &str = "question: start";
const TOKENS: &str = "question: tokens";
const PLACE: &str = "question: place";
const EARNINGS: &str = "question: earnings";
const ANSWER: &str = "answer";

/// All kinds of datagrams.
const KINDS: [&str; 12] = [
    OWN,
    CHANGES,
    SUMS,
    SUMS_ON,
    NEWS,
    NEWS_ON,
    CONFIGURATION,
    START,
    TOKENS,
    PLACE,
    EARNINGS,
    ANSWER,
];
/// How often a line says what was sent and received so far.
const SAY_EVERY: Duration = Duration::from_secs(10);

/// How a datagram goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// This VM sends it.
    Sent,
    /// It came from another VM.
    Received,
}

/// Counts a datagram of so many bytes, which goes to so many VMs.
pub(crate) fn count(metrics: &Metrics, way: Direction, d: &Datagram, bytes: usize, copies: usize) {
    let by = DatagramLabels {
        kind: kind(d),
        way: match way {
            Direction::Sent => "sent",
            Direction::Received => "received",
        },
    };
    let (bytes, copies) = (whole(bytes), whole(copies));
    metrics.datagrams.get_or_create(&by).inc_by(copies);
    metrics
        .datagram_bytes
        .get_or_create(&by)
        .inc_by(bytes * copies);
}

/// Counts copies of a datagram that were not sent.
pub(crate) fn count_held_back(metrics: &Metrics, d: &Datagram, copies: usize) {
    if copies > 0 {
        let by = DatagramLabels {
            kind: kind(d),
            way: "sent",
        };
        metrics
            .datagrams_held_back
            .get_or_create(&by)
            .inc_by(whole(copies));
    }
}

fn whole(n: usize) -> u64 {
    u64::try_from(n).unwrap_or(u64::MAX)
}

/// Tells how much a datagram matters.
pub(crate) fn urgency(d: &Datagram) -> Urgency {
    match d {
        Datagram::Query(_) | Datagram::Answer(_) => Urgency::Answer,
        Datagram::Message(m) => match (m.scope, m.forward) {
            (Scope::Change | Scope::News, _) => Urgency::Change,
            (Scope::Vm, _) | (Scope::Zone, true) => Urgency::Periodic,
            (Scope::Zone, false) => Urgency::Relayed,
        },
    }
}

/// Names what a datagram is.
pub(crate) fn kind(d: &Datagram) -> &'static str {
    match d {
        Datagram::Message(m) => message_kind(m),
        Datagram::Query(q) => match q.body {
            QueryBody::Configuration => CONFIGURATION,
            QueryBody::Start(_) => START,
            QueryBody::Tokens { .. } => TOKENS,
            QueryBody::Assignment { .. } => PLACE,
            QueryBody::Earnings { .. } => EARNINGS,
        },
        Datagram::Answer(_) => ANSWER,
    }
}

fn message_kind(m: &Message) -> &'static str {
    match (m.scope, m.forward) {
        (Scope::Vm, _) => OWN,
        (Scope::Change, _) => CHANGES,
        (Scope::Zone, true) => SUMS,
        (Scope::Zone, false) => SUMS_ON,
        (Scope::News, true) => NEWS,
        (Scope::News, false) => NEWS_ON,
    }
}

/// Says from time to time what was sent, received and asked of the store so far, for as long as the process lives.
pub async fn log_totals<P>(site: Arc<Site<P>>)
where
    P: Protocol,
{
    let mut due = site.now();
    loop {
        due += SAY_EVERY;
        site.clock.sleep_until(due).await;
        let (bytes, calls) = (totals(&site.metrics), counting_store::totals(&site.metrics));
        tracing::info!(?bytes, ?calls, "traffic since the start");
    }
}

/// Gives the bytes of each kind so far, sent and received.
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
