//! Log output.

use std::path::PathBuf;

use crate::{LogLevel, section_values::SectionValues};

/// Settings of log output.
#[derive(Debug, Clone, PartialEq)]
pub struct LogSettings {
    /// Least severe level that is written.
    pub level: LogLevel,
    /// Output file; standard error if not set.
    pub file: Option<PathBuf>,
}

impl LogSettings {
    pub(crate) fn from_values(values: &SectionValues) -> Option<LogSettings> {
        Some(LogSettings {
            level: values.parsed("level")?,
            file: values.text("file").map(PathBuf::from),
        })
    }
}
