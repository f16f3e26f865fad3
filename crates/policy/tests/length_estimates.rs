//! Estimates of output lengths and forecasts of memory use.

use dragonflycart_policy::{LengthEstimator, MemoryForecast, RouteKey, TeamKey};

const TEAM: TeamKey = TeamKey(1);
const ROUTE: RouteKey = RouteKey(1);

/// Guards against estimates that ignore what was observed.
#[test]
fn quantiles_follow_the_observations() {
    let mut lengths = LengthEstimator::new(400);
    for number in 0..1_000 {
        // The lengths are in mixed order, because recent observations count more.
        lengths.record(TEAM, ROUTE, 100 + number * 617 % 1_000);
    }
    for (quantile, expected) in [(0.1, 200.0), (0.5, 600.0), (0.9, 1_000.0)] {
        let estimate = f64::from(lengths.remaining(TEAM, ROUTE, 0, quantile));
        assert!((estimate / expected - 1.0).abs() < 0.25, "{quantile}: {estimate}");
    }
}

/// Guards against a remaining length that doesn't depend on the length already reached.
#[test]
fn remainder_is_conditional_on_the_length_reached() {
    let mut lengths = LengthEstimator::new(400);
    for _ in 0..200 {
        lengths.record(TEAM, ROUTE, 50);
        lengths.record(TEAM, ROUTE, 5_000);
    }
    assert!(lengths.remaining(TEAM, ROUTE, 0, 0.4) < 100);
    let after = lengths.remaining(TEAM, ROUTE, 200, 0.4);
    assert!((4_000..6_000).contains(&after), "{after}");
}

/// Guards against estimates that follow a shift of the distribution too slowly.
#[test]
fn estimates_follow_a_shift() {
    let mut lengths = LengthEstimator::new(400);
    for _ in 0..5_000 {
        lengths.record(TEAM, ROUTE, 100);
    }
    for _ in 0..600 {
        lengths.record(TEAM, ROUTE, 3_000);
    }
    let median = lengths.remaining(TEAM, ROUTE, 0, 0.5);
    assert!(median > 2_000, "{median}");
}

/// Guards against a new team whose estimate ignores what is known about the route.
#[test]
fn new_team_starts_from_its_route() {
    let mut lengths = LengthEstimator::new(400);
    for _ in 0..500 {
        lengths.record(TEAM, ROUTE, 3_000);
    }
    let median = lengths.remaining(TeamKey(2), ROUTE, 0, 0.5);
    assert!((2_500..3_600).contains(&median), "{median}");
}

/// Guards against a remaining length of zero, or a panic, for lengths above all observations.
#[test]
fn length_beyond_all_observations_has_a_remainder() {
    let lengths = LengthEstimator::new(10);
    for reached in [0, 1, 1_000, 100_000, 1_000_000] {
        assert!(lengths.remaining(TEAM, ROUTE, reached, 0.5) >= 1);
    }
}

/// Guards against a wrong peak. The expected values are computed by hand: A holds 100 and needs 10
/// more, B holds 50 and needs 100 more. When A ends, A and B hold 110 + 60 = 170; when B ends, it
/// holds 150.
#[test]
fn peak_is_the_largest_sum_over_time() {
    let mut forecast = MemoryForecast::default();
    forecast.add(100.0, 10.0, 1.0);
    forecast.prepare();
    assert_eq!(forecast.peak_with(50.0, 100.0, 1.0), 170.0);
    // With a third request that holds 20 and needs 300 more: 110 + 60 + 30 = 200 when A ends,
    // 150 + 120 = 270 when B ends, 320 at the end.
    forecast.add(50.0, 100.0, 1.0);
    forecast.prepare();
    assert_eq!(forecast.peak_with(20.0, 300.0, 1.0), 320.0);
}
