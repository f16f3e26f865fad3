//! State of a version move.

use strum::{Display, EnumString, IntoStaticStr};

/// State of a version move. A later one in this order replaces an earlier one, never the reverse.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum MoveState {
    /// Traffic moves.
    #[default]
    Running,
    /// The new version has all traffic.
    Done,
    /// The old version has all traffic again.
    RolledBack,
}

impl MoveState {
    /// Reads the number of a message. A number of a newer program counts as a rollback, the state
    /// in which the new version gets no traffic.
    pub fn from_wire(number: u32) -> MoveState {
        match number {
            0 => MoveState::Running,
            1 => MoveState::Done,
            _ => MoveState::RolledBack,
        }
    }

    /// Returns the number used in messages.
    pub fn to_wire(self) -> u32 {
        match self {
            MoveState::Running => 0,
            MoveState::Done => 1,
            MoveState::RolledBack => 2,
        }
    }
}
