//! Request of a caller, checked and read whole.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::{HeaderMap, Method};
use tokio::time::Instant;

use crate::{BodyReservation, HeaderNames, PlacementQuery, PlannedRoute, ServerKey, TokenDemand};

/// Highest value of the urgency header.
const URGENCY_LIMIT: u8 = 9;
/// Urgency of a generation that goes on at another engine.
const RESUMED_URGENCY: u8 = 1;
/// Urgency of a new generation on a route of the highest rank.
const NEW_URGENCY: u8 = 4;
/// Steps between two team ranks, so that a team's rank goes before a route's.
const TEAM_STEP: u8 = 3;

/// Request with the route that it matched.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Identity of the caller's attempt.
    pub attempt: String,
    /// Route in the plan that was in force when the request came.
    pub route: PlannedRoute,
    /// Service chosen among the route's.
    pub service: String,
    /// Team of the caller.
    pub team: Option<String>,
    /// Rank of the team.
    pub team_priority: u8,
    /// Method.
    pub method: Method,
    /// Path and query as the caller sent them.
    pub target: String,
    /// Headers that are passed on unchanged.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Memory that the body takes.
    pub body_reservation: Arc<BodyReservation>,
    /// Whether the caller sent a body, even an empty one.
    pub has_body: bool,
    /// Time at which the head was read.
    pub arrived: Instant,
    /// Time at which the caller or the route gives up.
    pub deadline: Instant,
    /// Memory that the request needs at an engine.
    pub demand: TokenDemand,
    /// Last shared part of the prompt.
    pub shared_prefix: Option<u64>,
    /// Number of the last event that the caller has, if it asks to go on.
    pub last_event: Option<u64>,
}

/// Fields of a request's head that concern the system itself.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemHeaders<'a> {
    /// Server that alone may run the request.
    pub server_id: &'a str,
    /// Where the generation's memory lies.
    pub resume_from: Option<&'a str>,
    /// Engine that receives copies of the memory.
    pub backup_at: Option<&'a str>,
    /// Number of the last event that was passed on.
    pub last_event: Option<u64>,
}

impl CallerRequest {
    /// Returns the time that is left.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the rank in the line of waiting requests: the rank of the team goes before that of
    /// the route.
    pub fn rank(&self) -> u8 {
        self.team_priority.saturating_mul(TEAM_STEP).saturating_add(self.route.priority)
    }

    /// Returns the urgency at the engine. It does not depend on the team: an engine would stop
    /// running generations for more urgent ones, and callers have nothing of what was read of
    /// them. A generation that goes on elsewhere is the newest there and would be stopped first.
    fn urgency(&self, is_resumed: bool) -> u8 {
        if is_resumed {
            return RESUMED_URGENCY;
        }
        NEW_URGENCY.saturating_add(self.route.priority).min(URGENCY_LIMIT)
    }

    /// Builds the question for a placement.
    pub fn query<'a>(&'a self, excluded: &'a BTreeSet<ServerKey>) -> PlacementQuery<'a> {
        PlacementQuery {
            service: &self.service,
            demand: self.demand,
            shared_prefix: self.shared_prefix,
            preferred_zone: None,
            moved_tokens: 0,
            spread_seed: None,
            excluded,
        }
    }

    /// Encodes the head for a server.
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
