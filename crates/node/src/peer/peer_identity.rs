//! Identity of an entry VM on peer connections.

use bytes::Bytes;
use dragonflycart_core::{Incarnation, VmOrdinal, ZoneName};
use dragonflycart_wire::Hello;

/// Major version of the protocol between entry VMs. A connection needs the same number at both
/// ends; within one major version, fields can be added, since protobuf skips unknown ones.
pub(crate) const PROTOCOL_VERSION: u32 = 1;

/// Identity that an entry VM states in its `Hello`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PeerIdentity {
    /// Identifies this run of the VM's process.
    pub(crate) incarnation: Incarnation,
    /// Availability zone.
    pub(crate) zone: ZoneName,
    /// Ordinal of the VM in its zone.
    pub(crate) ordinal: VmOrdinal,
    /// Address at which the VM accepts peer connections.
    pub(crate) address: String,
}

impl PeerIdentity {
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

    /// Reads the identity from a `Hello`. Returns `None` if the message is malformed or the
    /// protocol version differs.
    pub(crate) fn from_hello(hello: &Hello) -> Option<PeerIdentity> {
        if hello.protocol != PROTOCOL_VERSION {
            return None;
        }
        let incarnation: [u8; 16] = hello.incarnation.as_ref().try_into().ok()?;
        Some(PeerIdentity {
            incarnation: Incarnation(u128::from_be_bytes(incarnation)),
            zone: ZoneName::new(&hello.zone).ok()?,
            ordinal: VmOrdinal(u16::try_from(hello.ordinal).ok()?),
            address: hello.address.clone(),
        })
    }
}
