//! Memory of all responses of the process.

use std::time::Duration;

use crate::{MemoryBudget, MemoryReservation, StreamMemory};

/// Fraction of the process's memory for bodies that state their length. Those of unknown length can
/// have no end, so they have a budget of their own.
const KNOWN_LENGTH_FRACTION: f64 = 0.1;
/// The same for bodies of unknown length.
const OPEN_ENDED_FRACTION: f64 = 0.1;
/// The same for events of streams.
const EVENT_FRACTION: f64 = 0.05;
/// Size of a body that needs no memory of the budgets, in bytes. Usual responses of plain services
/// have a few thousand bytes.
const UNSHARED_BYTES: usize = 16 * 1024;
/// Maximum time for which a body of unknown length waits for memory. It keeps what it has meanwhile.
const OPEN_ENDED_WAIT: Duration = Duration::from_secs(2);

/// Memory budgets of the responses that are buffered. A body with a known length waits until its
/// request's deadline.
#[derive(Debug)]
pub struct ResponseMemory {
    known_length: MemoryBudget,
    open_ended: MemoryBudget,
    events: MemoryBudget,
}

impl ResponseMemory {
    /// Builds the budgets of a process with `memory_bytes` of memory.
    pub fn new(memory_bytes: usize) -> ResponseMemory {
        let part = |fraction: f64| (memory_bytes as f64 * fraction) as usize;
        ResponseMemory {
            known_length: MemoryBudget::new(part(KNOWN_LENGTH_FRACTION), None),
            open_ended: MemoryBudget::new(part(OPEN_ENDED_FRACTION), Some(OPEN_ENDED_WAIT)),
            events: MemoryBudget::new(part(EVENT_FRACTION), None),
        }
    }

    /// Returns the reservation of a body.
    pub fn body(&self, has_known_length: bool) -> MemoryReservation {
        let budget = if has_known_length { &self.known_length } else { &self.open_ended };
        budget.reservation(UNSHARED_BYTES)
    }

    /// Returns the memory of a stream.
    pub fn stream(&self) -> StreamMemory {
        StreamMemory::new(&self.events)
    }
}
