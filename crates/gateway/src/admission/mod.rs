//! Admission of requests to engines: the state of the VM and the wake-up of waiting requests. The
//! decisions are in `dragonflycart-admission`.

mod demand_reports;
mod engine_admission;
mod engine_tokens;
mod queue_entry;

pub(crate) use self::{engine_tokens::engine_tokens, queue_entry::QueueEntry};
pub use demand_reports::{apply_report, fill_report};
pub use engine_admission::EngineAdmission;
