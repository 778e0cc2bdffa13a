//! The messages between the VMs of a site, by datagram.
//!
//! Inside a zone, each VM sends several times a second its usage of the endpoints and the demand of its
//! callers. One VM of each zone sends a zone summary to the other zones. The controller sends reports of
//! its orders to all zones. The next message makes up for a lost datagram ([`limehollow::peers`],
//! `docs/design/system.md`).

use crate::edge::{Feed, Protocol};
use crate::logging;
use crate::metrics::{EventLabels, Metrics};
use crate::query;
pub use crate::receiver::handle_message;
use crate::resumption::{self, OriginSender};
use crate::sender::GONE_SENT_FOR;
pub use crate::sender::{GossipSender, Outgoing};
use crate::site::Site;
use crate::site_view::SiteView;
use crate::slots::{self, SlotReporter};
use crate::traffic::{self, Direction};
use crate::waiting;
use limehollow::balance::MESSAGE_LIFE;
use limehollow::send_budget::{SendBudget, Urgency};
use limehollow_wire::gossip::{Datagram, Message, decode, encode};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::{Instant, interval, sleep};

/// The pause after a datagram could not be read.
const READ_RETRY_PAUSE: Duration = Duration::from_millis(15);
/// The largest datagram that is sent or read.
const MAX_MESSAGE: usize = 60 << 10;
/// The time after which the reported demand of a VM's callers, and the loads that they requested, are no
/// longer counted.
const DEMAND_LIFE: Duration = Duration::from_secs(2);
const REQUESTED_LOAD_LIFE: Duration = Duration::from_secs(1);
/// How often expired state is removed.
const SWEEP_EVERY: Duration = Duration::from_secs(1);

/// The socket for this VM's datagrams, with the send budget that they share.
#[derive(Debug)]
pub struct GossipSocket<P> {
    site: Arc<Site<P>>,
    socket: UdpSocket,
    budget: Mutex<SendBudget>,
}

impl<P> GossipSocket<P>
where
    P: Protocol,
{
    /// Wraps a socket, with the send budget of the settings.
    #[must_use]
    pub fn new(site: Arc<Site<P>>, socket: UdpSocket) -> Self {
        let rate = site.settings.load().gossip_bytes_per_s();
        Self {
            budget: Mutex::new(SendBudget::new(site.now(), rate)),
            site,
            socket,
        }
    }

    async fn send_message(&self, message: Message, to: &[SocketAddr]) {
        self.send(&Datagram::Message(Box::new(message)), to).await;
    }

    /// Sends a datagram to as many of the targets as the budget allows.
    async fn send(&self, datagram: &Datagram, to: &[SocketAddr]) {
        let metrics = &self.site.metrics;
        let bytes = match encode(datagram) {
            Ok(b) => b,
            Err(e) => {
                tracing::error!(error = %e, "failed to encode a message");
                return;
            }
        };
        if bytes.len() > MAX_MESSAGE {
            metrics.datagrams_too_large.inc();
            tracing::error!(
                bytes = bytes.len(),
                kind = traffic::kind(datagram),
                "a message doesn't fit in a datagram"
            );
            return;
        }
        // A random start, so that it isn't always the same targets that get no copy.
        let first = rand::random_range(0..to.len().max(1));
        let (before, from) = to.split_at(first);
        let mut sent = 0;
        for a in from.iter().chain(before) {
            if !self.may_send(bytes.len(), traffic::urgency(datagram)) {
                break;
            }
            sent += 1;
            // A VM that is gone refuses the datagram or is silent. Its silence is noticed elsewhere.
            if let Err(e) = self.socket.send_to(&bytes, *a).await {
                tracing::debug!(to = %a, error = %e, "failed to send a message");
            }
        }
        traffic::count(metrics, Direction::Sent, datagram, bytes.len(), sent);
        traffic::count_held_back(metrics, datagram, to.len() - sent);
    }

    fn may_send(&self, bytes: usize, urgency: Urgency) -> bool {
        let rate = self.site.settings.load().gossip_bytes_per_s();
        let now = self.site.now();
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget.set_rate(now, rate);
        budget.try_spend(now, bytes, urgency)
    }
}

/// Sends this VM's messages for as long as the process lives.
pub async fn send<P>(site: Arc<Site<P>>, socket: Arc<GossipSocket<P>>, wake_controller: Arc<Notify>)
where
    P: Protocol,
{
    let mut s = GossipSender::new(Arc::clone(&site));
    loop {
        let outgoing = s.next(&wake_controller).await;
        log_suspension(&site);
        for (message, to) in outgoing {
            socket.send_message(message, &to).await;
        }
    }
}

/// Logs a suspension of the machine after it has resumed. Whatever waits for a time recomputes its deadline
/// then.
///
/// Ages need no correction, as they are computed with a clock that counts the suspension. This is called
/// several times a second.
fn log_suspension<P>(site: &Site<P>)
where
    P: Protocol,
{
    if let Some(lost) = site.clock.detect_suspension() {
        site.metrics.suspensions.inc();
        tracing::warn!(lost_ms = lost.as_millis(), "this machine was suspended");
    }
}

