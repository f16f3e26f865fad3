//! Load on a backend server.

use std::ops::{AddAssign, SubAssign};

/// Requests at a server and the engine memory that they are expected to need.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ServerLoad {
    /// Requests that were sent and not yet answered.
    pub requests: u32,
    /// Engine memory, in tokens.
    pub tokens: u64,
}

impl AddAssign for ServerLoad {
    fn add_assign(&mut self, other: ServerLoad) {
        self.requests += other.requests;
        self.tokens += other.tokens;
    }
}

impl SubAssign for ServerLoad {
    fn sub_assign(&mut self, other: ServerLoad) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.tokens = self.tokens.saturating_sub(other.tokens);
    }
}
