//! Registration of a VM in the store.

use prost::Message;

/// Where the other VMs reach a VM.
#[derive(Clone, PartialEq, Message)]
pub struct VmRecord {
    /// Address for datagrams, as `ip:port`.
    #[prost(string, tag = "1")]
    pub address: String,
    /// Availability zone.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// Identity of the start of the process.
    #[prost(fixed64, tag = "3")]
    pub boot: u64,
}
