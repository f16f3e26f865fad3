//! Streams that may run again at another server after their server's response was lost.

mod event_step;
mod relay_end;
mod repeat_denial;
mod repeat_time;
mod run_loss;
mod stream_join;
mod stream_recovery;
mod stream_repeater;
mod stream_runs;

pub use self::{
    event_step::EventStep, repeat_denial::RepeatDenial, repeat_time::RepeatTime,
    stream_join::StreamJoin, stream_runs::StreamRuns,
};
pub(crate) use self::{
    relay_end::RelayEnd, run_loss::settle_loss, stream_recovery::StreamRecovery,
    stream_repeater::StreamRepeater,
};
