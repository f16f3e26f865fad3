//! Decisions as pure values: placement, admission, fairness, limits, retries, version moves.

mod move_alarm;
mod move_comparison;
mod move_control;
mod move_counts;
mod move_decision;
mod move_epochs;
mod move_evidence;
mod move_evaluator;
mod move_measure;
mod move_pace;
mod move_proof;
mod move_reason;
mod move_settings;
mod move_shares;
mod move_side;
mod move_stratum;
mod move_test;
mod order_action;
mod order_answer;
mod order_command;
mod issuer_election;
mod readiness_gate;
mod model_load_limiter;
mod order_planner;
mod order_report;
mod order_target;
mod server_order_inputs;

pub use crate::move_alarm::MoveAlarm;
pub use crate::move_comparison::MoveComparison;
pub use crate::move_control::MoveControl;
pub use crate::move_counts::MoveCounts;
pub use crate::move_decision::MoveDecision;
pub use crate::move_epochs::MoveEpochs;
pub use crate::move_evaluator::MoveEvaluator;
pub use crate::move_evidence::MoveEvidence;
pub use crate::move_measure::MoveMeasure;
pub use crate::move_pace::MovePace;
pub use crate::move_proof::MoveProof;
pub use crate::move_reason::MoveReason;
pub use crate::move_settings::MoveSettings;
pub use crate::move_shares::MoveShares;
pub use crate::move_side::MoveSide;
pub use crate::move_stratum::MoveStratum;
pub use crate::move_test::MoveTest;
pub use dragonflycart_core::MoveState;
mod admission_control;
mod arena_keys;
mod attempt_failure;
mod cold_signal;
mod cold_slots;
mod fair_queue;
mod forecast_policy;
mod least_load_policy;
mod least_memory_policy;
mod least_outstanding_policy;
mod length_estimator;
mod memory_forecast;
mod name_index;
mod placement_candidate;
mod placement_decision;
mod request_scheduler;
mod placement_policy;
mod policy_settings;
mod prefix_view;
mod priority_class;
mod request_entry;
mod request_placer;
mod request_size;
mod retry_budget;
mod retry_subset;
mod round_robin_policy;
mod server_report;
mod server_spec;
mod server_state;
mod server_table;
mod server_pool;
mod placement_request;
mod zone_limits;

pub use crate::issuer_election::IssuerElection;
pub use crate::model_load_limiter::ModelLoadLimiter;
pub use crate::order_action::{ModelVersion, OrderAction};
pub use crate::order_answer::OrderAnswer;
pub use crate::order_command::OrderCommand;
pub use crate::order_planner::OrderPlanner;
pub use crate::order_report::OrderReport;
pub use crate::order_target::OrderTarget;
pub use crate::readiness_gate::ReadinessGate;
pub use crate::server_order_inputs::ServerOrderInputs;
pub use crate::{
    admission_control::AdmissionControl,
    arena_keys::{PoolKey, RequestTicket, RouteKey, ServerKey, TeamKey, ZoneKey},
    attempt_failure::AttemptFailure,
    cold_signal::ColdSignal,
    cold_slots::ColdSlots,
    fair_queue::{FairQueue, QueuedRequest},
    length_estimator::LengthEstimator,
    memory_forecast::MemoryForecast,
    placement_candidate::PlacementCandidate,
    placement_decision::PlacementDecision,
    placement_policy::{PlacementPolicy, PolicyRegistration, find_policy, policy_names},
    placement_request::{PlacementRequest, PromptPrefix, TokenProgress},
    policy_settings::{PolicySettings, UnknownPolicy, VmPosition},
    prefix_view::PrefixView,
    priority_class::PriorityClass,
    request_scheduler::RequestScheduler,
    retry_budget::RetryBudget,
    retry_subset::RetrySubset,
    server_pool::ServerPool,
    server_report::ServerReport,
    server_spec::ServerSpec,
    server_state::ServerState,
    server_table::ServerTable,
    zone_limits::ZoneLimits,
};
