//! Turns an intent into a plan.
//!
//! Placement keeps what is already there, spreads replicas over availability zones, leaves headroom
//! for KV cache, and finds an order of steps that fits in memory at every instant and never takes
//! the last replica of a model away (`docs/design/placement.md`).

use crate::error::{NoStepOrderSnafu, Result, UnsatisfiableSnafu};
use crate::fleet::{Fleet, Presence, ReplicaState};
use crate::id::{ModelName, Offset, ZoneName};
use crate::intent::{Intent, ModelIntent};
use crate::plan::{AcceleratorRef, Action, MemoryUse, ModelVersion, Plan, Step, Target};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// An accelerator while a plan is made.
#[derive(Clone, Debug)]
struct Slot {
    place: AcceleratorRef,
    zone: usize,
    /// Memory that models may take once the plan is carried out, in bytes.
    budget: u64,
    capacity: u64,
    /// What the plan has put here so far, in bytes.
    planned: u64,
    /// New versions that the plan loads beside the old ones, in bytes.
    incoming: u64,
    /// What is there or may be there now.
    present: Vec<Present>,
    /// What stands here in the end: indices into the intent's models.
    targets: Vec<usize>,
}

/// What is there or may be there now.
#[derive(Clone, Debug)]
struct Present {
    model: ModelVersion,
    bytes: u64,
    state: ReplicaState,
    /// The base that it stands on, by what was confirmed when it was loaded: the new intent may not
    /// name it any more.
    base: Option<ModelName>,
}

impl Slot {
    fn room(&self) -> u64 {
        self.budget.saturating_sub(self.planned)
    }

    /// Gives what is free as things stand, less what the plan loads beside an old version.
    fn free_now(&self) -> u64 {
        let used: u64 = self.present.iter().map(|p| p.bytes).sum();
        self.capacity.saturating_sub(used + self.incoming)
    }

    fn has(&self, m: &ModelVersion) -> bool {
        self.present.iter().any(|p| p.model == *m)
    }
}

/// Makes a plan for an intent from the fleet's state.
///
/// # Errors
///
/// [`crate::Error::Unsatisfiable`] says what is short, where, and what would mend it;
/// [`crate::Error::NoStepOrder`] says which model could not be kept reachable on the way.
pub fn plan(fleet: &Fleet, offset: Offset, intent: &Intent) -> Result<Plan> {
    intent.check()?;
    let keeping = place(fleet, intent, true);
    let placed = match keeping {
        Ok(p) => p,
        // What is there may be in the way of what is wanted: try again as if nothing were.
        Err(_) => place(fleet, intent, false)?,
    };
    let steps = order_steps(&placed, intent, fleet)?;
    let made_at = fleet.in_force_offset().unwrap_or_default();
    let base = fleet.plan_in_force();
    let (changed, targets) = difference(
        base.map_or(&[], |p| &p.plan.targets),
        placed.targets(intent),
    );
    Ok(Plan {
        intent: offset,
        made_at,
        base: base.map(|p| p.offset),
        changed,
        targets,
        steps,
    })
}

/// Gives the models whose targets differ, and the new targets of these.
///
/// At the size to come a plan that named every replica would be a megabyte and a half for a change to
/// one model (`docs/CAPACITY.md`).
fn difference(old: &[Target], new: Vec<Target>) -> (Vec<ModelName>, Vec<Target>) {
    let mut by_model: BTreeMap<&ModelName, (Vec<&Target>, Vec<&Target>)> = BTreeMap::new();
    for t in old {
        by_model.entry(&t.model.name).or_default().0.push(t);
    }
    for t in &new {
        by_model.entry(&t.model.name).or_default().1.push(t);
    }
    let differs = |(name, (a, b)): (&ModelName, (Vec<_>, Vec<_>))| (a != b).then(|| name.clone());
    let changed: BTreeSet<ModelName> = by_model.into_iter().filter_map(differs).collect();
    let targets = new
        .into_iter()
        .filter(|t| changed.contains(&t.model.name))
        .collect();
    (changed.into_iter().collect(), targets)
}

