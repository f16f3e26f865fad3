//! Prefix cache of the fake engine and its events.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

/// Events kept for readers.
const KEPT_EVENTS: usize = 1_024;

/// What happened to a cached prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheAction {
    /// The prefix is cached.
    Stored,
    /// The prefix is no longer cached.
    Evicted,
}

/// Change of the prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event; a missing number is a gap.
    pub sequence: u64,
    /// Prompt prefix.
    pub prefix: String,
    /// What happened.
    pub action: CacheAction,
}

/// Prefix cache with room for a fixed number of prompts.
pub(crate) struct PrefixCache {
    room: usize,
    prompts: VecDeque<String>,
    events: VecDeque<(u64, CacheEvent)>,
    next_sequence: u64,
}

impl PrefixCache {
    pub(crate) fn new(room: usize) -> PrefixCache {
        PrefixCache { room, prompts: VecDeque::new(), events: VecDeque::new(), next_sequence: 1 }
    }

    /// Uses `prompt` and returns how many of its characters were cached.
    pub(crate) fn touch(&mut self, prompt: &str, now_ms: u64, drop_every: u64) -> usize {
        let mut hit = 0;
        for cached in &self.prompts {
            if prompt.starts_with(cached.as_str()) {
                hit = hit.max(cached.len());
            }
        }
        if hit < prompt.len() && self.room > 0 {
            self.prompts.push_back(prompt.to_owned());
            self.publish(prompt.to_owned(), CacheAction::Stored, now_ms, drop_every);
        }
        while self.prompts.len() > self.room {
            let Some(evicted) = self.prompts.pop_front() else { break };
            self.publish(evicted, CacheAction::Evicted, now_ms, drop_every);
        }
        hit
    }

    /// Returns the events after `sequence` that are at least `lag_ms` old.
    pub(crate) fn events_after(&self, sequence: u64, now_ms: u64, lag_ms: u64) -> Vec<CacheEvent> {
        let mut published = Vec::new();
        for (recorded_ms, event) in &self.events {
            if event.sequence > sequence && recorded_ms + lag_ms <= now_ms {
                published.push(event.clone());
            }
        }
        published
    }

    fn publish(&mut self, prefix: String, action: CacheAction, now_ms: u64, drop_every: u64) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        if drop_every > 0 && sequence.is_multiple_of(drop_every) {
            return;
        }
        self.events.push_back((now_ms, CacheEvent { sequence, prefix, action }));
        while self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }
}
