//! Limits on what callers may send.

use std::time::Duration;

/// Limits on requests and on idle connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest header section, in bytes.
    pub header_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest time that a header section may take to arrive.
    pub header_timeout: Duration,
    /// Time for which a connection may stay idle.
    pub idle_timeout: Duration,
}
