//! One team of the route plan.

/// Team with its credentials.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedTeam {
    /// Name that backend servers are told.
    pub name: String,
    /// Keys that callers of the team present.
    pub keys: Vec<String>,
    /// Rank that takes precedence over the route's; 0 is the most important.
    pub priority: u8,
}
