//! Report on one objective.

use std::collections::BTreeMap;

use dragonflycart_burn::{ObjectiveSnapshot, SloDefinition};
use dragonflycart_core::WallTime;
use serde::{Deserialize, Serialize};

use crate::{BurnAlert, WorstEntry, burn_alert::RATE_WINDOWS_MS};

/// Reported quantiles of measured times.
const QUANTILES: [(&str, f64); 3] = [("p50", 0.5), ("p95", 0.95), ("p99", 0.99)];

/// Figures of one objective over all VMs that responded.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ObjectiveReport {
    /// Definition of the objective.
    pub objective: SloDefinition,
    /// Events in the objective's window.
    pub total: u64,
    /// Bad events in the objective's window.
    pub bad: u64,
    /// Share of the error budget that is left; negative if it is overdrawn.
    pub budget_left: f64,
    /// Burn rates, by window in minutes.
    pub burn_rates: BTreeMap<u64, f64>,
    /// Alert on the burn rates.
    pub alert: BurnAlert,
    /// Quantiles of measured times in microseconds, for the kinds that measure one.
    pub latency_us: BTreeMap<String, u64>,
    /// Teams with the most bad events over the last 6 h.
    pub worst_teams: Vec<WorstEntry>,
    /// Availability zones with the most bad events over the last 6 h.
    pub worst_zones: Vec<WorstEntry>,
    /// Model versions with the most bad events over the last 6 h.
    pub worst_versions: Vec<WorstEntry>,
    /// Start of each minute with events in milliseconds since 1970, and its share of bad events.
    pub minutes: Vec<(u64, f64)>,
}

impl ObjectiveReport {
    /// Computes the figures at `now`.
    pub fn new(counts: &ObjectiveSnapshot, now: WallTime) -> ObjectiveReport {
        let window = counts.window_counts(now);
        let rate = |window_ms: u64| (window_ms / 60_000, counts.burn_rate(now, window_ms));
        let mut latency_us = BTreeMap::new();
        for (name, quantile) in QUANTILES {
            if let Some(duration) = counts.latency.quantile(quantile) {
                latency_us.insert(name.to_owned(), duration.as_micros() as u64);
            }
        }
        ObjectiveReport {
            objective: counts.objective.clone(),
            total: window.total(),
            bad: window.bad,
            budget_left: counts.budget_left(now),
            burn_rates: RATE_WINDOWS_MS.into_iter().map(rate).collect(),
            alert: BurnAlert::evaluate(counts, now),
            latency_us,
            worst_teams: WorstEntry::rank(&counts.teams, now),
            worst_zones: WorstEntry::rank(&counts.zones, now),
            worst_versions: WorstEntry::rank(&counts.versions, now),
            minutes: counts.minutes.iter().map(|(start, sum)| (start, sum.bad_share())).collect(),
        }
    }

    /// Returns the burn rate over a window in minutes, or 0 if it is not reported.
    pub fn burn_rate(&self, minutes: u64) -> f64 {
        self.burn_rates.get(&minutes).copied().unwrap_or_default()
    }
}
