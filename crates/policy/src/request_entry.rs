//! Request that waits or runs.

use dragonflycart_core::MonoTime;

use crate::{
    PoolKey, PriorityClass, PromptPrefix, QueuedRequest, RequestTicket, RouteKey, ServerKey,
    TeamKey,
};

/// Request that waits or runs.
#[derive(Debug, Clone)]
pub(crate) struct RequestEntry {
    pub(crate) ticket: RequestTicket,
    pub(crate) pool: PoolKey,
    pub(crate) team: TeamKey,
    pub(crate) route: RouteKey,
    pub(crate) class: PriorityClass,
    pub(crate) prompt: u32,
    pub(crate) max_tokens: u32,
    pub(crate) tokens: u32,
    pub(crate) deadline: Option<MonoTime>,
    pub(crate) idempotent: bool,
    pub(crate) prefix: Option<PromptPrefix>,
    pub(crate) submitted: MonoTime,
    /// Forecast of the tokens that are still to be generated, made when the request was queued.
    pub(crate) remaining: u32,
    /// Low estimate of the output length, to find requests that can't meet their deadline.
    pub(crate) short_length: u32,
    /// Cost that fair queueing charged, in tokens.
    pub(crate) charged: u32,
    pub(crate) server: Option<ServerKey>,
    /// Servers on which an attempt failed.
    pub(crate) failed_on: Vec<ServerKey>,
    /// Time of the last failure.
    pub(crate) failed_at: MonoTime,
    /// Those of them that may have run it.
    pub(crate) lost_on: Vec<ServerKey>,
    /// Number of server failures while the request ran on them.
    pub(crate) server_failures: u32,
    /// Whether the next attempt is a retry, which is limited to the retry subset.
    pub(crate) retry: bool,
}

impl RequestEntry {
    /// Returns the request as fair queueing sees it.
    pub(crate) fn queued(&self) -> QueuedRequest {
        QueuedRequest {
            ticket: self.ticket,
            team: self.team,
            class: self.class,
            cost: self.charged,
            deadline: self.deadline,
        }
    }
}
