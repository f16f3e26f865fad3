//! Memory for the bodies of callers' requests.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Part of a process's memory that bodies may fill. The rest is for connections and the program.
const BODY_FRACTION: f64 = 0.25;

/// Bytes that all bodies together may take. A body is kept until its request ends, since it may
/// have to be sent again.
#[derive(Debug, Clone)]
pub struct BodyBudget {
    free: Arc<AtomicUsize>,
}

impl BodyBudget {
    /// Builds the budget of a process that may use `memory_bytes`.
    pub fn new(memory_bytes: usize) -> BodyBudget {
        let free = (memory_bytes as f64 * BODY_FRACTION) as usize;
        BodyBudget { free: Arc::new(AtomicUsize::new(free)) }
    }

    /// Returns an empty share.
    pub fn empty_reservation(&self) -> BodyReservation {
        BodyReservation { free: Arc::clone(&self.free), bytes: 0 }
    }
}

/// Bytes that one body takes; they are free again when this is dropped.
#[derive(Debug)]
pub struct BodyReservation {
    free: Arc<AtomicUsize>,
    bytes: usize,
}

impl BodyReservation {
    /// Adds bytes to the share, or returns false if they are not free.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let taken = self
            .free
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |free| free.checked_sub(bytes));
        if taken.is_ok() {
            self.bytes += bytes;
        }
        taken.is_ok()
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.free.fetch_add(self.bytes, Ordering::Relaxed);
    }
}
