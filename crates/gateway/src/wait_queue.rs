//! Queue of requests that wait for an engine.

use std::collections::BTreeMap;

use dragonflycart_core::MonoTime;

/// ID of a waiting request. IDs increase in order of arrival.
pub type WaiterId = u64;

/// Waiting request.
#[derive(Debug, Clone, PartialEq, Eq)]
struct WaiterState {
    service: String,
    rank: u8,
    /// Time at which the latency target is missed.
    late_at: MonoTime,
}

/// Requests of one VM that wait for an engine. The first request of a service gets the next engine
/// with capacity. Requests that can still meet their latency target go before late ones, then the
/// order is by rank and by arrival. Smaller requests never overtake a large one, so that it does
/// not starve.
#[derive(Debug, Clone, Default)]
pub struct WaitQueue {
    waiters: BTreeMap<WaiterId, WaiterState>,
    next_id: WaiterId,
}

impl WaitQueue {
    /// Adds a request.
    pub fn enqueue(&mut self, service: &str, rank: u8, late_at: MonoTime) -> WaiterId {
        let id = self.next_id;
        self.next_id += 1;
        let state = WaiterState { service: service.to_owned(), rank, late_at };
        self.waiters.insert(id, state);
        id
    }

    /// Removes a request.
    pub fn remove(&mut self, id: WaiterId) {
        self.waiters.remove(&id);
    }

    /// Returns whether a request is the first of its service.
    pub fn is_first(&self, id: WaiterId, now: MonoTime) -> bool {
        let Some(own) = self.waiters.get(&id) else { return false };
        let own_order = (own.late_at <= now, own.rank, id);
        for (other_id, other) in &self.waiters {
            if other.service != own.service {
                continue;
            }
            if (other.late_at <= now, other.rank, *other_id) < own_order {
                return false;
            }
        }
        true
    }

    /// Returns the number of requests that wait for a service.
    pub fn count(&self, service: &str) -> usize {
        self.waiters.values().filter(|waiter| waiter.service == service).count()
    }
}
