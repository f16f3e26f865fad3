//! Load of the VM itself, and the bounds that follow its size.

pub(crate) mod delay_watch;
mod load_change;
mod refusal_reason;
mod timer_delay;
mod vm_load;
pub(crate) mod waiting_request;

pub(crate) use self::waiting_request::WaitingRequest;
pub use self::{
    load_change::LoadChange, refusal_reason::RefusalReason, timer_delay::TimerDelay,
    vm_load::VmLoad,
};
