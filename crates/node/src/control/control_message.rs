//! Messages to the control thread.

use std::time::Duration;

use dragonflycart_burn::SliEvent;
use dragonflycart_core::{
    ErrorKind, ModelName, MonoTime, RequestKey, RouteName, ServerName, ServiceError, ServiceName,
    TeamName,
};
use dragonflycart_engine::LoadReport;
use dragonflycart_interfaces::VmEntry;
use dragonflycart_policy::{AttemptFailure, RequestTicket, TokenProgress};
use tokio::sync::oneshot;

use crate::{
    admin::AdminMessage,
    call::CallMessage,
    control::{PlacedGeneration, PlacementTicket},
    generation::GenerationSpec,
    job::JobMessage,
    log_appender::AppendResult,
    log_tailer::TailEvent,
    order_sender::OrderEnded,
    peer::PeerEvent,
};

/// Request for the placement of a generation.
#[derive(Debug, Clone)]
pub(crate) struct GenerationPlacementRequest {
    /// Team of the caller.
    pub(crate) team: TeamName,
    /// Kind of request.
    pub(crate) route: RouteName,
    /// Model.
    pub(crate) model: ModelName,
    /// Key that determines the model version, so that a retry gets the same one.
    pub(crate) key: RequestKey,
    /// Estimated prompt length in tokens.
    pub(crate) prompt_tokens: u32,
    /// Maximum number of tokens to generate.
    pub(crate) max_tokens: u32,
    /// Time after which the caller no longer needs the result.
    pub(crate) deadline: MonoTime,
}

impl GenerationPlacementRequest {
    /// Creates the request for a generation.
    pub(crate) fn of(spec: &GenerationSpec) -> GenerationPlacementRequest {
        GenerationPlacementRequest {
            team: spec.team.clone(),
            route: spec.route.clone(),
            model: spec.model.clone(),
            key: spec.key.clone(),
            prompt_tokens: spec.prompt_tokens(),
            max_tokens: spec.max_tokens,
            deadline: spec.deadline,
        }
    }
}

/// Request for the placement of a call to a plain service.
#[derive(Debug, Clone)]
pub(crate) struct CallPlacementRequest {
    /// Team of the caller.
    pub(crate) team: TeamName,
    /// Service.
    pub(crate) service: ServiceName,
    /// Operation of the service.
    pub(crate) operation: RouteName,
    /// Whether the call may be sent more than once.
    pub(crate) idempotent: bool,
    /// Time after which the call must not be sent.
    pub(crate) deadline: MonoTime,
}

/// How fast a backend server produced the output of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct AttemptPace {
    /// Time from the dispatch to the first token of this attempt.
    pub(crate) first_token: Option<Duration>,
    /// Mean time between tokens of this attempt.
    pub(crate) token_gap: Option<Duration>,
}

/// Result of an attempt on a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptReport {
    /// The request finished with a complete response.
    Finished {
        /// Number of tokens of the whole output.
        tokens: u32,
        /// Pace of this attempt.
        pace: AttemptPace,
    },
    /// The attempt failed.
    Failed(AttemptFailure),
    /// The request was given up.
    Cancelled(AttemptPace),
}

/// Result of polling a backend server for its load report.
#[derive(Debug)]
pub(crate) struct LoadPollResult {
    /// Backend server.
    pub(crate) server: ServerName,
    /// Time at which the report was requested.
    pub(crate) asked_at: MonoTime,
    /// Report, or `None` if the server did not respond.
    pub(crate) report: Option<LoadReport>,
}

/// Message to the control thread.
#[derive(Debug)]
pub(crate) enum ControlMessage {
    /// Place a generation.
    PlaceGeneration(
        GenerationPlacementRequest,
        oneshot::Sender<Result<PlacedGeneration, ServiceError>>,
    ),
    /// Place a call to a plain service.
    PlaceCall(CallPlacementRequest, oneshot::Sender<PlacementTicket>),
    /// Tokens arrived.
    Progress(TokenProgress),
    /// An attempt ended.
    Attempt(RequestTicket, AttemptReport),
    /// A backend server was polled for its load report.
    LoadPolled(LoadPollResult),
    /// A connection showed that a server has restarted since its last load report.
    InstanceChanged(ServerName),
    /// An order to an engine ended.
    Order(OrderEnded),
    /// A topic of the log was read.
    Tail(TailEvent),
    /// An append to the log ended.
    Append(AppendResult),
    /// A peer sent a message.
    Peer(PeerEvent),
    /// The platform's list of VMs was read.
    VmList(Vec<VmEntry>),
    /// Request concerning a call that is not idempotent.
    Call(CallMessage),
    /// Request concerning a deferred generation.
    Job(JobMessage),
    /// Request of an operator.
    Admin(AdminMessage),
    /// Record events for the service-level objectives.
    Burn(Vec<SliEvent>),
    /// The VM stops accepting new work.
    Drain,
    /// The time limit of a planned stop has passed: nothing more is sent to backend servers. The
    /// reply follows once all waiting requests are rejected.
    StopLimit(oneshot::Sender<()>),
    /// Ask whether all work that must finish before the process exits is done.
    IsIdle(oneshot::Sender<bool>),
    /// End the thread.
    Stop,
}

/// Returns the error for a request that the control thread can't answer because it has ended.
pub(crate) fn control_gone() -> ServiceError {
    ServiceError::new(ErrorKind::Draining, "the daemon is stopping")
}
