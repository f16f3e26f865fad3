//! Messages between the VMs of the version move experiment.

use dragonflycart_policy::{MoveCounts, MoveState};

use crate::moves_case::ROUTES;

/// Counters of one bucket of one VM, per route and version.
pub type BucketCounts = [[MoveCounts; 2]; ROUTES];

/// Message between two VMs.
#[derive(Debug, Clone)]
pub enum MovesMessage {
    /// Counters of one bucket of the sender.
    Counters {
        /// VM whose requests were counted.
        source: usize,
        /// Start of the bucket, in seconds of Unix time.
        bucket_s: u64,
        /// Counters; those without requests are ignored by the receiver.
        counts: Box<BucketCounts>,
    },
    /// State of the move at the sender.
    State(MoveState),
}
