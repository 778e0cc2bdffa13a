//! The messages that a VM sends to the others, without the socket.

use crate::edge::{Feed, Protocol};
use crate::receiver::is_zone_summary;
use crate::site::Site;
use crate::site_view::SiteView;
use crate::start;
use limehollow::backpressure::{RateKind, RateObservation};
use limehollow::balance::{MESSAGE_LIFE, Taken};
use limehollow::candidacy::Notice;
use limehollow::crash_record::CrashRecord;
use limehollow::id::{EndpointKey, VmName};
use limehollow::instance::Instance;
use limehollow::own_reach::Reach;
use limehollow::roster::ModelRef;
use limehollow::send_interval;
use limehollow_wire::gossip::{LastReader, LeaseNotice, ListChanges, Message, RateReport, Scope};
use smol_str::{SmolStr, format_smolstr};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// The least time between a message and an additional one that is sent because something has changed or a
/// request waits.
const URGENT_EVERY: Duration = Duration::from_millis(15);
/// The pause per listening VM after which a full update may be sent before its time.
const EARLY_PAUSE_PER_LISTENER: Duration = Duration::from_millis(8);
/// How long changes of the list are repeated inside the zone. A VM that misses them reads the store.
const LIST_REPEATED_FOR: Duration = Duration::from_millis(250);
/// How long messages name an instance of an endpoint that is gone or leaving: some messages in a row may be
/// lost.
pub(crate) const GONE_SENT_FOR: Duration = Duration::from_millis(1000);
/// The largest number of such instances in one message: a fifth of the endpoints of the largest site.
const MAX_GONE: usize = 64;
/// The largest number of changes of the list in one message.
const MAX_LISTED: usize = 64;
/// How long messages carry a change of an endpoint's rate limit.
const RATE_SENT_FOR: Duration = Duration::from_millis(1000);
/// How often all limits are sent. For up to this time a restarted VM may send to an endpoint without
/// knowing its limit.
const LIMITS_SENT_EVERY: Duration = Duration::from_millis(1000);
/// About how many endpoints one part of a zone summary names.
const MAX_TAKEN: usize = 128;
/// The largest number of VMs without an endpoint in reach that a summary names; a request that is passed on to another one
/// comes back at once.
const MAX_CUT_OFF: usize = 64;
/// The largest number of limits in one message.
const MAX_RATES: usize = 64;

/// The reason for which a VM sends a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trigger {
    Due,
    Changed,
    LoadRequested,
}

/// A message and the addresses to which it is sent.
pub type Outgoing = (Message, Vec<SocketAddr>);

/// Builds the messages of one VM, without the socket.
#[derive(Debug)]
pub struct GossipSender<P> {
    site: Arc<Site<P>>,
    /// A random number that distinguishes this run of the process from others.
    start: u64,
    number: u64,
    seeds: Vec<SocketAddr>,
    /// When the zone summary was last sent.
    summary_sent: Instant,
    /// When the next full update is due.
    due: Instant,
    /// When this VM last sent any message, and when it last sent a full update.
    last_sent: Instant,
    full_update_sent: Instant,
    /// When all limits of endpoints were last sent, and how many times.
    limits_sent: Instant,
    limit_round: usize,
}

