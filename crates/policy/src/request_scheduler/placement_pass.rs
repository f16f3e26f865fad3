//! Placement of the waiting requests.

use std::time::Duration;

use dragonflycart_core::{ErrorKind, MonoTime};

use super::RequestScheduler;
use crate::{
    PlacementDecision, PoolKey, QueuedRequest, request_entry::RequestEntry,
    request_placer::ChosenServer,
};

/// Interval of passes over the waiting requests when no event occurs. Limits that ramp up over time
/// change without an event.
const PASS_INTERVAL: Duration = Duration::from_millis(100);
/// Time constant of the moving average of the contention of a pool.
const CONTENTION_WINDOW: Duration = Duration::from_secs(1);

/// Contention below which a pool with an empty queue is skipped. Dozens of pools are empty most of
/// the time.
const NO_CONTENTION: f64 = 0.001;

/// Outcome for a request that was taken from the queue.
#[derive(Debug, Clone, Copy)]
enum TakenRequest {
    Dispatch(QueuedRequest, ChosenServer),
    /// The request would miss its deadline.
    Late(QueuedRequest),
    /// The scheduler no longer knows the request.
    Unknown,
}

impl RequestScheduler {
    /// Dispatches waiting requests as far as the limits allow.
    pub(super) fn place_waiting(&mut self, now: MonoTime) {
        let since_pass = now.since(self.last_pass);
        if !self.changed && since_pass < PASS_INTERVAL {
            return;
        }
        self.changed = false;
        self.last_pass = now;
        let weight = (since_pass.as_secs_f64() / CONTENTION_WINDOW.as_secs_f64()).min(1.0);
        let mut pools = Vec::new();
        for (pool, queue) in &self.queues {
            let contention = self.contention.get(pool).copied().unwrap_or(0.0);
            if !queue.is_empty() || contention > NO_CONTENTION {
                pools.push(*pool);
            }
        }
        for pool in pools {
            self.update_contention(pool, weight);
            while let Some(taken) = self.take_next(pool, now) {
                match taken {
                    TakenRequest::Dispatch(queued, chosen) => self.dispatch(&queued, chosen),
                    TakenRequest::Late(queued) => self.reject_late(pool, &queued),
                    TakenRequest::Unknown => {}
                }
            }
            if self.queues.get(&pool).is_some_and(|queue| !queue.is_empty()) {
                self.left_waiting.insert(pool);
            } else {
                self.left_waiting.remove(&pool);
            }
        }
    }

    /// Updates the share of time in which requests wait for a pool. Requests have waited since the
    /// last pass if that pass left any in the queue.
    fn update_contention(&mut self, pool: PoolKey, weight: f64) {
        let waited = f64::from(u8::from(self.left_waiting.contains(&pool)));
        let contention = self.contention.entry(pool).or_insert(0.0);
        *contention += (waited - *contention) * weight;
        self.placer.begin_pass(*contention);
    }

    /// Takes the next request that can be placed or must be rejected.
    fn take_next(&mut self, pool: PoolKey, now: MonoTime) -> Option<TakenRequest> {
        let (placer, requests) = (&mut self.placer, &self.requests);
        let shed_late = placer.settings.shed_late;
        let token_time = self.token_time;
        let mut chosen = None;
        let mut late = false;
        let queued = self.queues.get_mut(&pool)?.pop_with(|queued| {
            let Some(entry) = requests.get(&queued.ticket) else {
                return true;
            };
            late = shed_late && is_late(entry, token_time, now);
            if late {
                return true;
            }
            chosen = placer.place(entry, now);
            chosen.is_some()
        })?;
        Some(match (late, chosen) {
            (true, _) => TakenRequest::Late(queued),
            (false, Some(chosen)) => TakenRequest::Dispatch(queued, chosen),
            (false, None) => TakenRequest::Unknown,
        })
    }

    fn reject_late(&mut self, pool: PoolKey, queued: &QueuedRequest) {
        // The request was charged to its team when it was taken from the queue; undo that.
        if let Some(queue) = self.queues.get_mut(&pool) {
            queue.correct(queued.class, queued.team, queued.cost, 0);
        }
        self.reject(queued.ticket, ErrorKind::Overloaded);
    }

    fn dispatch(&mut self, queued: &QueuedRequest, chosen: ChosenServer) {
        let ticket = queued.ticket;
        let Some(entry) = self.requests.get_mut(&ticket) else {
            return;
        };
        entry.server = Some(chosen.server);
        if let Some(deadline) = entry.deadline {
            self.running_deadlines.insert((deadline, ticket));
        }
        self.outbox.push(PlacementDecision::Dispatch {
            ticket,
            server: chosen.server,
            instance: self.placer.servers.get(chosen.server).instance(),
            cold_slot: chosen.cold,
        });
    }
}

/// Returns whether a generation without output so far would miss its deadline if it started now and
/// reached its `late_check_length`.
fn is_late(entry: &RequestEntry, token_time: f64, now: MonoTime) -> bool {
    let Some(deadline) = entry.deadline else {
        return false;
    };
    if entry.max_tokens == 0 || entry.tokens > 0 {
        return false;
    }
    now + Duration::from_secs_f64(f64::from(entry.late_check_length) * token_time) > deadline
}
