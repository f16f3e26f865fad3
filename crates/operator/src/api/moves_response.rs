//! Answer of `GET /admin/v1/moves`.

use serde::{Deserialize, Serialize};

use crate::api::MoveStatus;

/// Version moves of the active plan, and those that ended while the VM ran.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MovesResponse {
    /// Moves by identity.
    pub moves: Vec<MoveStatus>,
}
