//! Messages to the control thread from the administration API.

use dragonflycart_burn::BurnSnapshot;
use dragonflycart_core::{OperatorName, ServiceError, ZoneName};
use dragonflycart_operator::api::{
    MovesResponse, PlanResponse, StatusResponse, SubmitId, SubmitRequest, SubmitResponse,
    ZoneRequest,
};
use tokio::sync::oneshot;

/// An operator's request to change the state of an availability zone.
#[derive(Debug)]
pub(crate) struct ZoneChange {
    /// Operator who made the request.
    pub(crate) author: OperatorName,
    /// Availability zone.
    pub(crate) zone: ZoneName,
    /// Requested state.
    pub(crate) request: ZoneRequest,
}

/// Channel for the response to a submission.
pub(crate) type SubmitReply = oneshot::Sender<Result<SubmitResponse, ServiceError>>;

/// Request of an operator.
#[derive(Debug)]
pub(crate) enum AdminMessage {
    /// Show the plan in effect.
    Plan(oneshot::Sender<PlanResponse>),
    /// Propose a plan.
    Submit(OperatorName, SubmitRequest, SubmitReply),
    /// Show the outcome of a submission.
    Submission(SubmitId, oneshot::Sender<SubmitResponse>),
    /// Change the state of a zone.
    Zone(ZoneChange, SubmitReply),
    /// Show the state of this VM and what it knows of the others.
    Status(oneshot::Sender<StatusResponse>),
    /// Show the version moves.
    Moves(oneshot::Sender<MovesResponse>),
    /// Show the service-level counts.
    Burn(oneshot::Sender<BurnSnapshot>),
}
