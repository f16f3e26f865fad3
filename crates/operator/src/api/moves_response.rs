//! Body of the response to `GET /admin/v1/moves`.

use serde::{Deserialize, Serialize};

use crate::api::MoveStatus;

/// Version moves of the active plan, and moves that ended since the VM started.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MovesResponse {
    /// Moves, ordered by id.
    pub moves: Vec<MoveStatus>,
}
