//! Messages between the VMs of the version move experiment.

use dragonflycart_policy::{MoveCounts, MoveState};

use crate::moves_case::ROUTES;

/// Counters of one bucket of one VM, per route and version.
pub type BucketCounts = [[MoveCounts; 2]; ROUTES];

/// Message between two VMs.
#[derive(Debug, Clone)]
pub enum MovesMessage {
    /// Counters of a bucket.
    Counters {
        /// VM that counted.
        source: usize,
        /// Start of the bucket.
        bucket_s: u64,
        /// Counters.
        counts: Box<BucketCounts>,
    },
    /// State of the move.
    State(MoveState),
}
