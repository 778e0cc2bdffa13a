//! The operators' configuration: routing rules, services and limits.
//!
//! A catalog is a complete configuration, as published by the operators of a site. It is replaced as one
//! value, and never by an older one (`docs/design/system.md`).

use crate::id::{RegionName, ServiceName};
use crate::retry::Repeat;
use crate::workspace::Workspaces;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// A routing rule: the services and the limits for requests with a given host and path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rule {
    /// The rule's name, used in log lines.
    pub name: SmolStr,
    /// The host of the requests, in lower case.
    pub host: SmolStr,
    /// The path prefix of the requests; starts and ends with a slash.
    pub prefix: SmolStr,
    /// The services that receive the requests, with their weights.
    pub shares: Vec<Share>,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Whether the response is a stream of events.
    pub stream: bool,
    /// Whether another endpoint may continue an interrupted stream.
    pub resumable: bool,
    /// The maximum time that a request may take.
    pub timeout: Duration,
    /// The time within which a response has its full value; for streams, the time to the first event.
    pub objective: Duration,
    /// The longest pause between two events with which a stream still meets its objective.
    pub pause: Option<Duration>,
    /// The rank of the requests; 0 is the most urgent.
    pub rank: u8,
    /// The maximum number of endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key even if there are workspaces.
    pub open: bool,
    /// The regions in which a request may run; all regions if empty.
    pub homes: Vec<RegionName>,
}

/// A service's share of a rule's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The service.
    pub service: ServiceName,
    /// The weight of the service among the rule's shares.
    pub weight: u32,
}

impl Rule {
    /// Returns `true` if the rule leads some of its requests to a service.
    #[must_use]
    pub fn leads_to(&self, service: &ServiceName) -> bool {
        self.shares.iter().any(|s| s.service == *service)
    }

    /// Returns the service for a request. The choice depends on the request's hash, in proportion to the
    /// weights.
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
    /// The duration of a load from the weight store.
    pub cold_load: Duration,
}

/// The capacity of each endpoint of a service that runs models.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// The number of requests that an endpoint runs concurrently.
    pub slots: u32,
    /// The number of tokens that fit in an endpoint's KV cache.
    pub kv_tokens: u32,
    /// The memory for weights and adapters together, in megabytes.
    pub megabytes: f64,
    /// The maximum number of adapters on an endpoint.
    pub adapter_places: usize,
    /// The number of loads from the weight store that may begin per second, over all endpoints.
    pub loads_per_second: f64,
    /// The models by name.
    pub models: BTreeMap<SmolStr, ModelSpec>,
}

/// The configuration of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// The path of its health check.
    pub health_path: SmolStr,
    /// The maximum number of connections to one endpoint, over all callers.
    pub max_connections: u32,
    /// The capacity of the endpoints, if they run models.
    pub engine: Option<EngineSpec>,
    /// The reduced capacity of the endpoints after a start, if any.
    pub cold: Option<ColdSpec>,
}

/// The capacity of an endpoint while it is cold.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdSpec {
    /// How long an endpoint is cold after a start.
    pub start: Duration,
    /// The requests per second that a cold endpoint accepts, over all VMs.
    pub rate: f64,
}

/// Limits on the size and the duration of callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// The maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// The maximum time for receiving a request's head.
    pub head_timeout: Duration,
    /// The maximum time that a connection may be idle.
    pub idle_timeout: Duration,
}

/// A complete configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// The version, which increases with each change.
    pub version: u64,
    /// The services by name.
    pub services: BTreeMap<ServiceName, ServiceSpec>,
    /// The limits on callers' requests.
    pub limits: CallerLimits,
    /// The workspaces and their keys. If there are none, no request needs a key.
    pub workspaces: Workspaces,
    rules: Vec<Rule>,
    /// The indices into `rules` for each host, longest prefix first.
    by_host: HashMap<SmolStr, Vec<usize>>,
    /// The shortest objective of each service's rules.
    #[serde(rename = "tightest")]
    shortest_objectives: BTreeMap<ServiceName, Duration>,
    /// The shortest pause among each service's rules.
    #[serde(rename = "pauses")]
    shortest_pauses: BTreeMap<ServiceName, Duration>,
    /// The ranks of all rules.
    rule_ranks: BTreeSet<u8>,
}

