//! The settings of the process; see `docs/settings.md`.

use crate::edge::Feed;
use http::StatusCode;
use limehollow::confirmation::KeyBound;
use limehollow::freshness::ReadPace;
use limehollow::id::{RegionName, ZoneName};
use limehollow::quota::Allowance;
use limehollow::rebalance::LoadCeiling;
use limehollow::retry_window::RepeatAllowance;
use limehollow_edge::request_memory::MemoryBound;
use limehollow_edge::settings::{Invalid, Settings, check_address, check_name, check_range};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// The window in which requests to a cold endpoint are counted.
const COLD_WINDOW: Duration = Duration::from_secs(1);

const BYTES_PER_MBIT: f64 = 125_000.0;
/// The share of its link that a VM's messages to other VMs may use.
const GOSSIP_SHARE: f64 = 0.125;

/// The share of the descriptors that connections of callers may use. Endpoints, the store and files need
/// some too.
const CALLERS_SHARE: f64 = 0.6;

/// The least that endpoints' answers must be allowed, in bytes.
const MIN_ANSWER_BYTES: u64 = 1 << 10;

/// The maximum size of a failure that an endpoint answers with, in bytes: its text isn't worth the link that others need.
const MAX_FAILURE_BYTES: u64 = 1 << 20;

/// The share of the VM's memory that the bodies of requests may use. Connections, endpoints' answers and the state of the site
/// need the rest.
const REQUESTS_SHARE: f64 = 0.2;
const BYTES_PER_MB: f64 = 1_000_000.0;

/// The share of the callers' connections whose requests may wait for their turn.
const WAITING_SHARE: f64 = 0.25;

/// The share of the descriptors that connections of other VMs for their requests may use.
const TAKEN_OVER_SHARE: f64 = 0.1;

/// Choices between different ways to decide.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Which VM chooses the endpoint for a request.
    pub choice: ChoicePolicy,
    /// Whether requests wait for their turn while the endpoints of a model are short of capacity.
    pub queue: QueuePolicy,
}

/// Whether requests wait for their turn.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QueuePolicy {
    /// While the endpoints of a model are short of capacity, its requests wait in the order of their urgency.
    #[default]
    Auto,
    /// No request waits for its turn.
    Off,
}

/// Which VM chooses the endpoint for a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChoicePolicy {
    /// The coordinator that assigns the model's endpoints.
    #[default]
    #[serde(rename = "keeper")]
    Coordinator,
    /// The VM that has the request, by its own view.
    Own,
}

/// The settings of the process on an entry VM.
#[derive(Clone, Debug, Deserialize)]
pub struct NodeSettings {
    /// The name of this VM.
    pub name: String,
    /// The availability zone of this VM.
    pub availability_zone: String,
    /// The IP address of this VM.
    pub ip: IpAddr,
    /// The address for callers, as `IP:PORT`.
    pub address: String,
    /// The address on which a load balancer checks readiness, as `IP:PORT`.
    pub readiness_address: String,
    /// The port for datagrams between VMs, the same on all VMs.
    pub peer_port: u16,
    /// The port for operators: metrics, and a dump of the state.
    pub admin_port: u16,
    /// The VMs that a VM contacts first at its start or while the store is away, as `IP:PORT`. The port is
    /// ignored.
    #[serde(default)]
    pub seeds: Vec<String>,
    /// Whether the site starts for the first time, so that no caller waits for a stream that began before.
    #[serde(default)]
    pub first_start: bool,
    /// The number of processor cores of this VM; may be a fraction.
    #[serde(default = "default_cores")]
    pub cores: f64,
    /// The bandwidth of this VM's link in each direction, in Mbit/s.
    #[serde(default = "default_link_mbps")]
    pub link_mbps: f64,
    /// The limit of open file descriptors of the process.
    #[serde(default = "default_descriptors")]
    pub descriptors: u32,
    /// The memory of this VM, in MB.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u32,
    /// The address of the platform's store, as `IP:PORT`.
    pub store_address: String,
    /// The maximum size of an endpoint's answer, in bytes.
    #[serde(default = "default_answer_bytes")]
    pub answer_bytes: u64,
    /// How long the process may take to stop, in ms.
    pub grace_ms: u64,
    /// The least time between orders of two holders of the lease, in ms.
    pub lease_ms: u64,
    /// The time after which a leaving endpoint gets no new work, counted from the platform's
    /// acknowledgement, in ms.
    #[serde(default = "default_in_force_ms")]
    pub leaving_ms: u64,
    /// The time after which a configuration is in force on all VMs, in ms.
    #[serde(default = "default_in_force_ms")]
    pub configuration_ms: u64,
    /// The time after which an evacuated zone gets no new work, in ms; none where zones aren't evacuated.
    #[serde(default)]
    pub evacuation_ms: Option<u64>,
    /// The time after which a key that operators removed is rejected on every VM, in ms; none if that is
    /// required only of VMs that reach the store.
    #[serde(default)]
    pub key_removal_ms: Option<u64>,
    /// The window in which a workspace's usage is summed, in ms.
    #[serde(default = "default_quota_window_ms")]
    pub quota_window_ms: u64,
    /// The fraction of a workspace's limit by which all VMs together may exceed it.
    #[serde(default)]
    pub quota_over: f64,
    /// Tokens by which all VMs together may exceed it in addition.
    #[serde(default)]
    pub quota_slack: f64,
    /// The factor on the rate of a cold endpoint that all VMs together may send.
    #[serde(default = "default_cold_over")]
    pub cold_over: f64,
    /// Requests to a cold endpoint that are allowed in addition.
    #[serde(default = "default_cold_slack")]
    pub cold_slack: f64,
    /// The region of each zone.
    #[serde(default)]
    pub regions: BTreeMap<ZoneName, RegionName>,
    /// The number of retries that are allowed per request.
    pub repeat_ratio: f64,
    /// Retries that are allowed in addition, over all VMs.
    pub repeat_slack: f64,
    /// The window in which retries are counted, in ms.
    pub repeat_window_ms: u64,
    /// The window in which loads from the weight store are counted, in ms.
    pub load_window_ms: u64,
    /// The factor on the weight store's rate that is allowed.
    pub load_over: f64,
    /// Choices between different ways to decide.
    #[serde(default)]
    pub policy: Policy,
    /// Loads from the weight store that are allowed in addition.
    #[serde(default = "default_load_slack")]
    pub load_slack: f64,
}

