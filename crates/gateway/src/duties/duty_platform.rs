//! Interface to the log of the lease and to the platform's duty calls.

use std::time::Duration;

use displaydoc::Display;
use dragonflycart_duties::{AppendResult, DutyRecord, LogTail, ReportContent, ScaleOrder};
use thiserror::Error;

use crate::{BoxFuture, ConnectionError, DutyCaller, StoreError};

/// Reason why a duty call has no effect that is known.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
pub enum CloudError {
    /// the lease ended before the call was sent
    LeaseEnded,
    /// there are too many calls
    TooManyCalls,
    /// the platform answered with status {0}
    Status(u16),
    /// there was no answer: {0}
    NoAnswer(#[from] ConnectionError),
}

impl CloudError {
    /// Returns whether the platform may have accepted the call.
    pub fn may_have_effect(&self) -> bool {
        match self {
            CloudError::LeaseEnded | CloudError::TooManyCalls => false,
            CloudError::Status(status) => *status >= 500,
            CloudError::NoAnswer(error) => {
                !matches!(error, ConnectionError::NotListening | ConnectionError::Unreachable)
            }
        }
    }

    /// Returns whether the platform rejected this call for its content, so that calls with other
    /// content may succeed.
    pub fn concerns_content(&self) -> bool {
        matches!(self, CloudError::Status(400..=499))
    }
}

/// Checks that the caller still holds the lease. Called directly before a call is sent, after the
/// connection was established, and returns the time in which the call must end.
pub type BeforeSend<'a> = &'a (dyn Fn() -> Option<Duration> + Send + Sync);

/// Access to the log of the lease and to the platform's duty calls.
pub trait DutyPlatform: Send + Sync {
    /// Reads the end of the log and its last record. Records before `from` are known.
    fn read_tail(&self, from: u64, limit: Duration) -> BoxFuture<'_, Result<LogTail, StoreError>>;

    /// Appends a record if the log ends at offset `at`.
    fn append<'a>(
        &'a self,
        record: &'a DutyRecord,
        at: u64,
        limit: Duration,
    ) -> BoxFuture<'a, AppendResult>;

    /// Sends a usage report.
    fn send_usage<'a>(
        &'a self,
        caller: &'a DutyCaller,
        report: &'a ReportContent,
        before_send: BeforeSend<'a>,
    ) -> BoxFuture<'a, Result<(), CloudError>>;

    /// Sends an order of servers.
    fn send_scale<'a>(
        &'a self,
        caller: &'a DutyCaller,
        order: &'a ScaleOrder,
        before_send: BeforeSend<'a>,
    ) -> BoxFuture<'a, Result<(), CloudError>>;
}
