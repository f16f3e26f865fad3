//! Plain calls that wait at this VM until a server has a free slot.

mod call_dispatcher;
mod call_queue;
mod call_times;
mod slot_placement;
mod slot_survey;
pub(crate) mod slot_wait;
mod waiting_call;

pub(crate) use self::slot_placement::call_query;
pub use self::{
    call_dispatcher::CallDispatcher,
    call_queue::{CallId, CallQueue, ServedCalls, SlotNeed},
    call_times::CallTimes,
    slot_placement::serve as serve_calls,
    slot_survey::SlotSurvey,
    waiting_call::WaitingCall,
};
