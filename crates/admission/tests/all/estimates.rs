//! Estimates of waits. Each test describes its load pattern.

use std::time::Duration;

use dragonflycart_admission::{
    AdmissionTable, EstimateInputs, FreedRate, WaitEstimate, maximum_wait,
};

use crate::fixtures::{ENGINES, LONG_TOKENS, at, inputs, long};

/// Pattern: a short overload. A request was refused after three latency targets although its caller
/// would have waited longer.
#[test]
fn request_may_wait_as_long_as_its_caller() {
    let millis = Duration::from_millis;
    let maximum = |target_ms, limit_ms, expected_ms| {
        maximum_wait(millis(target_ms), millis(limit_ms), millis(expected_ms))
    };

    assert_eq!(maximum(4_000, 39_000, 500), millis(15_500));
    assert_eq!(maximum(300, 6_000, 500), millis(1_500), "callers wait 2 s at least");
    assert_eq!(maximum(1_500, 6_000, 9_000), millis(3_000), "slow engines");
    assert_eq!(maximum(4_000, 3_000, 500), millis(2_500), "a second attempt with less time");
}

/// Pattern: a long queue. A request that waits in vain learns it only when its caller gives up.
#[test]
fn request_that_would_wait_in_vain_is_refused_and_others_are_not() {
    let estimate = WaitEstimate::from_inputs(inputs());

    assert_eq!(estimate.wait, Duration::from_secs(2));
    assert!(estimate.exceeds(Duration::from_millis(1_500)));
    assert!(!estimate.exceeds(Duration::from_millis(1_700)), "within the margin");
}

/// Pattern: the engines have room that the requests ahead leave. Nobody must be refused then.
#[test]
fn request_that_fits_does_not_wait() {
    let estimate = WaitEstimate::from_inputs(EstimateInputs { room_tokens: 20_000, ..inputs() });

    assert_eq!(estimate.wait, Duration::ZERO);
    assert!(!estimate.exceeds(Duration::ZERO));
}

/// Pattern: a VM has just started, or nothing became free for long. A guess must not refuse anyone.
#[test]
fn doubtful_estimate_admits() {
    let unknown = [
        EstimateInputs { freed_per_s: 0.0, ..inputs() },
        EstimateInputs { freed_per_s: f64::NAN, ..inputs() },
        EstimateInputs { freed_samples: 2.0, ..inputs() },
        EstimateInputs { wait_ratio: (3.5, 10.0), ..inputs() },
    ];

    for inputs in unknown {
        let estimate = WaitEstimate::from_inputs(inputs);
        assert!(estimate.is_doubtful, "{inputs:?}");
        assert!(!estimate.exceeds(Duration::ZERO), "{inputs:?}");
    }
}

/// Pattern: generations end one after the other, then none for some time. The rate must follow.
#[test]
fn rate_follows_what_became_free() {
    let mut freed = FreedRate::default();
    for index in 0..100 {
        freed.note(1_000, at(index * 100));
    }

    let busy = freed.per_second(at(10_000));
    let idle = freed.per_second(at(25_000));

    assert!((9_000.0..11_500.0).contains(&busy), "{busy}");
    assert!(idle < 0.1 * busy, "{idle}");
    assert!(freed.samples(at(25_000)) < 3.0, "the estimate is doubtful by then");
}

/// Pattern: estimates are too short by half, since the engines slow down. The later ones are
/// corrected.
#[test]
fn estimates_that_are_off_are_corrected() {
    let mut table = AdmissionTable::default();
    for index in 0..50 {
        table.note_freed(ENGINES, LONG_TOKENS, at(index * 100));
    }
    let now = at(5_000);
    let id = table.enqueue(long("a", now), now);
    let inputs = table.estimate_inputs(id, (ENGINES, 35_000), Duration::MAX, 0, now);
    let before = WaitEstimate::from_inputs(inputs);

    for _ in 0..40 {
        table.note_wait(ENGINES, before, 2.0 * before.uncorrected.as_secs_f64());
    }

    let inputs = table.estimate_inputs(id, (ENGINES, 35_000), Duration::MAX, 0, now);
    let after = WaitEstimate::from_inputs(inputs);
    let ratio = after.wait.as_secs_f64() / before.wait.as_secs_f64();
    assert!((1.9..2.1).contains(&ratio), "{ratio}");
    assert!(!after.is_doubtful);
    assert_eq!(after.uncorrected, before.uncorrected);
}

/// Pattern: many requests wait that are late. A request that begins in time does not wait for them;
/// one that becomes late goes behind them.
#[test]
fn late_requests_count_only_if_the_wait_makes_the_request_late() {
    let late = EstimateInputs { late_tokens: 50_000, ..inputs() };

    let timely = EstimateInputs { late_in: Duration::from_secs(3), ..late };
    let becomes_late = EstimateInputs { late_in: Duration::from_secs(1), ..late };

    assert_eq!(WaitEstimate::from_inputs(timely).wait, Duration::from_secs(2));
    assert_eq!(WaitEstimate::from_inputs(becomes_late).wait, Duration::from_secs(7));
}

/// Pattern: a large team fills the queues of all VMs. A request of a small team goes before them and
/// must not be refused because of them.
#[test]
fn requests_of_teams_with_more_use_are_not_ahead() {
    let mut table = AdmissionTable::default();
    for index in 0..10 {
        table.note_freed(ENGINES, LONG_TOKENS, at(index * 100));
        table.enqueue(long("large", at(900)), at(900));
    }
    let now = at(1_000);
    table.team_use.charge("large", 200_000, now);
    table.team_use.charge("small", 1_000, now);

    let mut ahead_of = |team| {
        let id = table.enqueue(long(team, now), now);
        table.estimate_inputs(id, (ENGINES, LONG_TOKENS), Duration::MAX, 0, now).ahead_tokens
    };

    assert_eq!(ahead_of("large"), 10 * LONG_TOKENS);
    assert!(ahead_of("small") < LONG_TOKENS);
}

/// Pattern: a VM is suspended for minutes with requests that wait. Its clock stood still, so all its
/// figures look fresh when it goes on. It must not refuse or order requests by them.
#[test]
fn suspended_vm_drops_its_figures_and_keeps_its_requests() {
    let mut table = AdmissionTable::default();
    let id = table.enqueue(long("studio", at(0)), at(0));
    for index in 0..10 {
        table.note_freed(ENGINES, 100, at(index * 100));
    }
    table.team_use.charge("studio", 50_000, at(1_000));
    table.note_promise(ENGINES, 9_000, Duration::from_secs(9), at(1_000));
    let demand = table.own_demand(at(1_000));
    table.fleet_demand.note_report(7, demand, Duration::from_millis(300), at(1_000));
    let before = table.estimate_inputs(id, (ENGINES, LONG_TOKENS), Duration::MAX, 0, at(1_000));

    table.forget_figures();

    let after = table.estimate_inputs(id, (ENGINES, LONG_TOKENS), Duration::MAX, 0, at(1_000));
    assert!(WaitEstimate::from_inputs(before).exceeds(Duration::from_secs(1)));
    assert!(WaitEstimate::from_inputs(after).is_doubtful);
    assert_eq!((after.ahead_tokens, after.promised_tokens), (0, 0));
    assert!(table.team_use.tokens("studio", at(1_000)) < 1.0);
    assert!(table.has_turn(id, at(1_000)));
    assert!(table.own_demand(at(1_000)).contains_key(ENGINES), "its requests are still reported");
}
