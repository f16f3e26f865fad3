//! Reasons for which a VM refuses new requests.

use strum::{Display, EnumIter, IntoStaticStr};

/// Reason for which a VM refuses new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RefusalReason {
    /// The timers of the process are late: it does not get the processor time that it needs.
    LateTimers,
    /// As many requests wait as the VM has memory and processor time for.
    ManyWaiting,
}

impl RefusalReason {
    /// Returns the cause that the log and the metrics name.
    pub fn cause(self) -> &'static str {
        match self {
            RefusalReason::LateTimers => "this VM has no processor time",
            RefusalReason::ManyWaiting => "too many requests wait at this VM",
        }
    }
}
