//! The settings of the process; see `docs/settings.md`.

use crate::edge::Feed;
use limehollow::confirmation::KeyBound;
use limehollow::freshness::ReadPace;
use limehollow::id::{RegionName, ZoneName};
use limehollow::quota::Allowance;
use limehollow::rebalance::LoadCeiling;
use limehollow::retry_window::RepeatAllowance;
use limehollow_edge::settings::{Invalid, Settings, check_address, check_name, check_range};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// The span over which requests to a cold endpoint are summed.
const COLD_WINDOW: Duration = Duration::from_secs(1);

const BYTES_PER_MBIT: f64 = 125_000.0;
/// The part of its link that a VM's messages to others may take.
const MESSAGES_SHARE: f64 = 0.125;

/// The part of its descriptors that connections of callers may take; endpoints, the store and files need some too.
const CALLERS_SHARE: f64 = 0.6;

/// How the process decides, where there is more than one way.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Who chooses the endpoint for a request.
    pub choice: ChoicePolicy,
}

/// Who chooses the endpoint for a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChoicePolicy {
    /// The VM that keeps the places of its model's endpoints.
    #[default]
    #[serde(rename = "keeper")]
    Coordinator,
    /// The VM that has the request, by what it knows.
    Own,
}

/// The settings of the process on an entry VM.
#[derive(Clone, Debug, Deserialize)]
pub struct NodeSettings {
    /// The name of this VM.
    pub name: String,
    /// Its availability zone.
    pub availability_zone: String,
    /// Its IP number.
    pub ip: IpAddr,
    /// Where callers reach it, as `IP:PORT`.
    pub address: String,
    /// Where the balancer before it asks whether it is ready, as `IP:PORT`.
    pub readiness_address: String,
    /// The port for datagrams between VMs; the same on all.
    pub peer_port: u16,
    /// The port for operators: metrics, and a dump of state.
    pub admin_port: u16,
    /// Some VMs to begin with when the store is away, as `IP:PORT`; the port is of no matter.
    #[serde(default)]
    pub seeds: Vec<String>,
    /// The part of a processor core that this VM has.
    #[serde(default = "default_cores")]
    pub cores: f64,
    /// What this VM's link carries each way, in Mbit/s.
    #[serde(default = "default_link_mbps")]
    pub link_mbps: f64,
    /// How many descriptors the process may have open.
    #[serde(default = "default_descriptors")]
    pub descriptors: u32,
    /// The platform's store, as `IP:PORT`.
    pub store_address: String,
    /// How long the process has to end after it was told to, in ms.
    pub grace_ms: u64,
    /// How long orders of two holders of the lease have to be apart, in ms.
    pub lease_ms: u64,
    /// The time after which an endpoint that leaves gets no new work, from the platform's acknowledgement on, in ms.
    #[serde(default = "default_in_force_ms")]
    pub leaving_ms: u64,
    /// The time after which a configuration is in force on all VMs, in ms.
    #[serde(default = "default_in_force_ms")]
    pub configuration_ms: u64,
    /// The time after which an evacuated zone gets no new work, in ms; none where zones aren't evacuated.
    #[serde(default)]
    pub evacuation_ms: Option<u64>,
    /// The time after which a key that operators took away is of no use on any VM, in ms; none where only VMs that reach the
    /// store are bound.
    #[serde(default)]
    pub key_removal_ms: Option<u64>,
    /// The window over which what a workspace uses is summed, in ms.
    #[serde(default = "default_quota_window_ms")]
    pub quota_window_ms: u64,
    /// The part of a workspace's limit that all VMs together may use beyond it.
    #[serde(default)]
    pub quota_over: f64,
    /// Tokens that they may use on top.
    #[serde(default)]
    pub quota_slack: f64,
    /// How many times its rate a cold endpoint bears.
    #[serde(default = "default_cold_over")]
    pub cold_over: f64,
    /// Requests that it bears on top.
    #[serde(default = "default_cold_slack")]
    pub cold_slack: f64,
    /// The region of each zone.
    #[serde(default)]
    pub regions: BTreeMap<ZoneName, RegionName>,
    /// Repeats that are allowed for each request.
    pub repeat_ratio: f64,
    /// Repeats that are allowed on top, over all VMs.
    pub repeat_slack: f64,
    /// The window in which repeats are counted, in ms.
    pub repeat_window_ms: u64,
    /// The window in which loads from the weight store are counted, in ms.
    pub load_window_ms: u64,
    /// The factor on the weight store's rate.
    pub load_over: f64,
    /// How the process decides, where there is more than one way.
    #[serde(default)]
    pub policy: Policy,
    /// Loads that are allowed on top of it.
    #[serde(default = "default_load_slack")]
    pub load_slack: f64,
}

