//! Counting and merging of events, and the figures computed from the counts.

use std::time::Duration;

use dragonflycart_burn::{
    BurnSnapshot, BurnTracker, LatencyHistogram, SliEvent, SliKind, SliMeasurement, SloDefinition,
};
use dragonflycart_core::{Incarnation, VmOrdinal, WallTime};

const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 3_600_000;
/// A whole hour since 1970, so that the hand calculations start at the edge of a bucket.
const START_MS: u64 = 480_000 * HOUR_MS;

fn at(offset_ms: u64) -> WallTime {
    WallTime::from_unix_millis(START_MS + offset_ms)
}

fn objective(kind: SliKind) -> SloDefinition {
    SloDefinition {
        name: "test".to_owned(),
        route: "report".parse().expect("a name"),
        team: None,
        kind,
        threshold_us: Some(72_000),
        ratio: 0.99,
        window_ms: 24 * HOUR_MS,
    }
}

fn tracker(kind: SliKind, incarnation: u128) -> BurnTracker {
    let zone = "muscat-1".parse().expect("a name");
    BurnTracker::new(zone, VmOrdinal(0), Incarnation(incarnation), at(0), vec![objective(kind)])
}

fn event(measure: SliMeasurement, count: u64) -> SliEvent {
    SliEvent {
        route: "report".parse().expect("a name"),
        team: "yard".parse().expect("a name"),
        zone: "muscat-2".parse().ok(),
        version: "v1".parse().ok(),
        measure,
        count,
    }
}

fn close(found: f64, expected: f64) -> bool {
    (found - expected).abs() < 1e-9
}

/// Guards against wrong burn rates and budgets; the figures were calculated by hand.
///
/// 1 h 10 min before: 900 good, 100 bad. 40 min before: 990 good, 10 bad. 2 min before: 95 good,
/// 5 bad. Allowed share of bad events: 0.01.
#[test]
fn figures_match_the_hand_calculation() {
    let mut tracker = tracker(SliKind::Answered, 1);
    for (minute, good, bad) in [(0, 900, 100), (30, 990, 10), (68, 95, 5)] {
        tracker.record(at(minute * MINUTE_MS), &event(SliMeasurement::Answered(true), good));
        tracker.record(at(minute * MINUTE_MS), &event(SliMeasurement::Answered(false), bad));
    }
    let now = at(70 * MINUTE_MS);

    let snapshot = tracker.snapshot(now);

    let counts = &snapshot.objectives[0];
    assert!(close(counts.burn_rate(now, 5 * MINUTE_MS), 5.0), "5/100 by 0.01");
    assert!(close(counts.burn_rate(now, 30 * MINUTE_MS), 5.0), "5/100 by 0.01");
    assert!(close(counts.burn_rate(now, HOUR_MS), 15.0 / 1_100.0 / 0.01));
    assert!(close(counts.burn_rate(now, 6 * HOUR_MS), 115.0 / 2_100.0 / 0.01));
    assert!(close(counts.budget_left(now), 1.0 - 115.0 / 2_100.0 / 0.01));
    assert_eq!(counts.window_counts(now).total(), 2_100);
}

/// Guards against counting events of other routes, teams or kinds.
#[test]
fn only_covered_events_count() {
    let mut scoped = objective(SliKind::Answered);
    scoped.team = "yard".parse().ok();
    let zone = "muscat-1".parse().expect("a name");
    let mut tracker = BurnTracker::new(zone, VmOrdinal(0), Incarnation(1), at(0), vec![scoped]);
    let mut other_route = event(SliMeasurement::Answered(false), 1);
    other_route.route = "classify".parse().expect("a name");
    let mut other_team = event(SliMeasurement::Answered(false), 1);
    other_team.team = "harbour".parse().expect("a name");

    tracker.record(at(0), &other_route);
    tracker.record(at(0), &other_team);
    tracker.record(at(0), &event(SliMeasurement::WithinDeadline(false), 1));
    tracker.record(at(0), &event(SliMeasurement::Answered(true), 1));

    let counts = tracker.snapshot(at(0)).objectives[0].window_counts(at(0));
    assert_eq!((counts.good, counts.bad), (1, 0));
}

/// Guards against an off-by-one at the threshold: a time equal to it is good.
#[test]
fn a_time_equal_to_the_threshold_is_good() {
    let mut tracker = tracker(SliKind::TokenGap, 1);

    tracker.record(at(0), &event(SliMeasurement::TokenGap(Duration::from_micros(72_000)), 3));
    tracker.record(at(0), &event(SliMeasurement::TokenGap(Duration::from_micros(72_001)), 2));

    let counts = tracker.snapshot(at(0)).objectives[0].window_counts(at(0));
    assert_eq!((counts.good, counts.bad), (3, 2));
}

