//! Progress of a version move.

use dragonflycart_core::{MoveId, VersionMove, WallTime};
use serde::{Deserialize, Serialize};

use crate::api::{MoveState, RouteEvidence};

/// Progress of a version move.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MoveStatus {
    /// Identity.
    pub id: MoveId,
    /// The move as planned.
    #[serde(flatten)]
    pub plan: VersionMove,
    /// State.
    pub state: MoveState,
    /// Share of the model's new requests that go to the new version, from 0 to 1.
    pub share: f64,
    /// Reason of the last change of state.
    #[serde(default)]
    pub reason: Option<String>,
    /// Time at which the move ended.
    #[serde(default)]
    pub ended_at: Option<WallTime>,
    /// Request counts of both versions, per route.
    #[serde(default)]
    pub evidence: Vec<RouteEvidence>,
}
