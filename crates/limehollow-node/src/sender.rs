//! What one VM says to the others, without the socket that it goes through.

use crate::edge::{Feed, Protocol};
use crate::receiver::is_zone;
use crate::site::Site;
use crate::site_view::SiteView;
use crate::start;
use limehollow::backpressure::RateObservation;
use limehollow::balance::{MESSAGE_LIFE, Taken};
use limehollow::candidacy::Notice;
use limehollow::crash_record::CrashRecord;
use limehollow::id::{EndpointKey, VmName};
use limehollow::instance::Instance;
use limehollow::roster::ModelRef;
use limehollow_wire::gossip::{LastReader, LeaseNotice, ListChanges, Message, RateSaid, Scope};
use smol_str::{SmolStr, format_smolstr};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// How often a VM sends inside its zone, and one for it to other zones: a tenth of the tightest objective
/// of the kinds that run models. What is older than that costs worth: at 120 ms inside and 240 ms between
/// zones it was 0.02 to 0.04 on quiet days (`docs/design/system.md`).
const EVERY: Duration = Duration::from_millis(80);
/// The neighbours up to which it sends that often; with more of them it is slower in proportion, down to
/// [`SLOWEST`], so that what a VM has to read stays bounded.
const FEW: usize = 8;
const SLOWEST: Duration = Duration::from_millis(240);
/// How often at most it speaks between its times, when something has changed or a request waits.
const URGENT_EVERY: Duration = Duration::from_millis(15);
/// The pause for each VM that listens, after which the whole message may go before its time.
const EARLY_EACH: Duration = Duration::from_millis(8);
/// The parts of the pace between which the time until a message is drawn.
const OUT_OF_STEP: Range<f64> = 0.9..1.1;
/// The slowest pace at which the sums of another zone are passed on inside a zone: they count for half as long again.
const SLOWEST_SUMS: Duration = Duration::from_millis(1000);
/// For how long changes of the list are repeated inside the zone; who misses them reads the store.
const LIST_REPEATED_FOR: Duration = Duration::from_millis(250);
/// For how long VMs are told of a start of an endpoint that is gone, or leaves: some messages, some of which may be lost.
pub(crate) const GONE_SAID_FOR: Duration = Duration::from_millis(1000);
/// How many of them go into one message: a fifth of the endpoints of the largest site.
const MAX_GONE: usize = 64;
/// How many changes of the list go into one message.
const MAX_LISTED: usize = 64;
/// For how long VMs are told of a change of the limit that an endpoint names.
const RATE_SAID_FOR: Duration = Duration::from_millis(1000);
/// How often all limits are said: as long as a VM that has started again may send to an endpoint without knowing of its limit.
const LIMITS_SAID_EVERY: Duration = Duration::from_millis(1000);
/// How many endpoints a part of a zone's sums names, about.
const MAX_TAKEN: usize = 128;
/// How many limits go into one message.
const MAX_RATES: usize = 64;

/// Gives how often a VM with so many neighbours speaks.
pub(crate) fn pace(neighbours: usize) -> Duration {
    slowed(neighbours).min(SLOWEST)
}

/// Gives how often a VM with so many neighbours passes on what another zone says: each of them gets a copy, and the sums of a zone count for
/// longer than this.
pub(crate) fn pace_of_sums(neighbours: usize) -> Duration {
    slowed(neighbours).min(SLOWEST_SUMS)
}

fn slowed(neighbours: usize) -> Duration {
    #[expect(clippy::cast_precision_loss, reason = "a zone has few VMs")]
    let slower = neighbours as f64 / FEW as f64;
    EVERY.mul_f64(slower.max(1.0))
}

/// What makes a VM speak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Occasion {
    Due,
    Changed,
    Wanted,
}

/// A message and where it goes.
pub type Outgoing = (Message, Vec<SocketAddr>);

