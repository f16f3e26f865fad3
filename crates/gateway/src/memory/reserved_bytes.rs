//! Bytes with the memory that is reserved for them.

use bytes::Bytes;
use tokio::sync::OwnedSemaphorePermit;

use crate::MemoryReservation;

/// Owner of bytes that keeps their reservation until the last reference to them is dropped, which is
/// after they were written to the caller.
pub(crate) struct ReservedBytes {
    bytes: Bytes,
    _reservation: Option<MemoryReservation>,
    _window: Option<OwnedSemaphorePermit>,
}

impl ReservedBytes {
    /// Returns the bytes of a body with their reservation.
    pub(crate) fn body(bytes: Bytes, reservation: MemoryReservation) -> Bytes {
        if !reservation.is_shared() {
            return bytes;
        }
        let owner = ReservedBytes { bytes, _reservation: Some(reservation), _window: None };
        Bytes::from_owner(owner)
    }

    /// Returns the bytes of an event with the part of its stream's window that it uses.
    pub(super) fn event(
        bytes: Bytes,
        reservation: Option<MemoryReservation>,
        window: Option<OwnedSemaphorePermit>,
    ) -> Bytes {
        Bytes::from_owner(ReservedBytes { bytes, _reservation: reservation, _window: window })
    }
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
