//! Faults that only the fake log service knows.

use serde::{Deserialize, Serialize};

/// Way in which the log service is out of service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutageKind {
    /// In service.
    None,
    /// Every request is refused with status 503.
    Refuse,
    /// Appends are refused with status 503, reads work.
    RefuseAppends,
    /// No request gets an answer and nothing is written.
    Hang,
}

/// Body of `POST /control/log`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "set", rename_all = "snake_case")]
pub enum LogCommand {
    /// Starts or ends an outage.
    Outage {
        /// Kind of the outage.
        kind: OutageKind,
    },
    /// Delays every operation before it is executed.
    Slow {
        /// Delay in milliseconds; 0 ends the slow phase.
        ms: u64,
    },
    /// Closes the connection of the next appends without an answer and writes the records later.
    ApplyLate {
        /// Number of appends.
        count: u32,
        /// Milliseconds until the records are written.
        ms: u64,
    },
    /// Removes all records of every topic below the given offset.
    Expire {
        /// First offset that is kept.
        first: u64,
    },
    /// Changes the rate limit.
    Rate {
        /// Appends per second.
        appends_per_second: f64,
    },
}
