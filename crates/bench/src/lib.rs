//! Engine model on virtual time, experiment scenarios and plots.

mod moves_baseline;
mod moves_case;
mod moves_conclusion;
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
