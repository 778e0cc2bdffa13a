//! The configuration that operators keep: which requests go where, and what the services can do.
//!
//! A catalog is the confirmed intent of a site whose operators publish configurations whole. It is
//! swapped as one value, and never for an older one (`docs/design/system.md`).

use crate::id::{RegionName, ServiceName};
use crate::retry::Repeat;
use crate::workspace::Workspaces;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// What an operator wants of the requests of one kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rule {
    /// The rule's name, for log lines.
    pub name: SmolStr,
    /// The host that callers name, in lower case.
    pub host: SmolStr,
    /// How the path begins; starts and ends with a slash.
    pub prefix: SmolStr,
    /// The services that requests go to, each with its share.
    pub shares: Vec<Share>,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Whether the answer is a stream of events.
    pub stream: bool,
    /// Whether a stream may be continued by another endpoint.
    pub resumable: bool,
    /// How long a request may be held at most.
    pub timeout: Duration,
    /// Until when an answer is worth its full value; for streams, its first event.
    pub objective: Duration,
    /// The longest pause between events that keeps a stream in time.
    pub pause: Option<Duration>,
    /// The rank of the requests; 0 is the most urgent.
    pub rank: u8,
    /// How many endpoints one request may be sent to at most.
    pub max_attempts: u32,
    /// Whether requests need no key, also where there are workspaces.
    pub open: bool,
    /// The regions in which a request may run; any where none is named.
    pub homes: Vec<RegionName>,
}

/// A service's part of a rule's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The service.
    pub service: ServiceName,
    /// Its weight among the rule's shares.
    pub weight: u32,
}

impl Rule {
    /// Picks the service for a request, by its hash, so that each share gets its part.
    #[must_use]
    pub fn service(&self, hash: u64) -> Option<&ServiceName> {
        let total: u64 = self.shares.iter().map(|s| u64::from(s.weight)).sum();
        if total == 0 {
            return self.shares.first().map(|s| &s.service);
        }
        let mut at = hash % total;
        for s in &self.shares {
            let w = u64::from(s.weight);
            if at < w {
                return Some(&s.service);
            }
            at -= w;
        }
        None
    }
}

/// A model that a service's endpoints may hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelSpec {
    /// The model's name.
    pub name: SmolStr,
    /// The size of its weights in megabytes.
    pub megabytes: f64,
    /// The names of its adapters.
    pub adapters: Vec<SmolStr>,
    /// The size of one of its adapters in megabytes.
    pub adapter_megabytes: f64,
    /// How long a load from the weight store takes.
    pub cold_load: Duration,
}

/// What the endpoints of a service that runs models can hold and do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Requests that an endpoint runs at once.
    pub slots: u32,
    /// Tokens that an endpoint's memory holds.
    pub kv_tokens: u32,
    /// Megabytes for weights and adapters together.
    pub megabytes: f64,
    /// Adapters that an endpoint holds at most.
    pub adapter_places: usize,
    /// Loads from the weight store that may begin in a second, over all endpoints.
    pub loads_per_second: f64,
    /// The models.
    pub models: BTreeMap<SmolStr, ModelSpec>,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// The path of its health check.
    pub health_path: SmolStr,
    /// Connections that one of its endpoints takes, from all callers together.
    pub max_connections: u32,
    /// What its endpoints can hold, if they run models.
    pub engine: Option<EngineSpec>,
    /// What they bear after a start, if that is less than later.
    pub cold: Option<ColdSpec>,
}

/// What an endpoint bears while it is cold.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdSpec {
    /// For how long it is cold after a start.
    pub start: Duration,
    /// The requests a second that it takes meanwhile, of all VMs together.
    pub rate: f64,
}

/// What callers may send and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The most bytes of a request's head.
    pub head_bytes: usize,
    /// The most bytes of a request's body.
    pub body_bytes: usize,
    /// How long a head may take.
    pub head_timeout: Duration,
    /// How long a connection may be at rest.
    pub idle_timeout: Duration,
}

/// A whole configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// Rises with each change.
    pub version: u64,
    /// The services by name.
    pub services: BTreeMap<ServiceName, ServiceSpec>,
    /// What callers may do.
    pub limits: CallerLimits,
    /// Who callers are; where there are none, no request needs a key.
    pub workspaces: Workspaces,
    rules: Vec<Rule>,
    /// The rules of each host, those with the longest prefix first.
    by_host: HashMap<SmolStr, Vec<usize>>,
    /// The shortest objective of each service's rules.
    tightest: BTreeMap<ServiceName, Duration>,
    /// The shortest pause that each service's rules allow.
    pauses: BTreeMap<ServiceName, Duration>,
}

impl Catalog {
    /// Makes a catalog from its parts.
    #[must_use]
    pub fn new(
        version: u64,
        rules: Vec<Rule>,
        services: BTreeMap<ServiceName, ServiceSpec>,
        limits: CallerLimits,
    ) -> Self {
        let mut by_host: HashMap<SmolStr, Vec<usize>> = HashMap::new();
        for (i, r) in rules.iter().enumerate() {
            by_host.entry(r.host.clone()).or_default().push(i);
        }
        for found in by_host.values_mut() {
            found.sort_by_key(|i| std::cmp::Reverse(rules[*i].prefix.len()));
        }
        let mut tightest: BTreeMap<ServiceName, Duration> = BTreeMap::new();
        let mut pauses: BTreeMap<ServiceName, Duration> = BTreeMap::new();
        for r in &rules {
            for s in &r.shares {
                let t = tightest.entry(s.service.clone()).or_insert(r.objective);
                *t = r.objective.min(*t);
                if let Some(pause) = r.pause {
                    let p = pauses.entry(s.service.clone()).or_insert(pause);
                    *p = pause.min(*p);
                }
            }
        }
        Self {
            version,
            services,
            limits,
            workspaces: Workspaces::default(),
            rules,
            by_host,
            tightest,
            pauses,
        }
    }

    /// Gives the same catalog with these workspaces.
    #[must_use]
    pub fn with_workspaces(self, workspaces: Workspaces) -> Self {
        Self { workspaces, ..self }
    }

    /// Tells whether requests of a rule need a key.
    #[must_use]
    pub fn needs_key(&self, rule: &Rule) -> bool {
        !rule.open && !self.workspaces.is_empty()
    }

    /// Gives the rule for a request: of its host's rules, the one with the longest prefix that fits.
    #[must_use]
    pub fn rule(&self, host: &str, path: &str) -> Option<&Rule> {
        let host = host.to_ascii_lowercase();
        let found = self.by_host.get(host.as_str())?;
        let mut rules = found.iter().map(|i| &self.rules[*i]);
        rules.find(|r| path.starts_with(r.prefix.as_str()))
    }

    /// Gives the shortest pause that the rules allow which go to a service.
    #[must_use]
    pub fn shortest_pause(&self, service: &ServiceName) -> Option<Duration> {
        self.pauses.get(service).copied()
    }

    /// Gives the shortest objective among the rules that go to a service.
    #[must_use]
    pub fn shortest_objective(&self, service: &ServiceName) -> Option<Duration> {
        self.tightest.get(service).copied()
    }

    /// Gives all rules.
    #[must_use]
    pub fn rules(&self) -> &[Rule] {
        &self.rules
    }

    /// Gives what the endpoints of a service can hold, if it runs models.
    #[must_use]
    pub fn engine(&self, service: &ServiceName) -> Option<&EngineSpec> {
        self.services.get(service)?.engine.as_ref()
    }
}
