//! Expected duration of generations.

use std::time::Duration;

use dragonflycart_gateway::{GenerationTiming, TokenDemand};

use crate::fixtures::{ENGINES, view};

/// Timing of an engine that takes 400 ms to the first event and 9 ms per token.
fn usual_timing() -> GenerationTiming {
    let mut timing = GenerationTiming::default();
    for _ in 0..20 {
        timing.note_first_event(Duration::from_millis(400));
        timing.note_tokens(64, Duration::from_millis(576));
    }
    timing
}

/// During a rolling restart of VMs, a stream that began just after the start of the planned stop
/// was cut off at the end of the grace period, although another VM could have served it completely.
#[test]
fn long_generation_does_not_end_within_a_grace_period_and_a_short_one_does() {
    let mut view = view(&["a"]);
    *view.timing_mut(ENGINES) = usual_timing();
    let long = TokenDemand::estimate(3_000, 1_600, Some(930));
    let short = TokenDemand::estimate(2_200, 100, Some(16));

    assert!(!view.ends_within(ENGINES, long, Duration::from_millis(7_700)));
    assert!(view.ends_within(ENGINES, long, Duration::from_millis(9_000)));
    assert!(view.ends_within(ENGINES, short, Duration::from_millis(700)));
}

/// A VM that has just started has no timing yet and must not refuse generations.
#[test]
fn nothing_is_expected_of_a_service_without_generations() {
    let view = view(&["a"]);

    assert!(view.ends_within(ENGINES, TokenDemand::estimate(3_000, 1_600, None), Duration::ZERO));
}

/// The timing must adapt to engines that slow down as they fill.
#[test]
fn timing_follows_the_newest_generations() {
    let mut timing = usual_timing();
    let demand = TokenDemand::estimate(3_000, 2_000, Some(1_000));
    let before = timing.expected_time(demand).unwrap();

    for _ in 0..30 {
        timing.note_tokens(64, Duration::from_millis(1_152));
    }

    let after = timing.expected_time(demand).unwrap();
    assert!(after > before + Duration::from_secs(8), "{before:?} before, {after:?} after");
}
