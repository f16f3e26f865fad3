//! Settings of one VM.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use crate::ExposureLimit;

/// Settings that the deployment gives a VM.
#[derive(Debug, Clone, PartialEq)]
pub struct VmSettings {
    /// Name of the VM.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address of the VM.
    pub ip: IpAddr,
    /// Address at which callers connect.
    pub caller_address: SocketAddr,
    /// Address at which the balancer asks whether the VM takes connections.
    pub ready_address: SocketAddr,
    /// First of the ports for traffic between VMs.
    pub peer_port: u16,
    /// Bytes of memory that the process may use.
    pub memory_bytes: usize,
    /// Time between SIGTERM and SIGKILL.
    pub stop_grace: Duration,
    /// Repeats allowed per request, over all VMs.
    pub retry_ratio: f64,
    /// Repeats allowed in a window beyond the ratio, over all VMs.
    pub retry_allowance: f64,
    /// What a version may get before it is known to be good.
    pub exposure: ExposureLimit,
    /// Length of the window of the retry budget.
    pub retry_window: Duration,
}
