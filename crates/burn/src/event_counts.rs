//! Counts of good and bad events.

use serde::{Deserialize, Serialize};

/// Counts of good and bad events.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EventCounts {
    /// Good events.
    pub good: u64,
    /// Bad events.
    pub bad: u64,
}

impl EventCounts {
    /// Adds `count` events that are all good or all bad.
    pub fn record(&mut self, good: bool, count: u64) {
        let target = if good { &mut self.good } else { &mut self.bad };
        *target = target.saturating_add(count);
    }

    /// Adds the counts of `other`.
    pub fn merge(&mut self, other: EventCounts) {
        self.good = self.good.saturating_add(other.good);
        self.bad = self.bad.saturating_add(other.bad);
    }

    /// Returns the number of events.
    pub fn total(self) -> u64 {
        self.good.saturating_add(self.bad)
    }

    /// Returns the share of bad events, or 0 if there are no events.
    pub fn bad_share(self) -> f64 {
        if self.total() == 0 { 0.0 } else { self.bad as f64 / self.total() as f64 }
    }
}
