//! Time for another run of a stream.

use std::time::Duration;

/// Time for another run of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RepeatTime {
    /// Time until the request's deadline or, if earlier, the end of a planned stop.
    pub left: Duration,
    /// Expected time from the arrival of a request of the service to its first event, if known.
    pub first_event: Option<Duration>,
}
