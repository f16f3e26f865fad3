//! Configuration of the fake VM list.

use dragonflycart_interfaces::VmEntry;
use serde::{Deserialize, Serialize};

/// Configuration of the fake VM list. Missing fields take their defaults.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DirectoryConfig {
    /// Milliseconds by which the list lags.
    pub lag_ms: u64,
    /// Entries at the start.
    pub entries: Vec<VmEntry>,
}
