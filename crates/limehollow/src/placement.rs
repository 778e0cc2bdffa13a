//! Computes a plan for an intent.
//!
//! Placement keeps existing replicas where possible, spreads replicas over availability zones, reserves
//! headroom for KV cache, and finds an order of steps that fits in memory at every point and never unloads the
//! last replica of a model (`docs/design/placement.md`).

use crate::error::{NoStepOrderSnafu, Result, UnsatisfiableSnafu};
use crate::fleet::{Fleet, Presence, ReplicaState};
use crate::id::{ModelName, Offset, ZoneName};
use crate::intent::{Intent, ModelIntent};
use crate::plan::{AcceleratorRef, Action, MemoryUse, ModelVersion, Plan, Step, Target};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// An accelerator during planning.
#[derive(Clone, Debug)]
struct Slot {
    place: AcceleratorRef,
    zone: usize,
    /// The memory that models may use after the plan, in bytes.
    budget: u64,
    capacity: u64,
    /// The memory of the models that the plan has placed on the accelerator so far, in bytes.
    planned: u64,
    /// The memory of new versions that the plan loads beside the old ones, in bytes.
    incoming: u64,
    /// The replicas that are or may be on the accelerator now.
    present: Vec<Present>,
    /// The models on the accelerator after the plan, as indices into the intent's models.
    targets: Vec<usize>,
}

/// The replicas that are or may be on the accelerator now.
#[derive(Clone, Debug)]
struct Present {
    model: ModelVersion,
    bytes: u64,
    state: ReplicaState,
    /// The base model of an adapter, as confirmed when it was loaded: the new intent may no longer contain it.
    base: Option<ModelName>,
}

impl Slot {
    fn free(&self) -> u64 {
        self.budget.saturating_sub(self.planned)
    }

    /// Returns the memory that is free now, less what the plan loads beside old versions.
    fn free_now(&self) -> u64 {
        let used: u64 = self.present.iter().map(|p| p.bytes).sum();
        self.capacity.saturating_sub(used + self.incoming)
    }

    fn has(&self, m: &ModelVersion) -> bool {
        self.present.iter().any(|p| p.model == *m)
    }
}

/// Computes a plan for an intent from the fleet's state.
///
/// # Errors
///
/// Returns [`crate::Error::Unsatisfiable`] if the models don't fit, with what is missing and where;
/// [`crate::Error::NoStepOrder`] if a model can't be kept reachable during the steps.
pub fn plan(fleet: &Fleet, offset: Offset, intent: &Intent) -> Result<Plan> {
    intent.check()?;
    let kept = place(fleet, intent, true);
    let placed = match kept {
        Ok(p) => p,
        // Existing replicas may take memory that the intent needs: retry without keeping them.
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

/// Returns the models whose targets differ, and the new targets of these models.
///
/// At the target size, a plan that listed every replica would take a megabyte and a half for a change to one
/// model (`docs/CAPACITY.md`).
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

/// Returns the memory use of each accelerator before, at the peak of, and after a plan.
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
    let mut by_free = FreeMemoryIndex::new(&placed);
    for &m in &order {
        let wanted = usize::from(intent.models[m].replicas);
        while counts[m].total() < wanted {
            let base = intent.models[m].base.as_ref().map(|b| by_name[b]);
            let slot = choose(&placed, &by_free, intent, m, base, &counts[m])?;
            by_free.change(&mut placed, slot, |s| {
                s.planned += intent.models[m].bytes;
                s.targets.push(m);
            });
            counts[m].add(placed.slots[slot].zone);
        }
    }
    Ok(placed)
}

/// Returns the order in which models are placed: base models before adapters, then by priority, then larger
/// models first, since these are the hardest to fit.
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

/// The number of replicas of one model placed in each zone.
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

/// Keeps existing replicas, up to the requested number, balanced over the zones.
///
/// A new version is placed where the old one is if both fit at the same time, so that the adapters there can
/// stay.
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
            if s.free() < model.bytes || s.targets.contains(&m) || !swap_fits {
                continue;
            }
            s.incoming += if old { model.bytes } else { 0 };
            s.planned += model.bytes;
            s.targets.push(m);
            counts[m].add(s.zone);
        }
    }
}

/// The accelerators of each zone, ordered by the memory that the plan leaves free on them.
struct FreeMemoryIndex(Vec<BTreeSet<(u64, usize)>>);

impl FreeMemoryIndex {
    fn new(placed: &Placed) -> Self {
        let mut zones = vec![BTreeSet::new(); placed.zones.len()];
        for (i, s) in placed.slots.iter().enumerate() {
            zones[s.zone].insert((s.free(), i));
        }
        Self(zones)
    }

    fn change<F>(&mut self, placed: &mut Placed, slot: usize, f: F)
    where
        F: FnOnce(&mut Slot),
    {
        let s = &mut placed.slots[slot];
        self.0[s.zone].remove(&(s.free(), slot));
        f(s);
        self.0[s.zone].insert((s.free(), slot));
    }
}

