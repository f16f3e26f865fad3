//! Failures of the store.

use displaydoc::Display;
use thiserror::Error;

/// Reason why the store did not do what it was asked for.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum StoreError {
    /// the store can't be reached or gave no answer: {0}
    Unavailable(String),
    /// the store refused the call with status {0}
    Refused(u16),
    /// the records asked for were deleted
    Expired,
    /// the condition of the write does not hold
    Conflict,
    /// the store's answer can't be read: {0}
    Malformed(String),
}
