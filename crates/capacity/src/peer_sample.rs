//! What VMs tell each other about a server.

use std::time::Duration;

/// Speed of a server as one VM measured it. Clocks differ between VMs, so the time is sent as an age.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PeerSample {
    /// Number of samples that it rests on.
    pub samples: u32,
    /// Speed relative to what is usual for the service.
    pub speed: f64,
    /// Time since the last sample.
    pub age: Duration,
}