/// Chooses the accelerator for one more replica: in the zone with the fewest replicas of the model, the one
/// with the most free memory, preferably on an endpoint without another replica of the model.
fn choose(
    placed: &Placed,
    by_free: &FreeMemoryIndex,
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
            std::cmp::Reverse(by_free.0[z].last().map(|l| l.0)),
            z,
        )
    });
    for z in zones {
        let mut second = None;
        let fitting = by_free.0[z]
            .iter()
            .rev()
            .take_while(|(free, _)| *free >= bytes);
        for &(_, i) in fitting {
            let s = &placed.slots[i];
            let has_base = base.is_none_or(|b| s.targets.contains(&b));
            if s.targets.contains(&m) || !has_base {
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

/// Returns `true` if the endpoint of a slot has the model on another accelerator.
///
/// The slots of one endpoint are adjacent.
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
        .map(Slot::free)
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

/// The state of an accelerator while steps are ordered.
struct SimulatedAccelerator {
    free: u64,
    loads: Vec<(ModelVersion, u64, Option<ModelName>)>,
    unloads: Vec<(ModelVersion, u64)>,
    /// The models on the accelerator, with the base of each adapter.
    loaded: Vec<(ModelVersion, Option<ModelName>)>,
}

impl SimulatedAccelerator {
    fn has_name(&self, name: &ModelName) -> bool {
        self.loaded.iter().any(|(m, _)| m.name == *name)
    }
}

/// Orders the changes: every load that fits is done first; only when none fits, one model is unloaded per
/// accelerator, never the last replica of a model.
fn order_steps(placed: &Placed, intent: &Intent, fleet: &Fleet) -> Result<Vec<Step>> {
    let served: BTreeMap<&ModelName, &ModelIntent> =
        intent.models.iter().map(|m| (&m.name, m)).collect();
    // Models that operators confirmed earlier stay reachable until the replicas of this plan are ready.
    let mut ready: BTreeMap<ModelName, usize> = BTreeMap::new();
    for (_, _, m) in fleet.routable() {
        *ready.entry(m.name.clone()).or_default() += 1;
    }
    let mut accelerators: Vec<SimulatedAccelerator> =
        placed.slots.iter().map(|s| simulate(s, intent)).collect();
    let mut steps = Vec::new();
    loop {
        let mut progress = false;
        for (slot, accelerator) in placed.slots.iter().zip(&mut accelerators) {
            progress |= do_loads(placed, slot, accelerator, &mut ready, &mut steps);
        }
        for (slot, accelerator) in placed.slots.iter().zip(&mut accelerators) {
            progress |= do_unload(placed, slot, accelerator, &served, &mut ready, &mut steps);
        }
        if !progress {
            break;
        }
    }
    let stuck = placed
        .slots
        .iter()
        .zip(&accelerators)
        .find(|(_, s)| !s.loads.is_empty() || !s.unloads.is_empty());
    let Some((slot, accelerator)) = stuck else {
        return Ok(steps);
    };
    let model = accelerator
        .loads
        .first()
        .map(|l| l.0.name.clone())
        .or_else(|| accelerator.unloads.first().map(|u| u.0.name.clone()))
        .unwrap_or_else(|| "".into());
    NoStepOrderSnafu {
        model,
        endpoint: slot.place.endpoint.clone(),
    }
    .fail()
}

fn simulate(slot: &Slot, intent: &Intent) -> SimulatedAccelerator {
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
    let loaded = slot
        .present
        .iter()
        .map(|p| (p.model.clone(), p.base.clone()))
        .collect();
    SimulatedAccelerator {
        free: slot.capacity.saturating_sub(used),
        loads,
        unloads,
        loaded,
    }
}

fn do_loads(
    placed: &Placed,
    slot: &Slot,
    accelerator: &mut SimulatedAccelerator,
    ready: &mut BTreeMap<ModelName, usize>,
    steps: &mut Vec<Step>,
) -> bool {
    let mut progress = false;
    let mut i = 0;
    while i < accelerator.loads.len() {
        let (model, bytes, base) = accelerator.loads[i].clone();
        let has_base = base.as_ref().is_none_or(|b| accelerator.has_name(b));
        if bytes > accelerator.free || !has_base {
            i += 1;
            continue;
        }
        accelerator.loads.remove(i);
        accelerator.free -= bytes;
        accelerator.loaded.push((model.clone(), base));
        *ready.entry(model.name.clone()).or_default() += 1;
        steps.push(step(placed, slot, Action::Load, model, bytes));
        progress = true;
    }
    progress
}

fn do_unload(
    placed: &Placed,
    slot: &Slot,
    accelerator: &mut SimulatedAccelerator,
    served: &BTreeMap<&ModelName, &ModelIntent>,
    ready: &mut BTreeMap<ModelName, usize>,
    steps: &mut Vec<Step>,
) -> bool {
    let candidate = accelerator.unloads.iter().position(|(m, _)| {
        let others = ready.get(&m.name).copied().unwrap_or(0);
        let same_name = accelerator
            .loaded
            .iter()
            .filter(|(h, _)| h.name == m.name)
            .count();
        let has_adapters = accelerator
            .loaded
            .iter()
            .any(|(_, base)| base.as_ref() == Some(&m.name));
        let reachable = !served.contains_key(&m.name) || others > 1;
        reachable && (!has_adapters || same_name > 1)
    });
    let Some(i) = candidate else { return false };
    let (model, bytes) = accelerator.unloads.remove(i);
    accelerator.free += bytes;
    accelerator.loaded.retain(|(m, _)| *m != model);
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
