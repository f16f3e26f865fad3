//! Changes of an engine's prefix cache.

use serde::{Deserialize, Serialize};

/// Length of the prompt prefix that a cache event identifies. Shorter prompts save too little
/// prefill to be worth routing by cache content.
pub const PREFIX_BYTES: usize = 1_024;

/// Offset basis and prime of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Change of an engine's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event since the engine's process started, counted from 1. A skipped number
    /// means that an event was lost.
    pub sequence: u64,
    /// Digest of the prefix, see [`prefix_digest`].
    pub digest: u64,
    /// `true` if the prefix was added to the cache, `false` if it was removed.
    pub inserted: bool,
}

/// Returns the digest of the first [`PREFIX_BYTES`] of `prompt`, or `None` for a shorter prompt.
/// Engines and entry VMs must compute the same value, so the hash is part of the protocol.
pub fn prefix_digest(prompt: &str) -> Option<u64> {
    Some(digest(prompt.as_bytes().get(..PREFIX_BYTES)?))
}

/// Returns the digest of a whole prompt.
pub fn prompt_digest(prompt: &str) -> u64 {
    digest(prompt.as_bytes())
}

fn digest(bytes: &[u8]) -> u64 {
    let mut hash = FNV_OFFSET_BASIS;
    for byte in bytes {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    }
    hash
}
