//! Moves of running generations between engines.

mod call_event;
mod copy_timing;
mod move_signals;
mod move_source;
mod open_stops;
mod resume_permit;
mod resume_source;
mod running_move;
mod send_permit;
mod source_state;
mod source_stop;
mod stop_answer;
mod stop_calls;
mod stop_progress;
mod stop_request;
mod stopped_source;

pub use self::open_stops::OpenStops;
use self::{call_event::CallEvent, send_permit::SendPermit};
pub(crate) use self::{
    copy_timing::CopyTiming, move_signals::MoveSignals, move_source::MoveSource,
    resume_permit::ResumePermit, resume_source::ResumeSource, running_move::RunningMove,
    source_state::SourceState, source_stop::SourceStop, stop_answer::StopAnswer,
    stop_calls::StopCalls, stop_progress::StopProgress, stop_request::StopRequest,
    stopped_source::StoppedSource,
};
