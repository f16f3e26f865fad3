//! Types shared by all packages: names, identifiers, time, error kinds and the plan model.
//!
//! This package does no I/O and reads no clock, so that every decision built on it can be
//! replayed in a test from its inputs alone.

mod error_kind;
mod generation_id;
mod identity;
mod mono_time;
mod move_state;
mod name;
mod plan;
mod prompt_part;
mod rendezvous;
mod run_state;
mod service_error;
mod wall_time;

pub use crate::{
    error_kind::ErrorKind,
    generation_id::{GenerationId, GenerationIdError},
    identity::{Incarnation, LogOffset, OrderFence, PlanRevision, ServerInstance, VmOrdinal},
    mono_time::MonoTime,
    move_state::MoveState,
    name::{
        ModelName, NameError, OperatorName, RequestKey, RouteName, ServerName, ServiceName,
        TeamName, VersionName, ZoneName,
    },
    plan::{ModelPlacement, MoveId, OperatingPlan, VersionMove, ZonePlan, ZoneState},
    prompt_part::PromptPart,
    rendezvous::{RendezvousScore, rendezvous_score},
    run_state::RunState,
    service_error::ServiceError,
    wall_time::WallTime,
};