/// The cores of an entry VM on today's sites.
fn default_cores() -> f64 {
    0.25
}

/// The bandwidth of an entry VM on today's small sites.
fn default_link_mbps() -> f64 {
    1000.0
}

/// The descriptor limit of an entry VM on today's small sites.
fn default_descriptors() -> u32 {
    4_100
}

/// The memory of the smallest entry VM on today's sites.
fn default_memory_mb() -> u32 {
    120
}

/// As large as answers of `limehollow-gateway` may be.
fn default_answer_bytes() -> u64 {
    16 << 20
}

/// The bound of today's small sites, the tightest of all sites.
fn default_in_force_ms() -> u64 {
    2_000
}

/// Long enough that a burst counts little, short enough that callers notice no
/// gap.
fn default_quota_window_ms() -> u64 {
    10_000
}

/// The load that a cold endpoint accepts beyond its rate if the site states nothing else.
fn default_cold_over() -> f64 {
    1.5
}

fn default_cold_slack() -> f64 {
    5.0
}

/// What the rules of the site allow beyond the weight store's rate.
fn default_load_slack() -> f64 {
    3.0
}

impl NodeSettings {
    /// Returns the address for this VM's datagrams.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.peer_port)
    }

    /// Returns the processor of this VM in thousandths of a core.
    #[must_use]
    pub fn millicores(&self) -> u32 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the settings are checked; a cast saturates"
        )]
        let millicores = (self.cores * 1000.0).round() as u32;
        millicores
    }

    /// Returns the bytes per second that this VM may send to other VMs, so that the rest of its link is
    /// left to callers.
    #[must_use]
    pub fn gossip_bytes_per_s(&self) -> f64 {
        self.link_mbps * BYTES_PER_MBIT * GOSSIP_SHARE
    }

    /// Returns the largest number of open connections of callers.
    #[must_use]
    pub fn max_caller_connections(&self) -> usize {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "it is less than the descriptors"
        )]
        let most = (f64::from(self.descriptors) * CALLERS_SHARE) as usize;
        most
    }

    /// Returns the bound on the memory of all requests' bodies, of which one may have `body_limit` bytes.
    #[must_use]
    pub fn request_memory(&self, body_limit: usize) -> MemoryBound {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "it is less than the VM's memory"
        )]
        let all = (f64::from(self.memory_mb) * BYTES_PER_MB * REQUESTS_SHARE) as usize;
        MemoryBound::new(all, body_limit)
    }

    /// Returns the largest number of requests of this VM that wait for their turn.
    #[must_use]
    pub fn max_waiting(&self) -> usize {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "it is less than the descriptors"
        )]
        let most = (f64::from(self.descriptors) * CALLERS_SHARE * WAITING_SHARE) as usize;
        most
    }

    /// Returns the largest number of requests of other VMs that this VM handles at once.
    #[must_use]
    pub fn max_taken_over(&self) -> u32 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "it is less than the descriptors"
        )]
        let most = (f64::from(self.descriptors) * TAKEN_OVER_SHARE) as u32;
        most
    }

    /// Returns the maximum size of an endpoint's answer with a status, in bytes.
    #[must_use]
    pub fn max_answer_bytes(&self, status: StatusCode) -> u64 {
        if status.is_server_error() {
            self.answer_bytes.min(MAX_FAILURE_BYTES)
        } else {
            self.answer_bytes
        }
    }

    /// Returns the read intervals of a feed, or `None` if the age of its copy has no bound.
    #[must_use]
    pub fn pace(&self, feed: Feed) -> Option<ReadPace> {
        match feed {
            Feed::Endpoints => Some(self.list_pace()),
            Feed::Configuration => Some(self.configuration_pace()),
            Feed::Vms => None,
        }
    }

    /// Returns the read intervals of the list of endpoints.
    #[must_use]
    pub fn list_pace(&self) -> ReadPace {
        ReadPace::list(Duration::from_millis(self.leaving_ms))
    }

    /// Returns the read intervals of the configuration, beside calls that wait for its changes.
    #[must_use]
    pub fn configuration_pace(&self) -> ReadPace {
        let evacuation = self.evacuation_ms.unwrap_or(u64::MAX);
        ReadPace::configuration(Duration::from_millis(self.configuration_ms.min(evacuation)))
    }

    /// Returns how long keys are accepted without a fresh configuration, if that has a bound.
    #[must_use]
    pub fn key_bound(&self) -> Option<KeyBound> {
        let bound = self.key_removal_ms.map(Duration::from_millis);
        bound.map(KeyBound::new)
    }

    /// Returns by how much all VMs together may exceed workspaces' limits.
    #[must_use]
    pub fn quota_allowance(&self) -> Allowance {
        Allowance {
            window: Duration::from_millis(self.quota_window_ms),
            over: self.quota_over,
            slack: self.quota_slack,
        }
    }

    /// Returns by how much all VMs together may exceed the rate of a cold endpoint.
    #[must_use]
    pub fn cold_allowance(&self) -> Allowance {
        Allowance {
            window: COLD_WINDOW,
            over: (self.cold_over - 1.0).max(0.0),
            slack: self.cold_slack,
        }
    }

    /// Returns the zones in which a request may run, by the regions that are named for it, or `None` if it
    /// may run in any.
    #[must_use]
    pub fn zones_in_regions(&self, homes: &[&[RegionName]]) -> Option<BTreeSet<ZoneName>> {
        let named: Vec<_> = homes.iter().filter(|h| !h.is_empty()).collect();
        if named.is_empty() {
            return None;
        }
        let is_allowed = |r: &RegionName| named.iter().all(|h| h.contains(r));
        let zones = self.regions.iter().filter(|(_, r)| is_allowed(r));
        Some(zones.map(|(z, _)| z.clone()).collect())
    }

    /// Returns the budget for retries.
    #[must_use]
    pub fn repeat_allowance(&self) -> RepeatAllowance {
        RepeatAllowance {
            ratio: self.repeat_ratio,
            slack: self.repeat_slack,
            window: Duration::from_millis(self.repeat_window_ms),
        }
    }

    /// Returns the limit on loads from the weight store.
    #[must_use]
    pub fn load_ceiling(&self) -> LoadCeiling {
        LoadCeiling {
            window: Duration::from_millis(self.load_window_ms),
            over: self.load_over,
            slack: self.load_slack,
        }
    }
}

