//! Explanation of the choice of a server.

use dragonflycart_core::ErrorKind;
use dragonflycart_explanation::{RoleChoice, ServerExplanation};

/// Choice of a server for a request, with how each server of the service was judged.
#[derive(Debug, Clone, PartialEq)]
pub struct ChoiceExplanation {
    /// ID of the server that a placement would choose, or why it would choose none.
    pub result: Result<String, ErrorKind>,
    /// Maximum fraction of an engine's memory in use with the request, for engines.
    pub fill_limit: Option<f64>,
    /// Share of the servers in other zones among which was chosen.
    pub sampled_share: f64,
    /// Version move of the service, if there is one.
    pub version_move: Option<RoleChoice>,
    /// Servers of the service: candidates by score, then the others.
    pub servers: Vec<ServerExplanation>,
}
