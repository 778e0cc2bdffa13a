//! Texts for operators.

use limehollow::fleet::{Fleet, PlanState};
use limehollow::placement::memory_use;
use limehollow::plan::Step;
use std::fmt::Write;

const MIB: u64 = 1 << 20;

/// Shows a plan: its moves, the memory of each accelerator before, at the peak and after, and steps.
#[must_use]
pub fn plan(fleet: &Fleet, p: &PlanState) -> String {
    let mut s = String::new();
    let plan = &p.plan;
    line(
        &mut s,
        &format!("plan {} answers intent {}", p.offset, plan.intent),
    );
    line(&mut s, &format!("moves {}", plan.moves()));
    line(&mut s, "memory in MiB: capacity, before, peak, after");
    for m in memory_use(fleet, plan) {
        let place = format!("{}/{}", m.place.endpoint, m.place.accelerator);
        let row = format!(
            "  {place:<20} {:>8} {:>8} {:>8} {:>8}",
            m.capacity / MIB,
            m.before / MIB,
            m.peak / MIB,
            m.after / MIB
        );
        line(&mut s, &row);
    }
    line(&mut s, "steps");
    for (i, step) in plan.steps.iter().enumerate() {
        line(&mut s, &format!("  {:>3} {}", i + 1, step_line(step)));
    }
    s
}

fn step_line(s: &Step) -> String {
    format!(
        "{:<6} {}@{} at {}/{} in {}, {} MiB",
        s.action.as_str(),
        s.model.name,
        s.model.version,
        s.place.endpoint,
        s.place.accelerator,
        s.zone,
        s.bytes / MIB
    )
}

/// Shows what is in force.
#[must_use]
pub fn status(fleet: &Fleet) -> String {
    let mut s = String::new();
    match fleet.in_force_offset() {
        Some(o) => line(&mut s, &format!("offset in force {o}")),
        None => line(&mut s, "nothing is in force yet"),
    }
    if let Some(p) = fleet.latest_intent() {
        line(
            &mut s,
            &format!("latest intent {} by {}", p.offset, p.intent.operator),
        );
    }
    if let Some(p) = fleet.plan_in_force() {
        line(
            &mut s,
            &format!("plan in force {} for intent {}", p.offset, p.plan.intent),
        );
    }
    for (zone, l) in fleet.leases() {
        line(
            &mut s,
            &format!("lease of {zone}: {} since offset {}", l.holder, l.epoch),
        );
    }
    for (name, e) in fleet.endpoints() {
        let ready: usize = e.accelerators.iter().map(|a| a.replicas.len()).sum();
        line(
            &mut s,
            &format!(
                "endpoint {name} in {}: {:?}, {ready} replicas",
                e.zone, e.presence
            ),
        );
    }
    let open = fleet.orders().filter(|(_, o)| o.settled.is_none()).count();
    line(&mut s, &format!("moves done {}", fleet.moves_done()));
    line(&mut s, &format!("orders without a known outcome {open}"));
    for (m, ready) in fleet.underreplicated_models() {
        line(
            &mut s,
            &format!(
                "short of replicas: {} has {ready} of {}",
                m.name, m.replicas
            ),
        );
    }
    let (void, unread) = fleet.void_and_unread();
    line(
        &mut s,
        &format!("void records {void}, records of another release {unread}"),
    );
    s
}

fn line(s: &mut String, text: &str) {
    // Writing to a string doesn't fail.
    let _ok = writeln!(s, "{text}");
}
