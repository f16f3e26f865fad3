//! Addresses of a fake.

use std::net::{Ipv4Addr, SocketAddr};

/// Addresses on which a fake listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenAddresses {
    /// Address of what the fake serves.
    pub service: SocketAddr,
    /// Address of the control endpoint. It is separate, so that it works while the service has
    /// faults.
    pub control: SocketAddr,
}

impl Default for ListenAddresses {
    /// Free ports of the loopback address.
    fn default() -> ListenAddresses {
        let free = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        ListenAddresses { service: free, control: free }
    }
}
