//! What a generation resumes from.

use crate::moves::StoppedSource;

/// Memory from which a generation resumes, and the proof that the engine before was told to stop it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ResumeSource<'a> {
    /// Header value that names the memory.
    pub(crate) resume_from: &'a str,
    /// Proof that the generation may go on elsewhere.
    pub(crate) stopped: StoppedSource,
}
