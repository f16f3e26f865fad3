//! Changes of the holder as seen by one VM.

use strum::{Display, IntoStaticStr};

/// Change of what a VM believes about the holder of the lease.
#[derive(Debug, Clone, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum LeaseChange {
    /// This VM became the holder.
    Claimed {
        /// Number of the holder.
        number: u64,
    },
    /// Another VM took the lease from this one.
    Lost {
        /// Number that this VM held.
        number: u64,
    },
    /// This VM gave up the lease because it may not hold it any longer.
    Resigned {
        /// Number that this VM held.
        number: u64,
    },
    /// Another VM became the holder.
    Followed {
        /// Name of the holder.
        holder: String,
        /// Number of the holder.
        number: u64,
    },
}
