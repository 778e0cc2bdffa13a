//! Entries of the platform's membership list, and observations of endpoints.

use crate::id::{Incarnation, ModelName, ServiceName, VmName, ZoneName};
use crate::load::LoadReport;
use crate::plan::{AcceleratorRef, ModelVersion};
use crate::record::{EndpointKind, Resident};
use smol_str::SmolStr;
use tokio::time::Instant;

/// The kind of a VM on the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListedKind {
    /// An entry VM of this system.
    Entry,
    /// A model engine.
    Engine {
        /// Whether it rejects orders with an outdated fencing number.
        checks_fencing: bool,
    },
    /// A plain service.
    Service {
        /// Its name in request paths.
        name: ServiceName,
    },
}

/// One row of the platform's membership list. The list lags.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// The VM.
    pub vm: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The address that it listens at, as `IP:PORT`.
    pub address: SmolStr,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Its kind.
    pub kind: ListedKind,
}

/// One observation of an endpoint, as it reported itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    /// When the observation began; the state may be older by the maximum lag of a report.
    pub began: Instant,
    /// The endpoint's incarnation.
    pub incarnation: Incarnation,
    /// The endpoint's kind.
    pub kind: EndpointKind,
    /// The models that are loaded.
    pub residents: Vec<Resident>,
    /// The models that are being loaded or unloaded.
    pub changing: Vec<(AcceleratorRef, ModelVersion)>,
    /// The number of requests of each model, running or waiting.
    pub running: Vec<(ModelName, u32)>,
    /// The load of the whole endpoint.
    pub load: LoadReport,
}

impl Observation {
    /// Returns `true` if a model is loaded on an accelerator.
    #[must_use]
    pub fn has(&self, place: &AcceleratorRef, model: &ModelVersion) -> bool {
        self.residents
            .iter()
            .any(|r| r.place == *place && r.model == *model)
    }

    /// Returns `true` if a model is being loaded or unloaded on an accelerator.
    #[must_use]
    pub fn is_changing(&self, place: &AcceleratorRef, model: &ModelVersion) -> bool {
        self.changing.iter().any(|(p, m)| p == place && m == model)
    }
}
