//! Settings of one VM.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use crate::{CloudSettings, ExposureLimit};

/// Settings of a VM, provided by the deployment.
#[derive(Debug, Clone, PartialEq)]
pub struct VmSettings {
    /// Name of the VM.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// IP address of the VM.
    pub ip: IpAddr,
    /// Listen address for callers.
    pub caller_address: SocketAddr,
    /// Listen address for the load balancer's readiness probe and for metrics.
    pub ready_address: SocketAddr,
    /// First of the ports for traffic between VMs. The gateway uses it for both UDP and TCP.
    pub peer_port: u16,
    /// Memory limit of the process, in bytes.
    pub memory_bytes: usize,
    /// Processor time that the process may use, in cores.
    pub cpu_share: f64,
    /// Time between SIGTERM and SIGKILL.
    pub stop_grace: Duration,
    /// Retries allowed per request, over all VMs.
    pub retry_ratio: f64,
    /// Retries allowed per window in addition to the ratio, over all VMs.
    pub retry_allowance: f64,
    /// Limits on the requests that a new version may get before it is known to be good.
    pub exposure: ExposureLimit,
    /// Time after the withdrawal of an API key from which no VM may accept it, whether the
    /// withdrawal has reached it or not. `None` if the deployment sets none.
    pub revocation_time: Option<Duration>,
    /// Length of the window of the retry budget.
    pub retry_window: Duration,
    /// Calls to the platform that one VM makes for the fleet. `None` if there are none.
    pub cloud: Option<CloudSettings>,
}
