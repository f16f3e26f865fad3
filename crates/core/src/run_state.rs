//! Whether the work of a request was executed.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// Whether the work of a request was executed. Part of every error response.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Display,
    EnumString,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// The work was not executed and will not be.
    NotRun,
    /// The work may have been executed, or may still be.
    MaybeRun,
    /// The work was executed.
    Run,
}
