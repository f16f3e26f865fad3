//! Exit codes, documented in docs/operators.md.

use std::process::ExitCode;

/// Exit status of a command. Scripts rely on the numbers, so they must not change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitStatus {
    /// The command succeeded.
    Done = 0,
    /// The plan file has problems, or a local file can't be read or written.
    Faults = 1,
    /// The command line is invalid, or there is no credential.
    Usage = 2,
    /// Another operator's plan was accepted first.
    Conflict = 3,
    /// The outcome is unknown; the command can be repeated without a second effect.
    Unknown = 4,
    /// No server responded.
    NoResponse = 5,
    /// A server rejected the request.
    Rejected = 6,
    /// The report is partial: counts of some VMs are missing.
    Partial = 7,
    /// A followed version move was rolled back.
    RolledBack = 8,
    /// The VM does not know its route plan or servers yet.
    NotReady = 9,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> ExitCode {
        ExitCode::from(status as u8)
    }
}
