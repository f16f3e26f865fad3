//! Reasons against another run of a stream.

use strum::IntoStaticStr;

/// Reason why a stream whose server's response was lost does not run again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RepeatDenial {
    /// The route does not allow it.
    NotResumable,
    /// The last forwarded event has no ID after which a server could continue.
    Unnumbered,
    /// The request was admitted as the only trial of a contained part of its prompt.
    OnTrial,
    /// It has run on as many servers as the route allows.
    AttemptsUsed,
    /// The deadline or a planned stop leaves less than the expected time to the first event.
    DeadlineShort,
    /// No server had room while the caller waited.
    NoRoom,
    /// The retry budget is empty.
    NoRetry,
    /// The request's key was withdrawn, or a part of its prompt was contained.
    Withheld,
    /// The servers that it was offered to did not take it.
    NotTaken,
    /// A server responded that the request is faulty.
    Rejected,
}
