//! Limits above which a request is rejected.

use crate::section_values::SectionValues;

/// Limits of one VM.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitSettings {
    /// Largest request body, in bytes.
    pub body: usize,
    /// Largest prompt, in bytes.
    pub prompt: usize,
    /// Largest total of request headers, in bytes.
    pub header: usize,
    /// Maximum number of open streams.
    pub open_streams: usize,
}

impl LimitSettings {
    pub(crate) fn from_values(values: &SectionValues) -> Option<LimitSettings> {
        Some(LimitSettings {
            body: values.size("body")?,
            prompt: values.size("prompt")?,
            header: values.size("header")?,
            open_streams: values.integer("open_streams")?,
        })
    }
}
