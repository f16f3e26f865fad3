//! Point at which a stream of tokens continues.

/// Point at which a generation continues on the same engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResumePoint {
    /// Identifier of the generation.
    pub generation: String,
    /// Epoch. Without it, two engines could each add tokens after the same index.
    pub epoch: u32,
    /// Index of the next token.
    pub next_index: u64,
}
