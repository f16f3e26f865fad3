//! Choice of a version during a version move.

use serde::{Deserialize, Serialize};

/// Version move of the request's service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleChoice {
    /// Phase of the version move.
    pub phase: String,
    /// Version among whose servers the VM chose last: `old` or `new`.
    pub role: String,
}
