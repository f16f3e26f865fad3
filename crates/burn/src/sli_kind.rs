//! What service-level objectives count.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// What counts as a good event. The names are those of the settings.
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
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum SliKind {
    /// The first token came within the threshold.
    FirstToken,
    /// A token came within the threshold after the one before.
    TokenGap,
    /// The work finished within its deadline.
    WithinDeadline,
    /// The request got an answer that is not a failure of the service.
    Answered,
}
