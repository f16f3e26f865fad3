//! Credential that does not show itself.

use std::fmt;

/// Credential. It has no `Display`, and `Debug` does not show it, so that it can't reach a log
/// line by accident.
#[derive(Clone, PartialEq, Eq)]
pub struct SecretText(String);

impl SecretText {
    /// Wraps a credential.
    pub fn new(text: impl Into<String>) -> SecretText {
        SecretText(text.into())
    }

    /// Compares with a credential that a caller presented. The time taken does not depend on
    /// where the first difference is.
    pub fn matches(&self, presented: &str) -> bool {
        let own = self.0.as_bytes();
        let other = presented.as_bytes();
        if own.len() != other.len() {
            return false;
        }
        own.iter().zip(other).fold(0, |difference, (a, b)| difference | (a ^ b)) == 0
    }

    /// Returns the credential itself, for use in a request header.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for SecretText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SecretText(masked)")
    }
}
