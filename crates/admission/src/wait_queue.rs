//! Queue of requests that wait for an engine.

use std::collections::BTreeMap;

use dragonflycart_core::MonoTime;

use crate::{QueuePlace, RankDemand, TeamUse, Waiter, WaiterId, service_queue::ServiceQueue};

/// Maximum tokens that one request counts for. No engine holds as many, and the sum over the
/// waiting requests of a VM fits into a `u64`.
const TOKENS_LIMIT: u64 = 1 << 40;

/// Requests of one VM that wait for an engine. The first request of a service gets the next engine
/// with capacity. Requests that can still meet their latency target go before late ones, then the
/// order is by rank. Among equal ones it is by arrival or, for a service with a deferrable route, by
/// the use of the teams. Smaller requests never overtake a large one, so that it does not starve.
///
/// All operations but [`WaitQueue::place_of`] take logarithmic time in the number of waiting
/// requests.
#[derive(Debug, Clone, Default)]
pub struct WaitQueue {
    services: BTreeMap<String, ServiceQueue>,
    /// Service of each waiting request.
    locations: BTreeMap<WaiterId, String>,
    next_id: WaiterId,
}

impl WaitQueue {
    /// Adds a request.
    pub fn enqueue(&mut self, mut waiter: Waiter, now: MonoTime) -> WaiterId {
        waiter.tokens = waiter.tokens.min(TOKENS_LIMIT);
        let id = self.next_id;
        self.next_id += 1;
        self.locations.insert(id, waiter.service.clone());
        self.services.entry(waiter.service.clone()).or_default().insert(id, waiter, now);
        id
    }

    /// Removes a request.
    pub fn remove(&mut self, id: WaiterId) -> Option<Waiter> {
        let service = self.locations.remove(&id)?;
        let queue = self.services.get_mut(&service)?;
        let waiter = queue.remove(id);
        if queue.is_empty() {
            self.services.remove(&service);
        }
        waiter
    }

    /// Returns whether it is a request's turn to look for room: it is the first of its service, or
    /// the first urgent one behind a deferrable one that found no room within its limit.
    pub fn has_turn(&mut self, id: WaiterId, team_use: &TeamUse, now: MonoTime) -> bool {
        self.queue_of(id).is_some_and(|queue| queue.has_turn(id, team_use, now))
    }

    /// Records that a request had its turn and found no room.
    pub fn note_no_room(&mut self, id: WaiterId) {
        if let Some(queue) = self.queue_of(id) {
            queue.note_no_room(id);
        }
    }

    /// Returns the requests of a service that may be able to use memory that has become free.
    pub fn candidates(
        &mut self,
        service: &str,
        team_use: &TeamUse,
        now: MonoTime,
    ) -> Vec<WaiterId> {
        let queue = self.services.get_mut(service);
        queue.map(|queue| queue.candidates(team_use, now)).unwrap_or_default()
    }

    /// Returns the place of a request. This takes a time that grows with the number of requests
    /// that arrived after it.
    pub fn place_of(&mut self, id: WaiterId, now: MonoTime) -> Option<QueuePlace<'_>> {
        self.queue_of(id)?.place_of(id, now)
    }

    /// Returns whether a request is late, and its rank.
    pub fn order_of(&mut self, id: WaiterId, now: MonoTime) -> Option<(bool, u8)> {
        self.queue_of(id)?.order_of(id, now)
    }

    /// Returns the number of requests that wait for a service.
    pub fn count(&self, service: &str) -> usize {
        self.services.get(service).map_or(0, ServiceQueue::count)
    }

    /// Returns the number of requests that wait for any service.
    pub fn total(&self) -> usize {
        self.locations.len()
    }

    /// Returns the requests that wait for a service, by rank.
    pub fn demand(&mut self, service: &str, now: MonoTime) -> BTreeMap<u8, RankDemand> {
        let queue = self.services.get_mut(service);
        queue.map(|queue| queue.demand(now)).unwrap_or_default()
    }

    fn queue_of(&mut self, id: WaiterId) -> Option<&mut ServiceQueue> {
        self.services.get_mut(self.locations.get(&id)?)
    }
}