/// What an entry VM of today's sites has.
fn default_cores() -> f64 {
    0.25
}

/// What an entry VM of today's small sites has.
fn default_link_mbps() -> f64 {
    1000.0
}

/// What an entry VM of today's small sites has.
fn default_descriptors() -> u32 {
    4_100
}

/// The bound of today's small sites, the tightest of all.
fn default_in_force_ms() -> u64 {
    2_000
}

/// Long enough that the burst counts little, short enough that callers notice no gap.
fn default_quota_window_ms() -> u64 {
    10_000
}

/// What a cold endpoint bears beyond its rate where a site says nothing else.
fn default_cold_over() -> f64 {
    1.5
}

fn default_cold_slack() -> f64 {
    5.0
}

/// What the site's rules allow on top of the weight store's rate.
fn default_load_slack() -> f64 {
    3.0
}

impl NodeSettings {
    /// Gives where this VM's datagrams arrive.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.peer_port)
    }

    /// Gives the processor in thousandths of a core.
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

    /// Gives how many bytes a second this VM may say to others, so that callers have the rest of its link.
    #[must_use]
    pub fn gossip_bytes_per_s(&self) -> f64 {
        self.link_mbps * BYTES_PER_MBIT * MESSAGES_SHARE
    }

    /// Gives how many connections of callers may be open at once.
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

    /// Gives when a feed is read, for those that have a bound on their age.
    #[must_use]
    pub fn pace(&self, feed: Feed) -> Option<ReadPace> {
        match feed {
            Feed::Endpoints => Some(self.list_pace()),
            Feed::Configuration => Some(self.configuration_pace()),
            Feed::Vms => None,
        }
    }

    /// Gives when the list of endpoints is read.
    #[must_use]
    pub fn list_pace(&self) -> ReadPace {
        ReadPace::list(Duration::from_millis(self.leaving_ms))
    }

    /// Gives when the configuration is read, beside calls that wait for its changes.
    #[must_use]
    pub fn configuration_pace(&self) -> ReadPace {
        let evacuation = self.evacuation_ms.unwrap_or(u64::MAX);
        ReadPace::configuration(Duration::from_millis(self.configuration_ms.min(evacuation)))
    }

    /// Gives for how long keys count, where that is bound.
    #[must_use]
    pub fn key_bound(&self) -> Option<KeyBound> {
        let bound = self.key_removal_ms.map(Duration::from_millis);
        bound.map(KeyBound::new)
    }

    /// Gives how far all VMs together may go beyond workspaces' limits.
    #[must_use]
    pub fn quota_allowance(&self) -> Allowance {
        Allowance {
            window: Duration::from_millis(self.quota_window_ms),
            over: self.quota_over,
            slack: self.quota_slack,
        }
    }

    /// Gives how far all VMs together may go beyond what a cold endpoint takes.
    #[must_use]
    pub fn cold_allowance(&self) -> Allowance {
        Allowance {
            window: COLD_WINDOW,
            over: (self.cold_over - 1.0).max(0.0),
            slack: self.cold_slack,
        }
    }

    /// Gives the zones in which a request may run, by the regions that are named for it; none where it may run in any.
    #[must_use]
    pub fn zones_in_regions(&self, homes: &[&[RegionName]]) -> Option<BTreeSet<ZoneName>> {
        let named: Vec<_> = homes.iter().filter(|h| !h.is_empty()).collect();
        if named.is_empty() {
            return None;
        }
        let is_home = |r: &RegionName| named.iter().all(|h| h.contains(r));
        let zones = self.regions.iter().filter(|(_, r)| is_home(r));
        Some(zones.map(|(z, _)| z.clone()).collect())
    }

    /// Gives the budget for repeats.
    #[must_use]
    pub fn repeat_allowance(&self) -> RepeatAllowance {
        RepeatAllowance {
            ratio: self.repeat_ratio,
            slack: self.repeat_slack,
            window: Duration::from_millis(self.repeat_window_ms),
        }
    }

    /// Gives what the weight store allows.
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
