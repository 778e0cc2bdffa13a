//! Messages to and from endpoints: headers, and JSON bodies over HTTP (`docs/interfaces.md`).

use limehollow::id::{Incarnation, VmName};
use limehollow::listing::Observation;
use limehollow::load::LoadReport;
use limehollow::order::Order;
use limehollow::plan::{AcceleratorRef, Action, ModelVersion};
use limehollow::record::{EndpointKind, Resident};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::collections::BTreeMap;
use tokio::time::Instant;

/// The request header that resumes a stream; its value is the number of tokens already delivered.
pub const RESUME_FROM: &str = "x-engine-resume-from";
/// The request header that carries a priority: `high`, `normal` or `low`.
pub const PRIORITY: &str = "x-engine-priority";
/// The response header that an engine sets if it answered without running the request.
pub const NOT_RUN: &str = "x-engine-not-run";

/// The answer to `GET /state`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// The endpoint's incarnation, which differs at each start.
    pub incarnation: Incarnation,
    /// The endpoint's accelerators; empty for a plain service.
    #[serde(default)]
    pub accelerators: Vec<AcceleratorState>,
    /// The number of requests that are running.
    #[serde(default)]
    pub running: u32,
    /// The number of requests that are waiting.
    #[serde(default)]
    pub waiting: u32,
    /// The number of requests that can run concurrently.
    #[serde(default)]
    pub slots: u32,
    /// The number of requests of each model, running or waiting.
    #[serde(default)]
    pub running_by_model: BTreeMap<SmolStr, u32>,
}

/// One accelerator in a [`State`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceleratorState {
    /// The accelerator's memory, in bytes.
    pub capacity: u64,
    /// The models on the accelerator.
    pub models: Vec<ModelState>,
}

/// One model in an [`AcceleratorState`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelState {
    /// The model's name.
    pub name: SmolStr,
    /// The model's version.
    pub version: SmolStr,
    /// The memory that the model takes up, in bytes.
    pub bytes: u64,
    /// The model's phase.
    pub phase: Phase,
}

/// The phase of a model on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// The model is being loaded.
    Loading,
    /// The model serves requests.
    Ready,
    /// The model is being unloaded.
    Unloading,
}

impl State {
    /// Converts the answer to an observation of the endpoint that began at `began`.
    #[must_use]
    pub fn into_observation(self, endpoint: &VmName, began: Instant) -> Observation {
        let capacities = self.accelerators.iter().map(|a| a.capacity).collect();
        let mut observation = Observation {
            began,
            incarnation: self.incarnation,
            kind: EndpointKind::Engine {
                checks_fencing: false,
                accelerators: capacities,
            },
            residents: Vec::new(),
            changing: Vec::new(),
            running: self
                .running_by_model
                .iter()
                .map(|(m, n)| (m.as_str().into(), *n))
                .collect(),
            load: LoadReport {
                running: self.running,
                waiting: self.waiting,
                slots: self.slots,
            },
        };
        for (accelerator, a) in (0_u16..).zip(self.accelerators) {
            let place = AcceleratorRef {
                endpoint: endpoint.clone(),
                accelerator,
            };
            for m in a.models {
                let model = ModelVersion {
                    name: m.name.as_str().into(),
                    version: m.version,
                };
                match m.phase {
                    Phase::Ready => {
                        let place = place.clone();
                        observation.residents.push(Resident {
                            place,
                            model,
                            bytes: m.bytes,
                        });
                    }
                    Phase::Loading | Phase::Unloading => {
                        observation.changing.push((place.clone(), model));
                    }
                }
            }
        }
        observation
    }
}

/// The body of `POST /orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireOrder {
    /// The order's number, which is also its fencing number.
    pub number: u64,
    /// The index of the accelerator.
    pub accelerator: u16,
    /// The action to perform.
    pub action: Action,
    /// The model's name.
    pub model: SmolStr,
    /// The model's version.
    pub version: SmolStr,
    /// The model's memory, in bytes.
    pub bytes: u64,
}

impl From<&Order> for WireOrder {
    fn from(o: &Order) -> Self {
        Self {
            number: o.number.0,
            accelerator: o.place.accelerator,
            action: o.action,
            model: o.model.name.as_str().into(),
            version: o.model.version.clone(),
            bytes: o.bytes,
        }
    }
}

/// The body of `POST /fence`, after which the engine refuses orders with a lower number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    /// The lowest order number that is still accepted.
    pub number: u64,
}

/// The answer to `POST /fence`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fenced {
    /// The engine's incarnation.
    pub incarnation: Incarnation,
}
