//! Administration API: plans, zones, status, version moves and service-level counts.

mod admin_front;
mod admin_message;

pub(crate) use self::{
    admin_front::AdminFront,
    admin_message::{AdminMessage, SubmitReply, ZoneChange},
};
