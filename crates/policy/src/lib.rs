//! Decisions as pure values: placement, admission, fairness, limits, retries, version moves.

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
mod placement_engine;
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
mod work_pool;
mod work_request;
mod zone_limits;

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
    placement_engine::PlacementEngine,
    placement_policy::{PlacementPolicy, PolicyRegistration, find_policy, policy_names},
    policy_settings::{PolicySettings, UnknownPolicy, VmPosition},
    prefix_view::PrefixView,
    priority_class::PriorityClass,
    retry_budget::RetryBudget,
    retry_subset::RetrySubset,
    server_report::ServerReport,
    server_spec::ServerSpec,
    server_state::ServerState,
    server_table::ServerTable,
    work_pool::WorkPool,
    work_request::{PromptPrefix, TokenProgress, WorkRequest},
    zone_limits::ZoneLimits,
};
