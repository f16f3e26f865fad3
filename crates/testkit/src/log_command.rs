//! Faults and settings of the fake log service only.

use serde::{Deserialize, Serialize};

/// How the log service fails during an outage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutageKind {
    /// No outage.
    None,
    /// Every request is refused with status 503.
    Refuse,
    /// Appends are refused with status 503; reads work.
    RefuseAppends,
    /// No request gets a response, and nothing is written.
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
    /// Delays the execution of every append and read.
    Slow {
        /// Delay in milliseconds; 0 ends it.
        ms: u64,
    },
    /// Resets the connection of each of the next appends without a response, and writes the record
    /// later.
    ApplyLate {
        /// Number of appends.
        count: u32,
        /// Milliseconds until the record is written.
        ms: u64,
    },
    /// Removes all records of every topic below the given offset.
    Expire {
        /// Lowest offset that is kept.
        first: u64,
    },
    /// Changes the rate limit of appends.
    Rate {
        /// Appends per second.
        appends_per_second: f64,
    },
}
