//! Identity of a part of a prompt.

use std::fmt;

use sha2::{Digest, Sha256};

/// Part of a prompt that other prompts may share, such as a system prompt or a document. The
/// identity says nothing about the text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PromptPart(u64);

impl PromptPart {
    /// Builds a part from its identity.
    pub const fn new(id: u64) -> PromptPart {
        PromptPart(id)
    }

    /// Builds a part from an identity in hexadecimal digits. One that does not fit into 64 bits, or
    /// has other characters, is shortened to the start of its SHA-256 digest.
    pub fn from_text(text: &str) -> PromptPart {
        if let Ok(id) = u64::from_str_radix(text, 16) {
            return PromptPart(id);
        }
        let digest = Sha256::digest(text.to_ascii_lowercase());
        let mut leading = [0; 8];
        leading.copy_from_slice(&digest[..8]);
        PromptPart(u64::from_be_bytes(leading))
    }

    /// Returns the identity.
    pub const fn id(self) -> u64 {
        self.0
    }

    /// Returns the identities of several parts as text, for the log.
    pub fn list(parts: &[PromptPart]) -> String {
        let ids: Vec<String> = parts.iter().map(PromptPart::to_string).collect();
        ids.join(",")
    }
}

impl fmt::Display for PromptPart {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:x}", self.0)
    }
}
