//! Messages of operators to the control thread.

use dragonflycart_burn::BurnSnapshot;
use dragonflycart_core::{OperatorName, ServiceError, ZoneName};
use dragonflycart_operator::api::{
    MovesResponse, PlanResponse, StatusResponse, SubmitId, SubmitRequest, SubmitResponse,
    ZoneRequest,
};
use tokio::sync::oneshot;

/// Change of the state of an availability zone.
#[derive(Debug)]
pub(crate) struct ZoneChange {
    /// Operator who asks.
    pub(crate) author: OperatorName,
    /// Availability zone.
    pub(crate) zone: ZoneName,
    /// What is asked for.
    pub(crate) request: ZoneRequest,
}

/// Answer to a submission.
pub(crate) type SubmitReply = oneshot::Sender<Result<SubmitResponse, ServiceError>>;

/// Message of an operator.
#[derive(Debug)]
pub(crate) enum AdminMessage {
    /// Show the plan in effect.
    Plan(oneshot::Sender<PlanResponse>),
    /// Propose a plan.
    Submit(OperatorName, SubmitRequest, SubmitReply),
    /// Tell what became of a submission.
    Submission(SubmitId, oneshot::Sender<SubmitResponse>),
    /// Change the state of a zone.
    Zone(ZoneChange, SubmitReply),
    /// Show what this VM knows.
    Status(oneshot::Sender<StatusResponse>),
    /// Show the version moves.
    Moves(oneshot::Sender<MovesResponse>),
    /// Show the service-level counts.
    Burn(oneshot::Sender<BurnSnapshot>),
}
