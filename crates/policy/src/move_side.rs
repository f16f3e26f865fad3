//! The two versions that a move compares.

/// Version of a move, by its role.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MoveSide {
    /// The version that serves the traffic before the move.
    Old,
    /// The version that the traffic moves to.
    New,
}
