//! Load on a backend server.

use std::ops::{AddAssign, SubAssign};

/// Requests in flight on a server and the engine memory that they are expected to need.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ServerLoad {
    /// Number of requests in flight.
    pub requests: u32,
    /// Engine memory of generations, in tokens.
    pub tokens: u64,
    /// Engine memory of backup copies of generations that run on other engines, in tokens.
    pub copy_tokens: u64,
    /// Prompt tokens of generations that have not produced an event yet.
    pub pending_prompt_tokens: u64,
    /// Tokens whose memory is being transferred to the engine. Tokens from another zone count
    /// twice, since their copy takes twice as long.
    pub arriving_tokens: u64,
}

impl ServerLoad {
    /// Returns the engine memory in use, in tokens.
    pub fn memory_tokens(&self) -> u64 {
        self.tokens + self.copy_tokens
    }
}

impl AddAssign for ServerLoad {
    fn add_assign(&mut self, other: ServerLoad) {
        self.requests += other.requests;
        self.tokens += other.tokens;
        self.copy_tokens += other.copy_tokens;
        self.pending_prompt_tokens += other.pending_prompt_tokens;
        self.arriving_tokens += other.arriving_tokens;
    }
}

impl SubAssign for ServerLoad {
    fn sub_assign(&mut self, other: ServerLoad) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.tokens = self.tokens.saturating_sub(other.tokens);
        self.copy_tokens = self.copy_tokens.saturating_sub(other.copy_tokens);
        self.pending_prompt_tokens =
            self.pending_prompt_tokens.saturating_sub(other.pending_prompt_tokens);
        self.arriving_tokens = self.arriving_tokens.saturating_sub(other.arriving_tokens);
    }
}
