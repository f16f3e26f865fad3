//! Counts of one objective.

use std::collections::BTreeMap;

use dragonflycart_core::{TeamName, VersionName, WallTime, ZoneName};
use serde::{Deserialize, Serialize};

use crate::{BucketSeries, EventCounts, LatencyHistogram, SliEvent, SloDefinition};

/// Length of the short periods.
pub(crate) const MINUTE_MS: u64 = 60_000;
/// Length of the long periods.
pub(crate) const HOUR_MS: u64 = 3_600_000;
/// Short periods kept: the longest burn-rate window of 6 h.
const MINUTES_KEPT: u64 = 360;
/// Long periods kept: the longest objective window of 30 days.
const HOURS_KEPT: u64 = 720;
/// Hours kept of the counts per team, zone and version. They are kept apart rather than per
/// combination: 200 teams by 7 zones by 60 versions would not fit the memory of a VM.
const DETAIL_HOURS_KEPT: u64 = 6;

/// Counts of one objective, on one VM or merged over several.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ObjectiveSnapshot {
    /// Definition.
    pub objective: SloDefinition,
    /// Counts per minute, for burn rates.
    pub minutes: BucketSeries,
    /// Counts per hour, for the error budget.
    pub hours: BucketSeries,
    /// Counts per team over the last hours.
    pub teams: BTreeMap<TeamName, BucketSeries>,
    /// Counts per availability zone of the backend server.
    pub zones: BTreeMap<ZoneName, BucketSeries>,
    /// Counts per model version.
    pub versions: BTreeMap<VersionName, BucketSeries>,
    /// Measured times, for the kinds that have one.
    pub latency: LatencyHistogram,
}

impl ObjectiveSnapshot {
    /// Starts without events.
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
        record_detail(&mut self.teams, Some(&event.team), now, good, event.count);
        record_detail(&mut self.zones, event.zone.as_ref(), now, good, event.count);
        record_detail(&mut self.versions, event.version.as_ref(), now, good, event.count);
        if let Some(span) = event.measure.span() {
            self.latency.record(span, event.count);
        }
    }

    /// Drops periods that no figure needs any more.
    pub(crate) fn prune(&mut self, now: WallTime) {
        self.minutes.prune(now, MINUTES_KEPT);
        self.hours.prune(now, HOURS_KEPT);
        prune_detail(&mut self.teams, now);
        prune_detail(&mut self.zones, now);
        prune_detail(&mut self.versions, now);
    }

    /// Adds the counts of another VM.
    ///
    /// Returns `false` and changes nothing if the definitions differ, since events that are good
    /// by one and bad by the other can't be added.
    pub fn merge(&mut self, other: &ObjectiveSnapshot) -> bool {
        if self.objective != other.objective {
            return false;
        }
        self.minutes.merge(&other.minutes);
        self.hours.merge(&other.hours);
        merge_detail(&mut self.teams, &other.teams);
        merge_detail(&mut self.zones, &other.zones);
        merge_detail(&mut self.versions, &other.versions);
        self.latency.merge(&other.latency);
        true
    }

    /// Returns the counts of the objective's window.
    pub fn window_counts(&self, now: WallTime) -> EventCounts {
        self.hours.sum(now, self.objective.window_ms)
    }

    /// Returns how many times faster than allowed the error budget was used over `window_ms`, at
    /// most 6 h. At 1 the budget is used up exactly at the end of the objective's window.
    pub fn burn_rate(&self, now: WallTime, window_ms: u64) -> f64 {
        self.minutes.sum(now, window_ms).bad_share() / self.allowed_share()
    }

    /// Returns the share of the error budget that is left; negative if it is overdrawn.
    pub fn budget_left(&self, now: WallTime) -> f64 {
        1.0 - self.window_counts(now).bad_share() / self.allowed_share()
    }

    fn allowed_share(&self) -> f64 {
        (1.0 - self.objective.ratio).max(f64::EPSILON)
    }
}

fn record_detail<K: Ord + Clone>(
    detail: &mut BTreeMap<K, BucketSeries>,
    key: Option<&K>,
    now: WallTime,
    good: bool,
    count: u64,
) {
    let Some(key) = key else { return };
    if let Some(series) = detail.get_mut(key) {
        series.record(now, good, count);
        return;
    }
    let mut series = BucketSeries::new(HOUR_MS);
    series.record(now, good, count);
    detail.insert(key.clone(), series);
}

fn prune_detail<K: Ord>(detail: &mut BTreeMap<K, BucketSeries>, now: WallTime) {
    detail.retain(|_, series| {
        series.prune(now, DETAIL_HOURS_KEPT);
        series.iter().next().is_some()
    });
}

fn merge_detail<K: Ord + Clone>(
    detail: &mut BTreeMap<K, BucketSeries>,
    other: &BTreeMap<K, BucketSeries>,
) {
    for (key, series) in other {
        detail.entry(key.clone()).or_insert_with(|| BucketSeries::new(HOUR_MS)).merge(series);
    }
}