/// Gives the memory of each accelerator before, at the peak of, and after a plan.
#[must_use]
pub fn memory_use(fleet: &Fleet, plan: &Plan) -> Vec<MemoryUse> {
    let mut rows: BTreeMap<AcceleratorRef, MemoryUse> = BTreeMap::new();
    for (name, e) in fleet
        .endpoints()
        .filter(|(_, e)| e.presence != Presence::Gone)
    {
        for (i, a) in (0_u16..).zip(&e.accelerators) {
            let place = AcceleratorRef {
                endpoint: name.clone(),
                accelerator: i,
            };
            let (before, capacity) = (a.used(), a.capacity);
            let row = MemoryUse {
                place: place.clone(),
                capacity,
                before,
                peak: before,
                after: before,
            };
            rows.insert(place, row);
        }
    }
    for s in &plan.steps {
        let Some(row) = rows.get_mut(&s.place) else {
            continue;
        };
        match s.action {
            Action::Load => row.after += s.bytes,
            Action::Unload => row.after = row.after.saturating_sub(s.bytes),
        }
        row.peak = row.peak.max(row.after);
    }
    rows.into_values().collect()
}

struct Placed {
    slots: Vec<Slot>,
    zones: Vec<ZoneName>,
}

impl Placed {
    fn targets(&self, intent: &Intent) -> Vec<Target> {
        let of_slot = |s: &Slot| {
            let (zone, place) = (self.zones[s.zone].clone(), s.place.clone());
            let target = move |&m: &usize| Target {
                zone: zone.clone(),
                place: place.clone(),
                model: intent.models[m].model_version(),
            };
            s.targets.iter().map(target).collect::<Vec<_>>()
        };
        let mut targets: Vec<Target> = self.slots.iter().flat_map(of_slot).collect();
        targets.sort();
        targets
    }
}

fn place(fleet: &Fleet, intent: &Intent, keep: bool) -> Result<Placed> {
    let mut placed = slots(fleet, intent);
    let order = placing_order(intent);
    let mut counts: Vec<ZoneCounts> = intent
        .models
        .iter()
        .map(|_| ZoneCounts::new(placed.zones.len()))
        .collect();
    let by_name: HashMap<&ModelName, usize> = intent
        .models
        .iter()
        .enumerate()
        .map(|(i, m)| (&m.name, i))
        .collect();
    if keep {
        keep_present(&mut placed, intent, &order, &mut counts);
    }
    let mut by_room = RoomIndex::new(&placed);
    for &m in &order {
        let wanted = usize::from(intent.models[m].replicas);
        while counts[m].total() < wanted {
            let base = intent.models[m].base.as_ref().map(|b| by_name[b]);
            let slot = choose(&placed, &by_room, intent, m, base, &counts[m])?;
            by_room.change(&mut placed, slot, |s| {
                s.planned += intent.models[m].bytes;
                s.targets.push(m);
            });
            counts[m].add(placed.slots[slot].zone);
        }
    }
    Ok(placed)
}

/// Bases before adapters; within them the important first, then the large, since these are the
/// hardest to fit.
fn placing_order(intent: &Intent) -> Vec<usize> {
    let mut order: Vec<usize> = (0..intent.models.len()).collect();
    order.sort_by_key(|&i| {
        let m = &intent.models[i];
        (
            m.base.is_some(),
            std::cmp::Reverse((m.priority, m.bytes)),
            m.name.clone(),
        )
    });
    order
}

/// How many replicas of a model each zone has been given.
#[derive(Clone, Debug)]
struct ZoneCounts(Vec<usize>);

impl ZoneCounts {
    fn new(zones: usize) -> Self {
        Self(vec![0; zones])
    }

    fn total(&self) -> usize {
        self.0.iter().sum()
    }

    fn add(&mut self, zone: usize) {
        self.0[zone] += 1;
    }
}

