//! Builds routing tables and admission requests that several test files share.

#![allow(dead_code, reason = "each test file uses a part of it")]

use limehollow::admission::{AdmissionRequest, Subject};
use limehollow::fleet::Fleet;
use limehollow::id::{EndpointKey, LogTime, Offset};
use limehollow::intent::{Intent, ModelIntent, Priority, Weights};
use limehollow::plan::{AcceleratorRef, ModelVersion, Plan};
use limehollow::record::{
    Answer, AnswerKind, EndpointKind, EndpointSeen, LeaseTaken, Record, Resident,
};
use limehollow::routing::{Table, TableBuilder};
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::Instant;

/// Creates a fleet whose engines, given as (zone, name), all hold model `m`.
pub fn fleet(engines: &[(&str, &str)]) -> Fleet {
    let mut f = Fleet::default();
    let mut offset = 0;
    let mut ok = |f: &mut Fleet, r: Record| {
        f.apply(Offset(offset), LogTime(0), &r)
            .expect("it takes effect");
        offset += 1;
        Offset(offset - 1)
    };
    let model = ModelIntent {
        name: "m".into(),
        version: "1".into(),
        bytes: 1,
        base: None,
        service: "".into(),
        priority: Priority::Normal,
        replicas: 1,
    };
    let (models, weights) = (vec![model], Weights::default());
    let i = Intent {
        operator: "ana".into(),
        models,
        weights,
        kv_headroom_percent: 0,
    };
    let intent = ok(&mut f, Record::Intent(i));
    let plan = ok(
        &mut f,
        Record::Plan(Plan {
            intent,
            made_at: intent,
            base: None,
            changed: Vec::new(),
            targets: Vec::new(),
            steps: Vec::new(),
        }),
    );
    let kind = AnswerKind::Confirm;
    ok(
        &mut f,
        Record::Answer(Answer {
            plan,
            operator: "ana".into(),
            kind,
        }),
    );
    for (zone, name) in engines {
        let epoch = match f.epoch(&(*zone).into()) {
            Some(e) => e,
            None => {
                let (zone, holder) = ((*zone).into(), "vm".into());
                let lease = LeaseTaken {
                    zone,
                    holder,
                    incarnation: 1,
                    replaces: None,
                };
                ok(&mut f, Record::LeaseTaken(lease))
            }
        };
        let resident = Resident {
            place: AcceleratorRef {
                endpoint: (*name).into(),
                accelerator: 0,
            },
            model: ModelVersion {
                name: "m".into(),
                version: "1".into(),
            },
            bytes: 1,
        };
        let seen = EndpointSeen {
            zone: (*zone).into(),
            epoch,
            endpoint: (*name).into(),
            incarnation: 1,
            address: "127.0.0.1:1".into(),
            kind: EndpointKind::Engine {
                checks_fencing: true,
                accelerators: vec![10],
            },
            residents: vec![resident],
        };
        ok(&mut f, Record::EndpointSeen(seen));
    }
    f
}

pub fn table(engines: &[(&str, &str)]) -> (Table, TableBuilder) {
    let mut builder = TableBuilder::default();
    let table = builder.build(&fleet(engines), &BTreeSet::new());
    (table, builder)
}

pub fn admission_request(now: Instant, caller: &str, deadline_ms: u64) -> AdmissionRequest {
    AdmissionRequest {
        subject: Subject::Model("m".into()),
        caller: caller.into(),
        priority: Priority::Normal,
        deadline: now + Duration::from_millis(deadline_ms),
        tokens: 10,
        affinity: 0,
        failed: Vec::new(),
    }
}

pub fn key(table: &Table, name: &str) -> EndpointKey {
    let route = table.model("m").expect("it is in force");
    route
        .targets
        .iter()
        .find(|t| t.name.as_str() == name)
        .expect("it is a target")
        .key
}

pub fn name(table: &Table, key: EndpointKey) -> String {
    let route = table.model("m").expect("it is in force");
    route
        .targets
        .iter()
        .find(|t| t.key == key)
        .expect("it is a target")
        .name
        .to_string()
}
