//! The control thread, which alone owns the control state.
//!
//! Traffic threads send it messages. It does no I/O, so it handles each message within a few
//! milliseconds: the clients of the platform, of peers and of backend servers run on the traffic
//! threads and send their results to it.

mod append_control;
mod call_control;
mod control_handle;
mod control_loop;
mod control_message;
mod control_setup;
mod control_thread;
mod decoded_batch;
mod job_control;
mod order_control;
mod peer_control;
mod placement_control;
mod placement_ticket;
mod plan_control;
mod status_view;
mod submit_control;
mod version_control;

pub(crate) use self::{
    control_handle::ControlHandle,
    control_loop::ControlContext,
    control_message::{
        AttemptPace, AttemptReport, CallPlacementRequest, ControlMessage,
        GenerationPlacementRequest, LoadPollResult,
    },
    control_setup::{policy_settings, vm_position},
    control_thread::ControlThread,
    placement_control::PlacementControl,
    placement_ticket::{PlacedGeneration, PlacementGrant, PlacementNotice, PlacementTicket},
};
