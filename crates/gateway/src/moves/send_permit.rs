//! Permit to send calls that get their connection late.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

/// Whether calls may still be sent. It is withdrawn when none is wanted any more.
#[derive(Clone, Default)]
pub(super) struct SendPermit(Arc<AtomicBool>);

impl SendPermit {
    /// Gives or withdraws the permit.
    pub(super) fn set(&self, may_send: bool) {
        self.0.store(may_send, Ordering::Release);
    }

    /// Returns whether a call may be sent.
    pub(super) fn is_set(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}