/// Guards against counts that stay in memory for ever, and against pruning buckets still in use.
#[test]
fn old_buckets_are_dropped() {
    let mut tracker = tracker(SliKind::Answered, 1);
    tracker.record(at(0), &event(SliMeasurement::Answered(false), 7));

    let same_day = tracker.clone().snapshot(at(23 * HOUR_MS));
    let next_day = tracker.clone().snapshot(at(24 * HOUR_MS));
    let next_month = tracker.snapshot(at(720 * HOUR_MS));

    let counts = &same_day.objectives[0];
    assert_eq!(counts.window_counts(at(23 * HOUR_MS)).bad, 7);
    assert!(counts.teams.is_empty() && counts.minutes.iter().next().is_none());
    assert_eq!(next_day.objectives[0].window_counts(at(24 * HOUR_MS)).bad, 0);
    assert!(next_month.objectives[0].hours.iter().next().is_none());
}

/// Guards against a merge that loses or duplicates events, and against a JSON format that changes
/// figures: the counts of two VMs, sent as JSON and merged, equal those of one VM that counts
/// everything.
#[test]
fn merged_counts_equal_counts_of_one_vm() {
    let mut first = tracker(SliKind::TokenGap, 1);
    let mut second = tracker(SliKind::TokenGap, 2);
    let mut single = tracker(SliKind::TokenGap, 3);
    for step in 0..200_u64 {
        let gap = Duration::from_millis(20 + step * 7 % 90);
        let gap_event = event(SliMeasurement::TokenGap(gap), 1 + step % 3);
        let now = at(step * 90_000);
        let part = if step % 2 == 0 { &mut first } else { &mut second };
        part.record(now, &gap_event);
        single.record(now, &gap_event);
    }
    let now = at(200 * 90_000);
    let over_wire = |tracker: &mut BurnTracker| -> BurnSnapshot {
        let text = serde_json::to_string(&tracker.snapshot(now)).expect("serialisable");
        serde_json::from_str(&text).expect("readable")
    };

    let mut merged = over_wire(&mut first).objectives.remove(0);
    let accepted = merged.merge(&over_wire(&mut second).objectives[0]);

    assert!(accepted);
    assert_eq!(merged, single.snapshot(now).objectives[0]);
}

/// Guards against adding counts of different definitions, which VMs have while new settings are
/// rolled out.
#[test]
fn different_definitions_do_not_merge() {
    let mut changed = objective(SliKind::Answered);
    changed.ratio = 0.95;
    let mut first = tracker(SliKind::Answered, 1).snapshot(at(0)).objectives.remove(0);
    let mut second = first.clone();
    second.objective = changed;

    assert!(!first.merge(&second));
}

/// Guards against percentiles outside the stated precision of 1%.
#[test]
fn quantiles_are_within_one_percent() {
    let mut histogram = LatencyHistogram::new();
    for millis in 1..=1_000 {
        histogram.record(Duration::from_millis(millis), 1);
    }

    let p95 = histogram.quantile(0.95).expect("there are events").as_secs_f64();

    assert!((p95 - 0.95).abs() < 0.0095, "{p95}");
    assert_eq!(LatencyHistogram::new().quantile(0.95), None);
}

/// Guards against counts that exceed the memory of a VM or the response limit of the administration
/// API at the design scale: 30 objectives, 200 teams, 7 zones, 62 versions, events in every minute
/// of 6 h and in every hour of 30 days.
#[test]
fn counts_at_the_design_scale_fit_the_response_limit() {
    let zone = "muscat-1".parse().expect("a name");
    let mut objectives = Vec::new();
    for number in 0..30 {
        let mut objective = objective(SliKind::TokenGap);
        objective.name = format!("objective-{number}");
        objective.window_ms = 720 * HOUR_MS;
        objectives.push(objective);
    }
    let mut tracker = BurnTracker::new(zone, VmOrdinal(0), Incarnation(1), at(0), objectives);
    for step in 0..720 + 360_u64 {
        let now = if step < 714 {
            at(step * HOUR_MS)
        } else {
            at(714 * HOUR_MS + (step - 714) * MINUTE_MS)
        };
        for part in 0..4 {
            let number = step * 4 + part;
            let mut gap_event =
                event(SliMeasurement::TokenGap(Duration::from_micros(number * 97)), 1);
            gap_event.team = format!("team-{}", number % 200).parse().expect("a name");
            gap_event.zone = format!("zone-{}", number % 7).parse().ok();
            gap_event.version = format!("version-{}", number % 62).parse().ok();
            tracker.record(now, &gap_event);
        }
    }

    let snapshot = tracker.snapshot(at(720 * HOUR_MS));

    let size = serde_json::to_vec(&snapshot).expect("serialisable").len();
    println!("{size} bytes of JSON, {} teams", snapshot.objectives[0].teams.len());
    assert_eq!(snapshot.objectives[0].teams.len(), 200);
    assert!(size < 16 << 20, "{size} bytes");
}
