//! Administration API: plans, zones, status, version moves and service-level counts.

mod admin_api;
mod admin_message;

pub(crate) use self::{
    admin_api::AdminApi,
    admin_message::{AdminMessage, SubmitReply, ZoneChange},
};
