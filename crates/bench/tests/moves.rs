//! Outcomes of the version move experiment for a few seeds.

use dragonflycart_bench::{
    MovesBaseline, MovesCase, MovesRun,
    MovesScenario::{self, BadLater, BadUnderLoad, Good, LittleTraffic, PartitionBad},
};

/// Guards against moves that end in the wrong state, late, without a report or in different states
/// on different VMs. The example `moves` runs 200 seeds.
#[test]
fn each_scenario_ends_as_it_should() {
    // A subset, because a run takes four seconds without optimization.
    for scenario in [Good, BadLater, BadUnderLoad, LittleTraffic, PartitionBad] {
        let outcome = MovesRun::new(MovesCase::draw(scenario, 1)).unwrap().run();
        let little = scenario == LittleTraffic;
        let expected = if scenario.is_bad() || little { "rolled_back" } else { "done" };

        assert_eq!(outcome.state, expected, "{scenario}: {}", outcome.reason);
        assert!(!outcome.late && !outcome.split, "{scenario}");
        assert!(!outcome.reason.is_empty(), "{scenario}");
    }
}

/// Guards against an experiment that can't be repeated from its seed.
#[test]
fn a_run_is_repeatable() {
    let run = || MovesRun::new(MovesCase::draw(MovesScenario::BadAtOnce, 3)).unwrap().run();
    let (a, b) = (run(), run());
    assert_eq!((a.new_requests, a.reason), (b.new_requests, b.reason));
}

/// Guards against a baseline that is too weak to compare with. It must roll back a version that
/// fails from the start within two checks, that is 60 s.
#[test]
fn the_baseline_finds_a_bad_version() {
    let outcome = MovesBaseline::default().run(&MovesCase::draw(MovesScenario::BadAtOnce, 1));
    assert_eq!(outcome.state, "rolled_back");
    assert!(outcome.ended_s <= 60.0);
}

/// Guards against a move that ends late, without a report or in two states when a partition lasts
/// beyond the deadline. Each side must end the move on time, and a rollback on either side must win
/// once the sides are connected again.
#[test]
fn a_partition_over_the_deadline_ends_on_time_and_in_one_state() {
    let mut case = MovesCase::draw(MovesScenario::BadLater, 2);
    case.partition = Some((300.0, 1_500.0));

    let outcome = MovesRun::new(case).unwrap().run();

    assert!(!outcome.late && !outcome.split, "{outcome:?}");
    assert_eq!(outcome.state, "rolled_back");
}
