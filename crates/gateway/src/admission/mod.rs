//! Admission of requests to engines: the state of the VM and the wake-up of waiting requests. The
//! decisions are in `dragonflycart-admission`.

mod engine_admission;
mod queue_entry;

pub(crate) use self::queue_entry::QueueEntry;
pub use engine_admission::EngineAdmission;
