//! Detection of readers that may have missed a record that still matters.

use std::time::Duration;

use dragonflycart_core::{LogOffset, WallTime};
use dragonflycart_wire::LogCheckpoint;

use crate::LedgerLimits;

/// Progress of a reader of a topic, and whether it has read every record that still matters.
///
/// A reader that starts after records were removed has missed nothing once it has read a checkpoint
/// whose copies include all records before its start.
#[derive(Debug, Clone)]
pub struct LogCoverage {
    limits: LedgerLimits,
    /// Offset of the next record to read.
    position: LogOffset,
    /// Start of the records that were read without a gap.
    read_from: LogOffset,
    /// Time at which reading at `read_from` started.
    read_since: WallTime,
    /// End of the log when reading started.
    end_at_start: LogOffset,
    /// Whether no record before `read_from` is missing, because there is none or because copies of
    /// those that still matter were read.
    complete: bool,
    checkpoint_made_at: Option<WallTime>,
}

impl LogCoverage {
    /// Starts at the first record that the log still has. `end` is the current end of the log.
    pub fn new(
        limits: LedgerLimits,
        first_available: LogOffset,
        end: LogOffset,
        now: WallTime,
    ) -> LogCoverage {
        LogCoverage {
            limits,
            position: first_available,
            read_from: first_available,
            read_since: now,
            end_at_start: end,
            complete: first_available == LogOffset(0),
            checkpoint_made_at: None,
        }
    }

    /// Returns the offset at which a record first appeared: that of the original if it is a copy.
    pub fn first_offset(offset: LogOffset, original_plus_one: u64) -> LogOffset {
        original_plus_one.checked_sub(1).map_or(offset, LogOffset)
    }

    /// Returns the offset of the next record to read.
    pub fn position(&self) -> LogOffset {
        self.position
    }

    /// Continues at `first_available` because the log has removed the records before it.
    pub fn skip_removed(&mut self, first_available: LogOffset, now: WallTime) {
        if first_available <= self.position {
            return;
        }
        self.position = first_available;
        self.read_from = first_available;
        self.read_since = now;
        self.complete = false;
    }

    /// Advances past the append at `offset`. Returns false if it was read before.
    pub fn advance(&mut self, offset: LogOffset, now: WallTime) -> bool {
        if offset < self.position {
            return false;
        }
        self.skip_removed(offset, now);
        self.position = offset.next();
        true
    }

    /// Applies a checkpoint. One that starts before the first record read proves nothing, because
    /// records between the two may have been removed before they were read.
    pub fn apply_checkpoint(&mut self, offset: LogOffset, checkpoint: &LogCheckpoint) {
        let as_of = LogOffset(checkpoint.as_of_offset);
        if as_of < self.read_from || as_of > offset {
            return;
        }
        self.complete = true;
        let made_at = WallTime::from_unix_millis(checkpoint.made_at_ms);
        self.checkpoint_made_at = self.checkpoint_made_at.max(Some(made_at));
    }

    /// Returns whether no record that matters was missed and everything that was in the log at the
    /// start was read. A reader that has read without a gap for longer than any record matters has
    /// missed none.
    pub fn is_authoritative(&self, now: WallTime) -> bool {
        let complete = self.complete || now.since(self.read_since) >= self.limits.lifetime();
        complete && self.position >= self.end_at_start
    }

    /// Returns whether half the retention time and `stagger` have passed since the last checkpoint
    /// was made.
    pub fn checkpoint_due(&self, now: WallTime, stagger: Duration) -> bool {
        if !self.is_authoritative(now) {
            return false;
        }
        let interval = self.limits.retention / 2 + stagger;
        self.checkpoint_made_at.is_none_or(|made_at| now.since(made_at) >= interval)
    }

    /// Returns the checkpoint that ends a series of copies of what was read so far.
    pub fn checkpoint(&self, now: WallTime) -> LogCheckpoint {
        LogCheckpoint { as_of_offset: self.position.0, made_at_ms: now.as_unix_millis() }
    }
}
