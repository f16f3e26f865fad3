//! Plain call that waits for a slot.

use std::collections::BTreeSet;

use dragonflycart_core::MonoTime;

use super::CallTimes;
use crate::ServerKey;

/// Plain call that waits for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingCall {
    /// Rank; lower goes first.
    pub rank: u8,
    /// Time of arrival at this VM.
    pub arrived: MonoTime,
    /// Times that bound the wait.
    pub times: CallTimes,
    /// Whether a slot counts as free only if the server has lately told its load. Several servers
    /// have refused the call, so the others are probably full, too.
    pub needs_proof: bool,
    /// Servers that must not get the call.
    pub excluded: BTreeSet<ServerKey>,
    /// Seed of the random part of the choice of a server.
    pub sample_seed: u64,
}
