//! Levels of log output.

use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Least severe level that is written.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum LogLevel {
    /// Nothing is written.
    Off,
    /// Errors.
    Error,
    /// Warnings and errors.
    Warn,
    /// The default.
    Info,
    /// Debug output for developers.
    Debug,
    /// Everything.
    Trace,
}
