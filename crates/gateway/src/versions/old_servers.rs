//! Servers of the old version during a version move.

/// State of the servers of the old version of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OldServers {
    /// Some have open requests.
    Busy,
    /// Some take requests, and none has an open one.
    Idle,
    /// None takes requests: they have left.
    Gone,
}