/// Receives other VMs' messages for as long as the process lives.
pub async fn receive<P>(
    site: Arc<Site<P>>,
    socket: Arc<GossipSocket<P>>,
    wake_controller: Arc<Notify>,
) where
    P: Protocol,
{
    let mut buf = vec![0; MAX_MESSAGE];
    loop {
        let (n, from) = match socket.socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(e) => {
                pause_after(&e).await;
                continue;
            }
        };
        let datagram = match decode(&buf[..n]) {
            Ok(d) => d,
            Err(e) => {
                tracing::debug!(error = %e, "failed to decode a message");
                continue;
            }
        };
        traffic::count(&site.metrics, Direction::Received, &datagram, n, 1);
        let w = match datagram {
            Datagram::Message(w) => *w,
            Datagram::Query(q) => {
                let answer = Datagram::Answer(query::answer(&site, q));
                socket.send(&answer, &[from]).await;
                continue;
            }
            Datagram::Answer(a) => {
                site.queries.complete(a);
                continue;
            }
            Datagram::Origins(records) => {
                resumption::receive(&site, records);
                continue;
            }
            Datagram::Slots(report) => {
                slots::receive(&site, report);
                continue;
            }
        };
        if !w.requested_loads.is_empty() {
            wake_controller.notify_one();
        }
        if let Some((message, to)) = handle_message(&site, w) {
            socket.send_message(message, &to).await;
        }
    }
}

/// Sends this VM's queries to other VMs for as long as the process lives.
pub async fn send_questions<P>(site: Arc<Site<P>>, socket: Arc<GossipSocket<P>>)
where
    P: Protocol,
{
    let Some(mut rx) = site.queries.take_outgoing() else {
        return;
    };
    while let Some((to, q)) = rx.recv().await {
        socket.send(&Datagram::Query(q), &[to]).await;
    }
}

/// Tells other VMs what began this VM's streams, for as long as the process lives.
pub async fn send_origins<P>(site: Arc<Site<P>>, socket: Arc<GossipSocket<P>>)
where
    P: Protocol,
{
    let mut s = OriginSender::new(site);
    loop {
        for (to, records) in s.next().await {
            socket.send(&Datagram::Origins(records), &[to]).await;
        }
    }
}

/// Reports the slots of brittle endpoints that this VM holds to the VMs that grant them, for as long as the process lives.
pub async fn send_slots<P>(site: Arc<Site<P>>, socket: Arc<GossipSocket<P>>)
where
    P: Protocol,
{
    let mut reporter = SlotReporter::new(site);
    loop {
        if let Some((report, to)) = reporter.next().await {
            socket.send(&Datagram::Slots(report), &to).await;
        }
    }
}

async fn pause_after(e: &io::Error) {
    tracing::debug!(error = %e, "failed to receive a message");
    sleep(READ_RETRY_PAUSE).await;
}

/// Records in the metrics the ages of those copies of feeds that have a bound.
fn record_ages(now: Instant, view: &SiteView, metrics: &Metrics) {
    let feeds = [
        (Feed::Configuration, "configuration"),
        (Feed::Endpoints, "endpoints"),
    ];
    for (feed, what) in feeds {
        if let Some(f) = view.feed_reads.freshness(feed) {
            let age = f.age(now).as_secs_f64();
            metrics
                .copy_age
                .get_or_create(&EventLabels { what })
                .observe(age);
        }
    }
}

/// Forgets requests under which endpoints crashed too long ago. The zone's leader has them removed from the
/// store as well.
fn forget_crashes(now: Instant, view: &mut SiteView) {
    for request in view.quarantine.sweep(now) {
        tracing::info!(%request, "a quarantined request is forgotten");
        if view.peers.is_zone_leader(now) {
            view.quarantine.mark_unsaved(request);
        }
    }
}

/// Forgets streams that no caller waits for any more.
fn forget_streams(now: Instant, view: &mut SiteView, metrics: &Metrics) {
    view.stream_origins.sweep(now);
    let remembered = i64::try_from(view.stream_origins.len()).unwrap_or(i64::MAX);
    metrics.streams_remembered.set(remembered);
    let dropped = view.stream_origins.take_dropped();
    if dropped > 0 {
        metrics.streams_dropped.inc_by(dropped);
        tracing::warn!(
            dropped,
            "too many streams: some were forgotten before their time"
        );
    }
}

/// Removes expired state once a second, and logs how many log lines were dropped.
pub async fn sweep<P>(site: Arc<Site<P>>)
where
    P: Protocol,
{
    let mut ticks = interval(SWEEP_EVERY);
    loop {
        ticks.tick().await;
        let now = site.now();
        {
            let mut view = site.view();
            let view: &mut SiteView = &mut view;
            view.balance.refresh(now);
            waiting::sweep(now, view, &site.metrics);
            forget_crashes(now, view);
            view.warm_up(now);
            view.drop_limits();
            view.forget_removals(now);
            forget_streams(now, view, &site.metrics);
            view.version_history.record_listed(now, &view.roster);
            view.update_vm_count(now, 0);
            let settings = site.settings.load();
            view.quotas.set_allowance(now, settings.quota_allowance());
            view.quotas.set_cold_allowance(settings.cold_allowance());
            record_ages(now, view, &site.metrics);
            if view.roster.apply_held_back(now) {
                site.endpoints_changed.notify_waiters();
            }
            view.demand
                .retain(|_, (at, _)| now.duration_since(*at) < DEMAND_LIFE);
            view.taken
                .retain(|_, (at, _)| now.duration_since(*at) < MESSAGE_LIFE);
            view.requested_loads
                .retain(|_, at| now.duration_since(*at) < REQUESTED_LOAD_LIFE);
            for recent in [&mut view.gone, &mut view.leaving] {
                recent.retain(|_, at| now.duration_since(*at) < GONE_SENT_FOR);
            }
            let is_there = |k| view.roster.get(k).is_some();
            view.crash_watch.sweep(now);
            site.pool.sweep(is_there);
            site.control_pool.sweep(is_there);
        }
        let dropped = logging::refill();
        if dropped > 0 {
            site.metrics.lines_left_out.inc_by(dropped);
            tracing::warn!(lines = dropped, "log lines on requests were dropped");
        }
    }
}
