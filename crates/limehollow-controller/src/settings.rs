//! The settings of a controller, documented in `docs/settings.md`.

use limehollow::order::Rules;
use limehollow_edge::settings::{Invalid, Settings, check_address, check_name, check_range};
use serde::Deserialize;
use std::time::Duration;

const DAY_MS: u64 = 86_400_000;

/// The settings of a controller.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControllerSettings {
    /// The name of this entry VM.
    pub name: String,
    /// The availability zone of this VM.
    pub availability_zone: String,
    /// The `IP:PORT` at which peers reach this controller.
    pub peer_address: String,
    /// The `IP:PORT` of the admin port.
    pub admin_address: String,
    /// The `IP:PORT` of the platform's services.
    pub platform_address: String,
    /// Peers of the zone to contact while the platform's membership list can't be read.
    #[serde(default)]
    pub seed_peers: Vec<String>,
    /// The retention time of the log's records, in milliseconds.
    pub log_retention_ms: u64,
    /// Timeouts, intervals and limits.
    #[serde(default)]
    pub rules: RuleSettings,
}

/// The timeouts, intervals and limits of a controller. Fields that end in `_ms` are in milliseconds.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RuleSettings {
    /// The longest time by which an endpoint's report may be out of date.
    pub report_lag_ms: u64,
    /// The time after which an accepted order without a visible effect has an unknown outcome.
    pub effect_patience_ms: u64,
    /// The time without an answer after which an endpoint counts as gone.
    pub dead_after_ms: u64,
    /// The time to wait for a lost replica to come back before it is placed elsewhere.
    pub repair_after_ms: u64,
    /// The time that a plan waits for endpoints that are listed but haven't been observed.
    pub plan_patience_ms: u64,
    /// The interval between polls of an endpoint.
    pub look_every_ms: u64,
    /// The maximum number of concurrent loads in a zone.
    pub max_loads: u64,
    /// The time without a sign of life after which the holder of the lease may be replaced.
    pub lease_ttl_ms: u64,
}

impl Default for RuleSettings {
    fn default() -> Self {
        let r = Rules::default();
        let ms = |d: Duration| u64::try_from(d.as_millis()).unwrap_or(u64::MAX);
        Self {
            report_lag_ms: ms(r.report_lag),
            effect_patience_ms: ms(r.effect_timeout),
            dead_after_ms: ms(r.dead_after),
            repair_after_ms: ms(r.repair_after),
            plan_patience_ms: ms(r.plan_timeout),
            look_every_ms: ms(r.poll_interval),
            max_loads: r.max_loads as u64,
            lease_ttl_ms: ms(limehollow::lease::DEFAULT_TTL),
        }
    }
}

impl From<RuleSettings> for Rules {
    fn from(s: RuleSettings) -> Self {
        Self {
            report_lag: Duration::from_millis(s.report_lag_ms),
            effect_timeout: Duration::from_millis(s.effect_patience_ms),
            dead_after: Duration::from_millis(s.dead_after_ms),
            repair_after: Duration::from_millis(s.repair_after_ms),
            plan_timeout: Duration::from_millis(s.plan_patience_ms),
            poll_interval: Duration::from_millis(s.look_every_ms),
            max_loads: usize::try_from(s.max_loads).unwrap_or(usize::MAX),
            ..Self::default()
        }
    }
}

impl Settings for ControllerSettings {
    fn check(&self) -> Result<(), Invalid> {
        check_name("name", &self.name)?;
        check_name("availability_zone", &self.availability_zone)?;
        check_address("peer_address", &self.peer_address)?;
        check_address("admin_address", &self.admin_address)?;
        check_address("platform_address", &self.platform_address)?;
        for peer in &self.seed_peers {
            check_address("seed_peers", peer)?;
        }
        check_range(
            "log_retention_ms",
            self.log_retention_ms,
            1_000..=365 * DAY_MS,
        )?;
        let r = &self.rules;
        check_range("rules.report_lag_ms", r.report_lag_ms, 1..=60_000)?;
        check_range(
            "rules.effect_patience_ms",
            r.effect_patience_ms,
            1_000..=3_600_000,
        )?;
        check_range("rules.dead_after_ms", r.dead_after_ms, 500..=600_000)?;
        if r.dead_after_ms <= r.report_lag_ms {
            let why = format!(
                "must be more than rules.report_lag_ms, which is {}",
                r.report_lag_ms
            );
            return Err(Invalid::new("rules.dead_after_ms", why));
        }
        check_range("rules.repair_after_ms", r.repair_after_ms, 0..=DAY_MS)?;
        check_range("rules.plan_patience_ms", r.plan_patience_ms, 0..=600_000)?;
        check_range("rules.look_every_ms", r.look_every_ms, 50..=60_000)?;
        check_range("rules.max_loads", r.max_loads, 1..=1_000)?;
        check_range("rules.lease_ttl_ms", r.lease_ttl_ms, 500..=60_000)
    }
}
