//! Roles of the two versions of a move.

/// Role of a version in a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum VersionRole {
    /// The version that serves the traffic before the move.
    Old,
    /// The version that the traffic moves to.
    New,
}
