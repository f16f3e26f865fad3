//! Request that is sent to an engine.

/// Request that is sent to an engine.
#[derive(Debug, Clone, Copy)]
pub struct NewSequence {
    /// Number of the request.
    pub id: usize,
    /// VM that sent it.
    pub vm: usize,
    /// Scheduling priority.
    pub priority: u8,
    /// Length of the prompt, in tokens.
    pub prompt_length: u32,
    /// Output tokens that were delivered by an earlier attempt. The engine processes them like a
    /// prompt.
    pub delivered: u32,
    /// Length of the whole output, in tokens.
    pub output_length: u32,
    /// Digest and length of the shared prefix.
    pub prefix: Option<(u64, u32)>,
}
