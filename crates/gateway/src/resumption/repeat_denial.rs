//! Reasons against another run of a stream.

use strum::IntoStaticStr;

/// Reason why a stream whose server's response was lost does not run again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RepeatDenial {
    /// The route does not allow it.
    NotResumable,
    /// It has run on as many servers as the route allows.
    AttemptsUsed,
    /// The deadline leaves less than the expected time to the first event.
    DeadlineShort,
    /// The retry budget is empty.
    NoRetry,
}
