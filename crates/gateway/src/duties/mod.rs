//! Calls to the platform that one VM makes for the fleet.

mod cloud_settings;
mod duty_caller;
mod duty_clock;
mod duty_datagram;
mod duty_decisions;
mod duty_exchange;
mod duty_platform;
mod held_duties;
mod lease_task;
mod scale_task;
mod usage_task;
mod vm_duties;

pub(crate) use self::duty_exchange::DutyExchange;
pub use self::{
    cloud_settings::{CloudSettings, DutyKind},
    duty_caller::DutyCaller,
    duty_platform::{BeforeSend, CloudError, DutyPlatform},
    vm_duties::VmDuties,
};
