//! Joins the events of a stream's runs.

use crate::{EventStep, StreamEvent};

/// Joins the events of a stream's runs by their IDs, so that the caller receives each event once and
/// in order. Events without an ID can only be placed after an event with one.
#[derive(Debug, Clone, Default)]
pub struct StreamJoin {
    /// Whether the current run continues an earlier one and has not passed its last event yet.
    is_joining: bool,
    /// Highest ID in the current run, if it continues an earlier one.
    seen: Option<u64>,
    /// Whether the event that was forwarded last has no ID. A new run would send it again.
    ends_unnumbered: bool,
}

impl StreamJoin {
    /// Begins a run that continues the stream after its last forwarded event.
    pub fn begin_run(&mut self) {
        self.is_joining = true;
        self.seen = None;
    }

    /// Decides about the next event of the run. `last` is the ID of the last forwarded event.
    pub fn step(&mut self, event: &StreamEvent, last: Option<u64>) -> EventStep {
        let Some(id) = event.id else {
            return if event.is_comment() {
                EventStep::Forward
            } else {
                self.step_unnumbered(last)
            };
        };
        if self.is_joining {
            self.seen = self.seen.max(Some(id));
        }
        if let Some(last) = last {
            if id <= last {
                return EventStep::Skip;
            }
            if id > last + 1 {
                return EventStep::Gap;
            }
        }
        self.is_joining = false;
        self.ends_unnumbered = false;
        EventStep::Forward
    }

    fn step_unnumbered(&mut self, last: Option<u64>) -> EventStep {
        if self.is_joining && self.seen != last {
            // Before the first ID of the run, it may belong to the events that were forwarded or to
            // those that follow them.
            return if self.seen.is_some() { EventStep::Skip } else { EventStep::Gap };
        }
        self.ends_unnumbered = true;
        EventStep::Forward
    }

    /// Returns whether another run can continue the stream after the last forwarded event.
    pub fn can_continue(&self) -> bool {
        !self.ends_unnumbered
    }

    /// Returns whether the end of the current run may be the end of the stream. A run that ends
    /// before the last forwarded event is another stream than the one that it continues.
    pub fn can_end(&self, last: Option<u64>) -> bool {
        !self.is_joining || self.seen.is_none() || self.seen == last
    }

    /// Returns whether the current run continues an earlier one and has sent no new event.
    pub fn is_joining(&self) -> bool {
        self.is_joining
    }
}
