//! Configuration of the fake weight store.

use serde::{Deserialize, Serialize};

/// Configuration of the fake weight store. Missing fields take their defaults.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightConfig {
    /// Maximum number of loads that begin per second.
    pub loads_per_second: f64,
}

impl Default for WeightConfig {
    fn default() -> WeightConfig {
        WeightConfig { loads_per_second: 1.0 }
    }
}
