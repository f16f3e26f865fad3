//! What service-level objectives count.

use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// What counts as a good event.
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
pub enum ObjectiveKind {
    /// The first token came within the threshold.
    FirstToken,
    /// A token came within the threshold after the one before.
    TokenGap,
    /// The work finished within its deadline.
    WithinDeadline,
    /// The request got an answer that is not a failure of the service.
    Answered,
}
