//! Configuration of the fake VM list.

use dragonflycart_interfaces::VmEntry;
use serde::{Deserialize, Serialize};

/// Configuration of the fake VM list. Missing fields take their defaults.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DirectoryConfig {
    /// Milliseconds after which a change of the list becomes visible to readers.
    pub lag_ms: u64,
    /// Initial entries.
    pub entries: Vec<VmEntry>,
}
