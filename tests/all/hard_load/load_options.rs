//! Size of a fleet.

use std::net::SocketAddr;

/// Size of a fleet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LoadOptions {
    /// Number of gateways.
    pub(crate) gateways: usize,
    /// Number of engines.
    pub(crate) engines: usize,
    /// Number of runners of service `desk`.
    pub(crate) desks: usize,
    /// Slots of each of them.
    pub(crate) desk_slots: u32,
    /// Their pace, in percent of the usual time.
    pub(crate) desk_pace: u32,
    /// Address of the platform's duty calls, if the gateways make them.
    pub(crate) cloud: Option<SocketAddr>,
}

impl Default for LoadOptions {
    fn default() -> LoadOptions {
        LoadOptions {
            gateways: 2,
            engines: 3,
            desks: 3,
            desk_slots: 6,
            desk_pace: 200,
            cloud: None,
        }
    }
}
