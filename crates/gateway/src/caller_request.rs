//! Validated caller request with its buffered body.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use bytes::Bytes;
use dragonflycart_admission::AdmissionClass;
use dragonflycart_core::PromptPart;
use hyper::{HeaderMap, Method};
use tokio::time::Instant;

use crate::{
    BodyReservation, CallerCredential, HeaderNames, PlacementQuery, PlannedRoute, ServerKey,
    TokenDemand,
};

/// Largest value of the urgency header, which is the least urgent.
const URGENCY_LIMIT: u8 = 9;
/// Urgency of a generation that resumes on another engine.
const RESUMED_URGENCY: u8 = 1;
/// Urgency of a new generation on a route of the highest priority.
const NEW_URGENCY: u8 = 4;
/// Difference in rank between two team priorities. It makes the team's priority take precedence
/// over the route's.
const TEAM_STEP: u8 = 3;

/// Request with its matching route.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Attempt ID set by the caller.
    pub attempt: String,
    /// Route of the plan that was in effect when the request arrived.
    pub route: PlannedRoute,
    /// Service chosen from those of the route.
    pub service: String,
    /// How the request is admitted to engines.
    pub admission: AdmissionClass,
    /// Team of the caller.
    pub team: Option<String>,
    /// Key to check again before each offer to a server, if the deployment bounds the time for
    /// which a withdrawn key is accepted.
    pub credential: Option<CallerCredential>,
    /// Priority of the team; 0 is the most important.
    pub team_priority: u8,
    /// Method.
    pub method: Method,
    /// Request target: path and query as the caller sent them.
    pub target: String,
    /// Headers that are forwarded unchanged.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Memory reserved for the body.
    pub body_reservation: Arc<BodyReservation>,
    /// Whether the caller sent a body, even an empty one.
    pub has_body: bool,
    /// Time at which the request head was read.
    pub arrived: Instant,
    /// Earlier of the caller's and the route's deadline.
    pub deadline: Instant,
    /// Seed of the random part of the choice of a server.
    pub sample_seed: u64,
    /// Tokens that the request needs in an engine's memory.
    pub demand: TokenDemand,
    /// Parts of the prompt in order, without the last one, which belongs to the request itself or
    /// to its session.
    pub prompt_parts: Vec<PromptPart>,
    /// Contained part of the prompt for whose trial the request was admitted.
    pub trial_part: Option<PromptPart>,
    /// ID of the last event that the caller received, if it resumes a stream.
    pub last_event: Option<u64>,
}

/// Headers of a forwarded request that the gateway sets.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemHeaders<'a> {
    /// ID of the only server that may run the request.
    pub server_id: &'a str,
    /// Location of the generation's memory.
    pub resume_from: Option<&'a str>,
    /// Address of the engine that receives backup copies of the memory.
    pub backup_at: Option<&'a str>,
    /// ID of the last event that was forwarded.
    pub last_event: Option<u64>,
    /// Whether a generation goes back to the server at which it was stopped, which may be leaving.
    pub is_return: bool,
    /// Whether the caller gets or has got the head of the response.
    pub is_begun: bool,
}

impl CallerRequest {
    /// Returns the time until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the rank in the wait queue; lower goes first. The team's priority takes precedence
    /// over the route's.
    pub fn rank(&self) -> u8 {
        self.team_priority.saturating_mul(TEAM_STEP).saturating_add(self.route.priority)
    }

    /// Returns the urgency at the engine. It does not depend on the team: an engine preempts
    /// running generations in favor of more urgent ones, which wastes the prompt tokens already
    /// processed. A resumed generation is more urgent than new ones, because it is the newest on
    /// its engine and would be preempted first.
    fn urgency(&self, is_resumed: bool) -> u8 {
        if is_resumed {
            return RESUMED_URGENCY;
        }
        NEW_URGENCY.saturating_add(self.route.priority).min(URGENCY_LIMIT)
    }

    /// Builds the query for a placement.
    pub fn query<'a>(&'a self, excluded: &'a BTreeSet<ServerKey>) -> PlacementQuery<'a> {
        PlacementQuery {
            service: &self.service,
            demand: self.demand,
            latency_target: self.route.latency_target,
            pause_target: self.route.pause_target,
            shared_prefix: self.prompt_parts.last().copied(),
            preferred_zone: None,
            moved_tokens: 0,
            // Many VMs choose at the same time, above all when an engine has just started.
            spread_seed: self.admission.is_managed().then_some(self.sample_seed),
            sample_seed: self.sample_seed,
            admission: self.admission,
            excluded,
        }
    }

    /// Encodes the request head for a server.
    pub fn encode_head(&self, names: &HeaderNames, fields: SystemHeaders<'_>) -> Vec<u8> {
        let mut head = Vec::with_capacity(512);
        head.extend_from_slice(self.method.as_str().as_bytes());
        head.push(b' ');
        head.extend_from_slice(self.target.as_bytes());
        head.extend_from_slice(b" HTTP/1.1\r\n");
        for (name, value) in &self.headers {
            if fields.last_event.is_some() && name.as_str() == "last-event-id" {
                continue;
            }
            push_header(&mut head, name.as_str(), value.as_bytes());
        }
        if self.has_body {
            push_header(&mut head, "content-length", self.body.len().to_string().as_bytes());
        }
        let left_ms = self.time_left().as_millis().max(1).to_string();
        push_header(&mut head, names.time_left, left_ms.as_bytes());
        push_header(&mut head, names.expected_server, fields.server_id.as_bytes());
        if let Some(team) = &self.team {
            push_header(&mut head, names.team, team.as_bytes());
        }
        if self.demand.prompt_tokens > 0 {
            let urgency = self.urgency(fields.resume_from.is_some());
            push_header(&mut head, names.urgency, urgency.to_string().as_bytes());
        }
        if let Some(value) = fields.resume_from {
            push_header(&mut head, names.resume_from, value.as_bytes());
        }
        if let Some(value) = fields.backup_at {
            push_header(&mut head, names.backup_at, value.as_bytes());
        }
        if let Some(number) = fields.last_event {
            push_header(&mut head, "last-event-id", number.to_string().as_bytes());
        }
        head.extend_from_slice(b"\r\n");
        head
    }
}

fn push_header(head: &mut Vec<u8>, name: &str, value: &[u8]) {
    head.extend_from_slice(name.as_bytes());
    head.extend_from_slice(b": ");
    head.extend_from_slice(value);
    head.extend_from_slice(b"\r\n");
}
