//! What a request asks of an endpoint.

use crate::id::{ServiceName, ZoneName};
use crate::roster::ModelRef;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::hash::Hasher;
use xxhash_rust::xxh3::Xxh3;

/// How many ranks are told apart; those behind count as the last.
pub const RANKS: usize = 4;

/// A part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Names the part's content.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// What a request asks of an endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// The service.
    pub service: ServiceName,
    /// The model, if the service runs models.
    pub model: Option<ModelRef>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// The most tokens that may be generated.
    pub max_output: u32,
    /// The rank; 0 is the most urgent.
    pub rank: u8,
    /// Whether it is to run where it takes the fewest others along: its endpoint may end under it.
    pub isolated: bool,
    /// The zones in which it may run; any where none is named.
    pub zones: Option<BTreeSet<ZoneName>>,
    /// Hashes of the prompt's beginnings, the shortest first, each with the tokens that its last part
    /// adds.
    pub(crate) beginnings: Vec<(u64, u32)>,
}

impl Job {
    /// Makes a job of a plain service.
    #[must_use]
    pub fn plain(service: ServiceName, rank: u8) -> Self {
        Self {
            service,
            model: None,
            prompt_tokens: 0,
            max_output: 0,
            rank,
            isolated: false,
            zones: None,
            beginnings: Vec::new(),
        }
    }

    /// Makes a job of a service that runs models.
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
            isolated: false,
            zones: None,
        }
    }

    /// Gives the same job, which may run in these zones only; in any where none is named.
    #[must_use]
    pub fn restricted_to(self, zones: Option<BTreeSet<ZoneName>>) -> Self {
        Self { zones, ..self }
    }

    /// Tells whether it may run in a zone.
    #[must_use]
    pub fn may_run_in(&self, zone: &ZoneName) -> bool {
        self.zones.as_ref().is_none_or(|z| z.contains(zone))
    }

    /// Gives the tokens that the request will hold in memory, as far as can be said before it runs.
    pub(crate) fn tokens(&self) -> f64 {
        f64::from(self.prompt_tokens) + 0.6 * f64::from(self.max_output)
    }

    pub(crate) fn level(&self) -> usize {
        usize::from(self.rank).min(RANKS - 1)
    }
}
