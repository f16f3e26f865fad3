//! Kinds of service-level indicators.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Service-level indicator: what counts as a good event. The names are those of the settings.
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
    /// The time to the first token was within the threshold.
    FirstToken,
    /// The time since the previous token was within the threshold.
    TokenGap,
    /// The work finished within its deadline.
    WithinDeadline,
    /// The request got a response that is not a failure of the service.
    Answered,
}
