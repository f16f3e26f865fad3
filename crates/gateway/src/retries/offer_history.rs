//! Offers of one request so far.

use dragonflycart_core::ErrorKind;

use crate::{GatewayFailure, PlannedRoute};

/// Status of a failure that tells the caller that the request did not run.
const NOT_RUN_STATUS: u16 = 503;

/// Offers of one request to servers. They decide whether it may be offered again, and whether its
/// caller may be told that it did not run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OfferHistory {
    /// Offers that reached a server.
    arrivals: u32,
    /// Offers that may have run.
    runs: u32,
}

impl OfferHistory {
    /// Records an offer that a server refused without running the request.
    pub fn note_refused(&mut self) {
        self.arrivals += 1;
    }

    /// Records an offer that may have run, because it was answered or its response was lost.
    pub fn note_possible_run(&mut self) {
        self.arrivals += 1;
        self.runs += 1;
    }

    /// Returns the number of offers that reached a server.
    pub fn arrivals(self) -> u32 {
        self.arrivals
    }

    /// Returns whether an offer may have run.
    pub fn may_have_run(self) -> bool {
        self.runs > 0
    }

    /// Returns whether `route` allows a further offer.
    pub fn allows_offer(self, route: &PlannedRoute) -> bool {
        if self.may_have_run() && !route.kind.is_retryable() {
            return false;
        }
        self.runs < route.max_attempts
    }

    /// Returns the failure to report: `failure`, unless it denies a run that may have happened.
    pub fn reported_failure(self, failure: GatewayFailure) -> GatewayFailure {
        if self.may_have_run() && failure.kind.status() == NOT_RUN_STATUS {
            return GatewayFailure::new(ErrorKind::Interrupted, "an earlier offer may have run");
        }
        failure
    }
}
