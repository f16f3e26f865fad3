//! The simulation as a whole.

use dragonflycart_bench::{RunRow, ScenarioKind, Simulation};
use dragonflycart_policy::policy_names;
use strum::IntoEnumIterator;

/// Guards against a comparison of policies under different requests, and against results that
/// can't be repeated from the seed.
#[test]
fn runs_depend_on_the_seed_only() {
    let mut spec = ScenarioKind::Capacity10.spec();
    spec.duration = 10_000.0;
    spec.drain = 5_000.0;
    let mut arrived = Vec::new();
    for policy in policy_names() {
        let first = Simulation::new(spec.clone(), policy, 3).run();
        let second = Simulation::new(spec.clone(), policy, 3).run();
        assert_eq!(RunRow::new("s", policy, 3, &first), RunRow::new("s", policy, 3, &second));
        arrived.push((first.arrived, first.team_demand));
    }
    arrived.dedup();
    assert_eq!(arrived.len(), 1);
}

/// Guards against a scenario that panics or serves nothing.
#[test]
fn every_scenario_serves_requests() {
    for kind in ScenarioKind::iter() {
        let mut spec = kind.spec();
        spec.duration = 5_000.0;
        spec.drain = 5_000.0;
        for (time, _) in &mut spec.faults {
            *time = 3_000.0;
        }
        let metrics = Simulation::new(spec, "forecast", 1).run();
        assert!(metrics.tokens > 0, "{kind}");
        assert!(metrics.in_time <= metrics.arrived, "{kind}");
    }
}

/// Guards against a policy that stops dispatching under overload instead of rejecting the excess.
#[test]
fn overload_is_rejected_and_the_rest_is_served() {
    let mut spec = ScenarioKind::Capacity20.spec();
    spec.duration = 60_000.0;
    let metrics = Simulation::new(spec, "forecast", 1).run();
    let ended = metrics.in_time + metrics.rejected + metrics.interrupted;
    assert!(ended <= metrics.arrived);
    assert!(metrics.in_time as f64 > 0.4 * metrics.arrived as f64, "{}", metrics.in_time);
}
