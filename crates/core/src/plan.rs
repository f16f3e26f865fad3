//! The plan that operators submit.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

use crate::{ModelName, VersionName, WallTime, ZoneName};

/// Identity of a version move: unique over all plans, chosen by the operator.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MoveId(pub String);

impl fmt::Display for MoveId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Whether an availability zone takes new work.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Display,
    EnumString,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum ZoneState {
    /// The zone takes new work.
    In,
    /// The zone takes no new work; running work finishes.
    Out,
}

/// What the plan says about one availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZonePlan {
    /// Whether the zone takes new work.
    pub state: ZoneState,
    /// Highest load of the zone, in concurrent requests over all its backend servers.
    #[serde(rename = "carry_limit")]
    pub concurrency_limit: u32,
}

/// A model version that is to be served in an availability zone.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ModelPlacement {
    /// Availability zone.
    pub zone: ZoneName,
    /// Model.
    pub model: ModelName,
    /// Version of the model.
    pub version: VersionName,
}

/// Planned move of a model's traffic from one version to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionMove {
    /// Model whose traffic moves.
    pub model: ModelName,
    /// Version that serves the traffic before the move.
    pub from: VersionName,
    /// Version that serves the traffic after the move.
    pub to: VersionName,
    /// Earliest time at which the new version gets traffic.
    pub start: WallTime,
    /// Time by which the move is done or rolled back.
    pub deadline: WallTime,
}

/// Body of a plan. Its revision is assigned by the order of the log.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct OperatingPlan {
    /// Availability zones by name.
    pub zones: BTreeMap<ZoneName, ZonePlan>,
    /// Versions served, in any order.
    pub placements: Vec<ModelPlacement>,
    /// Version moves by identity.
    pub moves: BTreeMap<MoveId, VersionMove>,
}

impl OperatingPlan {
    /// Returns whether `zone` takes new work. An unknown zone takes none.
    pub fn zone_is_in(&self, zone: &ZoneName) -> bool {
        self.zones.get(zone).is_some_and(|plan| plan.state == ZoneState::In)
    }
}
