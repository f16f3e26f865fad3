//! Team of the route plan.

/// Team and its credentials.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedTeam {
    /// Name, which is sent to backend servers.
    pub name: String,
    /// API keys of the team's callers.
    pub keys: Vec<String>,
    /// Priority, which takes precedence over the route's; 0 is the most important.
    pub priority: u8,
}
