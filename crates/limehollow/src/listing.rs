//! What the platform's membership list says, and what a look at an endpoint shows.

use crate::id::{Incarnation, ModelName, ServiceName, VmName, ZoneName};
use crate::load::LoadReport;
use crate::plan::{AcceleratorRef, ModelVersion};
use crate::record::{EndpointKind, Resident};
use smol_str::SmolStr;
use tokio::time::Instant;

/// What a VM on the list is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListedKind {
    /// An entry VM of ours.
    Entry,
    /// A model engine, and whether it checks fencing numbers.
    Engine {
        /// Whether it refuses orders with an old fencing number.
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
    /// Where it listens, as `IP:PORT`.
    pub address: SmolStr,
    /// Whether it is on its way out.
    pub leaving: bool,
    /// What it is.
    pub kind: ListedKind,
}

/// What an endpoint showed when it was looked at.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    /// When the look began; what it shows may be older by the longest lag of a report.
    pub began: Instant,
    /// The endpoint's incarnation.
    pub incarnation: Incarnation,
    /// What it is.
    pub kind: EndpointKind,
    /// The models that are loaded.
    pub residents: Vec<Resident>,
    /// The models that are being loaded or unloaded.
    pub changing: Vec<(AcceleratorRef, ModelVersion)>,
    /// How many requests each model has, running or waiting.
    pub running: Vec<(ModelName, u32)>,
    /// The load of the whole endpoint.
    pub load: LoadReport,
}

impl Observation {
    /// Tells whether a model is loaded at a place.
    #[must_use]
    pub fn has(&self, place: &AcceleratorRef, model: &ModelVersion) -> bool {
        self.residents
            .iter()
            .any(|r| r.place == *place && r.model == *model)
    }

    /// Tells whether a model is being loaded or unloaded at a place.
    #[must_use]
    pub fn is_changing(&self, place: &AcceleratorRef, model: &ModelVersion) -> bool {
        self.changing.iter().any(|(p, m)| p == place && m == model)
    }
}
