//! Encoding of a [`SuspectReport`] as a datagram.

use bytes::{BufMut, BytesMut};
use dragonflycart_containment::{SuspectRecord, SuspectReport};
use prost::Message;

/// First byte of a datagram with a report. No other message between VMs begins with it, so builds
/// that don't know the report ignore it.
const MARK: u8 = 0;
/// Maximum datagram size, in bytes. It fits the usual MTU.
const DATAGRAM_BYTES: usize = 1_400;

/// Encodes as many of the records as fit into a datagram.
pub(super) fn encode(boot: u64, records: &[SuspectRecord]) -> Vec<u8> {
    let mut report = SuspectReport::new(boot, records);
    while report.encoded_len() + 1 > DATAGRAM_BYTES {
        report.suspects.pop();
    }
    let mut bytes = BytesMut::with_capacity(DATAGRAM_BYTES);
    bytes.put_u8(MARK);
    bytes.put_slice(&report.encode_to_vec());
    bytes.to_vec()
}

/// Returns the encoded report of a datagram, or `None` if it is another message.
pub(super) fn content(datagram: &[u8]) -> Option<&[u8]> {
    datagram.strip_prefix(&[MARK])
}
