//! Change of what a VM believes of a server.

use crate::HeaderFault;

/// Change of what a VM believes of a server, for the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CapacityChange {
    /// The server's load header can't be used; it is judged by its results alone.
    HeaderUnusable {
        /// Why.
        fault: HeaderFault,
    },
    /// The server's load header can be used again.
    HeaderUsable,
    /// The learned speed changed notably.
    SpeedChanged {
        /// Speed that was reported before.
        old: f64,
        /// Speed relative to the median of the service.
        new: f64,
    },
}
