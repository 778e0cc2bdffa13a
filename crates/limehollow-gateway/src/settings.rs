//! The settings of a gateway; see `docs/settings.md`.

use limehollow_edge::settings::{Invalid, Settings, check_address, check_name, check_range};
use serde::Deserialize;

/// The settings of a gateway.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// The name of this entry VM.
    pub name: String,
    /// The availability zone of this VM.
    pub availability_zone: String,
    /// The address for callers, as `IP:PORT`.
    pub address: String,
    /// The address for operators, as `IP:PORT`.
    pub admin_address: String,
    /// The address for other gateways, as `IP:PORT`.
    pub peer_address: String,
    /// The address of the controller on the same VM, as `IP:PORT`.
    pub controller_address: String,
    /// The address of the platform's services, as `IP:PORT`.
    pub platform_address: String,
    /// Limits on callers.
    #[serde(default)]
    pub limits: LimitSettings,
    /// The retention of idempotency keys and their results.
    #[serde(default)]
    pub claims: ClaimSettings,
    /// The number of traffic threads.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// How long the gateway keeps accepting connections after it reports that it is not ready, in
    /// milliseconds, so that the load balancer stops sending to it first.
    #[serde(default = "default_stop_grace_ms")]
    pub stop_grace_ms: u64,
}

fn default_threads() -> usize {
    2
}

fn default_stop_grace_ms() -> u64 {
    5_000
}

/// Limits on callers.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// The largest body, in bytes.
    pub body_bytes: usize,
    /// The memory for the bodies of all requests, in bytes.
    pub all_body_bytes: usize,
    /// The maximum total size of all header names and values, in bytes.
    pub header_bytes: usize,
    /// How long a caller may take to send its body, in milliseconds.
    pub body_ms: u64,
    /// The maximum number of open connections.
    pub connections: usize,
    /// How long a connection may be idle, in milliseconds.
    pub idle_ms: u64,
    /// The deadline of a request that has no deadline header, in milliseconds.
    pub default_deadline_ms: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            body_bytes: 4 << 20,
            all_body_bytes: 64 << 20,
            header_bytes: 16 << 10,
            body_ms: 10_000,
            connections: 4_096,
            idle_ms: 120_000,
            default_deadline_ms: 60_000,
        }
    }
}

/// The retention of idempotency keys and of the results of requests that run at most once.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClaimSettings {
    /// How long a key is retained, in milliseconds of the log's time.
    pub memory_ms: u64,
    /// The shortest time between two appends of claims, in milliseconds.
    pub batch_ms: u64,
    /// The maximum number of stored results.
    pub results: usize,
    /// The largest body of a stored result, in bytes.
    pub result_bytes: usize,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            memory_ms: limehollow::claim::DEFAULT_RETENTION_MS,
            batch_ms: 5,
            results: 4_096,
            result_bytes: 64 << 10,
        }
    }
}

impl Settings for GatewaySettings {
    fn check(&self) -> Result<(), Invalid> {
        check_name("name", &self.name)?;
        check_name("availability_zone", &self.availability_zone)?;
        check_address("address", &self.address)?;
        check_address("admin_address", &self.admin_address)?;
        check_address("peer_address", &self.peer_address)?;
        check_address("controller_address", &self.controller_address)?;
        check_address("platform_address", &self.platform_address)?;
        check_range("threads", self.threads as u64, 1..=256)?;
        check_range("stop_grace_ms", self.stop_grace_ms, 0..=600_000)?;
        let l = &self.limits;
        check_range("limits.body_bytes", l.body_bytes as u64, 1..=1 << 30)?;
        check_range(
            "limits.all_body_bytes",
            l.all_body_bytes as u64,
            1..=1 << 40,
        )?;
        check_range("limits.header_bytes", l.header_bytes as u64, 256..=1 << 20)?;
        check_range("limits.body_ms", l.body_ms, 10..=600_000)?;
        check_range("limits.connections", l.connections as u64, 1..=1 << 20)?;
        check_range("limits.idle_ms", l.idle_ms, 100..=3_600_000)?;
        check_range(
            "limits.default_deadline_ms",
            l.default_deadline_ms,
            1..=3_600_000,
        )?;
        let c = &self.claims;
        check_range("claims.memory_ms", c.memory_ms, 1_000..=86_400_000)?;
        check_range("claims.batch_ms", c.batch_ms, 0..=1_000)?;
        check_range("claims.results", c.results as u64, 0..=1 << 20)?;
        check_range("claims.result_bytes", c.result_bytes as u64, 0..=16 << 20)
    }
}
