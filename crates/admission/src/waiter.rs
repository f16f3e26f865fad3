//! Request that waits for an engine.

use dragonflycart_core::MonoTime;

use crate::AdmissionClass;

/// ID of a waiting request. IDs increase in order of arrival.
pub type WaiterId = u64;

/// Request that waits for an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiter {
    /// Service of the request.
    pub service: String,
    /// How it is admitted.
    pub class: AdmissionClass,
    /// Rank; lower goes first.
    pub rank: u8,
    /// Team of the caller; empty if it has none.
    pub team: String,
    /// Engine memory that it needs, in tokens.
    pub tokens: u64,
    /// Time at which the latency target is missed.
    pub late_at: MonoTime,
    /// Time at which half of its maximum wait is over.
    pub aged_at: MonoTime,
}