fn slots(fleet: &Fleet, intent: &Intent) -> Placed {
    let live = || {
        fleet
            .endpoints()
            .filter(|(_, e)| e.presence == Presence::Live)
    };
    let zones: BTreeSet<ZoneName> = live()
        .filter(|(_, e)| !e.accelerators.is_empty())
        .map(|(_, e)| e.zone.clone())
        .collect();
    let zones: Vec<ZoneName> = zones.into_iter().collect();
    let mut slots = Vec::new();
    for (name, e) in live() {
        let Ok(zone) = zones.binary_search(&e.zone) else {
            continue;
        };
        for (i, a) in (0_u16..).zip(&e.accelerators) {
            let present = a.replicas.iter().map(|(m, r)| Present {
                model: m.clone(),
                bytes: r.bytes,
                state: r.state,
                base: r.base.clone(),
            });
            slots.push(Slot {
                place: AcceleratorRef {
                    endpoint: name.clone(),
                    accelerator: i,
                },
                zone,
                budget: intent.budget(a.capacity),
                capacity: a.capacity,
                planned: 0,
                incoming: 0,
                present: present.collect(),
                targets: Vec::new(),
            });
        }
    }
    Placed { slots, zones }
}

/// Lets replicas that are there already stand, as many as are wanted, evenly over the zones. A new
/// version goes where the old one is if both fit for a while, so that the adapters there can stay.
fn keep_present(placed: &mut Placed, intent: &Intent, order: &[usize], counts: &mut [ZoneCounts]) {
    let by_name: HashMap<&ModelName, usize> = intent
        .models
        .iter()
        .enumerate()
        .map(|(i, m)| (&m.name, i))
        .collect();
    let mut holders: HashMap<ModelName, Vec<(bool, usize)>> = HashMap::new();
    for (i, s) in placed.slots.iter().enumerate() {
        for p in &s.present {
            let wanted = by_name.get(&p.model.name).map(|m| &intent.models[*m]);
            let Some(wanted) = wanted.filter(|_| !matches!(p.state, ReplicaState::Unloading(_)))
            else {
                continue;
            };
            let old = wanted.version != p.model.version;
            holders
                .entry(p.model.name.clone())
                .or_default()
                .push((old, i));
        }
    }
    for &m in order {
        let model = &intent.models[m];
        let Some(mut at) = holders.remove(&model.name) else {
            continue;
        };
        let base = model.base.as_ref().map(|b| by_name[b]);
        at.retain(|(_, s)| base.is_none_or(|b| placed.slots[*s].targets.contains(&b)));
        while counts[m].total() < usize::from(model.replicas) {
            let in_zone = |s: usize| counts[m].0[placed.slots[s].zone];
            let best = at
                .iter()
                .enumerate()
                .min_by_key(|(_, (old, s))| (*old, in_zone(*s)));
            let Some((i, &(old, slot))) = best else { break };
            at.swap_remove(i);
            let s = &mut placed.slots[slot];
            let swap_fits = !old || s.free_now() >= model.bytes;
            if s.room() < model.bytes || s.targets.contains(&m) || !swap_fits {
                continue;
            }
            s.incoming += if old { model.bytes } else { 0 };
            s.planned += model.bytes;
            s.targets.push(m);
            counts[m].add(s.zone);
        }
    }
}

/// The accelerators of each zone, ordered by the room that the plan leaves on them.
struct RoomIndex(Vec<BTreeSet<(u64, usize)>>);

impl RoomIndex {
    fn new(placed: &Placed) -> Self {
        let mut zones = vec![BTreeSet::new(); placed.zones.len()];
        for (i, s) in placed.slots.iter().enumerate() {
            zones[s.zone].insert((s.room(), i));
        }
        Self(zones)
    }

    fn change<F>(&mut self, placed: &mut Placed, slot: usize, f: F)
    where
        F: FnOnce(&mut Slot),
    {
        let s = &mut placed.slots[slot];
        self.0[s.zone].remove(&(s.room(), slot));
        f(s);
        self.0[s.zone].insert((s.room(), slot));
    }
}

