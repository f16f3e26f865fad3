//! The commands `settings check` and `settings show`, shared by the binaries.

use std::path::Path;

use crate::{Config, ConfigProblems};

/// Checks a settings file and returns a one-line summary.
///
/// # Errors
///
/// Returns all problems of the file.
pub fn check_settings(path: &Path) -> Result<String, ConfigProblems> {
    let config = Config::load(path)?;
    Ok(format!(
        "{}: no faults; zone {}, seat {}, {} engines, {} service servers, {} teams",
        path.display(),
        config.vm.zone,
        config.vm.ordinal,
        config.engines.len(),
        config.service_servers.len(),
        config.teams.len(),
    ))
}

/// Returns the effective settings as INI, with defaults filled in and credentials masked.
///
/// # Errors
///
/// Returns all problems of the file.
pub fn show_settings(path: &Path) -> Result<String, ConfigProblems> {
    Config::load(path).map(|config| config.render())
}
