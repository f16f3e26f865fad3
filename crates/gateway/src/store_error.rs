//! Errors of calls to the store.

use displaydoc::Display;
use thiserror::Error;

/// Reason why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum StoreError {
    /// the store is unreachable or did not respond: {0}
    Unavailable(String),
    /// the store refused the call with status {0}
    Refused(u16),
    /// the requested records have expired from the store
    Expired,
    /// the store is in another era than expected
    OtherEra,
    /// the precondition of the write failed
    Conflict,
    /// the store's response or record is invalid: {0}
    Malformed(String),
}