impl<P> GossipSender<P>
where
    P: Protocol,
{
    /// Creates the sender of a VM that hasn't sent anything yet.
    #[must_use]
    pub fn new(site: Arc<Site<P>>) -> Self {
        Self {
            start: rand::random(),
            number: 0,
            seeds: start::seed_addresses(&site.settings.load()),
            summary_sent: site.now(),
            due: site.now(),
            last_sent: site.now(),
            full_update_sent: site.now(),
            limits_sent: site.now(),
            limit_round: 0,
            site,
        }
    }

    /// Waits until there is something to send, and returns it. Wakes the controller, if it runs on this VM,
    /// when a load is requested or something changed.
    pub async fn next(&mut self, wake_controller: &Notify) -> Vec<Outgoing> {
        let site = Arc::clone(&self.site);
        let trigger = tokio::select! {
            biased;
            () = site.clock.sleep_until(self.due) => Trigger::Due,
            () = site.urgent_update.notified() => Trigger::Changed,
            () = site.load_requested.notified() => Trigger::LoadRequested,
        };
        if trigger != Trigger::Due {
            wake_controller.notify_one();
            site.clock.sleep_until(self.last_sent + URGENT_EVERY).await;
        }
        let now = site.now();
        self.last_sent = now;
        match trigger {
            Trigger::Due => self.full_update(now),
            _ if self.may_send_full_update(now) => self.full_update(now),
            Trigger::Changed => self.changes_message(now),
            Trigger::LoadRequested => self.loads_message(now).into_iter().collect(),
        }
    }

    /// Returns `true` if a full update may be sent before its time, together with an urgent message. The
    /// more VMs listen, the rarer this is, so that the cost is the same in each zone.
    fn may_send_full_update(&self, now: Instant) -> bool {
        let listeners = self.site.view().peers.responsive_neighbours(now).len();
        let pause = EARLY_PAUSE_PER_LISTENER * u32::try_from(listeners).unwrap_or(u32::MAX);
        listeners > 0 && now.saturating_duration_since(self.full_update_sent) >= pause
    }

    /// Returns the messages that this VM sends at its regular interval, with their targets.
    pub fn full_update(&mut self, now: Instant) -> Vec<Outgoing> {
        self.full_update_sent = now;
        let site = Arc::clone(&self.site);
        let mut view = site.view();
        let view = &mut *view;
        let interval = send_interval::of_messages(view.peers.neighbour_count());
        self.due = now + interval.mul_f64(rand::random_range(send_interval::JITTER));
        let told = view.quarantine.take_batch(now);
        let mut own = self.own(now, view, told.own_zone);
        own.rates = self.rates(now, view);
        own.reports = view.reports.next_batch();
        own.requested_loads = std::mem::take(&mut view.unsent_loads).into_iter().collect();
        let mut to = view.peers.zone_recipients(now);
        if !own.requested_loads.is_empty() {
            to.extend(controller(now, view).filter(|a| !to.contains(a)));
        }
        if view.peers.known_vms() == 1 {
            to.clone_from(&self.seeds);
        }
        let mut outgoing = other_zone_messages(&own, now, view, told.other_zones);
        // The interval is drawn anew each time. Compared with the undrawn interval, every second message
        // would come too early for a summary.
        let is_due =
            now.duration_since(self.summary_sent) >= interval.mul_f64(send_interval::JITTER.start);
        if is_due && view.peers.is_zone_leader(now) {
            self.summary_sent = now;
            let targets = view.peers.zone_targets(now);
            for part in zone_summary(&own, now, view) {
                outgoing.push((part, targets.clone()));
            }
        }
        outgoing.extend(list_messages(&own, view, &to));
        outgoing.push((own, to));
        outgoing
    }

    /// Returns what has changed and can't wait for the next full update, with the targets. Usage of
    /// endpoints and demand, which are most of a message, aren't repeated.
    fn changes_message(&mut self, now: Instant) -> Vec<Outgoing> {
        let site = Arc::clone(&self.site);
        let mut view = site.view();
        let view = &mut *view;
        let told = view.quarantine.take_batch(now);
        let mut own = self.own(now, view, told.own_zone);
        own.rates = self.rates(now, view);
        own.reports = view.reports.next_batch();
        let to = view.peers.zone_recipients(now);
        let mut outgoing = other_zone_messages(&own, now, view, told.other_zones);
        outgoing.extend(list_messages(&own, view, &to));
        let change = Message {
            scope: Scope::Change,
            taken: Vec::new(),
            unreached: Vec::new(),
            demand: Vec::new(),
            ..own
        };
        outgoing.push((change, to));
        outgoing
    }

    /// Returns the requested loads for the controller. While no controller is known, they go into the next
    /// full update.
    fn loads_message(&mut self, now: Instant) -> Option<Outgoing> {
        let site = Arc::clone(&self.site);
        let mut view = site.view();
        let view = &mut *view;
        let to = controller(now, view)?;
        if view.unsent_loads.is_empty() {
            return None;
        }
        let requested_loads = std::mem::take(&mut view.unsent_loads).into_iter().collect();
        let own = self.own(now, view, Vec::new());
        let message = Message {
            forward: false,
            requested_loads,
            lease: None,
            ..controller_news(&own)
        };
        Some((message, vec![to]))
    }

    /// Returns the limits of endpoints to send: those that changed recently, and at a longer interval all.
    fn rates(&mut self, now: Instant, view: &SiteView) -> Vec<RateReport> {
        let backpressure = &view.balance.backpressure;
        let limits = if now.duration_since(self.limits_sent) >= LIMITS_SENT_EVERY {
            self.limits_sent = now;
            self.rotate_limits(backpressure.active_limits().collect())
        } else {
            backpressure
                .recent_changes(now, RATE_SENT_FOR)
                .take(MAX_RATES)
                .collect()
        };
        let rates = limits.into_iter().filter_map(|(k, kind, w)| {
            let instance = view.roster.get(k)?.instance.clone();
            Some(RateReport::at(now, instance, kind, w))
        });
        rates.collect()
    }

    /// Returns as many limits as fit into a message, starting with others the next time.
    fn rotate_limits(
        &mut self,
        mut limits: Vec<(EndpointKey, RateKind, RateObservation)>,
    ) -> Vec<(EndpointKey, RateKind, RateObservation)> {
        self.limit_round += 1;
        if limits.len() > MAX_RATES {
            let first = self.limit_round * MAX_RATES % limits.len();
            limits.rotate_left(first);
            limits.truncate(MAX_RATES);
        }
        limits
    }

    fn own(&mut self, now: Instant, view: &mut SiteView, crashes: Vec<CrashRecord>) -> Message {
        self.number += 1;
        let fresh = |at: &Instant, life: Duration| now.duration_since(*at) < life;
        view.recent_list_changes
            .retain(|(at, _)| fresh(at, LIST_REPEATED_FOR));
        let named = |(k, t): (EndpointKey, Taken)| {
            let e = view.roster.get(k)?;
            Some((e.instance.clone(), t))
        };
        let own_vm = SmolStr::new(self.site.own_vm.as_str());
        Message {
            scope: Scope::Vm,
            forward: false,
            zone: SmolStr::new(self.site.zone.as_str()),
            vms: 1,
            address: format_smolstr!("{}", self.site.settings.load().peer_address()),
            millicores: self.site.settings.load().millicores(),
            reaches_store: !view.lease_failing,
            start: self.start,
            number: self.number,
            taken: view.balance.own().filter_map(named).collect(),
            unreached: unreached(now, view),
            cut_off: cut_off(&own_vm, view),
            gone: recent_instances(now, &view.gone),
            leaving: recent_instances(now, &view.leaving),
            demand: rates(view.arrivals.rates(now)),
            requested_loads: Vec::new(),
            reports: Vec::new(),
            list: Vec::new(),
            lease: own_notice(now, view),
            positions: view.positions,
            reading: view.feed_reads.own_ages(now),
            last_reader: last_reader(now, &own_vm, view),
            crashes,
            crashes_digest: view.quarantine.digest(),
            reads_list: view.feed_reads.can_read(Feed::Endpoints),
            vms_known: u16::try_from(view.quotas.vms()).unwrap_or(u16::MAX),
            rates: Vec::new(),
            part: 0,
            parts: 1,
            from: own_vm,
        }
    }
}

