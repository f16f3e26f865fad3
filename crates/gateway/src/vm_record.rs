//! Registration of a VM in the store.

use prost::Message;

/// Registration from which the other VMs learn a VM's address.
#[derive(Clone, PartialEq, Message)]
pub struct VmRecord {
    /// Address for datagrams, as `ip:port`.
    #[prost(string, tag = "1")]
    pub address: String,
    /// Availability zone.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// Random ID of the process, which changes with each start.
    #[prost(fixed64, tag = "3")]
    pub boot: u64,
}
