//! What happens in a call that tells an engine to stop a generation.

use crate::moves::StopAnswer;

/// What happens in a call.
pub(super) enum CallEvent {
    /// The call was not sent, since it was no longer wanted when it had its connection.
    Withdrawn,
    /// The connection was established.
    Connected,
    /// The call ended; `was_connected` tells whether it had a connection.
    Ended { was_connected: bool, is_unclear: bool, answer: Option<StopAnswer> },
}
