//! Ages of what is known of a server, and the pauses in effect.

use std::time::Duration;

use dragonflycart_core::MonoTime;
use dragonflycart_explanation::{InputAges, ServerExclusion};

use super::{REPORTED_LOAD_AGE, ServerState};

impl ServerState {
    /// Returns the ages of the inputs that count at `now`, without that of the learned speed.
    pub(crate) fn input_ages(&self, now: MonoTime) -> InputAges {
        let reported = self.reported_requests.map(|(at, _)| now.since(at));
        let mut ages = InputAges {
            reported_load_ms: reported.filter(|age| *age <= REPORTED_LOAD_AGE).map(whole_millis),
            ..InputAges::default()
        };
        for age in self.peer_loads.ages(now) {
            let age_ms = whole_millis(age);
            ages.peer_reports += 1;
            let newest = ages.newest_peer_report_ms.map_or(age_ms, |known| known.min(age_ms));
            ages.newest_peer_report_ms = Some(newest);
            ages.oldest_peer_report_ms = ages.oldest_peer_report_ms.max(Some(age_ms));
        }
        ages
    }

    /// Returns what keeps the server itself from accepting requests at `now`.
    pub(crate) fn closed_reasons(&self, now: MonoTime) -> Vec<ServerExclusion> {
        let mut reasons = Vec::new();
        if self.leaving_since.is_some() {
            reasons.push(ServerExclusion::Leaving);
        }
        if self.declines_requests(now) {
            reasons.push(ServerExclusion::PauseAsked);
        }
        if now < self.paused_until {
            // A server that responded since the last failed connection can only have refused.
            reasons.push(if self.connect_failures > 0 {
                ServerExclusion::PauseAfterConnection
            } else {
                ServerExclusion::PauseAfterRefusal
            });
        }
        reasons
    }
}

/// Returns a time in whole milliseconds.
pub(crate) fn whole_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
