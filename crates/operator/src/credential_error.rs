//! Failure to load the credential.

use displaydoc::Display;
use thiserror::Error;

/// Failure to load the credential.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum CredentialError {
    /// no credential: set the variable DRAGONFLYCART_CREDENTIAL or use --credential-file
    Missing,
    /// the credential file {0} can't be read: {1}
    Unreadable(String, String),
    /// the credential is empty or has characters other than printable ASCII
    Malformed,
}
