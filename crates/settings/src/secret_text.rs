//! Credential that can't be logged by accident.

use std::fmt;

/// Credential. It does not implement `Display`, and `Debug` masks it, so that it does not end up in
/// a log line by accident.
#[derive(Clone, PartialEq, Eq)]
pub struct SecretText(String);

impl SecretText {
    /// Wraps a credential.
    pub fn new(text: impl Into<String>) -> SecretText {
        SecretText(text.into())
    }

    /// Compares the credential with one that a caller presented. The comparison takes the same time
    /// wherever the first difference is, so that its duration does not reveal a matching prefix.
    pub fn matches(&self, presented: &str) -> bool {
        let own = self.0.as_bytes();
        let other = presented.as_bytes();
        if own.len() != other.len() {
            return false;
        }
        own.iter().zip(other).fold(0, |difference, (a, b)| difference | (a ^ b)) == 0
    }

    /// Returns the credential in clear text, for use in a request header.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for SecretText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SecretText(masked)")
    }
}
