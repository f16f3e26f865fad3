//! Use of the learned capacity of servers in placement, and its exchange with the other VMs.

mod capacity_log;
mod placement_cost;
mod speed_exchange;
mod speed_schedule;

pub(crate) use self::{
    capacity_log::report_changes,
    placement_cost::{PlacementCost, UNSUITABLE_COST},
};
pub use self::{
    speed_exchange::{apply_speeds, speed_entries},
    speed_schedule::SpeedSchedule,
};
