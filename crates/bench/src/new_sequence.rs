//! Request that an engine takes.

/// Request that an engine takes.
#[derive(Debug, Clone, Copy)]
pub struct NewSequence {
    /// Number of the request.
    pub id: usize,
    /// VM that sent it.
    pub vm: usize,
    /// Scheduling priority.
    pub priority: u8,
    /// Length of the prompt.
    pub prompt: u32,
    /// Output that was delivered earlier, which is processed like a prompt.
    pub done: u32,
    /// Output length.
    pub length: u32,
    /// Digest and length of the shared prefix.
    pub prefix: Option<(u64, u32)>,
}
