//! Priority classes of teams.

use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Priority class, most urgent first.
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
pub enum PriorityClass {
    /// Preempted last.
    High,
    /// The default.
    Normal,
    /// Preempted first.
    Low,
}
