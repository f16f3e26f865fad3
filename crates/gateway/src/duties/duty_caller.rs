//! Identity of the holder in its calls.

/// Identity of the holder in its calls to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DutyCaller {
    /// Name of the VM.
    pub holder: String,
    /// Number of the holder.
    pub number: u64,
}
