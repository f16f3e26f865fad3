//! Where a generation continues.

/// Where a generation continues on the same engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResumePoint {
    /// Generation.
    pub generation: String,
    /// Epoch, without which two engines could each add tokens after the same index.
    pub epoch: u32,
    /// Index of the next token.
    pub next_index: u64,
}
