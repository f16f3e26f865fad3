//! Memory budget for request bodies.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Fraction of the process's memory that request bodies may use. The rest is for connections and
/// the program itself.
const BODY_FRACTION: f64 = 0.25;

/// Limit on the total size of all buffered bodies. A body stays in memory until its request ends,
/// since the request may be retried.
#[derive(Debug, Clone)]
pub struct BodyBudget {
    free: Arc<AtomicUsize>,
}

impl BodyBudget {
    /// Builds the budget of a process with `memory_bytes` of memory.
    pub fn new(memory_bytes: usize) -> BodyBudget {
        let free = (memory_bytes as f64 * BODY_FRACTION) as usize;
        BodyBudget { free: Arc::new(AtomicUsize::new(free)) }
    }

    /// Returns an empty reservation.
    pub fn empty_reservation(&self) -> BodyReservation {
        BodyReservation { free: Arc::clone(&self.free), bytes: 0 }
    }
}

/// Bytes reserved for one body; released on drop.
#[derive(Debug)]
pub struct BodyReservation {
    free: Arc<AtomicUsize>,
    bytes: usize,
}

impl BodyReservation {
    /// Reserves more bytes. Returns false if the budget does not have them.
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
