//! Explanation of one server.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::{InputAges, ScorePart, ServerExclusion};

/// What a VM knows of a server of the request's service, and how it judges the server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerExplanation {
    /// ID of the server.
    pub id: String,
    /// Address of the server.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Version of its software.
    pub version: String,
    /// Reasons for which it is not a candidate; empty for a candidate.
    pub excluded: Vec<ServerExclusion>,
    /// Score; the candidate with the lowest one is chosen.
    pub score: f64,
    /// Parts of the score, which add up to it. Parts that are zero are left out.
    pub parts: BTreeMap<ScorePart, f64>,
    /// Requests in flight, of all VMs.
    pub requests: u32,
    /// Maximum number of requests that it processes concurrently.
    pub slots: u32,
    /// Engine memory in use, in tokens.
    pub memory_tokens: u64,
    /// Prompt tokens of generations that have not produced an event yet.
    pub pending_prompt_tokens: u64,
    /// Learned speed relative to the median of the service, if placement uses it.
    pub speed: Option<f64>,
    /// Ages of what is known of it.
    pub ages: InputAges,
}
