//! Identifier of a claim, and the encoding of 128-bit identifiers.

use std::fmt;

use bytes::Bytes;
use dragonflycart_core::Incarnation;

/// Identifier of a claim, unique over all VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ClaimId(pub u128);

impl ClaimId {
    /// Decodes the 16 bytes of a record. Other lengths give zero, which no VM generates.
    pub fn from_wire(bytes: &Bytes) -> ClaimId {
        ClaimId(read_u128(bytes))
    }

    /// Encodes the identifier as the 16 bytes of a record.
    pub fn to_wire(self) -> Bytes {
        Bytes::copy_from_slice(&self.0.to_be_bytes())
    }
}

impl fmt::Display for ClaimId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Decodes an incarnation from the 16 bytes of a record or message.
pub fn incarnation_from_wire(bytes: &Bytes) -> Incarnation {
    Incarnation(read_u128(bytes))
}

/// Encodes an incarnation as the 16 bytes of a record or message.
pub fn incarnation_to_wire(incarnation: Incarnation) -> Bytes {
    Bytes::copy_from_slice(&incarnation.0.to_be_bytes())
}

fn read_u128(bytes: &Bytes) -> u128 {
    <[u8; 16]>::try_from(bytes.as_ref()).map_or(0, u128::from_be_bytes)
}
