//! Limits on what callers may send.

use std::time::Duration;

/// Limits on callers' requests and idle connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of the header section, in bytes.
    pub header_bytes: usize,
    /// Maximum size of the body, in bytes.
    pub body_bytes: usize,
    /// Maximum time for a header section to arrive.
    pub header_timeout: Duration,
    /// Time after which an idle connection may be closed.
    pub idle_timeout: Duration,
}
