//! Slots of the servers of a plain service.

use std::{collections::BTreeSet, time::Duration};

use dragonflycart_core::MonoTime;

use crate::{FleetView, ServerKey};

/// Slots of the servers of one service that are not leaving, as known to this VM.
#[derive(Debug, Clone, PartialEq)]
pub struct SlotSurvey {
    /// Servers without a free slot.
    pub full: BTreeSet<ServerKey>,
    /// Servers that have not told their load lately.
    pub unproven: BTreeSet<ServerKey>,
    /// Number of slots, including those of servers that accept no requests at the moment.
    pub slots: u32,
    /// Whether each server gives the number of its slots.
    pub gives_slots: bool,
    /// Median of the servers' average latencies, if there are any results.
    pub usual_latency: Option<Duration>,
    /// Earliest time at which a server accepts requests, or `None` if there is no server.
    pub opens_at: Option<MonoTime>,
}

impl SlotSurvey {
    /// Surveys the servers of a service, except those in `excluded`.
    pub fn new(
        view: &FleetView,
        service: &str,
        excluded: &BTreeSet<ServerKey>,
        now: MonoTime,
    ) -> SlotSurvey {
        let mut survey = SlotSurvey {
            full: BTreeSet::new(),
            unproven: BTreeSet::new(),
            slots: 0,
            gives_slots: true,
            usual_latency: None,
            opens_at: None,
        };
        let mut latencies_ms = Vec::new();
        for (key, state) in view.servers() {
            if state.record.service != service || excluded.contains(&key) || view.is_closed(key) {
                continue;
            }
            survey.slots = survey.slots.saturating_add(state.record.slots);
            survey.gives_slots &= state.record.slots > 0;
            latencies_ms.extend(state.latency_ms());
            let opens_at = state.opens_at().max(now);
            survey.opens_at = Some(survey.opens_at.map_or(opens_at, |at| at.min(opens_at)));
            if !state.has_free_slot(now) {
                survey.full.insert(key);
            }
            if !state.has_reported_load(now) {
                survey.unproven.insert(key);
            }
        }
        latencies_ms.sort_by(f64::total_cmp);
        survey.usual_latency = latencies_ms
            .get(latencies_ms.len() / 2)
            .map(|ms| Duration::from_secs_f64(ms / 1_000.0));
        survey
    }

    /// Returns the time in which the slots work off the calls that wait, if as many as here wait at
    /// each of the `vms`. `target` stands for the usual latency until there are results.
    pub fn drain_time(&self, waiting: usize, vms: usize, target: Duration) -> Duration {
        let calls = waiting.max(1).saturating_mul(vms.max(1));
        let rounds = calls as f64 / f64::from(self.slots.max(1));
        self.usual_latency.unwrap_or(target).mul_f64(rounds.max(1.0))
    }
}
