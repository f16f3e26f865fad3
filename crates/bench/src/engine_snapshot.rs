//! Snapshot from which load reports are made.

/// Snapshot from which load reports are made.
#[derive(Debug, Clone, Default)]
pub(crate) struct EngineSnapshot {
    pub(crate) instance: u64,
    pub(crate) cold: bool,
    pub(crate) concurrency_limit: u32,
    pub(crate) running: u32,
    pub(crate) waiting: u32,
    pub(crate) memory_used: u64,
    pub(crate) preemptions: u64,
    /// Requests in the engine per entry VM.
    pub(crate) by_vm: Vec<u32>,
}
