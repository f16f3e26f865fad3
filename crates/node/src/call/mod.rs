//! Calls to plain services.

mod call_message;
mod call_runner;
mod call_spec;

pub(crate) use self::{
    call_message::{CallMessage, ClaimDecision, ClaimRequest, WaitingClaim},
    call_runner::CallRunner,
    call_spec::CallSpec,
};
