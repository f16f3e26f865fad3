//! Preemption of batch requests in favor of interactive ones.

use dragonflycart_core::MonoTime;

use super::RequestScheduler;
use crate::{PlacementDecision, PoolKey, PriorityClass, RequestTicket, ServerKey};

impl RequestScheduler {
    /// Preempts at most one batch request per pool if an interactive request has waited too long.
    pub(super) fn preempt_for_interactive(&mut self, now: MonoTime) {
        let Some(max_wait) = self.placer.settings.preempt_after else {
            return;
        };
        let mut waiting = Vec::new();
        for (pool, queue) in &self.queues {
            let Some(first) = queue.first_of(PriorityClass::Interactive) else {
                continue;
            };
            let entry = self.requests.get(&first.ticket);
            if entry.is_some_and(|entry| now.since(entry.submitted) >= max_wait) {
                waiting.push(*pool);
            }
        }
        for pool in waiting {
            if self.preempted_at.get(&pool).is_some_and(|last| now.since(*last) < max_wait) {
                continue;
            }
            if let Some((server, ticket)) = self.cheapest_batch_request(pool) {
                self.preempted_at.insert(pool, now);
                self.preempt(server, ticket, now);
            }
        }
    }

    /// Returns the running batch request of the pool with the fewest prompt and output tokens,
    /// which is the cheapest to recompute.
    fn cheapest_batch_request(&self, pool: PoolKey) -> Option<(ServerKey, RequestTicket)> {
        let servers = &self.placer.servers;
        let mut cheapest: Option<(u32, ServerKey, RequestTicket)> = None;
        for key in servers.members(pool) {
            for (ticket, attempt) in &servers.get(*key).attempts {
                if attempt.class != PriorityClass::Batch {
                    continue;
                }
                let ranked = (attempt.prompt + attempt.tokens, *key, *ticket);
                if cheapest.is_none_or(|found| ranked < found) {
                    cheapest = Some(ranked);
                }
            }
        }
        cheapest.map(|(_, server, ticket)| (server, ticket))
    }

    fn preempt(&mut self, server: ServerKey, ticket: RequestTicket, now: MonoTime) {
        let Some(mut entry) = self.requests.remove(&ticket) else {
            return;
        };
        self.end_attempt(&entry, entry.tokens, now);
        entry.server = None;
        self.enqueue(entry, true, now);
        self.outbox.push(PlacementDecision::Preempt { ticket, server });
    }
}
