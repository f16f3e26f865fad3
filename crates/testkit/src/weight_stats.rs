//! What a test can ask the fake weight store afterwards.

use dragonflycart_core::{ModelName, VersionName};
use serde::{Deserialize, Serialize};

/// Record of the fake weight store since its start. Answer to `GET /control/stats`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightStats {
    /// Loads that began, in order.
    pub begun: Vec<(ModelName, VersionName)>,
    /// Requests rejected by the rate limit.
    pub rate_limited: u64,
}
