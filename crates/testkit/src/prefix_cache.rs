//! Prefix cache of the fake engine and its events.

use std::collections::VecDeque;

use dragonflycart_engine::{CacheEvent, PREFIX_BYTES, prefix_digest};

/// Number of the newest events that are kept for readers.
const KEPT_EVENTS: usize = 1_024;

/// LRU cache of prompt prefixes that publishes an event for each insertion and removal.
pub(crate) struct PrefixCache {
    capacity: usize,
    digests: VecDeque<u64>,
    events: VecDeque<(u64, CacheEvent)>,
    next_sequence: u64,
}

impl PrefixCache {
    pub(crate) fn new(capacity: usize) -> PrefixCache {
        PrefixCache {
            capacity,
            digests: VecDeque::new(),
            events: VecDeque::new(),
            next_sequence: 1,
        }
    }

    /// Returns how many bytes of `prompt` were cached, and caches its prefix if it was not. A full
    /// cache removes the least recently used prefix.
    pub(crate) fn look_up_or_insert(
        &mut self,
        prompt: &str,
        now_ms: u64,
        drop_every: u64,
    ) -> usize {
        let Some(digest) = prefix_digest(prompt) else { return 0 };
        if let Some(position) = self.digests.iter().position(|cached| *cached == digest) {
            self.digests.remove(position);
            self.digests.push_back(digest);
            return PREFIX_BYTES;
        }
        self.digests.push_back(digest);
        self.publish(digest, true, now_ms, drop_every);
        while self.digests.len() > self.capacity {
            let Some(removed) = self.digests.pop_front() else { break };
            self.publish(removed, false, now_ms, drop_every);
        }
        0
    }

    /// Returns the events after `sequence` that are at least `lag_ms` old.
    pub(crate) fn events_after(&self, sequence: u64, now_ms: u64, lag_ms: u64) -> Vec<CacheEvent> {
        let mut published = Vec::new();
        for (recorded_ms, event) in &self.events {
            if event.sequence > sequence && recorded_ms + lag_ms <= now_ms {
                published.push(*event);
            }
        }
        published
    }

    fn publish(&mut self, digest: u64, inserted: bool, now_ms: u64, drop_every: u64) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        if drop_every > 0 && sequence.is_multiple_of(drop_every) {
            return;
        }
        self.events.push_back((now_ms, CacheEvent { sequence, digest, inserted }));
        while self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }
}
