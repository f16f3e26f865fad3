//! Signals that a backend server is cold.

use strum::{Display, IntoStaticStr};

/// Signal that a backend server is cold. Every signal lowers the limit of the server at once; only
/// a report that was taken after the signal raises it again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ColdSignal {
    /// The instance identity in a report or response header changed.
    InstanceChanged,
    /// A connection was reset or refused.
    ConnectionReset,
    /// The server reported the cold state.
    ReportedCold,
    /// The time to first token was over four times the server's moving average.
    SlowFirstToken,
}
