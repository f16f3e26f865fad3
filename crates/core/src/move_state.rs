//! State of a version move. States form a lattice, so that VMs that decide differently converge.

use strum::{Display, EnumString, IntoStaticStr};

/// State of a version move. The state never decreases and is merged by maximum: a rollback wins
/// over a completion, whichever arrives first.
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
    /// The move is planned or in progress.
    #[default]
    Running,
    /// The new version serves all traffic; it is still watched while the old version is loaded.
    Done,
    /// The old version serves all traffic.
    RolledBack,
}

impl MoveState {
    /// Returns the higher of two states.
    #[must_use]
    pub fn merge(self, other: MoveState) -> MoveState {
        self.max(other)
    }

    /// Returns the number used in messages between VMs.
    pub fn number(self) -> u32 {
        self as u32
    }

    /// Returns the state for the number of a message. An unknown number, from a newer
    /// protocol, counts as a rollback, the state in which no unproven version gets traffic.
    pub fn from_number(number: u32) -> MoveState {
        match number {
            0 => MoveState::Running,
            1 => MoveState::Done,
            _ => MoveState::RolledBack,
        }
    }
}
