//! Intents: the models that operators want to have served, and their validation.

use crate::error::{BadIntentSnafu, Result};
use crate::id::{ModelName, Offset, OperatorName};
use crate::plan::ModelVersion;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::collections::{BTreeMap, BTreeSet};

/// The maximum number of replicas that an intent may ask for per model.
pub const MAX_REPLICAS: u16 = 1024;

/// The importance of a model when there isn't enough capacity for all.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Shed first.
    Low,
    /// Neither placed first nor shed first.
    #[default]
    Normal,
    /// Placed first and shed last.
    High,
}

impl Priority {
    /// All priorities, the highest first.
    pub const ALL: [Self; 3] = [Self::High, Self::Normal, Self::Low];

    /// Returns the name that is used in settings and headers.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Low => "low",
            Self::Normal => "normal",
            Self::High => "high",
        }
    }

    /// Parses the name that is used in settings and headers.
    #[must_use]
    pub fn parse(s: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|p| p.as_str() == s)
    }
}

/// A model or an adapter to serve.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelIntent {
    /// The name that callers use.
    pub name: ModelName,
    /// The version to serve.
    pub version: SmolStr,
    /// The accelerator memory that one replica takes, in bytes.
    pub bytes: u64,
    /// The base model if this is an adapter; it has to be on the same accelerator.
    pub base: Option<ModelName>,
    /// The service that uses the model, as operators name it. It is displayed and has no other effect.
    #[serde(default)]
    pub service: SmolStr,
    /// The importance of the model when capacity is short.
    pub priority: Priority,
    /// The number of replicas to keep ready, spread over availability zones.
    pub replicas: u16,
}

impl ModelIntent {
    /// Returns the model in the requested version.
    #[must_use]
    pub fn model_version(&self) -> ModelVersion {
        ModelVersion {
            name: self.name.clone(),
            version: self.version.clone(),
        }
    }
}

/// The weights of the two objectives that are traded off: attained requests and moves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Weights {
    /// The value of one attained request per second, in thousandths.
    pub attainment: u32,
    /// The cost of one load or unload, in thousandths.
    pub moves: u32,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            attainment: 1000,
            moves: 1000,
        }
    }
}

/// A change to the latest intent.
///
/// The record is void if another intent came in between, so if two operators race, the first change
/// takes effect and the second gets an error. A change also keeps the record small if only one of many
/// models differs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IntentChange {
    /// The offset of the intent that is changed.
    pub replaces: Offset,
    /// The operator who publishes the change.
    pub operator: OperatorName,
    /// The models that are added or changed.
    pub set: Vec<ModelIntent>,
    /// The models that are removed.
    pub removed: Vec<ModelName>,
    /// The new weights.
    pub weights: Weights,
    /// The new headroom, in percent.
    pub kv_headroom_percent: u8,
}

/// The complete set of models to serve; a later intent replaces it as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// The operator who published the intent.
    pub operator: OperatorName,
    /// The models and adapters.
    pub models: Vec<ModelIntent>,
    /// The weights of the two objectives.
    pub weights: Weights,
    /// The share of each accelerator's memory that is kept free for the KV cache, in percent.
    pub kv_headroom_percent: u8,
}

impl Intent {
    /// Validates the intent on its own, without the fleet's state.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Error::BadIntent`], which names the model and the valid values.
    pub fn check(&self) -> Result<()> {
        if self.kv_headroom_percent > 90 {
            return BadIntentSnafu {
                why: "kv_headroom_percent must be 0 to 90",
            }
            .fail();
        }
        let mut by_name = BTreeMap::new();
        for m in &self.models {
            check_model(m)?;
            if by_name.insert(&m.name, m).is_some() {
                return BadIntentSnafu {
                    why: format!("model {} stands twice", m.name),
                }
                .fail();
            }
        }
        for m in &self.models {
            let Some(base) = &m.base else { continue };
            let Some(b) = by_name.get(base) else {
                let why = format!(
                    "adapter {} names base {base}, which is not a model here",
                    m.name
                );
                return BadIntentSnafu { why }.fail();
            };
            if b.base.is_some() {
                let why = format!(
                    "adapter {} names base {base}, which is itself an adapter",
                    m.name
                );
                return BadIntentSnafu { why }.fail();
            }
            if b.replicas < m.replicas {
                let why = format!(
                    "adapter {} wants {} replicas, its base {base} has {}; give the base as many",
                    m.name, m.replicas, b.replicas
                );
                return BadIntentSnafu { why }.fail();
            }
        }
        Ok(())
    }

    /// Returns the part of an accelerator's memory that models may use, in bytes.
    #[must_use]
    pub fn budget(&self, capacity: u64) -> u64 {
        let headroom = u128::from(capacity) * u128::from(self.kv_headroom_percent.min(100)) / 100;
        capacity - u64::try_from(headroom).unwrap_or(capacity)
    }

    /// Returns the change that turns an earlier intent into this one.
    #[must_use]
    pub fn change_from(&self, replaces: Offset, earlier: &Self) -> IntentChange {
        let old: BTreeMap<&ModelName, &ModelIntent> =
            earlier.models.iter().map(|m| (&m.name, m)).collect();
        let new: BTreeSet<&ModelName> = self.models.iter().map(|m| &m.name).collect();
        let differs = |m: &&ModelIntent| old.get(&m.name) != Some(m);
        IntentChange {
            replaces,
            operator: self.operator.clone(),
            set: self.models.iter().filter(differs).cloned().collect(),
            removed: old
                .into_keys()
                .filter(|n| !new.contains(n))
                .cloned()
                .collect(),
            weights: self.weights,
            kv_headroom_percent: self.kv_headroom_percent,
        }
    }

    /// Returns this intent with a change applied.
    #[must_use]
    pub fn with_change(&self, c: &IntentChange) -> Self {
        let set: BTreeMap<&ModelName, &ModelIntent> = c.set.iter().map(|m| (&m.name, m)).collect();
        let stays = |m: &&ModelIntent| !c.removed.contains(&m.name) && !set.contains_key(&m.name);
        let kept = self.models.iter().filter(stays);
        Self {
            operator: c.operator.clone(),
            models: kept.chain(&c.set).cloned().collect(),
            weights: c.weights,
            kv_headroom_percent: c.kv_headroom_percent,
        }
    }

    /// Returns the model of the given name.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&ModelIntent> {
        self.models.iter().find(|m| m.name.as_str() == name)
    }
}

fn check_model(m: &ModelIntent) -> Result<()> {
    let why = if m.name.as_str().is_empty() {
        "a model has no name".to_owned()
    } else if m.bytes == 0 {
        format!("model {}: bytes must be more than 0", m.name)
    } else if m.replicas == 0 || m.replicas > MAX_REPLICAS {
        format!("model {}: replicas must be 1 to {MAX_REPLICAS}", m.name)
    } else if m.version.is_empty() {
        format!("model {}: version must not be empty", m.name)
    } else {
        return Ok(());
    };
    BadIntentSnafu { why }.fail()
}
