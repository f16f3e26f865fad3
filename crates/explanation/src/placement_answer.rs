//! Answer where a request would go.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{PlacementOutcome, RoleChoice, ServerExplanation};

/// Answer of one VM where a request would go now, and why.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlacementAnswer {
    /// Name of the VM.
    pub vm: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Version of the route plan.
    pub plan_version: u64,
    /// Time since the route plan was last known to be the newest one, if it ever was.
    pub plan_age_ms: Option<u64>,
    /// Name of the route.
    pub route: String,
    /// Service of the request.
    pub service: String,
    /// Services of the route with their weights.
    pub services: BTreeMap<String, u32>,
    /// Team of the caller.
    pub team: Option<String>,
    /// How the request is admitted to engines.
    pub admission: String,
    /// Rank among requests that wait; lower goes first.
    pub rank: u8,
    /// Engine memory that would be reserved for the request, in tokens.
    pub reserved_tokens: u64,
    /// Seed of the random part and of the sample of servers.
    pub seed: u64,
    /// Maximum fraction of an engine's memory in use with the request, for engines.
    pub fill_limit: Option<f64>,
    /// Fraction of the servers of other zones among which the VM chose.
    pub sampled_share: f64,
    /// Version move of the service, if there is one.
    pub version_move: Option<RoleChoice>,
    /// What would happen to the request.
    pub outcome: PlacementOutcome,
    /// Servers of the service: candidates by score, then the others.
    pub servers: Vec<ServerExplanation>,
}
