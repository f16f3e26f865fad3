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
pub(crate) struct GenerationAsk {
    /// Team of the caller.
    pub(crate) team: TeamName,
    /// Kind of request.
    pub(crate) route: RouteName,
    /// Model.
    pub(crate) model: ModelName,
    /// Key that fixes the choice of the version for retries of the same request.
    pub(crate) key: RequestKey,
    /// Estimated prompt length in tokens.
    pub(crate) prompt_tokens: u32,
    /// Most tokens to generate.
    pub(crate) max_tokens: u32,
    /// Time after which the result is of no use.
    pub(crate) deadline: MonoTime,
}

impl GenerationAsk {
    /// Builds the request for a generation.
    pub(crate) fn of(spec: &GenerationSpec) -> GenerationAsk {
        GenerationAsk {
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
pub(crate) struct ServiceAsk {
    /// Team of the caller.
    pub(crate) team: TeamName,
    /// Service.
    pub(crate) service: ServiceName,
    /// Operation of the service.
    pub(crate) operation: RouteName,
    /// Whether the call may be sent more than once.
    pub(crate) idempotent: bool,
    /// Time after which the call must not be sent any more.
    pub(crate) deadline: MonoTime,
}

/// How one attempt on a backend server went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptReport {
    /// The request ended with a whole answer.
    Finished {
        /// Tokens of the whole output.
        tokens: u32,
        /// Time from the dispatch to the first token of this attempt.
        first_token: Option<Duration>,
        /// Mean time between tokens of this attempt.
        token_gap: Option<Duration>,
    },
    /// The attempt failed.
    Failed {
        /// How it failed.
        failure: AttemptFailure,
        /// Whether the model version is to blame.
        by_version: bool,
    },
    /// The caller no longer wants the request.
    Cancelled,
}

/// Result of asking a backend server for its load report.
#[derive(Debug)]
pub(crate) struct ServerReading {
    /// Backend server.
    pub(crate) server: ServerName,
    /// Time at which the report was asked for.
    pub(crate) asked_at: MonoTime,
    /// Report, or `None` if the server did not answer.
    pub(crate) report: Option<LoadReport>,
}

/// Message to the control thread.
#[derive(Debug)]
pub(crate) enum ControlMessage {
    /// Place a generation.
    PlaceGeneration(GenerationAsk, oneshot::Sender<Result<PlacedGeneration, ServiceError>>),
    /// Place a call to a plain service.
    PlaceCall(ServiceAsk, oneshot::Sender<PlacementTicket>),
    /// Tokens arrived.
    Progress(TokenProgress),
    /// An attempt ended.
    Attempt(RequestTicket, AttemptReport),
    /// A backend server was asked for its load.
    Reading(ServerReading),
    /// A connection showed another run of a server's process than the last report.
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
    /// A call that is not idempotent needs the ledger.
    Call(CallMessage),
    /// A deferred generation needs the log.
    Job(JobMessage),
    /// An operator asks or orders something.
    Admin(AdminMessage),
    /// Service-level events.
    Burn(Vec<SliEvent>),
    /// The VM stops taking new work.
    Drain,
    /// Asks whether nothing is left to do before the process may end.
    IsIdle(oneshot::Sender<bool>),
    /// End the thread.
    Stop,
}

/// Error for an answer that the control thread can't give because it has ended.
pub(crate) fn control_gone() -> ServiceError {
    ServiceError::new(ErrorKind::Draining, "the daemon is stopping")
}
