//! The requirements of a request on an endpoint.

use crate::id::{ServiceName, SoftwareVersion, ZoneName};
use crate::roster::{Endpoint, ModelRef};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::hash::Hasher;
use xxhash_rust::xxh3::Xxh3;

/// The number of distinct ranks; higher ranks count as the last.
pub const RANKS: usize = 4;

/// A part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// The identifier of the part's content.
    pub id: u64,
    /// The part's length in tokens.
    pub tokens: u32,
}

/// The requirements of a request on an endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// The requested service.
    pub service: ServiceName,
    /// The model, if the service runs models.
    pub model: Option<ModelRef>,
    /// The number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// The maximum number of tokens to generate.
    pub max_output: u32,
    /// The rank; 0 is the most urgent.
    pub rank: u8,
    /// Whether the job can wait for some time and still meet its objective, so that endpoints keep capacity for more urgent
    /// ones.
    pub can_wait: bool,
    /// Whether the job has to run where the fewest other requests fail with it, since it may crash its
    /// endpoint.
    pub isolated: bool,
    /// The zones in which the job may run; `None` allows all zones.
    pub zones: Option<BTreeSet<ZoneName>>,
    /// The only version of the endpoints' software at which the job may run, if it takes a stream up; `None` allows all.
    pub software: Option<SoftwareVersion>,
    /// The hashes of the prompt's prefixes, shortest first, each with the number of tokens that its last part
    /// adds.
    pub(crate) beginnings: Vec<(u64, u32)>,
}

impl Job {
    /// Creates a job for a plain service.
    #[must_use]
    pub fn plain(service: ServiceName, rank: u8) -> Self {
        Self {
            service,
            model: None,
            prompt_tokens: 0,
            max_output: 0,
            rank,
            can_wait: false,
            isolated: false,
            zones: None,
            software: None,
            beginnings: Vec::new(),
        }
    }

    /// Creates a job for a service that runs models.
    #[must_use]
    pub fn generation(
        service: ServiceName,
        model: ModelRef,
        rank: u8,
        (prompt_tokens, max_output): (u32, u32),
        parts: &[PromptPart],
    ) -> Self {
        let mut h = Xxh3::new();
        h.write(model.model.as_bytes());
        h.write(model.adapter.as_deref().unwrap_or("").as_bytes());
        let beginnings = parts.iter().map(|p| {
            h.write_u64(p.id);
            (h.digest(), p.tokens)
        });
        Self {
            beginnings: beginnings.collect(),
            service,
            model: Some(model),
            prompt_tokens,
            max_output,
            rank,
            can_wait: false,
            isolated: false,
            zones: None,
            software: None,
        }
    }

    /// Restricts the job to the given zones; `None` allows all zones.
    #[must_use]
    pub fn restricted_to(self, zones: Option<BTreeSet<ZoneName>>) -> Self {
        Self { zones, ..self }
    }

    /// Returns `true` if the job may run at an endpoint, by the endpoint's zone and version.
    #[must_use]
    pub fn may_run_at(&self, e: &Endpoint) -> bool {
        let zone = self.zones.as_ref().is_none_or(|z| z.contains(&e.zone));
        zone && (self.software.is_none() || self.software == e.software)
    }

    /// Returns the estimated number of tokens that the request will hold in memory.
    pub(crate) fn tokens(&self) -> f64 {
        f64::from(self.prompt_tokens) + 0.6 * f64::from(self.max_output)
    }

    /// Returns the estimated number of tokens that the request will hold in memory, rounded up.
    #[must_use]
    pub fn held_tokens(&self) -> u32 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the sum of two counts isn't negative, and a cast saturates"
        )]
        let tokens = self.tokens().ceil() as u32;
        tokens
    }

    /// Returns the rank by which endpoints order the job: one that can wait comes after the others of its rank.
    #[must_use]
    pub fn urgency(&self) -> u8 {
        self.rank.saturating_add(u8::from(self.can_wait))
    }

    pub(crate) fn level(&self) -> usize {
        usize::from(self.urgency()).min(RANKS - 1)
    }
}
