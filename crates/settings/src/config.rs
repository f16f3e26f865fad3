//! Validated settings of one VM.

use std::{collections::BTreeMap, net::SocketAddr};

use dragonflycart_core::{ModelName, OperatorName, ServerName, ServiceName, TeamName, ZoneName};

use crate::{
    ConfigBuilder, ConfigProblem, ConfigProblems, DrainSettings, EngineSettings, LimitSettings,
    LogSettings, ModelSettings, ObjectiveSettings, OperatorSettings, PlacementSettings,
    PlatformSettings, ServiceServerSettings, ServiceSettings, SettingValue, TeamSettings,
    TimeoutSettings, VmSettings, ZoneSettings, section_values::SectionValues,
};

/// Validated settings of one VM. Only a [`ConfigBuilder`] can build it, so every value is in range
/// and every referenced name is declared.
#[derive(Debug, Clone, PartialEq)]
#[non_exhaustive]
pub struct Config {
    /// This VM.
    pub vm: VmSettings,
    /// Availability zones.
    pub zones: BTreeMap<ZoneName, ZoneSettings>,
    /// Addresses of other entry VMs, besides the platform's VM list.
    pub peers: Vec<SocketAddr>,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Teams.
    pub teams: BTreeMap<TeamName, TeamSettings>,
    /// Operators.
    pub operators: BTreeMap<OperatorName, OperatorSettings>,
    /// Models.
    pub models: BTreeMap<ModelName, ModelSettings>,
    /// Engines.
    pub engines: BTreeMap<ServerName, EngineSettings>,
    /// Plain services.
    pub services: BTreeMap<ServiceName, ServiceSettings>,
    /// Servers of plain services.
    pub service_servers: BTreeMap<ServerName, ServiceServerSettings>,
    /// Choice of backend servers.
    pub placement: PlacementSettings,
    /// Limits on requests and streams.
    pub limits: LimitSettings,
    /// Periods and timeouts.
    pub timeouts: TimeoutSettings,
    /// Planned shutdown.
    pub drain: DrainSettings,
    /// Log output.
    pub log: LogSettings,
    /// Service-level objectives by name.
    pub objectives: BTreeMap<String, ObjectiveSettings>,
    sections: Vec<SectionValues>,
}

impl Config {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns all problems of the file; a file that can't be read is reported as one problem.
    pub fn load(path: &std::path::Path) -> Result<Config, ConfigProblems> {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => ConfigBuilder::new().file(&file, &text).build(),
            Err(error) => {
                let mut problems = ConfigProblems::default();
                problems.push(ConfigProblem {
                    file,
                    section: String::new(),
                    key: String::new(),
                    found: format!("a file that can't be read ({error})"),
                    allowed: "a readable UTF-8 text file".to_owned(),
                });
                Err(problems)
            }
        }
    }

    pub(crate) fn from_sections(sections: Vec<SectionValues>) -> Option<Config> {
        let single = |name: &str| sections.iter().find(|section| section.spec.name == name);
        Some(Config {
            vm: VmSettings::from_values(single("vm")?)?,
            zones: collect_zones(single("zones")?)?,
            peers: single("peers")?.addresses("addresses")?,
            platform: PlatformSettings::from_values(single("platform")?)?,
            teams: collect(&sections, "team", TeamSettings::from_values)?,
            operators: collect(&sections, "operator", OperatorSettings::from_values)?,
            models: collect(&sections, "model", ModelSettings::from_values)?,
            engines: collect(&sections, "engine", EngineSettings::from_values)?,
            services: collect(&sections, "service", ServiceSettings::from_values)?,
            service_servers: collect(
                &sections,
                "service-server",
                ServiceServerSettings::from_values,
            )?,
            placement: PlacementSettings::from_values(single("placement")?)?,
            limits: LimitSettings::from_values(single("limits")?)?,
            timeouts: TimeoutSettings::from_values(single("timeouts")?)?,
            drain: DrainSettings::from_values(single("drain")?)?,
            log: LogSettings::from_values(single("log")?)?,
            objectives: collect(&sections, "objective", ObjectiveSettings::from_values)?,
            sections,
        })
    }

    /// Formats the settings as INI, with all defaults filled in and credentials masked.
    pub fn render(&self) -> String {
        let mut text = String::new();
        for section in &self.sections {
            if !text.is_empty() {
                text.push('\n');
            }
            text.push_str(&format!("[{}]\n", section.heading()));
            for (key, value) in &section.values {
                text.push_str(format!("{key} = {}", value.to_ini_value()).trim_end());
                text.push('\n');
            }
        }
        text
    }
}

fn collect<K: std::str::FromStr + Ord, V>(
    sections: &[SectionValues],
    name: &str,
    build: fn(&SectionValues) -> Option<V>,
) -> Option<BTreeMap<K, V>> {
    let named = sections.iter().filter(|section| section.spec.name == name);
    named.map(|section| Some((section.label.parse().ok()?, build(section)?))).collect()
}

fn collect_zones(section: &SectionValues) -> Option<BTreeMap<ZoneName, ZoneSettings>> {
    let mut zones = BTreeMap::new();
    for (zone, value) in &section.values {
        let SettingValue::ZoneSize { ordinal_count, region } = value else { return None };
        let settings = ZoneSettings { ordinal_count: *ordinal_count, region: region.clone() };
        zones.insert(zone.parse().ok()?, settings);
    }
    Some(zones)
}
