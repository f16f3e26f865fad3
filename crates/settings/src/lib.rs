//! Settings of the daemon: an INI file that is validated as a whole, with all problems reported at
//! once.
//!
//! An operator edits the file away from the VM that reads it. If the daemon stopped at the first
//! problem, each problem would cost another round of editing, copying and starting.

mod config;
mod config_builder;
mod config_problem;
mod config_problems;
mod drain_settings;
mod engine_settings;
mod key_spec;
mod limit_settings;
mod log_level;
mod log_settings;
mod model_settings;
mod objective_kind;
mod objective_settings;
mod operator_settings;
mod placement_settings;
mod platform_settings;
mod priority_class;
mod raw_section;
mod cross_section_checker;
mod schema;
mod secret_text;
mod section_checker;
mod section_form;
mod section_spec;
mod section_values;
mod service_server_settings;
mod service_settings;
mod setting_value;
mod settings_command;
mod team_settings;
mod timeout_settings;
mod units;
mod value_kind;
mod vm_settings;
mod zone_settings;

pub use crate::{
    config::Config,
    config_builder::ConfigBuilder,
    config_problem::ConfigProblem,
    config_problems::ConfigProblems,
    drain_settings::DrainSettings,
    engine_settings::EngineSettings,
    key_spec::KeySpec,
    limit_settings::LimitSettings,
    log_level::LogLevel,
    log_settings::LogSettings,
    model_settings::ModelSettings,
    objective_kind::ObjectiveKind,
    objective_settings::ObjectiveSettings,
    operator_settings::OperatorSettings,
    placement_settings::PlacementSettings,
    platform_settings::PlatformSettings,
    priority_class::PriorityClass,
    schema::SECTION_SPECS,
    secret_text::SecretText,
    section_form::SectionForm,
    section_spec::SectionSpec,
    service_server_settings::ServiceServerSettings,
    service_settings::ServiceSettings,
    setting_value::SettingValue,
    settings_command::{check_settings, show_settings},
    team_settings::TeamSettings,
    timeout_settings::TimeoutSettings,
    units::{format_duration, format_size, parse_duration, parse_size},
    value_kind::ValueKind,
    vm_settings::VmSettings,
    zone_settings::ZoneSettings,
};
