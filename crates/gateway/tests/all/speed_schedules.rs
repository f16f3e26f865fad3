//! Tests of the schedule of measured speeds.

use std::{collections::BTreeSet, time::Duration};

use dragonflycart_gateway::SpeedSchedule;

use crate::fixtures::at;

/// Interval of reports.
const INTERVAL: Duration = Duration::from_millis(100);

/// Guards against speeds that are never sent in a small fleet under load: each report of a change
/// of load postponed the next report at an interval, and only those contained speeds.
#[test]
fn reports_of_changes_contain_speeds_once_per_interval() {
    let mut schedule = SpeedSchedule::default();

    let changes = (0..1_000).step_by(10).map(|ms| schedule.next_turn(true, INTERVAL, at(ms)));
    let turns: Vec<u64> = changes.flatten().collect();

    assert_eq!(turns, (1..=10).collect::<Vec<_>>());
}

/// Guards against servers whose speed is never reported: reports of changes within the zone used up
/// turns, so that the reports with speeds could select the same servers again and again.
#[test]
fn reports_within_the_zone_use_no_turn() {
    let mut schedule = SpeedSchedule::default();

    let mut turns = BTreeSet::new();
    for ms in (0..1_000).step_by(100) {
        for change in 0..7 {
            assert_eq!(schedule.next_turn(false, INTERVAL, at(ms + change)), None);
        }
        turns.extend(schedule.next_turn(true, INTERVAL, at(ms)));
    }

    assert_eq!(turns, (1..=10).collect());
}