/// Chooses the accelerator for one more replica: in the zone with the fewest of this model, the one
/// with the most room, on another endpoint than its siblings where that can be had.
fn choose(
    placed: &Placed,
    by_room: &RoomIndex,
    intent: &Intent,
    m: usize,
    base: Option<usize>,
    counts: &ZoneCounts,
) -> Result<usize> {
    let bytes = intent.models[m].bytes;
    let mut zones: Vec<usize> = (0..placed.zones.len()).collect();
    zones.sort_by_key(|&z| {
        (
            counts.0[z],
            std::cmp::Reverse(by_room.0[z].last().map(|l| l.0)),
            z,
        )
    });
    for z in zones {
        let mut second = None;
        let fitting = by_room.0[z]
            .iter()
            .rev()
            .take_while(|(room, _)| *room >= bytes);
        for &(_, i) in fitting {
            let s = &placed.slots[i];
            let base_here = base.is_none_or(|b| s.targets.contains(&b));
            if s.targets.contains(&m) || !base_here {
                continue;
            }
            if !sibling_on_endpoint(placed, i, m) {
                return Ok(i);
            }
            second = second.or(Some(i));
        }
        if let Some(i) = second {
            return Ok(i);
        }
    }
    Err(unsatisfiable(placed, intent, m, base))
}

/// Tells whether the endpoint of a slot has the model on another accelerator. Slots of one endpoint
/// stand next to each other.
fn sibling_on_endpoint(placed: &Placed, slot: usize, m: usize) -> bool {
    let name = &placed.slots[slot].place.endpoint;
    let same = |s: &&Slot| s.place.endpoint == *name;
    let before = placed.slots[..slot].iter().rev().take_while(same);
    let after = placed.slots[slot + 1..].iter().take_while(same);
    before.chain(after).any(|s| s.targets.contains(&m))
}

fn unsatisfiable(placed: &Placed, intent: &Intent, m: usize, base: Option<usize>) -> crate::Error {
    let model = &intent.models[m];
    let open = |s: &&Slot| !s.targets.contains(&m) && base.is_none_or(|b| s.targets.contains(&b));
    let free = placed
        .slots
        .iter()
        .filter(open)
        .map(Slot::room)
        .max()
        .unwrap_or(0);
    let place = match &model.base {
        Some(b) => format!("the accelerators that hold {b}"),
        None => format!(
            "the {} accelerators of {} zones",
            placed.slots.len(),
            placed.zones.len()
        ),
    };
    UnsatisfiableSnafu {
        model: model.name.clone(),
        place,
        needed: model.bytes,
        free,
    }
    .build()
}

/// One accelerator while steps are put in order.
struct Sim {
    free: u64,
    loads: Vec<(ModelVersion, u64, Option<ModelName>)>,
    unloads: Vec<(ModelVersion, u64)>,
    /// Models that are there, with the base of each adapter.
    here: Vec<(ModelVersion, Option<ModelName>)>,
}

impl Sim {
    fn has_name(&self, name: &ModelName) -> bool {
        self.here.iter().any(|(m, _)| m.name == *name)
    }
}

/// Puts the changes in an order: whatever fits is loaded, and only when nothing fits any more one
/// unload makes room, never of a last replica.
fn order_steps(placed: &Placed, intent: &Intent, fleet: &Fleet) -> Result<Vec<Step>> {
    let served: BTreeMap<&ModelName, &ModelIntent> =
        intent.models.iter().map(|m| (&m.name, m)).collect();
    // What operators confirmed before stays reachable until this plan's own replicas are there.
    let mut ready: BTreeMap<ModelName, usize> = BTreeMap::new();
    for (_, _, m) in fleet.routable() {
        *ready.entry(m.name.clone()).or_default() += 1;
    }
    let mut sims: Vec<Sim> = placed.slots.iter().map(|s| sim_of(s, intent)).collect();
    let mut steps = Vec::new();
    loop {
        let mut progress = false;
        for (slot, sim) in placed.slots.iter().zip(&mut sims) {
            progress |= do_loads(placed, slot, sim, &mut ready, &mut steps);
        }
        for (slot, sim) in placed.slots.iter().zip(&mut sims) {
            progress |= do_unload(placed, slot, sim, &served, &mut ready, &mut steps);
        }
        if !progress {
            break;
        }
    }
    let stuck = placed
        .slots
        .iter()
        .zip(&sims)
        .find(|(_, s)| !s.loads.is_empty() || !s.unloads.is_empty());
    let Some((slot, sim)) = stuck else {
        return Ok(steps);
    };
    let model = sim
        .loads
        .first()
        .map(|l| l.0.name.clone())
        .or_else(|| sim.unloads.first().map(|u| u.0.name.clone()))
        .unwrap_or_else(|| "".into());
    NoStepOrderSnafu {
        model,
        endpoint: slot.place.endpoint.clone(),
    }
    .fail()
}

