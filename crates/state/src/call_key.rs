//! Key of a call or job.

use std::fmt;

/// Idempotency key of a call or job, together with its team.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallKey {
    /// Team of the caller.
    pub team: String,
    /// Idempotency key of the caller.
    pub key: String,
}

impl CallKey {
    /// Builds a key from its parts.
    pub fn new(team: &str, key: &str) -> CallKey {
        CallKey { team: team.to_owned(), key: key.to_owned() }
    }
}

impl fmt::Display for CallKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.team, self.key)
    }
}
