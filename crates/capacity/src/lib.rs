//! Learned capacity of servers.
//!
//! Servers of one service may differ in speed, and a server may be slow for a while. A
//! [`CapacityTable`] holds what a VM knows of the servers of one service: the pace that a server
//! reports itself in its [`LoadHeader`], which is followed at once and expires quickly, and the speed
//! that is learned from results, which changes slowly and is shared with the other VMs.
//!
//! A result is compared with the usual result of the service at the same number of requests. The
//! learned speed is relative to the median of the service, so that no server is avoided while all
//! are slow together.
//!
//! Nothing here does I/O or reads a clock. The owner of a table tells it what was observed.

mod capacity_change;
mod capacity_counts;
mod capacity_table;
mod header_fault;
mod header_watch;
mod load_header;
mod outlook_cursor;
mod pause_sample;
mod pause_window;
mod peer_sample;
mod running_load;
mod sample_ring;
mod server_estimate;
mod server_outlook;
mod speed_estimate;
mod time_model;

pub use crate::{
    capacity_change::CapacityChange, capacity_counts::CapacityCounts,
    capacity_table::CapacityTable, header_fault::HeaderFault, load_header::LoadHeader,
    outlook_cursor::OutlookCursor, pause_sample::PauseSample, pause_window::PauseWindow,
    peer_sample::PeerSample, running_load::RunningLoad, server_outlook::ServerOutlook,
};
