//! Identity of one run of an engine's process.

use std::fmt;

use sha2::{Digest, Sha256};

/// One run of an engine's process, which ends once. The value is the same on all VMs and in all
/// versions of the program.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineRun(u64);

impl EngineRun {
    /// Builds the identity from the engine's ID and the start of its process, if it is known, in
    /// Unix milliseconds.
    pub fn new(id: &str, started_at_ms: Option<u64>) -> EngineRun {
        let mut hasher = Sha256::new();
        hasher.update(started_at_ms.unwrap_or(0).to_be_bytes());
        hasher.update(id);
        let mut leading = [0; 8];
        leading.copy_from_slice(&hasher.finalize()[..8]);
        EngineRun(u64::from_be_bytes(leading))
    }

    /// Builds the identity from its number, as sent by another VM.
    pub const fn from_number(number: u64) -> EngineRun {
        EngineRun(number)
    }

    /// Returns the number.
    pub const fn number(self) -> u64 {
        self.0
    }
}

impl fmt::Display for EngineRun {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
