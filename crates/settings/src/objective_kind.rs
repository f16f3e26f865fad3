//! Kinds of service-level objectives.

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
    /// The time to the first token was within the threshold.
    FirstToken,
    /// The time since the previous token was within the threshold.
    TokenGap,
    /// The work finished within its deadline.
    WithinDeadline,
    /// The request got a response that is not a failure of the service.
    Answered,
}
