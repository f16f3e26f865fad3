//! State of a version move.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// State of a version move. Later states win when VMs disagree.
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
    /// Its start has not come yet.
    Planned,
    /// Traffic moves.
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
