//! Size and configuration of a deployment.

use dragonflycart_core::{ModelName, VersionName};
use dragonflycart_testkit::{EngineConfig, LogConfig, ServiceConfig};

/// Size and configuration of a deployment. Zones are named `zone-0`, `zone-1` and so on.
#[derive(Clone)]
pub(crate) struct DeploymentSpec {
    /// Availability zones.
    pub(crate) zones: u16,
    /// Entry VMs per zone.
    pub(crate) vms_per_zone: u16,
    /// Engines per zone.
    pub(crate) engines: u16,
    /// Servers of the booking service per zone.
    pub(crate) bookings: u16,
    /// Configuration of each engine.
    pub(crate) engine: EngineConfig,
    /// Configuration of each booking server.
    pub(crate) booking: ServiceConfig,
    /// Configuration of the log service.
    pub(crate) log: LogConfig,
    /// Whether engines accept a forced prefix.
    pub(crate) forced_prefix: bool,
    /// Whether VMs reach their peers through relays that tests can cut.
    pub(crate) peer_relays: bool,
    /// Whether VMs reach the engines through relays that tests can cut.
    pub(crate) engine_relays: bool,
    /// Lines added to section `[platform]`.
    pub(crate) platform: String,
    /// Lines added to section `[drain]`.
    pub(crate) drain: String,
    /// Lines added to section `[timeouts]`.
    pub(crate) timeouts: String,
}

impl Default for DeploymentSpec {
    fn default() -> DeploymentSpec {
        DeploymentSpec {
            zones: 2,
            vms_per_zone: 1,
            engines: 1,
            bookings: 1,
            engine: EngineConfig {
                loaded: vec![model_version("assistant", "v1")],
                ..EngineConfig::default()
            },
            booking: ServiceConfig { supports_lookup: true, ..ServiceConfig::default() },
            log: LogConfig::default(),
            forced_prefix: true,
            peer_relays: false,
            engine_relays: false,
            platform: String::new(),
            drain: "balancer_lag = 200ms".to_owned(),
            timeouts: "report_poll = 200ms".to_owned(),
        }
    }
}

/// Returns the pair of a model and a version.
pub(crate) fn model_version(model: &str, version: &str) -> (ModelName, VersionName) {
    (ModelName::new(model).unwrap(), VersionName::new(version).unwrap())
}
