//! What operators want served, and the checks on it.

use crate::error::{BadIntentSnafu, Result};
use crate::id::{ModelName, Offset, OperatorName};
use crate::plan::ModelVersion;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::collections::{BTreeMap, BTreeSet};

/// The most replicas that an intent may ask for per model.
pub const MAX_REPLICAS: u16 = 1024;

/// How much a model matters when there isn't enough for all.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Is shed first.
    Low,
    /// Stands between the others.
    #[default]
    Normal,
    /// Is placed first and shed last.
    High,
}

impl Priority {
    /// All priorities, the most important first.
    pub const ALL: [Self; 3] = [Self::High, Self::Normal, Self::Low];

    /// Gives the word that settings and headers use.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Low => "low",
            Self::Normal => "normal",
            Self::High => "high",
        }
    }

    /// Reads the word that settings and headers use.
    #[must_use]
    pub fn parse(s: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|p| p.as_str() == s)
    }
}

/// A model or an adapter that is to be served.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelIntent {
    /// The name that callers give.
    pub name: ModelName,
    /// The version to serve.
    pub version: SmolStr,
    /// Accelerator memory that it takes, in bytes.
    pub bytes: u64,
    /// For an adapter, the model that it needs on the same accelerator.
    pub base: Option<ModelName>,
    /// The service that it is for, as operators name it; shown, and not otherwise used.
    #[serde(default)]
    pub service: SmolStr,
    /// How much it matters.
    pub priority: Priority,
    /// How many replicas are to be ready; spread over availability zones.
    pub replicas: u16,
}

impl ModelIntent {
    /// Gives the model in the version that is asked for.
    #[must_use]
    pub fn model_version(&self) -> ModelVersion {
        ModelVersion {
            name: self.name.clone(),
            version: self.version.clone(),
        }
    }
}

/// How much the two measures of the brief weigh against each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Weights {
    /// The worth of an attained request a second, in thousandths.
    pub attainment: u32,
    /// The price of one load or unload, in thousandths.
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

/// A change to the latest intent: what an operator appends who has read that one.
///
/// It is void if another intent came in between, so of two operators who race the earlier stands and
/// the later is told. It also keeps a change to one model small however many models there are.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IntentChange {
    /// The offset of the intent that it changes.
    pub replaces: Offset,
    /// Who publishes it.
    pub operator: OperatorName,
    /// Models that are new or different.
    pub set: Vec<ModelIntent>,
    /// Models that aren't wanted any more.
    pub removed: Vec<ModelName>,
    /// The weights from now on.
    pub weights: Weights,
    /// The headroom from now on, in percent.
    pub kv_headroom_percent: u8,
}

/// All that operators want served; a later intent replaces it whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// Who published it.
    pub operator: OperatorName,
    /// The models and adapters.
    pub models: Vec<ModelIntent>,
    /// The weights of the two measures.
    pub weights: Weights,
    /// The share of each accelerator's memory that stays free for KV cache, in percent.
    pub kv_headroom_percent: u8,
}

impl Intent {
    /// Checks that the intent makes sense by itself.
    ///
    /// # Errors
    ///
    /// [`crate::Error::BadIntent`] names the model and what would be right.
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

    /// Gives the part of an accelerator's memory that models may take, in bytes.
    #[must_use]
    pub fn budget(&self, capacity: u64) -> u64 {
        let headroom = u128::from(capacity) * u128::from(self.kv_headroom_percent.min(100)) / 100;
        capacity - u64::try_from(headroom).unwrap_or(capacity)
    }

    /// Gives the change that turns an earlier intent into this one.
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

    /// Gives this intent with a change made to it.
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

    /// Finds a model by its name.
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
