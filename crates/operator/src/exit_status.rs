//! Exit codes, documented in docs/operators.md.

use std::process::ExitCode;

/// How a command ended. The numbers are part of the interface for scripts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitStatus {
    /// Done.
    Done = 0,
    /// The plan file has faults, or a local file can't be read or written.
    Faults = 1,
    /// The command line is wrong, or there is no credential.
    Usage = 2,
    /// Another operator's plan won.
    Conflict = 3,
    /// The outcome is unknown; the same command may be repeated.
    Unknown = 4,
    /// No server answered.
    NoAnswer = 5,
    /// A server rejected the request.
    Rejected = 6,
    /// The report is partial: some VMs did not answer.
    Partial = 7,
    /// A followed version move was rolled back.
    RolledBack = 8,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> ExitCode {
        ExitCode::from(status as u8)
    }
}
