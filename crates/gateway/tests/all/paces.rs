//! How long generations are expected to take.

use std::time::Duration;

use dragonflycart_gateway::{GenerationPace, WorkDemand};

use crate::fixtures::{ENGINES, view};

/// Pace of an engine that takes 400 ms to the first event and 9 ms a token.
fn usual_pace() -> GenerationPace {
    let mut pace = GenerationPace::default();
    for _ in 0..20 {
        pace.note_first_event(Duration::from_millis(400));
        pace.note_tokens(64, Duration::from_millis(576));
    }
    pace
}

/// VMs that stop in turn: a stream that began just after the stop was cut at the end of the grace
/// period, although another VM could have served it whole.
#[test]
fn long_generation_does_not_end_within_a_grace_period_and_a_short_one_does() {
    let mut view = view(&["a"]);
    *view.pace_mut(ENGINES) = usual_pace();
    let long = WorkDemand::estimate(3_000, 1_600, Some(930));
    let short = WorkDemand::estimate(2_200, 100, Some(16));

    assert!(!view.ends_within(ENGINES, long, Duration::from_millis(7_700)));
    assert!(view.ends_within(ENGINES, long, Duration::from_millis(9_000)));
    assert!(view.ends_within(ENGINES, short, Duration::from_millis(700)));
}

/// A VM that has just started must not refuse what it knows nothing of.
#[test]
fn nothing_is_expected_of_a_service_without_generations() {
    let view = view(&["a"]);

    assert!(view.ends_within(ENGINES, WorkDemand::estimate(3_000, 1_600, None), Duration::ZERO));
}

/// The pace follows engines that slow down as they fill.
#[test]
fn pace_follows_the_newest_generations() {
    let mut pace = usual_pace();
    let demand = WorkDemand::estimate(3_000, 2_000, Some(1_000));
    let before = pace.expected_time(demand).unwrap();

    for _ in 0..30 {
        pace.note_tokens(64, Duration::from_millis(1_152));
    }

    let after = pace.expected_time(demand).unwrap();
    assert!(after > before + Duration::from_secs(8), "{before:?} before, {after:?} after");
}
