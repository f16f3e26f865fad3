//! Request that a fake server began to run.

use std::ops::Range;

/// Request that a fake server began to run. The gateway counted it at some time between the
/// server's response and its arrival at the caller.
#[derive(Debug, Clone)]
pub(crate) struct UsageRun {
    pub(crate) team: String,
    /// Index of the gateway.
    pub(crate) gateway: usize,
    /// Unix time in milliseconds before which the gateway can't have counted the request.
    pub(crate) earliest: u64,
    /// Unix time in milliseconds after which it can't have counted it, or `u64::MAX` if there was
    /// no response.
    pub(crate) latest: u64,
}

impl UsageRun {
    /// Returns whether the request must be counted in a time.
    pub(crate) fn is_within(&self, time: &Range<u64>) -> bool {
        time.contains(&self.earliest) && time.contains(&self.latest)
    }

    /// Returns whether the request may be counted in a time.
    pub(crate) fn touches(&self, time: &Range<u64>) -> bool {
        self.earliest < time.end && self.latest >= time.start
    }
}
