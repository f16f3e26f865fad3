//! Move of a generation that is in progress.

use tokio::sync::oneshot;

use crate::{MoveOutcome, MoveReason};

/// Move in progress.
pub(crate) struct RunningMove {
    reason: MoveReason,
    outcome: oneshot::Receiver<MoveOutcome>,
}

impl RunningMove {
    /// Builds a move whose outcome `outcome` gets.
    pub(crate) fn new(reason: MoveReason, outcome: oneshot::Receiver<MoveOutcome>) -> RunningMove {
        RunningMove { reason, outcome }
    }

    /// Returns whether the move recovers a generation whose response stalled or was cut off.
    pub(crate) fn is_recovery(&self) -> bool {
        self.reason == MoveReason::Broken
    }

    /// Waits for the outcome. Cancel safe.
    pub(crate) async fn outcome(&mut self) -> MoveOutcome {
        // A move whose task ends without an outcome has changed nothing.
        (&mut self.outcome).await.unwrap_or(MoveOutcome::Stays)
    }
}
