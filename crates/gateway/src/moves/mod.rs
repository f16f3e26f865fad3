//! Moves of running generations between engines.

mod move_signals;
mod resume_permit;
mod resume_source;
mod source_state;
mod source_stop;
mod stop_request;
mod stopped_source;

pub(crate) use self::{
    move_signals::MoveSignals,
    resume_permit::ResumePermit,
    resume_source::ResumeSource,
    source_state::SourceState,
    source_stop::{SourceStop, release},
    stop_request::StopRequest,
    stopped_source::StoppedSource,
};
