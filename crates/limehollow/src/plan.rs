//! A plan that answers an intent, and its steps.

use crate::id::{AcceleratorIndex, ModelName, Offset, VmName, ZoneName};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// A model in one version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ModelVersion {
    /// The name that callers give.
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

/// What an order does to a model on an accelerator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Action {
    /// Loads it.
    Load,
    /// Drains and unloads it.
    Unload,
}

impl Action {
    /// Gives the word that pages and messages use.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Load => "load",
            Self::Unload => "unload",
        }
    }
}

/// One change to one accelerator. Each step is one move.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The zone whose lease holder carries it out.
    pub zone: ZoneName,
    /// Where.
    pub place: AcceleratorRef,
    /// What is done.
    pub action: Action,
    /// To which model.
    pub model: ModelVersion,
    /// Memory that it takes or frees, in bytes.
    pub bytes: u64,
}

/// One replica that stands when the plan is carried out.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Target {
    /// The zone of the endpoint.
    pub zone: ZoneName,
    /// Where.
    pub place: AcceleratorRef,
    /// Which model.
    pub model: ModelVersion,
}

/// The answer to an intent that operators confirm or reject.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// The intent that it answers.
    pub intent: Offset,
    /// The offset of the fleet's state that it was made from.
    pub made_at: Offset,
    /// The plan in force that it builds on: what it doesn't name stays as that one says.
    pub base: Option<Offset>,
    /// The models whose replicas differ from the base's, or that go.
    pub changed: Vec<ModelName>,
    /// The replicas of the changed models that stand in the end, in order.
    pub targets: Vec<Target>,
    /// The changes, in an order that fits in memory and keeps models reachable.
    pub steps: Vec<Step>,
}

impl Plan {
    /// Counts the moves of the plan: every load and unload is one.
    #[must_use]
    pub fn moves(&self) -> usize {
        self.steps.len()
    }
}

/// Memory of one accelerator before a plan, at its peak and after it, in bytes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemoryUse {
    /// The accelerator.
    pub place: AcceleratorRef,
    /// What it has.
    pub capacity: u64,
    /// What is reserved before the first step.
    pub before: u64,
    /// The most that is reserved while the steps run.
    pub peak: u64,
    /// What is reserved after the last step.
    pub after: u64,
}
