//! Who is at the other end of a peer connection.

use bytes::Bytes;
use dragonflycart_core::{Incarnation, VmOrdinal, ZoneName};
use dragonflycart_wire::Hello;

/// Version of the protocol between entry VMs. VMs with different versions keep talking as long as
/// they share the major number, since unknown protobuf fields are skipped.
pub(crate) const PROTOCOL_VERSION: u32 = 1;

/// Identity that an entry VM states in its `Hello`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LinkIdentity {
    /// Run of the VM's process.
    pub(crate) incarnation: Incarnation,
    /// Availability zone.
    pub(crate) zone: ZoneName,
    /// Seat in the zone.
    pub(crate) ordinal: VmOrdinal,
    /// Address at which the VM accepts peer connections.
    pub(crate) address: String,
}

impl LinkIdentity {
    /// Builds the `Hello` that states this identity.
    pub(crate) fn hello(&self) -> Hello {
        Hello {
            incarnation: Bytes::copy_from_slice(&self.incarnation.0.to_be_bytes()),
            ordinal: u32::from(self.ordinal.0),
            zone: self.zone.to_string(),
            address: self.address.clone(),
            protocol: PROTOCOL_VERSION,
        }
    }

    /// Reads an identity from a `Hello`; returns `None` if it is malformed.
    pub(crate) fn from_hello(hello: &Hello) -> Option<LinkIdentity> {
        if hello.protocol != PROTOCOL_VERSION {
            return None;
        }
        let incarnation: [u8; 16] = hello.incarnation.as_ref().try_into().ok()?;
        Some(LinkIdentity {
            incarnation: Incarnation(u128::from_be_bytes(incarnation)),
            zone: ZoneName::new(&hello.zone).ok()?,
            ordinal: VmOrdinal(u16::try_from(hello.ordinal).ok()?),
            address: hello.address.clone(),
        })
    }
}
