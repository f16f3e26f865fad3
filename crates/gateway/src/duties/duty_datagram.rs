//! Encoding of a [`DutyMessage`] as a datagram.

use dragonflycart_duties::DutyMessage;
use prost::Message;

/// First byte of a datagram. No other message between VMs begins with it, and it is no valid begin
/// of a report, so builds that don't know the message ignore it.
const MARK: u8 = 7;

/// Encodes a message.
pub(super) fn encode(message: &DutyMessage) -> Vec<u8> {
    let mut bytes = vec![MARK];
    bytes.extend_from_slice(&message.encode_to_vec());
    bytes
}

/// Returns the encoded message of a datagram, or `None` if it is of another kind.
pub(super) fn content(datagram: &[u8]) -> Option<&[u8]> {
    datagram.strip_prefix(&[MARK])
}
