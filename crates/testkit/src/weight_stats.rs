//! Statistics of the fake weight store.

use dragonflycart_core::{ModelName, VersionName};
use serde::{Deserialize, Serialize};

/// Statistics of the fake weight store since its start. Body of the response to
/// `GET /control/stats`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightStats {
    /// Models and versions whose load began, in order.
    pub begun: Vec<(ModelName, VersionName)>,
    /// Requests rejected by the rate limit.
    pub rate_limited: u64,
}
