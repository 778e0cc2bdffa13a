//! Builds a small site: one service that runs models, one plain service, and endpoints in two zones.

#![allow(dead_code, reason = "each test file uses a part of it")]

use limehollow::catalog::{EngineSpec, ModelSpec, Rule, Share};
use limehollow::id::{EndpointKey, ServiceName};
use limehollow::job::{Job, PromptPart};
use limehollow::rebalance::{EndpointReport, LoadCeiling};
use limehollow::retry::Repeat;
use limehollow::roster::{Endpoint, Held, Holdings, ModelRef, Roster};
use smol_str::{SmolStr, format_smolstr};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

pub const CEILING: LoadCeiling = LoadCeiling {
    window: Duration::from_secs(5),
    over: 1.0,
    slack: 3.0,
};

pub fn llm() -> ServiceName {
    "drafts".into()
}

pub fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns a service with models of 70 GB; `big-0` has adapters.
pub fn engine(models: usize) -> EngineSpec {
    let model = |i: usize| {
        let name = format_smolstr!("big-{i}");
        let adapters = if i == 0 { 20 } else { 0 };
        let spec = ModelSpec {
            name: name.clone(),
            megabytes: 70_000.0,
            adapters: (1..=adapters).map(|n| format_smolstr!("a{n}")).collect(),
            adapter_megabytes: 50.0,
            cold_load: Duration::from_secs(8),
        };
        (name, spec)
    };
    EngineSpec {
        slots: 8,
        kv_tokens: 20_000,
        megabytes: 200_000.0,
        adapter_places: 2,
        loads_per_second: 2.0,
        models: (0..models).map(model).collect(),
    }
}

pub fn holding(models: &[&str]) -> Holdings {
    let held = Held {
        version: 1,
        ..Held::default()
    };
    models
        .iter()
        .map(|m| (SmolStr::new(m), held.clone()))
        .collect()
}

pub fn endpoint(i: usize, zone: &str, holdings: Holdings) -> Endpoint {
    Endpoint {
        instance: format_smolstr!("i-{i}").into(),
        service: llm(),
        address: ([127, 0, 0, 1], 9000).into(),
        zone: zone.into(),
        software: Some("v1".into()),
        slots: 8,
        leaving: false,
        cold_ms: 0,
        holdings,
        copies: std::collections::BTreeSet::new(),
    }
}

/// Returns a roster with an endpoint for each list of models, alternating between zones `a` and `b`.
pub fn roster(models: &[&[&str]]) -> (Roster, Vec<EndpointKey>) {
    let mut r = Roster::default();
    for (i, m) in models.iter().enumerate() {
        let zone = if i % 2 == 0 { "a" } else { "b" };
        r.apply_entry(Instant::now(), endpoint(i, zone, holding(m)));
    }
    let keys = (0..models.len()).map(|i| r.key(&format!("i-{i}")).expect("it is listed"));
    let keys = keys.collect();
    (r, keys)
}

pub fn model(name: &str) -> ModelRef {
    ModelRef {
        model: SmolStr::new(name),
        adapter: None,
    }
}

pub fn adapter(model: &str, name: &str) -> ModelRef {
    ModelRef {
        model: SmolStr::new(model),
        adapter: Some(SmolStr::new(name)),
    }
}

pub fn job(m: ModelRef, prompt: u32, rank: u8) -> Job {
    let parts = [PromptPart {
        id: u64::from(prompt),
        tokens: prompt,
    }];
    Job::generation(llm(), m, rank, (prompt, 100), &parts)
}

pub fn demand(rows: &[(&str, f64)]) -> BTreeMap<ModelRef, f64> {
    rows.iter().map(|(m, d)| (model(m), *d)).collect()
}

pub fn report(orders_taken: u64, busy: bool, models: &[&str]) -> EndpointReport {
    EndpointReport {
        born: None,
        copies: std::collections::BTreeSet::new(),
        orders_taken,
        busy,
        holdings: holding(models),
        coming: 0,
    }
}

pub fn rule(host: &str, prefix: &str, shares: &[(&str, u32)]) -> Rule {
    Rule {
        name: format_smolstr!("{host}{prefix}"),
        host: SmolStr::new(host),
        prefix: SmolStr::new(prefix),
        shares: shares
            .iter()
            .map(|(s, weight)| Share {
                service: ServiceName::from(*s),
                weight: *weight,
            })
            .collect(),
        repeat: Repeat::Never,
        stream: true,
        resumable: false,
        timeout: Duration::from_secs(10),
        objective: millis(1000),
        pause: None,
        rank: 0,
        max_attempts: 1,
        open: false,
        homes: Vec::new(),
    }
}