impl Catalog {
    /// Creates a catalog without workspaces.
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
        let mut shortest_objectives: BTreeMap<ServiceName, Duration> = BTreeMap::new();
        let mut shortest_pauses: BTreeMap<ServiceName, Duration> = BTreeMap::new();
        for r in &rules {
            for s in &r.shares {
                let t = shortest_objectives
                    .entry(s.service.clone())
                    .or_insert(r.objective);
                *t = r.objective.min(*t);
                if let Some(pause) = r.pause {
                    let p = shortest_pauses.entry(s.service.clone()).or_insert(pause);
                    *p = pause.min(*p);
                }
            }
        }
        let rule_ranks = rules.iter().map(|r| r.rank).collect();
        Self {
            version,
            services,
            limits,
            workspaces: Workspaces::default(),
            rules,
            by_host,
            shortest_objectives,
            shortest_pauses,
            rule_ranks,
        }
    }

    /// Returns the same catalog with the given workspaces.
    #[must_use]
    pub fn with_workspaces(self, workspaces: Workspaces) -> Self {
        Self { workspaces, ..self }
    }

    /// Returns the rank of a rule's requests for a workspace with the given rank; 0 is the most urgent.
    ///
    /// The workspace's rank takes precedence, and the rule's rank orders the requests of equally urgent workspaces. The
    /// ranks have no gaps, since few of them are told apart at endpoints.
    #[must_use]
    pub fn rank(&self, rule: &Rule, workspace: Option<u8>) -> u8 {
        let below = self.rule_ranks.iter().take_while(|r| **r < rule.rank);
        let by_rule = below.count();
        let Some(rank) = workspace else {
            return u8::try_from(by_rule).unwrap_or(u8::MAX);
        };
        let all = self.workspaces.all().iter().filter_map(|w| w.rank);
        let more_urgent: BTreeSet<u8> = all.filter(|r| *r < rank).collect();
        let before = more_urgent.len() * self.rule_ranks.len();
        u8::try_from(before + by_rule).unwrap_or(u8::MAX)
    }

    /// Returns `true` if requests of a rule need a key.
    #[must_use]
    pub fn needs_key(&self, rule: &Rule) -> bool {
        !rule.open && !self.workspaces.is_empty()
    }

    /// Returns the rule for a request: among the rules of its host, the one with the longest matching prefix.
    #[must_use]
    pub fn rule(&self, host: &str, path: &str) -> Option<&Rule> {
        let host = host.to_ascii_lowercase();
        let found = self.by_host.get(host.as_str())?;
        let mut rules = found.iter().map(|i| &self.rules[*i]);
        rules.find(|r| path.starts_with(r.prefix.as_str()))
    }

    /// Returns the shortest pause among the rules that route to a service.
    #[must_use]
    pub fn shortest_pause(&self, service: &ServiceName) -> Option<Duration> {
        self.shortest_pauses.get(service).copied()
    }

    /// Returns the shortest objective among the rules that route to a service.
    #[must_use]
    pub fn shortest_objective(&self, service: &ServiceName) -> Option<Duration> {
        self.shortest_objectives.get(service).copied()
    }

    /// Returns all rules.
    #[must_use]
    pub fn rules(&self) -> &[Rule] {
        &self.rules
    }

    /// Returns the capacity of a service's endpoints, if the service runs models.
    #[must_use]
    pub fn engine(&self, service: &ServiceName) -> Option<&EngineSpec> {
        self.services.get(service)?.engine.as_ref()
    }
}
