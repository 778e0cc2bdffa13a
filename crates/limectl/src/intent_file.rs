//! Intent files: what operators write, in TOML (`docs/settings.md`).

use limehollow::id::{ModelName, OperatorName};
use limehollow::intent::{Intent, ModelIntent, Priority, Weights};
use limehollow_edge::settings::{Invalid, Settings};
use serde::Deserialize;
use smol_str::SmolStr;

const MIB: u64 = 1 << 20;

/// An intent as it stands in a file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IntentFile {
    /// The share of each accelerator's memory that stays free for KV cache, in percent.
    #[serde(default = "default_headroom")]
    pub kv_headroom_percent: u8,
    /// How the two measures weigh against each other.
    #[serde(default)]
    pub weights: WeightsTable,
    /// The models and adapters.
    pub models: Vec<ModelTable>,
}

fn default_headroom() -> u8 {
    20
}

/// How the two measures weigh against each other.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightsTable {
    /// The worth of attainment, in thousandths.
    pub attainment: u32,
    /// The price of a move, in thousandths.
    pub moves: u32,
}

impl Default for WeightsTable {
    fn default() -> Self {
        let w = Weights::default();
        Self {
            attainment: w.attainment,
            moves: w.moves,
        }
    }
}

/// One model or adapter.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelTable {
    /// The name that callers give.
    pub name: ModelName,
    /// The version.
    pub version: SmolStr,
    /// Accelerator memory, in MiB.
    pub memory_mib: u64,
    /// For an adapter, its base.
    #[serde(default)]
    pub base: Option<ModelName>,
    /// The service that it is for.
    #[serde(default)]
    pub service: SmolStr,
    /// How much it matters.
    #[serde(default)]
    pub priority: Priority,
    /// How many replicas.
    #[serde(default = "default_replicas")]
    pub replicas: u16,
}

fn default_replicas() -> u16 {
    2
}

impl IntentFile {
    /// Makes the intent of an operator.
    #[must_use]
    pub fn into_intent(self, operator: &str) -> Intent {
        let models = self.models.into_iter().map(ModelIntent::from).collect();
        let weights = Weights {
            attainment: self.weights.attainment,
            moves: self.weights.moves,
        };
        let operator = OperatorName::from(operator);
        Intent {
            operator,
            models,
            weights,
            kv_headroom_percent: self.kv_headroom_percent,
        }
    }
}

impl From<ModelTable> for ModelIntent {
    fn from(t: ModelTable) -> Self {
        Self {
            name: t.name,
            version: t.version,
            bytes: t.memory_mib.saturating_mul(MIB),
            base: t.base,
            service: t.service,
            priority: t.priority,
            replicas: t.replicas,
        }
    }
}

impl Settings for IntentFile {
    fn check(&self) -> Result<(), Invalid> {
        let intent = self.clone().into_intent("check");
        intent
            .check()
            .map_err(|e| Invalid::new("models", e.to_string()))
    }
}
