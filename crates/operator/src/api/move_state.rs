//! State of a version move.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// State of a version move. The states are ordered: if VMs disagree, the later state wins.
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
pub enum MoveState {
    /// The move has not started yet.
    Planned,
    /// Traffic is being shifted to the new version.
    Running,
    /// All traffic is on the new version.
    Done,
    /// All traffic is on the old version.
    RolledBack,
}

impl MoveState {
    /// Returns whether the move has ended.
    pub fn is_final(self) -> bool {
        matches!(self, MoveState::Done | MoveState::RolledBack)
    }
}