impl Settings for NodeSettings {
    fn check(&self) -> Result<(), Invalid> {
        check_name("name", &self.name)?;
        check_name("availability_zone", &self.availability_zone)?;
        check_address("address", &self.address)?;
        check_address("readiness_address", &self.readiness_address)?;
        check_address("store_address", &self.store_address)?;
        for s in &self.seeds {
            check_address("seeds", s)?;
        }
        check_range("descriptors", u64::from(self.descriptors), 64..=1_000_000)?;
        check_range(
            "answer_bytes",
            self.answer_bytes,
            MIN_ANSWER_BYTES..=1 << 40,
        )?;
        check_range("memory_mb", u64::from(self.memory_mb), 16..=10_000_000)?;
        check_range("grace_ms", self.grace_ms, 1_000..=600_000)?;
        check_range("lease_ms", self.lease_ms, 0..=600_000)?;
        check_range("leaving_ms", self.leaving_ms, 500..=600_000)?;
        check_range("configuration_ms", self.configuration_ms, 500..=600_000)?;
        if let Some(ms) = self.evacuation_ms {
            check_range("evacuation_ms", ms, 500..=600_000)?;
        }
        if let Some(ms) = self.key_removal_ms {
            check_range("key_removal_ms", ms, 1_000..=600_000)?;
        }
        check_range("quota_window_ms", self.quota_window_ms, 1_000..=600_000)?;
        check_range("repeat_window_ms", self.repeat_window_ms, 100..=600_000)?;
        check_range("load_window_ms", self.load_window_ms, 100..=600_000)?;
        if !(self.link_mbps.is_finite() && self.link_mbps > 0.0) {
            let why = format!("must be above zero, not {}", self.link_mbps);
            return Err(Invalid::new("link_mbps", why));
        }
        let ratios = [
            ("cores", self.cores),
            ("repeat_ratio", self.repeat_ratio),
            ("repeat_slack", self.repeat_slack),
            ("load_over", self.load_over),
            ("load_slack", self.load_slack),
            ("quota_over", self.quota_over),
            ("quota_slack", self.quota_slack),
            ("cold_over", self.cold_over),
            ("cold_slack", self.cold_slack),
        ];
        for (key, value) in ratios {
            if !(value.is_finite() && value >= 0.0) {
                let why = format!("must be zero or more, not {value}");
                return Err(Invalid::new(key, why));
            }
        }
        Ok(())
    }
}
