//! One problem of a settings file.

use std::fmt;

/// One problem of a settings file, with the place, the value found and what is allowed there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigProblem {
    /// File name, or a placeholder for settings that did not come from a file.
    pub file: String,
    /// Section heading without brackets; empty for problems of the file as a whole.
    pub section: String,
    /// Key; empty for problems of a whole section.
    pub key: String,
    /// What was found. Never contains a credential.
    pub found: String,
    /// What is allowed.
    pub allowed: String,
}

impl fmt::Display for ConfigProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.file)?;
        if !self.section.is_empty() {
            write!(f, "[{}] ", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        write!(f, "found {}; allowed: {}", self.found, self.allowed)
    }
}