/// What one VM says, without the socket that it goes through.
#[derive(Debug)]
pub struct GossipSender<P> {
    site: Arc<Site<P>>,
    /// Tells this start of the process from others.
    start: u64,
    number: u64,
    seeds: Vec<SocketAddr>,
    /// When the zone's sums were said last.
    summed: Instant,
    /// When the next whole message is due.
    due: Instant,
    /// When this VM spoke last, and when it said all.
    spoke: Instant,
    said_all: Instant,
    /// When all limits of endpoints were said last, and how often.
    limits_said: Instant,
    turn: usize,
}

impl<P> GossipSender<P>
where
    P: Protocol,
{
    /// Makes the messages of a VM that has said nothing yet.
    #[must_use]
    pub fn new(site: Arc<Site<P>>) -> Self {
        Self {
            start: rand::random(),
            number: 0,
            seeds: start::seed_addresses(&site.settings.load()),
            summed: site.now(),
            due: site.now(),
            spoke: site.now(),
            said_all: site.now(),
            limits_said: site.now(),
            turn: 0,
            site,
        }
    }

    /// Waits until there is something to say, and gives it. Tells the controller, if it is on this VM, of what is wanted.
    pub async fn next(&mut self, wanted: &Notify) -> Vec<Outgoing> {
        let site = Arc::clone(&self.site);
        let occasion = tokio::select! {
            biased;
            () = site.clock.sleep_until(self.due) => Occasion::Due,
            () = site.urgent_update.notified() => Occasion::Changed,
            () = site.load_requested.notified() => Occasion::Wanted,
        };
        if occasion != Occasion::Due {
            wanted.notify_one();
            site.clock.sleep_until(self.spoke + URGENT_EVERY).await;
        }
        let now = site.now();
        self.spoke = now;
        match occasion {
            Occasion::Due => self.full_update(now),
            _ if self.may_say_all(now) => self.full_update(now),
            Occasion::Changed => self.changes(now),
            Occasion::Wanted => self.wants(now).into_iter().collect(),
        }
    }

    /// Tells whether the whole message may go before its time, when there is something to say anyway: to so many that listen it
    /// goes the more seldom, so that it costs as much in each zone.
    fn may_say_all(&self, now: Instant) -> bool {
        let listeners = self.site.view().peers.responsive_neighbours(now).len();
        let pause = EARLY_EACH * u32::try_from(listeners).unwrap_or(u32::MAX);
        listeners > 0 && now.saturating_duration_since(self.said_all) >= pause
    }

    /// Gives all that this VM says from time to time, and to whom.
    pub fn full_update(&mut self, now: Instant) -> Vec<Outgoing> {
        self.said_all = now;
        let site = Arc::clone(&self.site);
        let mut view = site.view();
        let view = &mut *view;
        let pace = pace(view.peers.neighbours().len());
        self.due = now + pace.mul_f64(rand::random_range(OUT_OF_STEP));
        let told = view.quarantine.take_batch(now);
        let mut own = self.own(now, view, told.own_zone);
        own.rates = self.rates(now, view);
        own.reports = view.reports.next_batch();
        own.wants = std::mem::take(&mut view.unsent_loads).into_iter().collect();
        let mut to = view.peers.zone_recipients(now);
        if !own.wants.is_empty() {
            to.extend(controller(now, view).filter(|a| !to.contains(a)));
        }
        if view.peers.known_vms() == 1 {
            to.clone_from(&self.seeds);
        }
        let mut outgoing = abroad(&own, now, view, told.other_zones);
        // The pause is drawn anew each time: measured by the whole pace, every second message would come too early for sums.
        let is_due = now.duration_since(self.summed) >= pace.mul_f64(OUT_OF_STEP.start);
        if is_due && view.peers.is_zone_leader(now) {
            self.summed = now;
            let targets = view.peers.zone_targets(now);
            for part in sums(&own, now, view) {
                outgoing.push((part, targets.clone()));
            }
        }
        outgoing.extend(list_news(&own, view, &to));
        outgoing.push((own, to));
        outgoing
    }

    /// Gives what has changed and can't wait for the next whole message, and to whom. What its requests take at the endpoints and
    /// what its callers ask for, which is most of a message, isn't said again.
    fn changes(&mut self, now: Instant) -> Vec<Outgoing> {
        let site = Arc::clone(&self.site);
        let mut view = site.view();
        let view = &mut *view;
        let told = view.quarantine.take_batch(now);
        let mut own = self.own(now, view, told.own_zone);
        own.rates = self.rates(now, view);
        own.reports = view.reports.next_batch();
        let to = view.peers.zone_recipients(now);
        let mut outgoing = abroad(&own, now, view, told.other_zones);
        outgoing.extend(list_news(&own, view, &to));
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

    /// Gives what requests wait for that isn't loaded, for the controller. While none is known the next whole message says it.
    fn wants(&mut self, now: Instant) -> Option<Outgoing> {
        let site = Arc::clone(&self.site);
        let mut view = site.view();
        let view = &mut *view;
        let to = controller(now, view)?;
        if view.unsent_loads.is_empty() {
            return None;
        }
        let wants = std::mem::take(&mut view.unsent_loads).into_iter().collect();
        let own = self.own(now, view, Vec::new());
        let message = Message {
            forward: false,
            wants,
            lease: None,
            ..news(&own)
        };
        Some((message, vec![to]))
    }

    /// Gives what is said of the limits that endpoints name: those that are news, and from time to time all.
    fn rates(&mut self, now: Instant, view: &SiteView) -> Vec<RateSaid> {
        let wishes = &view.balance.backpressure;
        let words = if now.duration_since(self.limits_said) >= LIMITS_SAID_EVERY {
            self.limits_said = now;
            self.some_in_turn(wishes.active_limits().collect())
        } else {
            wishes
                .recent_changes(now, RATE_SAID_FOR)
                .take(MAX_RATES)
                .collect()
        };
        let said = words.into_iter().filter_map(|(k, w)| {
            let instance = view.roster.get(k)?.instance.clone();
            Some(RateSaid::at(now, instance, w))
        });
        said.collect()
    }

    /// Gives as many of some words as go into a message, others the next time.
    fn some_in_turn(
        &mut self,
        mut words: Vec<(EndpointKey, RateObservation)>,
    ) -> Vec<(EndpointKey, RateObservation)> {
        self.turn += 1;
        if words.len() > MAX_RATES {
            let first = self.turn * MAX_RATES % words.len();
            words.rotate_left(first);
            words.truncate(MAX_RATES);
        }
        words
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
            gone: fresh_starts(now, &view.gone),
            leaving: fresh_starts(now, &view.leaving),
            demand: rates(view.arrivals.rates(now)),
            wants: Vec::new(),
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

/// Gives where the VM that gives orders listens, if another one is heard to.
fn controller(now: Instant, view: &SiteView) -> Option<SocketAddr> {
    let holder = view.candidacy.holder(now)?;
    view.peers.address(holder)
}

/// Gives what other zones are told of as soon as it is known.
fn abroad(
    own: &Message,
    now: Instant,
    view: &mut SiteView,
    crashed: Vec<CrashRecord>,
) -> Vec<Outgoing> {
    let mut outgoing = Vec::new();
    if !own.reports.is_empty() {
        outgoing.push((news(own), view.peers.zone_targets(now)));
    }
    if !crashed.is_empty() {
        outgoing.push((crashes(own, crashed), view.peers.next_in_other_zones()));
    }
    outgoing
}

/// Gives what the zone is told of changes of the list.
fn list_news(own: &Message, view: &SiteView, to: &[SocketAddr]) -> Vec<Outgoing> {
    let parts = list_parts(view).into_iter();
    parts.map(|l| (list_part(own, l), to.to_vec())).collect()
}

/// Gives the starts of endpoints that were found lately to be gone, or to leave. In a message for other zones they are those of
/// all VMs of this one, since what one VM finds the others take in as found.
fn fresh_starts(now: Instant, found: &BTreeMap<Instance, Instant>) -> Vec<Instance> {
    let fresh = found
        .iter()
        .filter(|(_, at)| now.duration_since(**at) < GONE_SAID_FOR);
    fresh.map(|(i, _)| i.clone()).take(MAX_GONE).collect()
}

/// Gives who read the configuration last, of this VM and all that it has heard of.
fn last_reader(now: Instant, own_vm: &SmolStr, view: &SiteView) -> Option<LastReader> {
    let own = view.feed_reads.last_read(Feed::Configuration);
    let other = view.confirmation.reader();
    let last = own.map(|at| (own_vm, at)).into_iter().chain(other);
    let (vm, at) = last.max_by_key(|(_, at)| *at)?;
    Some(LastReader::at(now, vm.clone(), at))
}

fn unreached(now: Instant, view: &SiteView) -> Vec<Instance> {
    let keys = view.balance.unreached(now);
    keys.filter_map(|k| Some(view.roster.get(k)?.instance.clone()))
        .collect()
}

fn rates(rates: Vec<(ModelRef, f64)>) -> Vec<(ModelRef, f32)> {
    #[expect(clippy::cast_possible_truncation, reason = "rounding is harmless")]
    let narrow = |(m, r)| (m, r as f32);
    rates.into_iter().map(narrow).collect()
}

/// Gives what is passed on of the list, in parts that each fit in a message.
fn list_parts(view: &SiteView) -> Vec<Vec<ListChanges>> {
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

/// Makes a message that only carries changes of the list, for the VMs of the zone.
fn list_part(own: &Message, list: Vec<ListChanges>) -> Message {
    Message {
        forward: false,
        reports: Vec::new(),
        lease: None,
        list,
        ..news(own)
    }
}

/// Makes a message that only carries under which requests endpoints crashed.
fn crashes(own: &Message, crashes: Vec<CrashRecord>) -> Message {
    Message {
        crashes,
        reports: Vec::new(),
        lease: None,
        ..news(own)
    }
}

/// Makes a message that only carries what the controller did.
fn news(own: &Message) -> Message {
    Message {
        scope: Scope::News,
        forward: true,
        vms: 0,
        taken: Vec::new(),
        unreached: Vec::new(),
        gone: Vec::new(),
        leaving: Vec::new(),
        demand: Vec::new(),
        wants: Vec::new(),
        list: Vec::new(),
        crashes: Vec::new(),
        rates: Vec::new(),
        ..own.clone()
    }
}

/// Makes the messages of a zone: the sums over its VMs, in as many parts as it takes for each to fit in a datagram.
fn sums(own: &Message, now: Instant, view: &SiteView) -> Vec<Message> {
    let here = |vm: &VmName| !is_zone(vm);
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
        reports: Vec::new(),
        lease: zone_notice(now, view),
        ..news(own)
    };
    in_parts(&whole, taken.into_iter().collect())
}

/// Divides what a zone has at the endpoints among as many messages as it takes. An endpoint is always in the same one as long as
/// their number stays, so that each replaces what the one before it said.
fn in_parts(whole: &Message, taken: Vec<(Instance, Taken)>) -> Vec<Message> {
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
            rest(whole)
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

/// Makes a further part of a zone's sums, which says nothing else.
fn rest(whole: &Message) -> Message {
    Message {
        demand: Vec::new(),
        gone: Vec::new(),
        leaving: Vec::new(),
        rates: Vec::new(),
        lease: None,
        ..whole.clone()
    }
}

/// Gives what this VM says of the lease, if it holds it or has just resigned.
fn own_notice(now: Instant, view: &SiteView) -> Option<LeaseNotice> {
    let (notice, until) = view.lease_notice.as_ref()?;
    (now < *until).then(|| said(now, notice))
}

/// Gives what a VM of this zone says of the lease, for the other zones.
fn zone_notice(now: Instant, view: &SiteView) -> Option<LeaseNotice> {
    let heard = view.candidacy.recent_notice(now);
    let here = heard.filter(|w| view.peers.is_in_own_zone(&w.vm));
    here.map(|w| said(now, w))
}

fn said(now: Instant, w: &Notice) -> LeaseNotice {
    let ago = |t: Instant| u32::try_from(now.duration_since(t).as_millis()).unwrap_or(u32::MAX);
    LeaseNotice {
        vm: w.vm.clone(),
        fence: w.fence,
        holds: w.holds,
        ordered_ms_ago: w.last_order.map(ago),
    }
}
