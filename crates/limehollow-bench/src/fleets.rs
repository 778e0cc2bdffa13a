//! Fleets of any size, as the log would have made them.

use limehollow::fleet::Fleet;
use limehollow::id::{LogTime, Offset, VmName, ZoneName};
use limehollow::intent::{Intent, ModelIntent, Priority, Weights};
use limehollow::membership::{Heartbeat, Membership};
use limehollow::placement;
use limehollow::plan::{Action, Plan};
use limehollow::record::{
    Answer, AnswerKind, Cause, EndpointKind, EndpointSeen, Evidence, LeaseTaken, OrderIssued,
    OrderSettled, Outcome, Record,
};
use std::collections::BTreeMap;
use tokio::time::Instant;

/// The size of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Its name in tables.
    pub name: &'static str,
    /// Availability zones.
    pub zones: usize,
    /// Model engines.
    pub engines: usize,
    /// Accelerators of each engine.
    pub accelerators: usize,
    /// Models.
    pub models: usize,
    /// Adapters.
    pub adapters: usize,
    /// Replicas of each model.
    pub replicas: u16,
}

/// Lanterwijk today.
pub const LANTERWIJK: Size = Size {
    name: "Lanterwijk",
    zones: 3,
    engines: 12,
    accelerators: 2,
    models: 15,
    adapters: 75,
    replicas: 2,
};
/// Vrednost today.
pub const VREDNOST: Size = Size {
    name: "Vrednost",
    zones: 3,
    engines: 20,
    accelerators: 2,
    models: 20,
    adapters: 110,
    replicas: 2,
};
/// One zone at the size to come.
pub const ZONE: Size = Size {
    name: "one zone to come",
    zones: 1,
    engines: 400,
    accelerators: 2,
    models: 150,
    adapters: 600,
    replicas: 2,
};
/// All zones at the size to come.
pub const WHOLE: Size = Size {
    name: "the size to come",
    zones: 8,
    engines: 3200,
    accelerators: 2,
    models: 150,
    adapters: 600,
    replicas: 8,
};

const GIB: u64 = 1 << 30;
const CAPACITY: u64 = 80 * GIB;

/// A fleet with the log that made it.
#[derive(Debug, Default)]
pub struct Story {
    /// The state.
    pub fleet: Fleet,
    /// The records, in order.
    pub records: Vec<Record>,
    epochs: BTreeMap<ZoneName, Offset>,
}

impl Story {
    /// Appends a record; it has to take effect.
    ///
    /// # Panics
    ///
    /// If it is void.
    pub fn ok(&mut self, r: Record) -> Offset {
        let offset = Offset(self.records.len() as u64);
        let at = LogTime(offset.0 * 10);
        self.fleet
            .apply(offset, at, &r)
            .unwrap_or_else(|e| panic!("{r:?} is void: {e}"));
        self.records.push(r);
        offset
    }

    /// Makes a fleet of empty engines.
    #[must_use]
    pub fn empty(size: &Size) -> Self {
        let mut s = Self::default();
        for z in 0..size.zones {
            let zone = ZoneName::from(format!("zone-{z}"));
            let holder = VmName::from(format!("entry-{z}-0"));
            let taken = LeaseTaken {
                zone: zone.clone(),
                holder,
                incarnation: 1,
                replaces: None,
            };
            let epoch = s.ok(Record::LeaseTaken(taken));
            s.epochs.insert(zone, epoch);
        }
        for e in 0..size.engines {
            let zone = ZoneName::from(format!("zone-{}", e % size.zones));
            s.ok(Record::EndpointSeen(EndpointSeen {
                epoch: s.epochs[&zone],
                zone,
                endpoint: VmName::from(format!("engine-{e:04}")),
                incarnation: 1,
                address: format!("10.{}.{}.{}:8000", e / 65536, e / 256 % 256, e % 256).into(),
                kind: EndpointKind::Engine {
                    checks_fencing: e % 2 == 0,
                    accelerators: vec![CAPACITY; size.accelerators],
                },
                residents: Vec::new(),
            }));
        }
        s
    }

    /// Publishes an intent, plans it and confirms the plan.
    ///
    /// # Panics
    ///
    /// If there is no plan.
    pub fn confirm(&mut self, intent: &Intent) -> Plan {
        let offset = self.ok(Record::Intent(intent.clone()));
        let plan = placement::plan(&self.fleet, offset, intent).expect("the intent fits");
        let answered = self.ok(Record::Plan(plan.clone()));
        let kind = AnswerKind::Confirm;
        self.ok(Record::Answer(Answer {
            plan: answered,
            operator: "bench".into(),
            kind,
        }));
        plan
    }

    /// Carries out all steps of a plan, as if every order succeeded at once.
    pub fn carry_out(&mut self, plan: &Plan) {
        for s in &plan.steps {
            let epoch = self.epochs[&s.zone];
            let order = self.ok(Record::OrderIssued(OrderIssued {
                zone: s.zone.clone(),
                epoch,
                incarnation: 1,
                place: s.place.clone(),
                action: s.action,
                model: s.model.clone(),
                bytes: s.bytes,
                cause: Cause::Plan,
            }));
            self.ok(Record::OrderSettled(OrderSettled {
                zone: s.zone.clone(),
                epoch,
                order,
                outcome: Outcome::Done,
                evidence: Evidence::EffectSeen,
            }));
        }
    }

    /// Makes a fleet that serves the intent of its size.
    #[must_use]
    pub fn serving(size: &Size) -> Self {
        let mut s = Self::empty(size);
        let plan = s.confirm(&intent(size));
        s.carry_out(&plan);
        s
    }
}

/// Makes the intent of a size: models of 8 to 38 GiB, adapters of a quarter to one.
#[must_use]
pub fn intent(size: &Size) -> Intent {
    let model = |n: usize| ModelIntent {
        name: format!("model-{n:03}").as_str().into(),
        version: "1".into(),
        bytes: (8 + (n as u64 * 7) % 31) * GIB,
        base: None,
        service: "".into(),
        priority: [Priority::Normal, Priority::High, Priority::Low][n % 3],
        replicas: size.replicas,
    };
    let adapter = |n: usize| ModelIntent {
        name: format!("adapter-{n:03}").as_str().into(),
        bytes: GIB / 4 * (1 + n as u64 % 4),
        base: Some(format!("model-{:03}", n % size.models).as_str().into()),
        ..model(n)
    };
    let models = (0..size.models)
        .map(model)
        .chain((0..size.adapters).map(adapter))
        .collect();
    Intent {
        operator: "bench".into(),
        models,
        weights: Weights::default(),
        kv_headroom_percent: 20,
    }
}

/// Counts the loads of a plan.
#[must_use]
pub fn loads(plan: &Plan) -> usize {
    plan.steps
        .iter()
        .filter(|s| s.action == Action::Load)
        .count()
}

/// Gives what one controller has heard in a zone of 53 entry VMs, the size to come.
#[must_use]
pub fn zone_members(now: Instant) -> Membership {
    let mut m = Membership::new(now, "entry-zone-0-vm-00".into(), 1);
    for n in 1..53 {
        let vm = VmName::from(format!("entry-zone-0-vm-{n:02}"));
        let (incarnation, counter, next) = (1_790_000_000_000, 90_000, Offset(2_000_000));
        m.merge(
            now,
            Heartbeat {
                vm,
                incarnation,
                counter,
                next,
            },
        );
    }
    m
}
