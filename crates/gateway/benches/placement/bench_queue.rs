//! Queue of requests that wait for an engine.

use std::time::Duration;

use dragonflycart_admission::{AdmissionClass, AdmissionTable, Waiter, WaiterId};
use dragonflycart_core::MonoTime;

/// Service for which the requests wait.
const SERVICE: &str = "assistant";
/// Number of teams of the callers.
const TEAMS: u64 = 24;

/// Queue that always holds the same number of requests.
pub(crate) struct BenchQueue {
    table: AdmissionTable,
    arrivals: u64,
}

impl BenchQueue {
    /// Builds the queue.
    pub(crate) fn new(waiting: u64) -> BenchQueue {
        let mut queue = BenchQueue { table: AdmissionTable::default(), arrivals: 0 };
        for _ in 0..waiting {
            queue.arrive();
        }
        queue
    }

    /// Frees memory: the first request takes it and leaves the queue, and another one arrives.
    pub(crate) fn free_memory(&mut self) -> Option<WaiterId> {
        let now = self.now();
        self.table.note_freed(SERVICE, 3_000, now);
        let woken = self.table.candidates(SERVICE, now);
        let first = woken.into_iter().find(|id| self.table.has_turn(*id, now))?;
        self.table.urgent_share(first, SERVICE, now);
        let waiter = self.table.queue.remove(first)?;
        self.table.team_use.charge(&waiter.team, waiter.tokens, now);
        self.arrive();
        Some(first)
    }

    fn arrive(&mut self) {
        self.arrivals += 1;
        let now = self.now();
        let is_long = self.arrivals.is_multiple_of(2);
        let waiter = Waiter {
            service: SERVICE.to_owned(),
            class: if is_long { AdmissionClass::Deferrable } else { AdmissionClass::Urgent },
            rank: u8::from(is_long),
            team: format!("team-{}", self.arrivals * 7 % TEAMS),
            tokens: if is_long { 3_500 } else { 2_200 },
            late_at: now + Duration::from_millis(1_500),
            aged_at: now + Duration::from_secs(3),
        };
        self.table.enqueue(waiter, now);
    }

    fn now(&self) -> MonoTime {
        // 200 requests per second.
        MonoTime::from_millis(60_000 + self.arrivals * 5)
    }
}
