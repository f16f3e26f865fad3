//! Numbered probes that a subscriber sends to the peer that forwards the tables.

use std::{collections::BTreeMap, time::Duration};

use crate::BootTime;

/// Interval between probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Probes of one connection that may still be confirmed.
#[derive(Debug, Clone, Default)]
pub struct FeedProbes {
    sent: BTreeMap<u64, BootTime>,
    last: u64,
}

impl FeedProbes {
    /// Returns whether the next probe should be sent.
    pub fn is_due(&self, now: BootTime) -> bool {
        self.sent.get(&self.last).is_none_or(|sent| now.since(*sent) >= PROBE_INTERVAL)
    }

    /// Records that a probe is sent at `now` and returns its number.
    pub fn next(&mut self, now: BootTime) -> u64 {
        self.last += 1;
        self.sent.insert(self.last, now);
        self.last
    }

    /// Returns the time at which the probe `number` was sent, or `None` if there is no such probe.
    /// Forgets earlier probes, because the peer confirms the newest one that it received.
    pub fn sent_at(&mut self, number: u64) -> Option<BootTime> {
        self.sent = self.sent.split_off(&number);
        self.sent.get(&number).copied()
    }
}
