//! Streams that may run again at another server after their server's response was lost.

mod repeat_denial;
mod repeat_time;
mod run_loss;
mod stream_runs;

pub(crate) use self::run_loss::settle_loss;
pub use self::{repeat_denial::RepeatDenial, repeat_time::RepeatTime, stream_runs::StreamRuns};
