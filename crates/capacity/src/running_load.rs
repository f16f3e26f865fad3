//! Load of a server.

/// Load of a server that its expected times depend on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RunningLoad {
    /// Number of requests.
    pub requests: u32,
    /// Prompt tokens that were not read yet.
    pub unread_tokens: u64,
}