fn sim_of(slot: &Slot, intent: &Intent) -> Sim {
    let targets: Vec<ModelVersion> = slot
        .targets
        .iter()
        .map(|&t| intent.models[t].model_version())
        .collect();
    let used: u64 = slot.present.iter().map(|p| p.bytes).sum();
    let missing = slot.targets.iter().map(|&t| &intent.models[t]);
    let mut loads: Vec<_> = missing
        .filter(|m| !slot.has(&m.model_version()))
        .map(|m| (m.model_version(), m.bytes, m.base.clone()))
        .collect();
    loads.sort_by_key(|(m, _, base)| (base.is_some(), m.clone()));
    let leaving = slot.present.iter().filter(|p| !targets.contains(&p.model));
    let unloads = leaving.map(|p| (p.model.clone(), p.bytes)).collect();
    let here = slot
        .present
        .iter()
        .map(|p| (p.model.clone(), p.base.clone()))
        .collect();
    Sim {
        free: slot.capacity.saturating_sub(used),
        loads,
        unloads,
        here,
    }
}

fn do_loads(
    placed: &Placed,
    slot: &Slot,
    sim: &mut Sim,
    ready: &mut BTreeMap<ModelName, usize>,
    steps: &mut Vec<Step>,
) -> bool {
    let mut progress = false;
    let mut i = 0;
    while i < sim.loads.len() {
        let (model, bytes, base) = sim.loads[i].clone();
        let base_here = base.as_ref().is_none_or(|b| sim.has_name(b));
        if bytes > sim.free || !base_here {
            i += 1;
            continue;
        }
        sim.loads.remove(i);
        sim.free -= bytes;
        sim.here.push((model.clone(), base));
        *ready.entry(model.name.clone()).or_default() += 1;
        steps.push(step(placed, slot, Action::Load, model, bytes));
        progress = true;
    }
    progress
}

fn do_unload(
    placed: &Placed,
    slot: &Slot,
    sim: &mut Sim,
    served: &BTreeMap<&ModelName, &ModelIntent>,
    ready: &mut BTreeMap<ModelName, usize>,
    steps: &mut Vec<Step>,
) -> bool {
    let can = sim.unloads.iter().position(|(m, _)| {
        let others = ready.get(&m.name).copied().unwrap_or(0);
        let same_name = sim.here.iter().filter(|(h, _)| h.name == m.name).count();
        let carries = sim
            .here
            .iter()
            .any(|(_, base)| base.as_ref() == Some(&m.name));
        let reachable = !served.contains_key(&m.name) || others > 1;
        reachable && (!carries || same_name > 1)
    });
    let Some(i) = can else { return false };
    let (model, bytes) = sim.unloads.remove(i);
    sim.free += bytes;
    sim.here.retain(|(m, _)| *m != model);
    if let Some(n) = ready.get_mut(&model.name) {
        *n = n.saturating_sub(1);
    }
    steps.push(step(placed, slot, Action::Unload, model, bytes));
    true
}

fn step(placed: &Placed, slot: &Slot, action: Action, model: ModelVersion, bytes: u64) -> Step {
    let (zone, place) = (placed.zones[slot.zone].clone(), slot.place.clone());
    Step {
        zone,
        place,
        action,
        model,
        bytes,
    }
}