/// Returns the address of the VM that gives orders, if that is another VM and known.
fn controller(now: Instant, view: &SiteView) -> Option<SocketAddr> {
    let holder = view.candidacy.holder(now)?;
    view.peers.address(holder)
}

/// Returns the messages that other zones get as soon as something is known.
fn other_zone_messages(
    own: &Message,
    now: Instant,
    view: &mut SiteView,
    crashed: Vec<CrashRecord>,
) -> Vec<Outgoing> {
    let mut outgoing = Vec::new();
    if !own.reports.is_empty() {
        outgoing.push((controller_news(own), view.peers.zone_targets(now)));
    }
    if !crashed.is_empty() {
        outgoing.push((crashes(own, crashed), view.peers.next_in_other_zones()));
    }
    outgoing
}

/// Returns the messages with changes of the list for the zone.
fn list_messages(own: &Message, view: &SiteView, to: &[SocketAddr]) -> Vec<Outgoing> {
    let parts = split_list_changes(view).into_iter();
    parts.map(|l| (list_message(own, l), to.to_vec())).collect()
}

/// Returns the instances of endpoints that were recently found to be gone or leaving. In a message for
/// other zones these are those of all VMs of this zone, since each VM records what another one found as its
/// own finding.
fn recent_instances(now: Instant, found: &BTreeMap<Instance, Instant>) -> Vec<Instance> {
    let fresh = found
        .iter()
        .filter(|(_, at)| now.duration_since(**at) < GONE_SENT_FOR);
    fresh.map(|(i, _)| i.clone()).take(MAX_GONE).collect()
}

