//! Decision logic without I/O: placement, admission, fair queueing, limits, retries, version moves
//! and orders to engines.

mod admission_control;
mod arena_keys;
mod attempt_failure;
mod cold_signal;
mod cold_slots;
mod fair_queue;
mod forecast_policy;
mod issuer_election;
mod least_load_policy;
mod least_memory_policy;
mod least_outstanding_policy;
mod length_estimator;
mod memory_forecast;
mod model_load_limiter;
mod move_acceptance_test;
mod move_alarm;
mod move_control;
mod move_counts;
mod move_decision;
mod move_evaluator;
mod move_evidence;
mod move_metric;
mod move_reason;
mod move_rejection_test;
mod move_settings;
mod move_shares;
mod version_role;
mod move_stratum;
mod move_timeline;
mod name_index;
mod order_action;
mod order_send_result;
mod order_command;
mod order_planner;
mod order_report;
mod order_target;
mod placement_candidate;
mod placement_decision;
mod placement_policy;
mod placement_request;
mod policy_settings;
mod prefix_cache_view;
mod priority_class;
mod readiness_gate;
mod request_entry;
mod request_placer;
mod request_scheduler;
mod request_size;
mod retry_budget;
mod retry_subset;
mod round_robin_policy;
mod route_comparison;
mod server_order_inputs;
mod server_pool;
mod server_report;
mod server_spec;
mod server_state;
mod server_table;
mod share_epochs;
mod zone_limits;

pub use dragonflycart_core::MoveState;

pub use crate::{
    admission_control::AdmissionControl,
    arena_keys::{PoolKey, RequestTicket, RouteKey, ServerKey, TeamKey, ZoneKey},
    attempt_failure::AttemptFailure,
    cold_signal::ColdSignal,
    cold_slots::ColdSlots,
    fair_queue::{FairQueue, QueuedRequest},
    issuer_election::IssuerElection,
    length_estimator::LengthEstimator,
    memory_forecast::MemoryForecast,
    model_load_limiter::ModelLoadLimiter,
    move_acceptance_test::MoveAcceptanceTest,
    move_alarm::MoveAlarm,
    move_control::MoveControl,
    move_counts::MoveCounts,
    move_decision::MoveDecision,
    move_evaluator::MoveEvaluator,
    move_evidence::MoveEvidence,
    move_metric::MoveMetric,
    move_reason::MoveReason,
    move_rejection_test::MoveRejectionTest,
    move_settings::MoveSettings,
    move_shares::MoveShares,
    move_stratum::MoveStratum,
    move_timeline::MoveTimeline,
    order_action::{ModelVersion, OrderAction},
    order_command::OrderCommand,
    order_planner::OrderPlanner,
    order_report::OrderReport,
    order_send_result::OrderSendResult,
    order_target::OrderTarget,
    placement_candidate::PlacementCandidate,
    placement_decision::PlacementDecision,
    placement_policy::{PlacementPolicy, PolicyRegistration, find_policy, policy_names},
    placement_request::{PlacementRequest, PromptPrefix, TokenProgress},
    policy_settings::{PolicySettings, UnknownPolicy, VmPosition},
    prefix_cache_view::PrefixCacheView,
    priority_class::PriorityClass,
    readiness_gate::ReadinessGate,
    request_scheduler::RequestScheduler,
    retry_budget::RetryBudget,
    retry_subset::RetrySubset,
    route_comparison::RouteComparison,
    server_order_inputs::ServerOrderInputs,
    server_pool::ServerPool,
    server_report::ServerReport,
    server_spec::ServerSpec,
    server_state::ServerState,
    server_table::ServerTable,
    share_epochs::ShareEpochs,
    version_role::VersionRole,
    zone_limits::ZoneLimits,
};
