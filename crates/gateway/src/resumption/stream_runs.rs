//! Runs of one stream so far.

use std::collections::BTreeSet;

use crate::{PlannedRoute, RepeatDenial, RepeatTime, ServerKey};

/// Servers that one stream was offered to, and those that may have run it. They decide whether it may
/// run again. A generation that goes on from its memory does not begin a run.
#[derive(Debug, Clone, Default)]
pub struct StreamRuns {
    /// Servers that were chosen before and get no further offer.
    tried: BTreeSet<ServerKey>,
    /// Offers that reached a server.
    arrivals: u32,
    /// Servers that may have run the request.
    ran_at: BTreeSet<ServerKey>,
    /// Those of them that have left or were cut off since.
    gone: BTreeSet<ServerKey>,
}

impl StreamRuns {
    /// Records that a server was chosen.
    pub fn note_tried(&mut self, server: ServerKey) {
        self.tried.insert(server);
    }

    /// Records an offer that a server refused without running the request.
    pub fn note_refused(&mut self) {
        self.arrivals += 1;
    }

    /// Records an offer that may have run, because it was answered or its response was lost.
    pub fn note_possible_run(&mut self, server: ServerKey) {
        self.arrivals += 1;
        self.tried.insert(server);
        self.ran_at.insert(server);
    }

    /// Records that a server has left or was cut off. Its run does not count any more.
    pub fn note_gone(&mut self, server: ServerKey) {
        if self.ran_at.contains(&server) {
            self.gone.insert(server);
        }
    }

    /// Returns the servers that get no further offer.
    pub fn tried(&self) -> &BTreeSet<ServerKey> {
        &self.tried
    }

    /// Returns the servers that may have run the request.
    pub fn ran_at(&self) -> &BTreeSet<ServerKey> {
        &self.ran_at
    }

    /// Returns the number of offers that reached a server.
    pub fn arrivals(&self) -> u32 {
        self.arrivals
    }

    /// Returns whether an offer may have run.
    pub fn may_have_run(&self) -> bool {
        !self.ran_at.is_empty()
    }

    /// Returns whether the request has run on as many servers as its route allows.
    pub fn are_used_up(&self, route: &PlannedRoute) -> bool {
        self.ran_at.len() - self.gone.len() >= route.max_attempts as usize
    }

    /// Checks whether the request may be offered to another server.
    ///
    /// # Errors
    ///
    /// Returns the reason if it may not.
    pub fn check(&self, route: &PlannedRoute, time: RepeatTime) -> Result<(), RepeatDenial> {
        if !self.may_have_run() {
            return Ok(());
        }
        if !route.may_repeat() {
            return Err(RepeatDenial::NotResumable);
        }
        if self.are_used_up(route) {
            return Err(RepeatDenial::AttemptsUsed);
        }
        if time.left <= time.first_event.unwrap_or_default() {
            return Err(RepeatDenial::DeadlineShort);
        }
        Ok(())
    }
}
