//! How another VM's message is applied, and what of it is relayed.

use crate::edge::Protocol;
use crate::endpoint_signals;
use crate::quarantine_sync::ReportedDigest;
use crate::sender::Outgoing;
use crate::site::Site;
use limehollow::balance::Taken;
use limehollow::candidacy::Notice;
use limehollow::id::{EndpointKey, VmName, ZoneName};
use limehollow::instance::Instance;
use limehollow::send_interval;
use limehollow_wire::gossip::{LeaseNotice, Message, Scope};
use std::time::Duration;
use tokio::time::Instant;

/// Applies another VM's message. Returns the message to relay, if any, with its targets.
pub fn handle_message<P>(site: &Site<P>, mut w: Message) -> Option<Outgoing>
where
    P: Protocol,
{
    let is_forwarded = std::mem::take(&mut w.forward);
    merge_crashes(site, &mut w);
    let is_empty = w.scope == Scope::News && w.reports.is_empty() && w.crashes.is_empty();
    let relays = is_forwarded && !is_empty && is_due(site, &w);
    let relayed = relays.then(|| {
        (
            w.clone(),
            site.view().peers.responsive_neighbours(site.now()),
        )
    });
    apply(site, w);
    relayed
}

/// Merges another VM's records of requests under which endpoints crashed, and keeps in the message only the
/// records that were new: only those are relayed.
///
/// Each zone receives the record of a crash several times. While all received records were relayed, a burst
/// of 36 crashes cost each of 300 VMs 36 kB a second for ten seconds, and 27 kB without the repeated ones
/// (`tests/quarantine_spread.rs`).
fn merge_crashes<P>(site: &Site<P>, w: &mut Message)
where
    P: Protocol,
{
    let now = site.now();
    let mut view = site.view();
    let from = w.from.clone();
    w.crashes.retain(|r| view.merge_crashes(now, &from, r));
    let is_news = !w.crashes.is_empty();
    // The digest of a message that carries only news isn't recorded. The next message of its sender may
    // come late, and a digest from the middle of a burst would be kept for long.
    if w.scope != Scope::News
        && let Ok(address) = w.address.parse()
    {
        let said = ReportedDigest {
            at: now,
            digest: w.crashes_digest,
            address,
        };
        view.quarantines.insert(w.from.clone(), said);
        if !view.quarantine.contains(w.crashes_digest) {
            site.quarantine_differs.notify_one();
        }
    }
    drop(view);
    if is_news {
        site.quarantine_unsaved.notify_one();
    }
}

/// Returns `true` if a message for another zone is to be relayed now. Zone summaries are relayed only at an
/// interval, as each VM of the zone gets a copy.
fn is_due<P>(site: &Site<P>, w: &Message) -> bool
where
    P: Protocol,
{
    if w.scope != Scope::Zone {
        return true;
    }
    let now = site.now();
    let mut view = site.view();
    let interval = send_interval::of_summaries(view.peers.neighbour_count());
    let last = view.relayed_at.get(&(w.zone.clone(), w.part));
    if last.is_some_and(|t| now.duration_since(*t) < interval) {
        return false;
    }
    view.relayed_at.insert((w.zone.clone(), w.part), now);
    true
}

fn apply<P>(site: &Site<P>, w: Message)
where
    P: Protocol,
{
    let now = site.now();
    let zone = ZoneName::from(w.zone.as_str());
    {
        let mut view = site.view();
        let view = &mut *view;
        if let Ok(address) = w.address.parse()
            && view
                .peers
                .upsert(w.from.clone(), zone.clone(), address, w.millicores)
        {
            tracing::info!(vm = %w.from, %address, "learned of a VM from its own message");
        }
        view.update_vm_count(now, usize::from(w.vms_known));
        if let Some(r) = w.last_reader.filter(|r| r.vm != site.own_vm.as_str()) {
            view.confirmation.record_reader(&r.vm, r.read_began(now));
        }
        let key = |(i, t): &(Instance, Taken)| Some((view.roster.find(i)?, *t));
        let taken: Vec<(EndpointKey, Taken)> = w.taken.iter().filter_map(key).collect();
        for instance in &w.gone {
            if view.record_gone(now, instance) {
                tracing::info!(%instance, by = %w.from, "an endpoint is gone");
            }
        }
        match w.scope {
            Scope::Vm | Scope::Change => {
                let is_new = view.peers.receive(now, &w.from, w.start, w.number);
                if is_new && zone == site.zone {
                    view.peers.set_reaches_store(&w.from, w.reaches_store);
                    view.peers.set_reads_list(&w.from, w.reads_list);
                    view.peers
                        .set_reaches_endpoints(&w.from, !w.cut_off.contains(&w.from));
                    view.record_furthest_in_zone(&w.from, w.positions.endpoints);
                }
                if is_new && zone == site.zone && w.scope == Scope::Vm {
                    let from = VmName::from(w.from.as_str());
                    view.balance.receive(now, from.clone(), taken);
                    for key in w.unreached.iter().filter_map(|i| view.roster.find(i)) {
                        view.balance.report_unreachable(now, key);
                    }
                    view.taken.insert(from.clone(), (now, w.taken));
                    view.demand.insert(from, (now, w.demand));
                }
            }
            Scope::Zone if zone != site.zone => {
                view.peers.set_cut_off_in_zone(&zone, &w.cut_off);
                view.peers
                    .receive_zone(now, zone, w.from.clone(), usize::from(w.vms));
                let before = view.zone_parts.insert(w.zone.clone(), w.parts);
                for part in 0..before.filter(|n| *n != w.parts).unwrap_or(0) {
                    // An endpoint may be in another part now, and would be counted twice.
                    let former = summary_source(&w.zone, part);
                    view.balance.receive(now, former, Vec::new());
                }
                let from = summary_source(&w.zone, w.part);
                view.balance.receive(now, from.clone(), taken);
                if w.part == 0 {
                    view.demand.insert(from, (now, w.demand));
                }
            }
            Scope::Zone | Scope::News => {}
        }
        view.requested_loads
            .extend(w.requested_loads.into_iter().map(|r| (r, now)));
        // A repeated notice of a zone changes nothing, but still counts as received.
        if let Some(notice) = w.lease
            && view.candidacy.observe(now, to_notice(now, notice))
        {
            site.lease_free.notify_one();
        }
    }
    for r in &w.reports {
        site.report(now, r);
    }
    endpoint_signals::apply_rates(site, &w.from, &w.rates);
    endpoint_signals::apply_leaving(site, &w.from, &w.leaving);
    // The time since which the store is healthy decides on removals among the changes, so it is applied
    // before them.
    site.observe_peer(&w.from, w.positions, w.reading);
    for l in w.list {
        site.offer_list_changes(l);
    }
}

fn to_notice(now: Instant, w: LeaseNotice) -> Notice {
    // The message was on its way for a while, so the last order can only be longer ago than it says.
    let at = |ms: u32| {
        now.checked_sub(Duration::from_millis(u64::from(ms)))
            .unwrap_or(now)
    };
    Notice {
        vm: w.vm,
        fence: w.fence,
        holds: w.holds,
        last_order: w.ordered_ms_ago.map(at),
    }
}

/// Returns the name under which a part of a zone's summary is stored beside the messages of VMs.
fn summary_source(zone: &str, part: u8) -> VmName {
    VmName::from(format!("{ZONE_PREFIX}{zone}/{part}"))
}

/// No VM's name begins with this prefix.
const ZONE_PREFIX: &str = "zone/";

pub(crate) fn is_zone_summary(vm: &VmName) -> bool {
    vm.as_str().starts_with(ZONE_PREFIX)
}
