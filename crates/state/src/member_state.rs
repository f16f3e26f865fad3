//! Liveness of another entry VM.

use strum::{Display, EnumString, IntoStaticStr};

/// Liveness of an entry VM as seen by another one. No guarantee depends on it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum MemberState {
    /// Heartbeats arrive.
    Alive,
    /// Heartbeats are late.
    Suspect,
    /// Heartbeats have stopped, or a newer incarnation has the same ordinal.
    Gone,
}
