//! Pauses between events of a stream.

use std::time::Duration;

/// Summary of some successive pauses between events of one stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PauseSample {
    /// Median pause.
    pub usual: Duration,
    /// Pause that one in eight exceeds. It contains what the engine does between events at times,
    /// such as reading a piece of another prompt.
    pub heavy: Duration,
}
