//! Order and admission of requests that wait for engines.
//!
//! Nothing here does I/O or reads a clock. The owner passes the time and what it observed: requests
//! that wait, memory that became free, and engines that left. The decisions differ from first come,
//! first served only for a service with a deferrable route, see [`AdmissionClass`].

mod admission_class;
mod admission_table;
mod fleet_demand;
mod freed_rate;
mod give_way;
mod leave_history;
mod promised_returns;
mod queue_place;
mod service_queue;
mod team_use;
mod wait_estimate;
mod wait_prospect;
mod wait_queue;
mod waiter;

pub use crate::{
    admission_class::AdmissionClass,
    admission_table::AdmissionTable,
    fleet_demand::{FleetDemand, RankDemand, ServiceDemand},
    freed_rate::FreedRate,
    give_way::GiveWay,
    leave_history::LeaveHistory,
    queue_place::QueuePlace,
    team_use::TeamUse,
    wait_estimate::{EstimateInputs, WaitEstimate, maximum_wait},
    wait_prospect::WaitProspect,
    wait_queue::WaitQueue,
    waiter::{Waiter, WaiterId},
};
