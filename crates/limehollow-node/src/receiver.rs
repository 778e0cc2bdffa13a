//! How another VM's message is taken in, and what of it is passed on.

use crate::edge::Protocol;
use crate::endpoint_signals;
use crate::quarantine_sync::ReportedDigest;
use crate::sender::{Outgoing, pace_of_sums};
use crate::site::Site;
use limehollow::balance::Taken;
use limehollow::candidacy::Notice;
use limehollow::id::{EndpointKey, VmName, ZoneName};
use limehollow::instance::Instance;
use limehollow_wire::gossip::{LeaseNotice, Message, Scope};
use std::time::Duration;
use tokio::time::Instant;

/// Takes in another VM's message. Gives what is to be passed on, and to whom.
pub fn handle_message<P>(site: &Site<P>, mut w: Message) -> Option<Outgoing>
where
    P: Protocol,
{
    let is_forwarded = std::mem::take(&mut w.forward);
    take_in_crashes(site, &mut w);
    let says_nothing = w.scope == Scope::News && w.reports.is_empty() && w.crashes.is_empty();
    let passes_on = is_forwarded && !says_nothing && is_due(site, &w);
    let on = passes_on.then(|| {
        (
            w.clone(),
            site.view().peers.responsive_neighbours(site.now()),
        )
    });
    take_in(site, w);
    on
}

/// Takes in what another VM knows of requests under which endpoints crashed, and leaves what of it is new: only that is
/// passed on.
///
/// Each zone is told of a crash several times. While all that came was passed on, a burst of 36 crashes cost each of 300 VMs
/// 36 kB a second for ten seconds, and 27 kB without that (`tests/quarantine_spread.rs`).
fn take_in_crashes<P>(site: &Site<P>, w: &mut Message)
where
    P: Protocol,
{
    let now = site.now();
    let mut view = site.view();
    let from = w.from.clone();
    w.crashes.retain(|r| view.merge_crashes(now, &from, r));
    let is_news = !w.crashes.is_empty();
    // Who only has news to tell is not heard again: what it knew in the middle of a burst would stand for long.
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

/// Tells whether what another VM said for its zone is to be passed on now. Sums are, from time to time: each VM of the zone gets
/// a copy.
fn is_due<P>(site: &Site<P>, w: &Message) -> bool
where
    P: Protocol,
{
    if w.scope != Scope::Zone {
        return true;
    }
    let now = site.now();
    let mut view = site.view();
    let pace = pace_of_sums(view.peers.neighbours().len());
    let last = view.relayed_at.get(&(w.zone.clone(), w.part));
    if last.is_some_and(|t| now.duration_since(*t) < pace) {
        return false;
    }
    view.relayed_at.insert((w.zone.clone(), w.part), now);
    true
}

fn take_in<P>(site: &Site<P>, w: Message)
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
            tracing::info!(vm = %w.from, %address, "a VM was heard of first from itself");
        }
        view.update_vm_count(now, usize::from(w.vms_known));
        if let Some(r) = w.last_reader.filter(|r| r.vm != site.own_vm.as_str()) {
            view.confirmation.record_reader(&r.vm, r.told(now));
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
                view.peers
                    .receive_zone(now, zone, w.from.clone(), usize::from(w.vms));
                let before = view.zone_parts.insert(w.zone.clone(), w.parts);
                for part in 0..before.filter(|n| *n != w.parts).unwrap_or(0) {
                    // An endpoint is in another part now, and would count twice.
                    let former = zone_name(&w.zone, part);
                    view.balance.receive(now, former, Vec::new());
                }
                let from = zone_name(&w.zone, w.part);
                view.balance.receive(now, from.clone(), taken);
                if w.part == 0 {
                    view.demand.insert(from, (now, w.demand));
                }
            }
            Scope::Zone | Scope::News => {}
        }
        view.requested_loads
            .extend(w.wants.into_iter().map(|m| (m, now)));
        // A zone that repeats what is known here says nothing new, but is heard all the same.
        if let Some(notice) = w.lease
            && view.candidacy.observe(now, heard(now, notice))
        {
            site.lease_free.notify_one();
        }
    }
    for r in &w.reports {
        site.report(now, r);
    }
    endpoint_signals::apply_rates(site, &w.from, &w.rates);
    endpoint_signals::apply_leaving(site, &w.from, &w.leaving);
    // Since when the store is sound decides on removals among the changes.
    site.observe_peer(&w.from, w.positions, w.reading);
    for l in w.list {
        site.offer_list_changes(l);
    }
}

fn heard(now: Instant, w: LeaseNotice) -> Notice {
    // What is on its way was said earlier, so the last order can only be longer ago than this says.
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

/// The name under which a part of a zone's sums is kept beside the messages of VMs.
fn zone_name(zone: &str, part: u8) -> VmName {
    VmName::from(format!("{ZONE_MARK}{zone}/{part}"))
}

/// No VM's name begins with it.
const ZONE_MARK: &str = "zone/";

pub(crate) fn is_zone(vm: &VmName) -> bool {
    vm.as_str().starts_with(ZONE_MARK)
}