/// Returns the VM that read the configuration last, of this VM and all that it knows of.
fn last_reader(now: Instant, own_vm: &SmolStr, view: &SiteView) -> Option<LastReader> {
    let own = view.feed_reads.last_read(Feed::Configuration);
    let other = view.confirmation.reader();
    let last = own.map(|at| (own_vm, at)).into_iter().chain(other);
    let (vm, at) = last.max_by_key(|(_, at)| *at)?;
    Some(LastReader::at(now, vm.clone(), at))
}

/// Returns this VM if it reaches no endpoint.
fn cut_off(own_vm: &SmolStr, view: &SiteView) -> Vec<SmolStr> {
    let is_cut = view.own_reach.is_cut();
    is_cut.then(|| own_vm.clone()).into_iter().collect()
}

/// Returns the VMs of this zone that reach no endpoint.
fn cut_off_in_zone(own: &Message, now: Instant, view: &SiteView) -> Vec<SmolStr> {
    let others = view.peers.cut_off_in_zone(now).cloned();
    let all = own.cut_off.iter().cloned().chain(others);
    all.take(MAX_CUT_OFF).collect()
}

/// Returns the endpoints that this VM couldn't reach recently. While it may itself be cut off, that is nothing to tell.
fn unreached(now: Instant, view: &SiteView) -> Vec<Instance> {
    if view.own_reach.state(now) != Reach::Sound {
        return Vec::new();
    }
    let keys = view.balance.unreached(now);
    keys.filter_map(|k| Some(view.roster.get(k)?.instance.clone()))
        .collect()
}

fn rates(rates: Vec<(ModelRef, f64)>) -> Vec<(ModelRef, f32)> {
    #[expect(clippy::cast_possible_truncation, reason = "rounding is harmless")]
    let narrow = |(m, r)| (m, r as f32);
    rates.into_iter().map(narrow).collect()
}

/// Returns the changes of the list to send, in parts that each fit in a message.
fn split_list_changes(view: &SiteView) -> Vec<Vec<ListChanges>> {
    let mut out: Vec<Vec<ListChanges>> = Vec::new();
    let mut room = 0;
    for (_, l) in &view.recent_list_changes {
        let n = l.changes.len().max(1);
        match out.last_mut().filter(|_| n <= room) {
            Some(part) => part.push(l.clone()),
            None => {
                out.push(vec![l.clone()]);
                room = MAX_LISTED;
            }
        }
        room = room.saturating_sub(n);
    }
    out
}

/// Builds a message for the VMs of the zone that carries only changes of the list.
fn list_message(own: &Message, list: Vec<ListChanges>) -> Message {
    Message {
        forward: false,
        reports: Vec::new(),
        lease: None,
        list,
        ..controller_news(own)
    }
}

/// Builds a message that carries only records of requests under which endpoints crashed.
fn crashes(own: &Message, crashes: Vec<CrashRecord>) -> Message {
    Message {
        crashes,
        reports: Vec::new(),
        lease: None,
        ..controller_news(own)
    }
}

