//! Event counts of one objective.

use std::collections::BTreeMap;

use dragonflycart_core::{TeamName, VersionName, WallTime, ZoneName};
use serde::{Deserialize, Serialize};

use crate::{BucketSeries, EventCounts, LatencyHistogram, SliEvent, SloDefinition};

/// Length of the buckets that burn rates are computed from.
pub(crate) const MINUTE_MS: u64 = 60_000;
/// Length of the buckets that error budgets are computed from.
pub(crate) const HOUR_MS: u64 = 3_600_000;
/// Minute buckets kept: the longest burn-rate window, 6 h.
const MINUTES_KEPT: u64 = 360;
/// Hour buckets kept: the longest objective window, 30 days.
const HOURS_KEPT: u64 = 720;
/// Hour buckets kept in the breakdowns by team, zone and version. There is one breakdown for each
/// rather than one for all combinations: 200 teams by 7 zones by 60 versions would not fit into the
/// memory of a VM.
const BREAKDOWN_HOURS_KEPT: u64 = 6;

/// Event counts of one objective, of one VM or merged over several.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ObjectiveSnapshot {
    /// Definition.
    pub objective: SloDefinition,
    /// Counts per minute, for burn rates.
    pub minutes: BucketSeries,
    /// Counts per hour, for the error budget.
    pub hours: BucketSeries,
    /// Counts per team over the last 6 h.
    pub teams: BTreeMap<TeamName, BucketSeries>,
    /// Counts per availability zone of the backend server.
    pub zones: BTreeMap<ZoneName, BucketSeries>,
    /// Counts per model version.
    pub versions: BTreeMap<VersionName, BucketSeries>,
    /// Measured times, for the kinds that measure one.
    pub latency: LatencyHistogram,
}

impl ObjectiveSnapshot {
    /// Creates a snapshot without events.
    pub fn new(objective: SloDefinition) -> ObjectiveSnapshot {
        ObjectiveSnapshot {
            objective,
            minutes: BucketSeries::new(MINUTE_MS),
            hours: BucketSeries::new(HOUR_MS),
            teams: BTreeMap::new(),
            zones: BTreeMap::new(),
            versions: BTreeMap::new(),
            latency: LatencyHistogram::new(),
        }
    }

    /// Counts an event that the objective covers.
    pub(crate) fn record(&mut self, now: WallTime, event: &SliEvent) {
        let good = self.objective.is_good(event.measure);
        self.minutes.record(now, good, event.count);
        self.hours.record(now, good, event.count);
        record_breakdown(&mut self.teams, Some(&event.team), now, good, event.count);
        record_breakdown(&mut self.zones, event.zone.as_ref(), now, good, event.count);
        record_breakdown(&mut self.versions, event.version.as_ref(), now, good, event.count);
        if let Some(duration) = event.measure.duration() {
            self.latency.record(duration, event.count);
        }
    }

    /// Drops buckets that no figure uses any more.
    pub(crate) fn prune(&mut self, now: WallTime) {
        self.minutes.prune(now, MINUTES_KEPT);
        self.hours.prune(now, HOURS_KEPT);
        prune_breakdown(&mut self.teams, now);
        prune_breakdown(&mut self.zones, now);
        prune_breakdown(&mut self.versions, now);
    }

    /// Adds the counts of another VM.
    ///
    /// Returns `false` and changes nothing if the definitions differ: an event that is good by one
    /// may be bad by the other, so the sums would mean nothing.
    pub fn merge(&mut self, other: &ObjectiveSnapshot) -> bool {
        if self.objective != other.objective {
            return false;
        }
        self.minutes.merge(&other.minutes);
        self.hours.merge(&other.hours);
        merge_breakdown(&mut self.teams, &other.teams);
        merge_breakdown(&mut self.zones, &other.zones);
        merge_breakdown(&mut self.versions, &other.versions);
        self.latency.merge(&other.latency);
        true
    }

    /// Returns the counts over the objective's window.
    pub fn window_counts(&self, now: WallTime) -> EventCounts {
        self.hours.sum(now, self.objective.window_ms)
    }

    /// Returns the burn rate over `window_ms`, at most 6 h: the share of bad events divided by the
    /// allowed share. At 1 the error budget is used up exactly at the end of the objective's
    /// window.
    pub fn burn_rate(&self, now: WallTime, window_ms: u64) -> f64 {
        self.minutes.sum(now, window_ms).bad_share() / self.allowed_bad_share()
    }

    /// Returns the share of the error budget that is left; negative if it is overdrawn.
    pub fn budget_left(&self, now: WallTime) -> f64 {
        1.0 - self.window_counts(now).bad_share() / self.allowed_bad_share()
    }

    fn allowed_bad_share(&self) -> f64 {
        (1.0 - self.objective.ratio).max(f64::EPSILON)
    }
}

fn record_breakdown<K: Ord + Clone>(
    breakdown: &mut BTreeMap<K, BucketSeries>,
    key: Option<&K>,
    now: WallTime,
    good: bool,
    count: u64,
) {
    let Some(key) = key else { return };
    if let Some(series) = breakdown.get_mut(key) {
        series.record(now, good, count);
        return;
    }
    let mut series = BucketSeries::new(HOUR_MS);
    series.record(now, good, count);
    breakdown.insert(key.clone(), series);
}

fn prune_breakdown<K: Ord>(breakdown: &mut BTreeMap<K, BucketSeries>, now: WallTime) {
    breakdown.retain(|_, series| {
        series.prune(now, BREAKDOWN_HOURS_KEPT);
        series.iter().next().is_some()
    });
}

fn merge_breakdown<K: Ord + Clone>(
    breakdown: &mut BTreeMap<K, BucketSeries>,
    other: &BTreeMap<K, BucketSeries>,
) {
    for (key, series) in other {
        breakdown.entry(key.clone()).or_insert_with(|| BucketSeries::new(HOUR_MS)).merge(series);
    }
}
