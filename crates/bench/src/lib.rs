//! Engine model on virtual time, experiment scenarios and plots.
//!
//! The simulation drives the request scheduler of `dragonflycart-policy` through the same facade as
//! the daemon. Each of its entry VMs has its own, delayed view of the engines. The assumptions of
//! the model are in `docs/bench.md`.

mod moves_baseline;
mod moves_case;
mod moves_completion;
mod moves_message;
mod moves_outcome;
mod moves_rates;
mod moves_run;
mod moves_scenario;
mod moves_summary;
mod moves_traffic;

pub use crate::moves_baseline::MovesBaseline;
pub use crate::moves_case::MovesCase;
pub use crate::moves_outcome::MovesOutcome;
pub use crate::moves_run::MovesRun;
pub use crate::moves_scenario::MovesScenario;
pub use crate::moves_summary::MovesSummary;
pub use crate::moves_traffic::MovesTraffic;

mod engine_event;
mod engine_model;
mod engine_profile;
mod engine_snapshot;
mod event_queue;
mod new_sequence;
mod route_profile;
mod run_metrics;
mod run_row;
mod scenario_kind;
mod scenario_spec;
mod sim_request;
mod simulation;
mod svg_plot;
mod vm_model;

pub use crate::{
    engine_event::EngineEvent,
    engine_model::EngineModel,
    engine_profile::EngineProfile,
    new_sequence::NewSequence,
    route_profile::RouteProfile,
    run_metrics::{RunMetrics, STALL_THRESHOLD},
    run_row::{RunRow, mean_row, print_table},
    scenario_kind::ScenarioKind,
    scenario_spec::{FaultKind, ScenarioSpec},
    sim_request::SimRequest,
    simulation::Simulation,
    svg_plot::plot_metric,
};
