//! What endpoints say and take, as JSON over HTTP (`docs/interfaces.md`).

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

/// The request header with which a stream is resumed: the number of tokens that were delivered.
pub const RESUME_FROM: &str = "x-engine-resume-from";
/// The request header that carries a priority: `high`, `normal` or `low`.
pub const PRIORITY: &str = "x-engine-priority";
/// The header that an engine sets on an answer that it gives before running the request.
pub const NOT_RUN: &str = "x-engine-not-run";

/// The answer to `GET /state`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Differs at each start.
    pub incarnation: Incarnation,
    /// The accelerators; none on a plain service.
    #[serde(default)]
    pub accelerators: Vec<AcceleratorState>,
    /// Requests at work.
    #[serde(default)]
    pub running: u32,
    /// Requests that wait.
    #[serde(default)]
    pub waiting: u32,
    /// How many requests can be at work at once.
    #[serde(default)]
    pub slots: u32,
    /// Requests of each model, at work or waiting.
    #[serde(default)]
    pub running_by_model: BTreeMap<SmolStr, u32>,
}

/// One accelerator in a [`State`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceleratorState {
    /// Its memory, in bytes.
    pub capacity: u64,
    /// Its models.
    pub models: Vec<ModelState>,
}

/// One model in an [`AcceleratorState`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelState {
    /// Its name.
    pub name: SmolStr,
    /// Its version.
    pub version: SmolStr,
    /// Its memory, in bytes.
    pub bytes: u64,
    /// What it is doing.
    pub phase: Phase,
}

/// What a model on an engine is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// It is being loaded.
    Loading,
    /// It answers requests.
    Ready,
    /// It is being unloaded.
    Unloading,
}

impl State {
    /// Turns the answer into a look that began at that time.
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
    /// The order's number, which is its fencing number too.
    pub number: u64,
    /// The accelerator.
    pub accelerator: u16,
    /// What is to be done.
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

/// The body of `POST /fence`: from now on, refuse orders with a lower number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    /// The number.
    pub number: u64,
}

/// The answer to a fence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fenced {
    /// The engine's incarnation.
    pub incarnation: Incarnation,
}
