//! Bodies of requests and responses of the administration API under `/admin/v1`, shared by the
//! client in this crate and the server in the daemon. docs/admin-api.md describes them.

mod backend_kind;
mod backend_status;
mod error_response;
mod error_body;
mod member_status;
mod move_state;
mod move_status;
mod moves_response;
mod plan_response;
mod route_evidence;
mod status_response;
mod submit_response;
mod submit_id;
mod submit_request;
mod vm_identity;
mod vm_state;
mod zone_request;
mod zone_status;

pub use self::{
    backend_kind::BackendKind, backend_status::BackendStatus, error_body::ErrorBody,
    error_response::ErrorResponse, member_status::MemberStatus, move_state::MoveState,
    move_status::MoveStatus, moves_response::MovesResponse, plan_response::PlanResponse,
    route_evidence::RouteEvidence, status_response::StatusResponse, submit_id::SubmitId,
    submit_request::SubmitRequest, submit_response::SubmitResponse, vm_identity::VmIdentity,
    vm_state::VmState, zone_request::ZoneRequest, zone_status::ZoneStatus,
};

/// Path of the active plan; a plan is submitted with `POST`.
pub const PLAN_PATH: &str = "/admin/v1/plan";
/// Path of the outcomes of submissions; the id of a submission follows.
pub const SUBMISSIONS_PATH: &str = "/admin/v1/submissions";
/// Path of the states of availability zones; the name of a zone follows.
pub const ZONES_PATH: &str = "/admin/v1/zones";
/// Path of the status of a VM.
pub const STATUS_PATH: &str = "/admin/v1/status";
/// Path of the version moves.
pub const MOVES_PATH: &str = "/admin/v1/moves";
/// Path of the counts of service-level objectives.
pub const BURN_PATH: &str = "/admin/v1/burn";
