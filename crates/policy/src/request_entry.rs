//! Scheduler state of one request.

use dragonflycart_core::MonoTime;

use crate::{
    PoolKey, PriorityClass, PromptPrefix, QueuedRequest, RequestTicket, RouteKey, ServerKey,
    TeamKey,
};

/// Scheduler state of a request that waits or runs.
#[derive(Debug, Clone)]
pub(crate) struct RequestEntry {
    pub(crate) ticket: RequestTicket,
    pub(crate) pool: PoolKey,
    pub(crate) team: TeamKey,
    pub(crate) route: RouteKey,
    pub(crate) class: PriorityClass,
    pub(crate) prompt: u32,
    pub(crate) max_tokens: u32,
    /// Output tokens so far, over all attempts.
    pub(crate) tokens: u32,
    pub(crate) deadline: Option<MonoTime>,
    pub(crate) idempotent: bool,
    pub(crate) prefix: Option<PromptPrefix>,
    pub(crate) submitted: MonoTime,
    /// Estimate of the tokens that are still to be generated, made when the request was queued.
    pub(crate) remaining: u32,
    /// Output length at the quantile `late_quantile`, to find requests that can't meet their
    /// deadline. Zero if the length of the route is not known yet.
    pub(crate) late_check_length: u32,
    /// Cost that the fair queue charged, in tokens.
    pub(crate) charged: u32,
    pub(crate) server: Option<ServerKey>,
    /// Servers on which an attempt failed.
    pub(crate) failed_on: Vec<ServerKey>,
    /// Time of the last failure.
    pub(crate) failed_at: MonoTime,
    /// Servers in `failed_on` that may have run the request.
    pub(crate) may_have_run_on: Vec<ServerKey>,
    /// Number of attempts during which the server failed.
    pub(crate) server_failures: u32,
    /// Whether the next attempt is a retry, which is limited to the retry subset.
    pub(crate) retry: bool,
}

impl RequestEntry {
    /// Returns the entry for the fair queue.
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
