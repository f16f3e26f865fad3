//! The operator's credential.

use std::{fmt, path::Path};

use crate::CredentialError;

/// Environment variable that holds the credential.
pub const CREDENTIAL_VARIABLE: &str = "DRAGONFLYCART_CREDENTIAL";

/// The operator's credential. It is read from an environment variable or a file, never from the
/// command line, which other users of the machine can see. `Debug` masks it.
#[derive(Clone, PartialEq, Eq)]
pub struct OperatorCredential(String);

impl OperatorCredential {
    /// Reads the credential from `file` if it is given, and otherwise from `variable`, the value of
    /// the environment variable.
    ///
    /// # Errors
    ///
    /// Returns a [`CredentialError`] if there is no credential or it can't be sent in a header.
    pub fn load(
        file: Option<&Path>,
        variable: Option<&str>,
    ) -> Result<OperatorCredential, CredentialError> {
        let text = match file {
            Some(path) => std::fs::read_to_string(path).map_err(|error| {
                CredentialError::Unreadable(path.display().to_string(), error.to_string())
            })?,
            None => variable.ok_or(CredentialError::Missing)?.to_owned(),
        };
        let text = text.trim();
        if text.is_empty() || !text.chars().all(|character| character.is_ascii_graphic()) {
            return Err(CredentialError::Malformed);
        }
        Ok(OperatorCredential(text.to_owned()))
    }

    /// Returns the value of the `Authorization` header.
    pub(crate) fn header_value(&self) -> String {
        format!("Bearer {}", self.0)
    }
}

impl fmt::Debug for OperatorCredential {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("OperatorCredential(masked)")
    }
}
