//! A plan for carrying out an intent, and its steps.

use crate::id::{AcceleratorIndex, ModelName, Offset, VmName, ZoneName};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// A model in one version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ModelVersion {
    /// The name that callers use.
    pub name: ModelName,
    /// The version.
    pub version: SmolStr,
}

/// One accelerator of one endpoint.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AcceleratorRef {
    /// The endpoint.
    pub endpoint: VmName,
    /// The accelerator on it.
    pub accelerator: AcceleratorIndex,
}

/// The operation of an order or a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Action {
    /// Loads the model.
    Load,
    /// Drains and unloads the model.
    Unload,
}

impl Action {
    /// Returns the name that is used in pages and messages.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Load => "load",
            Self::Unload => "unload",
        }
    }
}

/// One load or unload on one accelerator. Each step counts as one move.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The zone whose lease holder carries out the step.
    pub zone: ZoneName,
    /// The accelerator that changes.
    pub place: AcceleratorRef,
    /// Whether the model is loaded or unloaded.
    pub action: Action,
    /// The model to load or unload.
    pub model: ModelVersion,
    /// The memory that the step takes or frees, in bytes.
    pub bytes: u64,
}

/// One replica that exists once the plan is carried out.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Target {
    /// The zone of the endpoint.
    pub zone: ZoneName,
    /// The accelerator that holds the replica.
    pub place: AcceleratorRef,
    /// The model of the replica.
    pub model: ModelVersion,
}

/// A controller's proposal for carrying out an intent, which operators confirm or reject.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// The offset of the intent that the plan carries out.
    pub intent: Offset,
    /// The offset of the fleet's state from which the plan was computed.
    pub made_at: Offset,
    /// The offset of the plan in force that this plan builds on. The targets of models that this plan
    /// doesn't change stay those of the base.
    pub base: Option<Offset>,
    /// The models whose targets differ from the base's, and the models that are removed.
    pub changed: Vec<ModelName>,
    /// The final replicas of the changed models, sorted.
    pub targets: Vec<Target>,
    /// The loads and unloads, in an order that fits in memory and keeps models reachable.
    pub steps: Vec<Step>,
}

impl Plan {
    /// Returns the number of moves of the plan: every load and every unload is one.
    #[must_use]
    pub fn moves(&self) -> usize {
        self.steps.len()
    }
}

/// The memory use of one accelerator before, during and after a plan, in bytes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemoryUse {
    /// The accelerator.
    pub place: AcceleratorRef,
    /// The accelerator's memory.
    pub capacity: u64,
    /// The bytes reserved before the first step.
    pub before: u64,
    /// The most bytes reserved while the steps run.
    pub peak: u64,
    /// The bytes reserved after the last step.
    pub after: u64,
}
