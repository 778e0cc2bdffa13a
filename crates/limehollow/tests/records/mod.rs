//! Builders of records and fleets that are shared by several test files.

#![allow(dead_code, reason = "each test file uses a part of it")]

use limehollow::fleet::{Effect, Fleet};
use limehollow::id::{LogTime, Offset};
use limehollow::intent::{Intent, ModelIntent, Priority, Weights};
use limehollow::plan::{AcceleratorRef, Action, ModelVersion, Plan};
use limehollow::record::{
    Answer, AnswerKind, Cause, EndpointKind, EndpointSeen, Evidence, LeaseTaken, OrderIssued,
    OrderSettled, Outcome, Record, Resident,
};

/// A fleet and the position of its log; each record is appended one second after the previous one.
#[derive(Clone, Debug, Default)]
pub struct TestLog {
    pub fleet: Fleet,
    pub offset: u64,
    pub at: u64,
}

impl TestLog {
    /// Creates zone `a` with a lease and two endpoints that have one accelerator of 100 bytes each. `fenced`
    /// checks fencing numbers, `open` doesn't. The confirmed intent has the models `m` (40 bytes) and `n` (50)
    /// and the adapter `x` (5) on `m`.
    pub fn with_endpoints() -> Self {
        let mut s = Self::default();
        s.ok(lease("vm-1", None));
        s.ok(seen("fenced", true, 1, Vec::new()));
        s.ok(seen("open", false, 1, Vec::new()));
        s.confirm(intent(vec![
            model("m", "1", 40),
            model("n", "1", 50),
            adapter("x", "m", 5),
        ]));
        s
    }

    pub fn next(&mut self, r: &Record) -> limehollow::Result<Effect> {
        let res = self.fleet.apply(Offset(self.offset), LogTime(self.at), r);
        self.offset += 1;
        self.at += 1_000;
        res
    }

    /// Applies a record that has to take effect, and returns its offset.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "calls read better without a reference"
    )]
    pub fn ok(&mut self, r: Record) -> Offset {
        let offset = Offset(self.offset);
        self.next(&r)
            .unwrap_or_else(|e| panic!("{r:?} is void: {e}"));
        offset
    }

    /// Applies a record that has to be void, and returns the reason.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "calls read better without a reference"
    )]
    pub fn void(&mut self, r: Record) -> String {
        match self.next(&r) {
            Ok(_) => panic!("{r:?} took effect"),
            Err(e) => e.to_string(),
        }
    }

    pub fn confirm(&mut self, i: Intent) -> Offset {
        let intent = self.ok(Record::Intent(i));
        let mut record = plan(intent);
        if let Record::Plan(p) = &mut record {
            p.base = self.fleet.plan_in_force().map(|p| p.offset);
        }
        let plan = self.ok(record);
        self.ok(answer(plan, "ana", AnswerKind::Confirm));
        plan
    }

    /// Issues an order to load a model, and settles it as done.
    pub fn load(&mut self, endpoint: &str, name: &str, bytes: u64) -> Offset {
        let o = self.ok(order(endpoint, Action::Load, name, "1", bytes));
        self.ok(settled(o, Outcome::Done, Evidence::EffectSeen));
        o
    }
}

pub fn intent(models: Vec<ModelIntent>) -> Intent {
    let weights = Weights::default();
    Intent {
        operator: "ana".into(),
        models,
        weights,
        kv_headroom_percent: 0,
    }
}

pub fn model(name: &str, version: &str, bytes: u64) -> ModelIntent {
    ModelIntent {
        name: name.into(),
        version: version.into(),
        bytes,
        base: None,
        service: "".into(),
        priority: Priority::Normal,
        replicas: 1,
    }
}

pub fn adapter(name: &str, base: &str, bytes: u64) -> ModelIntent {
    ModelIntent {
        base: Some(base.into()),
        ..model(name, "1", bytes)
    }
}

pub fn lease(holder: &str, replaces: Option<u64>) -> Record {
    Record::LeaseTaken(LeaseTaken {
        zone: "a".into(),
        holder: holder.into(),
        incarnation: 1,
        replaces: replaces.map(Offset),
    })
}

pub fn seen(
    name: &str,
    checks_fencing: bool,
    incarnation: u64,
    residents: Vec<Resident>,
) -> Record {
    Record::EndpointSeen(EndpointSeen {
        zone: "a".into(),
        epoch: Offset(0),
        endpoint: name.into(),
        incarnation,
        address: "127.0.0.1:1".into(),
        kind: EndpointKind::Engine {
            checks_fencing,
            accelerators: vec![100],
        },
        residents,
    })
}

pub fn plan(intent: Offset) -> Record {
    Record::Plan(Plan {
        intent,
        made_at: intent,
        base: None,
        changed: Vec::new(),
        targets: Vec::new(),
        steps: Vec::new(),
    })
}

pub fn answer(plan: Offset, operator: &str, kind: AnswerKind) -> Record {
    Record::Answer(Answer {
        plan,
        operator: operator.into(),
        kind,
    })
}

pub fn place(endpoint: &str) -> AcceleratorRef {
    AcceleratorRef {
        endpoint: endpoint.into(),
        accelerator: 0,
    }
}

pub fn version(name: &str, version: &str) -> ModelVersion {
    ModelVersion {
        name: name.into(),
        version: version.into(),
    }
}

pub fn issued(endpoint: &str, action: Action, name: &str, v: &str, bytes: u64) -> OrderIssued {
    OrderIssued {
        zone: "a".into(),
        epoch: Offset(0),
        incarnation: 1,
        place: place(endpoint),
        action,
        model: version(name, v),
        bytes,
        cause: Cause::Plan,
    }
}

pub fn order(endpoint: &str, action: Action, name: &str, v: &str, bytes: u64) -> Record {
    Record::OrderIssued(issued(endpoint, action, name, v, bytes))
}

pub fn settled(order: Offset, outcome: Outcome, evidence: Evidence) -> Record {
    let (zone, epoch) = ("a".into(), Offset(0));
    Record::OrderSettled(OrderSettled {
        zone,
        epoch,
        order,
        outcome,
        evidence,
    })
}