/// Builds a message that carries only what the controller did.
fn controller_news(own: &Message) -> Message {
    Message {
        scope: Scope::News,
        forward: true,
        vms: 0,
        taken: Vec::new(),
        unreached: Vec::new(),
        gone: Vec::new(),
        leaving: Vec::new(),
        demand: Vec::new(),
        requested_loads: Vec::new(),
        list: Vec::new(),
        crashes: Vec::new(),
        rates: Vec::new(),
        cut_off: Vec::new(),
        ..own.clone()
    }
}

/// Builds the summary of a zone over its VMs, in as many parts as it takes for each to fit in a datagram.
fn zone_summary(own: &Message, now: Instant, view: &SiteView) -> Vec<Message> {
    let here = |vm: &VmName| !is_zone_summary(vm);
    let fresh = |at: &Instant| now.duration_since(*at) < MESSAGE_LIFE;
    let mut taken: BTreeMap<Instance, Taken> = own.taken.iter().cloned().collect();
    for (instance, t) in view
        .taken
        .values()
        .filter(|(at, _)| fresh(at))
        .flat_map(|(_, t)| t)
    {
        taken.entry(instance.clone()).or_default().add(t);
    }
    let mut demand: BTreeMap<ModelRef, f32> = own.demand.iter().cloned().collect();
    let others = view
        .demand
        .iter()
        .filter(|(vm, (at, _))| here(vm) && fresh(at));
    for (m, d) in others.flat_map(|(_, (_, d))| d) {
        *demand.entry(m.clone()).or_default() += d;
    }
    let whole = Message {
        scope: Scope::Zone,
        vms: u16::try_from(view.peers.alive_in_zone(now)).unwrap_or(u16::MAX),
        demand: demand.into_iter().collect(),
        gone: own.gone.clone(),
        leaving: own.leaving.clone(),
        rates: own.rates.clone(),
        cut_off: cut_off_in_zone(own, now, view),
        reports: Vec::new(),
        lease: zone_notice(now, view),
        ..controller_news(own)
    };
    split_summary(&whole, taken.into_iter().collect())
}

/// Splits a zone's usage of endpoints among as many messages as it takes. An endpoint is always in the same
/// part as long as the number of parts stays, so that each part replaces the former one.
fn split_summary(whole: &Message, taken: Vec<(Instance, Taken)>) -> Vec<Message> {
    let parts = taken.len().div_ceil(MAX_TAKEN).max(1).next_power_of_two();
    let mut rows = vec![Vec::new(); parts];
    for row in taken {
        let at = usize::try_from(xxh3_64(row.0.id.as_bytes())).unwrap_or(0) % parts;
        rows[at].push(row);
    }
    let parts = u8::try_from(parts).unwrap_or(u8::MAX);
    let messages = rows.into_iter().zip(0..).map(|(taken, part)| {
        let first = if part == 0 {
            whole.clone()
        } else {
            usage_only(whole)
        };
        Message {
            taken,
            part,
            parts,
            ..first
        }
    });
    messages.collect()
}

/// Builds a further part of a zone summary, which carries only usage.
fn usage_only(whole: &Message) -> Message {
    Message {
        demand: Vec::new(),
        gone: Vec::new(),
        leaving: Vec::new(),
        rates: Vec::new(),
        lease: None,
        ..whole.clone()
    }
}

/// Returns this VM's notice about the lease, if it holds the lease or has just resigned.
fn own_notice(now: Instant, view: &SiteView) -> Option<LeaseNotice> {
    let (notice, until) = view.lease_notice.as_ref()?;
    (now < *until).then(|| lease_notice(now, notice))
}

/// Returns the notice of a VM of this zone about the lease, for the other zones.
fn zone_notice(now: Instant, view: &SiteView) -> Option<LeaseNotice> {
    let heard = view.candidacy.recent_notice(now);
    let here = heard.filter(|w| view.peers.is_in_own_zone(&w.vm));
    here.map(|w| lease_notice(now, w))
}

fn lease_notice(now: Instant, w: &Notice) -> LeaseNotice {
    let ago = |t: Instant| u32::try_from(now.duration_since(t).as_millis()).unwrap_or(u32::MAX);
    LeaseNotice {
        vm: w.vm.clone(),
        fence: w.fence,
        holds: w.holds,
        ordered_ms_ago: w.last_order.map(ago),
    }
}
